package overload

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"testing"

	"coursewinch/balance"
)

// testNode is a node's overload control with the decision module that it bounds, and what the module decided.
type testNode struct {
	control            *Controller
	balancer           *balance.Balancer
	settings           *balance.Settings
	servers            []*balance.Server
	now                int64
	placed             map[*balance.Server]int
	rejected, connects int
	waits              []int64
	lastServer         *balance.Server // the target of the last connect
}

func (n *testNode) Connect(f *balance.Flow, s *balance.Server, _ int64) {
	n.placed[s]++
	n.connects++
	n.lastServer = s
	n.control.ObserveConnect(s)
}
func (n *testNode) Reject(_ *balance.Flow, wait int64) {
	n.rejected++
	n.waits = append(n.waits, wait)
}
func (n *testNode) Abort(*balance.Flow)                                 {}
func (n *testNode) Move(*balance.Flow)                                  {}
func (n *testNode) Probe(*balance.Server)                               {}
func (n *testNode) Publish([]*balance.Server, []balance.GroupPlacement) {}
func (n *testNode) Watch()                                              {}
func (n *testNode) SetAlarm(int64)                                      {}
func (n *testNode) Log(string)                                          {}

// advance moves the clock on and runs one loop iteration of both.
func (n *testNode) advance(us int64, in func()) {
	n.now += us
	n.control.Tick(n.now)
	n.balancer.Round(n.now, func(*balance.Balancer) { in() }, n)
}

// demand places a new flow of a benefit and a load.
func (n *testNode) demand(benefit, load float64) (f *balance.Flow) {
	f = &balance.Flow{Type: &n.settings.Types[0], Benefit: benefit, LoadHint: load, Deadline: n.now + 10*second}
	n.advance(ms, func() { n.balancer.PlaceFlow(f) })
	return f
}

// complete ends a flow, if the module has placed it.
func (n *testNode) complete(f *balance.Flow) {
	if s := n.lastServer; s != nil {
		n.lastServer = nil
		n.advance(ms, func() { n.balancer.Ended(f, s, balance.Completed, ms, true) })
	}
}

// newTestNode makes one of so many nodes, with so many servers of equal size.
func newTestNode(nodes, servers int) *testNode {
	n := &testNode{now: 1000 * second, placed: map[*balance.Server]int{},
		settings: &balance.Settings{Types: []balance.ServiceType{{SetupTarget: second, MessageTarget: second}},
			Nodes: 1, MaxConnects: 20, MaxRetryAfter: 4 * second, ColdFrom: 0.12, ColdTime: 22 * second, FallMultiple: 3}}
	n.control = New(n.settings, nodes, 2*second, 1)
	n.settings.Bounds = n.control
	n.balancer = balance.New(n.settings, 1)
	for i := range servers {
		n.servers = append(n.servers, &balance.Server{Name: fmt.Sprint(i), Hash: uint64(i+1) << 33})
	}
	n.advance(0, func() {
		n.balancer.BeginList(balance.ListComplete)
		for _, s := range n.servers {
			n.balancer.ListEntry(s, balance.Up, 1, 0)
		}
		n.balancer.EndList(balance.ListComplete)
	})
	n.control.SetServers(n.servers)
	return n
}

// saturate makes every server's probes late at a load that another node reports, so that it is learned as the capacity.
func (n *testNode) saturate(load float64) {
	for i := range 80 {
		n.reportFrom(1, load, 0, 0)
		n.advance(tickInterval, func() {})
		for _, s := range n.servers {
			if i < 70 {
				n.control.ObserveProbe(s, ms)
				continue
			}
			n.control.ObserveProbe(s, 50*ms)
		}
	}
}

// reportFrom delivers a report of another process with the same figures for every server.
func (n *testNode) reportFrom(process uint64, load, capacity float64, flags uint8) {
	sender := New(n.settings, 2, 2*second, 1)
	sender.SetServers(n.servers)
	sender.now = n.now
	p := sender.EncodeReport(1000)
	for _, s := range n.servers {
		p = append(p, encodeEntry(shortHash(s.Hash), load, capacity, flags)...)
	}
	serverCount := len(n.servers)
	p[len(p)-serverCount*hostEntrySize-2], p[len(p)-serverCount*hostEntrySize-1] = byte(serverCount), byte(serverCount>>8)
	if !n.control.HandleReport(int(process), process, n.now, false, p) {
		panic("a valid report was dropped")
	}
}

// encodeEntry encodes what a report says of one host.
func encodeEntry(hash uint32, load, capacity float64, flags uint8) []byte {
	l, f := encodeLog(load), encodeLog(capacity)
	return []byte{byte(hash), byte(hash >> 8), byte(hash >> 16), byte(hash >> 24), byte(l), byte(l >> 8), byte(f), byte(f >> 8), flags}
}

