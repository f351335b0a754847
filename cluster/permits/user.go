package permits

import "slices"

// usage is what this process uses and is allowed of one key.
type usage struct {
	inUse         int
	reserve       int   // wanted in addition
	allowed       int   // by the owner's last reply, and from a later request on no more than were in use then
	allowedUntil  int64 // on the clock of this process
	round         uint32
	requestedAt   int64 // time of the latest request
	askedNode     int
	attempts      int // requests without a reply
	waiters       []any
	nextRequestAt int64
	refusedUntil  int64 // refused without a request until then
	cutOff        bool  // the owner does not reply: the local share applies, if the limit is an available one
	takeoverUntil int64 // permits taken over from the predecessor count until then
	takenOverAt   int64 // when the last of them was taken over
}

func (u *usage) isIdle() bool { return u.inUse == 0 && u.reserve == 0 && len(u.waiters) == 0 }

// wanted returns the number of permits to request.
func (u *usage) wanted() int { return u.inUse + len(u.waiters) + u.reserve }

// usageOf returns the usage of a key, which it makes if need be; nil if there are too many keys.
func (p *Permits) usageOf(key uint64) *usage {
	u := p.usages[key]
	if u == nil && len(p.usages) < maxUsedKeys {
		u = &usage{requestedAt: p.now, nextRequestAt: p.now}
		p.usages[key] = u
	}
	return u
}

// Allowed returns how many permits of a key this process may use now.
func (p *Permits) Allowed(key uint64) int {
	if u := p.usages[key]; u != nil {
		return p.allowance(u)
	}
	return 0
}

// allowance returns how many permits may be used now: those the owner allows, those taken over, or the local share.
func (p *Permits) allowance(u *usage) (allowed int) {
	if p.now < u.allowedUntil {
		allowed = u.allowed
	}
	if p.now < u.takeoverUntil {
		allowed = max(allowed, u.inUse) // these flows had permits before; nothing new is admitted by it
	}
	if u.cutOff && !p.limit.Strict {
		allowed = max(allowed, p.limit.Max/p.nodes, 1)
	}
	return allowed
}

// Acquire takes one permit of a key. If waiting is false, granted is the decision; otherwise the waiter's decision is
// returned by a later call that advances the clock or handles a reply. A permit that was granted has to be released
// after use.
func (p *Permits) Acquire(key uint64, waiter any, send func(to int, p []byte)) (granted, waiting bool) {
	u := p.usageOf(key)
	if u == nil || p.now < u.refusedUntil || p.handingOver {
		p.Refused++
		return false, false
	}
	_, _, owned := p.owner.OwnedHere(key)
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
		u.reserve++ // the permit to be taken is requested with those in use
		p.request([]uint64{key}, send)
		u.reserve--
	}
	granted = p.useOne(u)
	return granted, false
}

// useOne puts one more permit to use if that is allowed, and counts the decision.
func (p *Permits) useOne(u *usage) (granted bool) {
	granted = u.inUse < p.allowance(u)
	if granted {
		u.inUse++
	} else {
		u.refusedUntil = p.now + refusalTerm
	}
	p.count(granted, u)
	return granted
}

// count counts a decision.
func (p *Permits) count(granted bool, u *usage) {
	switch {
	case !granted:
		p.Refused++
	case u.cutOff:
		p.GrantedLocally++
		fallthrough
	default:
		p.Granted++
	}
}

// settleWaiters decides for all waiters of a key: it grants as many permits as are allowed now and refuses the rest.
func (p *Permits) settleWaiters(u *usage) {
	for _, waiter := range u.waiters {
		granted := p.useOne(u)
		p.decided = append(p.decided, Decision{waiter, granted})
	}
	u.waiters = nil
}

// Release releases one permit of a key.
func (p *Permits) Release(key uint64) {
	if u := p.usages[key]; u != nil && u.inUse > 0 {
		u.inUse--
		if p.handingOver {
			u.allowed = min(u.allowed, u.inUse)
		}
		u.nextRequestAt = min(u.nextRequestAt, max(u.requestedAt+retryInterval, p.now)) // other processes may want it
	}
}

// SetUsage sets how many permits of a key are in use and how many more should be held in reserve. It is for users that
// can't wait for a reply.
func (p *Permits) SetUsage(key uint64, inUse, reserve int) {
	if inUse == 0 && reserve == 0 && p.usages[key] == nil {
		return
	}
	u := p.usageOf(key)
	if u == nil {
		return
	}
	u.reserve = reserve
	if inUse+reserve > u.allowed || inUse < u.inUse {
		u.nextRequestAt = min(u.nextRequestAt, max(u.requestedAt+retryInterval, p.now))
	}
	u.inUse = inUse
}

