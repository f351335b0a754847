package virtual

import (
	"fmt"
	"testing"

	"coursewinch/node"
	"coursewinch/rehearsal/scenario"
	"coursewinch/settings"
)

// TestBytesBetweenNodes bounds what a node sends in a second with no limit and with ten, without overload or faults. A
// lease costs each node a request and a vote for each other node within half of its duration. A flow costs a request and
// an answer for each rate limit, and three of both for each concurrency limit: to take a permit, renew it and return it.
func TestBytesBetweenNodes(t *testing.T) {
	const (
		from      = 8_000_000 // microseconds; leases are taken by then
		seconds   = 12
		maxAsking = 80 // bytes of a datagram for a lease or a limit
	)
	tenLimits := ""
	for i, over := range []string{"address", "type", "group"} {
		for _, kind := range []string{"rate=100.0,burst=100.0", "at_once=1000"} {
			tenLimits += fmt.Sprintf(`{over=%q,%s,promise="strict"},`, over, kind)
			if i == 1 {
				tenLimits += fmt.Sprintf(`{over="type",of="replay-view",%s,promise="strict"},`, kind)
			}
		}
	}
	tenLimits += `{over="host",at_once=200,promise="strict"},{over="cold",promise="strict"}`
	for _, n := range []int{12, 60} {
		var got [2]float64
		for i, limits := range []string{"", tenLimits} {
			s, err := scenario.LoadWithOverrides("fleet-overload", []string{"cluster.on=true",
				fmt.Sprintf("length=\"%ds\"", seconds), "demand.rate=5",
				fmt.Sprintf(`nodes=[{count=%d,zone="port"}]`, n), "cluster.limits=[" + limits + "]"})
			if err != nil {
				t.Fatal(err)
			}
			sent := 0
			tune := func(_ int, _ *settings.Settings, c *node.Config) {
				send := c.Cluster.Send
				c.Cluster.Send = func(to int, p []byte) {
					sent += len(p)
					send(to, p)
				}
			}
			sentBefore := 0
			watch := func(at int64, _ map[int][]node.Holding) {
				if at == from {
					sentBefore = sent
				}
			}
			if _, err := Play(s, Options{Configure: tune, OnSecond: watch}); err != nil {
				t.Fatal(err)
			}
			got[i] = float64(sent-sentBefore) / (seconds - from/1e6) / float64(n)
		}
		hosts := 12.0 // each node holds permits of all of them
		most := 1.05*got[0] + 2*maxAsking*float64(n-1)/0.8 + 20*2*maxAsking*5/float64(n) + 2*maxAsking*hosts
		if got[1] > most {
			t.Errorf("%d nodes: %.0f bytes a second and node with ten limits, at most %.0f", n, got[1], most)
		}
		t.Logf("%d nodes: %.0f bytes a second and node, %.0f with ten limits, at most %.0f", n, got[0], got[1], most)
	}
}