// TestHigherBenefitIsAdmittedFirst guards against overload control that rejects flows regardless of their benefit. Far more
// is demanded than there is room for, half of it at eight times the benefit of the other half.
func TestHigherBenefitIsAdmittedFirst(t *testing.T) {
	n := newTestNode(2, 4)
	for _, s := range n.servers {
		n.control.ObserveProbe(s, ms)
	}
	n.saturate(1e6)
	for _, s := range n.servers {
		n.control.ObserveProbe(s, ms) // the backlog is worked off
	}
	n.reportFrom(1, 0.55e6, 1e6, 0)
	for range 300 { // far more than there is room for
		n.complete(n.demand(1, 3e4))
		n.complete(n.demand(8, 3e4))
	}
	if n.control.threshold == 0 || !n.control.Overloaded() {
		t.Fatalf("no threshold was set: %+v", n.control.Stats)
	}
	highBenefit, lowBenefit := 0, 0
	for range 2000 {
		before := n.connects
		n.complete(n.demand(8, 3e4))
		highBenefit += n.connects - before
		before = n.connects
		n.complete(n.demand(1, 3e4))
		lowBenefit += n.connects - before
	}
	if highBenefit < 10*max(lowBenefit, 1) {
		t.Errorf("%d flows of high benefit and %d of low benefit were placed", highBenefit, lowBenefit)
	}
	for _, w := range n.waits {
		if w < 0 || w > n.settings.MaxRetryAfter {
			t.Fatalf("a client was told to wait %d us", w)
		}
	}
}

// TestNodesSetEqualThresholds guards against clients having better chances at one node than at another. Two nodes exchange
// reports, and one of them has three times the demand of the other.
func TestNodesSetEqualThresholds(t *testing.T) {
	x, y := newTestNode(2, 4), newTestNode(2, 4)
	for _, n := range []*testNode{x, y} {
		for _, s := range n.servers {
			n.control.ObserveProbe(s, ms)
		}
		n.saturate(1e6)
		n.control.RemoveProcess(1)
	}
	for range 400 {
		x.demand(1, 5e4)
		x.demand(1, 5e4)
		x.demand(1, 5e4)
		y.demand(1, 5e4)
		y.now = x.now
		if p := x.control.EncodeReport(1000); !y.control.HandleReport(0, 77, x.now, false, p) {
			t.Fatal("a valid report was dropped")
		}
		if p := y.control.EncodeReport(1000); !x.control.HandleReport(0, 78, y.now, false, p) {
			t.Fatal("a valid report was dropped")
		}
	}
	if a, b := x.control.threshold, y.control.threshold; a == 0 || math.Abs(a-b) > 0.1*a {
		t.Errorf("the thresholds are %.3f and %.3f", a, b)
	}
}

// TestLateNodeLearnsAndReportsNothing guards against a node whose own loop is late taking its lateness for that of hosts, or
// reporting it to other nodes.
func TestLateNodeLearnsAndReportsNothing(t *testing.T) {
	n := newTestNode(2, 2)
	n.control.SetLate(true)
	for range 50 {
		for _, s := range n.servers {
			n.control.ObserveProbe(s, ms)
			n.control.ObserveProbe(s, second)
			n.control.ObserveSetup(s, second)
			n.control.ObserveUnreachable(s)
			n.control.ObserveSetupFailure(s)
		}
		n.advance(tickInterval, func() {})
	}
	if n.control.Stats.CapacityCuts > 0 || n.control.Overloaded() {
		t.Errorf("a late node learned from its observations: %+v", n.control.Stats)
	}
	if r := (&report{}); !decodeReport(n.control.EncodeReport(1000), r) || len(r.hosts) > 0 {
		t.Errorf("a late node reports hosts: %+v", r.hosts)
	}
}

// TestFalseReportIsBounded guards against a node that reports absurd loads. It reports a million flows on every host; the
// others believe no more than a fixed multiple of a host's capacity, and only until the report expires. Damaged reports
// are decoded to possible figures or not at all.
func TestFalseReportIsBounded(t *testing.T) {
	n := newTestNode(3, 2)
	for _, s := range n.servers {
		n.control.ObserveProbe(s, ms)
	}
	n.saturate(1e6)
	n.control.RemoveProcess(1)
	n.reportFrom(2, 1e9, 0, 0)
	n.advance(tickInterval, func() {})
	for _, h := range n.control.hostsByName {
		if h.reportedLoad > maxReportedFactor*h.capacity*1.001 {
			t.Errorf("a reported load of %.0f counts on a host of capacity %.0f", h.reportedLoad, h.capacity)
		}
	}
	n.now += reportExpiry + second
	n.advance(tickInterval, func() {})
	if n.control.hostsByName[0].reportedLoad != 0 {
		t.Error("an expired report still counts")
	}
	rng := rand.New(rand.NewSource(1))
	good := n.control.EncodeReport(1000)
	for range 20000 {
		p := bytes.Clone(good)
		p = append(p, make([]byte, rng.Intn(20))...)
		for range 1 + rng.Intn(4) {
			p[rng.Intn(len(p))] = byte(rng.Intn(256))
		}
		r := &report{}
		if decodeReport(p[:rng.Intn(len(p)+1)], r) {
			for _, e := range r.hosts {
				if !(e.load >= 0 && e.load < 1e10 && e.capacity >= 0) {
					t.Fatalf("impossible figures were accepted: %+v", e)
				}
			}
		}
	}
}

