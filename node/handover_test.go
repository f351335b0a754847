package node

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"

	"coursewinch/admission"
	"coursewinch/balance"
	"coursewinch/discovery"
	"coursewinch/handover"
)

// fakePeer is the peer process as a node reaches it. It passes what it is given to another node.
type fakePeer struct {
	t         *testing.T
	from      *fakeNet
	to        *fakeNet
	messages  []*handover.Message
	refuses   bool
	accepting bool
	moved     map[uint64]uint64 // ids of connections at the successor by ids at the predecessor
}

func (peer *fakePeer) Send(m *handover.Message) bool {
	if !peer.refuses {
		peer.messages = append(peer.messages, m)
	}
	return !peer.refuses
}
func (peer *fakePeer) TakeOver() bool {
	peer.accepting = !peer.refuses
	return peer.accepting
}
func (peer *fakePeer) HandOver(m *handover.Message, conns ...uint64) bool {
	if peer.refuses {
		return false
	}
	text, err := m.Encode()
	if err != nil {
		peer.t.Fatal(err)
	}
	if m, err = handover.Decode(text, len(conns)); err != nil {
		peer.t.Fatal(err)
	}
	peer.to.run(1, func() {
		var got []Adopted
		if m.Client != nil {
			got = []Adopted{peer.to.node.AdoptClient(m.Client, peer.to.from)}
		} else {
			front, back := peer.to.node.AdoptFlow(m.Flow, peer.to.from)
			got = []Adopted{front, back}
		}
		for i, a := range got {
			peer.to.register(a.ID, "", a.In, a.Out)
			peer.to.up[a.ID] = true
			peer.moved[conns[i]] = a.ID
		}
		for _, a := range got {
			peer.to.node.ResumeAdopted(a.ID)
		}
	})
	return true
}

// newPredecessor returns a running node and the peer process that is to take over from it.
func newPredecessor(t *testing.T, hosts int) (*fakeNet, *fakePeer) {
	t.Helper()
	_, predecessor := newNode(hosts)
	predecessor.node.settings.HasGroups = true
	return predecessor, &fakePeer{t: t, from: predecessor, moved: map[uint64]uint64{}}
}

// startSuccessor starts a new process with the state that the predecessor sent.
func (peer *fakePeer) startSuccessor(state *handover.State) *fakeNet {
	peer.t.Helper()
	n, net := newNode(1)
	successor := New(n.settings, Config{Admission: admission.Limits{PerAddress: 100}}, net)
	net.from = netip.MustParseAddrPort("127.0.0.9:1")
	successor.settings.HasGroups = true
	net.node = successor
	peer.to = net
	back := &fakePeer{t: peer.t}
	successor.InheritState(back, state)
	successor.Begin(peer.from.node.now, discovery.List{})
	return net
}

// steps runs n handover steps of a node.
func (peer *fakePeer) steps(net *fakeNet, n int) {
	for range n {
		net.run(handOverInterval, func() {})
	}
}

// A new version may be configured with other service types. State is handed over by the type's name, and clients of a type
// that no longer exists are moved.
func TestHandoverMatchesTypesByName(t *testing.T) {
	newTypedNode := func(net *fakeNet, names ...string) *Node {
		set := *net.node.settings
		set.Types, set.ServiceTypeIndex, set.ConnectTimeouts = nil, map[string]int{}, nil
		for i, name := range names {
			set.Types = append(set.Types, net.node.settings.Types[0])
			set.ServiceTypeIndex[name], set.ConnectTimeouts = i, append(set.ConnectTimeouts, 0)
		}
		return New(&set, Config{}, net)
	}
	predecessor, peer := newPredecessor(t, 2)
	now := predecessor.node.now
	predecessor.node = newTypedNode(predecessor, "chat", "toll", "gone")
	predecessor.node.Begin(now, entries("ready", 2))
	n := predecessor.node
	establish := func(serviceType string) (client, host uint64) {
		client = predecessor.openClient("OPEN 1 2 c=" + serviceType + ",d=2000\r\n")
		host = predecessor.connectLast()
		predecessor.receive(host, "UP 7\r\nLOAD 900\r\n")
		return client, host
	}
	toll, _ := establish("toll")
	gone, _ := establish("gone")
	state, _ := n.BeginHandover(peer)
	_, successor := newNode(1)
	successor.node = newTypedNode(successor, "toll", "chat")
	peer.to = successor
	successor.node.InheritState(&fakePeer{t: t}, state)
	successor.node.Begin(n.now, discovery.List{})
	successor.run(joinTimeout, func() {})
	m := state.Node.ForTypes(state.Types, successor.node.typeNames())
	if len(m.Loads) != 2 || m.Loads[0] != state.Node.Loads[1] || m.Loads[1] != state.Node.Loads[0] || len(state.Types) != 3 {
		t.Fatal(m.Loads, state.Node.Loads)
	}
	if lost := state.Node.ForTypes(state.Types[:1], successor.node.typeNames()); lost.Loads != nil {
		t.Fatal("figures without type names were used", lost.Loads)
	}
	predecessor.run(1, func() { n.Yield(0); n.Stop() })
	peer.steps(predecessor, 3)
	f := successor.node.conns.get(peer.moved[toll]).flow
	if f.TypeIndex != 0 || f.movePending {
		t.Fatal("the flow has another service type at the successor", f.TypeIndex, f.movePending)
	}
	successor.expect(t, peer.moved[gone], "MOVE\r\n", "shut")
}

