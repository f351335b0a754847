package balance

import (
	"cmp"
	"slices"
)

// BeginList begins a report of the server list.
func (b *Balancer) BeginList(kind ListKind) {
	if kind == ListRefused {
		b.backOffWatch()
		return
	}
	if kind != ListRemembered && b.watchRequested {
		b.watching, b.watchRequested, b.watchBeganAt = true, false, b.now
	}
	for _, s := range b.servers {
		s.SeenInList = s.SeenInList && kind == ListChanges
	}
}

// backOffWatch schedules the next call for the list after one that failed. The wait doubles with each failed call, so
// that nodes that call again together do not overload discovery, up to the time within which all nodes have called.
func (b *Balancer) backOffWatch() {
	if b.watching && b.now-b.watchBeganAt > stableWatchDuration {
		b.refusals = 0
	}
	wait := min(firstWatchBackoff<<min(b.refusals, 10), b.settings.WatchBackoffLimit())
	b.nextWatchAt = b.now + wait - b.rng.Int63n(wait/2)
	b.watching, b.watchRequested, b.refusals = false, false, b.refusals+1
	b.logLimited("list stale: the call failed")
}

// ListEntry takes what the list says of one server.
func (b *Balancer) ListEntry(s *Server, state State, size float64, started int64) {
	b.rankingStale = b.rankingStale || !s.listed || state != s.State
	if !s.listed && state != Removed {
		s.loadLimit, s.nextProbeAt, s.listed = noLimit, b.now+b.rng.Int63n(second), true
		b.servers = append(b.servers, s)
		if b.now-b.started > second && started == 0 {
			s.rampEnd = b.now + rampDuration
		}
	}
	if started > s.Started {
		s.coldStart = coldStartBudget{accrued: 0, nextSlot: b.rng.ExpFloat64(), updatedAt: b.now}
		s.loadLimit = noLimit
		s.latency.Reset()
		s.failedSetups, s.skipped, b.rankingStale = 0, false, true
	}
	s.State, s.Size, s.Started, s.SeenInList = state, size, started, true
	if state == Removed {
		s.listed, b.rankingStale = false, true
		b.servers = slices.DeleteFunc(b.servers, func(o *Server) bool { return o == s })
	}
}

// EndList ends a report of the server list. Servers that a complete list does not name are removed.
func (b *Balancer) EndList(kind ListKind) {
	if kind != ListComplete {
		return
	}
	for i := len(b.servers) - 1; i >= 0; i-- {
		if s := b.servers[i]; !s.SeenInList {
			b.ListEntry(s, Removed, s.Size, s.Started)
		}
	}
}

// firstWatchDelay is the random delay after which a starting node requests its first list. It guards discovery against a
// fleet whose nodes all start at once.
func (b *Balancer) firstWatchDelay() int64 {
	byFleet := max(min(watchSpreadPerNode*int64(b.settings.Nodes-1), b.settings.AskWithin/4, maxFirstWatchDelay), 1)
	return b.rng.Int63n(cmp.Or(b.settings.WatchSpread, byFleet))
}

// requestWatch requests the list if that is due, and returns when it is due next. An unanswered request is repeated well
// before this node would count as informed of changes that it has not received.
func (b *Balancer) requestWatch() int64 {
	if !b.settings.OnRequest || b.watching {
		return never
	}
	if b.now >= b.nextWatchAt {
		b.watchRequested = true
		b.nextWatchAt = b.now + b.settings.AskWithin/2
		b.writer.Watch()
	}
	return b.nextWatchAt
}
