package permits

import (
	"math/rand"
	"testing"

	"coursewinch/cluster/drawn"

	"pgregory.net/rapid"
)

// fleetMember is a member's permits core; what waits is counted by the core.
type fleetMember struct {
	*Permits
	key uint64
	t   drawn.Failer
}

func (m fleetMember) Tick(now int64, send func(to int, p []byte)) {
	_, excess := m.Permits.Turn(now, send)
	for _, e := range excess {
		for range e.N {
			m.Done(e.Key)
		}
	}
}

func (m fleetMember) Receive(from int, process uint64, payload []byte, answer func(payload []byte), _ func(to int, payload []byte)) {
	if m.TakeAsk(process, payload, answer) {
		return
	}
	if _, ok := m.Told(from, payload); !ok {
		m.t.Fatalf("not read: %x", payload)
	}
}

// TestNeverOver draws faults on fleets of three to seven, whose members take and give back. What all have in use of a
// strict limit is never over it, by what each may do now: one that stands still past its permits does nothing before it
// has ended what it had. Of an available one it is never over the formula.
func TestNeverOver(t *testing.T) {
	drawn.Same()
	runs, worstExcess, stepsAtLimit := 0, -1000, 0
	rapid.Check(t, func(t *rapid.T) {
		plan := drawn.Draw(t, 16*second)
		limit := Limit{Most: rapid.IntRange(1, 12).Draw(t, "most"), Strict: rapid.Bool().Draw(t, "strict")}
		fleet := drawn.NewFleet(plan, func(m *drawn.Member) drawn.Core {
			return fleetMember{New(limit, m.Process, plan.Nodes, m), plan.Key, t}
		})
		rng := rand.New(rand.NewSource(plan.Seed + 1))
		lastWaiter := 0
		for range 2600 {
			fleet.Step(func(m *drawn.Member, send func(to int, plan []byte)) {
				member := m.Core.(fleetMember)
				switch x := rng.Float64(); {
				case x < 0.05:
					lastWaiter++
					member.Permits.Take(plan.Key, lastWaiter, send)
				case x < 0.055:
					member.Done(plan.Key)
				}
			})
			inUse, cutOff := 0, 0
			for _, m := range fleet.Members {
				member := m.Core.(fleetMember)
				if used := member.Used(); !m.Dead && used > 0 {
					valid := m.Clock() < member.usages[plan.Key].allowedUntil && m.Clock() >= member.now
					if limit.Strict && !valid && !m.Running() {
						continue // it ends that when it wakes, before it does more
					}
					if inUse += used; !valid || used > member.usages[plan.Key].allowed {
						cutOff++ // it can't ask, or could not when it let pass what still stands
					}
				}
			}
			if inUse > limit.MaxWith(len(fleet.Members), cutOff) {
				t.Fatalf("%d in use at %d ms, %d can't ask", inUse, fleet.Now/ms, cutOff)
			}
			if inUse == limit.Most {
				stepsAtLimit++
			}
			worstExcess = max(worstExcess, inUse-limit.MaxWith(len(fleet.Members), cutOff))
		}
		runs++
	})
	if stepsAtLimit < 100*runs {
		t.Errorf("a limit was in full use in %d of %d steps only", stepsAtLimit, 2600*runs)
	}
	t.Logf("%d runs; in full use in %d steps, the most was %d over", runs, stepsAtLimit, worstExcess)
}

// fixedOwner is an owner of every key, or of none.
type fixedOwner struct{ owns bool }

func (o fixedOwner) Mine(uint64) (since, until int64, ok bool) { return second, 1 << 60, o.owns }
func (o fixedOwner) Who(uint64) int                            { return 0 }

// handoverPair is an owner and two processes of another node, of which the second takes over from the first.
type handoverPair struct{ owner, first, second *Permits }

func (p handoverPair) tick(now int64) (excess []Excess) {
	p.owner.Turn(now, nil)
	for _, user := range []*Permits{p.first, p.second} {
		_, revoked := user.Turn(now, func(_ int, payload []byte) { p.deliver(user, payload) })
		excess = append(excess, revoked...)
	}
	return excess
}

func (p handoverPair) deliver(user *Permits, payload []byte) {
	p.owner.TakeAsk(user.process, payload, func(reply []byte) { user.Told(0, reply) })
}

func newHandoverPair(limit Limit) (p handoverPair, now int64) {
	p = handoverPair{New(limit, 1, 3, fixedOwner{true}), New(limit, 2, 3, fixedOwner{}), New(limit, 3, 3, fixedOwner{})}
	for now = second; now < 9*second; now += sweepInterval {
		p.tick(now)
	}
	return p, now
}

// TestTakeOver: what one process of a node hands over to the next counts once, ends at neither, and is free again when the
// next one has given it back.
func TestTakeOverCountsOnce(t *testing.T) {
	p, now := newHandoverPair(Limit{Most: 5, Strict: true})
	for i := range 7 {
		p.first.Take(9, i, func(_ int, payload []byte) { p.deliver(p.first, payload) })
	}
	if p.first.Used() != 5 {
		t.Fatalf("%d of 5 in use", p.first.Used())
	}
	p.first.Yield()
	for range 4 {
		p.second.TakeOver(9, 2, p.first.Left(9))
		p.first.Done(9)
	}
	for end := now + 20*second; now < end; now += sweepInterval {
		if excess := p.tick(now); excess != nil {
			t.Fatalf("%v is to end", excess)
		}
		if granted, _ := p.second.Take(9, "more", func(_ int, payload []byte) { p.deliver(p.second, payload) }); granted || p.second.Used() > 4 {
			t.Fatalf("%d in use beside 1 of the first", p.second.Used())
		}
	}
	p.first.Done(9)
	for end := now + second; now < end; now += sweepInterval {
		p.tick(now)
	}
	p.second.Take(9, "last", func(_ int, payload []byte) { p.deliver(p.second, payload) })
	if p.second.Used() != 5 {
		t.Errorf("%d in use after all was given back", p.second.Used())
	}
}

