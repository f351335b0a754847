package node

import "slices"

// slots is a table of values by id. An id holds the slot's index in its low half and the slot's generation above it, so
// that an id of a removed value finds nothing.
type slots[T any] struct {
	entries []slot[T]
	free    []uint32
	count   int // values in the table
}

type slot[T any] struct {
	generation uint32 // how often the slot has been used
	value      *T     // nil while the slot is free
}

// add adds a value and returns its id.
func (t *slots[T]) add(value *T) uint64 {
	var index uint32
	if n := len(t.free); n > 0 {
		index = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		index = uint32(len(t.entries))
		t.entries = append(t.entries, slot[T]{})
	}
	entry := &t.entries[index]
	entry.generation = (entry.generation + 1) & 0x7fffffff
	entry.value = value
	t.count++
	return uint64(entry.generation)<<32 | uint64(index)
}

// get returns the value with an id; nil if there is none.
func (t *slots[T]) get(id uint64) *T {
	index := uint32(id)
	if int(index) >= len(t.entries) || t.entries[index].generation != uint32(id>>32) {
		return nil
	}
	return t.entries[index].value
}

// remove removes the value with an id, if there is one.
func (t *slots[T]) remove(id uint64) {
	if t.get(id) != nil {
		t.entries[uint32(id)].value = nil
		t.free = append(t.free, uint32(id))
		t.count--
	}
}

// recentIDs holds the hashes of the most recent request ids. Clients have to use a new id for every connection. A
// repeated id is an error even after the end of its flow: the client may have been moved while the host does not know
// of that yet.
type recentIDs struct {
	known map[uint64]bool
	ring  []uint64
	next  int // index in ring of the oldest id once it is full
	limit int
	added int // in total
}

// add adds an id and reports whether it is new.
func (r *recentIDs) add(id uint64) bool {
	if r.known[id] {
		return false
	}
	if r.known == nil {
		r.known = map[uint64]bool{}
	}
	r.added++
	r.known[id] = true
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, id)
		return true
	}
	delete(r.known, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % r.limit
	return true
}

// newest returns up to count of the newest ids, the newest last.
func (r *recentIDs) newest(count int) []uint64 {
	var newest []uint64
	for i := range min(count, len(r.ring)) {
		newest = append(newest, r.ring[(r.next-1-i+2*len(r.ring))%len(r.ring)])
	}
	slices.Reverse(newest)
	return newest
}

// deadline is a time at which a function runs unless the deadline is cancelled. It is set and cancelled through deadlines.
type deadline struct {
	at       int64
	position int // index in the heap plus 1; 0 when not set, positionTaken when due in this loop iteration
	run      func()
}

// positionTaken marks a deadline that was taken out of the heap to run in this loop iteration.
const positionTaken = -1

// deadlines is a heap of deadlines with the earliest first.
type deadlines struct{ heap []*deadline }

// set sets a deadline to a time, or moves it there.
func (h *deadlines) set(d *deadline, at int64) {
	h.cancel(d)
	d.at = at
	h.heap = append(h.heap, d)
	h.siftUp(len(h.heap) - 1)
}

// cancel cancels a deadline; one that is not set stays so.
func (h *deadlines) cancel(d *deadline) {
	i := d.position - 1
	d.position = 0
	if i < 0 {
		return
	}
	last := len(h.heap) - 1
	moved := h.heap[last]
	h.heap[last] = nil
	h.heap = h.heap[:last]
	if i < last {
		h.heap[i] = moved
		h.siftDown(i)
		h.siftUp(moved.position - 1)
	}
}

func (h *deadlines) siftUp(i int) {
	d := h.heap[i]
	for i > 0 && h.heap[(i-1)/2].at > d.at {
		h.heap[i] = h.heap[(i-1)/2]
		h.heap[i].position = i + 1
		i = (i - 1) / 2
	}
	h.heap[i] = d
	d.position = i + 1
}

func (h *deadlines) siftDown(i int) {
	d := h.heap[i]
	for {
		c := 2*i + 1
		if c >= len(h.heap) {
			break
		}
		if c+1 < len(h.heap) && h.heap[c+1].at < h.heap[c].at {
			c++
		}
		if h.heap[c].at >= d.at {
			break
		}
		h.heap[i] = h.heap[c]
		h.heap[i].position = i + 1
		i = c
	}
	h.heap[i] = d
	d.position = i + 1
}

// next returns the time of the earliest deadline; ok is false when there is none.
func (h *deadlines) next() (at int64, ok bool) {
	if len(h.heap) == 0 {
		return 0, false
	}
	return h.heap[0].at, true
}

// takeDue removes all deadlines that are due and appends them to into. Deadlines set while these run wait for the next loop
// iteration. Until it has run, each one taken can still be cancelled or set again.
func (h *deadlines) takeDue(now int64, into []*deadline) []*deadline {
	for len(h.heap) > 0 && h.heap[0].at <= now {
		d := h.heap[0]
		h.cancel(d)
		d.position = positionTaken
		into = append(into, d)
	}
	return into
}
