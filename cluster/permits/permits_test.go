package permits

import (
	"math/rand"
	"testing"

	"coursewinch/cluster/faultplan"

	"pgregory.net/rapid"
)

// fleetMember is the permits core of one member of a test fleet. The core itself counts the permits of waiters.
type fleetMember struct {
	*Permits
	key uint64
	t   faultplan.Failer
}

func (m fleetMember) Tick(now int64, send func(to int, p []byte)) {
	_, excess := m.Permits.Tick(now, send)
	for _, e := range excess {
		for range e.Count {
			m.Release(e.Key)
		}
	}
}

func (m fleetMember) Receive(from int, process uint64, payload []byte, answer func(payload []byte), _ func(to int, payload []byte)) {
	if m.HandleRequest(process, payload, answer) {
		return
	}
	if _, ok := m.HandleReply(from, payload); !ok {
		m.t.Fatalf("payload is neither a request nor a reply: %x", payload)
	}
}

// TestNeverOver guards the bounds under drawn faults on fleets of three to seven nodes, whose members take and release
// permits. The permits in use of a strict limit never exceed it; those of a member that is paused beyond their term don't
// count, because it ends the flows before it does anything else. An available limit is never exceeded beyond its formula.
func TestNeverOver(t *testing.T) {
	faultplan.FixSeed()
	runs, worstExcess, stepsAtLimit := 0, -1000, 0
	rapid.Check(t, func(t *rapid.T) {
		plan := faultplan.Draw(t, 16*second)
		limit := Limit{Max: rapid.IntRange(1, 12).Draw(t, "most"), Strict: rapid.Bool().Draw(t, "strict")}
		fleet := faultplan.NewFleet(plan, func(m *faultplan.Member) faultplan.Core {
			return fleetMember{New(limit, m.Process, plan.Nodes, m), plan.Key, t}
		})
		rng := rand.New(rand.NewSource(plan.Seed + 1))
		lastWaiter := 0
		for range 2600 {
			fleet.Step(func(m *faultplan.Member, send func(to int, payload []byte)) {
				member := m.Core.(fleetMember)
				switch x := rng.Float64(); {
				case x < 0.05:
					lastWaiter++
					member.Permits.Acquire(plan.Key, lastWaiter, send)
				case x < 0.055:
					member.Release(plan.Key)
				}
			})
			inUse, cutOff := 0, 0
			for _, m := range fleet.Members {
				member := m.Core.(fleetMember)
				if used := member.InUse(); !m.Dead && used > 0 {
					valid := m.Clock() < member.usages[plan.Key].allowedUntil && m.Clock() >= member.now
					if limit.Strict && !valid && !m.Running() {
						continue // when it resumes it ends these flows first
					}
					inUse += used
					if !valid || used > member.usages[plan.Key].allowed {
						cutOff++ // it can't reach the owner, or could not when it admitted what it still has
					}
				}
			}
			if inUse > limit.MaxWith(len(fleet.Members), cutOff) {
				t.Fatalf("%d permits in use at %d ms, while %d members are cut off", inUse, fleet.Now/ms, cutOff)
			}
			if inUse == limit.Max {
				stepsAtLimit++
			}
			worstExcess = max(worstExcess, inUse-limit.MaxWith(len(fleet.Members), cutOff))
		}
		runs++
	})
	if stepsAtLimit < 100*runs {
		t.Errorf("a limit was fully used in only %d of %d steps", stepsAtLimit, 2600*runs)
	}
	t.Logf("%d runs; limits were fully used in %d steps; the largest excess over a bound was %d", runs, stepsAtLimit, worstExcess)
}

// fixedOwner makes the process the owner of every key, or of none; node 0 is the likely owner otherwise.
type fixedOwner struct{ owns bool }

func (o fixedOwner) OwnedHere(uint64) (since, until int64, ok bool) { return second, 1 << 60, o.owns }
func (o fixedOwner) LikelyOwner(uint64) int                         { return 0 }

// handoverPair is an owner and two processes of another node, the second of which takes over from the first.
type handoverPair struct{ owner, first, second *Permits }

