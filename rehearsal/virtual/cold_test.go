package virtual

import (
	"fmt"
	"strings"
	"testing"
)

// TestColdHostGrants lets four of twelve hosts come back cold in overload. With grants of the fleet they get more connects
// than with each node's own estimate of its part, and none is overloaded, whatever faults links and nodes have meanwhile.
func TestColdHostGrants(t *testing.T) {
	const hostsReturn = `{at="25s",kind="crash",count=4,for="5s"}`
	for _, c := range []struct {
		name, faults string
		nodes        int
		minShare     float64 // of the connects that the rule allows
	}{
		{"twelve nodes", "", 12, 0.5},
		{"thirty nodes", "", 30, 0.4},
		{"links split in two", `,{at="30s",kind="link_split",parts=2,for="15s"}`, 12, 0},
		{"all links cut", `,{at="33s",kind="link_split",parts=12,for="15s"}`, 12, 0},
		{"40 % of datagrams lost", `,{at="28s",kind="link_loss",share=1.0,size=0.4,for="20s"}`, 12, 0},
		{"half of the nodes killed", `,{at="34s",kind="node_kill",count=6,for="3s"}`, 12, 0},
		{"half of the nodes paused", `,{at="34s",kind="node_pause",count=6,for="4s"}`, 12, 0},
		{"one clock an hour ahead, one an hour behind", `,{at="34s",kind="node_clock",nodes=["n-0"],size=3600.0},{at="36s",kind="node_clock",nodes=["n-1"],size=-3600.0}`, 12, 0},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			play := func(seed int, limits string) (share, worst float64, collapses int) {
				r := playOverload(t, fmt.Sprintf(`nodes=[{count=%d,zone="port"}]`, c.nodes), fmt.Sprintf("seed=%d", seed),
					"cluster.limits=["+limits+"]", "faults=["+hostsReturn+c.faults+"]")
				sent, allowed, worst := r.ColdTotals()
				return float64(sent) / allowed, worst, r.Counts.Collapses
			}
			estimated, granted, most, seeds := 0.0, 0.0, 0.0, 2
			if c.faults != "" {
				seeds = 1
			}
			for seed := range seeds {
				share, _, _ := play(seed+1, "")
				got, worst, collapses := play(seed+1, `{over="cold",promise="strict"}`)
				if collapses > 0 {
					t.Errorf("%s, seed %d: %d cold hosts were overloaded", c.name, seed+1, collapses)
				}
				estimated, granted, most = estimated+share/float64(seeds), granted+got/float64(seeds), max(most, worst)
			}
			if granted < max(c.minShare, estimated) {
				t.Errorf("%s: %.2f of what the rule allows with grants, %.2f with estimates", c.name, granted, estimated)
			}
			t.Logf("%s: %.2f of what the rule allows with grants, worst interval %.2f; %.2f with estimates", c.name, granted, most, estimated)
		})
	}
}
