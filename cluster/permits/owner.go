package permits

import "coursewinch/cluster/lease"

// ledger is the owner's record of a key.
type ledger struct {
	ownedSince int64                   // start of the ownership that the ledger was made under
	entries    map[uint64]*ledgerEntry // by process
}

// ledgerEntry is what one process may use.
type ledgerEntry struct {
	booked    int
	round     uint32
	expiresAt int64 // in the owner's time
}

// slotOwnership is the ownership of a slot by this process.
type slotOwnership struct {
	since     int64 // start of the ownership, as the lease has it
	ownedFrom int64 // the owner's time when this process first saw it; 0: never
}

// slotOwnedFrom returns since when, in the owner's time, this process has owned the slot of a key.
func (p *Permits) slotOwnedFrom(key uint64, since int64) int64 {
	slot := &p.slots[key%lease.Slots]
	if slot.since != since || slot.ownedFrom == 0 {
		slot.since = since
		slot.ownedFrom = p.ownerTime + 1
	}
	return slot.ownedFrom
}

// pruneLedgers notes new ownerships, and drops ledgers that are empty or of keys that are no longer owned.
func (p *Permits) pruneLedgers() {
	for slot := range p.slots {
		if since, _, ok := p.owner.OwnedHere(uint64(slot)); ok {
			p.slotOwnedFrom(uint64(slot), since)
		}
	}
	for key, keyLedger := range p.ledgers {
		if since, _, ok := p.owner.OwnedHere(key); !ok || since != keyLedger.ownedSince || p.dropExpired(keyLedger) {
			delete(p.ledgers, key)
		}
	}
}

// dropExpired removes expired entries from a ledger and reports whether none is left.
func (p *Permits) dropExpired(keyLedger *ledger) bool {
	for process, entry := range keyLedger.entries {
		if p.ownerTime >= entry.expiresAt {
			delete(keyLedger.entries, process)
		}
	}
	return len(keyLedger.entries) == 0
}

// allocate books what a process uses and wants of a key that this process owns, and returns how many permits it is allowed.
// It returns ok false if this request of the process, or a newer one, is booked already.
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
		other.booked -= min(other.booked, max(inUse-before, 0)) // taken over from the predecessor
	}
	free := p.limit.Max
	for otherProcess, other := range keyLedger.entries {
		if otherProcess != process {
			free -= other.booked
		}
	}
	allowed = min(max(inUse, wanted), max(free, 0))
	if p.ownerTime < ownedFrom+newOwnerTerm {
		allowed = min(allowed, inUse) // the previous owner may have granted the rest
	}
	booked := allowed
	if !p.limit.Strict {
		booked = max(allowed, inUse) // flows beyond the allowance go on, and count
	}
	if booked == 0 && entry == nil {
		return 0, true
	}
	keyLedger.entries[process] = &ledgerEntry{booked, round, p.ownerTime + OwnerTerm}
	return allowed, true
}
