// Package limits keeps a rate of something for the whole fleet: for each key, such as a client address, so many at a
// stretch and so many a second, by all nodes together. It has no I/O and no clock.
//
// Each key has an owner, by its lease of the key's slot (package lease). The owner holds the key's bucket and hands out
// of it what nodes ask for; what is handed out may be used until a stated time and is gone then. The bounds, with rate R,
// burst B and the time D for which what is handed out may be used, over any stretch of length w:
//
//	strict:    all nodes together let pass at most B + R·w, whatever fails: the bucket holds B - R·D, and what is used in
//	           a stretch was handed out in it or less than D before it. Who can't reach the owner lets nothing pass.
//	available: who can't reach the owner goes by its own part of the limit, B/n (one at least) and R/n, so that all
//	           together let pass at most 2·B + n + 2·R·w + R/10: D is a tenth of a second at least there.
//
// A new owner begins with an empty bucket, and its lease begins after the old one's has ended: the old one handed out
// nothing that can be used for longer. So a lost owner costs its keys the lease's term and no more.
package limits

import (
	"encoding/binary"
	"fmt"
	"math"
)

const (
	ms     = int64(1000)
	second = 1000 * ms

	maxHold       = second   // D at most
	minHold       = 100 * ms // and at least: a datagram there and back, at a node that is busy
	drift         = 0.1      // by which two clocks run apart at most
	maxAttempts   = 3
	sweepInterval = 100 * ms
	replyTimeout  = 60 * ms // for an answer
	minRefusal    = 50 * ms // a key that was refused is refused without asking for so long at least
	maxKeys       = 1 << 16 // that an owner holds buckets of, and that a node holds what was handed out of
	maxPending    = 4096    // keys asked for at once
	holderShare   = 0.8     // of D that is left to the holder, whose clock may run slow

	requestKind = 4
	replyKind   = 5
	requestSize = 1 + 4 + 8 + 8 + 2   // kind, round, the process that asks, key, how many
	replySize   = requestSize + 4 + 4 // the same, for how long, when to come again
)

// Limit is one limit; Rate is a second.
type Limit struct {
	Rate, Burst float64
	Strict      bool
}

// Check says why a limit can't be kept by so many nodes; nil where it can.
func (l Limit) Check(nodes int) error {
	switch {
	case !(l.Rate > 0 && l.Rate < 1e6) || !(l.Burst >= 1 && l.Burst < 1e6):
		return fmt.Errorf("a rate of %g and a burst of %g make no limit", l.Rate, l.Burst)
	case l.Strict && l.hold() < minHold:
		return fmt.Errorf("a burst of %g is too little for %g a second to be kept strictly: %g at least", l.Burst, l.Rate,
			math.Ceil(max(2*l.Rate*float64(minHold)/float64(second), l.Rate*float64(minHold)/float64(second)+1)))
	}
	return nil
}

// hold is D: half of the burst's time, so that the bucket keeps the other half.
func (l Limit) hold() int64 {
	longest := (l.Burst - 1) / l.Rate * float64(second)
	hold := min(int64(min(longest, l.Burst/2/l.Rate*float64(second))), maxHold)
	if !l.Strict {
		hold = max(hold, minHold) // what that lets pass beyond the burst is in Most
	}
	return hold
}

// capacity is what the bucket holds.
func (l Limit) capacity() float64 {
	return max(l.Burst-l.Rate*float64(max(l.hold(), 0))/float64(second), 1)
}

// Most is how many all nodes together let pass at most within a stretch of so many microseconds.
func (l Limit) Most(nodes int, window int64) float64 {
	strict := l.Burst + l.Rate*float64(window)/float64(second)
	if l.Strict {
		return strict
	}
	return 2*strict + float64(nodes) + l.Rate*float64(minHold)/float64(second)
}

// bucket is a key's, at its owner or as a node's own part.
type bucket struct {
	tokens     float64
	filledAt   int64
	ownedSince int64 // the ownership that it was made under
}

