package node

import (
	"testing"

	"coursewinch/balance"
	"coursewinch/cluster/peers"
)

// Where hosts give load reports, a probe asks for one. An invalid figure is ignored, and the probe still succeeds.
func TestProbeCarriesReport(t *testing.T) {
	for answer, want := range map[string]float64{"PONG 3,0.62\r\n": 0.62, "PONG 3\r\n": 0, "PONG 3,-1\r\n": 0, "PONG\r\n": 0} {
		n, net := newNode(1)
		n.settings.HostsReportLoad, n.settings.LoadReportIndex = true, 1
		net.run(1, func() { n.Probe(&n.hosts["s-0"].Server) })
		id := net.ids[len(net.ids)-1]
		net.up[id] = true
		net.run(1, func() { n.Connected(id) })
		net.run(1, func() { net.in[id].Put([]byte(answer)); n.Received(id) })
		if got := n.hosts["s-0"].ReportedLoad(); got != want || net.sent[id] != "STATS\r\n" || n.Count.ProbesFailed > 0 {
			t.Fatalf("%q: %v %q, %d probes failed", answer, got, net.sent[id], n.Count.ProbesFailed)
		}
	}
}

// heldCounter counts the placements of other nodes that are reported to the module.
type heldCounter struct {
	Decider
	held int
}

func (c *heldCounter) PlacementReported(*balance.Group, *balance.Server) { c.held++ }

// Another node's report of where it holds a group reaches the module also if it came before this node's first flow of
// the group.
func TestPeerPlacementsKeptUntilGroupIsKnown(t *testing.T) {
	n, net := newNode(1)
	counter := &heldCounter{Decider: n.decider}
	n.decider, n.settings.HasGroups = counter, true
	deliver := func() { n.ReceivePeerDatagram([]byte("GET / HTTP/1.1")); n.ReceivePeerDatagram(nil) }
	placements := []balance.GroupPlacement{{Group: &balance.Group{Hash: hash("grp")}, Server: &n.hosts["s-0"].Server}}
	peers.Encode(nil, placements, func(p []byte) { invalid := deliver; deliver = func() { invalid(); n.ReceivePeerDatagram(p) } })
	for want, in := range []func(){deliver, func() { (&flow{}).joinNamedGroup(n, "grp") }, deliver} {
		if net.run(1, in); counter.held != want {
			t.Fatal(counter.held, "placements reported, want", want)
		}
	}
}

// In the first seconds after a switch to load reports, restored knowledge of hosts is used, no host counts as saturated
// before its first report, and flows are placed.
func TestStartWithRestoredMemory(t *testing.T) {
	predecessor, net := newNode(1)
	server := &predecessor.hosts["s-0"].Server
	net.run(1, func() { predecessor.decider.Probed(server, balance.Completed, 3*ms) })
	kept := predecessor.decider.(balancerMemory).ServerMemory(server)
	n, net := newNode(1)
	n.settings.HostsReportLoad, n.settings.PeerMessages = true, true
	f := &flow{}
	f.Flow = balance.Flow{Type: &n.settings.Types[0], Deadline: startTime + 2*second, Ref: f}
	net.run(1, func() {
		n.decider.(balancerMemory).RestoreServer(&n.hosts["s-0"].Server, kept)
		n.decider.PlaceFlow(&f.Flow)
	})
	got := n.decider.(balancerMemory).ServerMemory(&n.hosts["s-0"].Server)
	if n.upstreamCount != 1 || got.Rank != kept.Rank || got.Rank == 0 {
		t.Fatal(n.upstreamCount, got, kept)
	}
}
