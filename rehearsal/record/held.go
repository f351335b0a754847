package record

import (
	"cmp"
	"slices"
)

// heldInterval is from when to when a flow was held, as its client saw it: its end up to late before it was heard. What its node
// held while it was stopped is left out.
func (r *Run) heldInterval(f *Flow, late int64) (from, to int64) {
	to = r.Length
	for _, e := range f.Events {
		switch e.Kind {
		case Answered:
			from = e.At
		case Left, Cut, Moved, Lost, Stopped, NodeKilled:
			if from > 0 {
				to = min(to, e.At-late)
			}
		}
	}
	for _, s := range r.Stills {
		if s.Node == f.Node && s.From > from {
			to = min(to, s.From)
		}
	}
	return from, to
}

// AtOnce is the most established flows that were held at one moment, by key. A client
// hears of an end up to late microseconds after its node.
func (r *Run) AtOnce(late int64, key func(f *Flow) string) map[string]int {
	type edge struct {
		at  int64
		by  int
		key string
	}
	var all []edge
	for _, f := range r.Flows {
		if word, _ := f.Answer(); word != "established" {
			continue
		}
		if from, to := r.heldInterval(f, late); to > from {
			all = append(all, edge{from, 1, key(f)}, edge{to, -1, key(f)})
		}
	}
	slices.SortFunc(all, func(x, y edge) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.by, y.by)) })
	now, most := map[string]int{}, map[string]int{}
	for _, e := range all {
		now[e.key] += e.by
		most[e.key] = max(most[e.key], now[e.key])
	}
	return most
}

// Cold is what hosts that came back were sent while they were cold, all together, what the rule would have let pass, and
// the worst stretch in parts of what pushes a host over.
func (r *Run) Cold() (sent int, may, worst float64) {
	for _, h := range r.Hosts {
		if h.ColdMay > 0 {
			sent, may, worst = sent+h.ColdSent, may+h.ColdMay, max(worst, h.Most/max(r.Multiple, 1))
		}
	}
	return sent, may, worst
}
