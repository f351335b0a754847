package limits

import "encoding/binary"

// bucket is the token bucket of a key, at its owner or as a local share.
type bucket struct {
	tokens     float64
	filledAt   int64
	ownedSince int64 // start of the ownership that the bucket was made under
}

// refill adds the tokens that have accrued since the last refill.
func (b *bucket) refill(now int64, rate, capacity float64) {
	b.tokens = min(b.tokens+rate*float64(max(now-b.filledAt, 0))/float64(second), capacity)
	b.filledAt = max(now, b.filledAt)
}

// tokensOr returns the tokens of the bucket, or the fallback if there is no bucket.
func (b *bucket) tokensOr(fallback float64) float64 {
	if b == nil {
		return fallback
	}
	return b.tokens
}

// dropFull removes full buckets from a table: a bucket made anew would be full as well.
func (l *Limits) dropFull(buckets map[uint64]*bucket, rate, capacity float64) {
	if l.now-l.sweptAt < sweepInterval && l.now >= l.sweptAt {
		return // in a flood of new keys, not every flow may cost a pass over the table
	}
	l.sweptAt = l.now
	for key, b := range buckets {
		if b.refill(l.now, rate, capacity); b.tokens >= capacity {
			delete(buckets, key)
		}
	}
}

// handOut takes up to the wanted number of tokens from the bucket of a key that this process owns.
func (l *Limits) handOut(key uint64, wanted int, since, until int64) (count int) {
	b := l.owned[key]
	limit := l.limitAt(key)
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
		// The bucket has filled since this ownership began, as the key has not been requested in it before.
		b = &bucket{filledAt: since, ownedSince: since}
		l.owned[key] = b
	}
	b.refill(l.now, limit.Rate, limit.capacity())
	if until-l.now < min(minHold, max(limit.hold(), 0)) {
		return 0 // tokens must expire before the lease does
	}
	count = min(wanted, int(b.tokens))
	b.tokens -= float64(count)
	return count
}

// HandleRequest handles a request of another node. The reply is sent back by the answer function. It returns false if
// the payload is not a request.
func (l *Limits) HandleRequest(payload []byte, answer func(payload []byte)) bool {
	if len(payload) != requestSize || payload[0] != requestKind {
		return false
	}
	key := binary.LittleEndian.Uint64(payload[13:])
	wanted := int(binary.LittleEndian.Uint16(payload[21:]))
	since, until, ok := l.owner.OwnedHere(key)
	if !ok {
		l.Discarded++
		return true // the requester times out and asks again or decides locally
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
