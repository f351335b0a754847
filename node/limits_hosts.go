package node

import (
	"coursewinch/balance"
)

// Limits over hosts: a node keeps permits for hosts in advance, because the module picks a host without waiting.

// exhaustedFor is how long more spare permits are kept for a host after it had none left for a flow.
const exhaustedFor = 2 * second

// keepHostPermits reports to a limit over hosts how many flows this node has at each host, and how many spare permits it
// wants to hold there.
func (n *Node) keepHostPermits(limit *localLimit) {
	nodes := n.config.Cluster.Others + 1
	for _, h := range n.hostList {
		key, ok := limit.hostKey(h)
		if !ok {
			continue
		}
		use, spare := h.OwnFlows(), 0
		exhaustedAt, exhausted := limit.exhaustedAt[h]
		switch {
		case h.State != balance.Up:
		case exhausted && n.now-exhaustedAt < exhaustedFor:
			spare = 1 + use/4
		case use == 0 || limit.AtOnce.Max >= 4*nodes:
			spare = 1
		}
		if n.now-exhaustedAt >= exhaustedFor {
			delete(limit.exhaustedAt, h)
		}
		limit.concurrent.SetUsage(key, use, spare)
	}
}

// hostBounds are the module's bounds where there are also limits over hosts.
type hostBounds struct {
	balance.Bounds
	n *Node
}

// RoomProbability returns the room for a flow at a server, which is 0 where this node holds no free permit for it.
func (b hostBounds) RoomProbability(server *balance.Server, f *balance.Flow) float64 {
	room := b.Bounds.RoomProbability(server, f)
	if h := b.n.hosts[server.Name]; room > 0 && h != nil {
		for _, limit := range b.n.cluster.limits {
			if key, ok := limit.hostKey(h); ok && h.OwnFlows() >= limit.concurrent.Allowed(key) {
				limit.exhaustedAt[h] = b.n.now
				return 0
			}
		}
	}
	return room
}