// A handover moves or breaks no flow and loses no byte, and the successor has the predecessor's knowledge.
func TestHandoverKeepsFlows(t *testing.T) {
	predecessor, peer := newPredecessor(t, 3)
	n := predecessor.node
	c, h := predecessor.establish()
	grouped := predecessor.openClient("OPEN 1 2 c=chat,d=2000,g=team\r\n")
	groupedHost := predecessor.connectLast()
	predecessor.receive(groupedHost, "UP 8\r\nLOAD 700\r\n")
	predecessor.receive(c, "half a li")
	front := predecessor.openClient("PING\r\n")
	silent := predecessor.openClient("OPEN 77 2 c=ch")
	pending := predecessor.openClient(openLine)
	pendingHost := predecessor.connectLast()
	state, ok := n.BeginHandover(peer)
	if _, again := n.BeginHandover(peer); !ok || again {
		t.Fatal("the first handover was refused, or a second one accepted")
	}
	successor := peer.startSuccessor(state)
	if successor.node.Ready() || successor.node.state() != "joining" || len(state.List.Entries) != 3 || len(state.IDs) != 3 {
		t.Fatal(successor.node.state(), state)
	}
	successor.run(joinTimeout, func() {})
	if !successor.node.Ready() || !successor.node.handover.peer.(*fakePeer).accepting {
		t.Fatal(successor.node.state())
	}
	late := predecessor.openClient(openLine) // its id is sent after the state, before the predecessor yields
	predecessor.run(1, func() { n.StateSent(); n.Yield(30) })
	if sent := peer.messages; len(sent) != 2 || len(sent[0].IDs) != 1 || sent[1].Yield.Room != 30 {
		t.Fatal(sent)
	}
	peer.steps(predecessor, 3)
	if len(peer.moved) != 0 || !n.answersFront() {
		t.Fatal("connections handed over before the stop")
	}
	predecessor.run(1, n.Stop)
	peer.steps(predecessor, 2)
	for _, id := range []uint64{c, h, grouped, groupedHost, front, silent} {
		if predecessor.ended[id] != "close" || peer.moved[id] == 0 || strings.Contains(predecessor.sent[id], "MOVE") {
			t.Fatalf("%d: %q, %v", id, predecessor.ended[id], peer.moved)
		}
	}
	if n.Done() || predecessor.ended[pending] != "" {
		t.Fatal("a flow being set up was not finished first")
	}
	predecessor.receive(pendingHost, "UP 9\r\n")
	predecessor.connectLast()
	predecessor.receive(predecessor.lastConn(), "UP 9\r\n")
	peer.steps(predecessor, 2)
	if peer.moved[pending] == 0 || peer.moved[late] == 0 || !n.Done() || n.Count.Moves != 0 || n.Count.HandedOver != 6 {
		t.Fatal(peer.moved, n.flows.count, n.Count)
	}
	if known, unknown := successor.node.admission.AddressCounts(); known+unknown != 1 {
		t.Fatal("connections handed over are not counted for their address")
	}
	successor.receive(peer.moved[c], "ne\r\n")
	successor.expect(t, peer.moved[h], "half a line\r\n", "")
	successor.receive(peer.moved[h], "back\r\n")
	successor.expect(t, peer.moved[c], "back\r\n", "")
	successor.receive(peer.moved[front], "PING\r\n")
	successor.expect(t, peer.moved[front], "PONG\r\n", "")
	successor.receive(peer.moved[silent], "at,d=2000\r\n")
	if !strings.HasPrefix(successor.address[successor.lastConn()], "h") {
		t.Fatal("no connect for a request whose line was half received before the handover")
	}
	for _, f := range successor.node.flows.entries {
		if f.value.Group != nil && f.value.reportedLoad != 700 {
			t.Fatal(f.value.reportedLoad)
		}
	}
	if got := successor.metrics(t); got["inflight"] != 5 || got["success.chat"] != 0 {
		t.Fatal(got)
	}
	successor.receive(successor.openClient(""), fmt.Sprintf("OPEN %d 2 c=chat,d=2000\r\n", predecessor.clients-1))
	if successor.node.Count.BadLines != 1 {
		t.Fatal("a request id used at the predecessor was accepted again")
	}
}

