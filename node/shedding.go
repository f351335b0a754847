package node

import (
	"container/list"
)

// setShedQueue moves a connection to the back of a queue of connections that may be shed, or out of all queues for nil.
func (n *Node) setShedQueue(c *conn, queue *list.List) {
	if c.shedQueue != nil {
		c.shedQueue.Remove(c.queueElement)
	}
	c.shedQueue = queue
	if queue != nil {
		c.queueElement, c.queuedAt = queue.PushBack(c), n.now
	}
}

// owedDescriptors returns how many descriptors are kept for connects of accepted flows, for probes and for discovery.
func (n *Node) owedDescriptors() int {
	owed := reservedDescriptors + n.flows.count - n.upstreamCount
	for _, h := range n.hostList {
		if h.probe == nil && n.settings.Probing {
			owed++
		}
	}
	return owed
}

// CanAccept reports whether one more client can be accepted, and sheds idle connections to make room. Each client that may
// still send a request is owed a second descriptor. This keeps descriptors for ordinary clients, connects, probes and the
// watch when a crowd of clients connects and requests nothing.
func (n *Node) CanAccept() bool {
	for n.net.Room() <= n.owedDescriptors()+n.silentConns.Len() && n.shedOne() {
	}
	if n.net.Room() > n.owedDescriptors()-reservedDescriptors/2 { // half of the reserve serves to answer BUSY
		return true
	}
	n.deadlines.set(&n.roomTimer, n.now+shedAfterSilence)
	return false
}

// retryShedding sheds connections until the reserve is free. It runs again later while none can be shed yet.
func (n *Node) retryShedding() {
	for n.net.Room() <= n.owedDescriptors() {
		if !n.shedOne() {
			n.deadlines.set(&n.roomTimer, n.now+shedAfterSilence)
			return
		}
	}
}

// shedOne closes the connection that is needed least and reports whether there was one. The order is: connections that
// have been sent their last line, oldest first; clients idle since their PING, oldest first; of the clients that owe a
// whole line, the one that has sent nothing for longest; the latest of the clients that sent PING. This way clients that
// take seconds over their first line outlast a crowd that sends one PING and stays. The front-end load balancer outlasts
// it too: it is the first that sent PING, or sends PING repeatedly.
func (n *Node) shedOne() bool {
	if n.shedOldest(&n.closingConns, shedAfterSilence) ||
		n.shedOldest(&n.pingedConns, shedAfterPing) ||
		n.shedOldest(&n.silentConns, shedAfterSilence) {
		return true
	}
	if c := n.pingedConns.Back(); c != nil && n.pingedConns.Len() > 1 && c.Value != n.frontConn {
		n.shedConn(c.Value.(*conn))
		return true
	}
	return false
}

// shedOldest closes the first connection of a queue, other than the front-end load balancer's, if it has been there for at
// least minAge. A connection whose last line is still unsent is kept.
func (n *Node) shedOldest(queue *list.List, minAge int64) bool {
	e := queue.Front()
	if e != nil && e.Value == n.frontConn {
		e = e.Next()
	}
	if e == nil {
		return false
	}
	c := e.Value.(*conn)
	if n.now-c.queuedAt < minAge || c.role != roleNew && c.out.Len() > 0 {
		return false
	}
	n.shedConn(c)
	return true
}

// shedConn counts and closes a connection.
func (n *Node) shedConn(c *conn) {
	n.Count.Shed++
	n.closeDetached(c)
}

// closeDetached closes a connection in order without waiting for it. A client without a flow is sent BUSY, because its
// request may be on its way and then needs an answer.
func (n *Node) closeDetached(c *conn) {
	if c.role == roleNew {
		c.out.Put([]byte(busyLine))
	}
	n.net.CloseDetached(c.id)
	n.forgetConn(c)
}
