package node

import (
	"errors"
	"log"
	"net/netip"
	"syscall"

	"coursewinch/admission"
	"coursewinch/balance"
	"coursewinch/discovery"
	"coursewinch/lines"
)

// Accept adds a new connection of a client. ok is false where admission control refuses its address; the loop then closes
// the connection.
func (n *Node) Accept(from netip.AddrPort) (id uint64, in, out *lines.Ring, ok bool) {
	n.acceptQuota.accepted++
	c := &conn{role: roleNew, up: true}
	if n.limitsByAddress() {
		c.limitPrefix = admission.Key(from.Addr())
	}
	if n.admission != nil {
		c.admissionPrefix = admission.Key(from.Addr())
		if reason := n.admission.Admit(c.admissionPrefix, n.now, n.net.Room()-n.owedDescriptors()); reason != admission.Admitted {
			n.Count.Refused++
			n.logThrottled("refused", reason.String())
			return 0, nil, nil, false
		}
	}
	c.timer.run = func() { n.firstLineTimedOut(c) }
	c.id = n.register(c)
	n.setShedQueue(c, &n.silentConns)
	n.Count.Accepted++
	n.deadlines.set(&c.timer, n.now+firstLineTimeout)
	return c.id, &c.in, &c.out, true
}

// Connected handles a connection dialled by the node that is now up.
func (n *Node) Connected(id uint64) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.recoverPanic(c)
	c.up = true
	switch c.role {
	case roleUpstream:
		n.upstreamConnected(c)
	case roleProbe:
		n.nextLeg(&c.host.probeSpan)
		c.out.Put(n.probeLine())
		n.net.RingsChanged(c.id)
	case roleWatch:
		c.out.Put(discovery.Request(c.discoveryAddr, c.requestedRev))
		n.net.RingsChanged(c.id)
	}
}

// Received handles new bytes in a connection's input ring.
func (n *Node) Received(id uint64) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.recoverPanic(c)
	switch c.role {
	case roleNew:
		n.readFirstLine(c)
	case roleClient:
		c.receivedAt = n.now
		switch {
		case c.flow.ended:
		case c.flow.stage == Established:
			n.relay(c.flow)
		default:
			n.rejectEarlyData(c.flow)
		}
	case roleUpstream:
		switch {
		case c.flow.ended:
		case c.flow.stage == Established:
			n.relay(c.flow)
		default:
			n.readHostAnswer(c)
		}
	case roleProbe:
		n.readProbeAnswer(c)
	case roleWatch:
		n.readWatch(c)
	case roleOperator:
		n.readCall(c)
	case roleClosing:
		c.drainedBytes += c.in.Len()
		c.in.Discard(c.in.Len())
		if c.drainedBytes > maxDrainedBytes {
			n.close(c) // the other side may go on sending for ever
		}
	}
}

// Sent handles a connection whose output ring has been sent in part or whole and has room again.
func (n *Node) Sent(id uint64) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.recoverPanic(c)
	c.sentAt = n.now
	switch c.role {
	case roleNew:
		n.readFirstLine(c) // lines that waited for room for their answer
	case roleOperator:
		n.callSent(c)
	case roleClosing:
		if c.inputEnded && c.out.Len() == 0 {
			n.close(c)
			return
		}
	}
	if c.flow == nil || c.flow.ended {
		return
	}
	if c.role == roleUpstream {
		n.checkRequestSent(c)
	}
	if c.flow.stage == Established {
		n.relay(c.flow)
	}
}

// Ended handles the end of a connection: with a nil error the other side sends no more, otherwise the connection is broken
// or never came up.
func (n *Node) Ended(id uint64, err error) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.recoverPanic(c)
	if !c.up && (errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)) && n.redial(c) {
		return
	}
	c.inputEnded = true
	if err != nil {
		c.err = err
	}
	switch c.role {
	case roleClient:
		switch f := c.flow; {
		case f.ended:
		case f.stage == Established:
			n.relay(f)
		default:
			n.clientGone(f)
		}
	case roleUpstream:
		switch f := c.flow; {
		case f.ended:
		case f.stage == Established:
			n.relay(f)
		case err != nil:
			n.connectFailed(f, err)
		default:
			n.readHostAnswer(c)
		}
	case roleProbe:
		n.probeEnded(c)
	case roleWatch:
		n.watchLost(c, "ended")
	case roleOperator:
		n.callEnded(c)
	case roleNew:
		n.closeAfterSending(c)
	default:
		if err != nil || c.out.Len() == 0 { // otherwise its last line is still to be sent
			n.close(c)
		}
	}
}

// redial repeats a dial that failed for want of a descriptor, of the system or of the process, after shedding a connection.
// When it gives up on a connect or a probe, the failure does not count against the host. It reports whether it has handled
// the failure; otherwise, for a call to discovery that it gives up on, the caller has to.
func (n *Node) redial(c *conn) bool {
	to := c.discoveryAddr
	if c.host != nil {
		to = c.host.addr
	}
	c.redials++
	if c.redials > maxRedials || !n.shedOne() {
		if c.role == roleUpstream {
			n.connectFailed(c.flow, errNoDescriptor)
			return true
		} else if c.role == roleProbe {
			n.probeFailed(c.host, balance.Saturated)
			return true
		}
		return false
	}
	n.net.Close(c.id)
	n.net.Dial(c.id, to, &c.in, &c.out)
	return true
}

