// Package permits enforces a concurrency limit for the whole fleet: for each key, such as a client address or a host, a
// number of flows that all nodes together may have at once. The package does no I/O and reads no clock; all times are
// microseconds of the caller's clock.
//
// Each key has an owner, which holds the lease of the key's slot (package lease) and keeps a ledger of the permits of each
// process. A process reports how many it uses and how many it wants; the owner replies how many it is allowed and for how
// long. From the request until the reply a process uses no more than it reported. Permits that are not renewed expire on
// the user's clock before they expire on the owner's. The bounds, for a limit of L and n nodes:
//
//	strict:    L at all nodes together, whatever fails. A process whose permits have expired ends its flows in the same
//	           loop iteration.
//	available: established flows go on, and a node that can't reach the owner admits up to its local share, L/n (at least
//	           one), so that all together have at most L·(1+c) + n, where c counts the nodes that can't reach the owner, or
//	           could not when they admitted what they still have: each of them may hold permits for all of L.
//
// A new owner knows nothing. Until everything that the previous owner may have granted has expired, it confirms what is in
// use and grants nothing new. The permits of a lost process are free again when they expire: after OwnerTerm on the owner's
// clock.
package permits

import (
	"fmt"
	"slices"

	"coursewinch/cluster/lease"
)

// Units of time, in microseconds.
const (
	ms     = int64(1000)
	second = 1000 * ms
)

const (
	// OwnerTerm is how long permits count at their owner, in microseconds of its clock.
	OwnerTerm = 6 * second

	// UserTerm is how long permits count at their user, in microseconds of its clock from before it sent the request.
	UserTerm = OwnerTerm * 8 / 10
)

// Terms and intervals, in microseconds.
const (
	newOwnerTerm  = OwnerTerm * 11 / 10 // how long a new owner grants nothing beyond what is in use
	renewAfter    = OwnerTerm / 3       // from the last answered request to the next one
	retryInterval = 60 * ms             // from a request without a reply to the next one, times the attempts so far, up to a second
	refusalTerm   = 50 * ms             // how long a refused key is refused without a request
	sweepInterval = 50 * ms             // between two passes over all keys
	maxTickStep   = 100 * ms            // a longer gap between two ticks is a clock jump or a pause; the owner's time skips the excess
)

// Other bounds.
const (
	maxAttempts  = 3         // requests without a reply before the process decides locally
	maxUsedKeys  = 1 << 14   // keys that one process uses
	maxOwnedKeys = 1 << 16   // keys that an owner keeps ledgers of
	maxCount     = 1<<16 - 1 // permits of one key; counts are 16 bits in datagrams
)

// Limit is a concurrency limit. A strict limit is never exceeded; an available one goes on with local shares where the
// owner can't be reached.
type Limit struct {
	Max    int // flows at once
	Strict bool
}

// Check returns an error if the limit can't be enforced.
func (l Limit) Check() error {
	if l.Max < 1 || l.Max > maxCount {
		return fmt.Errorf("permits: limit %d is out of range: 1 to %d", l.Max, maxCount)
	}
	return nil
}

// MaxWith returns how many flows all nodes together have at most while cutOff of them can't reach the owner, or still have
// flows that they admitted when they could not.
func (l Limit) MaxWith(nodes, cutOff int) int {
	if l.Strict {
		return l.Max
	}
	return l.Max*(1+cutOff) + nodes
}

// OwnerLookup tells which process owns a key's slot, as far as this process knows.
type OwnerLookup interface {
	// OwnedHere reports whether this process owns the key, since when, and until when.
	OwnedHere(key uint64) (since, until int64, ok bool)
	// LikelyOwner returns the node that likely owns the key otherwise; negative if no node can be asked.
	LikelyOwner(key uint64) int
}

// Decision is the outcome for a waiter.
type Decision struct {
	Waiter  any
	Granted bool
}

// Excess is the number of flows of a key beyond what this process is allowed.
type Excess struct {
	Key   uint64
	Count int
}

// Permits is the state of one process for one limit, both as an owner and as a user of keys.
type Permits struct {
	limit       Limit
	process     uint64
	nodes       int
	owner       OwnerLookup
	now         int64
	ownerTime   int64 // time that has passed in ticks, without clock jumps and pauses; ledgers count in it
	round       uint32
	nextSweepAt int64
	usages      map[uint64]*usage
	ledgers     map[uint64]*ledger
	decided     []Decision // to be returned by the next call that returns decisions
	predecessor uint64     // the process of this node that hands over to this one; 0: none
	handingOver bool       // a successor takes over from this process
	slots       [lease.Slots]slotOwnership

	// Counters: decisions by outcome, requests sent, decisions granted from the local share (a part of Granted), messages
	// dropped because they were not expected, and flows that the caller had to end.
	Granted, Refused, RequestsSent, GrantedLocally, Discarded, Revoked int64
}

// New returns one process's state for a limit that has passed Check. The process identifier must differ from that of any
// other process.
func New(limit Limit, process uint64, nodes int, owner OwnerLookup) *Permits {
	return &Permits{
		limit:   limit,
		process: process,
		nodes:   nodes,
		owner:   owner,
		usages:  map[uint64]*usage{},
		ledgers: map[uint64]*ledger{},
	}
}

// KeyCounts returns the number of keys that this process uses and the number that it keeps ledgers of.
func (p *Permits) KeyCounts() (used, owned int) { return len(p.usages), len(p.ledgers) }

// InUse returns the number of permits in use, over all keys.
func (p *Permits) InUse() (n int) {
	for _, u := range p.usages {
		n += u.inUse
	}
	return n
}

// SetLimit changes the limit. All permits are requested again; under a lower strict limit the flows beyond it are
// reported as excess once the owners have replied.
func (p *Permits) SetLimit(limit Limit) {
	p.limit = limit
	for _, u := range p.usages {
		u.nextRequestAt = min(u.nextRequestAt, p.now)
	}
}

// OldestRenewal returns the longest time since the last answered request for a key in use, in microseconds.
func (p *Permits) OldestRenewal() (age int64) {
	for _, u := range p.usages {
		if !u.isIdle() {
			age = max(age, p.now-(u.allowedUntil-UserTerm))
		}
	}
	return age
}

// SweepDue reports whether a tick at this time examines all keys. Usage set just before such a tick is taken into
// account by it.
func (p *Permits) SweepDue(now int64) bool { return now >= p.nextSweepAt || now < p.now }

// Tick advances the clock; it is called once per loop iteration. It sends the requests that are due and returns
// the decisions since the last call that returned any, such as those for waiters that have waited too long. The caller has
// to end the flows returned as excess in the same loop iteration and to release each of them.
func (p *Permits) Tick(now int64, send func(to int, p []byte)) (decided []Decision, excess []Excess) {
	if now < p.now {
		p.clockWentBack(now)
	}
	p.ownerTime += min(max(now-p.now, 0), maxTickStep)
	p.now = now
	if now < p.nextSweepAt {
		return nil, nil
	}
	p.nextSweepAt = now + sweepInterval
	p.pruneLedgers()
	due, idleOrOver := p.keysToHandle()
	for _, key := range due {
		if u := p.usages[key]; p.isUnanswered(u) {
			u.cutOff = true
			p.settleWaiters(u)
		}
	}
	due = slices.DeleteFunc(due, func(key uint64) bool {
		u := p.usages[key]
		return now < u.nextRequestAt && !u.isIdle()
	})
	p.request(due, send)
	excess = p.revokeExcessAndDropIdle(idleOrOver)
	decided, p.decided = p.decided, nil
	return decided, excess
}
