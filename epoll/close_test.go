package epoll

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coursewinch/lines"
)

// callRecorder is a handler that records its calls in order.
type callRecorder struct {
	acceptQuota int // connections that an iteration may accept
	lastID      uint64
	in, out     lines.Ring
	log         []string
}

func (h *callRecorder) CanAccept() bool         { return true }
func (h *callRecorder) AcceptQuota() (int, int) { return h.acceptQuota, maxClientAccepts }
func (h *callRecorder) CountRefused()           { h.log = append(h.log, "refused") }
func (h *callRecorder) AcceptOperator() (uint64, *lines.Ring, *lines.Ring, bool) {
	return 0, nil, nil, false
}
func (h *callRecorder) Accept(netip.AddrPort) (uint64, *lines.Ring, *lines.Ring, bool) {
	h.lastID += 1 << 32
	return h.lastID, &h.in, &h.out, true
}
func (h *callRecorder) Connected(uint64) { h.log = append(h.log, "connected") }
func (h *callRecorder) Received(uint64) {
	h.log = append(h.log, "received "+string(h.in.Peek(h.in.Len())))
	h.in.Discard(h.in.Len())
}
func (h *callRecorder) Sent(uint64) { h.log = append(h.log, "sent") }
func (h *callRecorder) Ended(_ uint64, err error) {
	h.log = append(h.log, fmt.Sprint("ended ", err != nil))
}
func (h *callRecorder) wantLog(t *testing.T, w string) {
	t.Helper()
	wantText(t, strings.Join(h.log, "; "), w)
}

func wantText(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// runUntil runs the loop until done returns true.
func runUntil(t *testing.T, l *Loop, done func() bool) {
	t.Helper()
	for from := time.Now(); !done(); {
		if time.Since(from) > 10*time.Second {
			t.Fatal("condition not reached in 10 s")
		}
		if err := l.Wait(1000); err != nil {
			t.Fatal(err)
		}
		l.Dispatch()
	}
}

// newListeningLoop returns a loop that listens on loopback, and a function that connects to it.
func newListeningLoop(t *testing.T, h *callRecorder) (l *Loop, client func() *net.TCPConn) {
	t.Helper()
	l, err := New(50, h, nil)
	if err != nil {
		t.Fatal(err)
	}
	at, err := l.Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	return l, func() *net.TCPConn {
		c, err := net.Dial("tcp", at.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(10 * time.Second))
		return c.(*net.TCPConn)
	}
}

// wantRest reads a connection to its end, which has to be a close and not a reset.
func wantRest(t *testing.T, c net.Conn, want string) {
	t.Helper()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("connection failed after %q: %v", text, err)
	}
	wantText(t, string(text), want)
}

// A refused client has to receive its BUSY although its line, or the rest of it, arrives after the refusal. If the socket
// were closed by then, the line would reset the connection and the answer would be lost.
func TestRefusedConnectionClosesGracefully(t *testing.T) {
	for _, c := range []struct{ first, later string }{{"", "OPEN 1 2 c=chat,d=2000\r\n"}, {"OPEN 1 2 c=ch", "at,d=2000\r\n"},
		{"OPEN 1 2 c=chat,d=2000\r\n", ""}} {
		h := &callRecorder{}
		l, client := newListeningLoop(t, h)
		conn := client()
		if io.WriteString(conn, c.first); c.first != "" {
			waitUntilDelivered(t, conn)
		}
		runUntil(t, l, func() bool { return len(h.log) > 0 })
		h.wantLog(t, "refused")
		for _, b := range []byte(c.later) {
			if _, err := conn.Write([]byte{b}); err != nil {
				t.Fatal(err)
			}
		}
		conn.CloseWrite()
		runUntil(t, l, func() bool { return len(l.closing) == 0 })
		wantRest(t, conn, "BUSY\r\n")
	}
}