// A handover may fail at any step. What is left then goes on as without a handover.
func TestFailedHandover(t *testing.T) {
	predecessor, peer := newPredecessor(t, 1)
	n := predecessor.node
	c, _ := predecessor.establish()
	state, _ := n.BeginHandover(peer)
	if take := n.PeerProcessGone(); take {
		t.Fatal("has to accept connections though it had not stopped accepting")
	}
	successor := peer.startSuccessor(state)
	successor.run(1, func() {
		if !successor.node.PeerProcessGone() {
			t.Fatal("the predecessor has ended and the successor does not accept connections")
		}
	})
	if !successor.node.Ready() {
		t.Fatal(successor.node.state())
	}
	if _, ok := n.BeginHandover(peer); !ok {
		t.Fatal("a second handover was refused")
	}
	n.StateSent()
	predecessor.run(1, n.Stop) // before the successor has taken over
	if len(peer.messages) != 1 || !peer.messages[0].Leave {
		t.Fatal(peer.messages)
	}
	peer.refuses = true
	predecessor.run(1, func() { n.Yield(0) })
	for !n.Done() {
		peer.steps(predecessor, 1)
	}
	if !strings.HasSuffix(predecessor.sent[c], "MOVE\r\n") {
		t.Fatalf("%q", predecessor.sent[c])
	}
}

// A drain that one process learns of holds in the peer process, until that gets a list itself. A drained node stays drained
// through a handover, until an operator resumes it.
func TestDrainsHoldInBothProcesses(t *testing.T) {
	predecessor, peer := newPredecessor(t, 2)
	predecessor.node.Drain()
	state, _ := predecessor.node.BeginHandover(peer)
	successor := peer.startSuccessor(state)
	successor.run(joinTimeout, func() {})
	if successor.node.state() != "drained" {
		t.Fatal(successor.node.state())
	}
	update := entries("draining", 1)
	predecessor.run(1, predecessor.node.StateSent)
	predecessor.run(1, func() { predecessor.node.receiveList(&conn{}, update) })
	if len(peer.messages) != 1 || !slices.Equal(peer.messages[0].Drains.UIDs, []string{"s-0"}) {
		t.Fatal(peer.messages)
	}
	drains := *peer.messages[0].Drains
	drains.UIDs = append(drains.UIDs, "unknown")
	successor.run(1, func() { successor.node.ApplyPeerDrains(drains) })
	peer.messages, predecessor.node.settings.DrainBindsAlone = nil, true
	predecessor.run(1, func() { predecessor.node.receiveList(&conn{}, entries("gone", 2)) })
	if len(peer.messages) != 0 {
		t.Fatal("an absent host was reported as draining, although only draining binds")
	}
	if successor.node.hosts["s-0"].State != balance.Draining || successor.node.hosts["s-1"].State != balance.Up {
		t.Fatal(successor.node.hosts)
	}
}

// The successor's module has the predecessor's knowledge, except of a host that has restarted since.
func TestHandoverKeepsKnowledge(t *testing.T) {
	predecessor, peer := newPredecessor(t, 3)
	for range 20 {
		predecessor.establish()
	}
	c, h := predecessor.establish()
	predecessor.receive(h, "LOAD 900\r\n")
	predecessor.run(1, func() { predecessor.node.Ended(c, nil) }) // the load of its key is remembered
	state, _ := predecessor.node.BeginHandover(peer)
	known := state.Hosts["s-1"]
	known.Started = 5
	state.Hosts["s-1"] = known
	successor := peer.startSuccessor(state).node
	memory, none := successor.decider.(balancerMemory), balance.ServerMemory{}
	first, anew := memory.ServerMemory(&successor.hosts["s-0"].Server), memory.ServerMemory(&successor.hosts["s-1"].Server)
	if first.Rank == 0 || !reflect.DeepEqual(first, state.Hosts["s-0"]) || anew.Latency != none.Latency {
		t.Fatal(first, anew)
	}
	if got := memory.Memory(); !reflect.DeepEqual(got.Setups, state.Node.Setups) || len(got.Known) != 1 {
		t.Fatal(got, state.Node)
	}
	state.Node.Loads = nil // a state without loads is accepted
	peer.startSuccessor(state)
}

