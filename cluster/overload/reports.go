package overload

import "slices"

// report is the last report of one process of another node.
type report struct {
	from      int // number of the node
	zone      uint32
	sentAfter int64 // the report is no older than this, on the own clock
	late      bool  // the process said that it is late itself
	demand    [benefitBuckets]float64
	typeLoads map[int]loadMean // by service type
	hosts     []hostEntry
}

// hostEntry is what a report says of one host.
type hostEntry struct {
	hash     uint32
	load     float64 // that the process holds there
	capacity float64 // 0 while unknown
	flags    uint8
}

// HandleReport takes a report of one process of the other node number from. The report is no older than sentAfter. It
// replaces that process's previous report, and removes those of earlier processes of the node that no longer report. An
// invalid report is dropped as a whole and false is returned; the process's previous report then counts until it is
// old. A report of one process more than maxProcesses is ignored.
func (c *Controller) HandleReport(from int, process uint64, sentAfter int64, late bool, p []byte) bool {
	r := &report{from: from, sentAfter: sentAfter, late: late}
	if !decodeReport(p, r) {
		c.Stats.InvalidReports++
		return false
	}
	for _, id := range slices.Clone(c.processes) {
		if known := c.reports[id]; known.from == from && id != process && c.now-known.sentAfter > c.maxReportAge {
			c.RemoveProcess(id)
		}
	}
	if c.reports[process] == nil {
		if len(c.reports) >= maxProcesses {
			return true
		}
		c.processes = append(c.processes, process)
	}
	c.reports[process] = r
	return true
}

// RemoveProcess drops the report of a process that has ended, and the load that it held.
func (c *Controller) RemoveProcess(process uint64) {
	delete(c.reports, process)
	c.processes = slices.DeleteFunc(c.processes, func(id uint64) bool { return id == process })
}

// gatherReports adds up what the other nodes report of each host, and their demand.
func (c *Controller) gatherReports() {
	for _, h := range c.hostsByName {
		h.reportedLoad = 0
		h.saturatedReports = 0
		h.rejectionReported = false
		h.reported = false
		h.reportedCapacities = h.reportedCapacities[:0]
	}
	c.totalDemand = c.ownDemand
	var expired []uint64
	c.Stats.ReportingProcesses = 0
	for _, process := range c.processes {
		r := c.reports[process]
		age := c.now - r.sentAfter
		if age > reportExpiry {
			expired = append(expired, process)
			continue
		}
		// The flows of a node whose reports have stopped stay established for a while.
		weight := 1.0
		if age > max(reportHold, c.maxReportAge) {
			weight = float64(reportExpiry-age) / float64(reportExpiry-max(reportHold, c.maxReportAge))
		}
		recent := age <= c.maxReportAge
		if recent {
			c.Stats.ReportingProcesses++
			for b, d := range r.demand {
				c.totalDemand[b] += d
			}
		}
		c.addHostEntries(r, weight, recent)
	}
	if c.nodes > 1 {
		c.linkedShare = min(float64(c.Stats.ReportingProcesses)/float64(c.nodes-1), 1)
	}
	for _, process := range expired {
		c.RemoveProcess(process)
	}
}

// addHostEntries adds a report's loads to the hosts by a weight, and its other figures if the report is recent.
func (c *Controller) addHostEntries(r *report, weight float64, recent bool) {
	for _, e := range r.hosts {
		h := c.byHash[e.hash]
		if h == nil {
			continue
		}
		load := e.load
		if h.capacity > 0 {
			load = min(load, maxReportedFactor*h.capacity) // a single node cannot hold more, whatever it reports
		}
		h.reportedLoad += weight * load
		if !recent {
			continue
		}
		h.reported = true
		if e.capacity > 0 {
			h.reportedCapacities = append(h.reportedCapacities, e.capacity)
		}
		if e.flags&flagSaturated != 0 && !r.late {
			h.reportedSaturatedAt = c.now
			h.saturatedReports++
		}
		h.rejectionReported = h.rejectionReported || e.flags&flagRejected != 0
	}
}
