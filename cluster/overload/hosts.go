package overload

import (
	"slices"

	"coursewinch/balance"
	"coursewinch/cluster/health"
)

// host is what is known of one server. Fields that end in At are the times of the last such event.
type host struct {
	server              *balance.Server
	hash                uint32  // by which reports name it
	coldSlotAt          int64   // start of this node's next cold-start slot, while the host is cold
	coldSlotStart       int64   // the start of the server for which coldSlotAt was drawn
	grantUntil          int64   // until when a grant for one flow counts, while the host is cold; 0: none
	allowedLoad         float64 // load that the host may hold now; 0 while nothing says how much
	capacity            float64 // known load at which the host is saturated; 0 while unknown
	provenLoad          float64 // highest load that the host carried well, decaying
	settledLoad         float64 // known load; follows decreases at once and increases with a delay of a second or two
	knownLoad           float64 // own and reported load
	reportedLoad        float64 // load that the other nodes report
	lateEvidence        float64 // late observations, halved by each good one
	fastestProbe        int64   // duration of the fastest probe, rising slowly
	baseline            setupBaseline
	observedAt          int64 // by this node, good or late
	goodAt              int64
	lateAt              int64
	cutAt               int64 // the capacity was cut
	rejectedAt          int64 // the host had no room for a flow
	index               int   // in hostsByName
	downAt              int64 // a connect or a probe failed
	setupFailedAt       int64
	setupGoodAt         int64
	suspension          health.Suspension // because of other nodes' reports
	reportedSaturatedAt int64
	saturatedReports    int  // other processes that report the host saturated
	rejectionReported   bool // another node was rejected: retries avoid the host, but one report is not enough to stop first connects
	reported            bool // by another node
	reportedCapacities  []float64
}

// setupBaseline learns how long set-ups take while there is room: the lowest lower quartile of a few consecutive ones.
// Expensive set-ups and jitter don't count, and a host that becomes saturated hardly raises it: by half a percent a window.
type setupBaseline struct {
	duration int64 // 0 while unknown
	samples  []int64
}

// add takes in one set-up; each window of them gives one quartile.
func (b *setupBaseline) add(took int64, window int) {
	if b.samples = append(b.samples, took); len(b.samples) < window {
		return
	}
	slices.Sort(b.samples)
	if quartile := b.samples[window/4]; b.duration == 0 || quartile < b.duration {
		b.duration = quartile
	} else {
		b.duration += min(b.duration/200, quartile-b.duration) // set-ups may have become slower for good
	}
	b.samples = b.samples[:0]
}

// ObserveSetup records how long a connection set-up took, less this node's own lateness. The caller leaves out set-ups
// whose duration is uncertain.
func (c *Controller) ObserveSetup(s *balance.Server, took int64) {
	h := c.hosts[s]
	if h == nil || c.late {
		return
	}
	baseline, factor := h.baseline.duration, lateSetupFactor
	if baseline == 0 {
		// Hosts differ in speed and paths in length, so the baseline over all hosts gets a larger factor.
		baseline, factor = c.baseline.duration, lateSetupFactorUnknownHost
	}
	h.setupGoodAt = c.now
	h.baseline.add(took, hostBaselineSamples)
	c.baseline.add(took, fleetBaselineSamples)
	c.observe(h, baseline > 0 && float64(took) > factor*float64(baseline)+float64(lateSetupMargin))
}

// ObserveProbe records how long a probe took, less this node's own lateness.
func (c *Controller) ObserveProbe(s *balance.Server, took int64) {
	h := c.hosts[s]
	if h == nil || c.late {
		return
	}
	late := h.fastestProbe > 0 && float64(took) > (1+lateProbeShare)*float64(h.fastestProbe)+float64(lateProbeMargin)
	if h.fastestProbe == 0 || took < h.fastestProbe {
		h.fastestProbe = took
	} else if !late {
		h.fastestProbe += (took - h.fastestProbe) / 50
	}
	c.observe(h, late)
}

