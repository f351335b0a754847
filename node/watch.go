package node

import (
	"log"

	"coursewinch/balance"
	"coursewinch/discovery"
)

// The watch on discovery. Where one call fails, or none is out when something changes, it is taken in within six seconds of
// discovery having it and being there to be asked: silence is noticed, a call made, and another where that brings nothing.
// A watch goes on until a call has brought a list: it may only have been late. Calls are neither made beside each other
// nor soon after each other for long: discovery works for those that were given up as well, and has many callers.

const (
	watchSilenceTimeout = 2200 * ms // one of the lines that come every 2 s is missing
	callTimeout         = 1500 * ms // a call without a list is lost,
	queuedCallTimeout   = 3500 * ms // or waits its turn, where discovery has turned another away since the last list
	maxChangeDelay      = 6 * second
	roundTripMargin     = 100 * ms // to discovery and back, and what a turn of the loop may be late

	reasonSilent = "silent" // why it is lost: all else ends by discovery's doing, which is down or has too many callers

	firstListWait         = 2 * second // for which flows wait for a first list, where what is pushed counts as told at once
	readyWithoutListAfter = 5 * second // the front is told yes, also without any list
)

// Watch asks discovery for what has changed since the last version, and to go on telling. A version counts at its own
// address only: another is asked for the whole list.
func (n *Node) Watch() {
	if n.pendingCall == nil { // else its own deadline sees to it
		n.callDiscovery()
	}
}

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
	n.deadlines.set(&c.timer, n.now+n.callPatience())
	n.net.Dial(c.id, c.discoveryAddr, &c.in, &c.out)
}

// callPatience is how long a call may go without a list. Guards discovery against work for calls that were given up: with more
// callers than it can answer, those that wait for less than its queue is long are each answered when nobody listens.
func (n *Node) callPatience() int64 {
	if !n.callRefused {
		return callTimeout
	}
	return min(queuedCallTimeout, maxChangeDelay-roundTripMargin-n.settings.RefusedMost())
}

// watchSilent is that a watch has missed a line. It is kept until another is there, and counts for nothing until then.
func (n *Node) watchSilent(c *conn) {
	c.stale = true
	n.callFailed(c, reasonSilent)
}

func (n *Node) readWatch(c *conn) {
	wholeBefore := c.reader.Whole
	for c.in.Len() > 0 {
		chunk := c.in.Head()
		size := len(chunk)
		err := c.reader.Feed(chunk, func(update discovery.List) { n.receiveList(c, update) })
		if n.conns.get(c.id) != c {
			return // what it told has ended it
		}
		c.in.Drop(size)
		if err != nil {
			n.watchLost(c, err.Error())
			return
		}
	}
	if c == n.watch && c.reader.Whole > wholeBefore { // guards against one that trickles and never ends a line
		c.stale = false
		n.deadlines.set(&c.timer, n.now+watchSilenceTimeout)
	}
	n.net.Touch(c.id)
}

// receiveList takes in a list. The first of a call makes it the one that is watched.
func (n *Node) receiveList(c *conn, update discovery.List) {
	if c == n.pendingCall {
		if c.requestedRev >= 0 && update.Rev < c.requestedRev && !update.All {
			n.listRev = -1 // it began anew, and its versions are others: the whole list is asked for
			n.watchLost(c, "began anew")
			n.callDiscovery()
			return
		}
		if n.watch != nil {
			n.close(n.watch)
		}
		n.pendingCall, n.watch, n.callRefused = nil, c, false
		c.timer.run = func() { n.watchSilent(c) }
		n.deadlines.set(&c.timer, n.now+watchSilenceTimeout)
		log.Printf("msg=watching discovery=%s rev=%d all=%t hosts=%d", c.discoveryAddr, update.Rev, update.All, len(update.Entries))
	}
	kind := balance.Changes
	if update.All {
		kind = balance.Whole
	}
	n.listAddr, n.listRev = c.discoveryAddr, update.Rev
	n.Count.Lists++
	n.applyList(kind, update)
	n.announceDrains(update)
	n.finishJoining()
	n.releaseHeldFlows()
}

// watchLost is that a watch or call is broken, silent for too long or makes no sense.
func (n *Node) watchLost(c *conn, reason string) {
	n.close(c)
	if c == n.pendingCall {
		n.pendingCall, n.callRefused = nil, n.callRefused || reason != reasonSilent
	} else if n.watch = nil; c.stale {
		return // said when it fell silent
	}
	n.callFailed(c, reason)
}

// callFailed counts it; the module asks again, unless another call is out.
func (n *Node) callFailed(c *conn, reason string) {
	n.Count.CallsFailed++
	log.Printf("msg=watch_lost why=%q discovery=%s rev=%d", reason, c.discoveryAddr, n.listRev)
	if n.pendingCall == nil {
		n.decider.List(balance.Refused)
		n.decider.ListEnd(balance.Refused)
	}
}

// Follow watches discovery at another address, beside the one watched now until the new one speaks.
func (n *Node) Follow(addr string) {
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

// holdsFlows tells whether flows wait for the first list. What is pushed counts as told from the first moment of a process,
// and the list that this one began with may be old: nothing goes to a host by it alone while a first list can be expected.
func (n *Node) holdsFlows() bool {
	return n.settings.Pushed && n.Count.Lists == 0 && !n.handover.isSuccessor && n.now < n.startedAt+firstListWait
}

// holdFlow keeps a flow until the first list has come. It is given up after half of its time, so that its client has the other.
func (n *Node) holdFlow(f *flow) {
	f.awaitsList = true
	n.heldFlows = append(n.heldFlows, f)
	n.deadlines.set(&f.timer, n.now+(f.Deadline-n.now)/2)
	if n.heldTimer.position == 0 {
		n.deadlines.set(&n.heldTimer, n.startedAt+firstListWait)
	}
}

// releaseHeldFlows lets go on what waited for the first list.
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

// startFlow hands a flow to the module, if no limit of the fleet makes it wait.
func (n *Node) startFlow(f *flow) {
	n.deadlines.set(&f.timer, f.Deadline)
	if !n.blockedByLimit(f) {
		n.decider.Demand(&f.Flow)
	}
}
