package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// sparseFleet reports whether the fleet has at least fifty nodes and fifty servers, or forty of each once it had fifty, and
// nothing tells a node what the others have where: there are neither messages between nodes nor Bounds. A node of such a
// fleet has few flows.
func (b *Balancer) sparseFleet() bool {
	return b.largeFleet && !b.settings.PeerMessages && b.settings.Bounds == nil
}

// affinity says how well a server suits the flow by its group. It is over 1 where the server holds the group already;
// up to 1 it is the same at every node. Placements that other nodes reported count only if useReported is set.
func (f *Flow) affinity(s *Server, useReported bool) float64 {
	if f.Group == nil && f.Passthrough {
		return hashFraction(f.Hash ^ s.Hash) // another node that its packets reach finds its server the same way
	} else if f.Group == nil {
		return 0
	}
	affinity := f.Group.hashAffinity(s)
	if reportedAt := f.Group.placements[s]; f.Group.flowsOn[s] > 0 || useReported && reportedAt > 0 {
		affinity++
	}
	return affinity
}

// hashAffinity is the same at every node. The larger the capacity of a server, the more likely its affinity is the
// highest.
func (g *Group) hashAffinity(s *Server) float64 {
	return math.Pow(hashFraction(g.Hash^s.Hash), cmp.Or(s.drawExponent, 1))
}

// groupRange says which servers a flow may go to by its group, and how healthy the servers in use are.
type groupRange struct {
	preferred  float64 // least affinity of a preferred server
	minimum    float64 // least affinity of a server that takes the flow
	fewHealthy bool    // servers are in use, and no more than fewHealthyShare of them are healthy
	healthy    float64 // estimated share of healthy servers
}

// groupRangeOf returns the range of a flow's group. Each server that holds any of a group does the work that the group
// shares, so a group is kept to few servers. As a side effect it updates the group's burstPerServer and the drawExponent of
// all servers.
func (b *Balancer) groupRangeOf(f *Flow) groupRange {
	if f.Group == nil {
		return groupRange{healthy: 1}
	}
	n := float64(len(b.servers))
	all := assumedOtherFlows // plus the flows of this node and its past connects for groups
	used, healthy := 0.0, 0.0
	affinities := []float64{}
	for _, s := range b.servers {
		all += float64(len(s.flows) + s.groupConnects)
		if s.load > 0 || b.now-s.setupTriedAt < recentSetupTime {
			used++ // nothing is known of the other servers
			if !b.isSaturated(s) && s.messageDelay == 0 && s.load < s.loadLimit && s.avoidedUntil <= b.now {
				healthy++
			}
		}
		s.drawExponent = 1
		if b.sparseFleet() && s.State == Up {
			s.drawExponent /= s.Size * min(b.warmShare(s)*b.settings.FallMultiple, 1) // a cold server is empty, so it can take more
			affinities = append(affinities, f.Group.hashAffinity(s))
		}
	}
	// groupServers is the number of servers that the group fills by its share of all flows.
	groupServers := n * float64(f.Group.flows+f.Group.connects) / all
	withRejected := float64(f.Group.flows + f.Group.connects + f.Group.rejected)
	f.Group.burstPerServer = max(n*withRejected/(all+float64(b.rejectedGroupFlows)), 1)
	r := groupRange{
		fewHealthy: used > 0 && healthy <= used*fewHealthyShare,
		healthy:    (healthy + 2) / (used + 2), // with a prior of two healthy servers
	}
	if len(affinities) > 0 {
		// The preferred servers are the first that are up. Other nodes see nothing else of a server, such as its health, and
		// would choose differently by it.
		slices.Sort(affinities)
		count := int(minPreferredServers + sparsePreferredShare*groupServers + b.rng.Float64())
		r.preferred = affinities[max(len(affinities)-count, 0)]
		r.minimum = r.preferred
		return r
	}
	count := min(max(n/minSubsetSize, minPreferredServers), maxBasePreferredServers)
	count += groupServers
	if r.fewHealthy {
		count = max(count*fewHealthyPreferredShare, minPreferredServers)
		r.minimum = 1 - count/n
	}
	r.preferred = 1 - count/n
	return r
}

// PlacementReported takes another node's report that a server holds a group.
func (b *Balancer) PlacementReported(g *Group, s *Server) {
	if g.placements == nil {
		g.placements = map[*Server]int64{}
	}
	maps.DeleteFunc(g.placements, func(o *Server, _ int64) bool { return !o.listed }) // bounds the memory in use
	g.placements[s] = b.now
}

// recordPlacement notes that this node placed a flow on a server. If no node has reported the placement of its group
// recently, it is published, so that other nodes place the group on the same server instead of one server each.
func (b *Balancer) recordPlacement(f *Flow, s *Server) {
	g := f.Group
	if g == nil {
		return
	}
	b.sameGroupFlows.Add(float64(g.flows-1), serverSamples)
	if b.settings.PeerMessages && (g.placements[s] == 0 || b.now-g.placements[s] > reportLifetime) {
		b.PlacementReported(g, s)
		b.unpublishedPlacements = append(b.unpublishedPlacements, GroupPlacement{g, s})
	}
}

// publish sends new reports and placements to the other nodes, at most twice a second. Without it each node would learn
// of a server only by its own probes, every five seconds.
func (b *Balancer) publish() {
	if len(b.unpublishedReports)+len(b.unpublishedPlacements) == 0 || b.now < b.nextPublishAt {
		return
	}
	for _, s := range b.unpublishedReports {
		s.unpublished = false
	}
	b.writer.Publish(b.unpublishedReports, b.unpublishedPlacements)
	b.unpublishedReports, b.unpublishedPlacements = b.unpublishedReports[:0], b.unpublishedPlacements[:0]
	b.nextPublishAt = b.now + publishInterval
}
