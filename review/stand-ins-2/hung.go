package main

import (
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["hung"] = hungSuccessor }

// brought returns how many flows a process has brought up; -1 if it does not answer.
func brought(admin string) (sum int) {
	status, body := call("GET", admin, "/-/metrics")
	if status != 200 {
		return -1
	}
	for _, line := range strings.Split(body, "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.HasPrefix(name, "success.") {
			count, _ := strconv.Atoi(value)
			sum += count
		}
	}
	return sum
}

// hungSuccessor plays a roll in which the new process hangs for 4 s while it joins, under clients that open and close in a loop.
func hungSuccessor(b *bench) {
	h1, h2, h3 := b.startHost("s-1"), b.startHost("s-2"), b.startHost("s-3")
	n := b.newFleet(b.startDiscovery(h1, h2, h3), 1)[0]
	n.config["settings"] = settings(21, 0) // one of 21 nodes: they spread their first calls to discovery over a second
	n.start("old", nil)
	b.waitReady(n.admin, 8*time.Second)
	time.Sleep(2 * time.Second)
	for range 16 {
		go func() {
			for {
				if c, _ := openFlow(n.listen, "replay-view", 2000); c != nil {
					c.Close()
				}
				time.Sleep(time.Duration(20+rand.Intn(60)) * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	old, oldAdmin := n.program, n.admin
	n.start("new", nil)
	for end := time.Now().Add(4 * time.Second); b.trouble; time.Sleep(2 * time.Millisecond) {
		status, body := call("GET", n.admin, "/-/ready")
		if status == 503 && body == "joining" {
			n.program.send(syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			n.program.send(syscall.SIGCONT)
			break
		}
		if status == 200 || time.Now().After(end) {
			b.cannotRun("the new process was not seen while it joins: %d %s", status, body)
		}
	}
	if !b.trouble {
		b.waitReady(n.admin, 6*time.Second)
		b.stop(old)
	}
	time.Sleep(5 * time.Second) // the end of a process takes 3.5 s at most
	before := [2]int{brought(oldAdmin), brought(n.admin)}
	time.Sleep(3 * time.Second)
	after := [2]int{brought(oldAdmin), brought(n.admin)}
	b.note("flows brought up in 3 s: by the old process %d, by the new one %d (-1: it does not answer)",
		after[0]-before[0], after[1]-before[1])
	both := after[0] > before[0] && after[1] > before[1]
	yes := 0
	if both {
		status, body := call("PUT", oldAdmin, "/-/drain")
		b.note("drain at the old process: %d %s", status, body)
		time.Sleep(4500 * time.Millisecond)
		for range 20 {
			if c, err := net.DialTimeout("tcp", n.listen, time.Second); err == nil {
				c.SetDeadline(time.Now().Add(time.Second))
				io.WriteString(c, "PING\r\n")
				answer := make([]byte, 16)
				if size, _ := c.Read(answer); string(answer[:size]) == "PONG\r\n" {
					yes++
				}
				c.Close()
			}
		}
		b.note("4.5 s after the drain %d of 20 PINGs at the node's address are answered yes", yes)
	}
	b.verdict(both, "both processes bring up flows: %t; %d of 20 PINGs answered yes after a drain", both, yes)
}