// ObserveReportedLoad records a server's own report of its load as a share of what it can do.
func (c *Controller) ObserveReportedLoad(s *balance.Server, utilization float64) {
	h := c.hosts[s]
	if h == nil || c.late || !(utilization > 0.05 && utilization < 100) || h.knownLoad <= 0 {
		return
	}
	capacity := h.knownLoad / utilization / c.warmShare(h)
	if h.capacity == 0 {
		h.capacity = capacity
	}
	h.capacity += (capacity - h.capacity) / 4
}

// ObserveRejection records that a server had no room for a flow.
func (c *Controller) ObserveRejection(s *balance.Server) {
	if h := c.hosts[s]; h != nil {
		h.rejectedAt = c.now
		c.observe(h, true)
	}
}

// ObserveUnreachable records that a connect or a probe to a server failed.
func (c *Controller) ObserveUnreachable(s *balance.Server) {
	if h := c.hosts[s]; h != nil && !c.late {
		h.downAt = c.now
	}
}

// ObserveSetupFailure records that a connection to a server was established and the set-up on it failed.
func (c *Controller) ObserveSetupFailure(s *balance.Server) {
	if h := c.hosts[s]; h != nil && !c.late {
		h.setupFailedAt = c.now
	}
}

// observe takes in one own observation of a server.
func (c *Controller) observe(h *host, late bool) {
	if c.warmShare(h) < 1 {
		return // a cold host is slow at any load; the decision module limits what it gets
	}
	c.recentLate[c.observationCount%recentObservations] = late
	c.observationCount++
	h.observedAt = c.now
	if !late {
		c.observeGood(h)
		return
	}
	h.lateAt = c.now
	h.lateEvidence++
	lateCount := 0
	for _, wasLate := range c.recentLate {
		if wasLate {
			lateCount++
		}
	}
	if c.now-c.scaleCutAt > minScaleCutInterval {
		c.cutScale(lateCount)
	}
	if h.lateEvidence >= cutEvidence || 2*lateCount >= recentObservations {
		c.cutCapacity(h)
	}
}

// observeGood takes in an observation that is not late.
func (c *Controller) observeGood(h *host) {
	h.lateEvidence /= 2
	h.goodAt = c.now
	c.fillScale = min(c.fillScale*scaleGrowthFactor, 1)
	h.provenLoad = max(h.provenLoad, h.settledLoad)
	if h.capacity > 0 && h.settledLoad > h.capacity {
		h.capacity = h.settledLoad
	}
}

// cutScale cuts the fill scale. It protects a fleet of many nodes that hold a flow or two each per host: what one node
// holds there says nothing about the host.
func (c *Controller) cutScale(lateCount int) {
	c.fillScale, c.scaleCutAt = max(c.fillScale*scaleCutFactor, minScale), c.now
	if c.unscaledLimit > 0 && 4*lateCount >= recentObservations {
		// A quarter of the recent observations are late: the scale falls until the fill limits add up to the own load.
		c.fillScale = max(min(c.fillScale, c.ownLoad/c.unscaledLimit), minScale)
	}
}

// cutCapacity takes the settled load of a host for its capacity. Lateness that has another cause than load would cut
// without end; therefore, below a share of the proven load only failures count, and those the decision module handles.
func (c *Controller) cutCapacity(h *host) {
	if c.now-h.cutAt < minCutInterval {
		return
	}
	h.cutAt, h.lateEvidence = c.now, cutEvidence/2
	capacity := max(h.settledLoad, minCutShare*h.provenLoad, minCapacity*c.usualFlowLoad)
	if h.capacity == 0 || capacity < h.capacity {
		h.capacity = capacity
		c.Stats.CapacityCuts++
	}
}

// isLate tells whether the last observation of a host was late and is recent.
func (c *Controller) isLate(h *host) bool {
	return h.lateAt > h.goodAt && c.now-h.lateAt < lateHostHold
}

// warmShare is the share of its capacity that a host has reached since its start.
func (c *Controller) warmShare(h *host) float64 {
	at := c.now - c.clockJump
	if end := h.server.Started + c.settings.ColdTime; h.server.Started > 0 && at < end {
		return max(1-(1-c.settings.ColdFrom)*float64(end-at)/float64(c.settings.ColdTime), 0.01)
	}
	return 1
}
