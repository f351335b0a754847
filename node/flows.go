package node

import (
	"errors"
	"fmt"
	"strconv"

	"coursewinch/balance"
	"coursewinch/capture"
	"coursewinch/cluster/peers"
	"coursewinch/lines"
)

// Stage is the progress of a flow's connect.
type Stage uint8

// The stages of a flow, in order.
const (
	Waiting        Stage = iota // no connect is in progress
	Dialing                     // the connection is not up, or part of the request is still unsent
	AwaitingAnswer              // the host has been sent the whole request
	Established                 // the host has accepted the flow
)

// Causes of failed connects.
var (
	errTimeout      = errors.New("timed out")
	errEnded        = errors.New("host closed the connection without an answer")
	errBusy         = errors.New("host answered BUSY")
	errAnswer       = errors.New("host answered with an error")
	errHostLeaving  = errors.New("host takes no new flows")
	errRepeatWindow = errors.New("host no longer recognises a repeat")
	errNoDescriptor = errors.New("no descriptor left")
)

// ConnectError is a failed connect: its cause and the stage that it had reached.
type ConnectError struct {
	Stage Stage
	Cause error
}

// Error returns the stage and the cause.
func (e *ConnectError) Error() string { return fmt.Sprintf("stage %d: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// Outcome returns the outcome to report to the module. Until the last byte of the request is written, the host can't have
// run the flow.
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

// Faults of requests.
var (
	errUnknownType = errors.New("unknown service type")
	errDuplicateID = errors.New("id of another flow")
	errEarlyData   = errors.New("more than a line before the answer")
)

// acceptRequest parses the line with which a client requests a connection and starts its flow.
func (n *Node) acceptRequest(c *conn, line []byte) {
	request, err := lines.ParseOpen(line)
	if err != nil {
		n.rejectLine(c, err)
		return
	}
	typeIndex, ok := n.settings.ServiceTypeIndex[request.ServiceType]
	if !ok {
		n.rejectLine(c, errUnknownType)
		return
	}
	n.Count.Requests++
	switch {
	case !n.useRequestID(hash(request.ID)): // a host would take this flow for the earlier one with that id
		n.Answers[typeIndex].Failure++
		n.rejectLine(c, errDuplicateID)
		return
	case c.in.Len() > 0:
		n.Answers[typeIndex].Failure++
		n.rejectLine(c, errEarlyData)
		return
	}
	wait := request.ConnectTimeout
	if limit := n.settings.ConnectTimeouts[typeIndex]; limit > 0 && request.CurrentHost == "" {
		wait = min(wait, limit)
	}
	f := n.newFlow(c, request, typeIndex, wait)
	c.role, c.flow = roleClient, f
	n.setShedQueue(c, nil)
	n.deadlines.cancel(&c.timer)
	for n.net.Room() <= n.owedDescriptors() && n.shedOne() {
	}
	if n.net.Room() < n.owedDescriptors() {
		n.Count.NoDescriptor++
		n.countAnswer(f, capture.Rejected)
		n.sendFinalLine(c, "BUSY\r\n")
		return
	}
	f.id = n.flows.add(f)
	f.joinNamedGroup(n, request.Group)
	if request.CurrentHost != "" {
		f.rejoins = true
		n.Count.Rejoined++
		n.rejoin(f)
		return
	}
	if n.holdsFlows() {
		n.holdFlow(f)
	} else {
		n.startFlow(f)
	}
}

// newFlow returns the flow of a request and begins its capture. wait is its connect timeout.
func (n *Node) newFlow(c *conn, request *lines.Open, typeIndex int, wait int64) *flow {
	f := &flow{request: request, client: c}
	n.startCapture(f)
	f.Flow = balance.Flow{
		Type:        &n.settings.Types[typeIndex],
		TypeIndex:   typeIndex,
		Hash:        hash(request.Key),
		Returning:   request.Returning,
		LoadHint:    request.LoadHint,
		Benefit:     n.benefit(typeIndex),
		Deadline:    n.now + wait - answerMargin,
		Passthrough: n.settings.PassThrough,
		Ref:         f,
	}
	n.shortenDeadline(f)
	f.timer.run = func() { n.flowTimedOut(f) }
	return f
}

// joinNamedGroup adds the flow to the group of that name, if it has one and the settings use groups.
func (f *flow) joinNamedGroup(n *Node, name string) {
	if name == "" || !n.settings.HasGroups {
		return
	}
	f.joinGroup(n, hash(name))
}

// joinGroup adds the flow to the group with that hash, which it creates if needed.
func (f *flow) joinGroup(n *Node, id uint64) {
	g := n.groups[id]
	if g == nil {
		if len(n.groups) >= n.limits.Groups {
			n.forgetIdleGroups()
		}
		g = &group{Group: balance.Group{Hash: id}}
		n.groups[id] = g
		n.announcePeerHolder(g)
	}
	g.flowCount++
	f.group, f.Group = g, &g.Group
}

// forgetIdleGroups removes groups without flows, to bound memory. A removed group starts again as a new one.
func (n *Node) forgetIdleGroups() {
	for id, g := range n.groups {
		if g.flowCount == 0 {
			delete(n.groups, id)
			delete(n.groupHashes, peers.ShortHash(id))
		}
	}
}

// rejoin connects a flow to the host that had its connection before. While that host is not listed it retries, and once the
// flow's time is over it rejects the flow.
func (n *Node) rejoin(f *flow) {
	if f.Deadline+answerMargin <= n.now {
		n.countAnswer(f, capture.Rejected)
		n.removeFlow(f)
		n.sendFinalLine(f.client, "BUSY\r\n")
		return
	}
	if h := n.hosts[f.request.CurrentHost]; h != nil {
		n.dial(f, h, f.Deadline-n.now)
		return
	}
	n.deadlines.set(&f.timer, n.now+rejoinInterval)
}

// dial starts a connect of a flow to a host. wait is the connect's timeout. Where nothing can be sent, the connect fails in
// the next iteration, because the module must not be called from within its own decision.
func (n *Node) dial(f *flow, h *host, wait int64) {
	c := &conn{role: roleUpstream, flow: f, host: h}
	c.timer.run = func() { n.connectFailed(f, errTimeout) }
	c.id = n.register(c)
	f.upstream = c
	f.host = h
	f.connectAt = n.now
	f.setupSpan = n.startSpan()
	f.connectTimeout = wait
	f.stage = Dialing
	h.flowCount++
	n.upstreamCount++
	for n.net.Room() < 1 && n.shedOne() {
	}
	switch {
	case n.net.PeerClosed(f.client.id): // the client has left, although its end has not been read yet
		c.timer.run = func() { n.clientGone(f) }
	case n.net.Room() < 1:
		c.timer.run = func() { n.connectFailed(f, errNoDescriptor) }
	default:
		n.startDial(f, c, wait)
		return
	}
	n.deadlines.set(&c.timer, n.now)
}

// startDial opens the connection and sets the connect's timeouts.
func (n *Node) startDial(f *flow, c *conn, wait int64) {
	h := f.host
	n.Count.Connects++
	if n.cluster != nil {
		n.cluster.overload.ObserveConnect(&h.Server)
	}
	n.deadlines.set(&f.timer, n.now+max(wait, 0))
	if n.settings.DialTimeout > 0 && n.settings.DialTimeout < wait {
		n.deadlines.set(&c.timer, n.now+n.settings.DialTimeout)
	}
	n.net.Dial(c.id, h.addr, &c.in, &c.out)
}

// upstreamConnected sends the client's request to a host whose connection is up. The connection may have come up late, so
// the conditions under which the connect was decided are checked again.
func (n *Node) upstreamConnected(c *conn) {
	f, left := c.flow, c.flow.connectAt+c.flow.connectTimeout-n.now
	n.deadlines.cancel(&c.timer)
	switch {
	case n.net.PeerClosed(f.client.id):
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
	c.out.Put(f.request.HostLine(left))
	n.net.RingsChanged(c.id)
	n.checkRequestSent(c)
}

// checkRequestSent moves a dialing flow to the next stage once its whole request is written.
func (n *Node) checkRequestSent(c *conn) {
	if f := c.flow; f.stage == Dialing && c.up && c.out.Len() == 0 {
		n.requestSent(f)
	}
}

// requestSent records that a flow's whole request has been sent to its host.
func (n *Node) requestSent(f *flow) {
	f.stage = AwaitingAnswer
	n.Count.RequestsSent++
}

// flowTimedOut handles a flow's timer. What it stands for depends on the flow's state.
func (n *Node) flowTimedOut(f *flow) {
	switch {
	case f.ended: // moved in the previous iteration; see Move
		n.reportEnd(f, balance.Recalled)
	case f.stage == Established:
		n.Count.SilentHosts++
		n.moveClient(f)
		n.endFlow(f, balance.Severed)
	case f.stage != Waiting:
		n.connectFailed(f, errTimeout)
	case f.rejoins:
		n.rejoin(f)
	case f.awaitsList:
		n.Reject(&f.Flow, n.settings.MaxRetryAfter/2)
	case n.pendingLimit(f) != nil: // no host has seen it, so a retry is harmless
		n.refuseFlow(f, n.pendingLimit(f))
	default: // the module has not answered, and every flow gets an answer
		n.decider.Expired(&f.Flow)
		n.Abort(&f.Flow)
	}
}

// connectFailed ends a failed connect and reports it to the module, which decides how the flow goes on.
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
		n.noteRejection(h)
	case end.Outcome() == balance.Unreachable:
		n.noteUnreachable(h)
	case end.Outcome() != balance.Superseded && end.Outcome() != balance.Saturated:
		n.noteSetupFailure(h)
	}
	n.decider.Ended(&f.Flow, &h.Server, end.Outcome(), took, false)
}

// detachHost clears the flow's host and upstream connection, which it does not close, and cancels the flow's timer.
func (n *Node) detachHost(f *flow) {
	if f.host != nil {
		f.host.flowCount--
		n.upstreamCount--
		if f.stage == Established {
			n.establishedCount--
		}
	}
	f.upstream = nil
	f.host = nil
	f.stage = Waiting
	n.deadlines.cancel(&f.timer)
}

// readHostAnswer reads the first line that a host sent back, which accepts or refuses the flow.
func (n *Node) readHostAnswer(c *conn) {
	f := c.flow
	line := c.in.PeekLine()
	if line == nil {
		if c.in.Len() > lines.MaxLineBytes+2 {
			n.connectFailed(f, errAnswer)
		} else if c.inputEnded {
			n.connectFailed(f, errEnded)
		}
		return
	}
	kind, _ := lines.ParseAnswer(line)
	switch kind {
	case lines.Up:
	case lines.Busy:
		n.connectFailed(f, errBusy)
		return
	default:
		if f.stage == Dialing {
			n.requestSent(f) // a host that answers has the request
		}
		n.connectFailed(f, errAnswer)
		return
	}
	n.hostAccepted(f, c, line)
}

// hostAccepted passes the host's accepting line to the client and begins to relay.
func (n *Node) hostAccepted(f *flow, c *conn, line []byte) {
	f.client.out.Put(line)
	c.in.Discard(len(line))
	n.countAnswer(f, capture.Established)
	f.stage = Established
	f.request = nil
	f.establishedAt = n.now
	n.establishedCount++
	f.client.receivedAt = n.now
	if f.group != nil {
		f.group.established = true
	}
	n.deadlines.cancel(&f.timer)
	if f.client.admissionPrefix.IsValid() {
		n.admission.Established(f.client.admissionPrefix, n.now)
	}
	if f.rejoins {
		n.decider.AdoptFlow(&f.Flow, &c.host.Server)
	} else {
		took, sure := n.elapsed(f.setupSpan)
		n.noteSetup(c.host, took, sure)
		f.SetupTimeUnsure = n.isStarved()
		n.decider.Established(&f.Flow, took)
	}
	n.net.RingsChanged(f.client.id)
	n.relay(f)
}

// endFlow reports the end of a flow to the module, once.
func (n *Node) endFlow(f *flow, end balance.Outcome) {
	if f.ended {
		return
	}
	f.ended = true
	n.reportEnd(f, end)
}

// reportEnd counts and removes a flow and reports its end to the module.
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

// removeFlow removes a flow from all tables and releases what it holds.
func (n *Node) removeFlow(f *flow) {
	f.ended = true
	f.releasePermits()
	if n.cluster != nil {
		n.cluster.overload.ForgetFlow(&f.Flow)
	}
	n.captureEnd(f)
	n.detachHost(f)
	if g := f.group; g != nil {
		g.flowCount--
		if g.flowCount == 0 && !g.established {
			delete(n.groups, g.Hash) // bounds memory against group names that never led to a connection
		}
		f.group = nil
	}
	n.flows.remove(f.id)
}

// rejectEarlyData handles a client that sends data before its answer, which the protocol forbids.
func (n *Node) rejectEarlyData(f *flow) {
	n.Answers[f.TypeIndex].Failure++
	n.rejectLine(f.client, errEarlyData)
	n.withdraw(f)
}

// clientGone handles a client that left before its answer.
func (n *Node) clientGone(f *flow) {
	n.Count.ClientsLeft++
	n.close(f.client)
	n.withdraw(f)
}

// withdraw ends a flow that is not established and closes its connect. The client has left or is answered by the caller.
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

// Connect starts a connect that the module decided. The node implements balance.Writer: its methods carry out the
// decisions.
func (n *Node) Connect(decided *balance.Flow, server *balance.Server, timeout int64) {
	n.dial(decided.Ref.(*flow), n.hosts[server.Name], timeout)
}

// Reject answers a flow BUSY, so that its client may retry: after wait, or when it likes if wait is 0.
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

// Abort answers a flow ERR: a host may have run it, and a retry might run it twice.
func (n *Node) Abort(decided *balance.Flow) {
	f := decided.Ref.(*flow)
	n.countAnswer(f, capture.Aborted)
	n.removeFlow(f)
	n.sendFinalLine(f.client, "ERR\r\n")
}

// Move asks an established flow's client to reconnect and closes the flow. The module learns of the end in the next
// iteration.
func (n *Node) Move(decided *balance.Flow) {
	f := decided.Ref.(*flow)
	if f.ended || f.stage != Established {
		return
	}
	f.movePending = true
	if !n.canMove(f) {
		return // moved after the line in transit, or ended by what the host sent last
	}
	f.ended = true
	n.moveClient(f)
	n.deadlines.set(&f.timer, n.now)
}
