// Package balance decides, for one node, which server each flow goes to.
//
// A caller makes one Balancer with New and reaches it through Round, once a round with events: the function
// given to it calls List to Tick below; decisions go to the Writer. Types are in types.go; microseconds.
package balance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
)

const (
	rankMarginMicros, rankMarginShare             = 20_000, 0.25 // a challenger must win by both, of the leader's
	loadCapFactor, groupCapFactor                 = 1.25, 2.5    // of the mean load for its size; where the group is
	unreportedCapFactor, returningCapFactor       = 1.5, 1.6     // where untold; times that, moves of who came again
	loadCapFlows, slowSetupFactor, rampStartShare = 1.0, 2, 0.3  // usual flows besides; times the usual set-up; of a share
	failedSetupsToSkip, goodProbesToRecover       = 3, 2         // failed set-ups skip a server, good probes bring it back

	probeInterval, skippedProbeInterval     = 5_000_000, 700_000    // at most, four fifths of it at least; for skipped servers
	rampDuration, lateProbeMicros           = 10_000_000, 1_000     // of a share; over the fastest probe, besides a share of it
	avoidDuration, displacedMoveInterval    = 4_000_000, 2 * second // between flows that leave for certain, as strays
	watchSpreadPerNode, stableWatchDuration = 50_000, 3_000_000     // a node, within which all ask; a watch that stood so long
	firstWatchBackoff, maxWatchBackoff      = 200_000, 3_800_000    // after one call that failed, and after many: told within 6 s

	serverSamples, nodeSamples                     = 32, 256     // samples of a server, of a node, before they are halved
	coldBudgetFactor, coldBudgetKeptSeconds        = 2.5, 6.0    // of a server's flows, by the multiple, a warm-up; kept seconds
	flowsPerServerDecay, initialFlowLoad           = 0.99, 30000 // of own flows 0.1 s ago; of a flow until told, microseconds a second
	limitCutFactor, limitFloorShare                = 0.8, 0.5    // of own load; of the mean share for its size
	limitGrowthPerSecond, slowServerMoveShare      = 0.03, 0.12  // of itself a second, the mean share at least; of a slow server's load
	maxBasePreferredServers, minPreferredServers   = 6.0, 2.0    // servers by hash for a group besides its part; n/5 between
	assumedOtherFlows, fewHealthyPreferredShare    = 20.0, 0.6   // flows of others taken for granted; of homes while many are unwell
	idleLoadShare, fewHealthyShare                 = 0.5, 0.75   // of the mean share, and of servers, from which groups go anywhere
	minSubsetSize, sparseMinStride                 = 5, 10       // servers in a share, nodes that share one; from so many shares sparse
	maxSaturationThreshold, minSaturationThreshold = 0.85, 0.6   // reported load over what it can do, that is full; at least
	saturationFactor, placementMinHealthy          = 1.5, 0.6    // times the mean report between; of servers in use, or told homes wait
	busyFleetReport, roomyFleetReport              = 0.7, 0.5    // mean report where nothing is sure, up to which there is room
	roomyLimitGrowthFactor, groupSharedWork        = 2.5, 2.0    // times as fast limits grow then; of a group, in usual flows
	maxReportPerLoad, maxReportRise                = 1e-6, 0.3   // of a server, by a unit of load; of a report over the last or fullAt

	reportLifetime, reportLag                          = 8 * second, second // a report or home counts; what it does not tell of yet
	never, noLimit                                     = int64(1) << 62, 1e18
	maxLoadsByKey, maxHintFactor, sparsePreferredShare = 4096, 100.0, 0.35 // keys; times the mean load; of a part, if sparse
)

func New(set *Settings, seed int64) *Balancer {
	n := len(set.Types)
	b := &Balancer{settings: set, rng: rand.New(rand.NewSource(seed)), rankingStale: true, alarmAt: never, shortestMessageTarget: never,
		setupTimes: make([]Hist, n), typeLoads: make([]Mean, n), started: -1, loadsByKey: map[uint64]float64{}}
	b.bounds = cmp.Or[Bounds](set.Bounds, unbounded{})
	for i, t := range set.Types {
		b.typeLoads[i].Add(initialFlowLoad, 1)
		b.shortestMessageTarget = min(b.shortestMessageTarget, t.MessageTarget)
	}
	return b
}

// Round takes in one batch and then does what falls due.
func (b *Balancer) Round(now int64, in func(*Balancer), out Writer) {
	b.now, b.writer = now, out
	if b.started < 0 {
		b.started, b.nextWatchAt = now, now+b.firstWatchDelay()
	}
	in(b)
	if next := b.review(); next < b.alarmAt {
		b.alarmAt = next
		out.Alarm(next)
	}
}

func (b *Balancer) Tick() { b.alarmAt = never }

