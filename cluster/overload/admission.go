package overload

import (
	"cmp"
	"math"

	"coursewinch/balance"
)

// updateThreshold sets the threshold at which the admitted demand fills the free room within fillHorizon.
func (c *Controller) updateThreshold() {
	c.updateCapacityPerSize()
	room := c.updateRoom()
	demand := c.updateDemandShare()
	c.Stats.FreeLoad, c.Stats.KnownLoad, c.Stats.Demand = room.free, room.known, demand
	c.unscaledLimit = room.limit / c.effectiveScale()
	c.totalLimit = room.limit
	c.mostHostsLate = 2*room.lateHosts >= room.usedHosts
	c.meanFill = room.known / max(room.limit, 1)
	c.meanFreeRoom = room.positive / float64(max(room.hostsWithRoom, 1))
	c.threshold = 0
	if room.unknownHosts == 0 {
		c.threshold = c.thresholdFor(max(room.free, 0))
	}
	if c.threshold > 0 {
		c.overloadedAt = c.now
	}
	c.Stats.BenefitThreshold, c.Stats.Overloaded = c.threshold, c.Overloaded()
	c.updateClientWait(demand)
}

// updateDemandShare sets this node's share of the demand, and returns the load demanded a second over all reporting nodes.
func (c *Controller) updateDemandShare() float64 {
	totalDemand := 0.0
	for b := range c.totalDemand {
		totalDemand += c.totalDemand[b] / demandSeconds
	}
	ownDemand := 0.0
	for _, d := range c.ownDemand {
		ownDemand += d / demandSeconds
	}
	c.ownDemandShare = 1 / float64(max(c.nodes, 1))
	if totalDemand > 0 {
		c.ownDemandShare += c.linkedShare * (ownDemand/totalDemand - c.ownDemandShare)
	}
	return totalDemand
}

// thresholdFor finds the benefit per load from which on all flows are admitted, and those below with ever smaller
// probability, so that they take the given room within fillHorizon; 0 where there is room for all.
func (c *Controller) thresholdFor(room float64) float64 {
	const horizonShare = float64(fillHorizon) / float64(second) / demandSeconds
	admittedDemand := func(threshold float64) (load float64) {
		for b, d := range c.totalDemand {
			load += d * horizonShare * admitProbability(bucketValue(b), threshold)
		}
		return load
	}
	if admittedDemand(0) <= room {
		return 0
	}
	low, high := bucketValue(0)/8, bucketValue(benefitBuckets-1)*64
	for range 40 {
		if mid := math.Sqrt(low * high); admittedDemand(mid) > room {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// admitProbability is the probability with which a flow of a benefit per load is admitted.
func admitProbability(benefit, threshold float64) float64 {
	if benefit >= threshold {
		return 1
	}
	return math.Pow(benefit/threshold, admissionExponent)
}

// bucketValue is the benefit per load in the middle of a bucket.
func bucketValue(bucket int) float64 { return math.Exp2((float64(bucket-middleBucket) + 0.5) / 2) }

// bucketOf is the bucket of a benefit per load.
func bucketOf(benefit float64) int {
	return min(max(int(math.Floor(2*math.Log2(benefit)))+middleBucket, 0), benefitBuckets-1)
}

// updateClientWait sets how long clients of rejected flows are told to wait: so long that waiting clients come back at
// about twice the rate at which there is room.
func (c *Controller) updateClientWait(demand float64) {
	if c.threshold == 0 {
		c.clientWait += (float64(second) - c.clientWait) * 0.02
		return
	}
	ratio := demand / max(2*c.admittedLoad/demandSeconds, demand/64, 1e-9)
	c.clientWait = min(max(c.clientWait*(1+0.05*(min(max(ratio, 0.25), 4)-1)), float64(minClientWait)), float64(60*second))
}

// Overloaded reports whether demand exceeded the fleet's free room within the last second.
func (c *Controller) Overloaded() bool { return c.overloadedAt > 0 && c.now-c.overloadedAt < second }

// benefitPerLoad is the benefit of a flow for unitLoad of its load.
func (c *Controller) benefitPerLoad(f *balance.Flow) float64 {
	load := f.Load()
	if serviceType := f.TypeIndex; !f.Returning && serviceType < len(c.typeLoads) && c.typeLoads[serviceType] > 0 {
		// The mean over all nodes: with the means of its own few flows each node would have another threshold.
		load = c.typeLoads[serviceType]
	}
	return cmp.Or(f.Benefit, 1) * unitLoad / max(load, 1)
}

// AdmitProbability returns 1 if a new flow is admitted and 0 if not, by a random draw against its probability of
// admission. It counts the flow's load as demand, and an admitted flow adds to the retry budget. If the flow's admission was
// already drawn ahead of a grant, that result counts.
func (c *Controller) AdmitProbability(f *balance.Flow) float64 {
	if admitted, ok := c.draws[f]; ok {
		if delete(c.draws, f); admitted {
			return 1
		}
		return 0
	}
	benefit := c.benefitPerLoad(f)
	c.ownDemand[bucketOf(benefit)] += f.Load()
	probability := admitProbability(benefit, c.threshold)
	if probability >= 1 || c.rng.Float64() < probability {
		c.admittedLoad += f.Load()
		c.retryBudget = min(c.retryBudget+retryShare, maxRetryBudget)
		return 1
	}
	c.Stats.Rejected++
	return 0
}

// DrawAdmission draws whether a flow is admitted, ahead of a request for a grant, and returns the result: a flow that is
// rejected needs no grant. From here on the flow counts as demand, of which the other nodes learn by the reports. When the
// decision module places the flow later, the same result counts and nothing is drawn again.
func (c *Controller) DrawAdmission(f *balance.Flow) bool {
	admitted := c.AdmitProbability(f) == 1
	c.draws[f] = admitted
	return admitted
}
