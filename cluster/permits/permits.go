// Package permits keeps a number of something at once for the whole fleet: for each key, such as a client address or a
// host, no more than so many flows at all nodes together. It has no I/O and no clock.
//
// Each key has an owner, by its lease of the key's slot (package lease), which keeps a book of what each process may use.
// A process says what it uses and what it wants; the owner answers how much it may use and for how long. From the moment
// it asks until it is answered a process uses no more than it said. What is not renewed runs out on the user's clock
// before it does on the owner's. The bounds, for a limit of L and n nodes:
//
//	strict:    L at all nodes together, whatever fails. Whose permits have run out ends what it has, in that turn.
//	available: what stands goes on, and who can't ask lets pass up to its own part, L/n (one at least), so that all
//	           together have at most L·(1+c) + n, c being the nodes that can't ask, or could not when they let pass what
//	           still stands: each may have had all of L in hand.
//
// A new owner knows nothing: until all that the one before it may have given has run out it confirms what is in use and
// gives nothing new. A lost process's part is free again once it has run out: after Hold on the owner's clock.
package permits

import (
	"encoding/binary"
	"fmt"
	"slices"

	"coursewinch/cluster/lease"
)

const (
	ms     = int64(1000)
	second = 1000 * ms

	OwnerTerm      = 6 * second         // for which a permit counts at its owner;
	Use            = OwnerTerm * 8 / 10 // at its user, from before it asked
	newOwnerTerm   = OwnerTerm * 11 / 10
	renewAfter     = OwnerTerm / 3 // after the last answer it is asked for again
	retryInterval  = 60 * ms       // without an answer
	maxAttempts    = 3             // until what waits is told
	refusalTerm    = 50 * ms       // a key that was refused is refused without asking for so long
	sweepInterval  = 50 * ms
	maxTickStep    = 100 * ms // more between two turns is a jump of the clock, or a standstill: the owner's time does not go on by it
	maxUsedKeys    = 1 << 14  // keys that a process uses, and
	maxOwnedKeys   = 1 << 16  // that an owner has books of
	keysPerRequest = 64       // keys in a datagram

	requestKind      = 8
	replyKind        = 9
	headerSize       = 1 + 4 + 8 + 8 // kind, round, process that asks and that before it
	requestEntrySize = 8 + 2 + 2     // key, used, wanted
	replyEntrySize   = 8 + 2         // key, allowed
	maxCount         = 1<<16 - 1
)

// Limit is one limit: so many at once.
type Limit struct {
	Most   int
	Strict bool
}

// Check says why a limit can't be kept; nil where it can.
func (l Limit) Check() error {
	if l.Most < 1 || l.Most > maxCount {
		return fmt.Errorf("%d at once make no limit", l.Most)
	}
	return nil
}

// MaxWith is how many all of so many nodes have at most, while so many of them can't ask or have still what they let pass
// when they could not.
func (l Limit) MaxWith(nodes, cutOff int) int {
	if l.Strict {
		return l.Most
	}
	return l.Most*(1+cutOff) + nodes
}

// usage is what this process has of a key.
type usage struct {
	inUse         int
	reserve       int // wanted beyond
	allowed       int
	allowedUntil  int64 // on its own clock
	round         uint32
	requestedAt   int64 // of that round
	askedNode     int   // whom
	attempts      int   // without an answer
	waiters       []any
	nextRequestAt int64 // when it is asked for again
	refusedUntil  int64 // it is refused without asking until then
	cutOff        bool  // no answer came: the own part counts, where the limit is an available one
	takeoverUntil int64 // what was taken over from the process before counts until then,
	takenOverAt   int64 // the last of it
}

// ledgerEntry is what one process may use, as its owner has it booked.
type ledgerEntry struct {
	booked    int
	round     uint32
	expiresAt int64 // of ran
}

type ledger struct {
	ownedSince int64
	entries    map[uint64]*ledgerEntry // by process
}

// OwnerLookup says who owns a key's slot, as this process knows it.
type OwnerLookup interface {
	Mine(key uint64) (since, until int64, ok bool)
	Who(key uint64) int // else whom to ask: a belief; under 0 where nobody can be
}

// Answer is what became of one that waited.
type Answer struct {
	Waiter any
	Yes    bool
}