// Demand takes a new flow, or one whose last connect failed.
func (b *Balancer) Demand(f *Flow) {
	if f.Tries == 0 {
		f.load = b.estimatedLoad(f)
	}
	if f.Tries >= b.settings.MaxConnects || f.Deadline <= b.now || !b.withinBounds(f) {
		b.refuse(f)
	} else {
		b.chooseServer(f)
	}
}

// withinBounds tells whether all nodes together leave room for a new flow, or for one more connect.
func (b *Balancer) withinBounds(f *Flow) bool {
	return f.Tries > 0 && b.bounds.Retry(f, f.server) || f.Tries == 0 && b.admitWithProbability(b.bounds.Odds(f))
}

func (b *Balancer) admitWithProbability(odds float64) bool {
	return odds >= 1 || b.rng.Float64() < odds
}

// chooseServer is the ordinary path: it walks the order for the first server not passed over. Of its equals within
// both margins, one that holds the flow's group comes first, then the group's hash picks.
func (b *Balancer) chooseServer(f *Flow) {
	b.updateRanking()
	mean, ready, bestAt, leastAt := b.meanLoad(), 0, 0.0, 0.0
	var head, best, least, idle *Server
	near, last, tight, chance := b.groupAffinity(f)
	for _, s := range b.ranking {
		if !s.inSubset && f.Group == nil && !f.Passed && least != nil {
			break // the rest of the list only when the share has none
		}
		// Guards against feeding a server that drowns: asked again later, a flow is better served.
		if !b.usable(s, f) || s.messageDelay > 0 || s.load > 0 && s.load+f.load > s.loadLimit || !b.admitWithProbability(b.bounds.Room(s, f)) {
			continue
		}
		if b.isSaturated(s) {
			if b.hasSpareCapacity(s) && (idle == nil || b.estimatedReport(s) < b.estimatedReport(idle)) {
				idle = s
			}
			continue
		}
		like, factor := f.affinity(s, chance > placementMinHealthy || b.subsetStride == 1), loadCapFactor
		if like < last {
			low := s.load < idleLoadShare*mean*s.Size*b.warmShare(s) && (idle == nil || s.load < idle.load)
			if b.settings.Nodes < minSubsetSize && low && !b.deferredByWarmUp(s, f) {
				idle = s
			}
			continue
		}
		if b.deferredByWarmUp(s, f) {
			continue
		}
		if f.Group != nil && like >= near && like < 1 && b.subsetStride > 1 && !b.settings.Peers {
			like = near + (1-near)*math.Pow(b.rng.Float64(), s.drawExponent)/2 // guards the first by hash against all nodes
			if s.Zone == b.settings.Zone && !b.sparseFleet() {
				like += (1 - near) / 2
			}
		}
		local := f.Group != nil && b.hasLocalRoom(s)
		if local {
			like += 2
		} else if like > 1 && b.settings.Untold { // no slow message would end more; the least loaded of them
			like, factor = 2-min(s.load/(4*mean*s.Size*b.warmShare(s)), 1), unreportedCapFactor
		} else if like > 1 {
			factor = groupCapFactor
		}
		if over := (s.load + f.load) / (s.Size * b.warmShare(s)); least == nil || over < leastAt {
			least, leastAt = s, over // for its size the least loaded: taken when all are over the cap
		}
		if !local && s.load+f.load > factor*mean*s.Size*b.warmShare(s)+loadCapFlows*f.load {
			continue
		}
		switch {
		case b.unranked:
			if ready++; b.rng.Intn(ready) == 0 {
				best = s // fewer than two ranked: a random ready server
			}
		case head == nil:
			head, best, bestAt = s, s, like
		case !outranks(head, s) && like > bestAt:
			best, bestAt = s, like
		}
	}
	best = cmp.Or(best, least, idle) // with few nodes a group's homes are two of five servers, the rest may idle
	// Guards a large fleet that drowns: a server of which nothing is known is as well as those in use.
	blind := b.subsetStride > 1 && tight && best != nil && best.load == 0 && (b.meanReport > busyFleetReport || !b.hasRecentReport(best))
	if best == nil || blind && b.rng.Float64() >= chance {
		b.refuse(f)
		return
	}
	best.coldStart.nextSlot = best.coldStart.accrued + b.rng.ExpFloat64()
	f.server, f.connectAt, f.Tries = best, b.now, f.Tries+1
	best.add(f)
	b.recordPlacement(f, best)
	b.writer.Connect(f, best, b.connectTimeout(f))
}

// affinity is over 1 where the server holds the flow's group already; up to 1, the same at every node.
func (f *Flow) affinity(s *Server, room bool) float64 {
	if f.Group == nil && f.Passed {
		return hashFraction(f.Hash ^ s.Hash) // another node, to which its packets may come, finds its server the same way
	} else if f.Group == nil {
		return 0
	}
	like := f.Group.hashAffinity(s)
	if at := f.Group.placements[s]; f.Group.flowsOn[s] > 0 || room && at > 0 {
		like++
	}
	return like
}

