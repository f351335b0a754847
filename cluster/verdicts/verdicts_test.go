package verdicts

import (
	"testing"

	"coursewinch/cluster/drawn"

	"pgregory.net/rapid"
)

// witness is a witness of a zone that used so many hosts and tells something of some.
func witness(zone uint32, used int, of Kind, some ...int) (w Witness) {
	w.Zone = zone
	for h := range used {
		w.Hosts = append(w.Hosts, HostReport{Host: h})
	}
	for _, h := range some {
		w.Hosts[h].Reasons = of
	}
	return w
}

func TestSuspended(t *testing.T) {
	none := func(int, Kind) bool { return false }
	known := func(_ int, of Kind) bool { return of == Down }
	late := witness(2, 9, Down, 3)
	late.Late = true
	var ten []Witness
	for h := range 9 {
		ten = append(ten, witness(uint32(h%3), 9, SetupFails, h))
	}
	for _, c := range []struct {
		name   string
		all    []Witness
		linked int
		well   func(int, Kind) bool
		want   []int
	}{
		{"one witness", []Witness{witness(1, 9, Down, 3), witness(2, 9, 0), witness(3, 9, 0)}, 11, none, nil},
		{"two of the own zone", []Witness{witness(1, 9, Down, 3), witness(1, 9, Down, 3), witness(2, 9, 0)}, 11, none, []int{3}},
		{"two of two zones", []Witness{witness(3, 9, SetupFails, 3), witness(2, 9, SetupFails, 3)}, 11, none, []int{3}},
		{"four of one other zone: its way is bad", []Witness{witness(2, 9, Down, 3), witness(2, 9, Down, 3), witness(2, 9, Down, 3), witness(2, 9, Down, 3)}, 11, none, nil},
		{"near, by two zones that are not", []Witness{witness(3, 9, Down, 8), witness(2, 9, Down, 8)}, 11, none, nil},
		{"near, by one of the own and one", []Witness{witness(1, 9, Down, 8), witness(2, 9, Down, 8)}, 11, none, []int{8}},
		{"one tells down, one sick", []Witness{witness(1, 9, Down, 3), witness(1, 9, SetupFails, 3)}, 11, none, nil},
		{"two, and seen well here", []Witness{witness(1, 9, Down, 3), witness(2, 9, Down, 3)}, 11, known, nil},
		{"one of two is late", []Witness{witness(1, 9, Down, 3), late}, 11, none, nil},
		{"both find most bad", []Witness{witness(1, 9, Down, 1, 2, 3, 4, 5), witness(2, 9, Down, 1, 2, 3, 4, 5)}, 11, none, nil},
		{"each calls another sick", ten, 11, none, nil},
		{"a drain told of once", []Witness{witness(2, 9, Draining, 5)}, 11, none, []int{5}},
		{"cold, by two of one zone", []Witness{witness(2, 9, Cold, 5), witness(2, 9, Cold, 5)}, 11, none, []int{5}},
		{"cold, by one", []Witness{witness(2, 9, Cold, 5)}, 11, none, nil},
		{"in the smaller part", []Witness{witness(1, 9, Down, 3), witness(2, 9, Down, 3), witness(2, 9, Draining, 5)}, 5, none, nil},
		{"no more than a third", []Witness{witness(1, 9, Down, 0, 1, 2, 3), witness(2, 9, Down, 0, 1, 2, 3), witness(1, 9, Down, 3)}, 11, none, []int{3, 0, 1}},
	} {
		got := View{9, c.linked, 11, 1, func(h int) bool { return h == 8 }, c.well}.Suspended(c.all)
		if len(got) != len(c.want) {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
		for _, h := range c.want {
			if got[h].Witnesses == 0 {
				t.Errorf("%s: %v, not %v", c.name, got, c.want)
			}
		}
	}
}

// TestNeverMoreThanAThird: whatever is told, by however many, two thirds of the hosts are left, the last ready one too, and
// nothing is held back that fewer than two say, a drain apart.
func TestAtMostAThirdIsSuspended(t *testing.T) {
	drawn.Same()
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		kinds := rapid.SampledFrom([]Kind{0, 0, Down, SetupFails, Cold, Draining, Down | Cold})
		var all []Witness
		for range rapid.IntRange(0, 12).Draw(t, "witnesses") {
			w := Witness{Late: rapid.IntRange(0, 4).Draw(t, "late") == 0, Zone: rapid.Uint32Range(1, 3).Draw(t, "zone")}
			for range rapid.IntRange(0, 12).Draw(t, "tells") {
				w.Hosts = append(w.Hosts, HostReport{rapid.IntRange(-2, hosts+1).Draw(t, "host"), kinds.Draw(t, "kind")})
			}
			all = append(all, w)
		}
		no := func(int, Kind) bool { return false }
		got := View{hosts, 11, 11, 1, func(h int) bool { return h%2 == 0 }, no}.Suspended(all)
		if 3*len(got) > hosts {
			t.Fatalf("%d of %d hosts are held back by hearsay", len(got), hosts)
		}
		for h, v := range got {
			if v.Of&Draining == 0 && v.Witnesses < MinWitnesses {
				t.Fatalf("host %d is held back as %b by %d", h, v.Of, v.Witnesses)
			}
		}
	})
}
