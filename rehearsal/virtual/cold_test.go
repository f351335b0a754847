package virtual

import (
	"fmt"
	"strings"
	"testing"
)

// TestColdByGrant: four hosts of twelve come back cold into overload. By grants of the fleet they get more than by the
// parts that nodes guess, and are not pushed over, whatever befalls links and nodes meanwhile.
func TestColdHostGrants(t *testing.T) {
	const back = `{at="25s",kind="crash",count=4,for="5s"}`
	for _, c := range []struct {
		name, faults string
		nodes        int
		least        float64 // of what the rule allows
	}{
		{"twelve nodes", "", 12, 0.5},
		{"thirty", "", 30, 0.4},
		{"cut in two", `,{at="30s",kind="link_split",parts=2,for="15s"}`, 12, 0},
		{"cut all apart", `,{at="33s",kind="link_split",parts=12,for="15s"}`, 12, 0},
		{"40 % lost", `,{at="28s",kind="link_loss",share=1.0,size=0.4,for="20s"}`, 12, 0},
		{"half killed", `,{at="34s",kind="node_kill",count=6,for="3s"}`, 12, 0},
		{"half stopped", `,{at="34s",kind="node_pause",count=6,for="4s"}`, 12, 0},
		{"a clock an hour ahead, one back", `,{at="34s",kind="node_clock",nodes=["n-0"],size=3600.0},{at="36s",kind="node_clock",nodes=["n-1"],size=-3600.0}`, 12, 0},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			play := func(seed int, limits string) (share, worst float64, falls int) {
				r := playOverload(t, fmt.Sprintf(`nodes=[{count=%d,zone="port"}]`, c.nodes), fmt.Sprintf("seed=%d", seed), "cluster.limits=["+limits+"]", "faults=["+back+c.faults+"]")
				sent, may, worst := r.Cold()
				return float64(sent) / may, worst, r.Counts.Falls
			}
			guessed, granted, most, seeds := 0.0, 0.0, 0.0, 2
			if c.faults != "" {
				seeds = 1
			}
			for seed := range seeds {
				share, _, _ := play(seed+1, "")
				got, worst, falls := play(seed+1, `{over="cold",promise="strict"}`)
				if falls > 0 {
					t.Errorf("%s, seed %d: %d hosts were pushed over", c.name, seed+1, falls)
				}
				guessed, granted, most = guessed+share/float64(seeds), granted+got/float64(seeds), max(most, worst)
			}
			if granted < max(c.least, guessed) {
				t.Errorf("%s: %.2f of what the rule allows by grants, %.2f guessed", c.name, granted, guessed)
			}
			t.Logf("%s: %.2f of what the rule allows by grants, the worst stretch %.2f; %.2f guessed", c.name, granted, most, guessed)
		})
	}
}
