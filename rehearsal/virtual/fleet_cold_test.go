package virtual

import (
	"fmt"
	"testing"
)

// coldStart plays three of twelve hosts that die and come back cold, told to so many nodes at once, each of which goes by
// itself. A host falls when it is sent more than the rule allows it then, N, and twice the root of N and two, which are chance.
func coldStart(t *testing.T, nodes int, rate float64) {
	for seed := range 4 {
		r := playChecked(t, "fleet-overload", fmt.Sprintf("nodes.0.count=%d", nodes/3), fmt.Sprintf("nodes.1.count=%d", nodes/3),
			fmt.Sprintf("nodes.2.count=%d", nodes-nodes/3*2), fmt.Sprintf("demand.rate=%g", rate), "length=\"45s\"", "fleet.fall_roots=2.0",
			fmt.Sprintf("seed=%d", seed+1), `faults=[{at="15s",kind="crash",hosts=["h-0","h-4","h-8"],for="4s"}]`)
		sent := 0
		for _, h := range r.Hosts {
			sent += h.ColdSent
		}
		t.Logf("%d nodes, seed %d, rate %g: %d falls, %d sent to cold hosts", nodes, seed+1, rate, r.Counts.Falls, sent)
		if rate > 10 && sent < 10 {
			t.Errorf("%d nodes, seed %d, rate %g: %d sent to cold hosts, which shows nothing", nodes, seed+1, rate, sent)
		}
	}
}

// TestColdHostsByTheSum: all nodes together keep to it, up to five times the demand that scripts call once.
func TestColdHostBudgetOfAllNodes(t *testing.T) {
	for _, nodes := range []int{20, 30} {
		for _, rate := range []float64{2.5, 6, 12} {
			coldStart(t, nodes, rate)
		}
	}
}

// TestColdHostsInTenfoldDemand: and at ten times, twice what all hosts can bear and more, where each holds all that it can.
func TestColdHostsInTenfoldDemand(t *testing.T) {
	coldStart(t, 30, 25)
}
