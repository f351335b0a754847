package fleet

import (
	"math/rand/v2"
)

// event is an action scheduled for a time. Events of the same time run in the order in which they were scheduled.
type event struct {
	at       int64
	sequence uint64
	action   func()
}

// eventQueue is a binary heap with the next event first.
type eventQueue struct {
	heap     []event
	sequence uint64
}

func (q *eventQueue) less(i, j int) bool {
	x, y := &q.heap[i], &q.heap[j]
	return x.at < y.at || x.at == y.at && x.sequence < y.sequence
}

func (q *eventQueue) push(at int64, action func()) {
	q.sequence++
	q.heap = append(q.heap, event{at, q.sequence, action})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

func (q *eventQueue) pop() event {
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			break
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
	return top
}

// Schedule schedules action for the time at, in microseconds from the start of the run; a time in the past counts as now.
func (w *World) Schedule(at int64, action func()) { w.queue.push(max(at, w.now), action) }

// after schedules action to run once wait microseconds have passed.
func (w *World) after(wait int64, action func()) { w.Schedule(w.now+wait, action) }

// Now returns the current time, in microseconds from the start of the run.
func (w *World) Now() int64 { return w.now }

// NextEventAt returns the time of the next event; ok is false if none is scheduled.
func (w *World) NextEventAt() (at int64, ok bool) {
	if len(w.queue.heap) == 0 {
		return 0, false
	}
	return w.queue.heap[0].at, true
}

// Advance runs all events up to and including the time to, and then sets the clock to it.
func (w *World) Advance(to int64) {
	for len(w.queue.heap) > 0 && w.queue.heap[0].at <= to {
		e := w.queue.pop()
		w.now = max(w.now, e.at)
		w.run.Counts.Events++
		e.action()
	}
	w.now = max(w.now, to)
}

// newRand returns a random source for one purpose. Each purpose has its own source, so that an additional draw for one
// purpose does not change the draws for the others.
func (w *World) newRand(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, purpose*0x9e3779b97f4a7c15+1))
}

// Purposes of random sources. The sources of faults use values from randFaults on with the number of the fault in the
// higher bits; see injectFault.
const (
	randNetwork uint64 = iota + 1
	randHosts
	randDiscovery
	randDemand
	randFaults
	randBadClients
	randLinks
	randClients uint64 = 1 << 32 // two values for each client, from here on
)
