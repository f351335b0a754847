package overload

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"testing"

	"coursewinch/balance"
)

// testNode is a core with the module that it bounds, and what the module decided.
type testNode struct {
	control           *Core
	balancer          *balance.Balancer
	settings          *balance.Settings
	servers           []*balance.Server
	now               int64
	placed            map[*balance.Server]int
	rejects, connects int
	waits             []int64
	lastServer        *balance.Server // of the last connect
}

func (d *testNode) Connect(f *balance.Flow, s *balance.Server, _ int64) {
	d.placed[s]++
	d.connects++
	d.lastServer = s
	d.control.Placed(s)
}
func (d *testNode) Reject(_ *balance.Flow, wait int64) {
	d.rejects++
	d.waits = append(d.waits, wait)
}
func (d *testNode) Abort(*balance.Flow)                    {}
func (d *testNode) Move(*balance.Flow)                     {}
func (d *testNode) Probe(*balance.Server)                  {}
func (d *testNode) Tell([]*balance.Server, []balance.Home) {}
func (d *testNode) Watch()                                 {}
func (d *testNode) Alarm(int64)                            {}
func (d *testNode) Trace(string)                           {}
func (d *testNode) advance(us int64, in func()) {
	d.now += us
	d.control.Turn(d.now)
	d.balancer.Round(d.now, func(*balance.Balancer) { in() }, d)
}
func (d *testNode) demand(worth, load float64) (f *balance.Flow) {
	f = &balance.Flow{Type: &d.settings.Types[0], Worth: worth, Hint: load, Deadline: d.now + 10*second}
	d.advance(ms, func() { d.balancer.Demand(f) })
	return f
}

// complete ends a flow that was placed.
func (d *testNode) complete(f *balance.Flow) {
	if s := d.lastServer; s != nil {
		d.lastServer = nil
		d.advance(ms, func() { d.balancer.Ended(f, s, balance.Completed, ms, true) })
	}
}

func newTestNode(nodes, servers int) *testNode {
	d := &testNode{now: 1000 * second, placed: map[*balance.Server]int{}, settings: &balance.Settings{Types: []balance.ServiceType{{SetupTarget: second, MessageTarget: second}},
		Nodes: 1, MaxConnects: 20, MaxWait: 4 * second, ColdFrom: 0.12, ColdTime: 22 * second, FallMultiple: 3}}
	d.control = New(d.settings, nodes, 2*second, 1)
	d.settings.Bounds = d.control
	d.balancer = balance.New(d.settings, 1)
	for i := range servers {
		d.servers = append(d.servers, &balance.Server{Name: fmt.Sprint(i), Hash: uint64(i+1) << 33})
	}
	d.advance(0, func() {
		d.balancer.List(balance.Whole)
		for _, s := range d.servers {
			d.balancer.Entry(s, balance.Up, 1, 0)
		}
		d.balancer.ListEnd(balance.Whole)
	})
	d.control.List(d.servers)
	return d
}

// saturate lets every server show that it is full at a load, by what one other node tells.
func (d *testNode) saturate(load float64) {
	for i := range 80 {
		d.report(1, load, 0, 0)
		d.advance(tickInterval, func() {})
		for _, s := range d.servers {
			if i < 70 {
				d.control.Probe(s, ms)
				continue
			}
			d.control.Probe(s, 50*ms)
		}
	}
}

func (d *testNode) report(process uint64, load, full float64, flags uint8) {
	o := New(d.settings, 2, 2*second, 1)
	o.List(d.servers)
	o.now = d.now
	p := o.Word(1000)
	for _, s := range d.servers {
		p = append(p, encodeEntry(shortHash(s.Hash), load, full, flags)...)
	}
	n := len(d.servers)
	p[len(p)-n*hostEntrySize-2], p[len(p)-n*hostEntrySize-1] = byte(n), byte(n>>8)
	if !d.control.Told(int(process), process, d.now, false, p) {
		panic("its own word is nonsense")
	}
}

