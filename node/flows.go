package node

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"coursewinch/balance"
	"coursewinch/capture"
	"coursewinch/cluster/peers"
	"coursewinch/lines"
)

// Stage is how far a flow's connect has come.
type Stage uint8

const (
	Waiting     Stage = iota // no connect is out
	Dialing                  // the connection is not up, or not all of the line is written
	Asked                    // the host has the whole line
	Established              // the host said so
)

var (
	errTimeout      = errors.New("timed out")
	errEnded        = errors.New("ended without an answer")
	errBusy         = errors.New("turned away")
	errAnswer       = errors.New("answered with an error")
	errHostLeaving  = errors.New("host leaves")
	errRepeatWindow = errors.New("repeats are known no longer")
	errNoDescriptor = errors.New("no descriptor left")
)

// ConnectError is why a connect failed, with how far it had come.
type ConnectError struct {
	Stage Stage
	Cause error
}

func (e *ConnectError) Error() string { return fmt.Sprintf("stage %d: %v", e.Stage, e.Cause) }
func (e *ConnectError) Unwrap() error { return e.Cause }

// Outcome is what the module is told: before the last byte was written the flow can't have run.
func (e *ConnectError) Outcome() balance.Outcome {
	switch {
	case errors.Is(e.Cause, errNoDescriptor):
		return balance.Superseded
	case errors.Is(e.Cause, errBusy), errors.Is(e.Cause, errHostLeaving), errors.Is(e.Cause, errRepeatWindow):
		return balance.Saturated
	case e.Stage <= Dialing:
		return balance.Unreachable
	case errors.Is(e.Cause, errAnswer):
		return balance.Errored
	case errors.Is(e.Cause, errTimeout):
		return balance.Overdue
	}
	return balance.Severed
}

var (
	errUnknownType = errors.New("unknown service type")
	errDuplicateID = errors.New("id of another flow")
	errEarlyData   = errors.New("more than a line before the answer")
)

// acceptRequest reads the line with which a client asks for a connection and hands the flow to the module.
func (n *Node) acceptRequest(c *conn, line []byte) {
	request, err := lines.ParseOpen(line)
	if err != nil {
		n.rejectLine(c, err)
		return
	}
	typeIndex, ok := n.settings.Names[request.Class]
	if !ok {
		n.rejectLine(c, errUnknownType)
		return
	}
	n.Count.Taken++
	switch {
	case !n.recentIDs.add(hash(request.ID)): // guards the flow of that id: a host would take this one for it
		n.Types[typeIndex].Failure++
		n.rejectLine(c, errDuplicateID)
		return
	case c.in.Len() > 0:
		n.Types[typeIndex].Failure++
		n.rejectLine(c, errEarlyData)
		return
	}
	wait := request.Wait
	if limit := n.settings.Limits[typeIndex]; limit > 0 && request.At == "" {
		wait = min(wait, limit)
	}
	f := &flow{request: request, client: c}
	n.startCapture(f)
	f.Flow = balance.Flow{Type: &n.settings.Types[typeIndex], TypeNo: typeIndex, Hash: hash(request.Key), Again: request.Again, Hint: request.Hint,
		Worth: n.worth(typeIndex), Deadline: n.now + wait - answerMargin, Passed: n.settings.Passes, Ref: f}
	n.shortenDeadline(f)
	f.timer.run = func() { n.flowTimedOut(f) }
	c.role, c.flow = roleClient, f
	n.setShedQueue(c, nil)
	n.deadlines.cancel(&c.timer)
	for n.net.Room() <= n.owedDescriptors() && n.shedOne() {
	}
	if n.net.Room() < n.owedDescriptors() {
		n.Count.Crowded++
		n.countAnswer(f, capture.Rejected)
		n.sendFinalLine(c, "BUSY\r\n")
		return
	}
	f.id = n.flows.add(f)
	f.joinNamedGroup(n, request.Group)
	if request.At != "" {
		f.rejoins = true
		n.Count.Stood++
		n.rejoin(f)
		return
	}
	if n.holdsFlows() {
		n.holdFlow(f)
	} else {
		n.startFlow(f)
	}
}

