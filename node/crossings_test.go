package node

import (
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"coursewinch/balance"
	"coursewinch/lines"
)

// Two events that cross, in the bad order: docs/design/crossings.md has the table.

// Guards an answer that is still to go against its client ending first: it may only have closed its own half.
func TestAnswerSentAfterClientClosed(t *testing.T) {
	n, net := newNode(0)
	c := net.openClient("")
	net.up[c] = false // nothing of what is put for it has gone yet
	net.receive(c, openLine)
	net.run(1, func() { n.Ended(c, nil) })
	if net.ended[c] != "shut" {
		t.Fatal("closed over its answer:", net.ended[c])
	}
	net.up[c] = true
	net.run(1, func() {
		net.Touch(c)
		n.Sent(c)
	})
	net.expect(t, c, "BUSY\r\n", "close")
	c = net.openClient("")
	net.up[c] = false
	net.receive(c, openLine)
	net.run(1, func() { n.Ended(c, unix.ECONNRESET) })
	if net.ended[c] != "close" || n.conns.count != 1 { // the watch
		t.Fatal("waits for a client whose connection is broken", net.ended[c], n.conns.count)
	}
}

// Guards hosts against connects for clients that have left while nobody was told: their end lies unread. The first
// connect and each further one.
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
		if made > 1 || name == "first" && made > 0 || n.flows.count != 0 || n.upstreamCount != 0 || net.ended[c] != "close" || n.Count.Left != 1 {
			t.Errorf("%s: %d connects, %d flows, %d links, client %q, %d left", name, made, n.flows.count, n.upstreamCount, net.ended[c], n.Count.Left)
		}
		for _, h := range n.hostList {
			if h.Flows() != 0 {
				t.Errorf("%s: the module counts %d at %s still", name, h.Flows(), h.uid)
			}
		}
	}
}

