package overload

import (
	"slices"

	"coursewinch/balance"
)

// loadMean is the mean load of the flows of one service type, and the number of samples in it.
type loadMean struct{ mean, samples float64 }

// ObserveFlowLoad records the load of one flow of a service type, as a host reported it.
func (c *Controller) ObserveFlowLoad(serviceType int, load float64) {
	for len(c.ownTypeLoads) <= serviceType {
		c.ownTypeLoads = append(c.ownTypeLoads, loadMean{})
	}
	if serviceType >= maxServiceTypes || !(load > 0) {
		return
	}
	mean := &c.ownTypeLoads[serviceType]
	mean.samples = min(mean.samples+1, maxMeanSamples)
	mean.mean += (load - mean.mean) / mean.samples
}

// updateTypeLoads computes the mean load of a flow of each service type over all reporting nodes.
func (c *Controller) updateTypeLoads() {
	c.typeLoads = c.typeLoads[:0]
	load, flows := 0.0, 0.0
	for serviceType := range maxServiceTypes {
		sum, samples := 0.0, 0.0
		if serviceType < len(c.ownTypeLoads) {
			own := c.ownTypeLoads[serviceType]
			sum, samples = own.mean*own.samples, own.samples
		}
		for _, process := range c.processes {
			if r := c.reports[process]; c.now-r.sentAfter <= c.maxReportAge {
				reported := r.typeLoads[serviceType]
				sum, samples = sum+reported.mean*reported.samples, samples+reported.samples
			}
		}
		if samples == 0 && serviceType >= len(c.ownTypeLoads) {
			break
		}
		c.typeLoads = append(c.typeLoads, sum/max(samples, 1))
		load, flows = load+sum, flows+samples
	}
	c.meanFlowLoad = load / max(flows, 1)
}

// updateLoads adds the own load of each host to the reported load. dt is the time since the last update in seconds.
func (c *Controller) updateLoads(dt float64) {
	flows, load, usedHosts := 0, 0.0, 0
	for _, h := range c.hostsByName {
		if h.server.OwnFlows() > 0 {
			usedHosts++
		}
		flows, load = flows+h.server.OwnFlows(), load+h.server.OwnLoad()
		if h.knownLoad = h.server.OwnLoad() + h.reportedLoad; h.knownLoad < h.settledLoad {
			h.settledLoad = h.knownLoad
		} else {
			h.settledLoad += (h.knownLoad - h.settledLoad) * dt / settleSeconds // flows placed just now don't show in the latency yet
		}
	}
	c.ownLoad = load
	knownLoad, totalSize := 0.0, 0.0
	for _, h := range c.hostsByName {
		if h.server.State == balance.Up && !h.server.Avoided(c.now) {
			knownLoad, totalSize = knownLoad+h.knownLoad, totalSize+h.server.Size
		}
	}
	c.sparseness = 1 / (1 + float64(flows)/float64(max(usedHosts, 1))/fewFlowsPerHost)
	c.loadPerSize = knownLoad / max(totalSize, 1e-9)
	if flows > 0 && c.usualFlowLoad == 0 {
		c.usualFlowLoad = load / float64(flows)
	} else if flows > 0 {
		c.usualFlowLoad += (load/float64(flows) - c.usualFlowLoad) * usualLoadGain
	}
}

// updateCapacities moves the hosts' capacity estimates. dt is the time since the last update in seconds.
func (c *Controller) updateCapacities(dt float64) {
	for _, h := range c.hostsByName {
		h.provenLoad -= h.provenLoad * provenLoadDecay * dt
		if h.saturatedReports >= minWitnesses && c.warmShare(h) == 1 && !c.late && c.now-h.goodAt > second {
			c.cutCapacity(h)
		}
		h.followReportedCapacities(dt)
		if h.capacity == 0 {
			continue
		}
		if h.goodAt > h.lateAt && c.now-h.goodAt < inUseWindow && c.Overloaded() && h.knownLoad > 0.9*targetFill*h.capacity {
			rate := capacityGrowth
			if h.capacity < h.provenLoad {
				rate = capacityRecovery
			}
			h.capacity += dt * max(rate*h.capacity, minCapacityGrowth*c.usualFlowLoad)
		}
		h.capacity = max(h.capacity, minCapacity*c.usualFlowLoad)
	}
}

// followReportedCapacities moves a host's capacity towards the median of the reported ones. All nodes then use about the
// same figure, so that clients of different nodes have the same chances.
func (h *host) followReportedCapacities(dt float64) {
	n := len(h.reportedCapacities)
	if n == 0 {
		return
	}
	slices.Sort(h.reportedCapacities)
	median := h.reportedCapacities[n/2]
	switch {
	case h.capacity == 0:
		h.capacity = median
	case n+1 >= 3: // the capacity of this node and at least two reported ones
		h.capacity += (median - h.capacity) * min(2*dt, 1)
	}
}

// fillLimit is the load up to which a host is filled; known is false while its capacity is unknown.
func (c *Controller) fillLimit(h *host) (load float64, known bool) {
	load = targetFill * c.effectiveScale() * h.capacity * c.warmShare(h)
	if c.isLate(h) || h.saturatedReports >= minWitnesses {
		load *= lateHostFill
	}
	return load, h.capacity > 0
}

// effectiveScale is the fill scale as far as it counts: the less, the more of the other nodes are linked and the more
// flows this node has per host.
func (c *Controller) effectiveScale() float64 {
	return 1 - (1-c.fillScale)*(1-c.linkedShare)*c.sparseness
}

// roomSum is what updateRoom adds up over the hosts in use.
type roomSum struct {
	limit         float64 // fill limits
	free          float64 // fill limits less known loads
	known         float64 // known loads
	positive      float64 // free room of the hosts that have any
	hostsWithRoom int
	usedHosts     int
	lateHosts     int
	unknownHosts  int // nothing says how much load they may hold
}

// updateRoom sets the allowed load of each host in use, and adds up its room.
func (c *Controller) updateRoom() (sum roomSum) {
	for _, h := range c.hostsByName {
		used := c.now-h.observedAt < inUseWindow && h.observedAt > 0 || h.server.OwnFlows() > 0 || h.reported
		if !used || h.server.State != balance.Up || h.server.Avoided(c.now) {
			continue
		}
		h.allowedLoad = 0
		room, known := c.fillLimit(h)
		if !known {
			if c.capacityPerSize == 0 {
				sum.unknownHosts++
				continue
			}
			// The host counts like others of its size until it shows its own capacity.
			room = targetFill * c.effectiveScale() * c.capacityPerSize * h.server.Size * c.warmShare(h)
		}
		h.allowedLoad = room
		sum.limit += room
		room -= h.knownLoad
		sum.free += room
		sum.known += h.knownLoad
		sum.usedHosts++
		if c.isLate(h) {
			sum.lateHosts++
		}
		if room > 0 {
			sum.positive += room
			sum.hostsWithRoom++
		}
	}
	return sum
}

// updateCapacityPerSize takes the mean over the hosts of known capacity; without any it stays.
func (c *Controller) updateCapacityPerSize() {
	capacity, size := 0.0, 0.0
	for _, h := range c.hostsByName {
		if h.capacity > 0 && h.server.Size > 0 {
			capacity, size = capacity+h.capacity, size+h.server.Size
		}
	}
	if size > 0 {
		c.capacityPerSize = capacity / size
	}
}
