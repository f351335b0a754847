package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["3"] = drainDuringRoll }

// standing is an established flow of a client that sends a line every 2 s, as clients do.
type standing struct {
	id    string
	mu    sync.Mutex
	moved bool
	ended bool
}

func (s *standing) state() (moved, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved, s.ended
}

// openStanding opens a flow and keeps it until the node ends it.
func (r *run) openStanding(address, id string) *standing {
	c := r.dial(address)
	fmt.Fprintf(c, "OPEN %s k%s c=studio-feed,d=1800\r\n", id, id)
	in := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	if line, err := in.ReadString('\n'); !strings.HasPrefix(line, "UP ") {
		r.fail("flow %s: answer %q, %v", id, line, err)
	}
	r.note("client %s: UP", id)
	c.SetReadDeadline(time.Time{})
	s := &standing{id: id}
	go func() {
		for range time.Tick(2 * time.Second) {
			if _, err := io.WriteString(c, "M "+id+"\r\n"); err != nil {
				return
			}
		}
	}()
	go func() {
		for {
			line, err := in.ReadString('\n')
			s.mu.Lock()
			if line == "MOVE\r\n" {
				s.moved = true
			}
			if err != nil {
				s.ended = true
				r.note("client %s: end, moved %t", id, s.moved)
				s.mu.Unlock()
				c.Close()
				return
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// ping asks a node for PONG on a new connection, as the front does.
func ping(address string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "PING\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}

// drainDuringRoll drains a node while its next version is joining.
func drainDuringRoll(r *run) {
	serve := func(h *host, c net.Conn, in *bufio.Reader, open string) {
		r.note("%s: %s", h.name, open)
		fmt.Fprintf(c, "UP r%s\r\n", strings.Fields(open)[1])
		echo(c, in)
	}
	var list []entry
	for i := range 3 {
		list = append(list, r.startHost(fmt.Sprintf("h%d", i), serve).entry(1))
	}
	d := r.startDiscovery(list)
	set := settings(map[string]any{"Name": "studio-feed", "Benefit": 3.0, "Effect": "safe", "SetupTargetMs": 300.0, "HardLimitMs": 1800.0})
	listen := r.freeAddress()
	old := r.startNode("old", nodeConfig("n1", listen, r.freeAddress(), d, set))
	old.waitReady(10 * time.Second)
	var flows []*standing
	for i := range 20 {
		flows = append(flows, r.openStanding(listen, fmt.Sprintf("f%d", i)))
	}
	var next *node
	if r.trouble {
		d.delay.Store(1000) // discovery is slow
		next = r.startNode("next", nodeConfig("n1", listen, r.freeAddress(), d, set))
		next.waitLog("msg=joining", 5*time.Second)
	}
	called := time.Now()
	status, body := old.call("PUT", "/-/drain")
	r.note("PUT /-/drain at old: %d %s", status, body)
	if status != 200 {
		r.fail("drain: %d %s", status, body)
	}
	if r.trouble {
		next.waitReady(5 * time.Second)
		old.signal(syscall.SIGTERM)
		if !old.waitExit(5 * time.Second) {
			r.fail("the old process did not end")
		}
	}
	last := ""
	for time.Since(called) < 8*time.Second {
		answer := ping(listen)
		if answer != last {
			r.note("PING: %s", answer)
		}
		last = answer
		if answer == "PONG" && time.Since(called) > 4*time.Second {
			r.breaks("%.1f s after the call for a drain was answered with 200, PING is still answered PONG", time.Since(called).Seconds())
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	held := 0
	for _, f := range flows {
		if moved, ended := f.state(); !moved && !ended {
			held++
		}
	}
	r.note("flows held and not moved: %d of %d", held, len(flows))
	if held > 0 {
		r.breaks("%d of %d connections of clients are still held and were not moved %.1f s after the call", held, len(flows), time.Since(called).Seconds())
	}
}
