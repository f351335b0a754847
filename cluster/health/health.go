// Package health decides from the health reports of other nodes which hosts this node suspends for now: it sends them no
// new flows. It has no I/O and no clock. The caller leaves out reports that are too old, so that each suspension
// ends without further action.
//
// Reports of other nodes may suspend a host but never rank it: only a node's own latency does that. One witness alone
// suspends no host for others. Two that recently used it do, if they are of the own zone or of two zones: what fails
// over one zone's network path only counts in that zone. A witness that finds most hosts failing, or that is late
// itself, counts for itself alone, and a node in the smaller part of a partitioned fleet follows no reports of others.
// Whatever is reported, at most a third of the hosts are suspended.
package health

import (
	"cmp"
	"slices"
	"strings"
)

// Bounds on suspensions.
const (
	MinWitnesses      = 2      // that suspend a host for others
	MaxSuspendedShare = 1. / 3 // of the hosts

	// MaxBadShare is the share of the hosts in its report that a credible witness finds failing or draining at most. One that
	// finds more is taken to have a failing network path itself.
	MaxBadShare = 0.5
)

// Reason is a set of reasons to suspend a host, a bit each.
type Reason uint8

// Reasons to suspend a host.
const (
	Down       Reason = 1 << iota // connects to it fail
	SetupFails                    // connections are established, but set-ups on them fail
	Cold                          // it has started recently
	Draining                      // a list of servers says that it drains or is gone

	pathReasons = Down | SetupFails // observed over the witness's own network path
)

var reasonNames = []string{"down", "sick", "cold", "leaving"}

// String returns the names of the reasons, joined by plus signs.
func (r Reason) String() (text string) {
	for i, name := range reasonNames {
		if r&(1<<i) != 0 {
			text += "+" + name
		}
	}
	return strings.TrimPrefix(text, "+")
}

// HostReport is what a witness reports of one host that it recently used.
type HostReport struct {
	Host    int // number of the host
	Reasons Reason
}

// Witness is one process of another node and what it reports.
type Witness struct {
	Late  bool   // it says that it is late itself
	Zone  uint32 // any number that differs between zones
	Hosts []HostReport
}

// IsCredible reports whether a witness counts for other nodes: it is not late, reports more than one host, and at most
// MaxBadShare of them as failing or draining.
func (w Witness) IsCredible() bool {
	failing := 0
	for _, report := range w.Hosts {
		if report.Reasons&(pathReasons|Draining) != 0 {
			failing++
		}
	}
	return !w.Late && float64(failing) <= MaxBadShare*float64(len(w.Hosts)) && len(w.Hosts) > 1
}

// Suspension is why a host is suspended, and how many witnesses reported it.
type Suspension struct {
	Reasons   Reason // the reasons
	Witnesses int    // added up over the reasons, so that a witness of two reasons counts twice
}

// tally counts the witnesses that report one reason for one host.
type tally struct {
	witnesses, ownZone int // all, and those in the own zone
	zones              []uint32
}

// add counts a witness of a zone.
func (t *tally) add(zone, ownZone uint32) {
	t.witnesses++
	if zone == ownZone {
		t.ownZone++
	}
	if !slices.Contains(t.zones, zone) {
		t.zones = append(t.zones, zone)
	}
}

// isQuorum reports whether the witnesses suffice. What is observed over a network path needs two witnesses of the own zone
// or witnesses of two zones. For a host in the own zone one of them has to be in the own zone: nodes of all other zones may
// have lost their path to it.
func (t *tally) isQuorum(reason Reason, ownZoneHost bool) bool {
	switch reason {
	case Draining:
		return t.witnesses > 0 // the source is a list of servers, not an observation
	case Cold:
		return t.witnesses >= MinWitnesses
	}
	return t.ownZone >= MinWitnesses || len(t.zones) > 1 && (t.ownZone > 0 || !ownZoneHost)
}

// View is the position of the node that decides.
type View struct {
	Hosts, Linked, Others int                                // number of hosts, of other nodes that are linked, and of other nodes
	Zone                  uint32                             // the own zone
	OwnZone               func(host int) bool                // whether a host is in the own zone
	Contradicts           func(host int, reason Reason) bool // whether the node's own evidence contradicts a reason
}

// Suspended returns the hosts that this node sends no new flows because of the witnesses' reports.
func (v View) Suspended(witnesses []Witness) map[int]Suspension {
	if 2*(v.Linked+1) <= v.Others+1 {
		return nil // the node is in the smaller part of a partitioned fleet, or in one of two halves
	}
	hosts := v.Hosts
	tallies := map[Reason][]tally{}
	for _, reason := range []Reason{Down, SetupFails, Cold, Draining} {
		tallies[reason] = make([]tally, hosts)
	}
	for _, witness := range witnesses {
		if !witness.IsCredible() {
			continue
		}
		for _, report := range witness.Hosts {
			for reason, t := range tallies {
				if report.Host >= 0 && report.Host < hosts && report.Reasons&reason != 0 {
					t[report.Host].add(witness.Zone, v.Zone)
				}
			}
		}
	}
	suspended := map[int]Suspension{}
	var order []int
	for host := range hosts {
		var suspension Suspension
		for _, reason := range []Reason{Down, SetupFails, Cold, Draining} {
			if t := &tallies[reason][host]; t.isQuorum(reason, v.OwnZone(host)) && !v.Contradicts(host, reason) {
				suspension.Reasons |= reason
				suspension.Witnesses += t.witnesses
			}
		}
		if suspension.Reasons != 0 {
			suspended[host] = suspension
			order = append(order, host)
		}
	}
	// If more than the allowed share qualify, those with the most witnesses are suspended.
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(suspended[y].Witnesses, suspended[x].Witnesses) })
	for _, host := range order[min(len(order), int(MaxSuspendedShare*float64(hosts))):] {
		delete(suspended, host)
	}
	return suspended
}
