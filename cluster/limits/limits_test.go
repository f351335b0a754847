package limits

import (
	"math/rand"
	"testing"

	"coursewinch/cluster/faultplan"

	"pgregory.net/rapid"
)

// fleetMember is the limits core of one member of a test fleet.
type fleetMember struct {
	*Limits
	fleet *testFleet
}

// testFleet is a fleet of limits cores under a fault plan.
type testFleet struct {
	*faultplan.Fleet
	t          faultplan.Failer
	limit      Limit
	grantedAt  []int64 // true time of each token granted
	lastWaiter int
}

func (m fleetMember) Tick(now int64, send func(to int, p []byte)) {
	m.fleet.record(m.Limits.Tick(now, send))
}

func (m fleetMember) Receive(from int, _ uint64, payload []byte, answer func(payload []byte), send func(to int, payload []byte)) {
	if m.HandleRequest(payload, answer) {
		return
	}
	decided, ok := m.HandleReply(from, payload, send)
	if !ok {
		m.fleet.t.Fatalf("payload is neither a request nor a reply: %x", payload)
	}
	m.fleet.record(decided)
}

// record notes the time of each granted decision.
func (f *testFleet) record(decided []Decision) {
	for _, a := range decided {
		if a.Granted {
			f.grantedAt = append(f.grantedAt, f.Now)
		}
	}
}

// step advances the fleet by one step, in which each running member takes a token with the given probability.
func (f *testFleet) step(rng *rand.Rand, probability float64) {
	f.Step(func(m *faultplan.Member, send func(to int, p []byte)) {
		if rng.Float64() < probability {
			f.lastWaiter++
			if granted, _ := m.Core.(fleetMember).Limits.Acquire(f.Key, f.lastWaiter, send); granted {
				f.grantedAt = append(f.grantedAt, f.Now)
			}
		}
	})
	if f.Owners() > 1 {
		f.t.Fatalf("the key has %d owners at %d ms", f.Owners(), f.Now/ms)
	}
}

// newTestFleet returns a fleet whose members share one limit.
func newTestFleet(t faultplan.Failer, plan faultplan.Plan, limit Limit) *testFleet {
	fleet := &testFleet{t: t, limit: limit}
	fleet.Fleet = faultplan.NewFleet(plan, func(m *faultplan.Member) faultplan.Core {
		return fleetMember{New(limit, m.Process, plan.Nodes, m), fleet}
	})
	return fleet
}

// worstExcess returns the largest excess over the bound in any window that begins and ends with a grant, and the largest
// share of a strict bound that a window used.
func (f *testFleet) worstExcess() (over, nearest float64) {
	for i := range f.grantedAt {
		for j := i; j < len(f.grantedAt); j++ {
			granted, bound := float64(j-i+1), f.limit.MaxAdmitted(len(f.Members), f.grantedAt[j]-f.grantedAt[i])
			over = max(over, granted-bound)
			if f.limit.Strict {
				nearest = max(nearest, granted/bound)
			}
		}
	}
	return over, nearest
}

// TestNeverOver guards the bounds under drawn faults on fleets of three to seven nodes: a strict limit is never exceeded,
// an available one never beyond its formula. No key has two owners at any step.
func TestNeverOver(t *testing.T) {
	faultplan.FixSeed()
	granted, runs, nearest := 0, 0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		plan := faultplan.Draw(t, 6*second)
		fleet := newTestFleet(t, plan, Limit{Rate: 10, Burst: 12, Strict: rapid.Bool().Draw(t, "strict")})
		rng := rand.New(rand.NewSource(plan.Seed + 1))
		for range 1000 {
			fleet.step(rng, 0.1)
		}
		over, share := fleet.worstExcess()
		if over > 0 {
			t.Fatalf("a window exceeds its bound by %.1f", over)
		}
		runs, granted, nearest = runs+1, granted+len(fleet.grantedAt), max(nearest, share)
	})
	if nearest < 0.7 {
		t.Errorf("the worst strict window used %.2f of its bound: the test does not come near it", nearest)
	}
	t.Logf("%d runs, %d granted; the worst strict window used %.2f of its bound", runs, granted, nearest)
}

