package node

import (
	"log"

	"coursewinch/balance"
	"coursewinch/discovery"
)

// The watch on discovery is a call whose response goes on with changes. A change takes effect here within
// maxChangeDelay of the time when discovery has it and can be reached, even if one call fails or no call is open when
// it happens: the silence is noticed, a call is made, and a second one where the first brings nothing. An old watch is
// kept until a new call has brought a list, because it may only have been late. There is one call at a time, and calls
// don't follow each other closely for long: discovery also works for calls that were given up, and it has many callers.

// Times of the watch.
const (
	watchSilenceTimeout = 2200 * ms  // discovery sends a line every 2 s; one is missing
	callTimeout         = 1500 * ms  // a call that brings no list within this time is given up
	queuedCallTimeout   = 3500 * ms  // the same where discovery has refused a call since the last list, so calls queue there
	maxChangeDelay      = 6 * second // from a change at discovery until it takes effect here
	roundTripMargin     = 100 * ms   // to discovery and back, including the lateness of a loop iteration

	firstListWait         = 2 * second // flows wait this long for a first list, where pushed changes count as known at once
	readyWithoutListAfter = 5 * second // PING is answered PONG from then on, even without a list
)

// reasonSilent is logged as the reason for a lost watch or call that timed out. All other reasons are discovery's doing: it
// is down or has too many callers.
const reasonSilent = "silent"

// Watch calls discovery for the changes since the last version and for changes to come. A version is valid at its own
// address only; another address is asked for the whole list.
func (n *Node) Watch() {
	if n.pendingCall == nil { // otherwise that call's deadline leads to the next one
		n.callDiscovery()
	}
}

// callDiscovery opens a call to discovery.
func (n *Node) callDiscovery() {
	for n.net.Room() < 1 && n.shedOne() {
	}
	c := &conn{role: roleWatch, discoveryAddr: n.config.Discovery, requestedRev: -1, queuedAt: n.now}
	if c.discoveryAddr == n.listAddr {
		c.requestedRev = n.listRev
	}
	c.timer.run = func() { n.watchLost(c, reasonSilent) }
	c.id = n.register(c)
	n.pendingCall = c
	n.Count.Calls++
	n.deadlines.set(&c.timer, n.now+n.listTimeout())
	n.net.Dial(c.id, c.discoveryAddr, &c.in, &c.out)
}

// listTimeout returns how long a call may go without a list. It is longer where discovery has refused a call: when
// discovery has more callers than it can answer, calls that are given up sooner than its queue is served are each answered
// only after this node has dropped them.
func (n *Node) listTimeout() int64 {
	if !n.callRefused {
		return callTimeout
	}
	return min(queuedCallTimeout, maxChangeDelay-roundTripMargin-n.settings.WatchBackoffLimit())
}

// watchSilent handles a watch that has missed a line. The watch is kept until another one works, but no longer trusted.
func (n *Node) watchSilent(c *conn) {
	c.stale = true
	n.callFailed(c, reasonSilent)
}

// readWatch reads what came on a watch or call.
func (n *Node) readWatch(c *conn) {
	wholeBefore := c.reader.CompleteLines
	for c.in.Len() > 0 {
		chunk := c.in.Contiguous()
		size := len(chunk)
		err := c.reader.Feed(chunk, func(update discovery.List) { n.receiveList(c, update) })
		if n.conns.get(c.id) != c {
			return // the list has closed this connection
		}
		c.in.Discard(size)
		if err != nil {
			n.watchLost(c, err.Error())
			return
		}
	}
	if c == n.watch && c.reader.CompleteLines > wholeBefore { // only whole lines count, not bytes of a line that never ends
		c.stale = false
		n.deadlines.set(&c.timer, n.now+watchSilenceTimeout)
	}
	n.net.RingsChanged(c.id)
}