func (b *bucket) refill(now int64, rate, capacity float64) {
	b.tokens = min(b.tokens+rate*float64(max(now-b.filledAt, 0))/float64(second), capacity)
	b.filledAt = max(now, b.filledAt)
}

// pendingRequest is what is awaited.
type pendingRequest struct {
	round       uint32
	requestedAt int64 // when it was first asked, which what comes back counts from
	wanted      int
	askedNode   int // of whom
	waiters     []any
	attempts    int
}

// OwnerLookup says who owns a key's slot, as this process knows it.
type OwnerLookup interface {
	Mine(key uint64) (since, until int64, ok bool) // this process does, until then
	Who(key uint64) int                            // else whom to ask: a belief; under 0 where nobody can be
}

// Answer is what became of one that waited.
type Answer struct {
	Waiter any
	Yes    bool
	Until  int64 // when it has run out, where an owner gave it
}

// Limits is one node's part.
type Limits struct {
	limit        Limit
	limitOf      func(key uint64) Limit // where it differs by key, and changes; nil else
	process      uint64
	nodes        int
	owner        OwnerLookup
	now          int64
	round        uint32
	owned        map[uint64]*bucket // of keys owned
	shares       map[uint64]*bucket // of keys whose owner could not be asked
	refusedUntil map[uint64]int64   // keys that were refused, and until when without asking
	pending      map[uint64]*pendingRequest
	sweptAt      int64
	pendingOrder []uint64 // of asks, the oldest first

	Granted, Refused, Asked, Alone, Stray int64 // Alone: let pass by the own part
}

// New makes one process's part of a limit that Check has found right. Process must differ from that of any other process.
func New(limit Limit, process uint64, nodes int, owner OwnerLookup) *Limits {
	return &Limits{limit: limit, process: process, nodes: nodes, owner: owner, owned: map[uint64]*bucket{}, shares: map[uint64]*bucket{},
		refusedUntil: map[uint64]int64{}, pending: map[uint64]*pendingRequest{}}
}

// Varied makes a part of a limit that each key has its own of, as its owner finds it at each moment: strict ones.
func Varied(limitOf func(key uint64) Limit, process uint64, nodes int, owner OwnerLookup) *Limits {
	l := New(Limit{Strict: true}, process, nodes, owner)
	l.limitOf = limitOf
	return l
}

// limitAt is the limit of a key now.
func (l *Limits) limitAt(key uint64) Limit {
	if l.limitOf != nil {
		return l.limitOf(key)
	}
	return l.limit
}

// Empty tells whether a key is known to have none left just now.
func (l *Limits) Empty(key uint64) bool { return l.now < l.refusedUntil[key] }

// Held is how long what this process has of a key it owns may be used, microseconds.
func (l *Limits) Held(key uint64) int64 { return int64(float64(l.limitAt(key).hold()) * holderShare) }

// Set changes the limit. Buckets of keys owned are cut to what the new one holds.
func (l *Limits) Set(limit Limit) { l.limit = limit }

// Oldest is for how long the one that waits longest for an owner's word has waited, microseconds.
func (l *Limits) Oldest() (age int64) {
	for _, request := range l.pending {
		if request.requestedAt != never {
			age = max(age, l.now-request.requestedAt)
		}
	}
	return age
}

// Keys is how many keys this process holds something of.
func (l *Limits) Keys() int {
	return len(l.owned) + len(l.shares) + len(l.refusedUntil) + len(l.pending)
}

// Turn begins a turn of the loop and gives what became of those that waited too long. What had no answer is asked for once
// more: what the first asking was handed lapses.
func (l *Limits) Turn(now int64, send func(to int, p []byte)) (decided []Answer) {
	if now < l.now { // the clock went back: what was handed out may have run out
		clear(l.refusedUntil)
		clear(l.owned)
		for _, request := range l.pending {
			request.requestedAt = never
		}
	}
	l.now = now
	for len(l.pendingOrder) > 0 {
		key := l.pendingOrder[0]
		request := l.pending[key]
		if request != nil && request.requestedAt != never && now-request.requestedAt < replyTimeout {
			break
		}
		l.pendingOrder = l.pendingOrder[1:]
		if request != nil && request.requestedAt != never && request.attempts < maxAttempts {
			request.requestedAt = now
			l.pendingOrder = append(l.pendingOrder, key)
			l.sendRequest(key, request, send)
		} else if request != nil {
			delete(l.pending, key)
			decided = append(decided, l.settleLocally(key, request)...)
		}
	}
	return decided
}

