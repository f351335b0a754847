package main

import (
	"io"
	"net"
	"syscall"
	"time"
)

func init() { cases["pause"] = pausedPredecessor }

// pausedPredecessor plays a roll by the operators' steps, while the old process stands still for 4 s.
func pausedPredecessor(b *bench) {
	h1, h2, h3 := b.startHost("s-1"), b.startHost("s-2"), b.startHost("s-3")
	n := b.newFleet(b.startDiscovery(h1, h2, h3), 1)[0]
	n.config["settings"] = settings(21, 0) // one of 21 nodes: they spread their first calls to discovery over a second
	n.start("old", nil)
	b.waitReady(n.admin, 8*time.Second)
	time.Sleep(2 * time.Second)
	for range 4 {
		b.addClient(n.listen, "replay-view")
	}
	time.Sleep(time.Second)
	old := n.program
	n.start("new", nil)
	for end := time.Now().Add(4 * time.Second); b.trouble; time.Sleep(2 * time.Millisecond) {
		status, body := call("GET", n.admin, "/-/ready")
		if status == 503 && body == "joining" {
			break
		}
		if status == 200 || time.Now().After(end) {
			b.cannotRun("the new process was not seen while it joins: %d %s", status, body)
		}
	}
	paused := time.Now()
	if b.trouble {
		old.send(syscall.SIGSTOP)
	}
	b.waitReady(n.admin, 6*time.Second)
	b.note("the new process says yes: 200")
	old.send(syscall.SIGTERM)
	if b.trouble {
		time.Sleep(time.Until(paused.Add(4 * time.Second)))
		old.send(syscall.SIGCONT)
	}
	code := old.waitEnd(6 * time.Second)
	b.note("the old process: exit code %d", code)
	time.Sleep(4 * time.Second)
	status, body := call("GET", n.admin, "/-/ready")
	b.note("ready at the new process: %d %.80s", status, body)
	answered := 0
	for range 5 {
		c, err := net.DialTimeout("tcp", n.listen, time.Second)
		if err != nil {
			b.note("PING at the node's address: %v", err)
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(c, "PING\r\n")
		answer := make([]byte, 16)
		size, err := c.Read(answer)
		b.note("PING at the node's address: %q %v", answer[:size], err)
		if err == nil {
			answered++
		}
		c.Close()
	}
	b.verdict(n.program.hasEnded() && answered == 0, "the new process has ended: %t; %d of 5 PINGs answered after the roll",
		n.program.hasEnded(), answered)
}
