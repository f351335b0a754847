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
	from      string // address of the discovery service
	rev       int64  // revision of the list
	until     int64  // an older list counts again from then on, because a discovery that restarts begins with new revisions
	overruled bool   // an older list of this process says that the host takes flows
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
		n.peerDrains[uid] = &peerDrain{from: drains.From, rev: drains.Rev, until: n.now + maxChangeDelay}
		if h := n.hosts[uid]; h != nil && h.State == balance.Up {
			update.Entries = append(update.Entries, n.entryInState(h, listedDraining))
		}
	}
	if len(update.Entries) > 0 {
		n.applyList(balance.ListRemembered, update)
	}
	if n.peerDrainTimer.position == 0 {
		n.deadlines.set(&n.peerDrainTimer, n.now+maxChangeDelay)
	}
}

// stateOf returns the state of a host for which this process's list has the given one.
func (n *Node) stateOf(uid string, listed balance.State) balance.State {
	drain := n.peerDrains[uid]
	if drain == nil {
		return listed
	}
	drain.overruled = listed == balance.Up && drain.from == n.listAddr && drain.rev > n.listRev && n.now < drain.until
	if drain.overruled {
		return balance.Draining
	}
	return listed
}

// endPeerDrains forgets what the peer process said long ago. Hosts that take flows according to this process's own list do so
// from now on, although that list is older.
func (n *Node) endPeerDrains() {
	var update discovery.List
	next := int64(0) // when the next one is forgotten
	for _, uid := range slices.Sorted(maps.Keys(n.peerDrains)) {
		drain := n.peerDrains[uid]
		if n.now < drain.until {
			if next == 0 || drain.until < next {
				next = drain.until
			}
			continue
		}
		delete(n.peerDrains, uid)
		if h := n.hosts[uid]; h != nil && drain.overruled {
			update.Entries = append(update.Entries, n.entryInState(h, listedReady))
		}
	}
	if len(update.Entries) > 0 {
		n.applyList(balance.ListRemembered, update)
	}
	if next > 0 {
		n.deadlines.set(&n.peerDrainTimer, next)
	}
}
