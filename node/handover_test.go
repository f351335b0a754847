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

// fakePeer is the other process as a node reaches it; what it is given goes to the other node.
type fakePeer struct {
	t         *testing.T
	from      *fakeNet
	to        *fakeNet
	messages  []*handover.Message
	refuses   bool
	accepting bool
	moved     map[uint64]uint64 // connections of the one to those of the other
}

func (peer *fakePeer) Tell(m *handover.Message) { peer.messages = append(peer.messages, m) }
func (peer *fakePeer) Take()                    { peer.accepting = true }
func (peer *fakePeer) Give(m *handover.Message, conns ...uint64) bool {
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
			got = []Adopted{peer.to.node.TakeClient(m.Client, peer.to.from)}
		} else {
			front, back := peer.to.node.TakeFlow(m.Flow, peer.to.from)
			got = []Adopted{front, back}
		}
		for i, a := range got {
			peer.to.register(a.ID, "", a.In, a.Out)
			peer.to.up[a.ID] = true
			peer.moved[conns[i]] = a.ID
		}
		for _, a := range got {
			peer.to.node.Resumed(a.ID)
		}
	})
	return true
}

// newPredecessor gives a node that runs, and how it reaches another that is to take over.
func newPredecessor(t *testing.T, hosts int) (*fakeNet, *fakePeer) {
	t.Helper()
	_, old := newNode(hosts)
	old.node.settings.Groups = true
	return old, &fakePeer{t: t, from: old, moved: map[uint64]uint64{}}
}

// startSuccessor lets a new process take in what the old one knows.
func (peer *fakePeer) startSuccessor(s *handover.State) *fakeNet {
	peer.t.Helper()
	n, net := newNode(1)
	fresh := New(n.settings, Config{Admission: admission.Limits{PerAddress: 100}}, net)
	net.from = netip.MustParseAddrPort("127.0.0.9:1")
	fresh.settings.Groups = true
	net.node = fresh
	peer.to = net
	back := &fakePeer{t: peer.t}
	fresh.Inherit(back, s)
	fresh.Begin(peer.from.node.now, discovery.List{})
	return net
}

func (peer *fakePeer) steps(net *fakeNet, n int) {
	for range n {
		net.run(handOverInterval, func() {})
	}
}

// Guards a roll to a file with other service types: what belongs to one goes by its name, and of one that is gone the
// clients are told to come again.
func TestHandoverMatchesTypesByName(t *testing.T) {
	named3 := func(net *fakeNet, names ...string) *Node {
		set := *net.node.settings
		set.Types, set.Names, set.Limits = nil, map[string]int{}, nil
		for i, name := range names {
			set.Types = append(set.Types, net.node.settings.Types[0])
			set.Names[name], set.Limits = i, append(set.Limits, 0)
		}
		return New(&set, Config{}, net)
	}
	old, p := newPredecessor(t, 2)
	now := old.node.now
	old.node = named3(old, "chat", "toll", "gone")
	old.node.Begin(now, entries("ready", 2))
	n := old.node
	stands := func(class string) (client, host uint64) {
		client = old.openClient("OPEN 1 2 c=" + class + ",d=2000\r\n")
		host = old.connectLast()
		old.receive(host, "UP 7\r\nLOAD 900\r\n")
		return client, host
	}
	toll, _ := stands("toll")
	gone, _ := stands("gone")
	s, _ := n.Heir(p)
	_, young := newNode(1)
	young.node = named3(young, "toll", "chat")
	p.to = young
	young.node.Inherit(&fakePeer{t: t}, s)
	young.node.Begin(n.now, discovery.List{})
	young.run(joinTimeout, func() {})
	m := s.Node.By(s.Types, young.node.typeNames())
	if len(m.Loads) != 2 || m.Loads[0] != s.Node.Loads[1] || m.Loads[1] != s.Node.Loads[0] || len(s.Types) != 3 {
		t.Fatal(m.Loads, s.Node.Loads)
	}
	if lost := s.Node.By(s.Types[:1], young.node.typeNames()); lost.Loads != nil {
		t.Fatal("figures without names are taken", lost.Loads)
	}
	old.run(1, func() { n.Yield(); n.Stop() })
	p.steps(old, 3)
	f := young.node.conns.get(p.moved[toll]).flow
	if f.TypeNo != 0 || f.movePending {
		t.Fatal("toll is of another type there", f.TypeNo, f.movePending)
	}
	young.expect(t, p.moved[gone], "MOVE\r\n", "shut")
}

