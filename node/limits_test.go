package node

import (
	"net/netip"
	"strings"
	"testing"

	"coursewinch/balance"
	"coursewinch/cluster/lease"
	"coursewinch/cluster/limits"
	"coursewinch/cluster/permits"
)

// newLimitedNode returns a node with fleet limits that is the only node of its fleet and owns all keys.
func newLimitedNode(hosts int, all ...FleetLimit) (*Node, *fakeNet) {
	n, net := newNodeWith(hosts, Config{Cluster: Cluster{On: true, Name: "a", Process: 7, Limits: all}})
	n.settings.HasGroups, net.from, net.room = true, netip.MustParseAddrPort("10.0.0.1:9"), 1000
	for range 250 {
		net.run(50*ms, func() {}) // until no earlier process can own keys or hold permits
	}
	return n, net
}

// openAndAnswer opens a client with a request and establishes its flow if the node makes a connect for it.
func (net *fakeNet) openAndAnswer(line string) uint64 {
	id := net.openClient(line)
	net.run(20*ms, func() {})
	if host := net.lastConn(); net.address[host] != "" && !net.up[host] {
		net.receive(net.connectLast(), "UP 7\r\n")
	}
	return id
}

// concurrentLimit returns a strict limit of concurrent flows.
func concurrentLimit(over, of string, most int) FleetLimit {
	return FleetLimit{Over: over, Of: of, AtOnce: permits.Limit{Max: most, Strict: true}, Rate: limits.Limit{Strict: true}}
}

// Each kind of limit refuses flows over it at once, and flows that end make room.
func TestLimitsOfOneNode(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit FleetLimit
		line  string
		pass  int // flows that pass, of four
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
		n, net := newLimitedNode(2, c.limit)
		if err := c.limit.Check(1); err != nil {
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
			t.Errorf("%s: %d of 4 flows pass, want %d", c.name, 4-refused, c.pass)
		}
		for _, id := range clients {
			if n.conns.get(id) != nil {
				net.run(1, func() { net.node.Ended(id, nil) })
			}
		}
		for range 40 {
			net.run(50*ms, func() {})
		}
		if l := n.cluster.limits[0]; l.concurrent != nil && l.concurrent.InUse() != 0 {
			t.Errorf("%s: %d permits in use after all flows have ended", c.name, l.concurrent.InUse())
		}
		if again := net.openAndAnswer(c.line); strings.HasPrefix(net.sent[again], "BUSY") {
			t.Errorf("%s: flow refused after all others have ended", c.name)
		}
	}
}

// New figures take effect at once, and flows over them end. A limit that is not kept yet waits for the next start.
func TestLimitLoweredAtRuntime(t *testing.T) {
	n, net := newLimitedNode(2, concurrentLimit(OverType, "", 4))
	for range 4 {
		net.openAndAnswer(openLine)
	}
	if n.SetLimits([]FleetLimit{concurrentLimit(OverGroup, "", 4)}) ||
		n.SetLimits([]FleetLimit{concurrentLimit(OverType, "", 4), concurrentLimit(OverGroup, "", 4)}) ||
		!n.SetLimits([]FleetLimit{concurrentLimit(OverType, "", 1)}) {
		t.Error("SetLimits reported wrongly whether all limits are kept")
	}
	for range 10 {
		net.run(50*ms, func() {})
	}
	if used := n.cluster.limits[0].concurrent.InUse(); used != 1 {
		t.Errorf("%d permits in use of 1", used)
	}
	moved := 0
	for _, sent := range net.sent {
		moved += strings.Count(sent, moveLine)
	}
	if moved != 3 {
		t.Errorf("%d clients were moved, want 3", moved)
	}
}

// BenchmarkLimits measures the cost of ten limits for a flow at the node that owns all keys, compared with none.
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
					net.run(50*ms, func() {}) // so that the rates are not used up
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

// newCutOffNode returns a node that can't reach the owner of any key: its flows wait for an answer, and then the node
// uses its own part of the limit.
func newCutOffNode(all ...FleetLimit) (*Node, *fakeNet) {
	n, net := newNodeWith(2, Config{Cluster: Cluster{
		On:      true,
		Name:    "a",
		Process: 7,
		Others:  1,
		Limits:  all,
		Send:    func(int, []byte) {},
	}})
	n.settings.HasGroups, net.from, net.room = true, netip.MustParseAddrPort("10.0.0.1:9"), 1000
	for range 250 {
		net.run(50*ms, func() {})
	}
	return n, net
}

