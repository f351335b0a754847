// Package limits enforces a rate limit for the whole fleet: for each key, such as a client address, a burst and a number
// per second that all nodes together may admit. The package does no I/O and reads no clock; all times are microseconds of
// the caller's clock.
//
// Each key has an owner, which holds the lease of the key's slot (package lease). The owner keeps the key's token bucket
// and hands out tokens to the nodes that request them. A token may be used until a stated time and is lost after that. The
// bounds over any window of length w, with rate R, burst B and token lifetime D:
//
//	strict:    all nodes together admit at most B + R·w, whatever fails: the bucket holds B - R·D, and what is used in a
//	           window was handed out in it or less than D before it. A node that can't reach the owner admits nothing.
//	available: a node that can't reach the owner uses its local share of the limit, B/n (at least one) and R/n, so that
//	           all together admit at most 2·B + n + 2·R·w + R/10, because D is at least a tenth of a second there.
//
// A new owner begins with an empty bucket, and its lease begins after that of the previous owner has ended; no token of
// the previous owner can be used for longer. Losing an owner thus costs its keys the term of the lease and no more.
package limits

import "math"

// Units of time, in microseconds.
const (
	ms     = int64(1000)
	second = 1000 * ms
)

// Token lifetime, in microseconds, and clocks.
const (
	maxHold     = second   // upper bound of the token lifetime D
	minHold     = 100 * ms // lower bound: a datagram there and back, at a node that is busy
	drift       = 0.1      // bound of the drift between two clocks, for which holderShare allows
	holderShare = 0.8      // share of D that is left to the holder, whose clock may run slow
)

// Requests to an owner.
const (
	maxAttempts  = 3                 // requests sent before the process decides locally
	maxPending   = 4096              // keys with a pending request
	replyTimeout = 60 * ms           // microseconds until a request is sent again
	minRefusal   = 50 * ms           // microseconds for which a refused key is refused without a request, at least
	never        = math.MinInt64 / 2 // time of a request that is not sent again, because the clock went back
)

// Tables.
const (
	maxKeys       = 1 << 16  // entries of each table: owned buckets, local shares, refused keys
	sweepInterval = 100 * ms // microseconds between two sweeps for full buckets
)

// OwnerLookup tells which process owns a key's slot, as far as this process knows.
type OwnerLookup interface {
	// OwnedHere reports whether this process owns the key, since when, and until when.
	OwnedHere(key uint64) (since, until int64, ok bool)
	// LikelyOwner returns the node that likely owns the key otherwise; negative if no node can be asked.
	LikelyOwner(key uint64) int
}

// Decision is the outcome for a waiter.
type Decision struct {
	Waiter    any
	Granted   bool
	ExpiresAt int64 // when a token handed out by another process expires, in microseconds; else 0
}

// Limits is the state of one process for one limit, both as an owner and as a user of keys.
type Limits struct {
	limit        Limit
	limitOf      func(key uint64) Limit // for limits that differ by key and change; else nil
	process      uint64
	nodes        int
	owner        OwnerLookup
	now          int64
	round        uint32
	owned        map[uint64]*bucket // buckets of owned keys
	shares       map[uint64]*bucket // local shares of keys whose owner could not be reached
	refusedUntil map[uint64]int64   // until when a key is refused without a request
	pending      map[uint64]*pendingRequest
	sweptAt      int64
	pendingOrder []uint64 // keys with a pending request, the oldest request first

	// Counters: decisions by outcome, requests sent, decisions granted from the local share (a part of Granted), and
	// messages dropped because they were not expected.
	Granted, Refused, RequestsSent, GrantedLocally, Discarded int64
}

// New returns one process's state for a limit that has passed Check. The process identifier must differ from that of any
// other process.
func New(limit Limit, process uint64, nodes int, owner OwnerLookup) *Limits {
	return &Limits{
		limit:        limit,
		process:      process,
		nodes:        nodes,
		owner:        owner,
		owned:        map[uint64]*bucket{},
		shares:       map[uint64]*bucket{},
		refusedUntil: map[uint64]int64{},
		pending:      map[uint64]*pendingRequest{},
	}
}

// NewPerKey returns one process's state for strict limits that differ by key. The owner of a key evaluates limitOf
// whenever it needs the key's limit.
func NewPerKey(limitOf func(key uint64) Limit, process uint64, nodes int, owner OwnerLookup) *Limits {
	l := New(Limit{Strict: true}, process, nodes, owner)
	l.limitOf = limitOf
	return l
}

// limitAt returns the current limit of a key.
func (l *Limits) limitAt(key uint64) Limit {
	if l.limitOf != nil {
		return l.limitOf(key)
	}
	return l.limit
}

// IsExhausted reports whether a key is known to have no token left at the moment.
func (l *Limits) IsExhausted(key uint64) bool { return l.now < l.refusedUntil[key] }

// TokenLifetime returns for how long a token of an owned key may be used, in microseconds.
func (l *Limits) TokenLifetime(key uint64) int64 {
	return int64(float64(l.limitAt(key).hold()) * holderShare)
}

// SetLimit changes the limit. Buckets of owned keys are cut to the new capacity.
func (l *Limits) SetLimit(limit Limit) { l.limit = limit }

// LongestWait returns the longest time that a pending request has waited since its latest attempt, in microseconds.
func (l *Limits) LongestWait() (age int64) {
	for _, request := range l.pending {
		if request.requestedAt != never {
			age = max(age, l.now-request.requestedAt)
		}
	}
	return age
}

// KeyCount returns the number of entries in all tables of this process.
func (l *Limits) KeyCount() int {
	return len(l.owned) + len(l.shares) + len(l.refusedUntil) + len(l.pending)
}

// count counts a decision.
func (l *Limits) count(granted bool) {
	if granted {
		l.Granted++
	} else {
		l.Refused++
	}
}
