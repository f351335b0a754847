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

// setShedQueue puts a connection last into a queue of those that may be shed, or out of all.
func (n *Node) setShedQueue(c *conn, queue *list.List) {
	if c.shedQueue != nil {
		c.shedQueue.Remove(c.queueElement)
	}
	if c.shedQueue = queue; queue != nil {
		c.queueElement, c.queuedAt = queue.PushBack(c), n.now
	}
}

// owedDescriptors is how many descriptors are kept for connects of flows taken, for probes and for discovery.
func (n *Node) owedDescriptors() int {
	owed := reservedDescriptors + n.flows.count - n.upstreamCount
	for _, h := range n.hostList {
		if h.probe == nil && n.settings.Probing {
			owed++
		}
	}
	return owed
}

// Spare tells whether one more client can be taken. Room is made for it: each that may yet ask is owed a second
// descriptor. Guards usual clients, connects, probes and the watch against crowds that ask nothing.
func (n *Node) Spare() bool {
	for n.net.Room() <= n.owedDescriptors()+n.silentConns.Len() && n.shedOne() {
	}
	if n.net.Room() > n.owedDescriptors()-reservedDescriptors/2 { // half of the reserve is for being told BUSY
		return true
	}
	n.deadlines.set(&n.roomTimer, n.now+shedAfterSilence)
	return false
}

// retryShedding tries again when nobody could be shed.
func (n *Node) retryShedding() {
	for n.net.Room() <= n.owedDescriptors() {
		if !n.shedOne() {
			n.deadlines.set(&n.roomTimer, n.now+shedAfterSilence)
			return
		}
	}
}

// shedOne closes the connection that is missed least: the one that had its last line first, then those that asked PING
// and have been idle since, then of those that owe a line the one that sent nothing for longest, then the last of those
// that asked PING. Guards clients that take seconds over their line against a crowd that asks once and stays, and the
// front, which is the first that asked, or asks again and again.
func (n *Node) shedOne() bool {
	if n.shedOldest(&n.closingConns, shedAfterSilence) || n.shedOldest(&n.pingedConns, shedAfterPing) || n.shedOldest(&n.silentConns, shedAfterSilence) {
		return true
	}
	if c := n.pingedConns.Back(); c != nil && n.pingedConns.Len() > 1 && c.Value != n.frontConn {
		n.shedConn(c.Value.(*conn))
		return true
	}
	return false
}

// shedOldest closes the first of a queue, if it has been there for so long.
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

func (n *Node) shedConn(c *conn) {
	n.Count.Shed++
	n.detach(c)
}

// detach lets a client's connection go in order. One without a flow is told so: its line may be on its way, and that is
// then its answer.
func (n *Node) detach(c *conn) {
	if c.role == roleNew {
		c.out.Put([]byte(busyLine))
	}
	n.net.Part(c.id)
	n.forgetConn(c)
}

// Accept takes a new connection of a client; ok is false where its address may have no more, and the loop refuses it.
func (n *Node) Accept(from netip.AddrPort) (id uint64, in, out *lines.Ring, ok bool) {
	n.acceptQuota.accepted++
	c := &conn{role: roleNew, up: true}
	if n.limitsByAddress() {
		c.limitPrefix = admission.Key(from.Addr())
	}
	if n.admissionGate != nil {
		c.gatePrefix = admission.Key(from.Addr())
		if reason := n.admissionGate.Come(c.gatePrefix, n.now, n.net.Room()-n.owedDescriptors()); reason != admission.Taken {
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

// Connected is told when a connection that the node asked for is up.
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

// Received is told when bytes have come.
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
			n.close(c) // guards the loop against those who send on for ever
		}
	}
}

// Sent is told when bytes have gone and there is room again.
func (n *Node) Sent(id uint64) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.recoverPanic(c)
	c.sentAt = n.now
	switch c.role {
	case roleNew:
		n.readFirstLine(c) // what was held back for want of room in its ring
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

// Ended is told when the other side sends no more; with an error, when the connection is broken or never came up.
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
		if err != nil || c.out.Len() == 0 { // else its last word is still to go
			n.close(c)
		}
	}
}

// redial tries again what found no descriptor, of the system or within the own limit, once a connection that is missed
// least has been let go for it. No host and no discovery is to blame for that.
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

var (
	errLineTimeout  = errors.New("no whole line in time")
	errTooManyPings = errors.New("too many lines at once")
)