// Excess is what this process has of a key beyond what it may.
type Excess struct {
	Key uint64
	N   int
}

// Permits is one process's part.
type Permits struct {
	limit       Limit
	process     uint64
	nodes       int
	owner       OwnerLookup
	now         int64
	ownerTime   int64 // the owner's time: what passed in turns
	round       uint32
	nextSweepAt int64
	usages      map[uint64]*usage
	ledgers     map[uint64]*ledger
	decided     []Answer                               // for the next turn
	predecessor uint64                                 // the process of this node that hands over to this one; 0: none
	handingOver bool                                   // this one hands over
	slots       [lease.Slots]struct{ since, at int64 } // ownerships, and since when of ran

	Granted, Refused, Asked, Alone, Stray, Ended int64 // Alone: by the own part. Ended: told to be over
}

// New makes one process's part of a limit that Check has found right. Process must differ from that of any other process.
func New(limit Limit, process uint64, nodes int, owner OwnerLookup) *Permits {
	return &Permits{limit: limit, process: process, nodes: nodes, owner: owner, usages: map[uint64]*usage{}, ledgers: map[uint64]*ledger{}}
}

// Keys is how many keys this process uses, and of how many it keeps books.
func (p *Permits) Keys() (used, owned int) { return len(p.usages), len(p.ledgers) }

// Used is what this process has of all keys.
func (p *Permits) Used() (n int) {
	for _, u := range p.usages {
		n += u.inUse
	}
	return n
}

// Set changes the limit. What is over a lower one ends where it is strict, as its permits are asked for anew.
func (p *Permits) Set(limit Limit) {
	p.limit = limit
	for _, u := range p.usages {
		u.nextRequestAt = min(u.nextRequestAt, p.now)
	}
}

// Due tells whether Turn will look at all keys: what Keep is told just before goes by it.
func (p *Permits) Due(now int64) bool { return now >= p.nextSweepAt || now < p.now }

// Oldest is how long ago the owner of a key in use was last heard, the longest of all, microseconds.
func (p *Permits) Oldest() (age int64) {
	for _, u := range p.usages {
		if !u.isIdle() {
			age = max(age, p.now-(u.allowedUntil-Use))
		}
	}
	return age
}

// May is how much of a key this process may use now.
func (p *Permits) May(key uint64) int {
	if u := p.usages[key]; u != nil {
		return p.allowance(u)
	}
	return 0
}

func (p *Permits) allowance(u *usage) (allowed int) {
	if p.now < u.allowedUntil {
		allowed = u.allowed
	}
	if p.now < u.takeoverUntil {
		allowed = max(allowed, u.inUse) // it was in use before, and nothing new is let pass by it
	}
	if u.cutOff && !p.limit.Strict {
		allowed = max(allowed, p.limit.Most/p.nodes, 1)
	}
	return allowed
}

// Turn begins a turn of the loop: it asks for what is due, gives what became of those that waited too long, and tells what
// has to end: the caller does that in this turn, and says so by Done.
func (p *Permits) Turn(now int64, send func(to int, p []byte)) (decided []Answer, excess []Excess) {
	if now < p.now { // the clock went back: what was given may have run out
		for _, u := range p.usages {
			u.allowedUntil, u.nextRequestAt, u.requestedAt, u.refusedUntil = 0, now, now, 0
		}
		p.nextSweepAt = now
	}
	p.ownerTime += min(max(now-p.now, 0), maxTickStep)
	if p.now = now; now < p.nextSweepAt {
		return nil, nil
	}
	p.nextSweepAt = now + sweepInterval
	p.pruneLedgers()
	var due, idleOrOver []uint64
	for key, u := range p.usages {
		if now >= u.nextRequestAt || u.isIdle() || u.attempts >= maxAttempts && now-u.requestedAt >= retryInterval {
			due = append(due, key)
		}
		if u.isIdle() || p.limit.Strict && u.inUse > p.allowance(u) {
			idleOrOver = append(idleOrOver, key)
		}
	}
	slices.Sort(due) // so that it comes out the same every time
	slices.Sort(idleOrOver)
	for _, key := range due {
		if u := p.usages[key]; u.attempts >= maxAttempts && now-u.requestedAt >= retryInterval {
			u.cutOff = true
			p.settleWaiters(u)
		}
	}
	p.request(slices.DeleteFunc(due, func(key uint64) bool { u := p.usages[key]; return now < u.nextRequestAt && !u.isIdle() }), send)
	for _, key := range idleOrOver {
		u := p.usages[key]
		if n := u.inUse - p.allowance(u); n > 0 && p.limit.Strict {
			excess = append(excess, Excess{key, n})
			p.Ended += int64(n)
		}
		if u.isIdle() {
			delete(p.usages, key) // given back
		}
	}
	decided, p.decided = p.decided, nil
	return decided, excess
}

