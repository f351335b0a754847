package virtual

import (
	"fmt"
	"testing"

	"coursewinch/rehearsal/record"
)

// TestAtOnceUnderFaults: six nodes keep one number of flows of a service type, and of each host's connections. Strict ones
// are never passed whatever fails, and available ones not beyond their formula; without faults they are used up.
func TestConcurrencyLimitsUnderFaults(t *testing.T) {
	const ofType, ofHost = 20, 8
	const late = 60_000 // microseconds that a client may hear of an end after its node
	for _, c := range []struct {
		name, faults string
		cut          int
	}{
		{"all well", "", 0},
		{"cut in two", `{at="20s",kind="link_split",parts=2,for="12s"}`, 3},
		{"cut in three, one of them a node alone", `{at="20s",kind="link_cut",nodes=["n-0"],for="12s"},{at="20s",kind="link_split",parts=2,for="12s"}`, 4},
		{"half killed", `{at="20s",kind="node_kill",count=3,for="8s"}`, 3},
		{"one after the other restarted", `{at="15s",kind="node_kill",count=6,for="500ms",step="4s"}`, 6},
		{"three stopped for longer than a permit", `{at="20s",kind="node_pause",count=3,for="9s"}`, 3},
		{"loss, doubled, mixed up, again", `{at="15s",kind="link_loss",share=1.0,size=0.4,for="20s"},{at="15s",kind="link_twice",share=1.0,size=0.5,for="20s"},
			{at="15s",kind="link_mixed",share=1.0,size=0.3,for="20s"},{at="15s",kind="link_again",share=1.0,size=0.5,for="20s"}`, 6},
		{"clocks", `{at="20s",kind="node_clock",nodes=["n-0"],size=3600.0},{at="25s",kind="node_clock",nodes=["n-1"],size=-3600.0},
			{at="15s",kind="node_rate",nodes=["n-2"],size=1.05,for="20s"}`, 2},
	} {
		for _, promise := range []string{"strict", "available"} {
			r := playChecked(t, "fleet-overload", `nodes=[{count=6,zone="port"}]`, "cluster.on=true", "demand.rate=8", "faults=["+c.faults+"]",
				fmt.Sprintf(`cluster.limits=[{over="type",of="studio-feed",at_once=%d,promise=%q},{over="host",at_once=%d,promise=%q}]`, ofType, promise, ofHost, promise))
			types := r.AtOnce(late, func(f *record.Flow) string { return r.Types[f.Type].Name })
			hosts := r.AtOnce(late, func(f *record.Flow) string { return r.Hosts[f.Host].Name })
			worst := 0
			for _, n := range hosts {
				worst = max(worst, n)
			}
			ofTypes, ofHosts := ofType, ofHost
			if promise == "available" {
				ofTypes, ofHosts = ofType*(1+c.cut)+6, ofHost*(1+c.cut)+6
			}
			if types["studio-feed"] > ofTypes || worst > ofHosts {
				t.Errorf("%s, %s: %d of a type at once, at most %d; %d at a host, at most %d", c.name, promise, types["studio-feed"], ofTypes, worst, ofHosts)
			}
			if types["studio-feed"] < ofType*9/10 || worst < ofHost*9/10 {
				t.Errorf("%s, %s: %d of a type at once and %d at a host: the limit is not used", c.name, promise, types["studio-feed"], worst)
			}
			t.Logf("%s, %s: %d of a type at once, %d at a host, %d moves", c.name, promise, types["studio-feed"], worst, r.Counts.Moves)
		}
	}
}