// hashAffinity is the same at every node, and the likelier the highest of all the more a server can bear.
func (g *Group) hashAffinity(s *Server) float64 {
	return math.Pow(hashFraction(g.Hash^s.Hash), cmp.Or(s.drawExponent, 1))
}

// groupAffinity is the liking of a home of a flow's group, last the least that takes the flow. Guards against scatter.
func (b *Balancer) groupAffinity(f *Flow) (like, last float64, tight bool, chance float64) {
	if f.Group == nil {
		return 0, 0, false, 1
	}
	n, all, used, well, likes := float64(len(b.servers)), assumedOtherFlows, 0.0, 0.0, []float64{}
	for _, s := range b.servers {
		all += float64(len(s.flows) + s.groupConnects)
		if s.load > 0 || b.now-s.setupTriedAt < 3*second {
			used++ // of the others nothing is known
			if !b.isSaturated(s) && s.messageDelay == 0 && s.load < s.loadLimit && s.avoidedUntil <= b.now {
				well++
			}
		}
		if s.drawExponent = 1; b.sparseFleet() && s.State == Up {
			s.drawExponent /= s.Size * min(b.warmShare(s)*b.settings.FallMultiple, 1) // for it is empty
			likes = append(likes, f.Group.hashAffinity(s))
		}
	}
	homes, share := min(max(n/minSubsetSize, minPreferredServers), maxBasePreferredServers), n*float64(f.Group.flows+f.Group.connects)/all
	f.Group.crowdPerServer = max(n*float64(f.Group.flows+f.Group.connects+f.Group.rejected)/(all+float64(b.rejectedGroupFlows)), 1)
	if tight, chance = used > 0 && well <= used*fewHealthyShare, (well+2)/(used+2); len(likes) > 0 {
		slices.Sort(likes) // its homes are the first that are up; others could not be seen from the next node
		like = likes[max(len(likes)-int(minPreferredServers+sparsePreferredShare*share+b.rng.Float64()), 0)]
		return like, like, tight, chance
	}
	if homes += share; tight {
		homes = max(homes*fewHealthyPreferredShare, minPreferredServers)
		last = 1 - homes/n
	}
	return 1 - homes/n, last, tight, chance
}

// usable tells whether the rules and the streaks let this flow go to this server.
func (b *Balancer) usable(s *Server, f *Flow) bool {
	if s.State != Up || !s.listed || s.skipped || s.avoidedUntil > b.now || slices.Contains(f.failedServers, s) {
		return false
	}
	if f.mayHaveRunOn == nil || f.Type.Effect == Repeatable {
		return true
	}
	// Guards against an effect taking place twice: what may have run goes on only where repeats are known.
	scope := f.Type.Scope
	return f.Type.Effect == Referenced && b.now <= f.SendBy() && (scope == ScopeAll ||
		scope == ScopeZone && s.Zone == f.mayHaveRunOn.Zone || scope == ScopeCell && s.Cell == f.mayHaveRunOn.Cell)
}

// deferredByWarmUp tells whether a server is left out now: a cold one by its budget, one that is back by chance.
func (b *Balancer) deferredByWarmUp(s *Server, f *Flow) bool {
	if b.bounds.Granted(s) {
		return false
	} else if warm := b.warmShare(s); warm < 1 && b.sparseFleet() && f.Group != nil && f.Hash > 0 && b.settings.FallTime > 0 {
		if !b.drawColdStartSlot(f, s, warm) {
			return true
		}
	} else if warm < 1 {
		// Guards against all nodes pushing over a cold server: it takes as many flows as one like it holds in its
		// warm-up, times what it can bear, each node its part at random moments. Unused they lapse by slotKept.
		due, rate := &s.coldStart, coldBudgetFactor*b.settings.FallMultiple*warm*b.flowsPerServer*second/float64(b.settings.ColdTime)
		due.accrued += rate * float64(b.now-due.updatedAt) / second
		if due.updatedAt = b.now; due.accrued > due.nextSlot+coldBudgetKeptSeconds*rate {
			due.nextSlot = due.accrued - coldBudgetKeptSeconds*rate + b.rng.ExpFloat64()
		}
		if due.accrued < due.nextSlot {
			return true
		}
	}
	return b.now < s.rampEnd && b.rng.Float64() >= 1-(1-rampStartShare)*float64(s.rampEnd-b.now)/rampDuration
}

// sparse: fifty nodes and servers at least; a node has few flows and hears nothing of what others have where.
func (b *Balancer) sparseFleet() bool {
	return b.largeFleet && !b.settings.Peers && b.settings.Bounds == nil
}

