package virtual

import (
	"fmt"
	"testing"
)

// coldStart plays three of twelve hosts that die and come back cold. All nodes learn of it at once, and each decides by
// itself. A host is overloaded, which breaks a rule, when it gets more than N + 2*sqrt(N) + 2 connects within the script's
// fleet.fall_after, where N is what the rule allows it in that time and the rest allows for chance.
func coldStart(t *testing.T, nodes int, rate float64) {
	for seed := range 4 {
		r := playChecked(t, "fleet-overload", fmt.Sprintf("nodes.0.count=%d", nodes/3), fmt.Sprintf("nodes.1.count=%d", nodes/3),
			fmt.Sprintf("nodes.2.count=%d", nodes-nodes/3*2), fmt.Sprintf("demand.rate=%g", rate), "length=\"45s\"", "fleet.fall_roots=2.0",
			fmt.Sprintf("seed=%d", seed+1), `faults=[{at="15s",kind="crash",hosts=["h-0","h-4","h-8"],for="4s"}]`)
		sent := 0
		for _, h := range r.Hosts {
			sent += h.ColdConnects
		}
		t.Logf("%d nodes, seed %d, rate %g: %d cold hosts overloaded, %d connects to cold hosts", nodes, seed+1, rate, r.Counts.Collapses, sent)
		if rate > 10 && sent < 10 {
			t.Errorf("%d nodes, seed %d, rate %g: %d connects to cold hosts, too few to show anything", nodes, seed+1, rate, sent)
		}
	}
}

// TestColdHostBudgetOfAllNodes checks that all nodes together keep the budget of cold hosts, at up to five times the normal
// demand of 2.5 flows a second.
func TestColdHostBudgetOfAllNodes(t *testing.T) {
	for _, nodes := range []int{20, 30} {
		for _, rate := range []float64{2.5, 6, 12} {
			coldStart(t, nodes, rate)
		}
	}
}

// TestColdHostsInTenfoldDemand checks the same at ten times the demand, which is more than twice the capacity of all hosts,
// so that each holds as many flows as it can.
func TestColdHostsInTenfoldDemand(t *testing.T) {
	coldStart(t, 30, 25)
}
