package members

import (
	"encoding/binary"
	"math/rand"
	"testing"

	"coursewinch/cluster/frame"
)

// testNetwork is some nodes and what is on its way between them.
type testNetwork struct {
	t           *testing.T
	rng         *rand.Rand
	now         int64
	nodes       []*Members
	skew        []int64 // of each clock
	inFlight    []packet
	loss        float64
	maxDelay    int64 // delay
	sent        []packet
	repeatShare float64
	isCut       func(from, to int) bool
	oldest      int64 // the oldest word that counted
	starts      []uint64
}

type packet struct {
	at       int64
	from, to int
	p        []byte
}

func newTestNetwork(t *testing.T, n int, seed int64) *testNetwork {
	w := &testNetwork{t: t, rng: rand.New(rand.NewSource(seed)), maxDelay: 5 * ms, skew: make([]int64, n), isCut: func(int, int) bool { return false }}
	for i := range n {
		w.nodes = append(w.nodes, nil)
		w.starts = append(w.starts, 0)
		w.start(i)
	}
	return w
}

func (w *testNetwork) start(i int) {
	w.starts[i]++
	w.nodes[i] = New(uint32(i), uint64(i+1)<<32|w.starts[i]<<1, len(w.skew)-1, w.rng.Int63())
	w.nodes[i].Begin(w.now + w.skew[i])
}

func peerIndex(from, to int) int { // what one is to another
	if from > to {
		return from - 1
	}
	return from
}

// step is a hundredth of a second: all that has come is taken, then what is due is sent. still are stopped.
func (w *testNetwork) step(still ...int) {
	w.now += 10 * ms
	stopped := map[int]bool{}
	for _, i := range still {
		stopped[i] = true
	}
	var left []packet
	for _, p := range w.inFlight {
		if p.at > w.now || stopped[p.to] {
			left = append(left, p)
			continue
		}
		word, ok := w.nodes[p.to].Take(w.now+w.skew[p.to], peerIndex(p.from, p.to), p.p)
		if ok { // the payload says when it was made, on the true clock
			age := w.now - int64(binary.LittleEndian.Uint64(word.Payload))
			if w.oldest = max(w.oldest, age); age > Young(len(w.nodes)) {
				w.t.Errorf("a word of %d ms counts", age/ms)
			}
		}
	}
	w.inFlight = left
	for i, m := range w.nodes {
		if stopped[i] {
			continue
		}
		m.Due(w.now+w.skew[i], func() []byte { return binary.LittleEndian.AppendUint64(nil, uint64(w.now)) }, func(nth int, p []byte) {
			to := nth
			if nth >= i {
				to++
			}
			d := packet{w.now + w.rng.Int63n(w.maxDelay), i, to, p}
			w.sent = append(w.sent, d)
			if w.rng.Float64() >= w.loss && !w.isCut(i, to) {
				w.inFlight = append(w.inFlight, d)
			}
			if len(w.sent) > 0 && w.rng.Float64() < w.repeatShare {
				d := w.sent[w.rng.Intn(len(w.sent))]
				d.at = w.now
				w.inFlight = append(w.inFlight, d)
			}
		})
	}
}

func (w *testNetwork) run(seconds float64, still ...int) {
	for range int(seconds * 100) {
		w.step(still...)
	}
}

func (w *testNetwork) wantState(of, about int, want Standing) {
	w.t.Helper()
	if got := w.nodes[of].Standing(peerIndex(about, of)); got != want {
		w.t.Errorf("node %d takes %d for %v, not %v", of, about, got, want)
	}
}

// TestNoOldWordCounts: under loss, delay, datagrams sent again, clocks that differ by hours, stops and restarts, no word
// that counts is older than the bound.
func TestNoOldReportCounts(t *testing.T) {
	worst := int64(0)
	for seed := range int64(40) {
		w := newTestNetwork(t, 5, seed)
		w.loss, w.maxDelay, w.repeatShare = 0.4, 2*second, 0.5
		for i := range w.skew {
			w.skew[i] = w.rng.Int63n(24*3600) * second
			w.start(i)
		}
		for range 6 {
			w.run(2)
			w.run(3, w.rng.Intn(5), w.rng.Intn(5))
			w.start(w.rng.Intn(5))
		}
		worst = max(worst, w.oldest)
	}
	if worst < Young(5)/2 {
		t.Errorf("the worst was %d ms of %d: the test does not come near", worst/ms, Young(5)/ms)
	}
	t.Logf("no older than %d ms; worst %d ms", Young(5)/ms, worst/ms)
}