// drawColdStartSlot draws whose turn at a cold server it is, alike at all nodes. Guards one in a large fleet, where nobody
// knows of the others' flows, against a crowd that comes again and again, at node after node: of as many
// clients as a server like it holds, no more pass in the time in which it falls than it can bear in that.
// Each home draws from all of a group: the more servers' flows that is, the fewer pass.
func (b *Balancer) drawColdStartSlot(f *Flow, s *Server, warm float64) bool {
	fall := uint64(b.settings.FallTime)
	part := b.settings.FallMultiple * warm * float64(fall) / float64(b.settings.ColdTime)
	return hashFraction(f.Hash^s.Hash^(uint64(b.now)+f.Hash%fall)/fall*hashMultiplier) < part/f.Group.crowdPerServer
}

// warmShare is the share of its size that a server can bear by now. Guards cold ones against a full share of load.
func (b *Balancer) warmShare(s *Server) float64 {
	if end := s.Started + b.settings.ColdTime; s.Started > 0 && b.now < end {
		return 1 - (1-b.settings.ColdFrom)*float64(end-b.now)/float64(b.settings.ColdTime)
	}
	return 1
}

// estimatedLoad is the load to count for a flow until the node is told: the hint, or the mean of its service type.
func (b *Balancer) estimatedLoad(f *Flow) float64 {
	if load, ok := b.loadsByKey[f.Hash]; ok {
		return load
	} else if f.Hint > 0 {
		return min(f.Hint, maxHintFactor*b.typeLoads[f.TypeNo].Value()) // guards counts against a hint without sense
	}
	return b.typeLoads[f.TypeNo].Value()
}

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

// updateRanking keeps the order: any change to the list voids it, otherwise a challenger must win by both margins.
func (b *Balancer) updateRanking() {
	if !b.rankingStale {
		return
	}
	b.rankingStale = false
	sum, n := int64(0), int64(0)
	// In a large fleet a node uses every n-th server, so that it has flows enough to judge each by.
	b.subsetStride = max(1, min(len(b.servers), b.settings.Nodes)/minSubsetSize)
	b.largeFleet = b.subsetStride >= sparseMinStride || b.largeFleet && b.subsetStride >= sparseMinStride*4/5
	part := float64(b.settings.Index) * 0.618034 // its fraction is even over nodes, and over every n-th of them
	b.ranking = append(b.ranking[:0], b.servers...)
	slices.SortFunc(b.ranking, func(x, y *Server) int { return cmp.Compare(x.Name, y.Name) })
	for i, s := range b.ranking {
		s.inSubset = i%b.subsetStride == int((part-float64(int(part)))*float64(b.subsetStride))
		if s.latency.Total() > 0 {
			sum += s.rankLatency
			n++
		}
	}
	b.unranked = n < 2
	copy(b.ranking, b.servers)
	zones := map[int]bool{}
	for _, s := range b.servers {
		if zones[s.Zone] = true; s.latency.Total() == 0 && n > 0 {
			s.rankLatency = sum / n
		}
	}
	b.zoneCount = float64(len(zones))
	slices.SortStableFunc(b.ranking, func(x, y *Server) int {
		if x.inSubset == y.inSubset {
			return int(x.rankLatency/1000 - y.rankLatency/1000)
		} else if x.inSubset {
			return -1
		}
		return 1
	})
}

func outranks(challenger, leader *Server) bool {
	win := leader.rankLatency - challenger.rankLatency
	return win > rankMarginMicros && float64(win) > rankMarginShare*float64(leader.rankLatency)
}

// recordLatency takes a latency sample and moves the server in the order, past both margins only.
func (b *Balancer) recordLatency(s *Server, us int64) {
	s.latency.Add(us, serverSamples)
	s.rankLatency = s.latency.Quantile(0.5)
	if b.rankingStale = b.rankingStale || b.unranked; b.rankingStale {
		return
	}
	i := slices.Index(b.ranking, s)
	for ; i > 0 && s.inSubset == b.ranking[i-1].inSubset && outranks(s, b.ranking[i-1]); i-- {
		b.ranking[i], b.ranking[i-1] = b.ranking[i-1], s
	}
	for ; i >= 0 && i+1 < len(b.ranking) && s.inSubset == b.ranking[i+1].inSubset && outranks(b.ranking[i+1], s); i++ {
		b.ranking[i], b.ranking[i+1] = b.ranking[i+1], s
	}
}

// connectTimeout leaves room for a second connect before the setup target, unless set-ups are slow everywhere.
func (b *Balancer) connectTimeout(f *Flow) int64 {
	left, h := f.Deadline-b.now, &b.setupTimes[f.TypeNo]
	t := max(16*h.Quantile(0.9), f.Type.SetupTarget)
	last := f.Tries >= b.settings.MaxConnects || f.Type.Effect == OnceOnly // no further connect would follow
	if last || h.Total() < 8 || t > left*2/3 {
		return left
	}
	return t
}