func encodeEntry(hash uint32, load, full float64, flags uint8) []byte {
	l, f := encodeLog(load), encodeLog(full)
	return []byte{byte(hash), byte(hash >> 8), byte(hash >> 16), byte(hash >> 24), byte(l), byte(l >> 8), byte(f), byte(f >> 8), flags}
}

func TestHigherBenefitIsAdmittedFirst(t *testing.T) {
	d := newTestNode(2, 4)
	for _, s := range d.servers {
		d.control.Probe(s, ms)
	}
	d.saturate(1e6)
	for _, s := range d.servers {
		d.control.Probe(s, ms) // what had piled up is gone
	}
	d.report(1, 0.55e6, 1e6, 0)
	for range 300 { // far more is asked for than there is room
		d.complete(d.demand(1, 3e4))
		d.complete(d.demand(8, 3e4))
	}
	if d.control.threshold == 0 || !d.control.Short() {
		t.Fatalf("no bar, %+v", d.control.Figures)
	}
	dear, cheap := 0, 0
	for range 2000 {
		was := d.connects
		d.complete(d.demand(8, 3e4))
		dear += d.connects - was
		was = d.connects
		d.complete(d.demand(1, 3e4))
		cheap += d.connects - was
	}
	if dear < 10*max(cheap, 1) {
		t.Errorf("%d of much benefit for their load and %d of little are placed", dear, cheap)
	}
	for _, w := range d.waits {
		if w < 0 || w > d.settings.MaxWait {
			t.Fatalf("a wait of %d us", w)
		}
	}
}

// TestLikeChances: two nodes that tell each other the same set the same bar, whatever each holds itself.
func TestNodesSetEqualThresholds(t *testing.T) {
	x, y := newTestNode(2, 4), newTestNode(2, 4)
	for _, d := range []*testNode{x, y} {
		for _, s := range d.servers {
			d.control.Probe(s, ms)
		}
		d.saturate(1e6)
		d.control.RemoveProcess(1)
	}
	for range 400 {
		x.demand(1, 5e4)
		x.demand(1, 5e4)
		x.demand(1, 5e4)
		y.demand(1, 5e4)
		y.now = x.now
		if p := x.control.Word(1000); !y.control.Told(0, 77, x.now, false, p) {
			t.Fatal("nonsense")
		}
		if p := y.control.Word(1000); !x.control.Told(0, 78, y.now, false, p) {
			t.Fatal("nonsense")
		}
	}
	if a, b := x.control.threshold, y.control.threshold; a == 0 || math.Abs(a-b) > 0.1*a {
		t.Errorf("bars of %.3f and %.3f", a, b)
	}
}

func TestLateNodeLearnsAndTellsNothing(t *testing.T) {
	d := newTestNode(2, 2)
	d.control.Late(true)
	for range 50 {
		for _, s := range d.servers {
			d.control.Probe(s, ms)
			d.control.Probe(s, second)
			d.control.Setup(s, second)
			d.control.Down(s)
			d.control.Sick(s)
		}
		d.advance(tickInterval, func() {})
	}
	if d.control.Figures.Cuts > 0 || d.control.Short() {
		t.Errorf("%+v", d.control.Figures)
	}
	if o := (&report{}); !decodeReport(d.control.Word(1000), o) || len(o.hosts) > 0 {
		t.Errorf("it speaks of hosts: %+v", o.hosts)
	}
}

// TestLieIsBounded: one node that tells a million flows on every host takes no more than a host's room from the others,
// for no longer than it is believed, and what makes no sense changes nothing.
func TestFalseReportIsBounded(t *testing.T) {
	d := newTestNode(3, 2)
	for _, s := range d.servers {
		d.control.Probe(s, ms)
	}
	d.saturate(1e6)
	d.control.RemoveProcess(1)
	d.report(2, 1e9, 0, 0)
	d.advance(tickInterval, func() {})
	for _, h := range d.control.hostsByName {
		if h.reportedLoad > maxReportedFactor*h.capacity*1.001 {
			t.Errorf("%.0f told on a host that %.0f fills", h.reportedLoad, h.capacity)
		}
	}
	d.now += reportExpiry + second
	d.advance(tickInterval, func() {})
	if d.control.hostsByName[0].reportedLoad != 0 {
		t.Error("it is believed for ever")
	}
	rng := rand.New(rand.NewSource(1))
	good := d.control.Word(1000)
	for range 20000 {
		p := bytes.Clone(good)
		p = append(p, make([]byte, rng.Intn(20))...)
		for range 1 + rng.Intn(4) {
			p[rng.Intn(len(p))] = byte(rng.Intn(256))
		}
		o := &report{}
		if decodeReport(p[:rng.Intn(len(p)+1)], o) {
			for _, e := range o.hosts {
				if !(e.load >= 0 && e.load < 1e10 && e.capacity >= 0) {
					t.Fatalf("believed: %+v", e)
				}
			}
		}
	}
}

