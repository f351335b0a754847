package node

import (
	"net/netip"
	"strings"
	"testing"

	"coursewinch/cluster/limits"
	"coursewinch/cluster/permits"
)

// newLimitedNode gives a node that is a fleet of its own and owns all keys, with limits.
func newLimitedNode(hosts int, all ...FleetLimit) (*Node, *fakeNet) {
	n, net := newNodeWith(hosts, Config{Cluster: Cluster{On: true, Name: "a", Process: 7, Limits: all}})
	n.settings.Groups, net.from, net.room = true, netip.MustParseAddrPort("10.0.0.1:9"), 1000
	for range 250 {
		net.run(50*ms, func() {}) // until no process before it may have owned or had anything
	}
	return n, net
}

// openAndAnswer is a client that asks and, where the node connects it, is set up.
func (net *fakeNet) openAndAnswer(line string) uint64 {
	id := net.openClient(line)
	net.run(20*ms, func() {})
	if host := net.lastConn(); net.address[host] != "" && !net.up[host] {
		net.receive(net.connectLast(), "UP 7\r\n")
	}
	return id
}

func concurrentLimit(over, of string, most int) FleetLimit {
	return FleetLimit{Over: over, Of: of, AtOnce: permits.Limit{Most: most, Strict: true}, Rate: limits.Limit{Strict: true}}
}

// TestLimitsOfOneNode: each kind of limit refuses what is over it, at once, and what ends makes room.
func TestLimitsOfOneNode(t *testing.T) {
	for _, c := range []struct {
		name string
		of   FleetLimit
		line string
		pass int // of four that come
	}{
		{"address", concurrentLimit(OverAddress, "", 2), openLine, 2},
		{"type", concurrentLimit(OverType, "chat", 3), openLine, 3},
		{"another type", concurrentLimit(OverType, "other", 1), openLine, 4},
		{"group", concurrentLimit(OverGroup, "", 1), "OPEN 1 2 c=chat,d=2000,g=red\r\n", 1},
		{"no group", concurrentLimit(OverGroup, "", 1), openLine, 4},
		{"host", concurrentLimit(OverHost, "", 1), openLine, 2}, // at each of two
		{"one host", concurrentLimit(OverHost, "s-0", 1), openLine, 4},
		{"rate", FleetLimit{Over: OverType, Rate: limits.Limit{Rate: 1, Burst: 3, Strict: true}}, openLine, 2},
	} {
		n, net := newLimitedNode(2, c.of)
		if err := c.of.Check(1); err != nil {
			t.Fatal(err)
		}
		var clients []uint64
		for range 4 {
			clients = append(clients, net.openAndAnswer(c.line))
		}
		refused := 0
		for _, id := range clients {
			if strings.HasPrefix(net.sent[id], "BUSY") {
				refused++
			}
		}
		if 4-refused != c.pass {
			t.Errorf("%s: %d of 4 are let pass, not %d", c.name, 4-refused, c.pass)
		}
		for _, id := range clients {
			if n.conns.get(id) != nil {
				net.run(1, func() { net.node.Ended(id, nil) })
			}
		}
		for range 40 {
			net.run(50*ms, func() {})
		}
		if l := n.cluster.limits[0]; l.concurrent != nil && l.concurrent.Used() != 0 {
			t.Errorf("%s: %d in use after all have ended", c.name, l.concurrent.Used())
		}
		if again := net.openAndAnswer(c.line); strings.HasPrefix(net.sent[again], "BUSY") {
			t.Errorf("%s: refused after all have ended", c.name)
		}
	}
}

