package overload

import "coursewinch/balance"

// coldSlotDue reports whether this node may send a flow to a cold host now. In overload hosts hold more flows than fill
// them, so that the decision module's budget, which goes by the number of flows held, is too large for cold hosts.
// Instead a share of the rate that the cold-start rule allows all nodes is divided among them by their demand, in slots at
// random times. A slot that is not used at once lapses.
func (c *Controller) coldSlotDue(h *host) bool {
	if c.usesGrants != nil && c.usesGrants(h.server) && c.ColdRate(h.server) > 0 {
		return c.now < h.grantUntil
	}
	// While nothing says how much load the host may hold, each call draws a slot anew, so that none comes due.
	if h.allowedLoad == 0 || h.coldSlotStart != h.server.Started {
		h.coldSlotStart = h.server.Started
		h.coldSlotAt = c.drawColdSlot(h)
	}
	if c.now > h.coldSlotAt+coldSlotLifetime {
		h.coldSlotAt = c.drawColdSlot(h)
	}
	return c.now >= h.coldSlotAt
}

// drawColdSlot draws the time of this node's next cold-start slot at a host.
func (c *Controller) drawColdSlot(h *host) int64 {
	capacity := h.allowedLoad / targetFill // at the host's present warm share
	if capacity <= 0 || c.usualFlowLoad <= 0 {
		return c.now + c.rng.Int63n(coldSlotLifetime) + coldSlotLifetime // the rate is unknown: in one to two seconds
	}
	share := c.ownDemandShare
	if c.usesGrants != nil {
		share = 1 / float64(max(c.nodes, 1)) // the grants that other nodes may get leave room for no more
	}
	rate := coldRateShare * c.settings.FallMultiple * capacity / c.usualFlowLoad /
		(float64(max(c.settings.ColdTime, second)) / float64(second)) * share
	return c.now + int64(min(c.rng.ExpFloat64()/max(rate, 1e-6), 1e4)*float64(second))
}

// ColdRate returns how many flows a second all nodes together may send to a server while it is cold, as far as this node
// knows; 0 if the server is not cold or the rate is unknown. In ColdTime, but at least a second, the cold-start rule allows
// FallMultiple times the flows that saturate the server at its present warm share.
func (c *Controller) ColdRate(s *balance.Server) float64 {
	h := c.hosts[s]
	if h == nil || c.meanFlowLoad <= 0 || c.warmShare(h) == 1 {
		return 0
	}
	capacity := h.capacity
	if capacity == 0 {
		capacity = c.capacityPerSize * s.Size
	}
	return c.settings.FallMultiple * capacity * c.warmShare(h) / c.meanFlowLoad / (float64(max(c.settings.ColdTime, second)) / float64(second))
}

// UseColdGrants makes flows to cold servers wait for grants of the fleet, for the servers for which usesGrants returns
// true and whose ColdRate is known. Otherwise this node uses random cold-start slots by an estimate of its share.
func (c *Controller) UseColdGrants(usesGrants func(*balance.Server) bool) { c.usesGrants = usesGrants }

// HasRoom reports whether a cold server would have room for a flow if the flow had a grant.
func (c *Controller) HasRoom(s *balance.Server, f *balance.Flow) bool {
	h := c.hosts[s]
	return h != nil && h.suspension.Reasons == 0 && (h.allowedLoad == 0 || h.allowedLoad-h.reportedLoad-s.OwnLoad() >= f.Load())
}

// SetColdGrant lets one flow go to a cold server until the given time. During overload this has to be the given flow, whose
// admission was drawn; otherwise it may be any.
func (c *Controller) SetColdGrant(s *balance.Server, f *balance.Flow, until int64) {
	if h := c.hosts[s]; h != nil {
		if h.grantUntil = until; c.Overloaded() {
			c.grantedServer[f] = s
		}
	}
}

// ForgetFlow drops what is kept of a flow that has ended or has been placed.
func (c *Controller) ForgetFlow(f *balance.Flow) {
	delete(c.draws, f)
	delete(c.grantedServer, f)
}

// HasColdGrant reports whether a flow may go to a cold server by a grant of the fleet.
func (c *Controller) HasColdGrant(s *balance.Server) bool {
	h := c.hosts[s]
	return h != nil && c.usesGrants != nil && c.now < h.grantUntil
}

// ObserveConnect records a connect to a server: a cold one has used its slot or grant.
func (c *Controller) ObserveConnect(s *balance.Server) {
	if h := c.hosts[s]; h != nil && c.warmShare(h) < 1 {
		h.coldSlotAt, h.grantUntil = c.drawColdSlot(h), 0
	}
}
