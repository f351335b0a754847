package node

import (
	"container/list"

	"coursewinch/admin"
	"coursewinch/balance"
	"coursewinch/lines"
)

// Operators call the node on a listener of its own. A call is carried out in the loop iteration in which its request is
// complete and answered in the same one, so its command has taken effect before the answer is sent; during a handover, a
// command is answered once the peer process knows it too (commands.go). Operators and clients have places of their own,
// so that neither can use up those of the other.

// MaxOperatorConns is the largest number of operators' connections at once.
const MaxOperatorConns = 16

// operatorCallTimeout is the time for a call to be complete and its answer to be read.
const operatorCallTimeout = 5 * second

// operatorQueues are the connections of operators.
type operatorQueues struct {
	count      int
	incomplete list.List // without a complete request, oldest first
	answered   list.List // with a complete request; answered, or waiting for the peer process to confirm a command
}

// AcceptOperator adds a connection on the admin address. When all places are taken, a connection whose answer has been
// sent is closed, otherwise the oldest one without a complete request. Callers that never complete a request so can't
// block others. ok is false where no place could be made.
func (n *Node) AcceptOperator() (id uint64, in, out *lines.Ring, ok bool) {
	queues := &n.operatorCalls
	for queues.count >= MaxOperatorConns {
		evicted := queues.incomplete.Front()
		for e := queues.answered.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*conn); c.out.Len() == 0 && c.awaitedCommand == 0 {
				evicted = e
				break
			}
		}
		if evicted == nil {
			return 0, nil, nil, false
		}
		if evicted.Value.(*conn).shedQueue == &queues.incomplete {
			n.Count.AdminShed++
		}
		n.close(evicted.Value.(*conn))
	}
	c := &conn{role: roleOperator, up: true}
	c.timer.run = func() { n.close(c) }
	c.id = n.register(c)
	queues.count++
	n.setShedQueue(c, &queues.incomplete)
	n.deadlines.set(&c.timer, n.now+operatorCallTimeout)
	return c.id, &c.in, &c.out, true
}

// readCall reads what an operator has sent so far and answers the request once it is complete.
func (n *Node) readCall(c *conn) {
	if c.shedQueue == &n.operatorCalls.answered {
		c.drainedBytes += c.in.Len()
		c.in.Discard(c.in.Len())
		if c.drainedBytes > maxDrainedBytes {
			n.close(c) // the request body may never end
		}
		return
	}
	call, status, allow := admin.ParseCall(c.in.Peek(c.in.Len()))
	if status == 0 {
		if c.inputEnded {
			n.close(c) // the request will not be completed
		}
		return
	}
	n.setShedQueue(c, &n.operatorCalls.answered)
	c.in.Discard(c.in.Len())
	n.Count.AdminCalls++
	body := admin.StatusText(status) + "\n"
	if status == admin.OK {
		status, body = n.serveCall(call)
	}
	isCommand := call == admin.Drain || call == admin.Resume
	if status == admin.OK && isCommand && !n.isConfirmed(n.commands.newest.Number) {
		n.awaitConfirmation(c)
		return
	}
	n.answerCall(c, status, allow, body)
}

// answerCall sends the answer to a call.
func (n *Node) answerCall(c *conn, status int, allow, body string) {
	c.out.RequestWide()
	if !c.out.Put(admin.FormatResponse(status, allow, body)) {
		c.out.Put(admin.FormatResponse(admin.InternalError, "", "the answer is too long\n"))
	}
	n.net.RingsChanged(c.id)
	n.net.CloseWrite(c.id)
}

// serveCall carries out a call and returns the answer.
func (n *Node) serveCall(call admin.Call) (status int, body string) {
	switch call {
	case admin.Ready:
		if !n.Ready() && !n.tookOverDuringDrain() {
			return admin.NotReady, n.state() + "\n"
		}
		return admin.OK, n.state() + "\n"
	case admin.Metrics:
		return admin.OK, n.metricsText()
	case admin.Drain:
		n.Drain()
		return admin.OK, n.state() + "\n"
	case admin.Resume:
		n.Resume()
		return admin.OK, n.state() + "\n"
	}
	return admin.InternalError, "not served\n"
}

// callSent closes an operator's connection that has ended, once its answer has been sent.
func (n *Node) callSent(c *conn) {
	if c.inputEnded && c.shedQueue == &n.operatorCalls.answered && c.out.Len() == 0 {
		n.close(c)
	}
}

// callEnded handles the end of an operator's connection. Without a complete request there is nothing to answer.
func (n *Node) callEnded(c *conn) {
	if c.err != nil || c.shedQueue == &n.operatorCalls.incomplete || c.out.Len() == 0 && c.awaitedCommand == 0 {
		n.close(c)
	}
}

// States of a node, as shown to operators, that are compared elsewhere.
const (
	stateDrained = "drained"
	stateNoList  = "no list" // without a usable list
)

// state returns the node's state as shown to operators. The node serves clients in the state "ready" only.
func (n *Node) state() string {
	switch {
	case n.stopAt > 0:
		return "ending"
	case n.drainAt > 0:
		return stateDrained
	case n.handover.joining:
		return "joining"
	case n.handover.yielded:
		return "handed over"
	case !n.hasList():
		return stateNoList
	}
	return "ready"
}

// tookOverDuringDrain reports whether this process took over from one that still lives while the node was being drained, and
// the drain's time is not over. Operators stop the old process once the new one says that it is ready; a drain that comes while
// the new one joins must not hold that up. PING is answered NO all the time.
func (n *Node) tookOverDuringDrain() bool {
	state := &n.handover
	return n.state() == stateDrained && state.peer != nil && !state.isPredecessor && n.hasList() &&
		state.tookOverAt >= n.drainAt && n.now < n.drainAt+drainDuration
}

// Ready reports whether this process can serve clients: it is not stopping, it accepts connections, and it has either a
// list from discovery or a remembered list with a host that takes flows. PING is answered by the same rule, except that
// a process that has handed over answers for its successor; see answersFront.
func (n *Node) Ready() bool { return n.state() == "ready" }

// hasList reports whether the node has a list by which it can serve.
func (n *Node) hasList() bool {
	if n.Count.Lists > 0 {
		return true
	} else if n.holdsFlows() {
		return false
	}
	for _, h := range n.hostList {
		if h.State == balance.Up {
			return true
		}
	}
	return false
}
