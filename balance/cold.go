package balance

// warmShare is the share of its size that a server can carry by now. It guards a server that has just started against a
// full share of load.
func (b *Balancer) warmShare(s *Server) float64 {
	if end := s.Started + b.settings.ColdTime; s.Started > 0 && b.now < end {
		return 1 - (1-b.settings.ColdFrom)*float64(end-b.now)/float64(b.settings.ColdTime)
	}
	return 1
}

// WarmShare is the share of its size that a server can carry by now.
func (b *Balancer) WarmShare(s *Server) float64 { return b.warmShare(s) }

// deferredByWarmUp reports whether a server is left out now: a cold one by its cold-start budget, a recovered one by
// the random draw of its ramp.
func (b *Balancer) deferredByWarmUp(s *Server, f *Flow) bool {
	if b.bounds.HasColdGrant(s) {
		return false
	}
	if warm := b.warmShare(s); warm < 1 {
		if b.sparseFleet() && f.Group != nil && f.Hash > 0 && b.settings.FallTime > 0 {
			if !b.drawColdStartSlot(f, s, warm) {
				return true
			}
		} else if b.awaitsColdStartSlot(s, warm) {
			return true
		}
	}
	return b.now < s.rampEnd && b.rng.Float64() >= 1-(1-rampStartShare)*float64(s.rampEnd-b.now)/rampDuration
}

// awaitsColdStartSlot reports whether the cold-start budget has no slot yet for a connect to a cold server. It guards
// against all nodes together overloading the server: over its warm-up it takes as many flows as a server like it holds,
// times FallMultiple and coldBudgetFactor, scaled by its warm share. Each node takes its part at random moments. Slots
// that are not used lapse after coldBudgetKeptSeconds.
func (b *Balancer) awaitsColdStartSlot(s *Server, warm float64) bool {
	budget := &s.coldStart
	rate := coldBudgetFactor * b.settings.FallMultiple * warm * b.flowsPerServer * second / float64(b.settings.ColdTime)
	budget.accrued += rate * float64(b.now-budget.updatedAt) / second
	budget.updatedAt = b.now
	if budget.accrued > budget.nextSlot+coldBudgetKeptSeconds*rate {
		budget.nextSlot = budget.accrued - coldBudgetKeptSeconds*rate + b.rng.ExpFloat64()
	}
	return budget.accrued < budget.nextSlot
}

// drawColdStartSlot reports whether the flow may go to a cold server now. The number that it draws comes from hashes and is
// the same at every node; only burstPerServer is the node's own estimate. In a sparse fleet no node knows of the others'
// flows, and without a common draw a crowd of clients that returns again and again, at node after node, would overload the
// server. Of as many clients as a server like this one holds, no more are admitted within FallTime than the server can carry
// in that time. Each preferred server draws from the whole group, so the larger the group, the smaller the admitted share.
func (b *Balancer) drawColdStartSlot(f *Flow, s *Server, warm float64) bool {
	fall := uint64(b.settings.FallTime)
	part := b.settings.FallMultiple * warm * float64(fall) / float64(b.settings.ColdTime)
	period := (uint64(b.now) + f.Hash%fall) / fall * hashMultiplier // of FallTime, with a start that differs by flow
	return hashFraction(f.Hash^s.Hash^period) < part/f.Group.burstPerServer
}
