// Package admission decides at one node, from the node's own limits, which client connections are accepted. It applies
// connection caps and rates per client address, keeps a reserve of descriptors for known clients, and shares capacity
// fairly among service types. It does no I/O and reads no clock: all times are microseconds passed in by the caller.
//
// It knows nothing about hosts. The balance package decides which host a flow goes to, and whether one is available.
package admission

import (
	"math"
	"net/netip"
	"slices"
)

// Limits are the limits that an operator sets. A zero limit allows everything.
type Limits struct {
	PerAddress       int     // concurrent connections from one address (IPv6: one /64)
	Rate             float64 // new connections per second from one address
	Burst            float64 // size of the token bucket for Rate; at least 1 when there is a rate
	Reserve          int     // descriptors that only known clients may use
	KnownAddresses   int     // known addresses remembered; 0 means 4096
	UnknownAddresses int     // other addresses remembered; 0 means 4096
}

// Enabled reports whether any limit is set.
func (l Limits) Enabled() bool { return l.PerAddress > 0 || l.Rate > 0 || l.Reserve > 0 }

// Reason says why a connection was refused, or that it was accepted.
type Reason uint8

// The decisions on a new connection.
const (
	Admitted           Reason = iota // the connection is accepted
	TooManyConnections               // its address has as many connections as it may have
	RateExceeded                     // its address opens connections faster than allowed
	ReservedForKnown                 // the remaining descriptors are reserved for known clients
	LowerBenefit                     // the node is short of capacity and serves flows of higher benefit instead
)

// reasonTexts are logged for operators (why=) and documented, so they must stay as they are.
var reasonTexts = [...]string{
	"taken",
	"too many from its address",
	"too fast from its address",
	"the rest is for known clients",
	"short, and others are worth more",
}

// String returns the text that operators see in logs.
func (r Reason) String() string { return reasonTexts[r] }

const (
	second = int64(1_000_000) // in microseconds

	defaultTableSize = 4096
	maxEvictionTries = 16           // records looked at to make room for one new address
	scoreHalfLife    = 600 * second // half-life of the score that makes an address known
	knownThreshold   = 0.25         // an address with a lower score is unknown again
	demandWindow     = second       // time constant of the demand average
)

// addressRecord is the state of one client address.
type addressRecord struct {
	openConnections int
	tokens          float64 // of the token bucket
	refilledAt      int64   // when tokens was last refilled
	score           float64 // count of established flows, halved every scoreHalfLife
	decayedAt       int64   // when score was last halved
	lastUsedAt      int64   // when the address last opened a connection
	key             netip.Prefix
	next            *addressRecord // circular list by last use; the least recently used record follows the sentinel
	prev            *addressRecord
	known           bool
}

// addressTable is a bounded set of addresses in order of last use.
type addressTable struct {
	sentinel  addressRecord // head of the circular list
	byAddress map[netip.Prefix]*addressRecord
	capacity  int
}

func newAddressTable(capacity int) *addressTable {
	t := &addressTable{byAddress: map[netip.Prefix]*addressRecord{}, capacity: capacity}
	t.sentinel.next, t.sentinel.prev = &t.sentinel, &t.sentinel
	return t
}

// markUsed makes a record the most recently used one, and adds it if it is not in the table.
func (t *addressTable) markUsed(r *addressRecord) {
	t.remove(r)
	r.prev, r.next = t.sentinel.prev, &t.sentinel
	r.prev.next, r.next.prev = r, r
	t.byAddress[r.key] = r
}

// remove takes a record out of the table, if it is in it.
func (t *addressTable) remove(r *addressRecord) {
	if r.next != nil {
		r.prev.next, r.next.prev = r.next, r.prev
		r.next, r.prev = nil, nil
		delete(t.byAddress, r.key)
	}
}

// makeRoom evicts the least recently used records without open connections until one more record fits. It reports
// whether one does. It gives up after a few records with open connections, so that one new address never scans the
// whole table.
func (t *addressTable) makeRoom() bool {
	for attempts := 0; len(t.byAddress) >= t.capacity; attempts++ {
		r := t.sentinel.next
		if r == &t.sentinel || attempts == maxEvictionTries {
			return false
		}
		if r.openConnections > 0 {
			t.markUsed(r)
			continue
		}
		t.remove(r)
	}
	return true
}

// Controller makes the admission decisions of one node.
type Controller struct {
	limits    Limits
	known     *addressTable // addresses with established flows; a flood of new addresses cannot evict them
	unknown   *addressTable
	Decisions [len(reasonTexts)]int // number of decisions by Reason
}

// New returns the admission control of one node, with the given limits and no connections.
func New(limits Limits) *Controller {
	if limits.KnownAddresses == 0 {
		limits.KnownAddresses = defaultTableSize
	}
	if limits.UnknownAddresses == 0 {
		limits.UnknownAddresses = defaultTableSize
	}
	if limits.Rate > 0 {
		limits.Burst = max(limits.Burst, 1)
	}
	return &Controller{
		limits:  limits,
		known:   newAddressTable(limits.KnownAddresses),
		unknown: newAddressTable(limits.UnknownAddresses),
	}
}

// SetLimits changes the limits. Records and open connections are kept.
func (c *Controller) SetLimits(limits Limits) {
	updated := New(limits).limits
	c.limits = updated
	c.known.capacity = updated.KnownAddresses
	c.unknown.capacity = updated.UnknownAddresses
}