// pruneLedgers drops books of keys that are owned no more, and notes ownerships that are new.
func (p *Permits) pruneLedgers() {
	for slot := range p.slots {
		if since, _, ok := p.owner.Mine(uint64(slot)); ok {
			p.slotOwnedFrom(uint64(slot), since)
		}
	}
	for key, ledger := range p.ledgers {
		if since, _, ok := p.owner.Mine(key); !ok || since != ledger.ownedSince || p.dropExpired(ledger) {
			delete(p.ledgers, key)
		}
	}
}

func (u *usage) isIdle() bool { return u.inUse == 0 && u.reserve == 0 && len(u.waiters) == 0 }

// settleWaiters answers those that wait for as far as is allowed now, and the rest where nothing more is to come.
func (p *Permits) settleWaiters(u *usage) {
	for _, waiter := range u.waiters {
		granted := u.inUse < p.allowance(u)
		if granted {
			u.inUse++
		} else {
			u.refusedUntil = p.now + refusalTerm
		}
		p.count(granted, u)
		p.decided = append(p.decided, Answer{waiter, granted})
	}
	u.waiters = nil
}

func (p *Permits) count(granted bool, u *usage) {
	switch {
	case !granted:
		p.Refused++
	case u.cutOff:
		p.Alone++
		fallthrough
	default:
		p.Granted++
	}
}

// Take asks for one of a key. Yes and no are at once; else the waiter has its answer from a later Turn or Told. What was
// given is given back by Done.
func (p *Permits) Take(key uint64, waiter any, send func(to int, p []byte)) (granted, waiting bool) {
	u := p.usageOf(key)
	if u == nil || p.now < u.refusedUntil || p.handingOver {
		p.Refused++
		return false, false
	}
	_, _, owned := p.owner.Mine(key)
	if len(u.waiters) == 0 && !owned && !u.cutOff && u.inUse >= p.allowance(u) {
		u.waiters = append(u.waiters, waiter)
		if u.attempts == 0 {
			p.request([]uint64{key}, send)
		}
		return false, true
	}
	if len(u.waiters) > 0 && !owned {
		u.waiters = append(u.waiters, waiter)
		return false, true
	}
	if owned {
		u.reserve++ // asked for with what is in use
		p.request([]uint64{key}, send)
		u.reserve--
	}
	if granted = u.inUse < p.allowance(u); granted {
		u.inUse++
	} else {
		u.refusedUntil = p.now + refusalTerm
	}
	p.count(granted, u)
	return granted, false
}

// Yield is that another process of this node takes over: nothing new is let pass here, and what is given back is that
// one's.
func (p *Permits) Yield() { p.handingOver = true }

// Left is for how long what this process has of a key may be used, microseconds.
func (p *Permits) Left(key uint64) int64 {
	if u := p.usages[key]; u != nil {
		return max(u.allowedUntil-p.now, 0)
	}
	return 0
}

// TakeOver is that the process before this one hands over one of a key, that counts for so many microseconds still.
func (p *Permits) TakeOver(key, predecessor uint64, remaining int64) {
	u := p.usageOf(key)
	if u == nil {
		return
	}
	remaining = min(remaining, Use)
	if u.inUse == 0 || u.takeoverUntil <= p.now {
		u.takeoverUntil = p.now + remaining
	}
	p.predecessor, u.takeoverUntil, u.takenOverAt = predecessor, min(u.takeoverUntil, p.now+remaining), p.now
	u.inUse++
	u.nextRequestAt = p.now
}