func TestStates(t *testing.T) {
	w := newTestNetwork(t, 3, 1)
	w.run(1)
	w.wantState(0, 1, Linked)
	w.isCut = func(from, _ int) bool { return from == 0 } // it hears all and is heard by none
	w.run(3)
	w.wantState(1, 0, Lost)
	w.wantState(0, 1, Lost) // they name nothing young that it sent: it knows that it is not heard
	w.wantState(1, 2, Linked)
	w.isCut = func(int, int) bool { return false }
	w.run(1)
	w.wantState(0, 1, Linked)
	w.nodes[2].Leave(w.now)
	w.run(0.2)
	w.wantState(0, 2, Left)
}

// TestWhoStoodStillBlamesNobody: one that did not run, or is late, takes nobody for lost for that.
func TestPausedOrLateNodeMarksNobodyLost(t *testing.T) {
	w := newTestNetwork(t, 3, 1)
	w.run(1)
	w.run(5, 0)
	w.inFlight = nil // nor did anything reach it
	lost := w.nodes[0].StateChanges
	w.step()
	if w.nodes[0].StateChanges != lost {
		t.Error("awake, it takes the others for lost before it can have heard them")
	}
	w.run(1)
	w.wantState(0, 1, Linked)
	w.wantState(1, 0, Linked)
	w.nodes[0].Late(true)
	w.isCut = func(int, int) bool { return true }
	w.run(5)
	w.wantState(0, 1, Linked)
	w.wantState(1, 2, Lost)
}

func TestForeignDatagramsAreCounted(t *testing.T) {
	w := newTestNetwork(t, 2, 1)
	w.run(1)
	m, other := w.nodes[0], w.nodes[1]
	var p []byte
	other.Leave(w.now)
	other.Due(w.now, func() []byte { return make([]byte, 8) }, func(_ int, d []byte) { p = d })
	for _, c := range []struct {
		from int
		p    []byte
		want frame.Fault
	}{{-1, p, frame.Stranger}, {1, p, frame.Stranger}, {0, p[:30], frame.Short}, {0, nil, frame.Short}, {0, []byte{1, 2}, frame.Foreign}} {
		before := m.Faults[c.want]
		if _, ok := m.Take(w.now, c.from, c.p); ok || m.Faults[c.want] != before+1 {
			t.Errorf("%v is not counted as such", c.want)
		}
	}
	m.Take(w.now, 0, p)
	if _, ok := m.Take(w.now, 0, p); ok || m.Faults[frame.Replayed] != 1 {
		t.Error("taken twice")
	}
}

// TestTwins: two processes at one address are told apart, and neither's datagrams are taken for replays of the other's.
func TestTwoProcessesAtOneAddress(t *testing.T) {
	m := New(0, 2, 1, 1)
	twins := []*Members{New(1, 10, 1, 1), New(1, 20, 1, 2)}
	now, counted := int64(0), map[uint64]int{}
	m.Begin(now)
	for _, tw := range twins {
		tw.Begin(now)
	}
	for i := range 400 {
		now += 10 * ms
		m.Due(now, func() []byte { return nil }, func(_ int, p []byte) { twins[i%2].Take(now, 0, p) })
		for _, tw := range twins {
			tw.Due(now, func() []byte { return nil }, func(_ int, p []byte) {
				if w, ok := m.Take(now, 0, p); ok {
					counted[w.Process]++
				}
			})
		}
	}
	if len(counted) != 2 || m.Faults[frame.Replayed] > 0 {
		t.Errorf("counted %v, %d taken for replays", counted, m.Faults[frame.Replayed])
	}
}

// TestBytesDoNotGrow: a node sends at most (n-1)/Every(n) datagrams a second, 250 from some size on; 10 % are for jitter.
func TestSendRateIsBounded(t *testing.T) {
	for _, n := range []int{2, 12, 80, 300} {
		m, now := New(0, 1, n-1, 1), int64(0)
		m.Begin(now)
		for now < 20*second {
			now += 10 * ms
			m.Due(now, func() []byte { return make([]byte, 100) }, func(int, []byte) {})
		}
		bound := 1.1 * float64(n-1) * float64(second) / float64(Every(n))
		got := float64(m.Sent) / 20
		if got > bound || got < 0.7*bound || got > 275 {
			t.Errorf("%d nodes: %.1f datagrams a second, bound %.1f", n, got, bound)
		}
		t.Logf("%d nodes: %.1f datagrams a second, bound %.1f; %.0f bytes", n, got, bound, float64(m.SentBytes)/20)
	}
}
