package limits

import (
	"math/rand"
	"testing"

	"coursewinch/cluster/drawn"

	"pgregory.net/rapid"
)

// fleetMember is a member's limits core, and what it let pass.
type fleetMember struct {
	*Limits
	fleet *testFleet
}

// testFleet is a fleet of limits cores under a plan.
type testFleet struct {
	*drawn.Fleet
	t          drawn.Failer
	limit      Limit
	grantedAt  []int64 // when one was let pass, in true time
	lastWaiter int
}

func (m fleetMember) Tick(now int64, send func(to int, p []byte)) {
	m.fleet.record(m.Limits.Turn(now, send))
}

func (m fleetMember) Receive(from int, _ uint64, payload []byte, answer func(payload []byte), send func(to int, payload []byte)) {
	if m.TakeAsk(payload, answer) {
		return
	}
	decided, ok := m.Told(from, payload, send)
	if !ok {
		m.fleet.t.Fatalf("not read: %x", payload)
	}
	m.fleet.record(decided)
}

func (f *testFleet) record(decided []Answer) {
	for _, a := range decided {
		if a.Yes {
			f.grantedAt = append(f.grantedAt, f.Now)
		}
	}
}

// step asks at each member that runs for one more now and then.
func (f *testFleet) step(rng *rand.Rand, probability float64) {
	f.Step(func(m *drawn.Member, send func(to int, p []byte)) {
		if rng.Float64() < probability {
			f.lastWaiter++
			if granted, _ := m.Core.(fleetMember).Limits.Take(f.Key, f.lastWaiter, send); granted {
				f.grantedAt = append(f.grantedAt, f.Now)
			}
		}
	})
	if f.Owners() > 1 {
		f.t.Fatalf("%d owners at %d ms", f.Owners(), f.Now/ms)
	}
}

func newTestFleet(t drawn.Failer, plan drawn.Plan, limit Limit) *testFleet {
	fleet := &testFleet{t: t, limit: limit}
	fleet.Fleet = drawn.NewFleet(plan, func(m *drawn.Member) drawn.Core { return fleetMember{New(limit, m.Process, plan.Nodes, m), fleet} })
	return fleet
}

// worstExcess is the most let pass beyond the bound in any stretch, over all stretches that begin and end with one, and how
// near one came to a strict bound.
func (f *testFleet) worstExcess() (over, nearest float64) {
	for i := range f.grantedAt {
		for j := i; j < len(f.grantedAt); j++ {
			granted, bound := float64(j-i+1), f.limit.Most(len(f.Members), f.grantedAt[j]-f.grantedAt[i])
			over = max(over, granted-bound)
			if f.limit.Strict {
				nearest = max(nearest, granted/bound)
			}
		}
	}
	return over, nearest
}

// TestNeverOver draws faults on fleets of three to seven. No strict limit is passed, no available one beyond its formula.
func TestNeverOver(t *testing.T) {
	drawn.Same()
	granted, runs, nearest := 0, 0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		plan := drawn.Draw(t, 6*second)
		fleet := newTestFleet(t, plan, Limit{Rate: 10, Burst: 12, Strict: rapid.Bool().Draw(t, "strict")})
		rng := rand.New(rand.NewSource(plan.Seed + 1))
		for range 1000 {
			fleet.step(rng, 0.1)
		}
		over, share := fleet.worstExcess()
		if over > 0 {
			t.Fatalf("%.1f over", over)
		}
		runs, granted, nearest = runs+1, granted+len(fleet.grantedAt), max(nearest, share)
	})
	if nearest < 0.7 {
		t.Errorf("the worst strict stretch had %.2f of its bound: the test does not come near", nearest)
	}
	t.Logf("%d runs, %d let pass; the worst strict stretch had %.2f of its bound", runs, granted, nearest)
}

// TestOneNodesFigure: what all nodes let pass of a loop at all of them is what one would, by a tenth.
func TestFleetAdmitsAsOneNode(t *testing.T) {
	for _, strict := range []bool{true, false} {
		var granted []int
		for _, nodes := range []int{1, 4, 12} {
			fleet, rng := newTestFleet(t, drawn.Plan{Nodes: nodes, Seed: 1}, Limit{Rate: 20, Burst: 20, Strict: strict}), rand.New(rand.NewSource(2))
			for range 300 {
				fleet.step(rng, 0) // until leases stand
			}
			fleet.grantedAt = nil
			for range 1500 {
				fleet.step(rng, 2/float64(nodes))
			}
			granted = append(granted, len(fleet.grantedAt))
		}
		for _, nodes := range granted[1:] {
			if float64(nodes) > 1.2*float64(granted[0]) || float64(nodes) < 0.8*float64(granted[0]) {
				t.Errorf("strict %t: let pass by 1, 4 and 12 nodes: %v", strict, granted)
			}
		}
		t.Logf("strict %t: let pass by 1, 4 and 12 nodes: %v", strict, granted)
	}
}

func TestCheckRejectsUnenforceableLimits(t *testing.T) {
	for _, l := range []Limit{{}, {Rate: -1, Burst: 1}, {Rate: 1}, {Rate: 1, Burst: 0.5}, {Rate: 100, Burst: 5, Strict: true}} {
		if l.Check(3) == nil {
			t.Errorf("%+v is taken", l)
		}
	}
	if err := (Limit{Rate: 20, Burst: 10, Strict: true}).Check(3); err != nil {
		t.Error(err)
	}
}

// ownsAll is an owner of every key.
type ownsAll struct{}

func (ownsAll) Mine(uint64) (since, until int64, ok bool) { return second, 1 << 60, true }
func (ownsAll) Who(uint64) int                            { return -1 }

// TestMillionColdKeys: an owner holds no more than it may, and a hot key has its limit all the same.
func TestMillionUnusedKeys(t *testing.T) {
	l, now, hot := New(Limit{Rate: 20, Burst: 20, Strict: true}, 1, 3, ownsAll{}), second, 0
	for key := range uint64(1_000_000) {
		if now += 10; key%100 == 0 {
			l.Turn(now, nil)
			if granted, _ := l.Take(1<<40, nil, nil); granted {
				hot++
			}
		}
		l.Take(key, nil, nil)
		if l.Keys() > 2*maxKeys {
			t.Fatalf("%d keys held", l.Keys())
		}
	}
	if bound := l.limit.Most(3, now); float64(hot) > bound || float64(hot) < 0.7*bound {
		t.Errorf("%d let pass of a hot key, at most %.0f", hot, bound)
	}
}

// TestSweepOfOneTable: what is forgotten of own parts leaves the buckets of owned keys as they are.
func TestDropFullKeepsOwnedBuckets(t *testing.T) {
	l, first := New(Limit{Rate: 1, Burst: 4}, 1, 3, ownsAll{}), 0
	l.Turn(100*second, nil)
	take := func() (n int) {
		for range 10 {
			if granted, _ := l.Take(7, nil, nil); granted {
				n++
			}
		}
		return n
	}
	first = take()
	l.shares[7] = &bucket{tokens: 4}
	l.dropFull(l.shares, 1, 4)
	if more := take(); first == 0 || more > 0 {
		t.Errorf("%d let pass, and %d more at once after a sweep", first, more)
	}
}

func BenchmarkTake(b *testing.B) {
	l := New(Limit{Rate: 1e5, Burst: 1e5}, 1, 3, ownsAll{})
	for i := range b.N {
		if i%100 == 0 {
			l.Turn(int64(i), nil)
		}
		l.Take(uint64(i%5000), nil, nil)
	}
}
