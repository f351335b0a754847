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
	for _, l := range n.cluster.limits {
		if l.Over != OverCold {
			continue
		}
		l.coldHosts = l.coldHosts[:0]
		for _, h := range n.hostList {
			if h.State == balance.Up && n.cluster.overload.ColdRate(&h.Server) > 0 {
				l.coldHosts = append(l.coldHosts, h)
			}
		}
	}
}

// coldLimit is what an owner grants of a host now, by how many nodes have lent it their part.
func (n *Node) coldLimit(l *localLimit, key uint64) limits.Limit {
	for _, h := range l.coldHosts {
		if l.nameKey(h.uid) == key {
			part := coldBaseShare + coldLentShare*float64(n.cluster.leases.Voters(int(key%lease.Slots)))/float64(n.config.Cluster.Others+1)
			return limits.Limit{Rate: part * n.cluster.overload.ColdRate(&h.Server), Burst: coldBurst, Strict: true}
		}
	}
	return limits.Limit{Strict: true}
}

// awaitsColdGrant asks for a grant for a cold host that this node has none for, and tells whether the flow waits for it.
func (n *Node) awaitsColdGrant(f *flow, l *localLimit) bool {
	if len(l.coldHosts) == 0 {
		return false
	}
	o := n.cluster.overload
	if f.coldRequests++; f.coldRequests == 1 && o.Short() && !o.Draw(&f.Flow) || f.coldRequests > maxColdRequests {
		return false
	}
	from := n.rng.Intn(len(l.coldHosts))
	for i := range l.coldHosts {
		h := l.coldHosts[(from+i)%len(l.coldHosts)]
		key := l.nameKey(h.uid)
		if h.Avoided(n.now) || !o.Takes(&h.Server, &f.Flow) {
			continue // it would not be sent there
		}
		if h.State != balance.Up || o.Granted(&h.Server) {
			return false // one is in hand
		}
		if l.rate.Empty(key) || !n.cluster.leases.Lent(int(key%lease.Slots)) {
			continue
		}
		q := &coldRequest{f, h}
		yes, waits := l.rate.Take(key, q, n.limitSender(l))
		if yes {
			o.Grant(&h.Server, &f.Flow, n.now+l.rate.Held(key))
		} else if !waits {
			continue
		}
		return waits
	}
	return false
}

// coldAnswered takes the word on a grant. The flow that waited goes on with it or without.
func (n *Node) coldAnswered(l *localLimit, q *coldRequest, a limits.Answer) {
	if a.Yes {
		if a.Until == 0 {
			a.Until = n.now + l.rate.Held(l.nameKey(q.host.uid))
		}
		n.cluster.overload.Grant(&q.host.Server, &q.flow.Flow, a.Until)
	}
	if q.flow.ended {
		n.cluster.overload.Forget(&q.flow.Flow)
		return
	}
	if a.Yes {
		q.flow.nextLimit++ // else the next cold host may have room
	}
	if !n.blockedByLimit(q.flow) {
		n.decider.Demand(&q.flow.Flow)
	}
}