// Done gives one back.
func (p *Permits) Done(key uint64) {
	if u := p.usages[key]; u != nil && u.inUse > 0 {
		if u.inUse--; p.handingOver {
			u.allowed = min(u.allowed, u.inUse)
		}
		u.nextRequestAt = min(u.nextRequestAt, max(u.requestedAt+retryInterval, p.now)) // others may want it
	}
}

// Keep says how many of a key are in use and how many more are wanted in hand: for what can't wait for an answer.
func (p *Permits) Keep(key uint64, inUse, reserve int) {
	if inUse == 0 && reserve == 0 && p.usages[key] == nil {
		return
	}
	u := p.usageOf(key)
	if u == nil {
		return
	}
	if u.reserve = reserve; inUse+reserve > u.allowed || inUse < u.inUse {
		u.nextRequestAt = min(u.nextRequestAt, max(u.requestedAt+retryInterval, p.now))
	}
	u.inUse = inUse
}

func (p *Permits) usageOf(key uint64) *usage {
	u := p.usages[key]
	if u == nil && len(p.usages) < maxUsedKeys {
		u = &usage{requestedAt: p.now, nextRequestAt: p.now}
		p.usages[key] = u
	}
	return u
}

// request says what is used and wanted of keys, those of one owner in one datagram as far as they fit. From here on no more
// is used than was said, until the answer.
func (p *Permits) request(keys []uint64, send func(to int, payload []byte)) {
	byOwner := map[int][]uint64{}
	var order []int
	for _, key := range keys {
		u := p.usages[key]
		u.allowed = min(u.allowed, u.inUse)
		u.attempts++
		u.requestedAt, u.nextRequestAt = p.now, p.now+min(retryInterval*int64(u.attempts), second)
		if since, _, ok := p.owner.Mine(key); ok {
			p.round++
			u.round = p.round
			allowed, _ := p.allocate(key, since, p.process, p.predecessor, p.round, u.inUse, u.wanted())
			p.applyReply(u, allowed)
			p.settleWaiters(u)
			continue
		}
		to := p.owner.Who(key)
		if to < 0 {
			u.round = 0
			continue
		}
		if u.askedNode = to; byOwner[to] == nil {
			order = append(order, to)
		}
		byOwner[to] = append(byOwner[to], key)
	}
	for _, to := range order {
		for chunk := range slices.Chunk(byOwner[to], keysPerRequest) {
			p.round++
			payload := binary.LittleEndian.AppendUint32([]byte{requestKind}, p.round)
			payload = binary.LittleEndian.AppendUint64(payload, p.process)
			payload = binary.LittleEndian.AppendUint64(payload, p.predecessor)
			for _, key := range chunk {
				u := p.usages[key]
				u.round = p.round
				payload = binary.LittleEndian.AppendUint64(payload, key)
				payload = binary.LittleEndian.AppendUint16(payload, uint16(min(u.inUse, maxCount)))
				payload = binary.LittleEndian.AppendUint16(payload, uint16(min(u.wanted(), maxCount)))
			}
			p.Asked++
			send(to, payload)
		}
	}
}

func (u *usage) wanted() int { return u.inUse + len(u.waiters) + u.reserve }

// applyReply takes in what an owner allows.
func (p *Permits) applyReply(u *usage, allowed int) {
	u.allowed, u.allowedUntil, u.attempts, u.cutOff = allowed, u.requestedAt+Use, 0, false
	if u.requestedAt > u.takenOverAt {
		u.takeoverUntil = 0 // the owner knows of it
	}
	u.nextRequestAt = u.requestedAt + renewAfter
}

// slotOwnedFrom is since when, of ran, this process has a slot under its ownership.
func (p *Permits) slotOwnedFrom(key uint64, since int64) int64 {
	slot := &p.slots[key%lease.Slots]
	if slot.since != since || slot.at == 0 {
		slot.since, slot.at = since, p.ownerTime+1
	}
	return slot.at
}

// dropExpired takes out of a book what has run out; true where nothing is left.
func (p *Permits) dropExpired(ledger *ledger) bool {
	for process, entry := range ledger.entries {
		if p.ownerTime >= entry.expiresAt {
			delete(ledger.entries, process)
		}
	}
	return len(ledger.entries) == 0
}