// joinNamedGroup finds the flow's group.
func (f *flow) joinNamedGroup(n *Node, name string) {
	if name == "" || !n.settings.Groups {
		return
	}
	f.joinGroup(n, hash(name))
}

func (f *flow) joinGroup(n *Node, id uint64) {
	g := n.groups[id]
	if g == nil {
		if len(n.groups) >= n.limits.Groups { // guards the memory: groups without flows are met anew
			for id, other := range n.groups {
				if other.flowCount == 0 {
					delete(n.groups, id)
					delete(n.groupHashes, peers.Short(id))
				}
			}
		}
		g = &group{Group: balance.Group{Hash: id}}
		n.groups[id] = g
		n.announcePeerHolder(g)
	}
	g.flowCount++
	f.group, f.Group = g, &g.Group
}

// rejoin sends a flow to the host that held its connection before the run.
func (n *Node) rejoin(f *flow) {
	if f.Deadline+answerMargin <= n.now {
		n.countAnswer(f, capture.Rejected)
		n.removeFlow(f)
		n.sendFinalLine(f.client, "BUSY\r\n")
		return
	}
	if h := n.hosts[f.request.At]; h != nil {
		n.dial(f, h, f.Deadline-n.now)
		return
	}
	n.deadlines.set(&f.timer, n.now+rejoinInterval)
}

// dial opens the connection for a flow's connect.
func (n *Node) dial(f *flow, h *host, wait int64) {
	c := &conn{role: roleUpstream, flow: f, host: h}
	c.timer.run = func() { n.connectFailed(f, errTimeout) }
	c.id = n.register(c)
	f.upstream, f.host, f.connectAt, f.setupSpan, f.connectTimeout, f.stage = c, h, n.now, n.startSpan(), wait, Dialing
	h.flowCount++
	n.upstreamCount++
	for n.net.Room() < 1 && n.shedOne() {
	}
	switch {
	case n.net.Gone(f.client.id): // guards hosts against flows whose client's end nobody has read yet
		c.timer.run = func() { n.clientGone(f) }
	case n.net.Room() < 1:
		c.timer.run = func() { n.connectFailed(f, errNoDescriptor) }
	default:
		n.startDial(f, c, wait)
		return
	}
	n.deadlines.set(&c.timer, n.now) // the module is told in the next turn
}

func (n *Node) startDial(f *flow, c *conn, wait int64) {
	h := f.host
	n.Count.Connects++
	if n.cluster != nil {
		n.cluster.overload.Placed(&h.Server)
	}
	n.deadlines.set(&f.timer, n.now+max(wait, 0))
	if n.settings.Dial > 0 && n.settings.Dial < wait {
		n.deadlines.set(&c.timer, n.now+n.settings.Dial)
	}
	n.net.Dial(c.id, h.addr, &c.in, &c.out)
}

// upstreamConnected writes the client's line to a host whose connection is up.
func (n *Node) upstreamConnected(c *conn) {
	f, left := c.flow, c.flow.connectAt+c.flow.connectTimeout-n.now
	n.deadlines.cancel(&c.timer)
	// Guards against sending what was right when the connect was decided and no longer is: it may have come up late.
	switch {
	case n.net.Gone(f.client.id):
		n.clientGone(f)
		return
	case left <= 0:
		n.connectFailed(f, errTimeout)
		return
	case f.rejoins:
	case c.host.State != balance.Up:
		n.connectFailed(f, errHostLeaving)
		return
	case n.now > f.SendBy():
		n.connectFailed(f, errRepeatWindow)
		return
	}
	n.nextLeg(&f.setupSpan)
	c.out.Put(f.request.Line(left))
	n.net.Touch(c.id)
	n.checkRequestSent(c)
}

func (n *Node) checkRequestSent(c *conn) {
	if f := c.flow; f.stage == Dialing && c.up && c.out.Len() == 0 {
		n.requestSent(f)
	}
}

// requestSent is that a host has a flow's whole line.
func (n *Node) requestSent(f *flow) {
	f.stage = Asked
	n.Count.Asked++
}

