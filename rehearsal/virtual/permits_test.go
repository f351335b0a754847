package virtual

import (
	"fmt"
	"testing"

	"coursewinch/rehearsal/record"
)

// TestConcurrencyLimitsUnderFaults lets six nodes together limit the concurrent flows of a service type and the
// connections of each host. Strict limits are never exceeded, whatever fails, and available ones never by more than their
// formula says. All are used to at least nine tenths.
func TestConcurrencyLimitsUnderFaults(t *testing.T) {
	const typeLimit, hostLimit = 20, 8
	const late = 60_000 // microseconds by which a client may see an end after its node
	for _, c := range []struct {
		name, faults string
		partitions   int // that may each grant the whole limit besides the first, where it is available
	}{
		{"no fault", "", 0},
		{"links split in two", `{at="20s",kind="link_split",parts=2,for="12s"}`, 3},
		{"links split in three, one part a single node", `{at="20s",kind="link_cut",nodes=["n-0"],for="12s"},{at="20s",kind="link_split",parts=2,for="12s"}`, 4},
		{"half of the nodes killed", `{at="20s",kind="node_kill",count=3,for="8s"}`, 3},
		{"nodes restarted one after the other", `{at="15s",kind="node_kill",count=6,for="500ms",step="4s"}`, 6},
		{"three nodes paused for longer than a permit", `{at="20s",kind="node_pause",count=3,for="9s"}`, 3},
		{"datagrams lost, duplicated, reordered and replayed", `{at="15s",kind="link_loss",share=1.0,size=0.4,for="20s"},{at="15s",kind="link_twice",share=1.0,size=0.5,for="20s"},
			{at="15s",kind="link_mixed",share=1.0,size=0.3,for="20s"},{at="15s",kind="link_again",share=1.0,size=0.5,for="20s"}`, 6},
		{"clocks wrong", `{at="20s",kind="node_clock",nodes=["n-0"],size=3600.0},{at="25s",kind="node_clock",nodes=["n-1"],size=-3600.0},
			{at="15s",kind="node_rate",nodes=["n-2"],size=1.05,for="20s"}`, 2},
	} {
		for _, promise := range []string{"strict", "available"} {
			r := playChecked(t, "fleet-overload", `nodes=[{count=6,zone="port"}]`, "cluster.on=true", "demand.rate=8", "faults=["+c.faults+"]",
				fmt.Sprintf(`cluster.limits=[{over="type",of="studio-feed",at_once=%d,promise=%q},{over="host",at_once=%d,promise=%q}]`, typeLimit, promise, hostLimit, promise))
			types := r.PeakConcurrent(late, func(f *record.Flow) string { return r.Types[f.ServiceType].Name })
			hosts := r.PeakConcurrent(late, func(f *record.Flow) string { return r.Hosts[f.Host].Name })
			worst := 0
			for _, n := range hosts {
				worst = max(worst, n)
			}
			maxOfType, maxAtHost := typeLimit, hostLimit
			if promise == "available" {
				maxOfType, maxAtHost = typeLimit*(1+c.partitions)+6, hostLimit*(1+c.partitions)+6
			}
			if types["studio-feed"] > maxOfType || worst > maxAtHost {
				t.Errorf("%s, %s: %d concurrent flows of a type, at most %d allowed; %d at a host, at most %d", c.name, promise,
					types["studio-feed"], maxOfType, worst, maxAtHost)
			}
			if types["studio-feed"] < typeLimit*9/10 || worst < hostLimit*9/10 {
				t.Errorf("%s, %s: %d concurrent flows of a type and %d at a host: the limit is not used", c.name, promise, types["studio-feed"], worst)
			}
			t.Logf("%s, %s: %d concurrent flows of a type, %d at a host, %d moves", c.name, promise, types["studio-feed"], worst, r.Counts.Moves)
		}
	}
}