// tick advances all three processes and returns the excess of the two users.
func (p handoverPair) tick(now int64) (excess []Excess) {
	p.owner.Tick(now, nil)
	for _, user := range []*Permits{p.first, p.second} {
		_, revoked := user.Tick(now, func(_ int, payload []byte) { p.deliver(user, payload) })
		excess = append(excess, revoked...)
	}
	return excess
}

// deliver hands a request to the owner and its reply to the user.
func (p handoverPair) deliver(user *Permits, payload []byte) {
	p.owner.HandleRequest(user.process, payload, func(reply []byte) { user.HandleReply(0, reply) })
}

// newHandoverPair returns a pair whose owner has owned its slots long enough to grant new permits.
func newHandoverPair(limit Limit) (p handoverPair, now int64) {
	p = handoverPair{New(limit, 1, 3, fixedOwner{true}), New(limit, 2, 3, fixedOwner{}), New(limit, 3, 3, fixedOwner{})}
	for now = second; now < 9*second; now += sweepInterval {
		p.tick(now)
	}
	return p, now
}

// TestTakeOverCountsOnce guards against permits that count twice, are revoked or are lost when one process of a node hands
// its flows over to the next.
func TestTakeOverCountsOnce(t *testing.T) {
	p, now := newHandoverPair(Limit{Max: 5, Strict: true})
	for i := range 7 {
		p.first.Acquire(9, i, func(_ int, payload []byte) { p.deliver(p.first, payload) })
	}
	if p.first.InUse() != 5 {
		t.Fatalf("%d permits in use, want 5", p.first.InUse())
	}
	p.first.StopGranting()
	for range 4 {
		p.second.TakeOver(9, 2, p.first.Remaining(9))
		p.first.Release(9)
	}
	for end := now + 20*second; now < end; now += sweepInterval {
		if excess := p.tick(now); excess != nil {
			t.Fatalf("permits were revoked: %v", excess)
		}
		if granted, _ := p.second.Acquire(9, "more", func(_ int, payload []byte) {
			p.deliver(p.second, payload)
		}); granted || p.second.InUse() > 4 {
			t.Fatalf("%d permits in use beside one of the predecessor, want at most 4", p.second.InUse())
		}
	}
	p.first.Release(9)
	for end := now + second; now < end; now += sweepInterval {
		p.tick(now)
	}
	p.second.Acquire(9, "last", func(_ int, payload []byte) { p.deliver(p.second, payload) })
	if p.second.InUse() != 5 {
		t.Errorf("%d permits in use after the predecessor released its last, want 5", p.second.InUse())
	}
}

// TestLateReplyAfterTakeOver guards against a flow that is ended after its handover, because a reply arrives to a request
// that was sent before the handover and did not report the flow.
func TestLateReplyAfterTakeOver(t *testing.T) {
	p, now := newHandoverPair(Limit{Max: 5, Strict: true})
	var late [][]byte
	p.first.Acquire(9, "one", func(_ int, payload []byte) { p.deliver(p.first, payload) })
	p.second.Acquire(9, "two", func(_ int, payload []byte) { p.deliver(p.second, payload) })
	for ; len(late) == 0; now += sweepInterval { // until the second process renews its permit
		p.first.Tick(now, func(_ int, payload []byte) { p.deliver(p.first, payload) })
		p.owner.Tick(now, nil)
		p.second.Tick(now, func(_ int, payload []byte) {
			p.owner.HandleRequest(3, payload, func(reply []byte) { late = append(late, reply) })
		})
	}
	p.second.TakeOver(9, 2, p.first.Remaining(9))
	p.first.Release(9)
	p.second.HandleReply(0, late[0])
	for end := now + 10*second; now < end; now += sweepInterval {
		if excess := p.tick(now); excess != nil {
			t.Fatalf("permits were revoked: %v; %d in use", excess, p.second.InUse())
		}
	}
	if p.second.InUse() != 2 {
		t.Errorf("%d permits in use, want 2", p.second.InUse())
	}
}