// flowTimedOut is called when a connect has taken its time, or when a flow without one has come to its end.
func (n *Node) flowTimedOut(f *flow) {
	switch {
	case f.ended: // its end was called for in the turn before
		n.reportEnd(f, balance.Recalled)
	case f.stage == Established:
		n.Count.Silent++
		n.moveClient(f)
		n.endFlow(f, balance.Severed)
	case f.stage != Waiting:
		n.connectFailed(f, errTimeout)
	case f.rejoins:
		n.rejoin(f)
	case f.awaitsList:
		n.Reject(&f.Flow, n.settings.MaxWait/2)
	case n.pendingLimit(f) != nil: // it went nowhere: trying again is harmless
		n.refuseFlow(f, n.pendingLimit(f))
	default: // guards the promise of one answer against a flow that the module has not answered
		n.decider.Expired(&f.Flow)
		n.Abort(&f.Flow)
	}
}

// connectFailed ends a connect that brought no connection.
func (n *Node) connectFailed(f *flow, cause error) {
	end := &ConnectError{f.stage, cause}
	h, took := f.host, n.now-f.connectAt
	n.close(f.upstream)
	n.detachHost(f)
	if f.rejoins {
		n.deadlines.set(&f.timer, n.now+rejoinInterval)
		return
	}
	n.deadlines.set(&f.timer, max(f.Deadline, n.now+1))
	switch {
	case cause == errBusy:
		n.noteTurnedAway(h)
	case end.Outcome() == balance.Unreachable:
		n.noteDown(h)
	case end.Outcome() != balance.Superseded && end.Outcome() != balance.Saturated:
		n.noteSick(h)
	}
	n.decider.Ended(&f.Flow, &h.Server, end.Outcome(), took, false)
}

func (n *Node) detachHost(f *flow) {
	if f.host != nil {
		f.host.flowCount--
		n.upstreamCount--
		if f.stage == Established {
			n.establishedCount--
		}
	}
	f.upstream, f.host, f.stage = nil, nil, Waiting
	n.deadlines.cancel(&f.timer)
}

// readHostAnswer reads the first line that a host sent back.
func (n *Node) readHostAnswer(c *conn) {
	f := c.flow
	line := c.in.Line()
	if line == nil {
		if c.in.Len() > lines.Longest+2 {
			n.connectFailed(f, errAnswer)
		} else if c.inputEnded {
			n.connectFailed(f, errEnded)
		}
		return
	}
	word, _ := lines.Answer(line)
	switch word {
	case lines.Up:
	case lines.Busy:
		n.connectFailed(f, errBusy)
		return
	default:
		if f.stage == Dialing {
			n.requestSent(f) // it answers, so it has the line
		}
		n.connectFailed(f, errAnswer)
		return
	}
	f.client.out.Put(line)
	c.in.Drop(len(line))
	n.countAnswer(f, capture.Established)
	f.stage, f.request, f.establishedAt = Established, nil, n.now
	n.establishedCount++
	f.client.receivedAt = n.now
	if f.group != nil {
		f.group.established = true
	}
	n.deadlines.cancel(&f.timer)
	if f.client.gatePrefix.IsValid() {
		n.admissionGate.Stood(f.client.gatePrefix, n.now)
	}
	if f.rejoins {
		n.decider.Opened(&f.Flow, &c.host.Server)
	} else {
		took, sure := n.elapsed(f.setupSpan)
		n.noteSetup(c.host, took, sure)
		f.Unsure = n.isStarved()
		n.decider.Established(&f.Flow, took)
	}
	n.net.Touch(f.client.id)
	n.relay(f)
}

// relay moves lines both ways, whole ones only, so that a word of the node's own never falls into one.
func (n *Node) relay(f *flow) {
	for {
		chunk, endsLine := nextChunk(f.client, f.upstream)
		if len(chunk) == 0 {
			break
		}
		n.relayToHost(f, chunk, endsLine)
	}
	for {
		chunk, endsLine := nextChunk(f.upstream, f.client)
		if len(chunk) == 0 {
			break
		}
		n.relayToClient(f, chunk, endsLine)
	}
	n.net.Touch(f.client.id)
	n.net.Touch(f.upstream.id)
	if n.finishIfEnded(f); f.movePending && !f.ended && n.canMove(f) {
		n.moveClient(f)
		n.endFlow(f, balance.Recalled)
	}
}