// What a process learns while its State is on its way, or while the link takes nothing, is sent later. Before the fix, a list
// that came while the State was on its way ended the handover, since the successor expected the rest of the State; and what the
// link could not take was lost.
func TestUpdatesWaitUntilTheyCanBeSent(t *testing.T) {
	predecessor, peer := newPredecessor(t, 2)
	n := predecessor.node
	if _, ok := n.BeginHandover(peer); !ok {
		t.Fatal("the handover was refused")
	}
	predecessor.run(1, func() { n.receiveList(&conn{}, entries("draining", 1)) })
	if len(peer.messages) != 0 {
		t.Fatal("sent between the parts of the State:", peer.messages)
	}
	peer.refuses = true // its receive buffer is full
	predecessor.run(1, n.StateSent)
	predecessor.run(1, n.Stop)
	peer.refuses = false
	predecessor.run(updateRetryInterval, func() {})
	if len(peer.messages) != 2 || !slices.Equal(peer.messages[0].Drains.UIDs, []string{"s-0"}) || !peer.messages[1].Leave {
		t.Fatal(peer.messages)
	}
	peer.messages, peer.refuses = nil, true
	predecessor.run(1, func() { n.Yield(7) })
	peer.refuses = false
	predecessor.run(updateRetryInterval, func() {})
	if len(peer.messages) != 1 || peer.messages[0].Yield.Room != 7 {
		t.Fatal(peer.messages)
	}
	peer.messages, peer.refuses = nil, true
	n.limits.IDs = handover.MaxIDsPerMessage + 1
	predecessor.run(1, func() {
		for i := range uint64(handover.MaxIDsPerMessage + 3) {
			n.useRequestID(i + 1)
			n.handover.updates.addDrain(fmt.Sprint(i % (maxDrainsPerMessage + 1)))
		}
	})
	if retry := n.handover.updates.retry; retry.position == 0 || retry.at > n.now+updateRetryInterval {
		t.Fatal("not tried again in time")
	}
	peer.refuses = false
	predecessor.run(updateRetryInterval, func() {})
	if sent := peer.messages; len(sent) != 4 || len(sent[0].IDs) != handover.MaxIDsPerMessage || len(sent[1].IDs) != 1 ||
		len(sent[2].Drains.UIDs) != maxDrainsPerMessage || len(sent[3].Drains.UIDs) != 1 {
		t.Fatal(len(sent), "messages")
	}
	peer.refuses = true
	predecessor.run(1, func() { n.Yield(8) })
	predecessor.run(1, func() { n.PeerProcessGone() })
	peer.messages, peer.refuses = nil, false
	n.BeginHandover(peer)
	predecessor.run(1, n.StateSent)
	if sent := peer.messages; len(sent) != 1 || !sent[0].Leave {
		t.Fatal("the next successor is told what the one before it was not:", sent)
	}
}

// A new process that is told to stop while it joins leaves the clients to the old one. Before the fix it took over all the same
// when its list came: for the rest of its stop the node said no to PING, and then its clients were moved.
func TestStoppingSuccessorDoesNotTakeOver(t *testing.T) {
	predecessor, peer := newPredecessor(t, 1)
	state, _ := predecessor.node.BeginHandover(peer)
	successor := peer.startSuccessor(state)
	n := successor.node
	successor.run(1, n.Stop)
	successor.run(1, func() { n.receiveList(&conn{}, entries("ready", 1)) })
	successor.run(1, n.PredecessorStopping)
	successor.run(joinTimeout, func() {})
	if n.handover.peer.(*fakePeer).accepting {
		t.Fatal("took over")
	}
	if !n.Done() {
		t.Fatal("still running")
	}
	lone := peer.startSuccessor(state)
	lone.run(1, lone.node.Stop)
	lone.run(1, func() {
		if !lone.node.PeerProcessGone() {
			t.Error("nobody accepts the connections that wait, though the old process has ended")
		}
	})
}

