package lines

import (
	"bytes"
	"sync"
	"sync/atomic"
)

// Sizes in bytes.
const (
	MaxLineBytes = 4096             // longest line, without its line end
	RingSize     = 2 * MaxLineBytes // size of an ordinary ring
	WideRingSize = 64 << 10         // size of a ring for bulk data

	maxMoveBytes = 512 // up to this many bytes are moved to the start of a block, so that they lie in one piece with those added later
)

const defaultMaxWide = 32 // wide rings at a time

// block is the memory of a ring that holds bytes.
type block struct{ data []byte }

// Pools of blocks that no ring holds. Of a thousand connections only few have bytes in transit, so a ring without bytes
// keeps no memory.
var (
	narrowBlocks = sync.Pool{New: func() any { return &block{make([]byte, RingSize)} }}
	wideBlocks   = sync.Pool{New: func() any { return &block{make([]byte, WideRingSize)} }}
)

// defaultBudget is for rings that belong to no node.
var defaultBudget = NewBudget(defaultMaxWide)

// Budget counts the blocks that the rings of one node hold, and limits how many of them are wide. The limit bounds the
// memory of many connections that send bulk data to peers which do not read it: rings beyond the limit stay narrow.
type Budget struct{ inUse, wideInUse, maxWide atomic.Int64 }

// NewBudget returns a Budget for at most maxWide wide rings at a time. If maxWide is 0 or less, the default of 32 applies.
func NewBudget(maxWide int) *Budget {
	b := &Budget{}
	if maxWide <= 0 {
		maxWide = defaultMaxWide
	}
	b.maxWide.Store(int64(maxWide))
	return b
}

// InUse returns the number of blocks that hold bytes, and how many of them are wide.
func (b *Budget) InUse() (total, wide int) { return int(b.inUse.Load()), int(b.wideInUse.Load()) }

// Ring is a byte queue of fixed size. It takes a block when the first byte is added, and gives it back when the last byte
// is removed. The zero value is an empty ring of ordinary size.
type Ring struct {
	block          *block
	start, length  int     // of the bytes in block; they may wrap around its end
	wantsWide      bool    // take a wide block, if there is one, the next time the ring is empty
	assignedBudget *Budget // nil: defaultBudget
}

// SetBudget assigns the ring to a budget. It has to be called before the ring holds any bytes.
func (r *Ring) SetBudget(b *Budget) { r.assignedBudget = b }

func (r *Ring) budget() *Budget {
	if r.assignedBudget == nil {
		return defaultBudget
	}
	return r.assignedBudget
}

// Len returns the number of bytes in the ring.
func (r *Ring) Len() int { return r.length }

// Free returns the number of bytes that can be added. For an empty ring this is the size of an ordinary ring.
func (r *Ring) Free() int {
	if r.block == nil {
		return RingSize
	}
	return len(r.block.data) - r.length
}

// RequestWide makes the ring wide from the next time it is empty, if the budget allows it then.
func (r *Ring) RequestWide() { r.wantsWide = true }

// acquire takes a block for an empty ring.
func (r *Ring) acquire() {
	b := r.budget()
	b.inUse.Add(1)
	r.start = 0
	if r.wantsWide {
		if b.wideInUse.Add(1) <= b.maxWide.Load() {
			r.block = wideBlocks.Get().(*block)
			return
		}
		b.wideInUse.Add(-1)
	}
	r.block = narrowBlocks.Get().(*block)
}

// release gives the block of an empty ring back.
func (r *Ring) release() {
	b := r.budget()
	b.inUse.Add(-1)
	if len(r.block.data) == WideRingSize {
		b.wideInUse.Add(-1)
		wideBlocks.Put(r.block)
	} else {
		narrowBlocks.Put(r.block)
	}
	r.block = nil
}

// WriteSpace returns free memory for the next bytes, in one piece. The caller then adds the bytes that were written
// there to the ring. If there are none, it has to remove 0 bytes, which releases the memory of an empty ring.
func (r *Ring) WriteSpace() []byte {
	if r.block == nil {
		r.acquire()
	}
	size := len(r.block.data)
	writeAt := r.start + r.length
	if writeAt >= size {
		writeAt -= size
	}
	return r.block.data[writeAt:min(writeAt+r.Free(), size)]
}

// Commit adds n bytes that were written to the ring's free memory.
func (r *Ring) Commit(n int) { r.length += n }

// Contiguous returns the first bytes of the ring, as far as they lie in one piece. They are valid until bytes are
// removed.
func (r *Ring) Contiguous() []byte {
	if r.block == nil {
		return nil
	}
	return r.block.data[r.start:min(r.start+r.length, len(r.block.data))]
}

// Discard removes the first n bytes.
func (r *Ring) Discard(n int) {
	if r.block == nil {
		return
	}
	r.length -= n
	r.start += n
	if r.start >= len(r.block.data) {
		r.start -= len(r.block.data)
	}
	switch {
	case r.length == 0:
		r.release()
	case r.length <= maxMoveBytes && r.start > maxMoveBytes && r.start+r.length <= len(r.block.data):
		copy(r.block.data, r.block.data[r.start:r.start+r.length])
		r.start = 0
	}
}

// Put adds all of p, or nothing if there is not enough room. It reports whether it added p.
func (r *Ring) Put(p []byte) bool {
	if len(p) > r.Free() {
		return false
	}
	for len(p) > 0 {
		n := copy(r.WriteSpace(), p)
		r.Commit(n)
		p = p[n:]
	}
	return true
}

// Peek returns the first n bytes without removing them. It copies them only if they wrap around.
func (r *Ring) Peek(n int) []byte {
	head := r.Contiguous()
	if n <= len(head) {
		return head[:n]
	}
	joined := make([]byte, 0, n)
	return append(append(joined, head...), r.block.data[:n-len(head)]...)
}

// PeekLine returns the first complete line with its line end, or nil. The line stays in the ring.
func (r *Ring) PeekLine() []byte {
	head := r.Contiguous()
	if i := bytes.IndexByte(head, '\n'); i >= 0 {
		return head[:i+1]
	}
	if len(head) == r.length {
		return nil
	}
	i := bytes.IndexByte(r.block.data[:r.length-len(head)], '\n')
	if i < 0 {
		return nil
	}
	return r.Peek(len(head) + i + 1)
}