// TestLoweredWhileItRuns: figures change at once, and what is over ends; a limit that is not there waits for the next start.
func TestLimitLoweredAtRuntime(t *testing.T) {
	n, net := newLimitedNode(2, concurrentLimit(OverType, "", 4))
	for range 4 {
		net.openAndAnswer(openLine)
	}
	if n.SetLimits([]FleetLimit{concurrentLimit(OverGroup, "", 4)}) || n.SetLimits([]FleetLimit{concurrentLimit(OverType, "", 4), concurrentLimit(OverGroup, "", 4)}) || !n.SetLimits([]FleetLimit{concurrentLimit(OverType, "", 1)}) {
		t.Error("which limits are there is not told apart")
	}
	for range 10 {
		net.run(50*ms, func() {})
	}
	if used := n.cluster.limits[0].concurrent.Used(); used != 1 {
		t.Errorf("%d in use of 1", used)
	}
	moved := 0
	for _, sent := range net.sent {
		moved += strings.Count(sent, moveLine)
	}
	if moved != 3 {
		t.Errorf("%d were told to come again", moved)
	}
}

// BenchmarkLimits is what ten limits cost a flow at the node that owns them all, beside none.
func BenchmarkLimits(b *testing.B) {
	for _, count := range []int{0, 10} {
		var all []FleetLimit
		for i := range count {
			if i%2 == 0 {
				all = append(all, FleetLimit{Over: OverType, Of: []string{"", "chat"}[i/2%2], Rate: limits.Limit{Rate: 1e5, Burst: 1e5, Strict: true}})
			} else {
				all = append(all, concurrentLimit([]string{OverAddress, OverType, OverGroup}[i/2%3], "", 60000))
			}
		}
		b.Run(map[bool]string{true: "none", false: "ten"}[count == 0], func(b *testing.B) {
			n, net := newLimitedNode(2, all...)
			c := &conn{limitPrefix: netip.MustParsePrefix("10.0.0.1/32")}
			for i := 0; b.Loop(); i++ {
				if i%1000 == 0 {
					net.run(50*ms, func() {}) // what rates have is not used up
				}
				f := &flow{client: c, id: 1}
				f.Ref = f
				if n.blockedByLimit(f) {
					b.Fatal("refused")
				}
				f.releasePermits()
			}
		})
	}
}

// newCutOffNode gives a node that can't reach the owner of any key: it waits for its word, and then goes by its own part.
func newCutOffNode(all ...FleetLimit) (*Node, *fakeNet) {
	n, net := newNodeWith(2, Config{Cluster: Cluster{On: true, Name: "a", Process: 7, Others: 1, Limits: all, Send: func(int, []byte) {}}})
	n.settings.Groups, net.from, net.room = true, netip.MustParseAddrPort("10.0.0.1:9"), 1000
	for range 250 {
		net.run(50*ms, func() {})
	}
	return n, net
}

// TestAPermitForAClientThatLeftIsGivenBack: the word that lets a flow pass comes after its client has left, for each thing
// that a number at once can be over.
func TestPermitOfDepartedClientIsReturned(t *testing.T) {
	for _, over := range []string{OverAddress, OverType, OverGroup} {
		of := concurrentLimit(over, "", 8)
		of.AtOnce.Strict, of.Rate.Strict = false, false
		n, net := newCutOffNode(of)
		for range 3 {
			id := net.openClient("OPEN 1 2 c=chat,d=2000,g=red\r\n")
			if f := n.conns.get(id).flow; f == nil || f.stage != Waiting || f.pendingKey == 0 {
				t.Fatalf("over %s: it does not wait", over)
			}
			net.run(1, func() { n.Ended(id, nil) })
			for range 40 {
				net.run(50*ms, func() {})
			}
		}
		l := n.cluster.limits[0].concurrent
		if l.Granted == 0 || l.Used() != 0 {
			t.Errorf("over %s: %d let pass, %d in use after all have left", over, l.Granted, l.Used())
		}
	}
}

// TestNoWordOfTheFleetInTime: a flow whose time is up before the fleet's word went nowhere, and its client may come again.
func TestNoLimitAnswerInTime(t *testing.T) {
	n, net := newCutOffNode(concurrentLimit(OverType, "", 8))
	id := net.openClient("OPEN 1 2 c=chat,d=100\r\n")
	for range 120 {
		net.run(ms, func() {})
	}
	if !strings.HasPrefix(net.sent[id], "BUSY") || len(net.sent[id]) > 12 || n.flows.count != 0 {
		t.Errorf("answered %q", net.sent[id])
	}
}