const never = math.MinInt64 / 2

// settleLocally is what is done where no owner answers.
func (l *Limits) settleLocally(key uint64, request *pendingRequest) (decided []Answer) {
	for _, waiter := range request.waiters {
		granted := !l.limit.Strict && l.takeShare(key)
		l.count(granted)
		decided = append(decided, Answer{waiter, granted, 0})
	}
	return decided
}

func (l *Limits) count(granted bool) {
	if granted {
		l.Granted++
	} else {
		l.Refused++
	}
}

// takeShare takes one of the own part.
func (l *Limits) takeShare(key uint64) bool {
	b := l.shares[key]
	nodes := float64(l.nodes)
	if b == nil {
		if len(l.shares) >= maxKeys {
			l.dropFull(l.shares, l.limit.Rate/nodes, max(l.limit.Burst/nodes, 1))
		}
		if len(l.shares) >= maxKeys {
			return false
		}
		b = &bucket{tokens: max(l.limit.Burst/nodes, 1), filledAt: l.now}
		l.shares[key] = b
	}
	b.refill(l.now, l.limit.Rate/nodes, max(l.limit.Burst/nodes, 1))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	l.Alone++
	return true
}

// dropFull drops buckets that are full again: made anew they would be the same.
func (l *Limits) dropFull(buckets map[uint64]*bucket, rate, capacity float64) {
	if l.now-l.sweptAt < sweepInterval && l.now >= l.sweptAt {
		return // guards each flow of a flood of new keys against a walk through all
	}
	l.sweptAt = l.now
	for key, b := range buckets {
		if b.refill(l.now, rate, capacity); b.tokens >= capacity {
			delete(buckets, key)
		}
	}
}

// Take asks for one of a key. Yes and no are at once; else the waiter has its answer from a later Turn or Told. send asks
// the so-many-th node.
func (l *Limits) Take(key uint64, waiter any, send func(to int, p []byte)) (granted, waiting bool) {
	if l.now < l.refusedUntil[key] {
		l.count(false)
		return false, false
	}
	if since, until, ok := l.owner.Mine(key); ok {
		granted = l.handOut(key, 1, since, until) > 0
		l.count(granted)
		return granted, false
	}
	request := l.pending[key]
	if request == nil {
		if len(l.pending) >= maxPending {
			l.count(false)
			return false, false
		}
		request = &pendingRequest{requestedAt: l.now}
		l.pending[key] = request
		l.pendingOrder = append(l.pendingOrder, key)
	}
	request.waiters = append(request.waiters, waiter)
	if request.round == 0 {
		l.sendRequest(key, request, send)
	}
	return false, true
}

func (l *Limits) sendRequest(key uint64, request *pendingRequest, send func(to int, payload []byte)) {
	request.attempts++
	to := l.owner.Who(key)
	if to < 0 {
		return
	}
	l.round++
	request.round, request.wanted, request.askedNode = l.round|1<<31, len(request.waiters), to
	l.Asked++
	payload := binary.LittleEndian.AppendUint32([]byte{requestKind}, request.round)
	payload = binary.LittleEndian.AppendUint64(payload, l.process)
	payload = binary.LittleEndian.AppendUint64(payload, key)
	send(to, binary.LittleEndian.AppendUint16(payload, uint16(min(request.wanted, math.MaxUint16))))
}