// nextChunk is what goes on next from a connection to its other side: as many whole lines as lie in one piece and find
// room, or what is left when no end of line will come. It stays in the ring.
func nextChunk(from, to *conn) (chunk []byte, endsLine bool) {
	head := from.in.Head()
	if room := to.out.Free(); len(head) > room {
		head = head[:room]
	}
	if i := bytes.LastIndexByte(head, '\n'); i >= 0 {
		return head[:i+1], true
	}
	if from.in.Len() == 0 {
		return nil, false
	}
	if line := from.in.Line(); line != nil {
		if len(line) > to.out.Free() {
			return nil, false
		}
		return line, true
	}
	if from.in.Free() == 0 || from.inputEnded {
		return from.in.Peek(min(from.in.Len(), to.out.Free())), false
	}
	return nil, false
}

// enqueue gives bytes to a connection. What carries bulk gets a wide ring: each turn then moves more for the same calls.
func enqueue(to *conn, chunk []byte) {
	if len(chunk) > lines.RingSize/2 {
		to.out.Widen()
	}
	to.out.Put(chunk)
}

// relayToHost passes on what a client sent.
func (n *Node) relayToHost(f *flow, chunk []byte, endsLine bool) {
	to := f.upstream
	startsLine := endsLine && (!to.midLine || bytes.IndexByte(chunk, '\n') < len(chunk)-1) // a line of which no part went before
	f.record.countLines(true, chunk)
	enqueue(to, chunk)
	to.midLine = !endsLine
	f.client.in.Drop(len(chunk))
	if startsLine && f.unansweredSince == 0 {
		f.unansweredSince, f.unansweredSpan = n.now, n.startSpan()
		n.deadlines.set(&f.timer, n.now+hostSilenceTimeout)
	}
}

// relayToClient passes on what a host sent, and reads what of it is meant for the node as well.
func (n *Node) relayToClient(f *flow, chunk []byte, endsLine bool) {
	to, answered := f.client, false
	for rest := chunk; len(rest) > 0; {
		end := bytes.IndexByte(rest, '\n') + 1
		if end == 0 {
			end = len(rest)
		}
		switch first := rest[0]; {
		case to.midLine || !endsLine || first != 'L' && first != 'B' && first != 'M':
			answered = true
		default:
			word, load := lines.Answer(rest[:end])
			answered = answered || word != lines.Load
			switch word {
			case lines.Load:
				n.receiveFigure(f, load)
			case lines.Bye, lines.Move:
				f.lastWord = word
			}
		}
		rest = rest[end:]
		to.midLine = false
	}
	f.record.countLines(false, chunk)
	if to.out.Len() == 0 {
		to.sentAt = n.now
	}
	enqueue(to, chunk)
	to.midLine = !endsLine
	f.upstream.in.Drop(len(chunk))
	if answered && f.unansweredSince > 0 {
		took, _ := n.elapsed(f.unansweredSpan)
		f.host.messageTimes = append(f.host.messageTimes, took)
		f.unansweredSince = 0
		n.deadlines.cancel(&f.timer)
	}
}

// finishIfEnded ends an open flow once one side has ended and its last bytes are passed on.
func (n *Node) finishIfEnded(f *flow) {
	client, upstream := f.client, f.upstream
	switch {
	case upstream.inputEnded && (upstream.in.Len() == 0 || upstream.err != nil):
		end := balance.Severed
		switch f.lastWord {
		case lines.Bye:
			end = balance.Completed
		case lines.Move:
			end = balance.Recalled
		}
		f.record.setEnd(hostEndKinds[end])
		n.closeLikeOtherSide(client, upstream.err)
		n.close(upstream)
		n.endFlow(f, end)
	case client.inputEnded && (client.in.Len() == 0 || client.err != nil):
		f.record.setEnd(capture.Gone)
		n.closeLikeOtherSide(upstream, client.err)
		n.close(client)
		n.endFlow(f, balance.Recalled)
	}
}