// TestTakeOverBeforeAnswer: an answer to what was asked before a flow was handed over ends nothing of it.
func TestLateReplyAfterTakeOver(t *testing.T) {
	p, now := newHandoverPair(Limit{Most: 5, Strict: true})
	var late [][]byte
	p.first.Take(9, "one", func(_ int, payload []byte) { p.deliver(p.first, payload) })
	p.second.Take(9, "two", func(_ int, payload []byte) { p.deliver(p.second, payload) })
	for ; len(late) == 0; now += sweepInterval { // until it renews what it has
		p.first.Turn(now, func(_ int, payload []byte) { p.deliver(p.first, payload) })
		p.owner.Turn(now, nil)
		p.second.Turn(now, func(_ int, payload []byte) {
			p.owner.TakeAsk(3, payload, func(reply []byte) { late = append(late, reply) })
		})
	}
	p.second.TakeOver(9, 2, p.first.Left(9))
	p.first.Done(9)
	p.second.Told(0, late[0])
	for end := now + 10*second; now < end; now += sweepInterval {
		if excess := p.tick(now); excess != nil {
			t.Fatalf("%v is to end, %d in use of 5", excess, p.second.Used())
		}
	}
	if p.second.Used() != 2 {
		t.Errorf("%d in use", p.second.Used())
	}
}

// TestAnswersLost: of all answers only the first comes. Its user ends what it has when that has run out, and before that
// nobody else has any of it.
func TestRepliesLost(t *testing.T) {
	p, now := newHandoverPair(Limit{Most: 5, Strict: true})
	for i := range 5 {
		p.first.Take(9, i, func(_ int, payload []byte) { p.deliver(p.first, payload) })
	}
	startedAt, revokedAt, freeAt := now, int64(0), int64(0)
	for ; now < startedAt+9*second; now += sweepInterval {
		p.owner.Turn(now, nil)
		_, excess := p.first.Turn(now, func(_ int, payload []byte) { p.owner.TakeAsk(2, payload, func([]byte) {}) })
		for _, e := range excess {
			for range e.N {
				p.first.Done(9)
			}
			revokedAt = now
		}
		p.second.Turn(now, func(_ int, payload []byte) { p.deliver(p.second, payload) })
		p.second.Take(9, "other", func(_ int, payload []byte) { p.deliver(p.second, payload) })
		if p.second.Used() > 0 && freeAt == 0 {
			freeAt = now
		}
		if n := p.first.Used() + p.second.Used(); n > 5 {
			t.Fatalf("%d in use of 5", n)
		}
	}
	if revokedAt == 0 || freeAt < revokedAt || revokedAt > startedAt+Use+2*sweepInterval {
		t.Errorf("ended after %d ms, with another after %d ms", (revokedAt-startedAt)/ms, (freeAt-startedAt)/ms)
	}
}

// TestLowered: what is held over a lower limit ends where that is strict, and where it is not nothing new is let pass
// until as much has ended by itself.
func TestLoweredLimit(t *testing.T) {
	for _, strict := range []bool{true, false} {
		p, now := newHandoverPair(Limit{Most: 8, Strict: strict})
		send := func(_ int, payload []byte) { p.deliver(p.first, payload) }
		for i := range 8 {
			p.first.Take(9, i, send)
		}
		for _, l := range []*Permits{p.owner, p.first, p.second} {
			l.Set(Limit{Most: 3, Strict: strict})
		}
		revoked := 0
		for end := now + 3*second; now < end; now += sweepInterval {
			for _, e := range p.tick(now) {
				for range e.N {
					revoked++
					p.first.Done(9)
				}
			}
		}
		if strict && (revoked != 5 || p.first.Used() != 3) || !strict && (revoked != 0 || p.first.Used() != 8) {
			t.Errorf("strict %t: %d ended, %d in use", strict, revoked, p.first.Used())
		}
		if p.first.Take(9, "more", send); p.first.Used() > 8 {
			t.Errorf("strict %t: %d in use of 3", strict, p.first.Used())
		}
	}
}

// TestWrongWords: what can't be is counted, dropped, and changes nothing.
func TestInvalidMessages(t *testing.T) {
	p, _ := newHandoverPair(Limit{Most: 5, Strict: true})
	var request, reply []byte
	p.first.Take(9, "one", func(_ int, payload []byte) { request = payload })
	p.owner.TakeAsk(2, request, func(payload []byte) { reply = payload })
	for length := range len(reply) {
		if _, ok := p.first.Told(0, reply[:length]); ok {
			t.Errorf("%d bytes of %d are taken", length, len(reply))
		}
	}
	excessive := append([]byte(nil), reply...)
	excessive[len(excessive)-1] = 200
	for _, test := range []struct {
		from int
		p    []byte
	}{{1, reply}, {0, excessive}} {
		if p.first.Told(test.from, test.p); p.first.Used() != 0 {
			t.Errorf("%d in use by a word that can't be", p.first.Used())
		}
	}
	if p.first.Stray != 2 {
		t.Errorf("%d counted", p.first.Stray)
	}
	if p.owner.TakeAsk(7, request, func([]byte) { t.Error("asked for another, and answered") }); p.owner.Stray != 1 {
		t.Errorf("%d counted", p.owner.Stray)
	}
	p.first.Told(0, reply)
	if p.first.Told(0, reply); p.first.Used() != 1 || p.first.Stray != 3 {
		t.Errorf("%d in use, %d counted, by one answer told twice", p.first.Used(), p.first.Stray)
	}
}