// receiveList applies a list. The first list of a call makes that call the watch.
func (n *Node) receiveList(c *conn, update discovery.List) {
	if c == n.pendingCall {
		if c.requestedRev >= 0 && update.Rev < c.requestedRev && !update.All {
			n.listRev = -1 // discovery has restarted with new versions: the whole list is requested
			n.watchLost(c, "began anew")
			n.callDiscovery()
			return
		}
		if n.watch != nil {
			n.close(n.watch)
		}
		n.pendingCall = nil
		n.watch = c
		n.callRefused = false
		c.timer.run = func() { n.watchSilent(c) }
		n.deadlines.set(&c.timer, n.now+watchSilenceTimeout)
		log.Printf("msg=watching discovery=%s rev=%d all=%t hosts=%d", c.discoveryAddr, update.Rev, update.All, len(update.Entries))
	}
	kind := balance.ListChanges
	if update.All {
		kind = balance.ListComplete
	}
	n.listAddr, n.listRev = c.discoveryAddr, update.Rev
	n.Count.Lists++
	n.announceDrains(update)
	n.applyList(kind, update)
	n.finishJoining()
	n.releaseHeldFlows()
}

// watchLost closes a watch or call that is broken, was silent for too long or sent something invalid.
func (n *Node) watchLost(c *conn, reason string) {
	n.close(c)
	if c == n.pendingCall {
		n.pendingCall = nil
		n.callRefused = n.callRefused || reason != reasonSilent
	} else {
		n.watch = nil
		if c.stale {
			return // already reported when it fell silent
		}
	}
	n.callFailed(c, reason)
}

// callFailed counts and logs a failed watch or call. The module then asks for the next call, unless one is open.
func (n *Node) callFailed(c *conn, reason string) {
	n.Count.CallsFailed++
	log.Printf("msg=watch_lost why=%q discovery=%s rev=%d", reason, c.discoveryAddr, n.listRev)
	if n.pendingCall == nil {
		n.decider.BeginList(balance.ListRefused)
		n.decider.EndList(balance.ListRefused)
	}
}

// SetDiscovery watches discovery at another address. The current watch is kept until the new one has brought a list.
func (n *Node) SetDiscovery(addr string) {
	n.Count.Reloads++
	if addr == n.config.Discovery {
		return
	}
	n.config.Discovery, n.callRefused = addr, false
	if n.pendingCall != nil {
		n.close(n.pendingCall)
		n.pendingCall = nil
	}
	if n.watch == nil || n.watch.discoveryAddr != addr || n.watch.stale {
		n.callDiscovery()
	}
}

// holdsFlows reports whether flows wait for the first list. Pushed changes count as known from the start of a process, and
// the list that this process started with may be old: while a first list can be expected, no flow is sent to a host by the
// old list alone. A successor's list is not old.
func (n *Node) holdsFlows() bool {
	return n.settings.ListsPushed && n.Count.Lists == 0 && !n.handover.isSuccessor && n.now < n.startedAt+firstListWait
}

// holdFlow keeps a flow until the first list has come. After half of its time it is rejected, which leaves the client the
// other half for a retry.
func (n *Node) holdFlow(f *flow) {
	f.awaitsList = true
	n.heldFlows = append(n.heldFlows, f)
	n.deadlines.set(&f.timer, n.now+(f.Deadline-n.now)/2)
	if n.heldTimer.position == 0 {
		n.deadlines.set(&n.heldTimer, n.startedAt+firstListWait)
	}
}

// releaseHeldFlows starts the flows that waited for the first list.
func (n *Node) releaseHeldFlows() {
	n.deadlines.cancel(&n.heldTimer)
	held := n.heldFlows
	n.heldFlows = nil
	for _, f := range held {
		if f.awaitsList && !f.ended {
			f.awaitsList = false
			n.startFlow(f)
		}
	}
}

// startFlow passes a flow to the module, unless a fleet limit makes it wait or refuses it.
func (n *Node) startFlow(f *flow) {
	n.deadlines.set(&f.timer, f.Deadline)
	if !n.blockedByLimit(f) {
		n.decider.PlaceFlow(&f.Flow)
	}
}
