package node

import (
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"coursewinch/balance"
	"coursewinch/lines"
)

// The tests of this file let two events cross in the unfavourable order. docs/design/crossings.md has the table.

// A client that closes its sending side still gets an answer that has not been sent yet.
func TestAnswerSentAfterClientClosed(t *testing.T) {
	n, net := newNode(0)
	c := net.openClient("")
	net.up[c] = false // nothing is sent yet
	net.receive(c, openLine)
	net.run(1, func() { n.Ended(c, nil) })
	if net.ended[c] != "shut" {
		t.Fatal("closed before its answer was sent:", net.ended[c])
	}
	net.up[c] = true
	net.run(1, func() {
		net.RingsChanged(c)
		n.Sent(c)
	})
	net.expect(t, c, "BUSY\r\n", "close")
	c = net.openClient("")
	net.up[c] = false
	net.receive(c, openLine)
	net.run(1, func() { n.Ended(c, unix.ECONNRESET) })
	if net.ended[c] != "close" || n.conns.count != 1 { // the watch
		t.Fatal("a broken connection was not closed", net.ended[c], n.conns.count)
	}
}

// No connect, first or further, is made for a client that has left, even if its end has not been read yet.
func TestNoConnectForClientThatLeft(t *testing.T) {
	for name, before := range map[string]func(net *fakeNet) (client uint64){
		"first": func(net *fakeNet) uint64 {
			c := net.openClient("")
			net.endedUnread[c] = true
			net.receive(c, openLine)
			return c
		},
		"further": func(net *fakeNet) uint64 {
			c := net.openClient(openLine)
			h := net.connectLast()
			net.endedUnread[c] = true
			net.receive(h, "BUSY\r\n")
			return c
		},
	} {
		n, net := newNode(2)
		made := 0
		c := before(net)
		for _, to := range net.address {
			if strings.HasPrefix(to, "h") {
				made++
			}
		}
		net.run(0, func() {})
		if made > 1 || name == "first" && made > 0 || n.flows.count != 0 || n.upstreamCount != 0 ||
			net.ended[c] != "close" || n.Count.ClientsLeft != 1 {
			t.Errorf("%s: %d connects, %d flows, %d upstreams, client %q, %d left", name,
				made, n.flows.count, n.upstreamCount, net.ended[c], n.Count.ClientsLeft)
		}
		for _, h := range n.hostList {
			if h.OwnFlows() != 0 {
				t.Errorf("%s: the module still counts %d flows at %s", name, h.OwnFlows(), h.uid)
			}
		}
	}
}

// A connection that comes up late may no longer be used: its client has left, its time is over, or an earlier connect
// may have run the flow so long ago that the host does not recognise a repeat. The host is sent no request then.
func TestLateConnectsSendNothing(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		late         int64
		prepare      func(n *Node, net *fakeNet, client uint64)
	}{
		{"client left", "", ms, func(n *Node, net *fakeNet, client uint64) { net.endedUnread[client] = true }},
		{"no time left", "BUSY\r\n", 2 * second, nil},
		{"repeats unknown", "BUSY\r\n", 200 * ms, func(n *Node, net *fakeNet, client uint64) {
			f := n.conns.get(client).flow
			f.Type = &balance.ServiceType{Effect: balance.Referenced, SetupTarget: 300 * ms, MessageTarget: 60 * ms, Window: 150 * ms}
		}},
	} {
		n, net := newNode(2)
		n.settings.DialTimeout = 0
		client := net.openClient(openLine)
		first := net.connectLast()
		if c.prepare != nil {
			c.prepare(n, net, client)
		}
		net.receive(first, "ERR\r\n") // the first host may have run the flow
		if c.name == "client left" {
			net.endedUnread[client] = false // so that a second connect goes out
			n, net = newNode(1)
			client = net.openClient(openLine)
			net.endedUnread[client] = true
		}
		second := net.lastConn()
		net.up[second] = true
		net.run(c.late, func() { n.Connected(second) })
		net.run(0, func() {})
		if net.sent[second] != "" || net.sent[client] != c.answer || n.flows.count != 0 {
			t.Errorf("%s: the host got %q, the client %q, %d flows", c.name, net.sent[second], net.sent[client], n.flows.count)
		}
	}
}

// Before the process ends, clients without a flow and clients that arrive late are all sent a last line.
func TestAcceptingStopsInOrder(t *testing.T) {
	for name, flow := range map[string]bool{"no flow": false, "a flow until the end": true} {
		n, net := newNode(1)
		silent, pinged, half := net.openClient(""), net.openClient("PING\r\n"), net.openClient("OPEN 1 2 c=ch")
		n.deadlines.cancel(&n.conns.get(silent).timer)
		n.deadlines.cancel(&n.conns.get(half).timer)
		established := uint64(0)
		if flow {
			established, _ = net.establish()
		}
		net.run(1, func() { n.Stop() })
		if take, _ := n.AcceptQuota(); take == 0 {
			t.Fatal("accepting stopped at once")
		}
		for n.acceptStoppedAt == 0 && n.now < n.stopDeadline {
			net.run(moveInterval, func() {})
		}
		if left := n.stopDeadline - n.now; left < lastLineTime-moveInterval || !flow && n.now > n.stopAt+minStopTime+moveInterval {
			t.Fatal(name, "accepting stopped too late", left)
		}
		net.expect(t, silent, "BUSY\r\n", "shut")
		net.expect(t, pinged, "PONG\r\nBUSY\r\n", "shut")
		net.expect(t, half, "BUSY\r\n", "shut")
		if take, refuse := n.AcceptQuota(); take != 0 || refuse == 0 {
			t.Fatal("connections accepted after the stop of accepting", take, refuse)
		}
		net.receive(silent, openLine) // crosses the last line sent to it
		if n.Done() || n.Count.Requests > 1 || len(net.sent[silent]) != len("BUSY\r\n") {
			t.Fatal(name, n.Done(), n.Count.Requests, net.sent[silent])
		}
		net.run(1, func() {
			for _, c := range []uint64{silent, pinged, half, established} {
				if c != 0 {
					n.Ended(c, nil)
				}
			}
		})
		if !n.Done() {
			t.Fatal(name, "all clients have closed, and the node is not done")
		}
	}
	n, net := newNode(1)
	net.openClient("PING\r\n")
	net.run(1, func() { n.Stop() })
	for !n.Done() {
		net.run(moveInterval, func() {})
	}
	if n.now > n.stopAt+minStopTime+lastLineTime+2*moveInterval {
		t.Fatal("waits too long for a client that has vanished", n.now-n.stopAt)
	}
}