// Guards clients of a rolled node: no flow is moved or cut off, no byte lost, and what the old process knew goes on.
func TestHandoverKeepsFlows(t *testing.T) {
	old, p := newPredecessor(t, 3)
	n := old.node
	c, h := old.establish()
	grouped := old.openClient("OPEN 1 2 c=chat,d=2000,g=team\r\n")
	gh := old.connectLast()
	old.receive(gh, "UP 8\r\nLOAD 700\r\n")
	old.receive(c, "half a li")
	front := old.openClient("PING\r\n")
	mute := old.openClient("OPEN 77 2 c=ch")
	under := old.openClient(openLine)
	uh := old.connectLast()
	s, ok := n.Heir(p)
	if _, again := n.Heir(p); !ok || again {
		t.Fatal("two at once")
	}
	young := p.startSuccessor(s)
	if young.node.Ready() || young.node.state() != "joining" || len(s.List.Entries) != 3 || len(s.IDs) != 3 {
		t.Fatal(young.node.state(), s)
	}
	young.run(joinTimeout, func() {})
	if !young.node.Ready() || !young.node.handover.peer.(*fakePeer).accepting {
		t.Fatal(young.node.state())
	}
	late := old.openClient(openLine) // its id is told with the yield
	old.run(1, func() {
		if ids := n.Yield(); len(ids) != 1 {
			t.Fatal(ids)
		}
	})
	p.steps(old, 3)
	if len(p.moved) != 0 || !n.answersFront() {
		t.Fatal("handed on before it was told to end")
	}
	old.run(1, n.Stop)
	p.steps(old, 2)
	for _, id := range []uint64{c, h, grouped, gh, front, mute} {
		if old.ended[id] != "close" || p.moved[id] == 0 || strings.Contains(old.sent[id], "MOVE") {
			t.Fatalf("%d: %q, %v", id, old.ended[id], p.moved)
		}
	}
	if n.Done() || old.ended[under] != "" {
		t.Fatal("a set-up under way is finished first")
	}
	old.receive(uh, "UP 9\r\n")
	old.connectLast()
	old.receive(old.lastConn(), "UP 9\r\n")
	p.steps(old, 2)
	if p.moved[under] == 0 || p.moved[late] == 0 || !n.Done() || n.Count.Moves != 0 || n.Count.HandedOn != 6 {
		t.Fatal(p.moved, n.flows.count, n.Count)
	}
	if known, strangers := young.node.admissionGate.Held(); known+strangers != 1 {
		t.Fatal("not counted for their address")
	}
	young.receive(p.moved[c], "ne\r\n")
	young.expect(t, p.moved[h], "half a line\r\n", "")
	young.receive(p.moved[h], "back\r\n")
	young.expect(t, p.moved[c], "back\r\n", "")
	young.receive(p.moved[front], "PING\r\n")
	young.expect(t, p.moved[front], "PONG\r\n", "")
	young.receive(p.moved[mute], "at,d=2000\r\n")
	if !strings.HasPrefix(young.address[young.lastConn()], "h") {
		t.Fatal("half a line came to nothing")
	}
	for _, f := range young.node.flows.entries {
		if f.value.Group != nil && f.value.reportedLoad != 700 {
			t.Fatal(f.value.reportedLoad)
		}
	}
	if got := young.metrics(t); got["inflight"] != 5 || got["success.chat"] != 0 {
		t.Fatal(got)
	}
	young.receive(young.openClient(""), fmt.Sprintf("OPEN %d 2 c=chat,d=2000\r\n", old.clients-1))
	if young.node.Count.Bad != 1 {
		t.Fatal("an id that the old process had was taken again")
	}
}