// refuse answers for good, at once. A reject promises that trying again is harmless.
func (b *Balancer) refuse(f *Flow) {
	if f.mayHaveRunOn != nil && f.Type.Effect != Repeatable && (f.Type.Effect == OnceOnly || f.Type.Scope != ScopeAll) {
		b.writer.Abort(f)
		return
	}
	if f.Group != nil && f.Tries == 0 && b.sparseFleet() {
		f.Group.rejected, b.rejectedGroupFlows = f.Group.rejected+1, b.rejectedGroupFlows+1 // a crowd that is new to this node
	}
	b.logLimited("shedding: no server for a flow")
	b.writer.Reject(f, b.bounds.Wait(f, b.settings.MaxWait/2))
}

func (b *Balancer) Opened(f *Flow, s *Server) {
	f.server, f.open, f.Tries, f.load = s, true, 1, b.estimatedLoad(f)
	s.add(f)
	b.recordPlacement(f, s)
}

func (b *Balancer) Established(f *Flow, took int64) {
	s := f.server
	f.open, s.failedSetups, s.setupTriedAt = true, 0, b.now
	b.setupTimes[f.TypeNo].Add(took, nodeSamples)
	b.recordLatency(s, took)
	if b.allSetupTimes.Add(took, nodeSamples); b.settings.Untold && !f.Unsure && b.allSetupTimes.Total() >= 4 {
		if us := took - slowSetupFactor*b.allSetupTimes.Quantile(0.5); us > b.shortestMessageTarget/3 || b.now-s.messageDelayAt > second/2 {
			b.Slow(s, us) // guards a busy server where only set-ups show it
		}
	}
}

// Ended tells how a connect ended; over says that the flow has its answer.
func (b *Balancer) Ended(f *Flow, s *Server, end Outcome, took int64, over bool) {
	s.remove(f)
	if f.open && f.measured && f.Hash != 0 {
		// Guards against a heavy flow that was cut off: its client comes again with the same key.
		if len(b.loadsByKey) >= maxLoadsByKey {
			clear(b.loadsByKey)
		}
		b.loadsByKey[f.Hash] = f.load
	}
	stood := f.open
	f.open = false
	if stood && end == Severed && s.State == Up {
		if len(s.flows) == 0 || b.now-s.flowBrokeAt < second { // one of many may be the path's fault
			s.avoidedUntil = b.now + avoidDuration // guards a server that drops what it can't serve: a lone flow leaves no limit
		}
		s.flowBrokeAt = b.now
	}
	if over {
		return
	}
	if !end.hadNoEffect() && f.mayHaveRunOn == nil {
		f.mayHaveRunOn, f.mayHaveRunAt = s, f.connectAt
	}
	late := end == Overdue && took >= f.Type.SetupTarget                // or its client gave it too little time
	if end == Unreachable || late || end == Severed || end == Errored { // a full server is not sick
		b.recordFailedSetup(s, f, end, took)
	}
	if f.Deadline-b.now < 2_000 || end == Superseded {
		b.refuse(f)
		return
	}
	f.failedServers = append(f.failedServers, s)
	b.Demand(f)
}

// recordFailedSetup counts set-ups that fail in a row. Where most servers fail at once, with one cause, none is skipped.
func (b *Balancer) recordFailedSetup(s *Server, f *Flow, end Outcome, took int64) {
	if end == Overdue {
		b.setupTimes[f.TypeNo].Add(took, nodeSamples)
		b.recordLatency(s, took)
	}
	s.failedSetups++
	failing, tried := b.failingServers(s)
	if !s.skipped && s.failedSetups >= failedSetupsToSkip && (failing < 2 || 2*failing <= tried || end == Unreachable) {
		b.skip(s, "set-ups fail")
	}
}

// failingServers counts the servers that failed last, of those tried of late: with few flows a node tries few.
func (b *Balancer) failingServers(s *Server) (failing, tried int) {
	s.setupFailedAt, s.setupTriedAt = b.now, b.now
	for _, o := range b.servers {
		if b.now-o.setupTriedAt < 3*second {
			tried++
			if o.setupFailedAt == o.setupTriedAt {
				failing++
			}
		}
	}
	return failing, tried
}

// skip leaves a server out until its streak of good probes, or for a while without probes.
func (b *Balancer) skip(s *Server, why string) {
	b.logLimited("skipped " + s.Name + ": " + why)
	if !b.settings.Probing {
		s.avoidedUntil, s.failedSetups = b.now+probeInterval, 0
		return
	}
	s.skipped, s.goodProbes, b.nextReviewAt = true, 0, b.now
	s.nextProbeAt = min(s.nextProbeAt, b.now+b.rng.Int63n(skippedProbeInterval))
}

