package main

import "time"

func init() { cases["adopted"] = limitTurnedOnByRoll }

// limitTurnedOnByRoll plays a node that is rolled to a file with a strict limit, while it holds more flows than the limit allows.
func limitTurnedOnByRoll(b *bench) {
	h1, h2 := b.startHost("s-1"), b.startHost("s-2")
	nodes := b.newFleet(b.startDiscovery(h1, h2), 3)
	const atOnce = 3
	limit := map[string]any{"over": "type", "of": "studio-feed", "at_once": atOnce, "promise": "strict"}
	nodes[0].start("n1-old", nil)
	nodes[1].start("n2", limit)
	nodes[2].start("n3", limit)
	for _, n := range nodes {
		b.waitReady(n.admin, 8*time.Second)
	}
	for range atOnce + 1 {
		b.addClient(nodes[0].listen, "studio-feed")
	}
	b.mostFlows("studio-feed", 3*time.Second, h1, h2)
	old := nodes[0].program
	if b.trouble {
		nodes[0].start("n1-new", limit)
		b.waitReady(nodes[0].admin, 6*time.Second)
		b.stop(old)
	} else { // the same change by a plain restart
		b.stop(old)
		nodes[0].start("n1-new", limit)
	}
	b.note("each process of the fleet has the limit now")
	for range atOnce + 1 {
		b.addClient(nodes[1].listen, "studio-feed")
		b.addClient(nodes[2].listen, "studio-feed")
	}
	b.mostFlows("studio-feed", 20*time.Second, h1, h2) // 9 s at most until numbers at once are granted again, 2 s until a change counts
	b.note("from here on the limit has to hold")
	most := b.mostFlows("studio-feed", 15*time.Second, h1, h2)
	b.verdict(most > atOnce, "%d flows at one moment under a strict limit of %d", most, atOnce)
}