// A request whose write failed has not been run, so it is sent to another host, even where a repeat would not be
// recognised.
func TestFailedWriteIsRetried(t *testing.T) {
	n, net := newNode(2)
	n.settings.Types[0].Effect = balance.OnceOnly
	c := net.openClient(openLine)
	first := net.lastConn()
	net.run(1, func() { n.Connected(first) }) // the line stays in its ring
	net.run(1, func() { n.Ended(first, unix.EPIPE) })
	if net.lastConn() == first || net.sent[c] != "" {
		t.Fatalf("no further connect; client got %q", net.sent[c])
	}
	net.receive(net.connectLast(), "UP 1\r\n")
	net.expect(t, c, "UP 1\r\n", "")
}

// A host's answer and the end of its connection may arrive in one loop iteration, and the answer may be cut. In each
// case the client gets one answer and the flow the right outcome.
func TestHostAnswerAndClose(t *testing.T) {
	for _, c := range []struct {
		text   string
		err    error
		effect balance.Effect
		sent   string // to the client
		ended  string
	}{
		{"BUSY\r\n", unix.ECONNRESET, balance.OnceOnly, "", ""}, // not run: a second connect is made
		{"BUSY\r\n", nil, balance.OnceOnly, "", ""},
		{"BUS", unix.ECONNRESET, balance.OnceOnly, "ERR\r\n", "shut"}, // cut: the host may have run the flow
		{"BUS", nil, balance.Repeatable, "", ""},
		{"UP 1\r\n", nil, balance.OnceOnly, "UP 1\r\n", "shut"},
		{"UP 1\r\nBYE\r\n", nil, balance.OnceOnly, "UP 1\r\nBYE\r\n", "shut"},
		{"UP 1\r\n", unix.ECONNRESET, balance.OnceOnly, "UP 1\r\n", "reset"},
		{"UP ", nil, balance.OnceOnly, "ERR\r\n", "shut"},
		{"ERR\r\nUP 1\r\n", nil, balance.OnceOnly, "ERR\r\n", "shut"}, // a second answer after the first
		{"UP 1\r\nUP 2\r\n", nil, balance.OnceOnly, "UP 1\r\nUP 2\r\n", "shut"},
		{strings.Repeat("x", lines.MaxLineBytes+3), nil, balance.OnceOnly, "ERR\r\n", "shut"}, // an answer that never ends
	} {
		n, net := newNode(2)
		n.settings.Types[0].Effect = c.effect
		client := net.openClient(openLine)
		host := net.connectLast()
		net.run(1, func() {
			net.in[host].Put([]byte(c.text))
			n.Received(host)
			n.Ended(host, c.err)
		})
		if net.sent[client] != c.sent || net.ended[client] != c.ended {
			t.Errorf("%.9q, %v: client got %q, ended %q", c.text, c.err, net.sent[client], net.ended[client])
		}
		if again := net.lastConn() != host; again != (c.sent == "") {
			t.Errorf("%.9q, %v: a further connect %t", c.text, c.err, again)
		}
	}
}

// A flow whose host has ended it, with the last line still unread, is not moved, neither for the module nor because the
// node stops. At the last moment all flows are moved.
func TestNoMoveAfterHostClosed(t *testing.T) {
	for _, stops := range []bool{false, true} {
		n, net := newNode(1)
		c, h := net.establish()
		f := n.conns.get(c).flow
		net.endedUnread[h] = true
		net.run(1, func() {
			if stops {
				n.Stop()
			} else {
				n.Move(&f.Flow)
			}
		})
		for n.now < n.stopDeadline-2*moveMargin {
			net.run(moveInterval, func() {})
		}
		net.expect(t, c, "UP 7\r\n", "")
		net.receive(h, "BYE\r\n")
		net.run(1, func() { n.Ended(h, nil) })
		net.expect(t, c, "UP 7\r\nBYE\r\n", "shut")
		if n.Count.Moves != 0 || n.Count.Completed != 1 {
			t.Errorf("stops %t: %d moves, %d flows completed", stops, n.Count.Moves, n.Count.Completed)
		}
	}
	n, net := newNode(1)
	c, h := net.establish()
	net.endedUnread[h] = true
	net.run(1, n.Stop)
	for n.now < n.stopDeadline-moveMargin {
		net.run(moveInterval, func() {})
	}
	net.expect(t, c, "UP 7\r\nMOVE\r\n", "shut")
}