// waitUntilDelivered waits until the bytes that a client wrote are at the other side: on loopback, when the kernel has no
// unsent byte left.
func waitUntilDelivered(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, _ := c.SyscallConn()
	for left := 1; left > 0; {
		raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
}

// At the end of a process, clients in the listener's queue have to receive BUSY and time to close, up to a limit.
func TestQueuedConnectionsAreRefusedGracefully(t *testing.T) {
	l, client := newListeningLoop(t, &callRecorder{})
	one, two, silent := client(), client(), client()
	io.WriteString(two, "OPEN 1 2 c=ch")
	results := make(chan string)
	for _, c := range []*net.TCPConn{one, two} {
		go func() {
			b := make([]byte, 6)
			io.ReadFull(c, b)
			io.WriteString(c, "OPEN or what is left of it\r\n")
			c.CloseWrite()
			text, err := io.ReadAll(c)
			results <- fmt.Sprint(string(b), string(text), err)
		}()
	}
	from := monotonicMicros()
	l.RefuseQueued(300_000)
	if took := monotonicMicros() - from; took < 190_000 || took > 5_000_000 { // one silent client keeps it waiting
		t.Fatal(took)
	}
	wantText(t, <-results, "BUSY\r\n<nil>")
	wantText(t, <-results, "BUSY\r\n<nil>")
	wantRest(t, silent, "BUSY\r\n")
	l, client = newListeningLoop(t, &callRecorder{})
	client()
	from = monotonicMicros()
	if l.RefuseQueued(50_000); monotonicMicros()-from > 190_000 {
		t.Fatal("waits longer than its timeout")
	}
}

// A host answers and resets its connection, and then the node's write to it fails. The answer has to be reported before the
// failure, and the unsent line has to stay in the output ring.
func TestInputIsReadBeforeWriteFailureIsReported(t *testing.T) {
	host, _ := net.Listen("tcp", "127.0.0.1:0")
	defer host.Close()
	h := &callRecorder{}
	l, _ := New(50, h, nil)
	const id = 1 << 32
	l.Dial(id, host.Addr().String(), &h.in, &h.out)
	c, err := host.Accept()
	if err != nil {
		t.Fatal(err)
	}
	runUntil(t, l, func() bool { return len(h.log) > 0 })
	io.WriteString(c, "BUSY\r\n")
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	if n, err := unix.Poll([]unix.PollFd{{Fd: int32(l.FD(id))}}, 10_000); n != 1 || err != nil { // the reset has arrived
		t.Fatal(n, err)
	}
	h.out.Put([]byte("OPEN 1 2 c=chat,d=2000\r\n"))
	l.RingsChanged(id)
	if h.out.Len() == 0 {
		t.Fatal("the failed write took the line from the ring")
	}
	runUntil(t, l, func() bool { return len(h.log) > 2 })
	h.wantLog(t, "connected; received BUSY\r\n; ended true")
	if l.Wait(0); l.eventCount != 0 {
		t.Fatal("events are reported after the end")
	}
}

// A client closes after bytes that have not been read, or without its close being reported yet. It has to be seen, so
// that no flow is opened for it.
func TestClosedClientsAreDetected(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){"half closed": func(c *net.TCPConn) { c.CloseWrite() },
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() }} {
		h := &callRecorder{acceptQuota: 1}
		l, client := newListeningLoop(t, h)
		c := client()
		runUntil(t, l, func() bool { return h.lastID > 0 })
		if l.PeerClosed(h.lastID) {
			t.Fatal("reported closed while it is connected")
		}
		io.WriteString(c, "OPEN")
		leave(c)
		for from := time.Now(); !l.PeerClosed(h.lastID); {
			if time.Since(from) > 10*time.Second {
				t.Fatalf("%s: not detected", name)
			}
		}
		if h.wantLog(t, ""); !l.PeerClosed(7 << 32) {
			t.Fatal("an unknown id is reported as connected")
		}
	}
}

// A client whose socket is closed detached has to receive the last answer although the rest of its line arrives at that
// moment. Clients that do not close afterwards must not keep descriptors that the loop needs.
func TestDetachedSocketClosesGracefully(t *testing.T) {
	h := &callRecorder{acceptQuota: 1}
	l, client := newListeningLoop(t, h)
	c := client()
	runUntil(t, l, func() bool { return h.lastID > 0 })
	io.WriteString(c, "OPEN 1 2 c=ch")
	waitUntilDelivered(t, c)
	h.out.Put([]byte("BUSY\r\n"))
	l.CloseDetached(h.lastID)
	if l.Room() != 50 {
		t.Fatal("its place is still counted", l.Room())
	}
	io.WriteString(c, "at,d=2000\r\n")
	c.CloseWrite()
	runUntil(t, l, func() bool { return len(l.closing) == 0 })
	wantRest(t, c, "BUSY\r\n")
	for range 50 {
		client()
		previous := h.lastID
		runUntil(t, l, func() bool { return h.lastID > previous })
		l.CloseDetached(h.lastID)
	}
	if len(l.closing) > 50 {
		t.Fatal(len(l.closing))
	}
	l.SetMaxSockets(20)
	if len(l.closing) > 20 {
		t.Fatal(len(l.closing), "closing sockets where 20 are allowed")
	}
	for range 20 { // each new client gets a place
		client()
		previous := h.lastID
		runUntil(t, l, func() bool { return h.lastID > previous })
	}
	if len(l.closing) != 0 || l.Room() != 0 {
		t.Fatal(len(l.closing), l.Room())
	}
}