// TestRepliesLost guards against permits that are granted again while a user that receives no replies still uses them. The
// user gives up its permits when they expire, and no other process has any of them before that.
func TestRepliesLost(t *testing.T) {
	p, now := newHandoverPair(Limit{Max: 5, Strict: true})
	for i := range 5 {
		p.first.Acquire(9, i, func(_ int, payload []byte) { p.deliver(p.first, payload) })
	}
	startedAt, revokedAt, freeAt := now, int64(0), int64(0)
	for ; now < startedAt+9*second; now += sweepInterval {
		p.owner.Tick(now, nil)
		_, excess := p.first.Tick(now, func(_ int, payload []byte) { p.owner.HandleRequest(2, payload, func([]byte) {}) })
		for _, e := range excess {
			for range e.Count {
				p.first.Release(9)
			}
			revokedAt = now
		}
		p.second.Tick(now, func(_ int, payload []byte) { p.deliver(p.second, payload) })
		p.second.Acquire(9, "other", func(_ int, payload []byte) { p.deliver(p.second, payload) })
		if p.second.InUse() > 0 && freeAt == 0 {
			freeAt = now
		}
		if n := p.first.InUse() + p.second.InUse(); n > 5 {
			t.Fatalf("%d permits in use, want at most 5", n)
		}
	}
	if revokedAt == 0 || freeAt < revokedAt || revokedAt > startedAt+UserTerm+2*sweepInterval {
		t.Errorf("permits were revoked after %d ms, and granted to another process after %d ms", (revokedAt-startedAt)/ms, (freeAt-startedAt)/ms)
	}
}

// TestLoweredLimit guards the lowering of a limit in service: flows beyond a strict limit are ended; under an available
// limit they go on, and nothing new is admitted.
func TestLoweredLimit(t *testing.T) {
	for _, strict := range []bool{true, false} {
		p, now := newHandoverPair(Limit{Max: 8, Strict: strict})
		send := func(_ int, payload []byte) { p.deliver(p.first, payload) }
		for i := range 8 {
			p.first.Acquire(9, i, send)
		}
		for _, l := range []*Permits{p.owner, p.first, p.second} {
			l.SetLimit(Limit{Max: 3, Strict: strict})
		}
		revoked := 0
		for end := now + 3*second; now < end; now += sweepInterval {
			for _, e := range p.tick(now) {
				for range e.Count {
					revoked++
					p.first.Release(9)
				}
			}
		}
		if strict && (revoked != 5 || p.first.InUse() != 3) || !strict && (revoked != 0 || p.first.InUse() != 8) {
			t.Errorf("strict %t: %d permits revoked, %d in use", strict, revoked, p.first.InUse())
		}
		if p.first.Acquire(9, "more", send); p.first.InUse() > 8 {
			t.Errorf("strict %t: %d permits in use after one more was requested, want at most 8", strict, p.first.InUse())
		}
	}
}

// TestInvalidMessages guards against messages that are cut short, come from the wrong node or process, allow more than the
// limit, or arrive twice: they are counted, dropped and change nothing.
func TestInvalidMessages(t *testing.T) {
	p, _ := newHandoverPair(Limit{Max: 5, Strict: true})
	var request, reply []byte
	p.first.Acquire(9, "one", func(_ int, payload []byte) { request = payload })
	p.owner.HandleRequest(2, request, func(payload []byte) { reply = payload })
	for length := range len(reply) {
		if _, ok := p.first.HandleReply(0, reply[:length]); ok {
			t.Errorf("a reply cut to %d of %d bytes is accepted", length, len(reply))
		}
	}
	excessive := append([]byte(nil), reply...)
	excessive[len(excessive)-1] = 200
	for _, test := range []struct {
		from    int
		payload []byte
	}{{1, reply}, {0, excessive}} {
		if p.first.HandleReply(test.from, test.payload); p.first.InUse() != 0 {
			t.Errorf("%d permits in use after an invalid reply", p.first.InUse())
		}
	}
	if p.first.Discarded != 2 {
		t.Errorf("%d replies counted as dropped, want 2", p.first.Discarded)
	}
	if p.owner.HandleRequest(7, request, func([]byte) {
		t.Error("a request in the name of another process is answered")
	}); p.owner.Discarded != 1 {
		t.Errorf("%d requests counted as dropped, want 1", p.owner.Discarded)
	}
	p.first.HandleReply(0, reply)
	if p.first.HandleReply(0, reply); p.first.InUse() != 1 || p.first.Discarded != 3 {
		t.Errorf("%d permits in use, %d replies dropped, after one reply arrived twice; want 1 and 3", p.first.InUse(), p.first.Discarded)
	}
}
