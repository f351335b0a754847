package virtual

import (
	"fmt"
	"slices"
	"testing"

	"coursewinch/cluster/verdicts"
	"coursewinch/node"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
	"coursewinch/settings"
)

// suspension is one that a node took over from others.
type suspension struct {
	at      int64 // of the run, microseconds
	node    int
	host    string
	reasons verdicts.Kind
}

// playSuspensions plays twelve nodes in three zones, a fleet with room, and gives the verdicts that nodes take over.
func playSuspensions(t *testing.T, seed int, changes ...string) (r *record.Run, all []suspension) {
	t.Helper()
	s, err := scenario.LoadWith("fleet-overload", append([]string{"cluster.on=true", "demand.rate=20", "demand.life=\"3s\"", "length=\"45s\"",
		fmt.Sprintf("seed=%d", seed)}, changes...))
	if err != nil {
		t.Fatal(err)
	}
	tune := func(no int, _ *settings.Settings, c *node.Config) {
		c.Cluster.Held = func(now int64, host string, v verdicts.Verdict) {
			all = append(all, suspension{now - startTimeOfDay, no, host, v.Of})
		}
	}
	if r, err = Play(s, Options{Configure: tune}); err != nil {
		t.Fatal(err)
	}
	return r, all
}

// TestVerdictReachesAll: two hosts die and the list is late. Probes and connects of two nodes find out, and the others take
// it over: each that holds back does so within the time in which two of twelve probe a host, and the age of a word.
func TestSuspensionReachesAllNodes(t *testing.T) {
	const died, listed, bound = 20_000_000, 28_000_000, 6_000_000
	var took []int64
	for seed := range 8 {
		_, all := playSuspensions(t, seed+1, "discovery.notice=\"8s\"", `faults=[{at="20s",kind="crash",hosts=["h-0","h-4"]}]`)
		first := map[string]bool{} // by node and host
		for _, v := range all {
			key := fmt.Sprint(v.node, v.host)
			if v.reasons&verdicts.Down != 0 && v.at < listed && !first[key] {
				first[key] = true
				took = append(took, v.at-died)
			}
			if v.host != "h-0" && v.host != "h-4" {
				t.Errorf("seed %d: n-%d holds back from %s, which is well, as %s", seed+1, v.node, v.host, v.reasons)
			}
		}
	}
	slices.Sort(took)
	if len(took) < 8*2*6 || took[len(took)-1] > bound {
		t.Errorf("%d verdicts", len(took))
	}
	t.Logf("%d of %d verdicts: p50 %d ms, p99 %d ms, worst %d ms after a host died", len(took), 8*2*12, took[len(took)/2]/1000, took[len(took)*99/100]/1000, took[len(took)-1]/1000)
}

// TestNoFalseVerdicts: hosts are well. What one ill node, a third that are starved, or one zone whose way is bad find of
// them, nobody takes over for whom it is not so. A starved node of this rehearsal finds no host down even where it does judge them,
// so what it may tell is tested in package overload (TestLateNodeLearnsAndTellsNothing).
func TestNoFalseSuspensions(t *testing.T) {
	for _, c := range []struct{ name, faults string }{
		{"one ill node", `{at="15s",kind="node_starve",nodes=["n-0"],size=0.97,for="15s"}`},
		{"a third starved", `{at="15s",kind="node_starve",nodes=["n-0","n-1","n-4","n-8"],size=0.95,for="15s"}`},
		{"one zone's way bad", `{at="15s",kind="cut",zone="north",for="12s"}`},
		{"one zone's way slow", `{at="15s",kind="delay",zone="north",delay="900ms",for="12s"}`},
	} {
		for seed := range 3 {
			r, all := playSuspensions(t, seed+1, "faults=["+c.faults+"]")
			for _, v := range all {
				host, zone := 0, v.node/4
				fmt.Sscanf(v.host, "h-%d", &host)
				if near := r.Hosts[host].Zone == zone; c.name != "one zone's way bad" && c.name != "one zone's way slow" || near || zone != 0 && r.Hosts[host].Zone != 0 {
					t.Errorf("%s, seed %d: n-%d holds back from %s as %s at %.2f s", c.name, seed+1, v.node, v.host, v.reasons, float64(v.at)/1e6)
				}
			}
			t.Logf("%s, seed %d: %d verdicts, %d connects never came up", c.name, seed+1, len(all), r.Counts.Unsent)
		}
	}
}