const busyLine = "BUSY\r\n"

// Faults of clients before they have a flow.
var (
	errLineTimeout  = errors.New("no whole line in time")
	errTooManyPings = errors.New("too many lines at once")
)

// readFirstLine answers what a client sends before it has a flow: PING lines and its request.
func (n *Node) readFirstLine(c *conn) {
	for pings := 0; c.role == roleNew; pings++ {
		line := c.in.PeekLine()
		switch {
		case line == nil && c.in.Len() > lines.MaxLineBytes+2:
			n.rejectLine(c, lines.ErrTooLong)
			return
		case line == nil:
			if c.in.Len() > 0 {
				if c.shedQueue == &n.pingedConns { // a line that never ends must not hold the descriptor
					n.deadlines.set(&c.timer, n.now+firstLineTimeout)
				}
				n.setShedQueue(c, &n.silentConns) // at the back: a slow line may still be completed
			}
			n.relieveBuffers()
			return
		case string(lines.TrimLineEnd(line)) != "PING":
			line = append([]byte(nil), line...)
			c.in.Discard(len(line))
			n.acceptRequest(c, line)
			return
		case pings == maxPingsPerRead:
			n.rejectLine(c, errTooManyPings)
			return
		case c.out.Free() < len("PONG\r\n"):
			return // it sends and does not read
		}
		c.in.Discard(len(line))
		if n.answersFront() {
			c.out.Put([]byte("PONG\r\n"))
		} else {
			c.out.Put([]byte("NO\r\n"))
		}
		n.deadlines.cancel(&c.timer) // the front-end load balancer may keep its connection
		if n.pingedConns.Len() == 0 {
			n.frontConn = c
		}
		n.setShedQueue(c, &n.pingedConns)
		n.net.RingsChanged(c.id)
	}
}

// firstLineTimedOut closes a connection that sent no whole line in time. Where it sent nothing, its request may be on its
// way, and BUSY answers that.
func (n *Node) firstLineTimedOut(c *conn) {
	if c.in.Len() == 0 {
		n.Count.BadLines++
		n.sendFinalLine(c, busyLine)
		return
	}
	n.rejectLine(c, errLineTimeout)
}

// rejectLine answers ERR to a client whose line is invalid. The module learns nothing from it.
func (n *Node) rejectLine(c *conn, cause error) {
	n.Count.BadLines++
	n.logThrottled("bad_line", cause.Error())
	n.sendFinalLine(c, "ERR\r\n")
}

// logKind is one kind of log line that clients or other nodes can cause.
type logKind struct {
	deadline
	count int // lines not written since the last one
}

// logThrottled writes a log line that others can cause, at most one per second and kind, with a count of the lines left
// out. Lines of further kinds than maxLogKinds are dropped. This keeps the loop from blocking on its log.
func (n *Node) logThrottled(msg, why string) {
	kind := n.logKinds[msg+why]
	if kind == nil {
		if len(n.logKinds) >= maxLogKinds {
			return
		}
		kind = &logKind{}
		kind.run = func() {
			if kind.count == 0 {
				delete(n.logKinds, msg+why)
				return
			}
			log.Printf("msg=%s why=%q count=%d", msg, why, kind.count)
			kind.count = 0
			n.deadlines.set(&kind.deadline, n.now+second)
		}
		n.logKinds[msg+why] = kind
		n.deadlines.set(&kind.deadline, n.now+second)
		log.Printf("msg=%s why=%q count=1", msg, why)
		return
	}
	kind.count++
}

// sendFinalLine sends a client its last line and closes the connection.
func (n *Node) sendFinalLine(c *conn, line string) {
	c.out.Put([]byte(line))
	n.closeAfterSending(c)
}

// closeAfterSending sends what is left and closes the connection in order. Closing at once could lose the last bytes.
func (n *Node) closeAfterSending(c *conn) {
	if c.role == roleClosing {
		return
	}
	c.role, c.flow = roleClosing, nil
	n.setShedQueue(c, &n.closingConns)
	if c.inputEnded && c.out.Len() == 0 || !c.up {
		n.close(c)
		return
	}
	c.timer.run = func() { n.close(c) }
	n.deadlines.set(&c.timer, n.now+lingerTimeout)
	c.in.Discard(c.in.Len())
	n.net.RingsChanged(c.id)
	n.net.CloseWrite(c.id)
}

// close closes a connection at once.
func (n *Node) close(c *conn) {
	n.net.Close(c.id)
	n.forgetConn(c)
}

// forgetConn removes a connection from all tables, without closing it.
func (n *Node) forgetConn(c *conn) {
	if c.admissionPrefix.IsValid() {
		n.admission.Release(c.admissionPrefix)
	}
	if c.role == roleOperator {
		n.operatorCalls.count--
	}
	if n.frontConn == c {
		n.frontConn = nil
	}
	n.deadlines.cancel(&c.timer)
	n.setShedQueue(c, nil)
	c.flow = nil
	c.role = roleClosing
	n.conns.remove(c.id)
}
