package balance

import "cmp"

// Probed takes the outcome of a probe and how long it took, in microseconds.
func (b *Balancer) Probed(s *Server, end Outcome, took int64) {
	s.probePending = false
	if (end == Completed || end == Recalled) && !b.isLateProbe(s, took) {
		b.recordGoodProbe(s, end, took)
		return
	}
	s.goodProbes = 0
	s.failedProbes++
	if s.skipped {
		b.moveLoad(s, noLimit) // guards flows on a server that went silent or is overloaded: no reset tells them
	} else if s.State == Up && end != Saturated {
		b.skip(s, "probe failed")
	}
}

// isLateProbe reports whether an answered probe took far longer than the fastest. Where nothing reports message delays,
// that shows a server with work piled up, since probes wait behind the work. No probe counts as late if more than half
// of the servers would be skipped then: the cause is more likely one that they share.
func (b *Balancer) isLateProbe(s *Server, took int64) bool {
	if !b.settings.NoDelayReports || b.bounds.SlowProbesShowLoad() || s.fastestProbe <= 0 {
		return false
	}
	if float64(took) <= (1+rankMarginShare)*float64(s.fastestProbe)+lateProbeMicros {
		return false
	}
	skipped := 1
	for _, o := range b.servers {
		if o.skipped && o != s {
			skipped++
		}
	}
	return 2*skipped <= len(b.servers)
}

// recordGoodProbe counts a probe that was answered in time.
func (b *Balancer) recordGoodProbe(s *Server, end Outcome, took int64) {
	if end == Completed { // otherwise the node itself was late, and only a minimum of the time is known
		s.fastestProbe = min(cmp.Or(s.fastestProbe, took)+took/50, took)
		b.recordLatency(s, took)
	}
	s.goodProbes++
	s.failedProbes = 0
	if s.skipped && s.goodProbes >= goodProbesToRecover {
		s.skipped, s.failedSetups = false, 0
		s.rampEnd = b.now + rampDuration
		b.logLimited("back again " + s.Name)
	}
}

// skip leaves a server out until enough probes in a row succeed, or for a while if there are no probes.
func (b *Balancer) skip(s *Server, why string) {
	b.logLimited("skipped " + s.Name + ": " + why)
	if !b.settings.Probing {
		s.avoidedUntil, s.failedSetups = b.now+probeInterval, 0
		return
	}
	s.skipped, s.goodProbes, b.nextReviewAt = true, 0, b.now
	s.nextProbeAt = min(s.nextProbeAt, b.now+b.rng.Int63n(skippedProbeInterval))
}

// probeIfDue probes a server of the subset, or a skipped one, when its next probe is due.
func (b *Balancer) probeIfDue(s *Server) {
	if !b.settings.Probing || s.State != Up || !s.inSubset && !s.skipped {
		return
	}
	if b.now >= s.nextProbeAt && !s.probePending {
		s.probePending = true
		every := b.probeIntervalOf(s)
		s.nextProbeAt = b.now + every*4/5 + b.rng.Int63n(every/5)
		b.writer.Probe(s)
	}
	if !s.probePending {
		b.nextProbeAt = min(b.nextProbeAt, s.nextProbeAt)
	}
}

// probeIntervalOf is the longest time between two probes of a server. A skipped server of the subset is probed more
// often, the less so the more probes have failed: this guards a server that recovers against the probes of all nodes,
// and limits what they cost.
func (b *Balancer) probeIntervalOf(s *Server) int64 {
	if !s.skipped || !s.inSubset {
		return probeInterval
	}
	every := skippedProbeInterval * int64(max(min(1<<min(s.failedProbes, 3), b.settings.Nodes/(2*minSubsetSize)), 1))
	return b.bounds.ProbeInterval(min(every, probeInterval), probeInterval)
}
