// Package balance decides, for one node, which server each flow goes to.
//
// A caller makes one Balancer with New and calls Round whenever events have come in. The function given to Round passes
// the events on by the methods of Balancer, and the decisions go to the Writer. All times are in microseconds.
package balance

import (
	"cmp"
	"fmt"
	"math/rand"
)

// New returns a balancer for the settings, with no servers. The seed determines all its random draws.
func New(set *Settings, seed int64) *Balancer {
	n := len(set.Types)
	b := &Balancer{
		settings:              set,
		rng:                   rand.New(rand.NewSource(seed)),
		rankingStale:          true,
		alarmAt:               never,
		shortestMessageTarget: never,
		setupTimes:            make([]Hist, n),
		typeLoads:             make([]Mean, n),
		started:               -1,
		loadsByKey:            map[uint64]float64{},
	}
	b.bounds = cmp.Or[Bounds](set.Bounds, unbounded{})
	for i, t := range set.Types {
		b.typeLoads[i].Add(initialFlowLoad, 1)
		b.shortestMessageTarget = min(b.shortestMessageTarget, t.MessageTarget)
	}
	return b
}

// Round takes in one batch of events, does what is due by now and sets an alarm for the next time that something is.
func (b *Balancer) Round(now int64, in func(*Balancer), out Writer) {
	b.now, b.writer = now, out
	if b.started < 0 {
		b.started, b.nextWatchAt = now, now+b.firstWatchDelay()
	}
	in(b)
	if next := b.review(); next < b.alarmAt {
		b.alarmAt = next
		out.SetAlarm(next)
	}
}

// AlarmFired says that the alarm went off.
func (b *Balancer) AlarmFired() { b.alarmAt = never }

// review requests the server list when that is due, and reviews all servers ten times a second. It returns the time at
// which something is due next.
func (b *Balancer) review() int64 {
	next := b.requestWatch()
	if b.now < b.nextReviewAt && !b.rankingStale {
		return min(next, b.nextProbeAt)
	}
	b.updateRanking()
	b.publish()
	b.nextProbeAt, b.nextReviewAt = never, b.now+reviewInterval

	mean, ownFlows := b.meanLoad(), 0
	reports, reportSum, ownLoad := 0.0, 0.0, 0.0
	for _, s := range b.servers {
		ownFlows += len(s.flows)
		if b.hasRecentReport(s) {
			reports++
			reportSum += min(s.reportedLoad, 1)
			ownLoad += s.loadInReport
		}
		b.clearOldMessageDelay(s)
		b.growLoadLimit(s, mean)
		b.relieve(s, mean)
		b.probeIfDue(s)
	}

	b.flowsPerServer = max(b.flowsPerServer*flowsPerServerDecay, float64(ownFlows)/float64(max(len(b.servers), 1)))
	if ownLoad > 0 {
		perLoad := min(reportSum/ownLoad, maxReportPerLoad*float64(b.settings.Nodes))
		b.reportPerLoad, b.meanReport = perLoad/float64(b.subsetStride), reportSum/reports
		// If each zone had its own servers for each group, the work that a group shares would be done once per zone.
		b.meanReportByZone = b.meanReport *
			(1 + groupSharedWork*(b.zoneCount-1)/(b.sameGroupFlows.Value()*float64(b.settings.Nodes)+1))
	}
	b.nextReviewAt = min(b.nextReviewAt, b.nextProbeAt)
	return min(next, b.nextProbeAt)
}

// admitWithProbability draws a random number, unless the probability is 1 or more.
func (b *Balancer) admitWithProbability(probability float64) bool {
	return probability >= 1 || b.rng.Float64() < probability
}

// logLimited logs a line, at most one a second.
func (b *Balancer) logLimited(line string) {
	if b.now >= b.nextLogAt {
		b.nextLogAt = b.now + logInterval
		b.writer.Log(fmt.Sprintf("%s (%d servers)", line, len(b.servers)))
	}
}
