package node

import (
	"cmp"
	"log"
	"slices"

	"coursewinch/balance"
	"coursewinch/lines"
)

// A node is emptied when it is stopped or drained. In both cases requests that still arrive are accepted and answered in
// time, and all clients are moved, spread over the time that is left.

const (
	moveInterval      = 10 * ms    // between two steps of moving flows
	lateMoveInterval  = 100 * ms   // the same once all flows should have been moved
	minStopTime       = second     // new connections may still arrive for this long after a stop
	moveMargin        = 300 * ms   // for the last MOVE lines to reach their clients before the process ends
	lastLineTime      = 100 * ms   // for clients to read their last line and close, before the process ends
	firstMoveDivisor  = 2          // the first move at a stop comes after the time for moves divided by this
	maxStopTime       = 3 * second // bounds the part of a stop that follows from the longest connect timeout
	extraStopTime     = second / 2 // added to that part
	drainMoveDelay    = 500 * ms   // until the front-end load balancer sends elsewhere; clients moved sooner may come back here
	drainDuration     = 3300 * ms  // from a drain until the last client has been moved
	drainAnswerMargin = 100 * ms   // the last flow has its answer this long before that
)

// Stop begins an orderly end. New flows are still accepted, and all clients are moved, spread over the time that is left.
func (n *Node) Stop() {
	if n.stopAt == 0 {
		log.Printf("msg=stopping flows=%d", n.flows.count)
		n.stopAt = n.now
		n.stopDeadline = n.now + min(cmp.Or(n.settings.MaxConnectTimeout, maxStopTime), maxStopTime) + extraStopTime
		first := n.now + (n.stopDeadline-moveMargin-n.now)/firstMoveDivisor
		if n.drainAt > 0 {
			first = min(first, max(n.now, n.drainAt+drainMoveDelay))
		}
		n.deadlines.set(&n.moveTimer, first)
		n.deadlines.set(&n.stopAcceptTimer, n.now+moveInterval)
		n.shortenAllDeadlines()
		if n.handover.yielded {
			n.deadlines.set(&n.handover.timer, n.now)
		}
		n.announceStop()
	}
}

// beginDrain begins to empty the node for a drain that was called at the given time.
func (n *Node) beginDrain(at int64) {
	n.drainAt = at
	n.shortenAllDeadlines()
	if n.stopAt == 0 {
		n.deadlines.set(&n.moveTimer, at+drainMoveDelay)
	}
}

// endDrain puts a drained node back into service.
func (n *Node) endDrain() {
	n.drainAt = 0
	if n.stopAt == 0 {
		n.deadlines.cancel(&n.moveTimer)
	}
}

// lastAnswerBy returns when the last flow must have its answer; 0 while the node is neither drained nor stopping.
func (n *Node) lastAnswerBy() int64 {
	switch {
	case n.drainAt > 0:
		return n.lastMoveBy() - drainAnswerMargin
	case n.stopAt > 0:
		return n.stopDeadline - moveMargin/2 // a flow that is established by then is moved in the next step
	}
	return 0
}

// shortenAllDeadlines shortens the deadlines of all flows without an answer. Flows that came before the stop or drain may
// have a connect timeout longer than the time left.
func (n *Node) shortenAllDeadlines() {
	for _, entry := range n.flows.entries {
		if f := entry.value; f != nil && !f.ended && f.stage != Established {
			n.shortenDeadline(f)
		}
	}
}

// shortenDeadline shortens a flow's deadline so that it gets its answer before the node is empty, whatever its connect
// timeout.
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

// hastenMoves makes a drained node that has adopted a flow begin to move its flows. The next step may be far off, because it was
// set when the node had none.
func (n *Node) hastenMoves() {
	if n.drainAt == 0 || n.stopAt > 0 {
		return
	}
	next := max(n.now+moveInterval, n.drainAt+drainMoveDelay)
	if n.moveTimer.at > next {
		n.deadlines.set(&n.moveTimer, next)
	}
}

// lastMoveBy returns when the last client must have been moved; 0 while the node is neither drained nor stopping.
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

// stopAccepting stops accepting connections at a stopping node, once it has no flow and expects no more, or once the end is
// so near that all answers have been given; until then it checks again. Clients without a flow are sent BUSY, because a
// request of theirs may be on its way. Connections that arrive later are refused.
func (n *Node) stopAccepting() {
	earliest := min(n.stopAt+minStopTime, n.stopDeadline-lastLineTime)
	if n.handover.yielded {
		earliest = n.stopAt // new connections go to the successor process
	}
	if n.now < n.stopDeadline-lastLineTime && (n.now < earliest || n.flows.count > 0 || !n.allHandedOver()) {
		n.deadlines.set(&n.stopAcceptTimer, n.now+moveInterval)
		return
	}
	n.acceptStoppedAt = n.now
	for _, entry := range n.conns.entries {
		if c := entry.value; c != nil && c.role == roleNew {
			n.sendFinalLine(c, busyLine)
		}
	}
	// The timer only makes the loop run an iteration at the end.
	n.deadlines.set(&n.stopAcceptTimer, min(n.acceptStoppedAt+lastLineTime, n.stopDeadline))
	n.stopAcceptTimer.run = func() {}
}

// allHandedOver reports whether no client without a flow is left to hand over to the successor process.
func (n *Node) allHandedOver() bool {
	if !n.handover.yielded {
		return true
	}
	return !slices.ContainsFunc(n.conns.entries, func(s slot[conn]) bool {
		return s.value != nil && s.value.role == roleNew
	})
}

// Done reports whether an orderly end is complete: each client has been sent its last line and has closed its connection,
// or has had time to.
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

// moveDueFlows moves this step's share of the established flows, spread evenly over the time left. So no flow is cut off
// when the process is killed, and clients don't all reconnect at once. The moves begin late, because clients moved at once
// may come back here or have to wait for a node that was stopped before and is not back yet. A flow whose host has ended it
// is not moved, even if that end has not been read yet; in the last step all flows are moved.
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

// clientTakesLine reports whether the node can send the client a line of its own now: between two lines, and after the
// host's lines that wait for room.
func (f *flow) clientTakesLine() bool {
	return !f.client.midLine && f.client.out.Free() >= len(moveLine) && f.upstream.in.PeekLine() == nil
}

// canMove reports whether a flow can be moved now: its client can be sent the MOVE line, and its host has neither sent its
// last line nor closed its connection, read or not.
func (n *Node) canMove(f *flow) bool {
	return f.clientTakesLine() && f.lastAnswer == lines.Other && !n.net.PeerClosed(f.upstream.id)
}

// moveLine asks a client to reconnect.
const moveLine = "MOVE\r\n"