// Guards hosts against the line of a connect that came up late: its client has left, its time is over, or a first connect
// may have run so long ago that a repeat is not known as one.
func TestLateConnectsSendNothing(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		late         int64
		so           func(n *Node, net *fakeNet, client uint64)
	}{
		{"client left", "", ms, func(n *Node, net *fakeNet, client uint64) { net.endedUnread[client] = true }},
		{"no time left", "BUSY\r\n", 2 * second, nil},
		{"repeats unknown", "BUSY\r\n", 200 * ms, func(n *Node, net *fakeNet, client uint64) {
			f := n.conns.get(client).flow
			f.Type = &balance.ServiceType{Effect: balance.Referenced, SetupTarget: 300 * ms, MessageTarget: 60 * ms, Window: 150 * ms}
		}},
	} {
		n, net := newNode(2)
		n.settings.Dial = 0
		client := net.openClient(openLine)
		first := net.connectLast()
		if c.so != nil {
			c.so(n, net, client)
		}
		net.receive(first, "ERR\r\n") // it may have run
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

// Guards clients that rest without a flow, and those who come late, against the exit of the process: each has a last word.
func TestAcceptingStopsInOrder(t *testing.T) {
	for name, flow := range map[string]bool{"nothing in hand": false, "a flow to the last": true} {
		n, net := newNode(1)
		silent, pinged, half := net.openClient(""), net.openClient("PING\r\n"), net.openClient("OPEN 1 2 c=ch")
		n.deadlines.cancel(&n.conns.get(silent).timer)
		n.deadlines.cancel(&n.conns.get(half).timer)
		established := uint64(0)
		if flow {
			established, _ = net.establish()
		}
		net.run(1, func() { n.Stop() })
		if take, _ := n.Quota(); take == 0 {
			t.Fatal("the door is shut at once")
		}
		for n.acceptStoppedAt == 0 && n.now < n.stopDeadline {
			net.run(moveInterval, func() {})
		}
		if left := n.stopDeadline - n.now; left < lastLineTime-moveInterval || !flow && n.now > n.stopAt+minStopTime+moveInterval {
			t.Fatal(name, "shut late", left)
		}
		net.expect(t, silent, "BUSY\r\n", "shut")
		net.expect(t, pinged, "PONG\r\nBUSY\r\n", "shut")
		net.expect(t, half, "BUSY\r\n", "shut")
		if take, refuse := n.Quota(); take != 0 || refuse == 0 {
			t.Fatal("taken behind the door", take, refuse)
		}
		net.receive(silent, openLine) // crossed its last word
		if n.Done() || n.Count.Taken > 1 || len(net.sent[silent]) != len("BUSY\r\n") {
			t.Fatal(name, n.Done(), n.Count.Taken, net.sent[silent])
		}
		net.run(1, func() {
			for _, c := range []uint64{silent, pinged, half, established} {
				if c != 0 {
					n.Ended(c, nil)
				}
			}
		})
		if !n.Done() {
			t.Fatal(name, "all have ended, and it stays")
		}
	}
	n, net := newNode(1)
	net.openClient("PING\r\n")
	net.run(1, func() { n.Stop() })
	for !n.Done() {
		net.run(moveInterval, func() {})
	}
	if n.now > n.stopAt+minStopTime+lastLineTime+2*moveInterval {
		t.Fatal("waits for ever for a client that has vanished", n.now-n.stopAt)
	}
}

// Guards a line against being taken for sent where its write failed: it never ran, and goes on also where a repeat would not be
// known.
func TestFailedWriteIsRetried(t *testing.T) {
	n, net := newNode(2)
	n.settings.Types[0].Effect = balance.OnceOnly
	c := net.openClient(openLine)
	first := net.lastConn()
	net.run(1, func() { n.Connected(first) }) // the line stays in its ring
	net.run(1, func() { n.Ended(first, unix.EPIPE) })
	if net.lastConn() == first || net.sent[c] != "" {
		t.Fatalf("given up: %q", net.sent[c])
	}
	net.receive(net.connectLast(), "UP 1\r\n")
	net.expect(t, c, "UP 1\r\n", "")
}

// Guards each order of a host's word and the end of its connection within one turn, or with the word cut: what the flow's
// outcome is, and that its client has one answer.
func TestHostAnswerAndClose(t *testing.T) {
	for _, c := range []struct {
		text   string
		err    error
		effect balance.Effect
		sent   string // to the client
		ended  string
	}{
		{"BUSY\r\n", unix.ECONNRESET, balance.OnceOnly, "", ""}, // never ran: a second connect is out
		{"BUSY\r\n", nil, balance.OnceOnly, "", ""},
		{"BUS", unix.ECONNRESET, balance.OnceOnly, "ERR\r\n", "shut"}, // cut: it may have run
		{"BUS", nil, balance.Repeatable, "", ""},
		{"UP 1\r\n", nil, balance.OnceOnly, "UP 1\r\n", "shut"},
		{"UP 1\r\nBYE\r\n", nil, balance.OnceOnly, "UP 1\r\nBYE\r\n", "shut"},
		{"UP 1\r\n", unix.ECONNRESET, balance.OnceOnly, "UP 1\r\n", "reset"},
		{"UP ", nil, balance.OnceOnly, "ERR\r\n", "shut"},
		{"ERR\r\nUP 1\r\n", nil, balance.OnceOnly, "ERR\r\n", "shut"}, // a second answer behind the first
		{"UP 1\r\nUP 2\r\n", nil, balance.OnceOnly, "UP 1\r\nUP 2\r\n", "shut"},
		{strings.Repeat("x", lines.Longest+3), nil, balance.OnceOnly, "ERR\r\n", "shut"}, // an answer that never ends
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

// Guards a client that was served to its end against being told to come again: its host's last word lies unread as the node
// moves it, for the module or because the node ends. At the last moment all are moved.
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
			t.Errorf("stops %t: %d moves, %d served to their end", stops, n.Count.Moves, n.Count.Completed)
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
