package node

import (
	"container/list"
	"errors"
	"log"
	"net/netip"
	"slices"
	"syscall"

	"coursewinch/admission"
	"coursewinch/balance"
	"coursewinch/discovery"
	"coursewinch/lines"
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

// Spare reports whether one more client can be accepted, and sheds idle connections to make room. Each client that may
// still send a request is owed a second descriptor. This keeps descriptors for ordinary clients, connects, probes and the
// watch when a crowd of clients connects and requests nothing.
func (n *Node) Spare() bool {
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
// have been sent their last line, oldest first; clients idle since their PING; the client that has owed its first line for
// longest; the latest of the clients that sent PING. Clients that take seconds over their first line so outlast a crowd
// that sends one PING and stays. The front-end load balancer outlasts it too: it is the first that sent PING, or sends
// PING repeatedly.
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

// shedOldest closes the first connection of a queue if it has been there for at least minAge and has no bytes to send.
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

// shedConn counts and closes a client's connection.
func (n *Node) shedConn(c *conn) {
	n.Count.Shed++
	n.detach(c)
}

// detach closes a client's connection in order without waiting for it. A client without a flow is sent BUSY, because its
// request may be on its way and then needs an answer.
func (n *Node) detach(c *conn) {
	if c.role == roleNew {
		c.out.Put([]byte(busyLine))
	}
	n.net.Part(c.id)
	n.forgetConn(c)
}

// Accept adds a new connection of a client. ok is false where the admission control refuses its address; the loop then closes
// the connection.
func (n *Node) Accept(from netip.AddrPort) (id uint64, in, out *lines.Ring, ok bool) {
	n.acceptQuota.accepted++
	c := &conn{role: roleNew, up: true}
	if n.limitsByAddress() {
		c.limitPrefix = admission.Key(from.Addr())
	}
	if n.admission != nil {
		c.admissionPrefix = admission.Key(from.Addr())
		if reason := n.admission.Come(c.admissionPrefix, n.now, n.net.Room()-n.owedDescriptors()); reason != admission.Taken {
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
		n.net.Touch(c.id)
	case roleWatch:
		c.out.Put(discovery.Request(c.discoveryAddr, c.requestedRev))
		n.net.Touch(c.id)
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
		c.in.Drop(c.in.Len())
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
// When it gives up, neither the host nor discovery is charged with the failure. It reports whether it handled the failure.
func (n *Node) redial(c *conn) bool {
	to := c.discoveryAddr
	if c.host != nil {
		to = c.host.addr
	}
	if c.redials++; c.redials > maxRedials || !n.shedOne() {
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
		line := c.in.Line()
		switch {
		case line == nil && c.in.Len() > lines.Longest+2:
			n.rejectLine(c, lines.ErrLong)
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
		case string(lines.Bare(line)) != "PING":
			line = append([]byte(nil), line...)
			c.in.Drop(len(line))
			n.acceptRequest(c, line)
			return
		case pings == maxPingsPerRead:
			n.rejectLine(c, errTooManyPings)
			return
		case c.out.Free() < len("PONG\r\n"):
			return // it sends and does not read
		}
		c.in.Drop(len(line))
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
		n.net.Touch(c.id)
	}
}

// firstLineTimedOut closes a connection that sent no whole line in time. Where it sent nothing, its request may be on its
// way, and BUSY answers that.
func (n *Node) firstLineTimedOut(c *conn) {
	if c.in.Len() == 0 {
		n.Count.Bad++
		n.sendFinalLine(c, busyLine)
		return
	}
	n.rejectLine(c, errLineTimeout)
}

// rejectLine answers ERR to a client whose line is invalid. The module learns nothing from it.
func (n *Node) rejectLine(c *conn, cause error) {
	n.Count.Bad++
	n.logThrottled("bad_line", cause.Error())
	n.sendFinalLine(c, "ERR\r\n")
}

// logKind is one kind of log line that clients or other nodes can cause.
type logKind struct {
	deadline
	count int // lines not written since the last one
}

// logThrottled writes a log line that others can cause, at most one per second and kind, with a count of the lines left out.
// This keeps the loop from blocking on its log.
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
	c.in.Drop(c.in.Len())
	n.net.Touch(c.id)
	n.net.Shut(c.id)
}

// close closes a connection at once.
func (n *Node) close(c *conn) {
	n.net.Close(c.id)
	n.forgetConn(c)
}

// forgetConn removes a connection from all tables, without closing it.
func (n *Node) forgetConn(c *conn) {
	if c.admissionPrefix.IsValid() {
		n.admission.Gone(c.admissionPrefix)
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

// Probe sends a probe to a host over a connection that is kept open for it.
func (n *Node) Probe(server *balance.Server) {
	h := n.hosts[server.Name]
	n.Count.Probes++
	h.probeSentAt = n.now
	h.probeSpan = n.startSpan()
	h.probeUnsent = false
	n.activeProbes++
	n.deadlines.set(&h.probeDeadline, n.now+n.probeTimeout())
	if h.probe == nil && n.net.Room() < 1 && !n.shedOne() {
		h.probeUnsent = true
		n.deadlines.set(&h.probeDeadline, n.now)
		return
	}
	if h.probe != nil {
		h.probe.out.Put(n.probeLine())
		n.net.Touch(h.probe.id)
		return
	}
	c := &conn{role: roleProbe, host: h}
	c.id = n.register(c)
	h.probe = c
	n.net.Dial(c.id, h.addr, &c.in, &c.out)
}

// probeLine returns the line of a probe: STATS, which asks for a load report, where the settings say that hosts give one.
func (n *Node) probeLine() []byte {
	if n.settings.Reports {
		return []byte("STATS\r\n")
	}
	return []byte("PING\r\n")
}

// probeTimeout returns the shortest setup target of all service types: a host that takes longer for a probe can't serve
// any flow in time.
func (n *Node) probeTimeout() int64 {
	wait := n.settings.Types[0].SetupTarget
	for _, t := range n.settings.Types {
		wait = min(wait, t.SetupTarget)
	}
	return max(wait, 50*ms)
}

// readProbeAnswer reads the lines on a probe connection, one of which may answer the outstanding probe.
func (n *Node) readProbeAnswer(c *conn) {
	h := c.host
	for {
		line := c.in.Line()
		if line == nil {
			if c.in.Len() > lines.Longest+2 {
				n.probeFailed(h, balance.Errored)
			}
			return
		}
		word, _ := lines.Answer(line)
		busy, reported := 0.0, false
		if n.settings.Reports {
			if figures, ok := lines.Stats(line); ok {
				word = lines.Pong // the host answered, even if its report lacks the figure
				busy, reported = figures.At(n.settings.Report)
			}
		}
		c.in.Drop(len(line))
		if h.probeSentAt == 0 || word == lines.Load {
			continue
		}
		if reported {
			n.noteBusy(h, busy)
			n.decider.Reported(&h.Server, busy, true)
		}
		if word != lines.Pong {
			n.probeFailed(h, balance.Errored)
			return
		}
		end := balance.Completed
		took, sure := n.elapsed(h.probeSpan)
		if !sure {
			end = balance.Recalled // answered, but the measured time is only a lower bound
		} else {
			n.noteProbe(h, took)
		}
		h.probeSentAt = 0
		n.activeProbes--
		n.deadlines.cancel(&h.probeDeadline)
		n.decider.Probed(&h.Server, end, took)
	}
}

// probeEnded handles the end of a probe connection.
func (n *Node) probeEnded(c *conn) {
	h := c.host
	switch {
	case h.probeSentAt == 0:
		n.closeProbe(h) // hosts may close an idle connection
	case c.up:
		n.probeFailed(h, balance.Severed)
	default:
		n.probeFailed(h, balance.Unreachable)
	}
}

// probeFailed ends the outstanding probe of a host as failed.
func (n *Node) probeFailed(h *host, end balance.Outcome) {
	took := n.now - h.probeSentAt
	h.probeSentAt = 0
	n.activeProbes--
	n.deadlines.cancel(&h.probeDeadline)
	n.closeProbe(h)
	n.Count.ProbesFailed++
	if end == balance.Unreachable {
		n.noteDown(h)
	}
	n.decider.Probed(&h.Server, end, took)
}

// closeProbe closes the connection kept for probes. An outstanding probe then fails at its deadline.
func (n *Node) closeProbe(h *host) {
	if h.probe != nil {
		n.close(h.probe)
		h.probe = nil
	}
}

// reportMessageTimes reports to the module how long messages take at each host, while that is over a third of the shortest
// target and once more after. The figure is the median of the times measured since the last report, together with the ages
// of unanswered lines that are older than that median.
func (n *Node) reportMessageTimes() {
	n.closeStalledClients()
	n.deadlines.set(&n.messageTimeTimer, n.now+messageTimeInterval)
	for _, entry := range n.flows.entries {
		if f := entry.value; f != nil && f.unansweredSince > 0 && !f.ended {
			age, _ := n.elapsed(f.unansweredSpan)
			f.host.pendingAges = append(f.host.pendingAges, age)
		}
	}
	for _, h := range n.hostList {
		slices.Sort(h.messageTimes)
		median := int64(0)
		if len(h.messageTimes) > 0 {
			median = h.messageTimes[len(h.messageTimes)/2]
		}
		for _, age := range h.pendingAges {
			if age > median {
				h.messageTimes = append(h.messageTimes, age)
			}
		}
		if len(h.messageTimes) > 0 {
			slices.Sort(h.messageTimes)
			selfMeasured := n.now-h.reported.lastMessageTime > hostReportValidity || h.reported.lastMessageTime == 0
			if typical := h.messageTimes[len(h.messageTimes)/2]; selfMeasured && (typical > n.slowMessageTime || h.slowReported) {
				h.slowReported = typical > n.slowMessageTime
				n.decider.Slow(&h.Server, typical)
			}
		}
		h.messageTimes, h.pendingAges = h.messageTimes[:0], h.pendingAges[:0]
	}
}
