package health

import (
	"testing"

	"coursewinch/cluster/faultplan"

	"pgregory.net/rapid"
)

// witness returns a witness of a zone that used so many hosts and reports a reason for some of them.
func witness(zone uint32, used int, reason Reason, reported ...int) (w Witness) {
	w.Zone = zone
	for h := range used {
		w.Hosts = append(w.Hosts, HostReport{Host: h})
	}
	for _, h := range reported {
		w.Hosts[h].Reasons = reason
	}
	return w
}

// TestSuspended guards against hosts being suspended on too little evidence, or not on enough. The deciding node and host 8
// are in zone 1.
func TestSuspended(t *testing.T) {
	nothing := func(int, Reason) bool { return false }
	seesConnects := func(_ int, of Reason) bool { return of == Down }
	late := witness(2, 9, Down, 3)
	late.Late = true
	var eachFailing []Witness
	for h := range 9 {
		eachFailing = append(eachFailing, witness(uint32(h%3), 9, SetupFails, h))
	}
	for _, c := range []struct {
		name        string
		all         []Witness
		linked      int
		contradicts func(int, Reason) bool
		want        []int
	}{
		{"one witness", []Witness{witness(1, 9, Down, 3), witness(2, 9, 0), witness(3, 9, 0)}, 11, nothing, nil},
		{"two of the own zone", []Witness{witness(1, 9, Down, 3), witness(1, 9, Down, 3), witness(2, 9, 0)}, 11, nothing, []int{3}},
		{"two of two zones", []Witness{witness(3, 9, SetupFails, 3), witness(2, 9, SetupFails, 3)}, 11, nothing, []int{3}},
		{"four of one other zone: its network path fails", []Witness{witness(2, 9, Down, 3), witness(2, 9, Down, 3), witness(2, 9, Down, 3), witness(2, 9, Down, 3)}, 11, nothing, nil},
		{"host in the own zone, by two other zones", []Witness{witness(3, 9, Down, 8), witness(2, 9, Down, 8)}, 11, nothing, nil},
		{"host in the own zone, by one of the own zone and one other", []Witness{witness(1, 9, Down, 8), witness(2, 9, Down, 8)}, 11, nothing, []int{8}},
		{"one reports down, one failing set-ups", []Witness{witness(1, 9, Down, 3), witness(1, 9, SetupFails, 3)}, 11, nothing, nil},
		{"two, and contradicted by own evidence", []Witness{witness(1, 9, Down, 3), witness(2, 9, Down, 3)}, 11, seesConnects, nil},
		{"one of two is late", []Witness{witness(1, 9, Down, 3), late}, 11, nothing, nil},
		{"both find most hosts failing", []Witness{witness(1, 9, Down, 1, 2, 3, 4, 5), witness(2, 9, Down, 1, 2, 3, 4, 5)}, 11, nothing, nil},
		{"each reports another host", eachFailing, 11, nothing, nil},
		{"a drain reported once", []Witness{witness(2, 9, Draining, 5)}, 11, nothing, []int{5}},
		{"cold, by two of one zone", []Witness{witness(2, 9, Cold, 5), witness(2, 9, Cold, 5)}, 11, nothing, []int{5}},
		{"cold, by one", []Witness{witness(2, 9, Cold, 5)}, 11, nothing, nil},
		{"in the smaller part of a partitioned fleet", []Witness{witness(1, 9, Down, 3), witness(2, 9, Down, 3), witness(2, 9, Draining, 5)}, 5, nothing, nil},
		{"at most a third, by most witnesses", []Witness{witness(1, 9, Down, 0, 1, 2, 3), witness(2, 9, Down, 0, 1, 2, 3), witness(1, 9, Down, 3)}, 11, nothing, []int{3, 0, 1}},
	} {
		got := View{9, c.linked, 11, 1, func(h int) bool { return h == 8 }, c.contradicts}.Suspended(c.all)
		if len(got) != len(c.want) {
			t.Errorf("%s: suspended %v, want %v", c.name, got, c.want)
		}
		for _, h := range c.want {
			if got[h].Witnesses == 0 {
				t.Errorf("%s: suspended %v, want %v", c.name, got, c.want)
			}
		}
	}
}

// TestAtMostAThirdIsSuspended guards against reports that take the whole fleet out of service. Whatever is reported, by
// however many, two thirds of the hosts stay in service, the last one included, and no host is suspended on fewer than two
// reports, except for a drain.
func TestAtMostAThirdIsSuspended(t *testing.T) {
	faultplan.FixSeed()
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		reasons := rapid.SampledFrom([]Reason{0, 0, Down, SetupFails, Cold, Draining, Down | Cold})
		var all []Witness
		for range rapid.IntRange(0, 12).Draw(t, "witnesses") {
			w := Witness{Late: rapid.IntRange(0, 4).Draw(t, "late") == 0, Zone: rapid.Uint32Range(1, 3).Draw(t, "zone")}
			for range rapid.IntRange(0, 12).Draw(t, "reports") {
				w.Hosts = append(w.Hosts, HostReport{rapid.IntRange(-2, hosts+1).Draw(t, "host"), reasons.Draw(t, "kind")})
			}
			all = append(all, w)
		}
		noContradiction := func(int, Reason) bool { return false }
		got := View{hosts, 11, 11, 1, func(h int) bool { return h%2 == 0 }, noContradiction}.Suspended(all)
		if 3*len(got) > hosts {
			t.Fatalf("%d of %d hosts are suspended", len(got), hosts)
		}
		for h, v := range got {
			if v.Reasons&Draining == 0 && v.Witnesses < MinWitnesses {
				t.Fatalf("host %d is suspended for reasons %b by %d witnesses", h, v.Reasons, v.Witnesses)
			}
		}
	})
}