func (b *Balancer) Load(f *Flow, perSecond float64) {
	if !f.open {
		return
	}
	f.server.load, f.load = f.server.load+(perSecond-f.load), perSecond
	if !f.measured {
		f.measured = true
		b.typeLoads[f.TypeNo].Add(perSecond, 200)
	}
}

// Slow tells how long messages take at a server. Guards against one that drowns under flows already placed.
func (b *Balancer) Slow(s *Server, us int64) {
	if us <= b.shortestMessageTarget/3 {
		s.messageDelay = 0
		return
	}
	again := s.messageDelay > 0
	s.messageDelay, s.messageDelayAt = us, b.now
	if !again && b.hasRecentReport(s) {
		return // guards flows on a server that stands still for a moment: it says so once, and then that it is well
	}
	if b.now-s.limitCutAt > second/2 {
		s.loadLimit = max(s.load*limitCutFactor, limitFloorShare*b.meanLoad()*s.Size)
		s.limitCutAt, s.limitGrownAt = b.now, b.now
	}
	if us > b.shortestMessageTarget/2 && b.now-s.loadMovedAt > second/2 {
		s.loadMovedAt = b.now
		b.moveLoad(s, slowServerMoveShare*s.load*min(float64(us)/float64(b.shortestMessageTarget), 4))
	}
}

// Reported takes a server's own word on its load. Guards against what others put there and nobody tells.
func (b *Balancer) Reported(s *Server, busy float64, own bool) {
	busy = min(busy, max(s.reportedLoad, maxSaturationThreshold)+maxReportRise) // guards a server that stood still just then
	s.reportedLoad, s.reportedAt, s.loadInReport = busy, b.now, s.load
	for _, f := range s.flows {
		if b.now-f.connectAt < reportLag {
			s.loadInReport -= f.load // came too late for it
		}
	}
	if own && b.settings.Peers && !s.unpublished && (busy > maxSaturationThreshold || s.publishedSaturated) {
		s.publishedSaturated, s.unpublished, b.unpublishedReports = busy > maxSaturationThreshold, true, append(b.unpublishedReports, s)
	}
}

// hasRecentReport tells whether a server's report is recent, full whether it says that it can bear no more.
func (b *Balancer) hasRecentReport(s *Server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < reportLifetime
}
func (b *Balancer) isSaturated(s *Server) bool {
	return b.hasRecentReport(s) && b.estimatedReport(s) > b.saturationThreshold()
}

// saturationThreshold is what a server may report: over the mean as the cap has it, and never close to all that it can do.
func (b *Balancer) saturationThreshold() float64 {
	return min(max(saturationFactor*b.meanReport, minSaturationThreshold), maxSaturationThreshold)
}

// hasSpareCapacity tells whether a server is full by own placements since alone. A cold one is not: its budget binds.
func (b *Balancer) hasSpareCapacity(s *Server) bool {
	return b.meanReport < roomyFleetReport && s.reportedLoad <= b.saturationThreshold() && b.warmShare(s) == 1
}

// local: a server of the own place has room while the fleet is not busy. Guards against useless crossings.
func (b *Balancer) hasLocalRoom(s *Server) bool {
	return s.Zone == b.settings.Zone && b.meanReportByZone < roomyFleetReport && b.hasRecentReport(s) && b.estimatedReport(s) < minSaturationThreshold
}

// estimatedReport is a server's last report and what own flows have added since, as if each node that uses it added so.
func (b *Balancer) estimatedReport(s *Server) float64 {
	return s.reportedLoad + b.reportPerLoad*(s.load-s.loadInReport)
}

// Held takes another node's word that a server holds a group.
func (b *Balancer) Held(g *Group, s *Server) {
	if g.placements == nil {
		g.placements = map[*Server]int64{}
	}
	maps.DeleteFunc(g.placements, func(o *Server, _ int64) bool { return !o.listed }) // guards memory
	g.placements[s] = b.now
}

// recordPlacement tells the others where this node holds a group, unless one did of late. Guards against a home a node.
func (b *Balancer) recordPlacement(f *Flow, s *Server) {
	g := f.Group
	if g != nil {
		b.sameGroupFlows.Add(float64(g.flows-1), serverSamples)
	}
	if b.settings.Peers && g != nil && (g.placements[s] == 0 || b.now-g.placements[s] > reportLifetime) {
		b.Held(g, s)
		b.unpublishedPlacements = append(b.unpublishedPlacements, Home{g, s})
	}
}

// publish passes on what is new. Guards against each node hearing of a server every five seconds.
func (b *Balancer) publish() {
	if len(b.unpublishedReports)+len(b.unpublishedPlacements) == 0 || b.now < b.nextPublishAt {
		return
	}
	for _, s := range b.unpublishedReports {
		s.unpublished = false
	}
	b.writer.Tell(b.unpublishedReports, b.unpublishedPlacements)
	b.unpublishedReports, b.unpublishedPlacements, b.nextPublishAt = b.unpublishedReports[:0], b.unpublishedPlacements[:0], b.now+second/2
}

