// Package lines holds what a connection's text needs: a ring buffer for each direction and the parsers of single
// lines.
package lines

import (
	"bytes"
	"sync"
	"sync/atomic"
)

const (
	Longest  = 4096 // of a line, without its end
	RingSize = 2 * Longest
)

type block [RingSize]byte

// blocks are those that no ring holds. Guards the memory: of a thousand connections few have bytes on their way.
var blocks = sync.Pool{New: func() any { return new(block) }}

var held atomic.Int64

// Held is how many blocks hold bytes now, in the whole process.
func Held() int { return int(held.Load()) }

// Ring is a byte queue of fixed size. Its memory comes with the first byte and goes with the last.
type Ring struct {
	buf      *block
	start, n int
}

func (r *Ring) Len() int  { return r.n }
func (r *Ring) Free() int { return RingSize - r.n }

// Space is the part that the next bytes may be put into; Grow counts them in. If none come, Drop(0) gives it back.
func (r *Ring) Space() []byte {
	if r.buf == nil {
		r.buf, r.start = blocks.Get().(*block), 0
		held.Add(1)
	}
	from := (r.start + r.n) % RingSize
	return r.buf[from:min(from+r.Free(), RingSize)]
}

func (r *Ring) Grow(n int) { r.n += n }

// Head is the first bytes held, as far as they lie in one piece; Drop takes them off, and none of them may be used
// after it.
func (r *Ring) Head() []byte {
	if r.buf == nil {
		return nil
	}
	return r.buf[r.start:min(r.start+r.n, RingSize)]
}

func (r *Ring) Drop(n int) {
	r.n -= n
	if r.start += n; r.start >= RingSize {
		r.start -= RingSize
	}
	if r.n == 0 && r.buf != nil {
		blocks.Put(r.buf)
		r.buf = nil
		held.Add(-1)
	}
}

// Put takes all of p or nothing.
func (r *Ring) Put(p []byte) bool {
	if len(p) > r.Free() {
		return false
	}
	for len(p) > 0 {
		n := copy(r.Space(), p)
		r.Grow(n)
		p = p[n:]
	}
	return true
}

// Peek is the first n bytes, copied only where they wrap.
func (r *Ring) Peek(n int) []byte {
	head := r.Head()
	if n <= len(head) {
		return head[:n]
	}
	whole := make([]byte, 0, n)
	return append(append(whole, head...), r.buf[:n-len(head)]...)
}

// Line is the first whole line with its end, or nil; it stays in the ring.
func (r *Ring) Line() []byte {
	head := r.Head()
	if i := bytes.IndexByte(head, '\n'); i >= 0 {
		return head[:i+1]
	}
	if len(head) == r.n {
		return nil
	}
	i := bytes.IndexByte(r.buf[:r.n-len(head)], '\n')
	if i < 0 {
		return nil
	}
	return r.Peek(len(head) + i + 1)
}
