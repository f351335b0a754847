package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coursewinch/discovery"
	"coursewinch/epoll"
	"coursewinch/node"
	"coursewinch/settings"
)

// steppedNode is a node on real sockets whose loop iterations and clock are driven by the test.
type steppedNode struct {
	*nodeHandler
	t    *testing.T
	loop *epoll.Loop
	now  int64
	addr string
}

// newSteppedNode returns a node whose loop holds at most room sockets, with these hosts on its list.
func newSteppedNode(t *testing.T, room int, hosts ...*fakeHost) *steppedNode {
	t.Helper()
	parsedSettings, err := settings.ParseJSON([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	n := &steppedNode{nodeHandler: &nodeHandler{}, t: t, now: 1_000_000_000}
	if n.loop, err = epoll.New(room, n.nodeHandler, func() {}); err != nil {
		t.Fatal(err)
	}
	n.Node = node.New(parsedSettings, node.Config{Discovery: "127.0.0.1:1"}, n.loop)
	address, err := n.loop.Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	n.addr = address.String()
	var known discovery.List
	for i, h := range hosts {
		known.Entries = append(known.Entries, discovery.Entry{UID: fmt.Sprintf("s-%d", i),
			Endpoint: h.listener.Addr().String(), Zone: "a", State: "ready", Size: 1})
	}
	n.Begin(n.now, known)
	return n
}

// step advances the clock and runs one iteration with the events that are ready.
func (n *steppedNode) step(us int64) {
	n.t.Helper()
	if err := n.loop.Wait(0); err != nil {
		n.t.Fatal(err)
	}
	n.now += us
	n.RunIteration(n.now, n.loop.Dispatch)
}

// stepUntil runs iterations, which advance the clock by a microsecond each, until done returns true.
func (n *steppedNode) stepUntil(what string, done func() bool) {
	n.t.Helper()
	for from := time.Now(); !done(); {
		if time.Since(from) > testTimeout {
			n.t.Fatal("not reached: " + what)
		}
		if err := n.loop.Wait(1000); err != nil {
			n.t.Fatal(err)
		}
		n.now++
		n.RunIteration(n.now, n.loop.Dispatch)
	}
}

func (n *steppedNode) dial() *net.TCPConn {
	n.t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn)
}

// writeAndAwait writes and waits until the kernel of the other side has received all of it.
func writeAndAwait(t *testing.T, c *net.TCPConn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	raw, _ := c.SyscallConn()
	for left := 1; left > 0; {
		raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
}

// wantAll reads to the end of a connection. The end must not be a reset, which may lose bytes sent before.
func wantAll(t *testing.T, c *net.TCPConn, want string) {
	t.Helper()
	if text, err := io.ReadAll(c); err != nil || string(text) != want {
		t.Fatalf("got %q, %v, want %q", text, err, want)
	}
}

const openLine = "OPEN %d 7f3a c=chat,d=2000\r\n"

// Two clients without a flow, one silent and one that sent PING, send their requests at the moment when a stopping node
// answers them BUSY. The requests must not be accepted, and the clients have to receive the answer.
func TestRequestCrossesBusyAtStop(t *testing.T) {
	h := newHost(t, "UP 1\r\n")
	n := newSteppedNode(t, 100, h)
	idle, asked := n.dial(), n.dial()
	n.stepUntil("accepted", func() bool { return n.Count.Accepted == 2 })
	writeAndAwait(t, asked, "PING\r\n")
	got := make([]byte, 6)
	n.stepUntil("PONG", func() bool {
		asked.SetReadDeadline(time.Now().Add(time.Millisecond))
		k, _ := io.ReadFull(asked, got)
		return k == 6
	})
	asked.SetReadDeadline(time.Now().Add(testTimeout))
	n.Stop()
	n.step(1_000_000) // the node stops accepting in this iteration
	n.step(10_000)
	writeAndAwait(t, idle, fmt.Sprintf(openLine, 1))
	writeAndAwait(t, asked, fmt.Sprintf(openLine, 2))
	if n.Done() {
		t.Fatal("the node stopped before the requests were answered")
	}
	idle.CloseWrite()
	asked.CloseWrite()
	n.stepUntil("done", n.Done)
	n.loop.RefuseQueued(refusalTimeout)
	wantAll(t, idle, "BUSY\r\n")
	wantAll(t, asked, "BUSY\r\n")
	if n.Count.Requests != 0 || n.Count.Connects != 0 {
		t.Fatal("a request after the last answer was accepted", n.Count.Requests, n.Count.Connects)
	}
}

// A client's request has arrived but is not read when its connection is shed because descriptors run out. The client has to
// receive BUSY and a close.
func TestRequestCrossesShedding(t *testing.T) {
	n := newSteppedNode(t, 40)
	for range 2 { // the first may be the front-end load balancer, and is not shed
		c := n.dial()
		writeAndAwait(t, c, "PING\r\n")
	}
	idle := n.dial()
	writeAndAwait(t, idle, "PING\r\n")
	n.stepUntil("answered", func() bool { return n.Count.Accepted == 3 })
	n.step(1)
	if _, err := io.ReadFull(idle, make([]byte, len("NO\r\n"))); err != nil {
		t.Fatal(err)
	}
	n.step(1_100_000)
	writeAndAwait(t, idle, fmt.Sprintf(openLine, 3))
	n.loop.SetMaxSockets(n.loop.MaxSockets() - n.loop.Room()) // no descriptor is left
	n.now += 1000
	n.RunIteration(n.now, func() { n.CanAccept() }) // asks for room for one more client; input is not read in this iteration
	if n.Count.Shed != 2 {
		t.Fatal("connections shed:", n.Count.Shed)
	}
	result := make(chan string, 1)
	go func() {
		text, err := io.ReadAll(idle)
		result <- fmt.Sprint(string(text), err)
	}()
	for got := ""; got == ""; {
		n.step(1)
		select {
		case got = <-result:
			if got != "BUSY\r\n<nil>" {
				t.Fatal(got)
			}
		default:
		}
	}
}

// A client sends its request and closes at once, in one direction or both. Both are in the kernel's buffer when the request
// is read. No connect may be made for it.
func TestNoConnectForClientThatLeft(t *testing.T) {
	h := newHost(t, "UP 1\r\n")
	for i, leave := range []func(*net.TCPConn){func(c *net.TCPConn) { c.CloseWrite() }, func(c *net.TCPConn) { c.Close() }} {
		n := newSteppedNode(t, 100, h)
		c := n.dial()
		n.stepUntil("accepted", func() bool { return n.Count.Accepted == 1 })
		writeAndAwait(t, c, fmt.Sprintf(openLine, 10+i))
		leave(c)
		n.stepUntil("left", func() bool { return n.Count.ClientsLeft == 1 })
		if n.Count.Connects != 0 || n.Count.Requests != 1 {
			t.Fatal("a connect was made for a client that left", n.Count.Connects)
		}
	}
}

// Signals arrive while another one is handled. The process has to stop once, gracefully, with its flow asked to move.
func TestOverlappingSignals(t *testing.T) {
	for name, send := range map[string]func(p *program, conf string){
		"SIGTERM twice": func(p *program, _ string) {
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.cmd.Process.Signal(syscall.SIGTERM)
		},
		"SIGTERM beside SIGHUP": func(p *program, conf string) {
			p.cmd.Process.Signal(syscall.SIGHUP)
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.cmd.Process.Signal(syscall.SIGHUP)
		},
		"SIGINT while it stops": func(p *program, _ string) {
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.waitFor(t, "msg=stopping")
			p.cmd.Process.Signal(syscall.SIGINT)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "UP 1\r\n")
			l := listText(5, "ready", h)
			p := startNode(t, newDiscovery(t, l), l, 200)
			c := p.openFlow(t, "")
			c.wantLine(t, "UP 1\r\n")
			send(p, "")
			c.wantLine(t, "MOVE\r\n")
			c.wantLine(t, "")
			if err := p.waitExit(t); err != nil {
				t.Fatal(err)
			}
			if text := p.waitFor(t, "msg=stopped"); strings.Count(text, "msg=stopping") != 1 || !strings.Contains(text, " moves=1 ") {
				t.Fatal(text)
			}
		})
	}
}

// Idle clients use all descriptors while discovery is unreachable. When discovery is back at another address, the node
// has to read its list, and a flow has to be established with the host of that list.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	a, b := newHost(t, "UP a\r\n"), newHost(t, "UP b\r\n")
	d := newDiscovery(t, listText(9, "ready", b))
	away, err := net.Listen("tcp", "127.0.0.1:0") // the address of discovery, where nothing answers
	if err != nil {
		t.Fatal(err)
	}
	at := away.Addr().String()
	known := listText(5, "ready", a)
	p := startNode(t, &fakeDiscovery{addr: at}, known, 60)
	for range 80 {
		c := p.dial(t)
		io.WriteString(c, "PING\r\n")
	}
	p.openFlow(t, "").wantLine(t, "UP a\r\n")
	p.replaceConfig(t, configText(d, known, 60)) // discovery is back at another address
	p.waitFor(t, "msg=watching discovery="+d.addr)
	p.openFlow(t, "").wantLine(t, "UP b\r\n")
	away.Close()
}
