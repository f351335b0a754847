package node

import (
	"container/list"

	"coursewinch/admin"
	"coursewinch/balance"
	"coursewinch/lines"
)

// Operators' calls come on a listener of their own and are answered in the turn in which they are whole, so that what
// they command has taken effect before the answer leaves. Their places are apart from clients': neither takes from the
// other.

const (
	CallPlaces          = 16         // callers at once
	operatorCallTimeout = 5 * second // for a call to be whole and its answer taken
)

// operatorQueues are the callers.
type operatorQueues struct {
	count      int
	incomplete list.List // those with nothing whole yet, the one that came first in front
	answered   list.List // those whose answer is on its way or taken
}

// Call takes a connection on the admin address. When all places are taken, a caller that has its answer goes, then the
// one that has waited longest with nothing whole. Guards whole calls against those who never finish one.
func (n *Node) Call() (id uint64, in, out *lines.Ring, ok bool) {
	queues := &n.operatorCalls
	for queues.count >= CallPlaces {
		evicted := queues.incomplete.Front()
		for e := queues.answered.Front(); e != nil; e = e.Next() {
			if e.Value.(*conn).out.Len() == 0 {
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

// readCall reads what a caller has sent so far, and answers once.
func (n *Node) readCall(c *conn) {
	if c.shedQueue == &n.operatorCalls.answered {
		c.drainedBytes += c.in.Len()
		c.in.Drop(c.in.Len())
		if c.drainedBytes > maxDrainedBytes {
			n.close(c) // guards the loop against a body without end
		}
		return
	}
	call, status, allow := admin.Read(c.in.Peek(c.in.Len()))
	if status == 0 {
		if c.inputEnded {
			n.close(c) // it sends no more, and there is nothing to answer
		}
		return
	}
	n.setShedQueue(c, &n.operatorCalls.answered)
	c.in.Drop(c.in.Len())
	n.Count.AdminCalls++
	body := admin.Reason(status) + "\n"
	if status == admin.OK {
		status, body = n.serveCall(call)
	}
	c.out.Widen()
	if !c.out.Put(admin.Answer(status, allow, body)) {
		c.out.Put(admin.Answer(admin.Failed, "", "the answer is longer than it may be\n"))
	}
	n.net.Touch(c.id)
	n.net.Shut(c.id)
}

// serveCall does what a call asks.
func (n *Node) serveCall(call admin.Call) (status int, body string) {
	switch call {
	case admin.Ready:
		if !n.Ready() {
			return admin.Unready, n.state() + "\n"
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
	return admin.Failed, "not served\n"
}

// callSent and callEnded are told of a caller's connection.
func (n *Node) callSent(c *conn) {
	if c.inputEnded && c.shedQueue == &n.operatorCalls.answered && c.out.Len() == 0 {
		n.close(c)
	}
}

func (n *Node) callEnded(c *conn) {
	if c.err != nil || c.shedQueue == &n.operatorCalls.incomplete || c.out.Len() == 0 {
		n.close(c) // with no whole call there is nothing to answer
	}
}

const stateNoList = "no list"

// state says in a word how the node stands. Only in the first does it take part in service.
func (n *Node) state() string {
	switch {
	case n.stopAt > 0:
		return "ending"
	case n.drainAt > 0:
		return "drained"
	case n.handover.joining:
		return "joining"
	case n.handover.yielded:
		return "handed over"
	case !n.hasList():
		return stateNoList
	}
	return "ready"
}

// Ready tells whether this very process can serve: it isn't ending, connections come to it, and it has a list with a host that takes flows, or one
// that discovery gave it as its last word. PING is answered by the same, but that
// a process which has handed over speaks for the other.
func (n *Node) Ready() bool { return n.state() == "ready" }

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
