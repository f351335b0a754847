// Package verdicts draws from what nodes tell of hosts which of them this node holds back from for now. It has no I/O
// and no clock; whoever calls it says how old evidence is by leaving out what is too old, so that each verdict ends by
// itself.
//
// What others tell may hold back, and never rank: only own latency does. One witness alone takes no host from others;
// two that used it of late do, of the own zone or of two zones: what is bad by one zone's way stays that zone's. A
// witness that finds most hosts bad, or that is late itself, speaks for itself alone, and a node in the smaller part of
// a cut fleet takes nobody's word. Whatever is told, no more than a third of the hosts are held back by hearsay.
package verdicts

import (
	"cmp"
	"slices"
	"strings"
)

const (
	MinWitnesses      = 2      // that take a host from others
	MaxSuspendedShare = 1. / 3 // of the hosts, that hearsay holds back
	MaxBadShare       = 0.5    // of the hosts that a witness speaks of: one that finds more bad finds its own way bad
)

// Kind is of a verdict, a bit each.
type Kind uint8

const (
	Down       Kind = 1 << iota // connects to it don't come up
	SetupFails                  // they do, and set-ups fail
	Cold                        // it has started of late
	Draining                    // a list says that it drains or is gone

	pathReasons = Down | SetupFails // what a witness saw by its own way
)

var reasonNames = []string{"down", "sick", "cold", "leaving"}

func (k Kind) String() (text string) {
	for i, name := range reasonNames {
		if k&(1<<i) != 0 {
			text += "+" + name
		}
	}
	return strings.TrimPrefix(text, "+")
}

// HostReport is what one witness tells of one host that it used of late.
type HostReport struct {
	Host    int
	Reasons Kind
}

// Witness is one process and what it tells; Late where it says that it is late itself. Zone is any number that tells its
// zone from others.
type Witness struct {
	Late  bool
	Zone  uint32
	Hosts []HostReport
}

// IsCredible tells whether a witness counts for others.
func (w Witness) IsCredible() bool {
	n := 0
	for _, e := range w.Hosts {
		if e.Reasons&(pathReasons|Draining) != 0 {
			n++
		}
	}
	return !w.Late && float64(n) <= MaxBadShare*float64(len(w.Hosts)) && len(w.Hosts) > 1
}

// Verdict is why a host is held back, and by how many witnesses.
type Verdict struct {
	Of        Kind
	Witnesses int
}

// tally is who tells one thing of one host.
type tally struct {
	witnesses, sameZone int // witnesses, and those in the own zone
	zones               []uint32
}

func (t *tally) add(zone, own uint32) {
	t.witnesses++
	if zone == own {
		t.sameZone++
	}
	if !slices.Contains(t.zones, zone) {
		t.zones = append(t.zones, zone)
	}
}

// isQuorum tells whether these are enough: what is seen by a way wants two of the own zone, or of two zones. At a host of the
// own zone one of them has to be of it: nodes of all others may have lost their way there.
func (t *tally) isQuorum(by Kind, near bool) bool {
	switch by {
	case Draining:
		return t.witnesses > 0 // a list said so, and not the witness's own eyes
	case Cold:
		return t.witnesses >= MinWitnesses
	}
	return t.sameZone >= MinWitnesses || len(t.zones) > 1 && (t.sameZone > 0 || !near)
}

// View is where a node stands that hears witnesses: of so many hosts, linked to so many of the others, in a zone. Near
// tells whether a host is of that zone, Well what this node knows better: its own evidence against a verdict.
type View struct {
	Hosts, Linked, Others int
	Zone                  uint32
	SameZone              func(host int) bool
	Contradicts           func(host int, of Kind) bool
}

// Suspended is the hosts that this node sends nothing new, by what the others tell.
func (v View) Suspended(all []Witness) map[int]Verdict {
	if 2*(v.Linked+1) <= v.Others+1 {
		return nil // the smaller part, or one of two halves
	}
	hosts := v.Hosts
	tells := map[Kind][]tally{}
	for _, k := range []Kind{Down, SetupFails, Cold, Draining} {
		tells[k] = make([]tally, hosts)
	}
	for _, w := range all {
		if !w.IsCredible() {
			continue
		}
		for _, e := range w.Hosts {
			for k, t := range tells {
				if e.Host >= 0 && e.Host < hosts && e.Reasons&k != 0 {
					t[e.Host].add(w.Zone, v.Zone)
				}
			}
		}
	}
	found := map[int]Verdict{}
	var out []int
	for h := range hosts {
		var is Verdict
		for _, k := range []Kind{Down, SetupFails, Cold, Draining} {
			if t := &tells[k][h]; t.isQuorum(k, v.SameZone(h)) && !v.Contradicts(h, k) {
				is.Of, is.Witnesses = is.Of|k, is.Witnesses+t.witnesses
			}
		}
		if is.Of != 0 {
			found[h] = is
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(x, y int) int { return cmp.Compare(found[y].Witnesses, found[x].Witnesses) })
	for _, h := range out[min(len(out), int(MaxSuspendedShare*float64(hosts))):] {
		delete(found, h)
	}
	return found
}
