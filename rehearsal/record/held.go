package record

import (
	"cmp"
	"slices"
)

// heldInterval returns from when to when a flow was certainly held by its node. Its client may see the end up to late
// microseconds after the node, so that it is counted that much earlier. Nothing counts from when the node was paused.
func (r *Run) heldInterval(f *Flow, late int64) (from, to int64) {
	to = r.Length
	for _, e := range f.Events {
		switch e.Kind {
		case Answered:
			from = e.At
		case ClientLeft, Disconnected, Moved, HostClosed, NodeClosed, NodeKilled:
			if from > 0 {
				to = min(to, e.At-late)
			}
		}
	}
	for _, s := range r.Pauses {
		if s.Node == f.Node && s.From > from {
			to = min(to, s.From)
		}
	}
	return from, to
}

// PeakConcurrent returns, by key, the highest number of flows that were established at the same time. A client may see
// the end of its flow up to late microseconds after its node.
func (r *Run) PeakConcurrent(late int64, key func(f *Flow) string) map[string]int {
	type change struct {
		at  int64
		by  int
		key string
	}
	var changes []change
	for _, f := range r.Flows {
		if outcome, _ := f.Outcome(); outcome != "established" {
			continue
		}
		if from, to := r.heldInterval(f, late); to > from {
			changes = append(changes, change{from, 1, key(f)}, change{to, -1, key(f)})
		}
	}
	slices.SortFunc(changes, func(x, y change) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.by, y.by)) })
	current, highest := map[string]int{}, map[string]int{}
	for _, c := range changes {
		current[c.key] += c.by
		highest[c.key] = max(highest[c.key], current[c.key])
	}
	return highest
}

// ColdTotals returns the connects that all hosts that came back got while they were cold, the connects that the rule
// would have allowed, and the load of the worst interval as a share of what overloads a cold host.
func (r *Run) ColdTotals() (sent int, allowed, worst float64) {
	for _, h := range r.Hosts {
		if h.ColdAllowed > 0 {
			sent, allowed, worst = sent+h.ColdConnects, allowed+h.ColdAllowed, max(worst, h.PeakColdLoad/max(r.CollapseMultiple, 1))
		}
	}
	return sent, allowed, worst
}
