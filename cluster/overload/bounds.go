package overload

import "coursewinch/balance"

// The decision module reads its bounds through this interface.
var _ balance.Bounds = (*Controller)(nil)

// RoomProbability returns the probability with which a server is taken to have room for a flow. During overload servers
// with less free room than others are taken less often: this protects the server that looks emptiest to all nodes at
// once.
func (c *Controller) RoomProbability(s *balance.Server, f *balance.Flow) float64 {
	h := c.hosts[s]
	if h == nil {
		return 1
	}
	if granted := c.grantedServer[f]; granted != nil && granted != s && f.Connects == 0 && c.HasColdGrant(granted) && c.HasRoom(granted, f) {
		return 0 // the flow has a grant for another server that has room
	}
	if c.isWithheld(h, f) {
		return 0
	}
	if c.linkedShare > 0 && h.reportedLoad+s.OwnLoad()+f.Load() > maxRelativeLoad*c.loadPerSize*s.Size+f.Load() {
		return 0
	}
	if c.warmShare(h) < 1 && !c.coldSlotDue(h) {
		return 0
	}
	if h.allowedLoad == 0 {
		return 1
	}
	limit := h.allowedLoad
	if c.Overloaded() && c.linkedShare > 0 {
		limit = min(limit, maxRelativeFill*c.meanFill*limit+f.Load()) // otherwise hosts that every node ranks last would stay idle
	}
	room := limit - h.reportedLoad - s.OwnLoad()
	if room <= 0 {
		return 0
	}
	if probability := room / max(f.Load(), 1); probability < 1 {
		return probability
	}
	if c.Overloaded() && c.meanFreeRoom > 0 {
		return min(room/c.meanFreeRoom, 1)
	}
	return 1
}

// isWithheld reports whether a host may not get a flow, whatever room it has: the host is suspended, has just rejected a
// flow of this node, has rejected one of another node and the flow is a retry, or is late while most others are not.
func (c *Controller) isWithheld(h *host, f *balance.Flow) bool {
	return h.suspension.Reasons != 0 ||
		h.rejectionReported && f.Connects > 0 ||
		h.rejectedAt > 0 && c.now-h.rejectedAt < rejectionHold ||
		c.isLate(h) && !c.mostHostsLate
}

// AllowRetry reports whether a flow may have a further connect, and takes it from the budget, a tenth of the first
// connects and a few more. Without overload it always may.
func (c *Controller) AllowRetry(*balance.Flow, *balance.Server) bool {
	if !c.Overloaded() {
		return true
	}
	if c.retryBudget < 1 {
		c.Stats.RetriesDenied++
		return false
	}
	c.retryBudget--
	c.Stats.Retries++
	return true
}

// ExcessLoad returns the own load that has to leave a server within a tenth of a second: this node's part of the excess, so
// that all nodes together move a fifth of the excess in that time, whatever their number.
func (c *Controller) ExcessLoad(s *balance.Server) float64 {
	h := c.hosts[s]
	if h == nil || s.OwnLoad() <= 0 {
		return 0
	}
	if excess := c.ownLoad - excessSlack*c.totalLimit; c.linkedShare == 0 && c.fillScale < 1 && c.totalLimit > 0 {
		return max(excess, 0) * s.OwnLoad() / c.ownLoad * excessMoveRate
	}
	limit, known := c.fillLimit(h)
	knownLoad := h.reportedLoad + s.OwnLoad()
	if excess := knownLoad - limit*excessSlack; known && excess > 0 && c.now-max(h.lateAt, h.reportedSaturatedAt) < excessWindow {
		return excess * s.OwnLoad() / knownLoad * excessMoveRate
	}
	return 0
}

// RetryDelay returns how long the client of a rejected flow has to wait: during overload a time that is spread at random by
// half, up to twice the usual wait; otherwise the usual wait. 0 means that the answer names no wait.
func (c *Controller) RetryDelay(_ *balance.Flow, usual int64) int64 {
	if usual <= 0 || !c.Overloaded() {
		return usual
	}
	return min(int64(c.clientWait*(0.5+c.rng.Float64())), 2*usual)
}

// SlowProbesShowLoad returns true: slow probes are a measure of load here, and no reason to skip a server.
func (c *Controller) SlowProbesShowLoad() bool { return true }

// ProbeInterval returns the interval between probes of a skipped server. During overload it is the longest one, so that
// skipped servers are probed no more often than others.
func (c *Controller) ProbeInterval(usual, longest int64) int64 {
	if c.Overloaded() {
		return longest
	}
	return usual
}
