package node

import (
	"coursewinch/balance"
	"coursewinch/cluster/peers"
)

const maxPeerHeldGroups = 4096 // groups that peers alone have named

// Tell passes what the module has for the other nodes on to the sockets; without peers nobody hears it.
func (n *Node) Tell(servers []*balance.Server, holders []balance.Home) {
	if n.config.Tell != nil {
		peers.Write(servers, holders, n.config.Tell)
	}
}

// Heard takes a datagram of another node. What makes no sense, or names hosts that the list doesn't, is dropped.
func (n *Node) Heard(datagram []byte) {
	defer n.recoverPanic(nil)
	if !peers.Read(datagram, func(host uint32, busy float64) {
		if h := n.hostsByShortHash[host]; h != nil {
			n.decider.Reported(&h.Server, busy, false)
		}
	}, n.peerHoldsGroup) {
		n.logThrottled("peer_unread", "a datagram that is none of ours")
	}
}

// peerHoldsGroup keeps where others hold a group for the time when this node meets it.
func (n *Node) peerHoldsGroup(group, host uint32) {
	h := n.hostsByShortHash[host]
	if h == nil {
		return
	}
	if len(n.peerHeldGroups) >= maxPeerHeldGroups {
		clear(n.peerHeldGroups) // guards the memory; what still holds is told again
	}
	n.peerHeldGroups[group] = h
	if g := n.groups[n.groupHashes[group]]; g != nil {
		n.decider.Held(&g.Group, &h.Server)
	}
}

// announcePeerHolder tells the module of a new group what others said of it before.
func (n *Node) announcePeerHolder(g *group) {
	n.groupHashes[peers.Short(g.Hash)] = g.Hash
	if h := n.peerHeldGroups[peers.Short(g.Hash)]; h != nil {
		n.decider.Held(&g.Group, &h.Server)
	}
}
