package balance

import (
	"cmp"
	"slices"
)

// updateRanking rebuilds the ranking if it is stale: the list has changed, or fewer than two servers had latency samples.
// Otherwise the ranking changes only by latency samples, past both margins.
func (b *Balancer) updateRanking() {
	if !b.rankingStale {
		return
	}
	b.rankingStale = false
	b.assignSubset()

	sum, measured := int64(0), int64(0)
	for _, s := range b.ranking {
		if s.latency.Total() > 0 {
			sum += s.rankLatency
			measured++
		}
	}
	b.unranked = measured < 2
	copy(b.ranking, b.servers)
	zones := map[int]bool{}
	for _, s := range b.servers {
		zones[s.Zone] = true
		if s.latency.Total() == 0 && measured > 0 {
			s.rankLatency = sum / measured
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

// assignSubset chooses the subset of servers that this node uses: every subsetStride-th server by name, so that in a
// large fleet the node has flows enough to judge each server by. It leaves the ranking sorted by name.
func (b *Balancer) assignSubset() {
	b.subsetStride = max(1, min(len(b.servers), b.settings.Nodes)/minSubsetSize)
	b.largeFleet = b.subsetStride >= sparseMinStride || b.largeFleet && b.subsetStride >= sparseMinStride*4/5
	part := float64(b.settings.Index) * subsetIndexFraction // its fraction is spread evenly over the nodes
	b.ranking = append(b.ranking[:0], b.servers...)
	slices.SortFunc(b.ranking, func(x, y *Server) int { return cmp.Compare(x.Name, y.Name) })
	for i, s := range b.ranking {
		s.inSubset = i%b.subsetStride == int((part-float64(int(part)))*float64(b.subsetStride))
	}
}

// outranks reports whether the latency of the challenger is lower than the leader's by both margins.
func outranks(challenger, leader *Server) bool {
	win := leader.rankLatency - challenger.rankLatency
	return win > rankMarginMicros && float64(win) > rankMarginShare*float64(leader.rankLatency)
}

// recordLatency takes a latency sample and moves the server within the ranking, past both margins only.
func (b *Balancer) recordLatency(s *Server, us int64) {
	s.latency.Add(us, serverSamples)
	s.rankLatency = s.latency.Quantile(0.5)
	b.rankingStale = b.rankingStale || b.unranked
	if b.rankingStale {
		return
	}
	r := b.ranking
	i := slices.Index(r, s)
	for ; i > 0 && s.inSubset == r[i-1].inSubset && outranks(s, r[i-1]); i-- {
		r[i], r[i-1] = r[i-1], s
	}
	for ; i >= 0 && i+1 < len(r) && s.inSubset == r[i+1].inSubset && outranks(r[i+1], s); i++ {
		r[i], r[i+1] = r[i+1], s
	}
}
