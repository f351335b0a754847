package balance

// Established says that the flow's connect succeeded, and how long the set-up took in microseconds.
func (b *Balancer) Established(f *Flow, took int64) {
	s := f.server
	f.open, s.failedSetups, s.setupTriedAt = true, 0, b.now
	b.setupTimes[f.TypeIndex].Add(took, nodeSamples)
	b.recordLatency(s, took)
	b.allSetupTimes.Add(took, nodeSamples)
	if b.settings.NoDelayReports && !f.SetupTimeUnsure && b.allSetupTimes.Total() >= slowSetupMinSamples {
		// Guards a busy server where only set-up times show it.
		delay := took - slowSetupFactor*b.allSetupTimes.Quantile(0.5)
		if delay > b.shortestMessageTarget/3 || b.now-s.messageDelayAt > messageDelayHold {
			b.DelayMeasured(s, delay)
		}
	}
}

// Ended says how a connect or an open flow ended on a server, and how long that took in microseconds. answered says that
// the client has its answer; otherwise the flow is tried again or refused.
func (b *Balancer) Ended(f *Flow, s *Server, end Outcome, took int64, answered bool) {
	s.remove(f)
	if f.open && f.measured && f.Hash != 0 {
		// If a heavy flow is cut off, its client returns with the same key.
		if len(b.loadsByKey) >= maxLoadsByKey {
			clear(b.loadsByKey)
		}
		b.loadsByKey[f.Hash] = f.load
	}
	wasOpen := f.open
	f.open = false
	if wasOpen && end == Severed && s.State == Up {
		b.recordBrokenFlow(s)
	}
	if answered {
		return
	}
	if !end.hadNoEffect() && f.mayHaveRunOn == nil {
		f.mayHaveRunOn, f.mayHaveRunAt = s, f.connectAt
	}
	// A timeout short of the setup target may mean that the client gave too little time. A saturated server is healthy.
	isLate := end == Overdue && took >= f.Type.SetupTarget
	if end == Unreachable || isLate || end == Severed || end == Errored {
		b.recordFailedSetup(s, f, end, took)
	}
	if f.Deadline-b.now < minRetryTime || end == Superseded {
		b.refuse(f)
		return
	}
	f.failedServers = append(f.failedServers, s)
	b.PlaceFlow(f)
}

// recordBrokenFlow avoids a server for a while if the broken flow was its only one or the second within a second: the
// server drops what it cannot serve. One broken flow of many may be the fault of the path. A single flow leaves no load
// limit behind, so the server has to be avoided.
func (b *Balancer) recordBrokenFlow(s *Server) {
	if len(s.flows) == 0 || b.now-s.flowBrokeAt < flowBreakInterval {
		s.avoidedUntil = b.now + avoidDuration
	}
	s.flowBrokeAt = b.now
}

// recordFailedSetup counts set-ups that fail in a row and skips the server after enough of them. If most servers fail at
// once, which points to one cause, it skips only a server that was unreachable.
func (b *Balancer) recordFailedSetup(s *Server, f *Flow, end Outcome, took int64) {
	if end == Overdue {
		b.setupTimes[f.TypeIndex].Add(took, nodeSamples)
		b.recordLatency(s, took)
	}
	s.failedSetups++
	s.setupFailedAt, s.setupTriedAt = b.now, b.now
	failing, tried := b.failingServers()
	if !s.skipped && s.failedSetups >= failedSetupsToSkip && (failing < 2 || 2*failing <= tried || end == Unreachable) {
		b.skip(s, "set-ups fail")
	}
}

// failingServers counts the servers tried recently, and those of them whose last set-up failed. Servers that were not tried
// do not count, since a node with few flows tries few servers.
func (b *Balancer) failingServers() (failing, tried int) {
	for _, s := range b.servers {
		if b.now-s.setupTriedAt < recentSetupTime {
			tried++
			if s.setupFailedAt == s.setupTriedAt {
				failing++
			}
		}
	}
	return failing, tried
}