// readFirstLine answers what a client says before it has a flow.
func (n *Node) readFirstLine(c *conn) {
	for pings := 0; c.role == roleNew; pings++ {
		line := c.in.Line()
		switch {
		case line == nil && c.in.Len() > lines.Longest+2:
			n.rejectLine(c, lines.ErrLong)
			return
		case line == nil:
			if c.in.Len() > 0 {
				if c.shedQueue == &n.pingedConns { // guards descriptors against lines that never end
					n.deadlines.set(&c.timer, n.now+firstLineTimeout)
				}
				n.setShedQueue(c, &n.silentConns) // last: what comes slowly may yet be whole
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
		case c.out.Free() < 6:
			return // it asks and does not listen
		}
		c.in.Drop(len(line))
		if n.answersFront() {
			c.out.Put([]byte("PONG\r\n"))
		} else {
			c.out.Put([]byte("NO\r\n"))
		}
		n.deadlines.cancel(&c.timer) // the front may keep it
		if n.pingedConns.Len() == 0 {
			n.frontConn = c
		}
		n.setShedQueue(c, &n.pingedConns)
		n.net.Touch(c.id)
	}
}

// firstLineTimedOut ends a connection of which no whole line came in time. Where nothing came, its line may be on its way.
func (n *Node) firstLineTimedOut(c *conn) {
	if c.in.Len() == 0 {
		n.Count.Bad++
		n.sendFinalLine(c, busyLine)
		return
	}
	n.rejectLine(c, errLineTimeout)
}

// rejectLine answers a client that can't be understood. It teaches the module nothing.
func (n *Node) rejectLine(c *conn, cause error) {
	n.Count.Bad++
	n.logThrottled("bad_line", cause.Error())
	n.sendFinalLine(c, "ERR\r\n")
}

// logKind is one kind of log line that others can cause.
type logKind struct {
	deadline
	count int
}

// logThrottled writes such a line, one a second and kind at most; of those kept back it tells how many they were. Guards
// the loop against waiting on its log.
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

// sendFinalLine sends a client its last line.
func (n *Node) sendFinalLine(c *conn, line string) {
	c.out.Put([]byte(line))
	n.closeAfterSending(c)
}

// closeAfterSending sends what is left and closes in order: cut off at once, the last bytes could be lost on their way.
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

func (n *Node) close(c *conn) {
	n.net.Close(c.id)
	n.forgetConn(c)
}

func (n *Node) forgetConn(c *conn) {
	if c.gatePrefix.IsValid() {
		n.admissionGate.Gone(c.gatePrefix)
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

// Probe asks a host whether it answers, over a connection that is kept for it.
func (n *Node) Probe(server *balance.Server) {
	h := n.hosts[server.Name]
	n.Count.Probes++
	h.probeSentAt, h.probeSpan, h.probeUnsent = n.now, n.startSpan(), false
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

// probeLine is the line of a probe: with a report where hosts have one.
func (n *Node) probeLine() []byte {
	if n.settings.Reports {
		return []byte("STATS\r\n")
	}
	return []byte("PING\r\n")
}

// probeTimeout is the tightest setup target: a host that takes longer for a probe is of no use for any flow.
func (n *Node) probeTimeout() int64 {
	wait := n.settings.Types[0].SetupTarget
	for _, t := range n.settings.Types {
		wait = min(wait, t.SetupTarget)
	}
	return max(wait, 50*ms)
}

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
				word = lines.Pong // also without the figure: the host answered
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
			end = balance.Recalled // answered, and it took so long at least
		} else {
			n.noteProbe(h, took)
		}
		h.probeSentAt = 0
		n.activeProbes--
		n.deadlines.cancel(&h.probeDeadline)
		n.decider.Probed(&h.Server, end, took)
	}
}

func (n *Node) probeEnded(c *conn) {
	h := c.host
	switch {
	case h.probeSentAt == 0:
		n.closeProbe(h) // kept and unused, it was the host's to close
	case c.up:
		n.probeFailed(h, balance.Severed)
	default:
		n.probeFailed(h, balance.Unreachable)
	}
}

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

// closeProbe closes the connection kept for probes; a probe that is out is then given up in time.
func (n *Node) closeProbe(h *host) {
	if h.probe != nil {
		n.close(h.probe)
		h.probe = nil
	}
}

// reportMessageTimes tells the module how long messages take at each host while that is over a third of the shortest target,
// and once more after: the median of what came back since, and of what is still out and older than that.
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
