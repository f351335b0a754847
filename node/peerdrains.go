package node

import (
	"maps"
	"slices"

	"coursewinch/balance"
	"coursewinch/discovery"
	"coursewinch/handover"
)

// During a handover both processes of a node watch discovery, and one of them may learn first that a host drains. It tells the
// other one, which sends the host no new flows either. An older list that is still on its way to that one does not take this
// back; the next list does.

// peerDrain is what the peer process's list says of a host that drains.
type peerDrain struct {
	from         string // address of the discovery service
	rev          int64  // revision of the list
	contradicted bool   // by an older list of this process, which says that the host takes flows
}

// announceDrains notes for the peer process which hosts of a list take no new flows. It is called before the list is applied.
func (n *Node) announceDrains(update discovery.List) {
	if n.handover.peer == nil {
		return
	}
	if update.All && !n.settings.DrainBindsAlone {
		for uid := range n.hosts { // those that the list leaves out; its entries follow
			n.handover.updates.addDrain(uid)
		}
	}
	for _, entry := range update.Entries {
		// Where only draining binds, a host that is gone from the list without having drained does not bind the peer.
		if entry.State == listedDraining || entry.State == listedGone && !n.settings.DrainBindsAlone {
			n.handover.updates.addDrain(entry.UID)
		} else {
			delete(n.handover.updates.drains, entry.UID)
		}
	}
}

// ApplyPeerDrains marks hosts as draining that take no new flows according to the peer process's list, unless this process's own
// list is newer.
func (n *Node) ApplyPeerDrains(drains handover.Drains) {
	if n.listAddr == drains.From && n.listRev > drains.Rev {
		return
	}
	if n.peerDrains == nil {
		n.peerDrains = map[string]*peerDrain{}
	}
	var update discovery.List
	for _, uid := range drains.UIDs {
		drain := n.peerDrains[uid]
		if drain == nil {
			drain = &peerDrain{}
			n.peerDrains[uid] = drain
		}
		drain.from, drain.rev = drains.From, drains.Rev
		if h := n.hosts[uid]; h != nil && h.State == balance.Up {
			update.Entries = append(update.Entries, n.entryInState(h, listedDraining))
		}
	}
	if len(update.Entries) > 0 {
		n.applyList(balance.ListRemembered, update)
	}
	n.deadlines.set(&n.peerDrainTimer, n.now+maxChangeDelay)
}

// effectiveState returns the state of a host for which this process's list has the given one.
func (n *Node) effectiveState(uid string, listed balance.State) balance.State {
	drain := n.peerDrains[uid]
	if drain == nil {
		return listed
	}
	drain.contradicted = listed == balance.Up && drain.from == n.listAddr && drain.rev > n.listRev
	if drain.contradicted {
		return balance.Draining
	}
	return listed
}

// endPeerDrains lets this process's own list decide about all hosts again, although it is older than what the peer process said.
// By now a newer one would have come; a discovery that has restarted begins with lower revisions.
func (n *Node) endPeerDrains() {
	ended := n.peerDrains
	n.peerDrains = nil
	var update discovery.List
	for _, uid := range slices.Sorted(maps.Keys(ended)) {
		if h := n.hosts[uid]; h != nil && ended[uid].contradicted {
			update.Entries = append(update.Entries, n.entryInState(h, listedReady))
		}
	}
	if len(update.Entries) > 0 {
		n.applyList(balance.ListRemembered, update)
	}
}