// allocate books what a process uses and wants of a key that this one owns; false where it has said something newer.
func (p *Permits) allocate(key uint64, since int64, process, predecessor uint64, round uint32, inUse, wanted int) (allowed int, ok bool) {
	ownedFrom := p.slotOwnedFrom(key, since)
	keyLedger := p.ledgers[key]
	if keyLedger == nil || keyLedger.ownedSince != since {
		if keyLedger == nil && len(p.ledgers) >= maxOwnedKeys {
			return 0, true
		}
		keyLedger = &ledger{ownedSince: since, entries: map[uint64]*ledgerEntry{}}
		p.ledgers[key] = keyLedger
	}
	p.dropExpired(keyLedger)
	entry := keyLedger.entries[process]
	if entry != nil && int32(round-entry.round) <= 0 {
		return 0, false
	}
	before := 0
	if entry != nil {
		before = entry.booked
	}
	if other := keyLedger.entries[predecessor]; other != nil && predecessor != process {
		other.booked -= min(other.booked, max(inUse-before, 0)) // handed over
	}
	free := p.limit.Most
	for otherProcess, other := range keyLedger.entries {
		if otherProcess != process {
			free -= other.booked
		}
	}
	if allowed = min(max(inUse, wanted), max(free, 0)); p.ownerTime < ownedFrom+newOwnerTerm {
		allowed = min(allowed, inUse) // the owner before may have given the rest
	}
	booked := allowed
	if !p.limit.Strict {
		booked = max(allowed, inUse) // it goes on, and counts
	}
	if booked == 0 && entry == nil {
		return 0, true
	}
	keyLedger.entries[process] = &ledgerEntry{booked, round, p.ownerTime + OwnerTerm}
	return allowed, true
}

// TakeAsk takes what a process of another node asks; answer goes back to it. False for what is no such.
func (p *Permits) TakeAsk(process uint64, payload []byte, answer func(payload []byte)) bool {
	if len(payload) < headerSize+requestEntrySize || payload[0] != requestKind || (len(payload)-headerSize)%requestEntrySize != 0 {
		return false
	}
	round, predecessor := binary.LittleEndian.Uint32(payload[1:]), binary.LittleEndian.Uint64(payload[13:])
	if binary.LittleEndian.Uint64(payload[5:]) != process {
		p.Stray++ // nobody asks for another
		return true
	}
	reply := append([]byte{replyKind}, payload[1:headerSize]...)
	for rest := payload[headerSize:]; len(rest) > 0; rest = rest[requestEntrySize:] {
		key := binary.LittleEndian.Uint64(rest)
		since, _, ok := p.owner.Mine(key)
		if !ok {
			p.Stray++
			continue
		}
		allowed, ok := p.allocate(key, since, process, predecessor, round, int(binary.LittleEndian.Uint16(rest[8:])), int(binary.LittleEndian.Uint16(rest[10:])))
		if ok {
			reply = binary.LittleEndian.AppendUint64(reply, key)
			reply = binary.LittleEndian.AppendUint16(reply, uint16(allowed))
		}
	}
	if len(reply) > headerSize {
		answer(reply)
	}
	return true
}

// Told takes what the so-many-th node allows. What was not asked of it, or was asked anew, is counted and dropped.
func (p *Permits) Told(from int, payload []byte) (decided []Answer, ok bool) {
	if len(payload) < headerSize+replyEntrySize || payload[0] != replyKind || (len(payload)-headerSize)%replyEntrySize != 0 {
		return nil, false
	}
	round, process := binary.LittleEndian.Uint32(payload[1:]), binary.LittleEndian.Uint64(payload[5:])
	for rest := payload[headerSize:]; len(rest) > 0; rest = rest[replyEntrySize:] {
		key, allowed := binary.LittleEndian.Uint64(rest), int(binary.LittleEndian.Uint16(rest[8:]))
		u := p.usages[key]
		if u == nil || u.round != round || u.attempts == 0 || process != p.process || u.askedNode != from || allowed > p.limit.Most {
			p.Stray++
			continue
		}
		p.applyReply(u, allowed)
		if p.now < u.allowedUntil {
			p.settleWaiters(u)
		}
	}
	decided, p.decided = p.decided, nil
	return decided, true
}
