package node

import (
	"cmp"
	"log"
	"slices"

	"coursewinch/balance"
	"coursewinch/lines"
)

// A node is emptied for two reasons: it was told to end, or to drain. Either way what still comes is taken and answered
// in time, and all clients are told to move, spread, by an end.

const (
	moveInterval      = 10 * ms
	lateMoveInterval  = 100 * ms // between steps once all should have gone
	minStopTime       = second   // new connections may go on coming
	moveMargin        = 300 * ms // for the last moves to reach their clients
	lastLineTime      = 100 * ms // for clients to take the last word and end as well, before the process does
	firstMoveDivisor  = 2        // one of so many parts of the time passes before the first move at a stop
	drainMoveDelay    = 500 * ms // after the front has turned away: who moves sooner may be sent back here
	drainDuration     = 3300 * ms
	drainAnswerMargin = 100 * ms // before that, the last flow has its answer
)

// Stop begins an orderly end: new flows are still taken, and all clients are told to move, spread over the time.
func (n *Node) Stop() {
	if n.stopAt == 0 {
		log.Printf("msg=stopping flows=%d", n.flows.count)
		n.stopAt = n.now
		n.stopDeadline = n.now + min(cmp.Or(n.settings.Longest, 3*second), 3*second) + second/2
		first := n.now + (n.stopDeadline-moveMargin-n.now)/firstMoveDivisor
		if n.drainAt > 0 {
			first = min(first, max(n.now, n.drainAt+drainMoveDelay))
		}
		n.deadlines.set(&n.moveTimer, first)
		n.deadlines.set(&n.stopAcceptTimer, n.now+moveInterval)
		n.shortenAllDeadlines()
		if t := &n.handover; t.yielded {
			n.deadlines.set(&t.timer, n.now)
		}
		n.announceStop()
	}
}

// Drain empties the node and keeps it so until Resume. Again while drained it changes nothing.
func (n *Node) Drain() {
	if n.drainAt > 0 {
		return
	}
	log.Printf("msg=drained flows=%d", n.flows.count)
	n.drainAt = n.now
	n.shortenAllDeadlines()
	if n.stopAt == 0 {
		n.deadlines.set(&n.moveTimer, n.now+drainMoveDelay)
	}
}

// Resume takes a drained node back to work.
func (n *Node) Resume() {
	if n.drainAt == 0 {
		return
	}
	log.Printf("msg=resumed flows=%d", n.flows.count)
	n.drainAt = 0
	if n.stopAt == 0 {
		n.deadlines.cancel(&n.moveTimer)
	}
}

// lastAnswerBy is when the last flow is to have its answer; 0 while the node neither drains nor ends.
func (n *Node) lastAnswerBy() int64 {
	switch {
	case n.drainAt > 0:
		return n.lastMoveBy() - drainAnswerMargin
	case n.stopAt > 0:
		return n.stopDeadline - moveMargin/2 // a flow that is up by then is told to move in the next step
	}
	return 0
}

// shortenAllDeadlines hastens the flows in hand. Guards those that came before the node was told to end or to drain, and may wait
// for longer than it has left.
func (n *Node) shortenAllDeadlines() {
	for _, entry := range n.flows.entries {
		if f := entry.value; f != nil && !f.ended && f.stage != Established {
			n.shortenDeadline(f)
		}
	}
}

// shortenDeadline cuts a flow's time, so that it has its answer before the end, whatever its connect timeout.
func (n *Node) shortenDeadline(f *flow) {
	end := n.lastAnswerBy()
	if end == 0 || f.Deadline <= end {
		return
	}
	f.Deadline = end
	if f.timer.position > 0 && f.timer.at > end {
		n.deadlines.set(&f.timer, end)
	}
}

