package main

import (
	"fmt"
	"time"
)

func init() { cases["address"] = addressAfterRoll }

// addressAfterRoll plays clients of one address that take a second and more for their first line, while their node is rolled.
// The fleet keeps a strict limit over addresses.
func addressAfterRoll(b *bench) {
	h1, h2 := b.startHost("s-1"), b.startHost("s-2")
	nodes := b.newFleet(b.startDiscovery(h1, h2), 3)
	const atOnce, clients = 3, 12
	limit := map[string]any{"over": "address", "at_once": atOnce, "promise": "strict"}
	for i, n := range nodes {
		n.start(fmt.Sprintf("n%d", i+1), limit)
	}
	for _, n := range nodes {
		b.waitReady(n.admin, 8*time.Second)
	}
	time.Sleep(12 * time.Second) // for 9 s after the start no numbers at once are granted
	n := nodes[0]
	old := n.program
	var slow []*client
	for range clients {
		c, err := connect(n.listen)
		if err != nil {
			b.cannotRun("%v", err)
		}
		fmt.Fprintf(c, "OPEN %s key", c.id)
		slow = append(slow, c)
	}
	b.note("%d clients of one address have sent half of their line", clients)
	if b.trouble {
		n.start("n1-new", limit)
		b.waitReady(n.admin, 6*time.Second)
		b.stop(old)
	}
	time.Sleep(800 * time.Millisecond)
	for _, c := range slow {
		fmt.Fprintf(c, "%s c=studio-feed,d=1500\r\n", c.id)
		b.note("client %s has sent the other half", c.id)
		go func() {
			answer, err := c.readLine(2500 * time.Millisecond)
			b.note("client %s is answered %q %v", c.id, answer, err)
		}()
		time.Sleep(80 * time.Millisecond)
	}
	most := b.mostFlows("studio-feed", 5*time.Second, h1, h2)
	b.verdict(most > atOnce, "%d flows of one address at one moment under a strict limit of %d", most, atOnce)
}