// moveFlowOverCap moves the heaviest flow whose server, without it, holds over this. Guards flows on one that drowns.
func (b *Balancer) moveFlowOverCap(s *Server, most float64) {
	var top *Flow
	for _, f := range s.flows {
		due := !f.Again || s.State == Draining || b.now-f.connectAt > probeInterval && s.load-f.load > returningCapFactor*most
		if f.open && !f.moveRequested && due && s.load-f.load > most && (top == nil || f.load > top.load) {
			top = f
		}
	}
	if top != nil && (most < 0 || top.load*float64(len(s.flows)) >= s.load) {
		top.moveRequested = true
		b.writer.Move(top)
	}
}

// moveLoad moves the heaviest flows until the amount is reached; one at least.
func (b *Balancer) moveLoad(s *Server, amount float64) {
	for _, f := range s.flows {
		// Guards clients of a node with many flows: where all stand astray, as after a start, all would move.
		if f.displaced = f.Group != nil && amount < noLimit && b.now-b.displacedAt > displacedMoveInterval; f.displaced {
			near, _, _, _ := b.groupAffinity(f)
			f.displaced = f.Group.hashAffinity(s) < near
		}
	}
	for amount > 0 {
		var top *Flow
		for _, f := range s.flows {
			if f.open && !f.moveRequested && (top == nil || f.displaced && !top.displaced ||
				f.displaced == top.displaced && f.load*top.benefit() > top.load*f.benefit()) {
				top = f
			}
		}
		if top == nil || top.load > amount && !top.displaced && b.rng.Float64()*top.load >= amount {
			return // less than a flow is due: by chance, so that many nodes with few flows each do not overshoot
		}
		if top.moveRequested = true; top.displaced {
			b.displacedAt = b.now
		}
		amount -= top.load
		b.writer.Move(top)
	}
}

func (b *Balancer) Probed(s *Server, end Outcome, took int64) {
	s.probePending = false
	// Guards flows on a server with work piled up where nobody tells: its probes wait as well.
	late := b.settings.Untold && !b.bounds.SlowProbes() && s.fastestProbe > 0 && (end == Completed || end == Recalled)
	if late = late && float64(took) > (1+rankMarginShare)*float64(s.fastestProbe)+lateProbeMicros; late {
		out := 1
		for _, o := range b.servers {
			if o.skipped && o != s {
				out++
			}
		}
		late = 2*out <= len(b.servers) // guards against leaving most out for a cause they share
	}
	if (end == Completed || end == Recalled) && !late {
		if end == Completed { // else it took so long at least: how long is hidden by the node's own lateness
			s.fastestProbe = min(cmp.Or(s.fastestProbe, took)+took/50, took)
			b.recordLatency(s, took)
		}
		s.goodProbes, s.failedProbes = s.goodProbes+1, 0
		if s.skipped && s.goodProbes >= goodProbesToRecover {
			s.skipped, s.failedSetups = false, 0
			s.rampEnd = b.now + rampDuration
			b.logLimited("back again " + s.Name)
		}
		return
	}
	s.goodProbes, s.failedProbes = 0, s.failedProbes+1
	if s.skipped {
		b.moveLoad(s, noLimit) // guards flows held by a server that went silent or drowns: no reset tells them
	} else if s.State == Up && end != Saturated {
		b.skip(s, "probe failed")
	}
}

func (b *Balancer) List(kind ListKind) {
	if kind == Refused {
		if b.watching && b.now-b.watchBeganAt > stableWatchDuration {
			b.refusals = 0
		}
		// Guards discovery against all nodes that ask again together: refused, each waits twice as long.
		wait := min(firstWatchBackoff<<min(b.refusals, 10), b.settings.RefusedMost()) // within which all have asked
		b.nextWatchAt = b.now + wait - b.rng.Int63n(wait/2)
		b.watching, b.watchRequested, b.refusals = false, false, b.refusals+1
		b.logLimited("list stale: the call failed")
		return
	}
	if kind != Remembered && b.watchRequested {
		b.watching, b.watchRequested, b.watchBeganAt = true, false, b.now
	}
	for _, s := range b.servers {
		s.Seen = s.Seen && kind == Changes
	}
}

func (b *Balancer) Entry(s *Server, state State, size float64, started int64) {
	b.rankingStale = b.rankingStale || !s.listed || state != s.State
	if !s.listed && state != Removed {
		s.loadLimit, s.nextProbeAt, s.listed = noLimit, b.now+b.rng.Int63n(second), true
		b.servers = append(b.servers, s)
		if b.now-b.started > second && started == 0 {
			s.rampEnd = b.now + rampDuration
		}
	}
	if started > s.Started {
		s.coldStart, s.loadLimit = coldStartBudget{0, b.rng.ExpFloat64(), b.now}, noLimit
		s.latency.Reset()
		s.failedSetups, s.skipped, b.rankingStale = 0, false, true
	}
	s.State, s.Size, s.Started, s.Seen = state, size, started, true
	if state == Removed {
		s.listed, b.rankingStale = false, true
		b.servers = slices.DeleteFunc(b.servers, func(o *Server) bool { return o == s })
	}
}

