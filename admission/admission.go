// Package admission decides, at a node's own limits, whose connection is taken: caps and rates per client address, a
// reserve for known clients, fairness among service types. It does no I/O and knows no clock; times are microseconds.
//
// It says nothing of servers: which server a flow goes to, and whether one is left for it, is the decision module's.
package admission

import (
	"math"
	"net/netip"
	"slices"
)

// Limits are what an operator allows. Zero values allow everything.
type Limits struct {
	PerAddress int     // connections at once from one address (IPv6: one /64)
	Rate       float64 // new connections a second from one address
	Burst      float64 // that it may have in hand; at least one where there is a rate
	Reserve    int     // descriptors that only known clients may take
	Known      int     // known addresses remembered; 0: 4096
	Strangers  int     // others remembered; 0: 4096
}

// On tells whether there is anything to decide.
func (l Limits) On() bool { return l.PerAddress > 0 || l.Rate > 0 || l.Reserve > 0 }

// Reason is why a connection is not taken.
type Reason uint8

const (
	Taken     Reason = iota
	TooMany          // its address holds its cap
	TooFast          // its address is over its rate
	KeptFree         // what is left is kept for known clients
	LessWorth        // the node is short, and flows of more benefit come
)

var reasons = [...]string{"taken", "too many from its address", "too fast from its address", "the rest is for known clients",
	"short, and others are worth more"}

func (r Reason) String() string { return reasons[r] }

const (
	usual    = 4096
	halfLife = 600 * second // of what makes an address known
	forget   = 0.25         // under which it is a stranger again
	second   = int64(1_000_000)
)

// record is one address.
type record struct {
	open   int     // connections held
	tokens float64 // of its rate
	at     int64   // when these were counted
	score  float64 // established flows, halved with time
	scored int64
	used   int64 // when it last came
	key    netip.Prefix
	next   *record // a ring by use, the longest unused first after the head
	prev   *record
	known  bool
}

// table holds addresses in the order of use.
type table struct {
	head record // of the ring
	of   map[netip.Prefix]*record
	most int
}

func newTable(most int) *table {
	t := &table{of: map[netip.Prefix]*record{}, most: most}
	t.head.next, t.head.prev = &t.head, &t.head
	return t
}

func (t *table) touch(r *record) {
	t.unlink(r)
	r.prev, r.next = t.head.prev, &t.head
	r.prev.next, r.next.prev = r, r
	t.of[r.key] = r
}

func (t *table) unlink(r *record) {
	if r.next != nil {
		r.prev.next, r.next.prev = r.next, r.prev
		r.next, r.prev = nil, nil
		delete(t.of, r.key)
	}
}

// room drops the longest unused that hold no connection until one more fits. It gives up after a few that do: a table
// is never walked through for one newcomer.
func (t *table) room() bool {
	for tries := 0; len(t.of) >= t.most; tries++ {
		r := t.head.next
		if r == &t.head || tries == 16 {
			return false
		}
		if r.open > 0 {
			t.touch(r)
			continue
		}
		t.unlink(r)
	}
	return true
}

// Gate decides for one node.
type Gate struct {
	lim       Limits
	known     *table // learned from established flows: a flood of new addresses can't push them out
	strangers *table
	Refused   [len(reasons)]int // by reason
}

// New makes a gate.
func New(lim Limits) *Gate {
	if lim.Known == 0 {
		lim.Known = usual
	}
	if lim.Strangers == 0 {
		lim.Strangers = usual
	}
	if lim.Rate > 0 {
		lim.Burst = max(lim.Burst, 1)
	}
	return &Gate{lim: lim, known: newTable(lim.Known), strangers: newTable(lim.Strangers)}
}

// Set changes the limits; what is held stays.
func (g *Gate) Set(lim Limits) {
	fresh := New(lim)
	g.lim, g.known.most, g.strangers.most = fresh.lim, fresh.lim.Known, fresh.lim.Strangers
}

// Key is what an address counts as: itself, or its /64.
func Key(a netip.Addr) netip.Prefix {
	bits := 32
	if a = a.Unmap().WithZone(""); a.Is6() {
		bits = 64
	}
	p, _ := a.Prefix(bits)
	return p
}

func (g *Gate) find(key netip.Prefix) *record {
	if r := g.known.of[key]; r != nil {
		return r
	}
	return g.strangers.of[key]
}