// lastMoveBy is when the last client is to have been told to move; 0 while none is.
func (n *Node) lastMoveBy() int64 {
	switch {
	case n.drainAt > 0 && n.stopAt > 0:
		return min(n.drainAt+drainDuration, n.stopDeadline-moveMargin)
	case n.drainAt > 0:
		return n.drainAt + drainDuration
	case n.stopAt > 0:
		return n.stopDeadline - moveMargin
	}
	return 0
}

// stopAccepting shuts the door of a node that ends, once nothing is in hand and nothing more has to be expected, or all answers
// have been given because the end is near. Clients that rest without a flow have a last word then, as a line of theirs may
// be on its way; what still comes is turned away.
func (n *Node) stopAccepting() {
	least := min(n.stopAt+minStopTime, n.stopDeadline-lastLineTime)
	if n.handover.yielded {
		least = n.stopAt // nothing new comes here
	}
	if n.now < n.stopDeadline-lastLineTime && (n.now < least || n.flows.count > 0 || !n.allHandedOver()) {
		n.deadlines.set(&n.stopAcceptTimer, n.now+moveInterval)
		return
	}
	n.acceptStoppedAt = n.now
	for _, entry := range n.conns.entries {
		if c := entry.value; c != nil && c.role == roleNew {
			n.sendFinalLine(c, busyLine)
		}
	}
	n.deadlines.set(&n.stopAcceptTimer, min(n.acceptStoppedAt+lastLineTime, n.stopDeadline)) // a turn for the end
	n.stopAcceptTimer.run = func() {}
}

// allHandedOver tells whether no client is yet to be handed on to the process that has taken over.
func (n *Node) allHandedOver() bool {
	return !n.handover.yielded || !slices.ContainsFunc(n.conns.entries, func(s slot[conn]) bool { return s.value != nil && s.value.role == roleNew })
}

// Done tells whether an orderly end has come to its end: each client has its last word and has ended as well, or has had
// the time to.
func (n *Node) Done() bool {
	switch {
	case n.stopAt == 0:
		return false
	case n.now >= n.stopDeadline:
		return true
	case n.acceptStoppedAt == 0:
		return false
	}
	return n.now >= n.acceptStoppedAt+lastLineTime || !slices.ContainsFunc(n.conns.entries, func(s slot[conn]) bool {
		return s.value != nil && s.value.role == roleClosing && s.value.host == nil
	})
}

// moveDueFlows moves the share of the open flows that this step is due, evenly up to the end. Guards against flows cut off
// at the kill, against a crowd that all comes again at once, and, by beginning late, against clients that come back
// here or wait for a node that was stopped before and is not back yet; and clients that were served to their end, where
// nobody has read that yet.
func (n *Node) moveDueFlows() {
	established := int64(0)
	for _, entry := range n.flows.entries {
		if entry.value != nil && entry.value.stage == Established {
			established++
		}
	}
	left := n.lastMoveBy() - n.now
	last := left <= moveInterval
	left = max(left, moveInterval)
	quota := (established*moveInterval + left - 1) / left
	for _, entry := range n.flows.entries {
		if f := entry.value; f != nil && !f.ended && f.stage == Established && quota > 0 && (last || n.canMove(f)) {
			quota--
			n.moveClient(f)
			n.endFlow(f, balance.Recalled)
		}
	}
	next := max(left/max(established, 1), moveInterval)
	if last && n.stopAt == 0 {
		next = lateMoveInterval
	}
	n.deadlines.set(&n.moveTimer, n.now+next)
}

// clientTakesLine tells whether a word of the node's own can go to the client now: between two lines, and behind those of the
// host that wait for room.
func (f *flow) clientTakesLine() bool {
	return !f.client.midLine && f.client.out.Free() >= len(moveLine) && f.upstream.in.Line() == nil
}

// canMove tells whether a flow can be told to move now: its client can take the word, and its host has neither said its last
// one nor ended, whether or not that has been read.
func (n *Node) canMove(f *flow) bool {
	return f.clientTakesLine() && f.lastWord == lines.Other && !n.net.Gone(f.upstream.id)
}

const moveLine = "MOVE\r\n"
