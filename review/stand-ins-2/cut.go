package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["cut"] = cutFromTheOthers }

// relayLinks puts a relay between each two nodes, which passes datagrams on while cut is not set. Each node knows each other
// one by an address of the relay, and hears it from there. Cutting cuts the first node off.
func (b *bench) relayLinks(nodes []*fleetNode, cut *atomic.Bool) {
	sockets := map[[2]int]net.PacketConn{} // by the node that sends there and the node that it stands for
	for i, n := range nodes {
		n.others = nil
		for j := range nodes {
			if i == j {
				continue
			}
			c, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				b.cannotRun("%v", err)
			}
			sockets[[2]int{i, j}] = c
			n.others = append(n.others, c.LocalAddr().String())
		}
	}
	for pair, in := range sockets {
		out := sockets[[2]int{pair[1], pair[0]}]
		to, err := net.ResolveUDPAddr("udp", nodes[pair[1]].clusterAddress)
		if err != nil {
			b.cannotRun("%v", err)
		}
		go func() {
			datagram := make([]byte, 2048)
			for {
				size, _, err := in.ReadFrom(datagram)
				if err == nil && !(cut.Load() && (pair[0] == 0 || pair[1] == 0)) {
					out.WriteTo(datagram[:size], to)
				}
			}
		}()
	}
}

// sendList answers a client's line "LIST" with 8 MB of lines, as fast as they are taken.
func sendList(h *host, c net.Conn, id, line string) bool {
	if line != "LIST" {
		return false
	}
	go func() {
		for i := range 8000 {
			if _, err := fmt.Fprintf(c, "item %06d %s\r\n", i, strings.Repeat("x", 986)); err != nil {
				return
			}
		}
	}()
	return true
}

// cutFromTheOthers plays a fleet with a strict number at once, in which a node is cut off from the others while its clients read
// nothing for 14 s.
func cutFromTheOthers(b *bench) {
	h1, h2, h3 := b.startHost("s-1"), b.startHost("s-2"), b.startHost("s-3")
	for _, h := range []*host{h1, h2, h3} {
		h.onLine = sendList
	}
	nodes := b.newFleet(b.startDiscovery(h1, h2, h3), 3)
	var cut atomic.Bool
	b.relayLinks(nodes, &cut)
	const atOnce = 3
	limit := map[string]any{"over": "type", "of": "studio-feed", "at_once": atOnce, "promise": "strict"}
	for i, n := range nodes {
		n.config["holding"] = map[string]any{"stalled_ms": 15000}
		n.start(fmt.Sprintf("n%d", i+1), limit)
	}
	for _, n := range nodes {
		b.waitReady(n.admin, 8*time.Second)
	}
	time.Sleep(12 * time.Second) // for 9 s after the start no numbers at once are granted
	var stalled []*client
	for end := time.Now().Add(10 * time.Second); len(stalled) < atOnce; time.Sleep(200 * time.Millisecond) {
		if c, answer := openFlow(nodes[0].listen, "studio-feed", 1800); c != nil {
			stalled = append(stalled, c)
		} else if time.Now().After(end) {
			b.cannotRun("no flow: %s", answer)
		}
	}
	for _, c := range stalled {
		fmt.Fprintf(c, "LIST\r\n")
	}
	b.note("%d clients of n1 ask for a list and read nothing for 14 s", atOnce)
	time.Sleep(500 * time.Millisecond)
	if b.trouble {
		b.note("n1 is cut off from n2 and n3")
		cut.Store(true)
	}
	for range atOnce {
		b.addClient(nodes[1].listen, "studio-feed")
		b.addClient(nodes[2].listen, "studio-feed")
	}
	most := b.mostFlows("studio-feed", 13*time.Second, h1, h2, h3)
	cut.Store(false)
	b.note("n1 is linked again")
	for i, c := range stalled {
		go func() {
			lines, last, err := 0, "", error(nil)
			for ; err == nil; lines++ {
				var line string
				if line, err = c.readLine(3 * time.Second); err == nil {
					last = line
				}
			}
			b.note("client %d has read on: %d lines, the last one %.11q, then %v", i, lines-1, last, err)
		}()
	}
	b.mostFlows("studio-feed", 4*time.Second, h1, h2, h3)
	b.verdict(most > atOnce, "%d flows at one moment under a strict limit of %d", most, atOnce)
}