// closeLikeOtherSide ends a connection in the way its other side ended: in order, or as broken.
func (n *Node) closeLikeOtherSide(c *conn, err error) {
	if err != nil && c.out.Len() == 0 {
		n.net.Reset(c.id)
		n.forgetConn(c)
		return
	}
	n.closeAfterSending(c)
}

// moveClient tells a client to come again and ends both sides.
func (n *Node) moveClient(f *flow) {
	n.Count.Moves++
	f.record.setEnd(capture.Moved)
	if !f.client.midLine {
		f.client.out.Put([]byte(moveLine)) // at the last moment it may find no room: then the client takes nothing anyway
	}
	n.closeAfterSending(f.client)
	n.closeAfterSending(f.upstream)
}

// endFlow tells the module that an open flow has ended.
func (n *Node) endFlow(f *flow, end balance.Outcome) {
	if f.ended {
		return
	}
	f.ended = true
	n.reportEnd(f, end)
}

func (n *Node) reportEnd(f *flow, end balance.Outcome) {
	h, took := f.host, n.now-f.connectAt
	switch end {
	case balance.Completed:
		n.Count.Completed++
	case balance.Severed:
		n.Count.Severed++
	}
	n.removeFlow(f)
	if h != nil {
		n.decider.Ended(&f.Flow, &h.Server, end, took, true)
	} else {
		n.decider.Expired(&f.Flow)
	}
}

// removeFlow takes a flow out of the tables.
func (n *Node) removeFlow(f *flow) {
	f.ended = true
	f.releasePermits()
	if n.cluster != nil {
		n.cluster.overload.Forget(&f.Flow)
	}
	n.captureEnd(f)
	n.detachHost(f)
	if g := f.group; g != nil {
		if g.flowCount--; g.flowCount == 0 && !g.established {
			delete(n.groups, g.Hash) // guards the memory against names that never led anywhere
		}
		f.group = nil
	}
	n.flows.remove(f.id)
}

// rejectEarlyData is called when a client goes on before its answer, though it must wait.
func (n *Node) rejectEarlyData(f *flow) {
	n.Types[f.TypeNo].Failure++
	n.rejectLine(f.client, errEarlyData)
	n.withdraw(f)
}

// clientGone is called when a client has left before it had an answer.
func (n *Node) clientGone(f *flow) {
	n.Count.Left++
	n.close(f.client)
	n.withdraw(f)
}

// withdraw takes back a flow that has no answer yet.
func (n *Node) withdraw(f *flow) {
	if f.upstream != nil {
		n.close(f.upstream)
	}
	if f.rejoins {
		n.removeFlow(f)
		return
	}
	n.decider.Expired(&f.Flow)
	n.endFlow(f, balance.Recalled)
}

// The Writer of the module.

func (n *Node) Connect(decided *balance.Flow, server *balance.Server, timeout int64) {
	n.dial(decided.Ref.(*flow), n.hosts[server.Name], timeout)
}

func (n *Node) Reject(decided *balance.Flow, wait int64) {
	f := decided.Ref.(*flow)
	n.countAnswer(f, capture.Rejected)
	n.removeFlow(f)
	if wait > 0 {
		n.sendFinalLine(f.client, "BUSY "+strconv.FormatInt(wait/ms, 10)+"\r\n")
		return
	}
	n.sendFinalLine(f.client, "BUSY\r\n")
}

func (n *Node) Abort(decided *balance.Flow) {
	f := decided.Ref.(*flow)
	n.countAnswer(f, capture.Aborted)
	n.removeFlow(f)
	n.sendFinalLine(f.client, "ERR\r\n")
}

// Move ends an open flow at once; the module hears of its end in the next turn.
func (n *Node) Move(decided *balance.Flow) {
	f := decided.Ref.(*flow)
	if f.ended || f.stage != Established {
		return
	}
	if f.movePending = true; !n.canMove(f) {
		return // goes after the line that is under way, or with what its host said at its end
	}
	f.ended = true
	n.moveClient(f)
	n.deadlines.set(&f.timer, n.now)
}