// TestFleetAdmitsAsOneNode guards against a fleet whose admissions differ by more than a fifth from those of one node under
// the same steady demand, which is spread over all of its nodes.
func TestFleetAdmitsAsOneNode(t *testing.T) {
	for _, strict := range []bool{true, false} {
		var granted []int
		for _, nodes := range []int{1, 4, 12} {
			fleet := newTestFleet(t, faultplan.Plan{Nodes: nodes, Seed: 1}, Limit{Rate: 20, Burst: 20, Strict: strict})
			rng := rand.New(rand.NewSource(2))
			for range 300 {
				fleet.step(rng, 0) // until the leases are granted
			}
			fleet.grantedAt = nil
			for range 1500 {
				fleet.step(rng, 2/float64(nodes))
			}
			granted = append(granted, len(fleet.grantedAt))
		}
		for _, n := range granted[1:] {
			if float64(n) > 1.2*float64(granted[0]) || float64(n) < 0.8*float64(granted[0]) {
				t.Errorf("strict %t: granted by 1, 4 and 12 nodes: %v", strict, granted)
			}
		}
		t.Logf("strict %t: granted by 1, 4 and 12 nodes: %v", strict, granted)
	}
}

// TestCheckRejectsUnenforceableLimits guards against limits without a rate or burst, and strict limits whose burst is too
// small for a token lifetime.
func TestCheckRejectsUnenforceableLimits(t *testing.T) {
	for _, l := range []Limit{{}, {Rate: -1, Burst: 1}, {Rate: 1}, {Rate: 1, Burst: 0.5}, {Rate: 100, Burst: 5, Strict: true}} {
		if l.Check(3) == nil {
			t.Errorf("%+v passes the check", l)
		}
	}
	if err := (Limit{Rate: 20, Burst: 10, Strict: true}).Check(3); err != nil {
		t.Error(err)
	}
}

// ownsAll makes the process the owner of every key.
type ownsAll struct{}

func (ownsAll) OwnedHere(uint64) (since, until int64, ok bool) { return second, 1 << 60, true }
func (ownsAll) LikelyOwner(uint64) int                         { return -1 }

// TestMillionKeysUsedOnce guards against an owner that keeps a record of every key ever seen. A key in steady use keeps its
// limit among a million keys that are used once.
func TestMillionKeysUsedOnce(t *testing.T) {
	l := New(Limit{Rate: 20, Burst: 20, Strict: true}, 1, 3, ownsAll{})
	now, hot := second, 0
	for key := range uint64(1_000_000) {
		if now += 10; key%100 == 0 {
			l.Tick(now, nil)
			if granted, _ := l.Acquire(1<<40, nil, nil); granted {
				hot++
			}
		}
		l.Acquire(key, nil, nil)
		if l.KeyCount() > 2*maxKeys {
			t.Fatalf("%d table entries, want at most %d", l.KeyCount(), 2*maxKeys)
		}
	}
	if bound := l.limit.MaxAdmitted(3, now); float64(hot) > bound || float64(hot) < 0.7*bound {
		t.Errorf("%d granted of the key in steady use, bound %.0f", hot, bound)
	}
}

// TestDropFullKeepsOwnedBuckets guards against a sweep of the local shares that removes the buckets of owned keys: the
// key's tokens would be granted a second time.
func TestDropFullKeepsOwnedBuckets(t *testing.T) {
	l := New(Limit{Rate: 1, Burst: 4}, 1, 3, ownsAll{})
	l.Tick(100*second, nil)
	take := func() (n int) {
		for range 10 {
			if granted, _ := l.Acquire(7, nil, nil); granted {
				n++
			}
		}
		return n
	}
	first := take()
	l.shares[7] = &bucket{tokens: 4}
	l.dropFull(l.shares, 1, 4)
	if more := take(); first == 0 || more > 0 {
		t.Errorf("%d granted, and %d more right after a sweep", first, more)
	}
}

// BenchmarkTake measures a grant at the owner of the key.
func BenchmarkTake(b *testing.B) {
	l := New(Limit{Rate: 1e5, Burst: 1e5}, 1, 3, ownsAll{})
	for i := range b.N {
		if i%100 == 0 {
			l.Tick(int64(i), nil)
		}
		l.Acquire(uint64(i%5000), nil, nil)
	}
}
