package members

import (
	"encoding/binary"
	"math/rand"
	"testing"

	"coursewinch/cluster/frame"
)

// testNetwork is some nodes and the datagrams in flight between them, in virtual time.
type testNetwork struct {
	t           *testing.T
	rng         *rand.Rand
	now         int64
	nodes       []*Members
	skew        []int64 // of each node's clock, microseconds
	inFlight    []packet
	loss        float64  // share of the datagrams
	maxDelay    int64    // microseconds
	sent        []packet // all datagrams so far
	repeatShare float64  // probability that a datagram is followed by a replay of any earlier one
	isCut       func(from, to int) bool
	oldest      int64    // age of the oldest message that counted, microseconds
	starts      []uint64 // of each node
}

// packet is a datagram that arrives at a time.
type packet struct {
	at       int64
	from, to int
	p        []byte
}

// newTestNetwork starts so many nodes that all reach each other.
func newTestNetwork(t *testing.T, nodeCount int, seed int64) *testNetwork {
	n := &testNetwork{t: t, rng: rand.New(rand.NewSource(seed)), maxDelay: 5 * ms, skew: make([]int64, nodeCount),
		isCut: func(int, int) bool { return false }}
	for i := range nodeCount {
		n.nodes = append(n.nodes, nil)
		n.starts = append(n.starts, 0)
		n.start(i)
	}
	return n
}

// start starts a new process of a node.
func (n *testNetwork) start(node int) {
	n.starts[node]++
	n.nodes[node] = New(uint32(node), uint64(node+1)<<32|n.starts[node]<<1, len(n.skew)-1, n.rng.Int63())
	n.nodes[node].Start(n.now + n.skew[node])
}

// peerIndex is the number of a node among the others of an observer.
func peerIndex(node, observer int) int {
	if node > observer {
		return node - 1
	}
	return node
}

// step lets 10 ms pass: each node takes the datagrams that have arrived, then sends those that are due. Paused nodes do
// neither.
func (n *testNetwork) step(paused ...int) {
	n.now += 10 * ms
	stopped := map[int]bool{}
	for _, i := range paused {
		stopped[i] = true
	}
	var waiting []packet
	for _, p := range n.inFlight {
		if p.at > n.now || stopped[p.to] {
			waiting = append(waiting, p)
			continue
		}
		message, ok := n.nodes[p.to].HandleDatagram(n.now+n.skew[p.to], peerIndex(p.from, p.to), p.p)
		if ok { // the payload is the true time of sending
			age := n.now - int64(binary.LittleEndian.Uint64(message.Payload))
			if n.oldest = max(n.oldest, age); age > MaxMessageAge(len(n.nodes)) {
				n.t.Errorf("a message of age %d ms counts", age/ms)
			}
		}
	}
	n.inFlight = waiting
	for i, m := range n.nodes {
		if stopped[i] {
			continue
		}
		m.SendDue(n.now+n.skew[i], func() []byte { return binary.LittleEndian.AppendUint64(nil, uint64(n.now)) }, func(peer int, p []byte) {
			to := peer
			if peer >= i {
				to++
			}
			d := packet{n.now + n.rng.Int63n(n.maxDelay), i, to, p}
			n.sent = append(n.sent, d)
			if n.rng.Float64() >= n.loss && !n.isCut(i, to) {
				n.inFlight = append(n.inFlight, d)
			}
			if len(n.sent) > 0 && n.rng.Float64() < n.repeatShare {
				d := n.sent[n.rng.Intn(len(n.sent))]
				d.at = n.now
				n.inFlight = append(n.inFlight, d)
			}
		})
	}
}

// run runs steps for some seconds.
func (n *testNetwork) run(seconds float64, paused ...int) {
	for range int(seconds * 100) {
		n.step(paused...)
	}
}

// wantState checks in which state an observer has a node.
func (n *testNetwork) wantState(observer, node int, want State) {
	n.t.Helper()
	if got := n.nodes[observer].State(peerIndex(node, observer)); got != want {
		n.t.Errorf("node %d has node %d as %v, want %v", observer, node, got, want)
	}
}

// TestNoOldMessageCounts guards against old messages being taken for recent ones: under loss, delay, replays, clocks that
// differ by hours, pauses and restarts, no message that counts is older than the bound.
func TestNoOldMessageCounts(t *testing.T) {
	worst := int64(0)
	for seed := range int64(40) {
		n := newTestNetwork(t, 5, seed)
		n.loss, n.maxDelay, n.repeatShare = 0.4, 2*second, 0.5
		for i := range n.skew {
			n.skew[i] = n.rng.Int63n(24*3600) * second
			n.start(i)
		}
		for range 6 {
			n.run(2)
			n.run(3, n.rng.Intn(5), n.rng.Intn(5))
			n.start(n.rng.Intn(5))
		}
		worst = max(worst, n.oldest)
	}
	if worst < MaxMessageAge(5)/2 {
		t.Errorf("the oldest message was %d ms of %d: the test does not come near the bound", worst/ms, MaxMessageAge(5)/ms)
	}
	t.Logf("bound %d ms; oldest %d ms", MaxMessageAge(5)/ms, worst/ms)
}

