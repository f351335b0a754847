package node

import (
	"coursewinch/balance"
	"coursewinch/cluster/peers"
)

// maxPeerHeldGroups bounds the groups of which it is remembered where other nodes hold them.
const maxPeerHeldGroups = 4096

// Publish sends what the module reports to the other nodes. Where no way to send is configured, it does nothing.
func (n *Node) Publish(servers []*balance.Server, holders []balance.GroupPlacement) {
	if n.config.Broadcast != nil {
		peers.Encode(servers, holders, n.config.Broadcast)
	}
}

// ReceivePeerDatagram handles a datagram of another node. Invalid datagrams and hosts that are not listed are ignored.
func (n *Node) ReceivePeerDatagram(datagram []byte) {
	defer n.recoverPanic(nil)
	if !peers.Decode(datagram, func(host uint32, busy float64) {
		if h := n.hostsByShortHash[host]; h != nil {
			n.decider.LoadReported(&h.Server, busy, false)
		}
	}, n.peerHoldsGroup) {
		n.logThrottled("peer_unread", "datagram in an unknown encoding")
	}
}

// peerHoldsGroup records that a host holds a group for another node. It is reported to the module at once if this node
// knows the group, otherwise when its first flow comes.
func (n *Node) peerHoldsGroup(group, host uint32) {
	h := n.hostsByShortHash[host]
	if h == nil {
		return
	}
	if len(n.peerHeldGroups) >= maxPeerHeldGroups {
		clear(n.peerHeldGroups) // bounds memory; what is still true is reported again
	}
	n.peerHeldGroups[group] = h
	if g := n.groups[n.groupHashes[group]]; g != nil {
		n.decider.PlacementReported(&g.Group, &h.Server)
	}
}

// announcePeerHolder tells the module which host holds a new group for another node, if that is known.
func (n *Node) announcePeerHolder(g *group) {
	n.groupHashes[peers.ShortHash(g.Hash)] = g.Hash
	if h := n.peerHeldGroups[peers.ShortHash(g.Hash)]; h != nil {
		n.decider.PlacementReported(&g.Group, &h.Server)
	}
}
