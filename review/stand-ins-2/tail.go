package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["tail"] = tailOfFlow }

const (
	tailClients = 8
	tailLines   = 500 // of 1,000 bytes: more than the system holds for a client that reads nothing
	tailPause   = 6 * time.Second
)

// sendAndEnd answers a client's line "LIST" with numbered lines, and then ends the flow in order.
func sendAndEnd(h *host, c net.Conn, id, line string) bool {
	if line != "LIST" {
		return false
	}
	var text strings.Builder
	for i := range tailLines {
		fmt.Fprintf(&text, "item %06d %s\r\n", i, strings.Repeat("x", 986))
	}
	text.WriteString("BYE\r\n")
	_, err := io.WriteString(c, text.String())
	c.(*net.TCPConn).CloseWrite()
	h.bench.note("%s has sent flow %s %d lines and BYE, and ended its side: %v", h.uid, id, tailLines, err)
	return true
}

// tailOfFlow plays clients that read nothing for some seconds, while their host sends them a list and ends the flow.
func tailOfFlow(b *bench) {
	h1, h2, h3 := b.startHost("s-1"), b.startHost("s-2"), b.startHost("s-3")
	for _, h := range []*host{h1, h2, h3} {
		h.onLine = sendAndEnd
	}
	d := b.startDiscovery(h1, h2, h3)
	listen := b.freePort()
	config := nodeConfig("n1", listen, d, 1, 0)
	config["holding"] = map[string]any{"stalled_ms": 15000}
	b.startNode("n1", b.writeConfig("n1", config))
	time.Sleep(1500 * time.Millisecond)
	var all sync.WaitGroup
	var cut atomic.Int32
	for i := range tailClients {
		time.Sleep(250 * time.Millisecond)
		c, answer := openFlow(listen, "replay-view", 3000)
		if c == nil {
			b.cannotRun("client %d has no flow: %s", i, answer)
		}
		all.Add(1)
		go func() { // a client sends a line every 2 s
			for text := "LIST"; ; text = "line" {
				if _, err := fmt.Fprintf(c, "%s\r\n", text); err != nil {
					return
				}
				time.Sleep(2 * time.Second)
			}
		}()
		go func() {
			defer all.Done()
			if b.trouble {
				b.note("client %d reads nothing for %s", i, tailPause)
				time.Sleep(tailPause)
			}
			next, last := 0, ""
			for {
				line, err := c.readLine(5 * time.Second)
				if err != nil {
					b.note("client %d: %d of %d lines in order, the last line is %.11q, then: %v", i, next, tailLines, last, err)
					break
				}
				var number int
				if n, _ := fmt.Sscanf(line, "item %d ", &number); n == 1 && number == next && len(line) == 998 {
					next++
				}
				last = line
			}
			if next < tailLines || last != "BYE" {
				cut.Add(1)
			}
		}()
	}
	all.Wait()
	b.verdict(cut.Load() > 0, "%d of %d clients did not get all lines that their host sent before its BYE", cut.Load(), tailClients)
}
