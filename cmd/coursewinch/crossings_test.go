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

// turned is a node on real sockets whose loop is turned by hand, on a clock that goes only where the test says so.
type turned struct {
	*door
	t    *testing.T
	loop *epoll.Loop
	now  int64
	at   string
}

func byHand(t *testing.T, room int, hosts ...*standHost) *turned {
	t.Helper()
	set, err := settings.JSON([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	n := &turned{door: &door{}, t: t, now: 1_000_000_000}
	if n.loop, err = epoll.New(room, n.door, func() {}); err != nil {
		t.Fatal(err)
	}
	n.Node = node.New(set, node.Config{Discovery: "127.0.0.1:1"}, n.loop)
	at, err := n.loop.Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	n.at = at.String()
	var known discovery.List
	for i, h := range hosts {
		known.Entries = append(known.Entries, discovery.Entry{UID: fmt.Sprintf("s-%d", i), Endpoint: h.l.Addr().String(), Zone: "a", State: "ready", Size: 1})
	}
	n.Begin(n.now, known)
	return n
}

// turn lets time pass and does one turn with what is there.
func (n *turned) turn(us int64) {
	n.t.Helper()
	if err := n.loop.Wait(0); err != nil {
		n.t.Fatal(err)
	}
	n.now += us
	n.Turn(n.now, n.loop.Dispatch)
}

// until turns without time passing until something is so.
func (n *turned) until(what string, so func() bool) {
	n.t.Helper()
	for from := time.Now(); !so(); {
		if time.Since(from) > patience {
			n.t.Fatal("never: " + what)
		}
		if err := n.loop.Wait(1000); err != nil {
			n.t.Fatal(err)
		}
		n.now++
		n.Turn(n.now, n.loop.Dispatch)
	}
}

func (n *turned) dial() *net.TCPConn {
	n.t.Helper()
	c, err := net.Dial("tcp", n.at)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c.(*net.TCPConn)
}

// arrives writes and waits until the other side's kernel has it.
func arrives(t *testing.T, c *net.TCPConn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	raw, _ := c.SyscallConn()
	for left := 1; left > 0; {
		raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
}

// all reads to an end in order; a connection that is reset may have lost what was said before.
func all(t *testing.T, c *net.TCPConn, want string) {
	t.Helper()
	if text, err := io.ReadAll(c); err != nil || string(text) != want {
		t.Fatalf("got %q, %v, want %q", text, err, want)
	}
}

const opens = "OPEN %d 7f3a c=chat,d=2000\r\n"

// A client that rests sends its line in the very moment in which a node that ends gives it its last word.
func TestLineCrossesTheLastWord(t *testing.T) {
	h := newHost(t, "UP 1\r\n")
	n := byHand(t, 100, h)
	rests, asked := n.dial(), n.dial()
	n.until("accepted", func() bool { return n.Count.Accepted == 2 })
	arrives(t, asked, "PING\r\n")
	got := make([]byte, 6)
	n.until("PONG", func() bool {
		asked.SetReadDeadline(time.Now().Add(time.Millisecond))
		k, _ := io.ReadFull(asked, got)
		return k == 6
	})
	asked.SetReadDeadline(time.Now().Add(patience))
	n.Stop()
	n.turn(1_000_000) // the door is shut in this turn
	n.turn(10_000)
	arrives(t, rests, fmt.Sprintf(opens, 1))
	arrives(t, asked, fmt.Sprintf(opens, 2))
	if n.Done() {
		t.Fatal("ends over what has come")
	}
	rests.CloseWrite()
	asked.CloseWrite()
	n.until("done", n.Done)
	n.loop.RefuseQueued(turnAway)
	all(t, rests, "BUSY\r\n")
	all(t, asked, "BUSY\r\n")
	if n.Count.Taken != 0 || n.Count.Connects != 0 {
		t.Fatal("a line behind the last word was taken", n.Count.Taken, n.Count.Connects)
	}
}

// A client's line has come and is not read when its connection is let go for want of descriptors.
func TestLineCrossesBeingLetGo(t *testing.T) {
	n := byHand(t, 40)
	for range 2 { // the first may be the front, and stays
		c := n.dial()
		arrives(t, c, "PING\r\n")
	}
	idle := n.dial()
	arrives(t, idle, "PING\r\n")
	n.until("answered", func() bool { return n.Count.Accepted == 3 })
	n.turn(1)
	if _, err := io.ReadFull(idle, make([]byte, len("NO\r\n"))); err != nil {
		t.Fatal(err)
	}
	n.turn(1_100_000)
	arrives(t, idle, fmt.Sprintf(opens, 3))
	n.loop.SetMaxSockets(n.loop.MaxSockets() - n.loop.Room()) // none is left
	n.now += 1000
	n.Turn(n.now, func() { n.Spare() }) // room for one more client; what has come is not read in this turn
	if n.Count.Shed != 2 {
		t.Fatal("let go:", n.Count.Shed)
	}
	said := make(chan string, 1)
	go func() {
		text, err := io.ReadAll(idle)
		said <- fmt.Sprint(string(text), err)
	}()
	for got := ""; got == ""; {
		n.turn(1)
		select {
		case got = <-said:
			if got != "BUSY\r\n<nil>" {
				t.Fatal(got)
			}
		default:
		}
	}
}

// A client says what it wants and leaves at once, in every way; both lie in the system's buffer when its line is read.
func TestNoConnectBehindAnEnd(t *testing.T) {
	h := newHost(t, "UP 1\r\n")
	for i, leave := range []func(*net.TCPConn){func(c *net.TCPConn) { c.CloseWrite() }, func(c *net.TCPConn) { c.Close() }} {
		n := byHand(t, 100, h)
		c := n.dial()
		n.until("accepted", func() bool { return n.Count.Accepted == 1 })
		arrives(t, c, fmt.Sprintf(opens, 10+i))
		leave(c)
		n.until("left", func() bool { return n.Count.Left == 1 })
		if n.Count.Connects != 0 || n.Count.Taken != 1 {
			t.Fatal("a connect for nobody", n.Count.Connects)
		}
	}
}

// Two signals cross: each process ends once, in order, with what stands told to move.
func TestSignalsCross(t *testing.T) {
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
		"SIGINT while it ends": func(p *program, _ string) {
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.wait(t, "msg=stopping")
			p.cmd.Process.Signal(syscall.SIGINT)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, "UP 1\r\n")
			l := list(5, "ready", h)
			p := begin(t, newDiscovery(t, l), l, 200)
			c := p.open(t, "")
			c.want(t, "UP 1\r\n")
			send(p, "")
			c.want(t, "MOVE\r\n")
			c.want(t, "")
			if err := p.exit(t); err != nil {
				t.Fatal(err)
			}
			if text := p.wait(t, "msg=stopped"); strings.Count(text, "msg=stopping") != 1 || !strings.Contains(text, " moves=1 ") {
				t.Fatal(text)
			}
		})
	}
}

// Idle clients fill all descriptors while discovery is away. At its return it is heard, and a flow has its host.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	a, b := newHost(t, "UP a\r\n"), newHost(t, "UP b\r\n")
	d := newDiscovery(t, list(9, "ready", b))
	away, err := net.Listen("tcp", "127.0.0.1:0") // where discovery is to be, and nobody answers
	if err != nil {
		t.Fatal(err)
	}
	at := away.Addr().String()
	known := list(5, "ready", a)
	p := begin(t, &standDiscovery{addr: at}, known, 60)
	for range 80 {
		c := p.dial(t)
		io.WriteString(c, "PING\r\n")
	}
	p.open(t, "").want(t, "UP a\r\n")
	p.replace(t, configText(d, known, 60)) // it moves, and is back
	p.wait(t, "msg=watching discovery="+d.addr)
	p.open(t, "").want(t, "UP b\r\n")
	away.Close()
}
