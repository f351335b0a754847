package permits

import (
	"math/rand"
	"testing"
	"time"

	"coursewinch/cluster/faultplan"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// recordingMember is the permits core of one member of a test fleet. It records its operations in the history.
type recordingMember struct {
	*Permits
	history      *history
	member       *faultplan.Member
	held         int           // permits held
	acquireCalls map[int]int64 // by waiter: when it asked for a permit
	pausedSince  int64         // since when it is paused; 0: it runs
}

// history records what all members do as operations on one semaphore: acquire and release. Its times are nanoseconds of
// true time.
type history struct {
	t          faultplan.Failer
	fleet      *faultplan.Fleet
	operations []porcupine.Operation
	sequence   int64
}

// now returns a time that differs from call to call within a step.
func (h *history) now() int64 {
	h.sequence++
	return h.fleet.Now*1000 + h.sequence%1000
}

// record adds an operation that returns now.
func (h *history) record(client int, acquire bool, call int64) {
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: acquire, Call: call, Return: h.now()})
}

// settle records the decisions for waiters.
func (m *recordingMember) settle(decided []Decision) {
	for _, a := range decided {
		m.acquired(a.Waiter.(int), a.Granted)
	}
}

// acquired records the decision for a waiter; only a grant is an operation.
func (m *recordingMember) acquired(waiter int, granted bool) {
	if granted {
		m.held++
		m.history.record(waiter, true, m.acquireCalls[waiter])
	}
	delete(m.acquireCalls, waiter)
}

// released records the release of a permit.
func (m *recordingMember) released(call int64) {
	m.held--
	m.history.record(0, false, call)
}

// killed records the release of all permits of a killed process. If it was paused, each was released at some time since
// the pause began.
func (m *recordingMember) killed() {
	for m.held > 0 {
		call := m.pausedSince
		if call == 0 {
			call = m.history.now()
		}
		m.released(call)
	}
}

func (m *recordingMember) Tick(now int64, send func(to int, p []byte)) {
	decided, excess := m.Permits.Tick(now, send)
	for _, e := range excess {
		for range e.Count {
			m.Release(e.Key)
			m.released(max(m.pausedSince, m.history.fleet.Now*1000)) // a paused process has not used it since
		}
	}
	m.pausedSince = 0
	m.settle(decided)
}

func (m *recordingMember) Receive(from int, process uint64, payload []byte, answer func(payload []byte), _ func(to int, payload []byte)) {
	if m.HandleRequest(process, payload, answer) {
		return
	}
	decided, _ := m.HandleReply(from, payload)
	m.settle(decided)
}

// semaphore is the model of a semaphore with the given limit.
func semaphore(limit int) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, _ any) (bool, any) {
			held := state.(int)
			if input.(bool) {
				return held < limit, held + 1
			}
			return held > 0, held - 1
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// TestHistoryIsLinearizable guards a strict limit under drawn faults: what all members acquire and release is a
// linearizable history of one semaphore, in which each operation takes effect between its call and its return. The
// permits of a killed process are released when it ends, those of a paused process at some time before it resumes.
func TestHistoryIsLinearizable(t *testing.T) {
	faultplan.FixSeed()
	runs, operations := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		plan := faultplan.Draw(t, 14*second)
		limit := Limit{Max: rapid.IntRange(1, 5).Draw(t, "most"), Strict: true}
		h := &history{t: t}
		h.fleet = faultplan.NewFleet(plan, func(m *faultplan.Member) faultplan.Core {
			if previous, ok := m.Core.(*recordingMember); ok {
				previous.killed()
			}
			return &recordingMember{
				Permits:      New(limit, m.Process, plan.Nodes, m),
				history:      h,
				member:       m,
				acquireCalls: map[int]int64{},
			}
		})
		rng := rand.New(rand.NewSource(plan.Seed + 1))
		lastWaiter := 0
		for range 2000 {
			h.fleet.Step(func(m *faultplan.Member, send func(to int, payload []byte)) {
				member := m.Core.(*recordingMember)
				switch x := rng.Float64(); {
				case x < 0.03:
					lastWaiter++
					member.acquireCalls[lastWaiter] = h.now()
					if granted, waiting := member.Permits.Acquire(plan.Key, lastWaiter, send); !waiting {
						member.acquired(lastWaiter, granted)
					}
				case x < 0.04 && member.held > 0:
					call := h.now()
					member.Release(plan.Key)
					member.released(call)
				}
			})
			for _, m := range h.fleet.Members {
				member := m.Core.(*recordingMember)
				if m.Dead {
					member.killed()
				}
				if !m.Dead && !m.Running() && member.pausedSince == 0 {
					member.pausedSince = h.fleet.Now * 1000
				}
			}
		}
		for _, m := range h.fleet.Members { // permits still held at the end may be released at any time from now on
			for member := m.Core.(*recordingMember); member.held > 0; {
				member.released(max(member.pausedSince, h.fleet.Now*1000))
			}
		}
		if got := porcupine.CheckOperationsTimeout(semaphore(limit.Max), h.operations, 10*time.Second); got != porcupine.Ok {
			t.Fatalf("%d operations on a semaphore of %d are not linearizable: %v", len(h.operations), limit.Max, got)
		}
		runs++
		operations += len(h.operations)
	})
	if operations < 10*runs {
		t.Errorf("%d operations in %d runs are too few to test anything", operations, runs)
	}
	t.Logf("%d runs, %d operations", runs, operations)
}
