package node

import (
	"coursewinch/balance"
	"coursewinch/cluster/lease"
	"coursewinch/cluster/limits"
)

// The owner of a cold host's key grants the flows that all nodes together may send to the host, one at a time. Of the rate
// that the cold-start rule allows, the owner may always grant coldBaseShare, whatever the state of the links between nodes.
// coldLentShare is split evenly among all nodes; each node lends its part to the owner with its lease vote, for as long as
// the vote lasts. A node that has lent its part requests grants. A node that has not may send its part by its own estimate.
// So a part is used either by the owner or by the node, never by both at once.
const (
	coldBaseShare   = 0.50
	coldLentShare   = 0.35 // the share that a node sends by its own estimate: coldRateShare of package overload
	coldBurst       = 2    // flows
	maxColdRequests = 3    // hosts for which one flow requests a grant
)

// coldRequest is a flow that waits for a grant for a cold host. It goes on without the grant as well.
type coldRequest struct {
	flow *flow
	host *host
}

// loadEstimator is implemented by deciders that can estimate the load of a flow before they place it.
type loadEstimator interface {
	EstimateLoad(*balance.Flow)
}

// findColdHosts updates the list of cold hosts.
func (n *Node) findColdHosts() {
	for _, limit := range n.cluster.limits {
		if limit.Over != OverCold {
			continue
		}
		limit.coldHosts = limit.coldHosts[:0]
		for _, h := range n.hostList {
			if h.State == balance.Up && n.cluster.overload.ColdRate(&h.Server) > 0 {
				limit.coldHosts = append(limit.coldHosts, h)
			}
		}
	}
}

// coldLimit returns the rate at which this node, as owner, grants flows to a cold host. It depends on how many nodes
// have lent it their part.
func (n *Node) coldLimit(limit *localLimit, key uint64) limits.Limit {
	for _, h := range limit.coldHosts {
		if limit.nameKey(h.uid) == key {
			part := coldBaseShare + coldLentShare*float64(n.cluster.leases.VoterCount(int(key%lease.Slots)))/float64(n.config.Cluster.Others+1)
			return limits.Limit{Rate: part * n.cluster.overload.ColdRate(&h.Server), Burst: coldBurst, Strict: true}
		}
	}
	return limits.Limit{Strict: true}
}

// requestColdGrant requests a grant for a cold host for which this node has none, and reports whether the flow waits for it.
func (n *Node) requestColdGrant(f *flow, limit *localLimit) bool {
	if len(limit.coldHosts) == 0 {
		return false
	}
	overload := n.cluster.overload
	if estimator, ok := n.decider.(loadEstimator); ok && f.coldRequests == 0 {
		estimator.EstimateLoad(&f.Flow) // admission and room depend on it
	}
	f.coldRequests++
	if f.coldRequests == 1 && overload.Overloaded() && !overload.DrawAdmission(&f.Flow) || f.coldRequests > maxColdRequests {
		return false
	}
	start := n.rng.Intn(len(limit.coldHosts))
	for i := range limit.coldHosts {
		h := limit.coldHosts[(start+i)%len(limit.coldHosts)]
		key := limit.nameKey(h.uid)
		if h.Avoided(n.now) || !overload.HasRoom(&h.Server, &f.Flow) {
			continue // the flow would not be sent there
		}
		if h.State != balance.Up || overload.HasColdGrant(&h.Server) {
			return false // a grant is available
		}
		if limit.rate.IsExhausted(key) || !n.cluster.leases.VoteOutstanding(int(key%lease.Slots)) {
			continue
		}
		request := &coldRequest{f, h}
		granted, waits := limit.rate.Acquire(key, request, n.limitSender(limit))
		if granted {
			overload.SetColdGrant(&h.Server, &f.Flow, n.now+limit.rate.TokenLifetime(key))
		} else if !waits {
			continue
		}
		return waits
	}
	return false
}

// coldAnswered applies the owner's answer to a request for a grant. The flow goes on with or without the grant.
func (n *Node) coldAnswered(limit *localLimit, request *coldRequest, answer limits.Decision) {
	if answer.Granted {
		if answer.ExpiresAt == 0 {
			answer.ExpiresAt = n.now + limit.rate.TokenLifetime(limit.nameKey(request.host.uid))
		}
		n.cluster.overload.SetColdGrant(&request.host.Server, &request.flow.Flow, answer.ExpiresAt)
	}
	if request.flow.ended {
		n.cluster.overload.ForgetFlow(&request.flow.Flow)
		return
	}
	if answer.Granted {
		request.flow.nextLimit++ // without a grant, the next cold host may have room
	}
	if !n.blockedByLimit(request.flow) {
		n.decider.PlaceFlow(&request.flow.Flow)
	}
}
