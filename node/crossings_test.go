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
func TestAnswerOutlivesTheEndOfItsClient(t *testing.T) {
	n, w := newNode(0)
	c := w.openClient("")
	w.up[c] = false // nothing of what is put for it has gone yet
	w.receive(c, openLine)
	w.run(1, func() { n.Ended(c, nil) })
	if w.ended[c] != "shut" {
		t.Fatal("closed over its answer:", w.ended[c])
	}
	w.up[c] = true
	w.run(1, func() {
		w.Touch(c)
		n.Sent(c)
	})
	w.expect(t, c, "BUSY\r\n", "close")
	c = w.openClient("")
	w.up[c] = false
	w.receive(c, openLine)
	w.run(1, func() { n.Ended(c, unix.ECONNRESET) })
	if w.ended[c] != "close" || n.conns.count != 1 { // the watch
		t.Fatal("waits for a client whose connection is broken", w.ended[c], n.conns.count)
	}
}

// Guards hosts against connects for clients that have left while nobody was told: their end lies unread. The first
// connect and each further one.
func TestNoConnectForAClientThatLeft(t *testing.T) {
	for name, before := range map[string]func(w *fakeNet) (client uint64){
		"first": func(w *fakeNet) uint64 {
			c := w.openClient("")
			w.endedUnread[c] = true
			w.receive(c, openLine)
			return c
		},
		"further": func(w *fakeNet) uint64 {
			c := w.openClient(openLine)
			h := w.connectLast()
			w.endedUnread[c] = true
			w.receive(h, "BUSY\r\n")
			return c
		},
	} {
		n, w := newNode(2)
		made := 0
		c := before(w)
		for _, to := range w.address {
			if strings.HasPrefix(to, "h") {
				made++
			}
		}
		w.run(0, func() {})
		if made > 1 || name == "first" && made > 0 || n.flows.count != 0 || n.upstreamCount != 0 || w.ended[c] != "close" || n.Count.Left != 1 {
			t.Errorf("%s: %d connects, %d flows, %d links, client %q, %d left", name, made, n.flows.count, n.upstreamCount, w.ended[c], n.Count.Left)
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
		so           func(n *Node, w *fakeNet, client uint64)
	}{
		{"client left", "", ms, func(n *Node, w *fakeNet, client uint64) { w.endedUnread[client] = true }},
		{"no time left", "BUSY\r\n", 2 * second, nil},
		{"repeats unknown", "BUSY\r\n", 200 * ms, func(n *Node, w *fakeNet, client uint64) {
			f := n.conns.get(client).flow
			f.Type = &balance.ServiceType{Effect: balance.Referenced, SetupTarget: 300 * ms, MessageTarget: 60 * ms, Window: 150 * ms}
		}},
	} {
		n, w := newNode(2)
		n.settings.Dial = 0
		client := w.openClient(openLine)
		first := w.connectLast()
		if c.so != nil {
			c.so(n, w, client)
		}
		w.receive(first, "ERR\r\n") // it may have run
		if c.name == "client left" {
			w.endedUnread[client] = false // so that a second connect goes out
			n, w = newNode(1)
			client = w.openClient(openLine)
			w.endedUnread[client] = true
		}
		second := w.lastConn()
		w.up[second] = true
		w.run(c.late, func() { n.Connected(second) })
		w.run(0, func() {})
		if w.sent[second] != "" || w.sent[client] != c.answer || n.flows.count != 0 {
			t.Errorf("%s: the host got %q, the client %q, %d flows", c.name, w.sent[second], w.sent[client], n.flows.count)
		}
	}
}

// Guards clients that rest without a flow, and those who come late, against the exit of the process: each has a last word.
func TestTheDoorIsShutInOrder(t *testing.T) {
	for name, flow := range map[string]bool{"nothing in hand": false, "a flow to the last": true} {
		n, w := newNode(1)
		rests, asked, half := w.openClient(""), w.openClient("PING\r\n"), w.openClient("OPEN 1 2 c=ch")
		n.deadlines.cancel(&n.conns.get(rests).timer)
		n.deadlines.cancel(&n.conns.get(half).timer)
		stays := uint64(0)
		if flow {
			stays, _ = w.establish()
		}
		w.run(1, func() { n.Stop() })
		if take, _ := n.Quota(); take == 0 {
			t.Fatal("the door is shut at once")
		}
		for n.acceptStoppedAt == 0 && n.now < n.stopDeadline {
			w.run(moveInterval, func() {})
		}
		if left := n.stopDeadline - n.now; left < lastLineTime-moveInterval || !flow && n.now > n.stopAt+minStopTime+moveInterval {
			t.Fatal(name, "shut late", left)
		}
		w.expect(t, rests, "BUSY\r\n", "shut")
		w.expect(t, asked, "PONG\r\nBUSY\r\n", "shut")
		w.expect(t, half, "BUSY\r\n", "shut")
		if take, refuse := n.Quota(); take != 0 || refuse == 0 {
			t.Fatal("taken behind the door", take, refuse)
		}
		w.receive(rests, openLine) // crossed its last word
		if n.Done() || n.Count.Taken > 1 || len(w.sent[rests]) != len("BUSY\r\n") {
			t.Fatal(name, n.Done(), n.Count.Taken, w.sent[rests])
		}
		w.run(1, func() {
			for _, c := range []uint64{rests, asked, half, stays} {
				if c != 0 {
					n.Ended(c, nil)
				}
			}
		})
		if !n.Done() {
			t.Fatal(name, "all have ended, and it stays")
		}
	}
	n, w := newNode(1)
	w.openClient("PING\r\n")
	w.run(1, func() { n.Stop() })
	for !n.Done() {
		w.run(moveInterval, func() {})
	}
	if n.now > n.stopAt+minStopTime+lastLineTime+2*moveInterval {
		t.Fatal("waits for ever for a client that has vanished", n.now-n.stopAt)
	}
}

// Guards a line against being taken for sent where its write failed: it never ran, and goes on also where a repeat would not be
// known.
func TestAFailedWriteNeverRan(t *testing.T) {
	n, w := newNode(2)
	n.settings.Types[0].Effect = balance.OnceOnly
	c := w.openClient(openLine)
	first := w.lastConn()
	w.run(1, func() { n.Connected(first) }) // the line stays in its ring
	w.run(1, func() { n.Ended(first, unix.EPIPE) })
	if w.lastConn() == first || w.sent[c] != "" {
		t.Fatalf("given up: %q", w.sent[c])
	}
	w.receive(w.connectLast(), "UP 1\r\n")
	w.expect(t, c, "UP 1\r\n", "")
}

// Guards each order of a host's word and the end of its connection within one turn, or with the word cut: what the flow's
// outcome is, and that its client has one answer.
func TestWordsOfHostsAndTheirEnd(t *testing.T) {
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
		n, w := newNode(2)
		n.settings.Types[0].Effect = c.effect
		client := w.openClient(openLine)
		host := w.connectLast()
		w.run(1, func() {
			w.in[host].Put([]byte(c.text))
			n.Received(host)
			n.Ended(host, c.err)
		})
		if w.sent[client] != c.sent || w.ended[client] != c.ended {
			t.Errorf("%.9q, %v: client got %q, ended %q", c.text, c.err, w.sent[client], w.ended[client])
		}
		if again := w.lastConn() != host; again != (c.sent == "") {
			t.Errorf("%.9q, %v: a further connect %t", c.text, c.err, again)
		}
	}
}