// The answer that lets a flow pass comes after its client has left. The permit is given back, for each kind of
// concurrent limit.
func TestPermitOfDepartedClientIsReturned(t *testing.T) {
	for _, over := range []string{OverAddress, OverType, OverGroup} {
		limit := concurrentLimit(over, "", 8)
		limit.AtOnce.Strict, limit.Rate.Strict = false, false
		n, net := newCutOffNode(limit)
		for range 3 {
			id := net.openClient("OPEN 1 2 c=chat,d=2000,g=red\r\n")
			if f := n.conns.get(id).flow; f == nil || f.stage != Waiting || f.pendingKey == 0 {
				t.Fatalf("over %s: the flow does not wait for an answer", over)
			}
			net.run(1, func() { n.Ended(id, nil) })
			for range 40 {
				net.run(50*ms, func() {})
			}
		}
		l := n.cluster.limits[0].concurrent
		if l.Granted == 0 || l.InUse() != 0 {
			t.Errorf("over %s: %d granted, %d permits in use after all clients have left", over, l.Granted, l.InUse())
		}
	}
}

// Admission is drawn ahead of a request for a cold host's grant, by the flow's benefit for its load. The flow's load has to be
// estimated by then: without a load, returning clients were admitted whatever the overload.
func TestLoadIsKnownWhenColdGrantIsRequested(t *testing.T) {
	n, net := newLimitedNode(1, FleetLimit{Over: OverCold, Rate: limits.Limit{Strict: true}})
	decider := &loadRecorder{Decider: n.decider}
	n.decider = decider
	net.run(ms, func() { n.cluster.limits[0].coldHosts = n.hostList })
	net.openClient("OPEN 1 2 c=chat,d=2000,r=1\r\n")
	if len(decider.loads) != 1 || decider.loads[0] <= 0 {
		t.Errorf("loads of flows before they were placed: %v", decider.loads)
	}
}

// loadRecorder records the loads of new flows when they are to be placed.
type loadRecorder struct {
	Decider
	loads []float64
}

func (d *loadRecorder) PlaceFlow(f *balance.Flow) {
	d.loads = append(d.loads, f.Load())
	d.Decider.PlaceFlow(f)
}

func (d *loadRecorder) EstimateLoad(f *balance.Flow) { d.Decider.(loadEstimator).EstimateLoad(f) }

// A flow whose time is over before the limit's answer comes has not reached a host, so its client is asked to retry.
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

// A process whose successor dies after it took over keeps the fleet's limits again: it admits flows up to the limit, and no more.
// Before the fix it refused every flow for good.
func TestLimitsAfterSuccessorDied(t *testing.T) {
	n, net := newLimitedNode(1, concurrentLimit(OverType, "chat", 2))
	if got := net.openAndAnswer(openLine); !strings.HasPrefix(net.sent[got], "UP") {
		t.Fatalf("%q", net.sent[got])
	}
	peer := &fakePeer{t: t, from: net, moved: map[uint64]uint64{}}
	if _, ok := n.BeginHandover(peer); !ok {
		t.Fatal("the handover was refused")
	}
	net.run(1, n.StateSent)
	net.run(1, func() { n.Yield(0) })
	if got := net.openAndAnswer(openLine); !strings.HasPrefix(net.sent[got], "BUSY") {
		t.Fatalf("a flow was admitted though the successor grants permits: %q", net.sent[got])
	}
	net.run(1, func() { n.PeerProcessGone() })
	passed := 0
	for range 10 {
		net.run(50*ms, func() {})
		if got := net.openAndAnswer(openLine); strings.HasPrefix(net.sent[got], "UP") {
			passed++
		}
	}
	if held := n.cluster.limits[0].concurrent.InUse(); held != 2 || passed != 1 {
		t.Fatal(held, "permits in use,", passed, "flows admitted")
	}
}

// The process that binds the cluster address after another one of its node votes for no lease until the votes of that one have
// expired. Before the fix a new process counted from its own start, though the old one voted until it yielded: two owners of a
// slot could have been elected with votes of the same node.
func TestVotesOfOtherProcessExpireFirst(t *testing.T) {
	n, net := newLimitedNode(1, concurrentLimit(OverType, "chat", 2))
	if _, ok := n.cluster.leases.Owned(0); !ok {
		t.Fatal("the only node of a fleet owns all slots")
	}
	net.run(1, func() { n.ClusterAddressTakenOver(n.now, "a") })
	boundAt := n.now
	for n.now < boundAt+lease.VoteTerm {
		if _, ok := n.cluster.leases.Owned(0); ok {
			t.Fatal("voted", (n.now-boundAt)/ms, "ms after the other process may have voted")
		}
		net.run(50*ms, func() {})
	}
	for range 20 {
		net.run(50*ms, func() {})
	}
	if _, ok := n.cluster.leases.Owned(0); !ok {
		t.Fatal("votes are withheld for good")
	}
}