func (b *Balancer) ListEnd(kind ListKind) {
	for i := len(b.servers) - 1; i >= 0 && kind == Whole; i-- {
		if s := b.servers[i]; !s.Seen {
			b.Entry(s, Removed, s.Size, s.Started)
		}
	}
}

// firstWatchDelay is when a node that starts asks for its first list. Guards discovery against a fleet that starts.
func (b *Balancer) firstWatchDelay() int64 {
	all := max(min(watchSpreadPerNode*int64(b.settings.Nodes-1), b.settings.AskWithin/4, 2500*1000), 1)
	return b.rng.Int63n(cmp.Or(b.settings.AskSpread, all))
}

// review does what time asks for and returns when it must next be called.
func (b *Balancer) review() int64 {
	next := never
	if b.settings.OnRequest && !b.watching {
		if b.now >= b.nextWatchAt {
			// Asked again well before this node would be deemed told of what it has not heard.
			b.watchRequested = true
			b.nextWatchAt = b.now + b.settings.AskWithin/2
			b.writer.Watch()
		}
		next = min(next, b.nextWatchAt)
	}
	if b.now < b.nextReviewAt && !b.rankingStale {
		return min(next, b.nextProbeAt)
	}
	b.updateRanking()
	b.publish()
	b.nextProbeAt, b.nextReviewAt = never, b.now+second/10
	mean, held, n, busy, load := b.meanLoad(), 0, 0.0, 0.0, 0.0
	for _, s := range b.servers {
		if held += len(s.flows); b.hasRecentReport(s) {
			n, busy, load = n+1, busy+min(s.reportedLoad, 1), load+s.loadInReport
		}
		if s.messageDelay > 0 && b.now-s.messageDelayAt > avoidDuration {
			s.messageDelay = 0
		}
		if b.now-s.limitGrownAt > second {
			gain := limitGrowthPerSecond
			if b.hasRecentReport(s) && b.estimatedReport(s) < busyFleetReport {
				gain *= roomyLimitGrowthFactor
			}
			s.loadLimit, s.limitGrownAt = s.loadLimit+gain*max(s.loadLimit, mean*s.Size), b.now
		}
		if over := b.bounds.Excess(s); over > 0 {
			b.moveLoad(s, over) // guards flows on a server that holds more than all may have there
		}
		if b.settings.Untold && s.State == Draining {
			if b.rng.Intn(max(b.settings.Nodes, 1)) == 0 { // all nodes together as fast as one: the rest must hold them
				b.moveFlowOverCap(s, -1) // guards clients against being cut off when their server leaves
			}
		} else if b.settings.Untold {
			b.moveFlowOverCap(s, unreportedCapFactor*mean*s.Size*b.warmShare(s))
		}
		if !b.settings.Probing || s.State != Up || !s.inSubset && !s.skipped {
			continue
		}
		if b.now >= s.nextProbeAt && !s.probePending {
			s.probePending = true
			every := int64(probeInterval)
			if s.skipped && s.inSubset {
				// Guards a server that is back against the probes of all nodes, and what they cost.
				every = skippedProbeInterval * int64(max(min(1<<min(s.failedProbes, 3), b.settings.Nodes/(2*minSubsetSize)), 1))
				every = b.bounds.ProbeEvery(min(every, probeInterval), probeInterval)
			}
			s.nextProbeAt = b.now + every*4/5 + b.rng.Int63n(every/5)
			b.writer.Probe(s)
		}
		if !s.probePending {
			b.nextProbeAt = min(b.nextProbeAt, s.nextProbeAt)
		}
	}
	b.flowsPerServer = max(b.flowsPerServer*flowsPerServerDecay, float64(held)/float64(max(len(b.servers), 1)))
	if load > 0 {
		b.reportPerLoad, b.meanReport = min(busy/load, maxReportPerLoad*float64(b.settings.Nodes))/float64(b.subsetStride), busy/n
		b.meanReportByZone = b.meanReport * (1 + groupSharedWork*(b.zoneCount-1)/(b.sameGroupFlows.Value()*float64(b.settings.Nodes)+1))
	}
	b.nextReviewAt = min(b.nextReviewAt, b.nextProbeAt)
	return min(next, b.nextProbeAt)
}

func (b *Balancer) logLimited(line string) {
	if b.now >= b.nextLogAt {
		b.nextLogAt = b.now + second
		b.writer.Trace(fmt.Sprintf("%s (%d servers)", line, len(b.servers)))
	}
}