// Guards a client that was served to its end against being told to come again: its host's last word lies unread as the node
// moves it, for the module or because the node ends. At the last moment all are moved.
func TestNoMoveBehindTheHostsEnd(t *testing.T) {
	for _, stops := range []bool{false, true} {
		n, w := newNode(1)
		c, h := w.establish()
		f := n.conns.get(c).flow
		w.endedUnread[h] = true
		w.run(1, func() {
			if stops {
				n.Stop()
			} else {
				n.Move(&f.Flow)
			}
		})
		for n.now < n.stopDeadline-2*moveMargin {
			w.run(moveInterval, func() {})
		}
		w.expect(t, c, "UP 7\r\n", "")
		w.receive(h, "BYE\r\n")
		w.run(1, func() { n.Ended(h, nil) })
		w.expect(t, c, "UP 7\r\nBYE\r\n", "shut")
		if n.Count.Moves != 0 || n.Count.Completed != 1 {
			t.Errorf("stops %t: %d moves, %d served to their end", stops, n.Count.Moves, n.Count.Completed)
		}
	}
	n, w := newNode(1)
	c, h := w.establish()
	w.endedUnread[h] = true
	w.run(1, n.Stop)
	for n.now < n.stopDeadline-moveMargin {
		w.run(moveInterval, func() {})
	}
	w.expect(t, c, "UP 7\r\nMOVE\r\n", "shut")
}