// StopGranting prepares the handover to a successor process of this node. This process admits nothing new, and permits
// that are released here are left to the successor.
func (p *Permits) StopGranting() { p.handingOver = true }

// ResumeGranting undoes StopGranting where the successor process has ended. The permits that it had are free again when they
// expire.
func (p *Permits) ResumeGranting() { p.handingOver = false }

// Remaining returns for how long the permits of a key may still be used, in microseconds.
func (p *Permits) Remaining(key uint64) int64 {
	if u := p.usages[key]; u != nil {
		return max(u.allowedUntil-p.now, 0)
	}
	return 0
}

// TakeOver takes over one permit in use from the predecessor process. It counts for the remaining time, in microseconds,
// until the owner has confirmed it.
func (p *Permits) TakeOver(key, predecessor uint64, remaining int64) {
	u := p.usageOf(key)
	if u == nil {
		return
	}
	remaining = min(remaining, UserTerm)
	if u.inUse == 0 || u.takeoverUntil <= p.now {
		u.takeoverUntil = p.now + remaining
	}
	p.predecessor = predecessor
	u.takeoverUntil = min(u.takeoverUntil, p.now+remaining)
	u.takenOverAt = p.now
	u.inUse++
	u.nextRequestAt = p.now
}

// clockWentBack lets all permits expire, because they may have expired already.
func (p *Permits) clockWentBack(now int64) {
	for _, u := range p.usages {
		u.allowedUntil = 0
		u.nextRequestAt = now
		u.requestedAt = now
		u.refusedUntil = 0
	}
	p.nextSweepAt = now
}

// isUnanswered reports whether the owner has left all attempts without a reply.
func (p *Permits) isUnanswered(u *usage) bool {
	return u.attempts >= maxAttempts && p.now-u.requestedAt >= retryInterval
}

// keysToHandle returns the keys whose request is due or unanswered, and those that are idle or use more than they are
// allowed. Both are sorted, so that a run can be reproduced.
func (p *Permits) keysToHandle() (due, idleOrOver []uint64) {
	for key, u := range p.usages {
		if p.now >= u.nextRequestAt || u.isIdle() || p.isUnanswered(u) {
			due = append(due, key)
		}
		if u.isIdle() || p.limit.Strict && u.inUse > p.allowance(u) {
			idleOrOver = append(idleOrOver, key)
		}
	}
	slices.Sort(due)
	slices.Sort(idleOrOver)
	return due, idleOrOver
}

// revokeExcessAndDropIdle returns the flows to end, and drops the usage of idle keys, whose permits have been given back.
func (p *Permits) revokeExcessAndDropIdle(keys []uint64) (excess []Excess) {
	for _, key := range keys {
		u := p.usages[key]
		if n := u.inUse - p.allowance(u); n > 0 && p.limit.Strict {
			excess = append(excess, Excess{key, n})
			p.Revoked += int64(n)
		}
		if u.isIdle() {
			delete(p.usages, key)
		}
	}
	return excess
}

// request reports the use and demand of keys to their owners. From here until the reply no more is used than was reported.
func (p *Permits) request(keys []uint64, send func(to int, payload []byte)) {
	byOwner := map[int][]uint64{}
	var order []int
	for _, key := range keys {
		u := p.usages[key]
		u.allowed = min(u.allowed, u.inUse)
		u.attempts++
		u.requestedAt = p.now
		u.nextRequestAt = p.now + min(retryInterval*int64(u.attempts), second)
		if since, _, ok := p.owner.OwnedHere(key); ok {
			p.round++
			u.round = p.round
			allowed, _ := p.allocate(key, since, p.process, p.predecessor, p.round, u.inUse, u.wanted())
			p.applyReply(u, allowed)
			p.settleWaiters(u)
			continue
		}
		to := p.owner.LikelyOwner(key)
		if to < 0 {
			u.round = 0
			continue
		}
		u.askedNode = to
		if byOwner[to] == nil {
			order = append(order, to)
		}
		byOwner[to] = append(byOwner[to], key)
	}
	for _, to := range order {
		p.sendRequests(to, byOwner[to], send)
	}
}

// applyReply records the owner's reply to the latest request for a key.
func (p *Permits) applyReply(u *usage, allowed int) {
	u.allowed = allowed
	u.allowedUntil = u.requestedAt + UserTerm
	u.attempts = 0
	u.cutOff = false
	if u.requestedAt > u.takenOverAt {
		u.takeoverUntil = 0 // the owner knows of what was taken over
	}
	u.nextRequestAt = u.requestedAt + renewAfter
}