// handOut takes so many, or fewer, of a key that this process owns.
func (l *Limits) handOut(key uint64, wanted int, since, until int64) (count int) {
	b, limit := l.owned[key], l.limitAt(key)
	if !(limit.Rate > 0) {
		return 0
	}
	if b != nil && b.ownedSince != since {
		b = nil
	}
	if b == nil {
		if len(l.owned) >= maxKeys {
			l.dropFull(l.owned, limit.Rate, limit.capacity())
		}
		if len(l.owned) >= maxKeys {
			return 0
		}
		// A key that nobody asked for since this ownership began has its bucket as full as it can be by now.
		b = &bucket{filledAt: since, ownedSince: since}
		l.owned[key] = b
	}
	b.refill(l.now, limit.Rate, limit.capacity())
	if until-l.now < min(minHold, max(limit.hold(), 0)) {
		return 0 // what is handed out must run out before the lease
	}
	count = min(wanted, int(b.tokens))
	b.tokens -= float64(count)
	return count
}

// TakeAsk takes what another node asks; answer goes back to it. False for what is no such.
func (l *Limits) TakeAsk(payload []byte, answer func(payload []byte)) bool {
	if len(payload) != requestSize || payload[0] != requestKind {
		return false
	}
	key, wanted := binary.LittleEndian.Uint64(payload[13:]), int(binary.LittleEndian.Uint16(payload[21:]))
	since, until, ok := l.owner.Mine(key)
	if !ok {
		l.Stray++
		return true // who asked goes on by itself
	}
	count := l.handOut(key, wanted, since, until)
	limit := l.limitAt(key)
	hold := min(limit.hold(), until-l.now)
	retryAfter := int64(0)
	if count < wanted && limit.Rate > 0 {
		retryAfter = int64(max(1-l.owned[key].tokensOr(0), 0) / limit.Rate * float64(second))
	}
	reply := append([]byte{replyKind}, payload[1:21]...)
	reply = binary.LittleEndian.AppendUint16(reply, uint16(count))
	reply = binary.LittleEndian.AppendUint32(reply, uint32(max(hold, 0)))
	answer(binary.LittleEndian.AppendUint32(reply, uint32(min(retryAfter, int64(second)))))
	return true
}

func (b *bucket) tokensOr(fallback float64) float64 {
	if b == nil {
		return fallback
	}
	return b.tokens
}

// Told takes what the so-many-th node hands out. What was not asked of it, or is asked no more, is counted and dropped.
func (l *Limits) Told(from int, payload []byte, send func(to int, payload []byte)) (decided []Answer, ok bool) {
	if len(payload) != replySize || payload[0] != replyKind {
		return nil, false
	}
	round, process := binary.LittleEndian.Uint32(payload[1:]), binary.LittleEndian.Uint64(payload[5:])
	key, count := binary.LittleEndian.Uint64(payload[13:]), int(binary.LittleEndian.Uint16(payload[21:]))
	hold, retryAfter := int64(binary.LittleEndian.Uint32(payload[23:])), int64(binary.LittleEndian.Uint32(payload[27:]))
	request := l.pending[key]
	if request == nil || request.round != round || process != l.process || request.askedNode != from || count > request.wanted || hold > maxHold {
		l.Stray++
		return nil, true
	}
	delete(l.pending, key)
	expiresAt := request.requestedAt + int64(float64(hold)*holderShare)
	if l.now >= expiresAt {
		count = 0 // it has run out on its way
	}
	for i, waiter := range request.waiters[:min(request.wanted, len(request.waiters))] {
		granted := i < count
		l.count(granted)
		decided = append(decided, Answer{waiter, granted, expiresAt})
	}
	if count < request.wanted {
		if len(l.refusedUntil) >= maxKeys {
			clear(l.refusedUntil) // they are refused anew
		}
		l.refusedUntil[key] = l.now + max(retryAfter, minRefusal)
	}
	if remaining := request.waiters[min(request.wanted, len(request.waiters)):]; len(remaining) > 0 { // came after it was asked
		for _, waiter := range remaining {
			if count < request.wanted {
				l.count(false)
				decided = append(decided, Answer{waiter, false, 0})
				continue
			}
			if granted, waiting := l.Take(key, waiter, send); !waiting {
				decided = append(decided, Answer{waiter, granted, 0})
			}
		}
	}
	return decided, true
}
