package balance

// estimatedLoad is the load to count for a flow until it is measured: the load last seen with its key, the client's
// hint, or the mean of its service type.
func (b *Balancer) estimatedLoad(f *Flow) float64 {
	if load, ok := b.loadsByKey[f.Hash]; ok {
		return load
	} else if f.LoadHint > 0 {
		return min(f.LoadHint, maxHintFactor*b.typeLoads[f.TypeIndex].Value()) // guards the sums against an implausible hint
	}
	return b.typeLoads[f.TypeIndex].Value()
}

// EstimateLoad sets the load to count for a new flow. PlaceFlow does so as well; bounds that are asked about the flow before
// that need it.
func (b *Balancer) EstimateLoad(f *Flow) { f.load = b.estimatedLoad(f) }

// meanLoad is the own load per unit of size over the servers that this node uses.
func (b *Balancer) meanLoad() float64 {
	load, size := 0.0, 0.0
	for _, s := range b.ranking {
		if s.State == Up && !s.skipped && (s.inSubset || s.load > 0) {
			load, size = load+s.load, size+s.Size*b.warmShare(s)
		}
	}
	return max(load, 1) / max(size, 0.001)
}

// LoadMeasured takes the measured load of an open flow, in microseconds of work a second.
func (b *Balancer) LoadMeasured(f *Flow, perSecond float64) {
	if !f.open {
		return
	}
	f.server.load, f.load = f.server.load+(perSecond-f.load), perSecond
	if !f.measured {
		f.measured = true
		b.typeLoads[f.TypeIndex].Add(perSecond, loadSamples)
	}
}

// LoadReported takes a server's report of its load over its capacity, which includes load that other nodes put there. own
// says that the report came to this node, not from another node.
func (b *Balancer) LoadReported(s *Server, load float64, own bool) {
	load = min(load, max(s.reportedLoad, maxSaturationThreshold)+maxReportRise) // guards a server that stalled just then
	s.reportedLoad, s.reportedAt, s.loadInReport = load, b.now, s.load
	for _, f := range s.flows {
		if b.now-f.connectAt < reportLag {
			s.loadInReport -= f.load // too young to be in the report
		}
	}
	isSaturated := load > maxSaturationThreshold
	if own && b.settings.PeerMessages && !s.unpublished && (isSaturated || s.publishedSaturated) {
		s.publishedSaturated, s.unpublished = isSaturated, true
		b.unpublishedReports = append(b.unpublishedReports, s)
	}
}

// hasRecentReport reports whether the server's last report still counts.
func (b *Balancer) hasRecentReport(s *Server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < reportLifetime
}

// isSaturated reports whether the server has no capacity left by its report.
func (b *Balancer) isSaturated(s *Server) bool {
	return b.hasRecentReport(s) && b.estimatedReport(s) > b.saturationThreshold()
}

// saturationThreshold is the reported load above which a server is saturated: a multiple of the mean report, as in the
// load cap, and never close to its whole capacity.
func (b *Balancer) saturationThreshold() float64 {
	return min(max(saturationFactor*b.meanReport, minSaturationThreshold), maxSaturationThreshold)
}

// hasSpareCapacity reports whether a saturated server is so only by own placements since its report, in a fleet with
// room. A cold server does not count: its cold-start budget applies.
func (b *Balancer) hasSpareCapacity(s *Server) bool {
	return b.meanReport < roomyFleetReport && s.reportedLoad <= b.saturationThreshold() && b.warmShare(s) == 1
}

// hasLocalRoom reports whether a server of the own zone has room while the fleet is not busy. It avoids needless
// crossings between zones.
func (b *Balancer) hasLocalRoom(s *Server) bool {
	return s.Zone == b.settings.Zone && b.meanReportByZone < roomyFleetReport && b.hasRecentReport(s) &&
		b.estimatedReport(s) < minSaturationThreshold
}

// estimatedReport is a server's last report plus what own flows have added since, as if each node that uses the server
// had added as much.
func (b *Balancer) estimatedReport(s *Server) float64 {
	return s.reportedLoad + b.reportPerLoad*(s.load-s.loadInReport)
}

// clearOldMessageDelay clears the message delay of a server that was not measured again for avoidDuration.
func (b *Balancer) clearOldMessageDelay(s *Server) {
	if s.messageDelay > 0 && b.now-s.messageDelayAt > avoidDuration {
		s.messageDelay = 0
	}
}

// growLoadLimit lets the load limit of a server grow again, faster while the server reports room.
func (b *Balancer) growLoadLimit(s *Server, mean float64) {
	if b.now-s.limitGrownAt > limitGrowthInterval {
		growth := limitGrowthPerSecond
		if b.hasRecentReport(s) && b.estimatedReport(s) < busyFleetReport {
			growth *= roomyLimitGrowthFactor
		}
		s.loadLimit, s.limitGrownAt = s.loadLimit+growth*max(s.loadLimit, mean*s.Size), b.now
	}
}

// DelayMeasured takes how long messages take at a server, in microseconds. If that is too long, the server gets no new
// flows for a while and a lower load limit, and load is moved off it. This guards against a server that is overloaded
// by flows already placed.
func (b *Balancer) DelayMeasured(s *Server, us int64) {
	if us <= b.shortestMessageTarget/3 {
		s.messageDelay = 0
		return
	}
	wasSlow := s.messageDelay > 0
	s.messageDelay, s.messageDelayAt = us, b.now
	if !wasSlow && b.hasRecentReport(s) {
		return // guards flows on a server that stalls for a moment: it reports that once and then that it is well
	}
	if b.now-s.limitCutAt > limitCutInterval {
		s.loadLimit = max(s.load*limitCutFactor, limitFloorShare*b.meanLoad()*s.Size)
		s.limitCutAt, s.limitGrownAt = b.now, b.now
	}
	if us > b.shortestMessageTarget/2 && b.now-s.loadMovedAt > slowServerMoveInterval {
		s.loadMovedAt = b.now
		b.moveLoad(s, slowServerMoveShare*s.load*min(float64(us)/float64(b.shortestMessageTarget), maxMoveDelayFactor))
	}
}