// TestRetriesAreATenth: while the fleet is short, further connects stay within a tenth of the first ones and a few.
func TestRetriesStayWithinBudget(t *testing.T) {
	d := newTestNode(1, 2)
	d.control.overloadedAt = d.now
	first, further := 0, 0
	for range 3000 {
		d.now += ms
		d.control.Turn(d.now)
		d.control.overloadedAt = d.now
		first++
		d.control.Odds(&balance.Flow{Type: &d.settings.Types[0]})
		for range 5 {
			if d.control.Retry(nil, nil) {
				further++
			}
		}
	}
	if bound := retryShare*float64(first) + maxRetryBudget; float64(further) > bound || float64(further) < bound/2 {
		t.Errorf("%d further connects to %d first ones, bound %.0f", further, first, bound)
	}
}

// TestCutsEnd: hosts that are slow for another reason than load are not cut to nothing.
func TestCapacityCutsAreBounded(t *testing.T) {
	d := newTestNode(2, 1)
	s := d.servers[0]
	for range 50 {
		d.report(1, 1e6, 0, 0)
		d.advance(tickInterval, func() {})
		d.control.Probe(s, ms)
	}
	for range 600 {
		d.report(1, 1e4, 0, 0)
		d.advance(tickInterval, func() {})
		d.control.Probe(s, 100*ms)
	}
	h := d.control.hostsByName[0]
	if low := 1e6 * minCutShare * math.Exp(-provenLoadDecay*60) * 0.8; h.capacity < low {
		t.Errorf("cut to %.0f, at least %.0f", h.capacity, low)
	}
}

// TestDrainByOneWord: a node whose list is late sends a host nothing new from the first turn after another's word that it
// drains, and does again once that word is old and nobody says so any more. Known sick hosts and cold ones want two.
func TestSuspensionByReports(t *testing.T) {
	x, y, z := newTestNode(3, 4), newTestNode(3, 4), newTestNode(3, 4)
	f := &balance.Flow{Type: &x.settings.Types[0], Hint: 1}
	hear := func(from ...*testNode) {
		for i, o := range from {
			if o.control.now = x.now; !x.control.Told(i, uint64(i+7), x.now, false, o.control.Word(1000)) {
				t.Fatal("nonsense")
			}
		}
		x.advance(tickInterval, func() {})
	}
	for _, o := range []*testNode{y, z} {
		for _, s := range o.servers {
			o.control.Setup(s, ms) // they speak of all
		}
	}
	y.servers[0].State = balance.Draining
	hear(y, z)
	if x.control.Room(x.servers[0], f) != 0 || x.control.Room(x.servers[1], f) == 0 {
		t.Error("one word that a host drains holds nothing back, or too much")
	}
	y.servers[0].State = balance.Up
	y.control.now = x.now
	y.control.Sick(y.servers[1])
	hear(y, z)
	if x.control.Room(x.servers[0], f) == 0 || x.control.Room(x.servers[1], f) == 0 {
		t.Error("what nobody says any more is held back from, or what one alone saw")
	}
	z.control.now = x.now
	z.control.Sick(z.servers[1])
	hear(y, z)
	if x.control.Room(x.servers[1], f) != 0 {
		t.Error("what two saw fail is not held back from")
	}
	for range 60 {
		x.advance(tickInterval, func() {})
	}
	if x.control.Room(x.servers[1], f) == 0 {
		t.Error("a verdict outlives its words")
	}
}
