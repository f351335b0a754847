package virtual

import (
	"fmt"
	"testing"

	"coursewinch/node"
	"coursewinch/rehearsal/scenario"
	"coursewinch/settings"
)

// TestBytesBetweenNodes: what a node sends a second with no limit and with ten, in calm. Leases cost each node an asking and
// a vote for each other one within half of a lease; each flow an asking and an answer for each rate, and three for
// each number: to have one, to renew it, to give it back.
func TestBytesBetweenNodes(t *testing.T) {
	const from, seconds, asking = 8_000_000, 12, 80 // bytes of a lease's or a limit's datagram at most
	ten := ""
	for i, over := range []string{"address", "type", "group"} {
		for _, kind := range []string{"rate=100.0,burst=100.0", "at_once=1000"} {
			ten += fmt.Sprintf(`{over=%q,%s,promise="strict"},`, over, kind)
			if i == 1 {
				ten += fmt.Sprintf(`{over="type",of="replay-view",%s,promise="strict"},`, kind)
			}
		}
	}
	ten += `{over="host",at_once=200,promise="strict"},{over="cold",promise="strict"}`
	for _, n := range []int{12, 60} {
		var got [2]float64
		for i, limits := range []string{"", ten} {
			s, err := scenario.LoadWith("fleet-overload", []string{"cluster.on=true", fmt.Sprintf("length=\"%ds\"", seconds), "demand.rate=5", fmt.Sprintf(`nodes=[{count=%d,zone="port"}]`, n), "cluster.limits=[" + limits + "]"})
			if err != nil {
				t.Fatal(err)
			}
			bytes := 0
			tune := func(_ int, _ *settings.Settings, c *node.Config) {
				send := c.Cluster.Send
				c.Cluster.Send = func(to int, p []byte) {
					bytes += len(p)
					send(to, p)
				}
			}
			begun := 0
			watch := func(at int64, _ map[int][]node.Hold) {
				if at == from {
					begun = bytes // leases stand by now
				}
			}
			if _, err := Play(s, Options{Configure: tune, Watch: watch}); err != nil {
				t.Fatal(err)
			}
			got[i] = float64(bytes-begun) / (seconds - from/1e6) / float64(n)
		}
		hosts := 12.0 // of which a number is in hand at each node
		most := 1.05*got[0] + 2*asking*float64(n-1)/0.8 + 20*2*asking*5/float64(n) + 2*asking*hosts
		if got[1] > most {
			t.Errorf("%d nodes: %.0f bytes a second and node with ten limits, at most %.0f", n, got[1], most)
		}
		t.Logf("%d nodes: %.0f bytes a second and node, %.0f with ten limits, at most %.0f", n, got[0], got[1], most)
	}
}