// Guards against a hand-over that stops half way: at each step what is left goes on as without it.
func TestFailedHandover(t *testing.T) {
	old, p := newPredecessor(t, 1)
	n := old.node
	c, _ := old.establish()
	s, _ := n.Heir(p)
	if take := n.OtherGone(); take {
		t.Fatal("took again what it had not given up")
	}
	young := p.startSuccessor(s)
	young.run(1, func() {
		if !young.node.OtherGone() {
			t.Fatal("the old one died and nobody takes")
		}
	})
	if !young.node.Ready() {
		t.Fatal(young.node.state())
	}
	if _, ok := n.Heir(p); !ok {
		t.Fatal("no second try")
	}
	n.HeirKnows()
	old.run(1, n.Stop) // before the other has taken
	if len(p.messages) != 1 || !p.messages[0].Leave {
		t.Fatal(p.messages)
	}
	p.refuses = true
	old.run(1, func() { n.Yield() })
	for !n.Done() {
		p.steps(old, 1)
	}
	if !strings.HasSuffix(old.sent[c], "MOVE\r\n") {
		t.Fatalf("%q", old.sent[c])
	}
}

// Guards the rule on drains: what one process was told holds in the other, until that hears for itself; and a drained
// node, which stays so until an operator says otherwise.
func TestDrainsHoldInBothProcesses(t *testing.T) {
	old, p := newPredecessor(t, 2)
	old.node.Drain()
	s, _ := old.node.Heir(p)
	young := p.startSuccessor(s)
	if young.run(joinTimeout, func() {}); young.node.state() != "drained" {
		t.Fatal(young.node.state())
	}
	l := entries("draining", 1)
	old.run(1, func() { old.node.receiveList(&conn{}, l) })
	if len(p.messages) != 1 || !slices.Equal(p.messages[0].Drains, []string{"s-0"}) {
		t.Fatal(p.messages)
	}
	young.run(1, func() { young.node.HearDrains(append(p.messages[0].Drains, "unknown")) })
	p.messages, old.node.settings.DrainsAlone = nil, true
	old.run(1, func() { old.node.receiveList(&conn{}, entries("gone", 2)) })
	if len(p.messages) != 0 {
		t.Fatal("gone alone does not bind here, and was told to bind")
	}
	if young.node.hosts["s-0"].State != balance.Draining || young.node.hosts["s-1"].State != balance.Up {
		t.Fatal(young.node.hosts)
	}
}

// What the module knew goes on; of a host started anew since, nothing does.
func TestHandoverKeepsKnowledge(t *testing.T) {
	old, p := newPredecessor(t, 3)
	for range 20 {
		old.establish()
	}
	c, h := old.establish()
	old.receive(h, "LOAD 900\r\n")
	old.run(1, func() { old.node.Ended(c, nil) }) // its key's load is kept
	s, _ := old.node.Heir(p)
	was := s.Hosts["s-1"]
	was.Started = 5
	s.Hosts["s-1"] = was
	young := p.startSuccessor(s).node
	m, none := young.decider.(balancerMemory), balance.ServerMemory{}
	first, anew := m.MemoryOf(&young.hosts["s-0"].Server), m.MemoryOf(&young.hosts["s-1"].Server)
	if first.Rank == 0 || !reflect.DeepEqual(first, s.Hosts["s-0"]) || anew.Latency != none.Latency {
		t.Fatal(first, anew)
	}
	if got := m.Memory(); !reflect.DeepEqual(got.Setups, s.Node.Setups) || len(got.Known) != 1 {
		t.Fatal(got, s.Node)
	}
	s.Node.Loads = nil // of another make: left out
	p.startSuccessor(s)
}
