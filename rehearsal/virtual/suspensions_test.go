package virtual

import (
	"fmt"
	"slices"
	"testing"

	"coursewinch/cluster/health"
	"coursewinch/node"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
	"coursewinch/settings"
)

// suspension is a suspension of a host by a node on the reports of others.
type suspension struct {
	at      int64 // time of the run, microseconds
	node    int
	host    string
	reasons health.Reason
}

// playSuspensions plays twelve nodes in three zones, with hosts that have capacity to spare, and returns the suspensions.
func playSuspensions(t *testing.T, seed int, changes ...string) (r *record.Run, all []suspension) {
	t.Helper()
	s, err := scenario.LoadWithOverrides("fleet-overload", append([]string{"cluster.on=true", "demand.rate=20",
		"demand.life=\"3s\"", "length=\"45s\"",
		fmt.Sprintf("seed=%d", seed)}, changes...))
	if err != nil {
		t.Fatal(err)
	}
	tune := func(no int, _ *settings.Settings, c *node.Config) {
		c.Cluster.OnSuspended = func(now int64, host string, v health.Suspension) {
			all = append(all, suspension{now - startTimeOfDay, no, host, v.Reasons})
		}
	}
	if r, err = Play(s, Options{Configure: tune}); err != nil {
		t.Fatal(err)
	}
	return r, all
}

// TestSuspensionReachesAllNodes lets two hosts die while the list is late. Probes and connects of two nodes find out, and
// the other nodes suspend the hosts on their reports. Each that does so must do it within the time in which two of twelve
// nodes probe a host, and the age up to which a report counts.
func TestSuspensionReachesAllNodes(t *testing.T) {
	const died, listed, bound = 20_000_000, 28_000_000, 6_000_000
	var took []int64
	for seed := range 8 {
		_, all := playSuspensions(t, seed+1, "discovery.notice=\"8s\"", `faults=[{at="20s",kind="crash",hosts=["h-0","h-4"]}]`)
		seen := map[string]bool{} // by node and host
		for _, v := range all {
			key := fmt.Sprint(v.node, v.host)
			if v.reasons&health.Down != 0 && v.at < listed && !seen[key] {
				seen[key] = true
				took = append(took, v.at-died)
			}
			if v.host != "h-0" && v.host != "h-4" {
				t.Errorf("seed %d: n-%d suspended %s, which is healthy, as %s", seed+1, v.node, v.host, v.reasons)
			}
		}
	}
	slices.Sort(took)
	if len(took) < 8*2*6 || took[len(took)-1] > bound {
		t.Errorf("%d suspensions, the last not within %d ms of the failure", len(took), bound/1000)
	}
	t.Logf("%d of %d suspensions: p50 %d ms, p99 %d ms, worst %d ms after a host died", len(took), 8*2*12,
		took[len(took)/2]/1000, took[len(took)*99/100]/1000, took[len(took)-1]/1000)
}

// TestNoFalseSuspensions checks that no node suspends a host that is healthy for it because one node or a third of them is
// starved, or because one zone's network is bad. A starved node of this rehearsal finds no host down even where it does
// judge them, so what it may report is tested in package overload (TestLateNodeLearnsAndReportsNothing).
func TestNoFalseSuspensions(t *testing.T) {
	for _, c := range []struct{ name, faults string }{
		{"one node starved", `{at="15s",kind="node_starve",nodes=["n-0"],size=0.97,for="15s"}`},
		{"a third of the nodes starved", `{at="15s",kind="node_starve",nodes=["n-0","n-1","n-4","n-8"],size=0.95,for="15s"}`},
		{"one zone cut off", `{at="15s",kind="cut",zone="north",for="12s"}`},
		{"one zone's network slow", `{at="15s",kind="delay",zone="north",delay="900ms",for="12s"}`},
	} {
		for seed := range 3 {
			r, all := playSuspensions(t, seed+1, "faults=["+c.faults+"]")
			for _, v := range all {
				host, zone := 0, v.node/4
				fmt.Sscanf(v.host, "h-%d", &host)
				if near := r.Hosts[host].Zone == zone; c.name != "one zone cut off" &&
					c.name != "one zone's network slow" || near || zone != 0 && r.Hosts[host].Zone != 0 {
					t.Errorf("%s, seed %d: n-%d suspended %s as %s at %.2f s", c.name, seed+1, v.node, v.host, v.reasons, float64(v.at)/1e6)
				}
			}
			t.Logf("%s, seed %d: %d suspensions, %d failed connects", c.name, seed+1, len(all), r.Counts.FailedConnects)
		}
	}
}
