package node

import (
	"maps"
	"slices"

	"coursewinch/handover"
)

// While two processes serve one node, what either of them learns after the State was made has to reach the other one. It is
// collected here and sent at the end of the loop iteration. What can't be sent yet stays and is sent later: the predecessor
// sends nothing while its State is on its way, and a peer process that hangs reads nothing.

// Bounds of updates.
const (
	updateRetryInterval = 10 * ms // after a message that the link could not take
	maxDrainsPerMessage = 500     // hosts
)

// peerUpdates is what the peer process has not been sent yet.
type peerUpdates struct {
	command   bool            // the newest operators' command
	confirmed uint64          // number of the newest command of the peer process; 0 if it need not be confirmed
	ids       []uint64        // hashes of request ids that clients gave to this process, oldest first
	reload    bool            // this process was told to read its configuration file again
	yield     *handover.Yield // this process has yielded to its successor
	leave     bool            // this process stops before its successor has taken over
	drains    map[string]bool // UIDs of hosts that take no new flows
	retry     deadline
}

// addDrain notes that a host takes no new flows.
func (u *peerUpdates) addDrain(uid string) {
	if u.drains == nil {
		u.drains = map[string]bool{}
	}
	u.drains[uid] = true
}

// ShareReload makes the peer process read its configuration file again, as this process was told to: a signal reaches only one
// of the two.
func (n *Node) ShareReload() { n.handover.updates.reload = n.handover.peer != nil }

// useRequestID notes that a client uses a request id, here and at the peer process. It reports false if another client has
// used it before.
func (n *Node) useRequestID(id uint64) bool {
	if !n.recentIDs.add(id) {
		return false
	}
	if updates := &n.handover.updates; n.handover.peer != nil {
		updates.ids = append(updates.ids, id)
		updates.ids = updates.ids[max(len(updates.ids)-n.limits.IDs, 0):]
	}
	return true
}

// clear forgets all updates, because there is no peer process any more.
func (u *peerUpdates) clear(n *Node) {
	n.deadlines.cancel(&u.retry)
	*u = peerUpdates{retry: u.retry}
}

// sendUpdates sends the peer process what it has not been sent yet. It is called at the end of each loop iteration.
func (n *Node) sendUpdates() {
	if !n.handover.canSend() {
		return
	}
	for {
		message, sent := n.nextUpdate()
		if message == nil {
			return
		}
		if !n.handover.peer.Send(message) {
			n.deadlines.set(&n.handover.updates.retry, n.now+updateRetryInterval)
			return
		}
		sent()
	}
}

// nextUpdate returns the next message for the peer process, and a function to be called once it is sent; nil if there is
// nothing to send.
func (n *Node) nextUpdate() (message *handover.Message, sent func()) {
	updates := &n.handover.updates
	switch {
	case updates.command:
		command := n.newestCommand()
		return &handover.Message{Command: &command}, func() { updates.command = false }
	case updates.confirmed > 0:
		return &handover.Message{Confirmed: updates.confirmed}, func() { updates.confirmed = 0 }
	case updates.reload:
		return &handover.Message{Reload: true}, func() { updates.reload = false }
	case len(updates.ids) > 0:
		ids := updates.ids[:min(len(updates.ids), handover.MaxIDsPerMessage)]
		return &handover.Message{IDs: ids}, func() { updates.ids = updates.ids[len(ids):] }
	case len(updates.drains) > 0:
		uids := slices.Sorted(maps.Keys(updates.drains))
		uids = uids[:min(len(uids), maxDrainsPerMessage)]
		return &handover.Message{Drains: &handover.Drains{From: n.listAddr, Rev: n.listRev, UIDs: uids}}, func() {
			for _, uid := range uids {
				delete(updates.drains, uid)
			}
		}
	case updates.yield != nil:
		return &handover.Message{Yield: updates.yield}, func() { updates.yield = nil }
	case updates.leave:
		return &handover.Message{Leave: true}, func() { updates.leave = false }
	}
	return nil, nil
}
