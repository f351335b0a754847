// Package fleet is all that stands round the nodes in a rehearsal: hosts, the network, discovery, the front and the
// clients. It has no I/O and no wall clock, and all its chance comes from one seed; what plays the nodes, in virtual
// time or on sockets, is handed in as Nodes.
package fleet

import (
	"math/rand/v2"
)

// event is something that happens at a moment. Those of one moment happen in the order in which they were asked for.
type event struct {
	at       int64
	sequence uint64
	action   func()
}

// eventQueue is a heap, the next one first.
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

// At asks for something to happen at a moment, now at the earliest.
func (w *World) At(at int64, action func()) { w.queue.push(max(at, w.now), action) }

func (w *World) after(wait int64, action func()) { w.At(w.now+wait, action) }

// Now is the time, microseconds from the start of the run.
func (w *World) Now() int64 { return w.now }

// Next is when something happens next; ok is false when nothing will.
func (w *World) Next() (at int64, ok bool) {
	if len(w.queue.heap) == 0 {
		return 0, false
	}
	return w.queue.heap[0].at, true
}

// Advance plays all that happens up to a moment and sets the time to it.
func (w *World) Advance(to int64) {
	for len(w.queue.heap) > 0 && w.queue.heap[0].at <= to {
		e := w.queue.pop()
		w.now = max(w.now, e.at)
		w.run.Counts.Events++
		e.action()
	}
	w.now = max(w.now, to)
}

// newRand is a source of its own for each purpose, so that one more draw for the one changes nothing for the others.
func (w *World) newRand(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, purpose*0x9e3779b97f4a7c15+1))
}

const (
	randNetwork uint64 = iota + 1
	randHosts
	randDiscovery
	randDemand
	randFaults
	randBadClients
	randLinks
	randClients uint64 = 1 << 32 // and up, one a client
)