// Known tells whether flows of an address were established of late.
func (g *Gate) Known(key netip.Prefix, now int64) bool {
	r := g.known.of[key]
	return r != nil && r.fade(now) >= forget
}

// fade halves the score for each half-life that has passed.
func (r *record) fade(now int64) float64 {
	for now-r.scored >= halfLife {
		r.score /= 2
		r.scored += halfLife
		if r.score < forget/2 {
			r.score, r.scored = 0, now
		}
	}
	return r.score
}

// Come decides on a new connection; room is how many descriptors are free besides those owed to flows that were taken.
// Each Taken wants one Gone.
func (g *Gate) Come(key netip.Prefix, now int64, room int) Reason {
	why := g.judge(key, now, room)
	g.Refused[why]++
	return why
}

func (g *Gate) judge(key netip.Prefix, now int64, room int) Reason {
	r := g.find(key)
	known := r != nil && r.known && r.fade(now) >= forget
	if !known && room <= g.lim.Reserve {
		return KeptFree
	}
	if r == nil {
		if !g.strangers.room() {
			return KeptFree // so many strangers hold connections that one more could not be counted
		}
		r = &record{key: key, tokens: g.lim.Burst, at: now}
	}
	table := g.strangers
	if r.known {
		table = g.known
	}
	r.used = now
	table.touch(r)
	if g.lim.PerAddress > 0 && r.open >= g.lim.PerAddress {
		return TooMany
	}
	if g.lim.Rate > 0 {
		r.tokens = min(r.tokens+g.lim.Rate*float64(max(now-r.at, 0))/float64(second), g.lim.Burst)
		if r.at = max(now, r.at); r.tokens < 1 {
			return TooFast
		}
		r.tokens--
	}
	r.open++
	return Taken
}

// Stood is that a flow of an address was established: it is known from now on.
func (g *Gate) Stood(key netip.Prefix, now int64) {
	r := g.find(key)
	if r == nil {
		return
	}
	r.score = r.fade(now) + 1
	if !r.known {
		r.scored = now
		if !g.known.room() {
			return
		}
		g.strangers.unlink(r)
		r.known = true
	}
	g.known.touch(r)
}

// Gone is that a connection that was taken has ended.
func (g *Gate) Gone(key netip.Prefix) {
	if r := g.find(key); r != nil && r.open > 0 {
		r.open--
	}
}

// Held is how many addresses are remembered, known ones and others.
func (g *Gate) Held() (known, strangers int) { return len(g.known.of), len(g.strangers.of) }

// Fair deals out what a node can do among service types when the node itself is short: each has a share by its benefit,
// and what one does not use goes to the others.
type Fair struct {
	weight  []float64
	offered []float64 // of late, fading
	credit  []float64
	at      int64
}

const fairOver = second // over which demand is counted

// NewFair makes one for service types of these benefits.
func NewFair(benefit []float64) *Fair {
	return &Fair{weight: slices.Clone(benefit), offered: make([]float64, len(benefit)), credit: make([]float64, len(benefit))}
}

// Take decides on a flow of a type, where short is the share of all demand that the node can't serve, from 0 to 1.
func (f *Fair) Take(typ int, now int64, short float64) bool {
	if gone := now - f.at; gone > 0 {
		keep := math.Exp(-float64(gone) / float64(fairOver))
		for i := range f.offered {
			f.offered[i] *= keep
		}
		f.at = now
	}
	f.offered[typ]++
	if short <= 0 {
		return true
	}
	if f.credit[typ] += f.part(typ, min(short, 1)); f.credit[typ] < 1 {
		return false
	}
	f.credit[typ]--
	return true
}

// part is the share of a type's flows that is taken: the shares by weight are filled up, and what is left over goes to
// those that want more.
func (f *Fair) part(typ int, short float64) float64 {
	left := 0.0
	for _, o := range f.offered {
		left += o * (1 - short)
	}
	filled := make([]bool, len(f.weight))
	for {
		weights, again := 0.0, false
		for i, w := range f.weight {
			if !filled[i] {
				weights += w
			}
		}
		for i, w := range f.weight {
			if share := left * w / weights; !filled[i] && f.offered[i] <= share {
				filled[i], again = true, true
				left -= f.offered[i]
				break
			}
		}
		if filled[typ] {
			return 1
		}
		if !again {
			return left * f.weight[typ] / weights / f.offered[typ]
		}
	}
}
