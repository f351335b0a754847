package overload

import (
	"coursewinch/balance"
	"coursewinch/cluster/health"
)

// ConfigureReports sets the zone that reports name and the function that is called when a host becomes suspended
// because of other nodes' reports. The function may be nil.
func (c *Controller) ConfigureReports(zone uint32, onSuspend func(*balance.Server, health.Suspension)) {
	c.zone, c.onSuspend = zone, onSuspend
}

// EachSuspended calls each for every server that is suspended because of other nodes' reports, in the order of their names.
func (c *Controller) EachSuspended(each func(*balance.Server, health.Suspension)) {
	for _, h := range c.hostsByName {
		if h.suspension.Reasons != 0 {
			each(h.server, h.suspension)
		}
	}
}

// updateSuspensions decides from the recent reports of other nodes which hosts are suspended, and calls onSuspend for each
// host that becomes so.
func (c *Controller) updateSuspensions() {
	view := health.View{
		Hosts:       len(c.hostsByName),
		Linked:      c.Stats.ReportingProcesses,
		Others:      c.nodes - 1,
		Zone:        c.zone,
		OwnZone:     func(index int) bool { return c.hostsByName[index].server.Zone == c.settings.Zone },
		Contradicts: c.contradicts,
	}
	suspended := view.Suspended(c.witnesses())
	c.Stats.SuspendedHosts = len(suspended)
	for _, h := range c.hostsByName {
		previous := h.suspension
		if h.suspension = suspended[h.index]; previous.Reasons == 0 && h.suspension.Reasons != 0 && c.onSuspend != nil {
			c.onSuspend(h.server, h.suspension)
		}
	}
}

// witnesses returns what the processes with a recent report say of the hosts.
func (c *Controller) witnesses() (all []health.Witness) {
	for _, process := range c.processes {
		r := c.reports[process]
		if c.now-r.sentAfter > c.maxReportAge {
			continue
		}
		witness := health.Witness{Late: r.late, Zone: r.zone}
		for _, e := range r.hosts {
			if h := c.byHash[e.hash]; h != nil {
				witness.Hosts = append(witness.Hosts, health.HostReport{Host: h.index, Reasons: e.reasons()})
			}
		}
		all = append(all, witness)
	}
	return all
}

// contradicts reports whether this node has recent evidence of its own against a reason to suspend a host.
func (c *Controller) contradicts(index int, reason health.Reason) bool {
	h := c.hostsByName[index]
	switch reason {
	case health.Down:
		return h.goodAt > h.downAt && c.now-h.goodAt < failureWindow
	case health.SetupFails:
		return h.setupGoodAt > h.setupFailedAt && c.now-h.setupGoodAt < failureWindow
	case health.Cold:
		return c.warmShare(h) < 1 // this node knows that the host is cold and limits its flows by the cold-start budget
	}
	return false
}

// reasons are those to suspend a host that an entry of a report gives.
func (e hostEntry) reasons() (reasons health.Reason) {
	for _, mapping := range [...]struct {
		flag   uint8
		reason health.Reason
	}{
		{flagDown, health.Down},
		{flagSetupFails, health.SetupFails},
		{flagCold, health.Cold},
		{flagDraining, health.Draining},
	} {
		if e.flags&mapping.flag != 0 {
			reasons |= mapping.reason
		}
	}
	return reasons
}
