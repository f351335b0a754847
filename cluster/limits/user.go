package limits

import (
	"encoding/binary"
	"math"
)

// Datagram kinds and sizes in bytes.
const (
	requestKind = 4
	replyKind   = 5
	requestSize = 1 + 4 + 8 + 8 + 2   // kind, round, requesting process, key, tokens wanted
	replySize   = requestSize + 4 + 4 // the same, but tokens handed out; their lifetime, time until the next token (microseconds)
)

// pendingRequest is a request that awaits its reply.
type pendingRequest struct {
	round       uint32
	requestedAt int64 // when it was made or last repeated; the lifetime of its tokens counts from then
	wanted      int
	askedNode   int
	waiters     []any
	attempts    int
}

// Acquire takes one token of a key. If waiting is false, granted is the decision; otherwise the waiter's decision is
// returned by a later call that advances the clock or handles a reply. The send function transmits a request to the
// node with the given index.
func (l *Limits) Acquire(key uint64, waiter any, send func(to int, p []byte)) (granted, waiting bool) {
	if l.now < l.refusedUntil[key] {
		l.count(false)
		return false, false
	}
	if since, until, ok := l.owner.OwnedHere(key); ok {
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

// sendRequest sends a request for all current waiters of a key. While no node can be asked it only counts the attempt.
func (l *Limits) sendRequest(key uint64, request *pendingRequest, send func(to int, payload []byte)) {
	request.attempts++
	to := l.owner.LikelyOwner(key)
	if to < 0 {
		return
	}
	l.round++
	request.round = l.round | 1<<31
	request.wanted = len(request.waiters)
	request.askedNode = to
	l.RequestsSent++
	payload := binary.LittleEndian.AppendUint32([]byte{requestKind}, request.round)
	payload = binary.LittleEndian.AppendUint64(payload, l.process)
	payload = binary.LittleEndian.AppendUint64(payload, key)
	send(to, binary.LittleEndian.AppendUint16(payload, uint16(min(request.wanted, math.MaxUint16))))
}

// Tick advances the clock and returns the decisions for waiters whose requests have timed out. It is called once per loop
// iteration. A request without a reply is sent again; tokens handed out to the earlier attempt are lost.
func (l *Limits) Tick(now int64, send func(to int, p []byte)) (decided []Decision) {
	if now < l.now { // the clock went back: tokens may have expired
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

// settleLocally decides for the waiters of a request that no owner answered.
func (l *Limits) settleLocally(key uint64, request *pendingRequest) (decided []Decision) {
	for _, waiter := range request.waiters {
		granted := !l.limit.Strict && l.takeShare(key)
		l.count(granted)
		decided = append(decided, Decision{waiter, granted, 0})
	}
	return decided
}

// takeShare takes one token of the local share of a key.
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
	l.GrantedLocally++
	return true
}

// HandleReply handles a reply of the node with the given index and returns the decisions for waiters. A reply that does
// not match a pending request is counted and dropped. It returns ok false if the payload is not a reply.
func (l *Limits) HandleReply(from int, payload []byte, send func(to int, payload []byte)) (decided []Decision, ok bool) {
	if len(payload) != replySize || payload[0] != replyKind {
		return nil, false
	}
	round := binary.LittleEndian.Uint32(payload[1:])
	process := binary.LittleEndian.Uint64(payload[5:])
	key := binary.LittleEndian.Uint64(payload[13:])
	count := int(binary.LittleEndian.Uint16(payload[21:]))
	hold := int64(binary.LittleEndian.Uint32(payload[23:]))
	retryAfter := int64(binary.LittleEndian.Uint32(payload[27:]))
	request := l.pending[key]
	if request == nil || request.round != round || process != l.process || request.askedNode != from ||
		count > request.wanted || hold > maxHold {
		l.Discarded++
		return nil, true
	}
	delete(l.pending, key)
	expiresAt := request.requestedAt + int64(float64(hold)*holderShare)
	if l.now >= expiresAt {
		count = 0 // the tokens expired on their way
	}
	asked := min(request.wanted, len(request.waiters))
	for i, waiter := range request.waiters[:asked] {
		granted := i < count
		l.count(granted)
		decided = append(decided, Decision{waiter, granted, expiresAt})
	}
	if count < request.wanted {
		if len(l.refusedUntil) >= maxKeys {
			clear(l.refusedUntil) // the owner refuses these keys again when they are requested
		}
		l.refusedUntil[key] = l.now + max(retryAfter, minRefusal)
	}
	for _, waiter := range request.waiters[asked:] { // those that came after the request was sent
		if count < request.wanted {
			l.count(false)
			decided = append(decided, Decision{waiter, false, 0})
			continue
		}
		if granted, waiting := l.Acquire(key, waiter, send); !waiting {
			decided = append(decided, Decision{waiter, granted, 0})
		}
	}
	return decided, true
}