// TestStates guards against wrong membership states when a node's datagrams reach no other, when that ends, and when a
// node leaves.
func TestStates(t *testing.T) {
	n := newTestNetwork(t, 3, 1)
	n.run(1)
	n.wantState(0, 1, Linked)
	n.isCut = func(from, _ int) bool { return from == 0 } // node 0 receives from all and reaches none
	n.run(3)
	n.wantState(1, 0, Lost)
	n.wantState(0, 1, Lost) // their datagrams acknowledge no recent one of node 0, so it knows that its own do not arrive
	n.wantState(1, 2, Linked)
	n.isCut = func(int, int) bool { return false }
	n.run(1)
	n.wantState(0, 1, Linked)
	n.nodes[2].Leave(n.now)
	n.run(0.2)
	n.wantState(0, 2, Left)
}

// TestPausedOrLateNodeMarksNoNodeLost guards against a node that was stopped, or is late, taking the others for lost for
// that reason.
func TestPausedOrLateNodeMarksNoNodeLost(t *testing.T) {
	n := newTestNetwork(t, 3, 1)
	n.run(1)
	n.run(5, 0)
	n.inFlight = nil // nothing reached node 0 meanwhile
	changes := n.nodes[0].StateChanges
	n.step()
	if n.nodes[0].StateChanges != changes {
		t.Error("after a pause the node takes others for lost before their datagrams can have arrived")
	}
	n.run(1)
	n.wantState(0, 1, Linked)
	n.wantState(1, 0, Linked)
	n.nodes[0].SetLate(true)
	n.isCut = func(int, int) bool { return true }
	n.run(5)
	n.wantState(0, 1, Linked)
	n.wantState(1, 2, Lost)
}

// TestForeignDatagramsAreCounted guards against datagrams of unknown senders, damaged and replayed ones being taken or not
// being counted.
func TestForeignDatagramsAreCounted(t *testing.T) {
	n := newTestNetwork(t, 2, 1)
	n.run(1)
	m, other := n.nodes[0], n.nodes[1]
	var p []byte
	other.Leave(n.now)
	other.SendDue(n.now, func() []byte { return make([]byte, 8) }, func(_ int, d []byte) { p = d })
	for _, c := range []struct {
		from int
		p    []byte
		want frame.Fault
	}{{-1, p, frame.UnknownSender}, {1, p, frame.UnknownSender}, {0, p[:30], frame.Truncated},
		{0, nil, frame.Truncated}, {0, []byte{1, 2}, frame.BadMagic}} {
		before := m.Faults[c.want]
		if _, ok := m.HandleDatagram(n.now, c.from, c.p); ok || m.Faults[c.want] != before+1 {
			t.Errorf("the fault %v is not counted, or the datagram was taken", c.want)
		}
	}
	m.HandleDatagram(n.now, 0, p)
	if _, ok := m.HandleDatagram(n.now, 0, p); ok || m.Faults[frame.Replayed] != 1 {
		t.Error("a datagram was taken twice, or not counted as replayed")
	}
}

// TestTwoProcessesAtOneAddress guards against mixing up two processes at one address, as during a handover: datagrams of
// the one are not taken for replays of the other's.
func TestTwoProcessesAtOneAddress(t *testing.T) {
	m := New(0, 2, 1, 1)
	processes := []*Members{New(1, 10, 1, 1), New(1, 20, 1, 2)}
	now, counted := int64(0), map[uint64]int{}
	m.Start(now)
	for _, process := range processes {
		process.Start(now)
	}
	for i := range 400 {
		now += 10 * ms
		m.SendDue(now, func() []byte { return nil }, func(_ int, p []byte) { processes[i%2].HandleDatagram(now, 0, p) })
		for _, process := range processes {
			process.SendDue(now, func() []byte { return nil }, func(_ int, p []byte) {
				if message, ok := m.HandleDatagram(now, 0, p); ok {
					counted[message.Process]++
				}
			})
		}
	}
	if len(counted) != 2 || m.Faults[frame.Replayed] > 0 {
		t.Errorf("messages by process: %v; %d taken for replays", counted, m.Faults[frame.Replayed])
	}
}

// TestSendRateIsBounded guards against traffic that grows with the fleet: a node sends one datagram to each other node in
// a send interval, and at most 250 a second at any size. 10 % are for jitter.
func TestSendRateIsBounded(t *testing.T) {
	for _, n := range []int{2, 12, 80, 300} {
		m, now := New(0, 1, n-1, 1), int64(0)
		m.Start(now)
		for now < 20*second {
			now += 10 * ms
			m.SendDue(now, func() []byte { return make([]byte, 100) }, func(int, []byte) {})
		}
		bound := 1.1 * float64(n-1) * float64(second) / float64(SendInterval(n))
		got := float64(m.Sent) / 20
		if got > bound || got < 0.7*bound || got > 275 {
			t.Errorf("%d nodes: %.1f datagrams a second, bound %.1f", n, got, bound)
		}
		t.Logf("%d nodes: %.1f datagrams a second, bound %.1f; %.0f bytes", n, got, bound, float64(m.SentBytes)/20)
	}
}
