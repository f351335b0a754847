package balance

import (
	"cmp"
	"math"
	"slices"
)

// PlaceFlow takes a new flow, or one whose last connect failed, and places or refuses it.
func (b *Balancer) PlaceFlow(f *Flow) {
	if f.Connects == 0 {
		b.EstimateLoad(f)
	}
	if f.Connects >= b.settings.MaxConnects || f.Deadline <= b.now || !b.withinBounds(f) {
		b.refuse(f)
	} else {
		b.chooseServer(f)
	}
}

// withinBounds reports whether all nodes together leave room for a new flow, or for one more connect of a flow.
func (b *Balancer) withinBounds(f *Flow) bool {
	if f.Connects > 0 {
		return b.bounds.AllowRetry(f, f.server)
	}
	return f.Connects == 0 && b.admitWithProbability(b.bounds.AdmitProbability(f))
}

// serverSearch is the state of one walk through the ranking to find a server for a flow.
type serverSearch struct {
	flow  *Flow
	mean  float64 // own load per unit of size
	group groupRange

	leader       *Server // first eligible server of the ranking
	best         *Server // the choice so far, among the leader and its equals
	bestAffinity float64
	eligible     int // counted while the servers are unranked

	leastLoaded     *Server // for its size; taken when all servers are over their cap
	leastLoadedLoad float64 // its load with the flow, over its size and warm share
	fallback        *Server // idle, or saturated by own placements alone; taken when nothing else is left
}

// chooseServer walks the ranking for the best server that takes the flow now, and connects the flow to it. Among servers
// equal to the first within both margins, one that holds the flow's group comes first; then the group's hash decides.
func (b *Balancer) chooseServer(f *Flow) {
	b.updateRanking()
	search := serverSearch{flow: f, mean: b.meanLoad()}
	search.group = b.groupRangeOf(f)
	for _, s := range b.ranking {
		if !s.inSubset && f.Group == nil && !f.Passthrough && search.leastLoaded != nil {
			break // the rest of the list is used only if the subset has no server
		}
		if b.takes(s, f) {
			b.consider(&search, s)
		}
	}
	// With few nodes a group's preferred servers are two of five and the rest may be idle, hence the fallback.
	best := cmp.Or(search.best, search.leastLoaded, search.fallback)
	if best == nil || b.isRiskyUnused(best, &search.group) && b.rng.Float64() >= search.group.healthy {
		b.refuse(f)
		return
	}
	best.coldStart.nextSlot = best.coldStart.accrued + b.rng.ExpFloat64()
	f.server, f.connectAt, f.Connects = best, b.now, f.Connects+1
	best.add(f)
	b.recordPlacement(f, best)
	b.writer.Connect(f, best, b.connectTimeout(f))
}

// takes reports whether a server takes the flow at all: the rules allow it, its messages are not slow, and it has room.
// This guards against loading an overloaded server further: a flow that comes again later is served better.
func (b *Balancer) takes(s *Server, f *Flow) bool {
	if !b.usable(s, f) || s.messageDelay > 0 {
		return false
	}
	if s.load > 0 && s.load+f.load > s.loadLimit {
		return false
	}
	return b.admitWithProbability(b.bounds.RoomProbability(s, f))
}

// consider updates the search by a server that takes the flow.
func (b *Balancer) consider(search *serverSearch, s *Server) {
	f, mean := search.flow, search.mean
	if b.isSaturated(s) {
		if b.hasSpareCapacity(s) &&
			(search.fallback == nil || b.estimatedReport(s) < b.estimatedReport(search.fallback)) {
			search.fallback = s
		}
		return
	}
	affinity := f.affinity(s, search.group.healthy > placementMinHealthy || b.subsetStride == 1)
	if affinity < search.group.minimum {
		isIdle := s.load < idleLoadShare*mean*s.Size*b.warmShare(s) &&
			(search.fallback == nil || s.load < search.fallback.load)
		if b.settings.Nodes < minSubsetSize && isIdle && !b.deferredByWarmUp(s, f) {
			search.fallback = s
		}
		return
	}
	if b.deferredByWarmUp(s, f) {
		return
	}

	affinity, capFactor, local := b.placementAffinity(search, s, affinity)
	relativeLoad := (s.load + f.load) / (s.Size * b.warmShare(s))
	if search.leastLoaded == nil || relativeLoad < search.leastLoadedLoad {
		search.leastLoaded, search.leastLoadedLoad = s, relativeLoad
	}
	if !local && s.load+f.load > capFactor*mean*s.Size*b.warmShare(s)+loadCapFlows*f.load {
		return
	}
	switch {
	case b.unranked:
		search.eligible++
		if b.rng.Intn(search.eligible) == 0 {
			search.best = s // fewer than two servers are ranked: a random one
		}
	case search.leader == nil:
		search.leader, search.best, search.bestAffinity = s, s, affinity
	case !outranks(search.leader, s) && affinity > search.bestAffinity:
		search.best, search.bestAffinity = s, affinity
	}
}