// Key returns the prefix under which an address is counted: an IPv4 address itself, or the /64 of an IPv6 address.
func Key(address netip.Addr) netip.Prefix {
	bits := 32
	if address = address.Unmap().WithZone(""); address.Is6() {
		bits = 64
	}
	prefix, _ := address.Prefix(bits)
	return prefix
}

func (c *Controller) find(key netip.Prefix) *addressRecord {
	if r := c.known.byAddress[key]; r != nil {
		return r
	}
	return c.unknown.byAddress[key]
}

// IsKnown reports whether flows of an address were established recently.
func (c *Controller) IsKnown(key netip.Prefix, now int64) bool {
	r := c.known.byAddress[key]
	return r != nil && r.decayScore(now) >= knownThreshold
}

// decayScore halves the score for each half-life that has passed, and returns it.
func (r *addressRecord) decayScore(now int64) float64 {
	for now-r.decayedAt >= scoreHalfLife {
		r.score /= 2
		r.decayedAt += scoreHalfLife
		if r.score < knownThreshold/2 {
			r.score, r.decayedAt = 0, now
		}
	}
	return r.score
}

// Admit decides on a new connection. room is the number of free descriptors, without those reserved for flows that were
// already accepted. Each connection that was accepted has to be released once, when it closes.
func (c *Controller) Admit(key netip.Prefix, now int64, room int) Reason {
	reason := c.decide(key, now, room)
	c.Decisions[reason]++
	return reason
}

func (c *Controller) decide(key netip.Prefix, now int64, room int) Reason {
	r := c.find(key)
	known := r != nil && r.known && r.decayScore(now) >= knownThreshold
	if !known && room <= c.limits.Reserve {
		return ReservedForKnown
	}
	if r == nil {
		if !c.unknown.makeRoom() {
			return ReservedForKnown // unknown addresses with open connections fill the table: this one could not be counted
		}
		r = &addressRecord{key: key, tokens: c.limits.Burst, refilledAt: now}
	}
	addresses := c.unknown
	if r.known {
		addresses = c.known
	}
	r.lastUsedAt = now
	addresses.markUsed(r)
	if c.limits.PerAddress > 0 && r.openConnections >= c.limits.PerAddress {
		return TooManyConnections
	}
	if c.limits.Rate > 0 {
		r.tokens = min(r.tokens+c.limits.Rate*float64(max(now-r.refilledAt, 0))/float64(second), c.limits.Burst)
		r.refilledAt = max(now, r.refilledAt)
		if r.tokens < 1 {
			return RateExceeded
		}
		r.tokens--
	}
	r.openConnections++
	return Admitted
}

// Established records that a flow of an address was established. The address is known from then on.
func (c *Controller) Established(key netip.Prefix, now int64) {
	r := c.find(key)
	if r == nil {
		return
	}
	r.score = r.decayScore(now) + 1
	if !r.known {
		r.decayedAt = now
		if !c.known.makeRoom() {
			return
		}
		c.unknown.remove(r)
		r.known = true
	}
	c.known.markUsed(r)
}

// Release releases an accepted connection that has closed.
func (c *Controller) Release(key netip.Prefix) {
	if r := c.find(key); r != nil && r.openConnections > 0 {
		r.openConnections--
	}
}

// AddressCounts returns the number of addresses remembered, known and unknown.
func (c *Controller) AddressCounts() (known, unknown int) {
	return len(c.known.byAddress), len(c.unknown.byAddress)
}

// FairShares divides the capacity of a node among service types while the node is short of it. Each type has a share in
// proportion to its benefit, and what one type does not use goes to the others.
type FairShares struct {
	weights   []float64
	offered   []float64 // recent flows by service type, decaying exponentially over demandWindow
	credit    []float64 // fractions of flows that may be accepted, by service type
	updatedAt int64     // when offered was last decayed
}

// NewFairShares returns FairShares for service types with the given benefits.
func NewFairShares(benefit []float64) *FairShares {
	return &FairShares{
		weights: slices.Clone(benefit),
		offered: make([]float64, len(benefit)),
		credit:  make([]float64, len(benefit)),
	}
}

// Admit decides whether to accept a flow of a service type. shortfall is the share of all demand that the node cannot
// serve, from 0 to 1.
func (f *FairShares) Admit(serviceType int, now int64, shortfall float64) bool {
	if elapsed := now - f.updatedAt; elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(demandWindow))
		for i := range f.offered {
			f.offered[i] *= keep
		}
		f.updatedAt = now
	}
	f.offered[serviceType]++
	if shortfall <= 0 {
		return true
	}
	f.credit[serviceType] += f.admittedShare(serviceType, min(shortfall, 1))
	if f.credit[serviceType] < 1 {
		return false
	}
	f.credit[serviceType]--
	return true
}

// admittedShare returns the share of a type's flows that is accepted. Capacity is divided by weight. Types that want less
// than their share get all they want, and what they leave is divided among the others.
func (f *FairShares) admittedShare(serviceType int, shortfall float64) float64 {
	remaining := 0.0
	for _, o := range f.offered {
		remaining += o * (1 - shortfall)
	}
	filled := make([]bool, len(f.weights))
	for {
		totalWeight, changed := 0.0, false
		for i, w := range f.weights {
			if !filled[i] {
				totalWeight += w
			}
		}
		for i, w := range f.weights {
			if share := remaining * w / totalWeight; !filled[i] && f.offered[i] <= share {
				filled[i], changed = true, true
				remaining -= f.offered[i]
				break
			}
		}
		if filled[serviceType] {
			return 1
		}
		if !changed {
			return remaining * f.weights[serviceType] / totalWeight / f.offered[serviceType]
		}
	}
}
