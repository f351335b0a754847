package node

import (
	"coursewinch/balance"
	"coursewinch/cluster/lease"
	"coursewinch/cluster/limits"
)

// What all nodes together may send a cold host is granted by the owner of the host's key, a flow at a time. Of what the
// rule allows coldBase is the owner's to grant whatever links do, and coldLent is split evenly among all nodes, each of
// which lends the owner its part with its vote for as long as that lasts. Who has lent its part asks; who has not may
// send as much as that by its own guess. So a part is the owner's or the node's, and never both at a moment.
const (
	coldBaseShare   = 0.50
	coldLentShare   = 0.35 // what a node without words guesses by: cluster/overload
	coldBurst       = 2
	maxColdRequests = 3 // hosts that one flow asks for
)

// coldRequest is a flow that waits for a grant for some cold host, and goes on without one as well.
type coldRequest struct {
	flow *flow
	host *host
}

// findColdHosts notes which hosts are cold.
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

// coldLimit is what an owner grants of a host now, by how many nodes have lent it their part.
func (n *Node) coldLimit(limit *localLimit, key uint64) limits.Limit {
	for _, h := range limit.coldHosts {
		if limit.nameKey(h.uid) == key {
			part := coldBaseShare + coldLentShare*float64(n.cluster.leases.Voters(int(key%lease.Slots)))/float64(n.config.Cluster.Others+1)
			return limits.Limit{Rate: part * n.cluster.overload.ColdRate(&h.Server), Burst: coldBurst, Strict: true}
		}
	}
	return limits.Limit{Strict: true}
}

// awaitsColdGrant asks for a grant for a cold host that this node has none for, and tells whether the flow waits for it.
func (n *Node) awaitsColdGrant(f *flow, limit *localLimit) bool {
	if len(limit.coldHosts) == 0 {
		return false
	}
	overload := n.cluster.overload
	if f.coldRequests++; f.coldRequests == 1 && overload.Short() && !overload.Draw(&f.Flow) || f.coldRequests > maxColdRequests {
		return false
	}
	start := n.rng.Intn(len(limit.coldHosts))
	for i := range limit.coldHosts {
		h := limit.coldHosts[(start+i)%len(limit.coldHosts)]
		key := limit.nameKey(h.uid)
		if h.Avoided(n.now) || !overload.Takes(&h.Server, &f.Flow) {
			continue // it would not be sent there
		}
		if h.State != balance.Up || overload.Granted(&h.Server) {
			return false // one is in hand
		}
		if limit.rate.Empty(key) || !n.cluster.leases.Lent(int(key%lease.Slots)) {
			continue
		}
		request := &coldRequest{f, h}
		granted, waits := limit.rate.Take(key, request, n.limitSender(limit))
		if granted {
			overload.Grant(&h.Server, &f.Flow, n.now+limit.rate.Held(key))
		} else if !waits {
			continue
		}
		return waits
	}
	return false
}

// coldAnswered takes the word on a grant. The flow that waited goes on with it or without.
func (n *Node) coldAnswered(limit *localLimit, request *coldRequest, answer limits.Answer) {
	if answer.Yes {
		if answer.Until == 0 {
			answer.Until = n.now + limit.rate.Held(limit.nameKey(request.host.uid))
		}
		n.cluster.overload.Grant(&request.host.Server, &request.flow.Flow, answer.Until)
	}
	if request.flow.ended {
		n.cluster.overload.Forget(&request.flow.Flow)
		return
	}
	if answer.Yes {
		request.flow.nextLimit++ // else the next cold host may have room
	}
	if !n.blockedByLimit(request.flow) {
		n.decider.Demand(&request.flow.Flow)
	}
}