// placementAffinity adjusts the affinity of a server by what this node knows, and gives the factor of the server's load
// cap. A local server has room in the own zone and is not capped.
func (b *Balancer) placementAffinity(search *serverSearch, s *Server, affinity float64) (
	adjusted, capFactor float64, local bool) {

	f, preferred := search.flow, search.group.preferred
	if f.Group != nil && affinity >= preferred && affinity < 1 && b.subsetStride > 1 && !b.settings.PeerMessages {
		// A random draw among the preferred servers keeps all nodes from choosing the first by hash.
		affinity = preferred + (1-preferred)*math.Pow(b.rng.Float64(), s.drawExponent)/2
		if s.Zone == b.settings.Zone && !b.sparseFleet() {
			affinity += (1 - preferred) / 2
		}
	}
	capFactor = loadCapFactor
	local = f.Group != nil && b.hasLocalRoom(s)
	if local {
		affinity += 2
	} else if affinity > 1 && b.settings.NoDelayReports {
		// No report of slow messages would end the preference for a holder, so the least loaded holder is preferred.
		affinity = 2 - min(s.load/(4*search.mean*s.Size*b.warmShare(s)), 1)
		capFactor = unreportedCapFactor
	} else if affinity > 1 {
		capFactor = groupCapFactor
	}
	return affinity, capFactor, local
}

// isRiskyUnused reports whether a server that this node does not use is as likely to be unhealthy as those in use. This
// guards a large fleet that is overloaded, in which each node knows only a few servers.
func (b *Balancer) isRiskyUnused(s *Server, group *groupRange) bool {
	return b.subsetStride > 1 && group.fewHealthy && s.load == 0 &&
		(b.meanReport > busyFleetReport || !b.hasRecentReport(s))
}

// usable reports whether the state of the server and the effect of the flow's type let the flow go to the server.
func (b *Balancer) usable(s *Server, f *Flow) bool {
	if s.State != Up || !s.listed || s.skipped || s.avoidedUntil > b.now || slices.Contains(f.failedServers, s) {
		return false
	}
	if f.mayHaveRunOn == nil || f.Type.Effect == Repeatable {
		return true
	}
	// A flow that may have run is tried again only where repeats are recognised, so that no effect takes place twice.
	if f.Type.Effect != Referenced || b.now > f.SendBy() {
		return false
	}
	switch f.Type.Scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return s.Zone == f.mayHaveRunOn.Zone
	case ScopeCell:
		return s.Cell == f.mayHaveRunOn.Cell
	}
	return false
}

// connectTimeout leaves time for a second connect before the flow's deadline, unless set-ups are slow everywhere, too few
// of them were measured, or no further connect could follow.
func (b *Balancer) connectTimeout(f *Flow) int64 {
	left := f.Deadline - b.now
	setups := &b.setupTimes[f.TypeIndex]
	timeout := max(timeoutSetupFactor*setups.Quantile(timeoutSetupQuantile), f.Type.SetupTarget)
	isLast := f.Connects >= b.settings.MaxConnects || f.Type.Effect == OnceOnly
	if isLast || setups.Total() < timeoutMinSamples || timeout > left*2/3 {
		return left
	}
	return timeout
}

// refuse answers a flow for good and at once: with an abort if it may have run and must not run twice, otherwise with a
// reject, which promises that trying again is harmless.
func (b *Balancer) refuse(f *Flow) {
	if f.mayHaveRunOn != nil && f.Type.Effect != Repeatable && (f.Type.Effect == OnceOnly || f.Type.Scope != ScopeAll) {
		b.writer.Abort(f)
		return
	}
	if f.Group != nil && f.Connects == 0 && b.sparseFleet() {
		// Counts a crowd of clients that is new to this node.
		f.Group.rejected++
		b.rejectedGroupFlows++
	}
	b.logLimited("shedding: no server for a flow")
	b.writer.Reject(f, b.bounds.RetryDelay(f, b.settings.MaxRetryAfter/2))
}

// AdoptFlow takes over a flow that is open already on a server.
func (b *Balancer) AdoptFlow(f *Flow, s *Server) {
	f.server, f.open, f.Connects, f.load = s, true, 1, b.estimatedLoad(f)
	s.add(f)
	b.recordPlacement(f, s)
}