// A new process takes over only once it could tell the old one; if that one has ended, it accepts connections all the same. Before
// the fix it accepted them though the old process had given up on it and did the same.
func TestTakeOverWaitsForTheLink(t *testing.T) {
	predecessor, peer := newPredecessor(t, 1)
	state, _ := predecessor.node.BeginHandover(peer)
	for _, ended := range []bool{false, true} {
		successor := peer.startSuccessor(state)
		back := successor.node.handover.peer.(*fakePeer)
		back.refuses = true
		successor.run(joinTimeout, func() {})
		if back.accepting || successor.node.state() != "joining" {
			t.Fatal("took over though the old process was not told", successor.node.state())
		}
		if ended {
			successor.run(1, func() {
				if !successor.node.PeerProcessGone() {
					t.Error("nobody accepts connections, though the old process has ended")
				}
			})
			continue
		}
		back.refuses = false
		if successor.run(updateRetryInterval, func() {}); !back.accepting || successor.node.state() != "ready" {
			t.Fatal("does not take over", successor.node.state())
		}
	}
}

// The newer of the two processes' lists decides whether a host takes flows, in whichever order they come. Before the fix an older
// list that came late made a host of a drain take flows again, and a drain that came late kept a host draining that a newer list
// had brought back.
func TestNewerListDecides(t *testing.T) {
	const from = "127.2.0.1:8500"
	list := func(net *fakeNet, rev int64, state string) {
		update := entries(state, 1)
		update.Rev = rev
		net.run(1, func() { net.node.receiveList(&conn{discoveryAddr: from}, update) })
	}
	peerDrains := func(net *fakeNet, rev int64) {
		net.run(1, func() {
			net.node.ApplyPeerDrains(handover.Drains{From: from, Rev: rev, UIDs: []string{"s-0", "s-new"}})
		})
	}
	want := func(net *fakeNet, uid string, state balance.State) {
		t.Helper()
		if got := net.node.hosts[uid].State; got != state {
			t.Fatalf("host %s has state %v, want %v", uid, got, state)
		}
	}
	p, _ := startRoll(t, 0)
	list(p.new, 5, "ready")
	peerDrains(p.new, 7)
	want(p.new, "s-0", balance.Draining)
	list(p.new, 6, "ready")
	want(p.new, "s-0", balance.Draining)
	p.new.run(1, func() {
		update := discovery.List{Rev: 6, Entries: []discovery.Entry{{UID: "s-new", Endpoint: "127.0.0.1:1", State: "ready"}}}
		p.new.node.receiveList(&conn{discoveryAddr: from}, update)
	})
	want(p.new, "s-new", balance.Draining)
	list(p.new, 8, "ready")
	want(p.new, "s-0", balance.Up)
	peerDrains(p.new, 7)
	want(p.new, "s-0", balance.Up)
	peerDrains(p.new, 9)
	list(p.new, 1, "ready") // discovery has restarted
	want(p.new, "s-0", balance.Draining)
	peerDrains(p.new, 9)
	p.new.runUntil(p.new.node.now + maxChangeDelay + 20*ms)
	want(p.new, "s-0", balance.Up)
	peerDrains(p.new, 9)
	p.new.runUntil(p.new.node.now + 2*maxChangeDelay)
	want(p.new, "s-0", balance.Draining) // no list of its own says otherwise
	another := func(rev int64) {
		p.new.run(1, func() { p.new.node.ApplyPeerDrains(handover.Drains{From: "another", Rev: rev, UIDs: []string{"s-0"}}) })
	}
	list(p.new, 10, "ready")
	another(1) // revisions of two services are not compared
	want(p.new, "s-0", balance.Draining)
	another(99)
	list(p.new, 11, "ready")
	want(p.new, "s-0", balance.Up)
}

// A host that a whole list leaves out takes no new flows of the peer process either, unless only draining binds. Before the fix
// the peer process was told only of hosts that a list names.
func TestUnlistedHostIsToldToPeerProcess(t *testing.T) {
	for _, drainBindsAlone := range []bool{false, true} {
		p, _ := startRoll(t, 0)
		p.old.run(1, p.old.node.StateSent)
		p.old.node.settings.DrainBindsAlone = drainBindsAlone
		whole := entries("ready", 1) // without s-1
		whole.All, whole.Rev = true, 9
		p.old.run(1, func() { p.old.node.receiveList(&conn{}, whole) })
		p.exchange()
		listed, left := p.new.node.hosts["s-0"].State, p.new.node.hosts["s-1"].State
		if listed != balance.Up || (left != balance.Up) == drainBindsAlone {
			t.Fatal(drainBindsAlone, listed, left)
		}
	}
}