// TestRetriesStayWithinBudget guards against retries that add to an overload: further connects stay within a tenth of the
// first ones and a few.
func TestRetriesStayWithinBudget(t *testing.T) {
	n := newTestNode(1, 2)
	n.control.overloadedAt = n.now
	first, further := 0, 0
	for range 3000 {
		n.now += ms
		n.control.Tick(n.now)
		n.control.overloadedAt = n.now
		first++
		n.control.AdmitProbability(&balance.Flow{Type: &n.settings.Types[0]})
		for range 5 {
			if n.control.AllowRetry(nil, nil) {
				further++
			}
		}
	}
	if bound := retryShare*float64(first) + maxRetryBudget; float64(further) > bound || float64(further) < bound/2 {
		t.Errorf("%d further connects for %d first ones, want at most %.0f and at least half of that", further, first, bound)
	}
}

// TestCapacityCutsAreBounded guards against endless cuts of the capacity of a host that is slow for another reason than
// load: it stays late although the load on it falls to a hundredth.
func TestCapacityCutsAreBounded(t *testing.T) {
	n := newTestNode(2, 1)
	s := n.servers[0]
	for range 50 {
		n.reportFrom(1, 1e6, 0, 0)
		n.advance(tickInterval, func() {})
		n.control.ObserveProbe(s, ms)
	}
	for range 600 {
		n.reportFrom(1, 1e4, 0, 0)
		n.advance(tickInterval, func() {})
		n.control.ObserveProbe(s, 100*ms)
	}
	h := n.control.hostsByName[0]
	if lowest := 1e6 * minCutShare * math.Exp(-provenLoadDecay*60) * 0.8; h.capacity < lowest {
		t.Errorf("the capacity was cut to %.0f, want at least %.0f", h.capacity, lowest)
	}
}

// TestSuspensionByReports guards against a node with a late list that goes on using a draining host. One report that a host
// drains suspends it from the next loop iteration on, until that is no longer reported. A host whose set-ups fail needs two
// reports, as a cold one does, and its suspension ends when they are old.
func TestSuspensionByReports(t *testing.T) {
	x, y, z := newTestNode(3, 4), newTestNode(3, 4), newTestNode(3, 4)
	f := &balance.Flow{Type: &x.settings.Types[0], LoadHint: 1}
	exchange := func(from ...*testNode) {
		for i, n := range from {
			if n.control.now = x.now; !x.control.HandleReport(i, uint64(i+7), x.now, false, n.control.EncodeReport(1000)) {
				t.Fatal("a valid report was dropped")
			}
		}
		x.advance(tickInterval, func() {})
	}
	for _, n := range []*testNode{y, z} {
		for _, s := range n.servers {
			n.control.ObserveSetup(s, ms) // an observation of each, so that all are reported
		}
	}
	y.servers[0].State = balance.Draining
	exchange(y, z)
	if x.control.RoomProbability(x.servers[0], f) != 0 || x.control.RoomProbability(x.servers[1], f) == 0 {
		t.Error("after one report that a host drains, it is not suspended or another host is")
	}
	y.servers[0].State = balance.Up
	y.control.now = x.now
	y.control.ObserveSetupFailure(y.servers[1])
	exchange(y, z)
	if x.control.RoomProbability(x.servers[0], f) == 0 || x.control.RoomProbability(x.servers[1], f) == 0 {
		t.Error("a host is suspended for a drain that is no longer reported, or for set-up failures of one witness")
	}
	z.control.now = x.now
	z.control.ObserveSetupFailure(z.servers[1])
	exchange(y, z)
	if x.control.RoomProbability(x.servers[1], f) != 0 {
		t.Error("a host whose set-ups failed for two witnesses is not suspended")
	}
	for range 60 {
		x.advance(tickInterval, func() {})
	}
	if x.control.RoomProbability(x.servers[1], f) == 0 {
		t.Error("a host stays suspended after the reports expired")
	}
}
