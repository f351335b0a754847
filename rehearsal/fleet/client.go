package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"

	"coursewinch/rehearsal/record"
)

type clientState uint8

const (
	clientIdle        clientState = iota // without a connection
	clientAsking                         // waits for the answer to an attempt
	clientEstablished                    // has an established flow
	clientDone                           // wants no connection any more
)

// client is one client that wants a connection from startedAt to endsAt. If its connection breaks it connects again: each
// attempt is a flow of its own.
type client struct {
	world       *World
	number      uint64
	address     netip.Addr
	eventRand   *rand.Rand // for its attempts: nodes, delays, set-ups
	profileRand *rand.Rand // for its properties, which do not depend on what happens to it
	serviceType int        // index in the script
	zone        int
	group       string
	key         string
	baseLoad    float64 // load around which its load varies; -1 once it wants no connection any more
	load        float64
	startedAt   int64
	endsAt      int64
	endedByHost bool  // its host closes its flow at endsAt
	looping     bool  // disconnects as soon as it is established, and connects again
	initialHost *host // host that held its flow before the run; nil after its first answer
	fromCapture bool  // its load changes as recorded in a capture
	bulkWindow  int   // bytes in flight of a bulk client; 0 for others

	state           clientState
	failures        int          // failed attempts in a row
	retryRounds     int          // rounds in a row in which all retries failed
	returning       bool         // its earlier flow broke or was moved
	retrying        bool         // its last attempt failed
	flow            *record.Flow // of the last attempt
	conn            *Conn
	hostConn        *hostConn // the host's side of its flow
	host            *host     // host of hostConn
	countedAt       *host     // host that counts it in clientsByType
	node            *nodeState
	closingLine     string       // MOVE or BYE, once received
	generation      int          // invalidates scheduled actions of an attempt when it changes
	unansweredSince int64        // when it sent the first line that has not been answered; 0: none
	silenceRecorded bool         // that its lines are not answered has been recorded
	upSent          bool         // its node has sent it UP
	pendingToHost   pendingBytes // what its node has to forward to the host
	pendingToClient pendingBytes // what its node has to forward to the client
	hostEndAt       int64        // when its node was notified that the host had closed; 0: not yet
}

const (
	maxRoundWait   = 8 * second        // longest wait between two rounds of attempts
	bulkLineBytes  = 128               // length of a line of a bulk client
	maxEchoDelay   = 7*second + 50_000 // time within which a line has to be answered, plus four intervals between lines
	loopRetryPause = 1000              // microseconds until a looping client repeats a failed attempt
)

// setLoad changes the client's load, also at the host that holds its flow.
func (cl *client) setLoad(load float64) {
	if cl.state == clientDone {
		return
	}
	cl.load = load
	if cl.hostConn != nil {
		cl.host.loadChanged(cl.hostConn)
	}
}

// start adds the client to the world and makes its first attempt.
func (cl *client) start() {
	w := cl.world
	cl.load = cl.baseLoad
	w.clients = append(w.clients, cl)
	if !cl.looping {
		w.demandByType[cl.serviceType]++
	}
	w.run.Counts.Clients++
	w.Schedule(cl.endsAt, cl.finish)
	if cl.bulkWindow == 0 && !cl.looping && !cl.fromCapture {
		cl.varyLoad()
	}
	cl.attempt()
}

// varyLoad changes the load at random intervals, whether or not the client is connected.
func (cl *client) varyLoad() {
	if cl.world.script.Fleet.LoadSwing == 0 {
		return
	}
	wait := int64(float64(cl.world.script.Fleet.LoadChangeInterval) * cl.profileRand.ExpFloat64())
	at := cl.world.now + max(wait, 1)
	load := cl.baseLoad * logNormal(cl.profileRand, cl.world.script.Fleet.LoadSwing)
	if at >= cl.endsAt {
		return
	}
	cl.world.Schedule(at, func() {
		if cl.state != clientDone {
			cl.setLoad(load)
			cl.varyLoad()
		}
	})
}

// finish is called at endsAt, from when on the client wants no connection.
func (cl *client) finish() {
	if cl.state == clientDone {
		return
	}
	if cl.state == clientEstablished && cl.endedByHost && cl.hostConn != nil && cl.hostConn.hosted != nil {
		cl.world.after(second, cl.finish) // its host sends BYE
		return
	}
	cl.withdrawDemand()
	cl.disconnect()
	cl.state = clientDone
}

// withdrawDemand removes the client from the clients that want a connection.
func (cl *client) withdrawDemand() {
	if !cl.looping && cl.baseLoad >= 0 {
		cl.world.demandByType[cl.serviceType]--
		cl.baseLoad = -1
	}
}

// disconnect closes the client's connection.
func (cl *client) disconnect() {
	cl.generation++
	if cl.conn != nil {
		if cl.flow != nil {
			cl.flow.AddEvent(record.Event{At: cl.world.now, Kind: record.ClientLeft, Host: -1})
		}
		cl.world.closePeerSide(cl.conn, false)
	}
	cl.clearConnection()
}

// clearConnection resets all state of the connection.
func (cl *client) clearConnection() {
	if cl.countedAt != nil {
		cl.countedAt.clientsByType[cl.serviceType]--
		cl.countedAt = nil
	}
	if cl.node != nil {
		for i, other := range cl.node.clients {
			if other == cl {
				last := len(cl.node.clients) - 1
				cl.node.clients[i] = cl.node.clients[last]
				cl.node.clients = cl.node.clients[:last]
				break
			}
		}
	}
	cl.conn, cl.host, cl.hostConn, cl.node, cl.unansweredSince, cl.closingLine = nil, nil, nil, nil, 0, ""
	if cl.state != clientDone {
		cl.state = clientIdle
	}
}

// closeRecord records, at the end of a run, that the client is still connected though its host closed the flow too long
// ago.
func (cl *client) closeRecord() {
	if cl.state == clientEstablished && cl.hostEndAt > 0 && cl.world.now-cl.hostEndAt > maxHoldTime {
		cl.flow.AddEvent(record.Event{At: cl.world.now, Kind: record.CloseDelayed, Host: -1, Value: cl.world.now - cl.hostEndAt})
	}
}

// attempt makes one attempt to get a connection: it picks a node and opens a connection to it.
func (cl *client) attempt() {
	w := cl.world
	if cl.state == clientDone || w.now > w.run.Length || w.now >= cl.endsAt {
		return
	}
	node := w.pickNode(cl.zone, cl.eventRand)
	if node == nil {
		cl.attemptFailed(-1)
		return
	}
	w.flowCount++
	flow := &record.Flow{ID: fmt.Sprintf("%016x", mixID(w.seed, w.flowCount)), Key: cl.key, ServiceType: cl.serviceType,
		Group: cl.group, Node: node.index,
		Zone: cl.zone, Timeout: w.run.Types[cl.serviceType].ConnectTimeout, Returning: cl.returning,
		Host: -1, Load: cl.load, RemainingLife: cl.endsAt - w.now}
	w.run.Flows = append(w.run.Flows, flow)
	w.run.Counts.Flows++
	w.flowByID[flow.ID], w.clientByFlowID[flow.ID] = flow, cl
	if cl.initialHost != nil {
		flow.Timeout, flow.Standing = standingConnectTimeout, true
	}
	cl.flow, cl.state, cl.node, cl.hostEndAt, cl.silenceRecorded = flow, clientAsking, node, 0, false
	cl.pendingToHost, cl.pendingToClient, cl.upSent = pendingBytes{}, pendingBytes{}, false
	node.clients = append(node.clients, cl)
	cl.conn = w.openToNode(cl, node.index, cl.address)
	cl.conn.clientFlow = flow
	cl.generation++
	generation := cl.generation
	w.after(flow.Timeout, func() { // for the case that the connection is not established
		if cl.generation == generation && cl.state == clientAsking && cl.flow.FirstEvent(record.RequestSent) == nil {
			cl.timeOut()
		}
	})
}

// mixID returns an id that does not reveal the order of ids.
func mixID(seed, n uint64) uint64 {
	x := seed*0x9e3779b97f4a7c15 + n
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// accepted implements peer.
func (cl *client) accepted(*Conn) {}

// connected implements peer: the client sends its OPEN line.
func (cl *client) connected(c *Conn) {
	w, flow := cl.world, cl.flow
	var b strings.Builder
	fmt.Fprintf(&b, "OPEN %s %s c=%s,d=%d", flow.ID, flow.Key, w.script.Types[cl.serviceType].Name, flow.Timeout/1000)
	if cl.group != "" {
		fmt.Fprintf(&b, ",g=%s", cl.group)
	}
	if cl.initialHost != nil {
		fmt.Fprintf(&b, ",at=%s", cl.initialHost.uid)
	}
	if cl.retrying {
		b.WriteString(",r=1")
	}
	if cl.returning {
		b.WriteString(",again=1")
	}
	b.WriteString("\r\n")
	flow.AddEvent(record.Event{At: w.now, Kind: record.RequestSent, Host: -1})
	w.sendToNode(c, b.String(), nil)
	generation := cl.generation
	w.after(flow.Timeout, func() {
		if cl.generation == generation && cl.state == clientAsking {
			cl.timeOut()
		}
	})
}

// timeOut is called when no answer has arrived within the connect timeout.
func (cl *client) timeOut() {
	cl.disconnect()
	cl.attemptFailed(0)
}

// attemptFailed schedules the next attempt, if there is one. retryAfter is the wait that the answer asked for, in
// microseconds; it is 0 or less if there was no such answer.
func (cl *client) attemptFailed(retryAfter int64) {
	settings := cl.world.script.Clients
	cl.failures++
	cl.retrying = true
	if cl.looping {
		cl.world.after(loopRetryPause, cl.attempt)
		return
	}
	if settings.RetryWait == "none" || cl.failures > settings.Retries {
		if !settings.GivesUp {
			cl.scheduleNextRound()
		}
		return
	}
	wait := int64(0)
	switch settings.RetryWait {
	case "fixed":
		wait = settings.RetryPause.Microseconds()
	case "exponential":
		wait = settings.RetryPause.Microseconds() << min(cl.failures-1, 10)
		wait = wait/2 + cl.eventRand.Int64N(wait/2+1)
	}
	if retryAfter > 0 && cl.eventRand.Float64() < settings.HonourShare {
		wait = max(wait, retryAfter)
	}
	cl.world.after(max(wait, 1), cl.attempt)
}

// scheduleNextRound schedules another round of attempts for a client whose retries are used up. The wait doubles with each
// round, up to maxRoundWait.
func (cl *client) scheduleNextRound() {
	wait := min(cl.world.script.Clients.ReturnAfterBreak[1].Microseconds()<<min(cl.retryRounds, 10), maxRoundWait)
	cl.retryRounds++
	cl.failures = 0
	cl.world.after(wait/2+cl.eventRand.Int64N(wait/2+1), cl.attempt)
}

// scheduleReturn lets a client connect again after its connection broke or was moved. delay holds the shortest and the
// longest delay, in microseconds.
func (cl *client) scheduleReturn(delay [2]int64) {
	cl.returning, cl.retrying, cl.failures, cl.retryRounds = true, false, 0, 0
	cl.world.after(delay[0]+cl.eventRand.Int64N(delay[1]-delay[0]+1), cl.attempt)
}

// receiveLine implements peer.
func (cl *client) receiveLine(c *Conn, line []byte) {
	if c != cl.conn {
		return
	}
	switch cl.state {
	case clientAsking:
		cl.receiveAnswer(string(line))
	case clientEstablished:
		cl.receiveHostLine(string(line))
	}
}

// receiveAnswer handles the final answer to an attempt.
func (cl *client) receiveAnswer(text string) {
	w, flow := cl.world, cl.flow
	flow.AddEvent(record.Event{At: w.now, Kind: record.Answered, Host: -1, Text: text})
	cl.initialHost = nil
	receipt, up := strings.CutPrefix(text, "UP ")
	if !up {
		retryAfter := int64(-1)
		var wait float64
		if n, _ := fmt.Sscanf(text, "BUSY %f", &wait); n == 1 {
			retryAfter = int64(wait * 1000)
		}
		w.closePeerSide(cl.conn, false)
		cl.generation++
		cl.clearConnection()
		cl.attemptFailed(retryAfter)
		return
	}
	flow.SetupTime = w.now - flow.FirstEvent(record.RequestSent).At
	name, _, _ := strings.Cut(receipt, ".")
	cl.state, cl.failures, cl.retryRounds, cl.retrying = clientEstablished, 0, 0, false
	for _, h := range w.hosts {
		if h.uid == name {
			flow.Host = h.index
			flow.CrossesZones = h.zone != cl.node.zone
			if flow.CrossesZones {
				w.run.Counts.Crossings++
			}
			if !cl.looping {
				h.clientsByType[cl.serviceType]++
				cl.countedAt = h
			}
		}
	}
	cl.generation++
	switch {
	case cl.looping:
		cl.disconnect()
		w.after(1, cl.attempt)
	case cl.bulkWindow > 0:
		cl.sendBulk(cl.bulkWindow)
	default:
		cl.scheduleNextLine(cl.generation)
	}
}

// sendBulk sends about count bytes of a bulk client in lines.
func (cl *client) sendBulk(count int) {
	line := strings.Repeat("x", bulkLineBytes-2) + "\r\n"
	cl.send(strings.Repeat(line, max(count/bulkLineBytes, 1)))
}

// scheduleNextLine schedules the next line of an established client, after about the script's clients.line_every. If no
// line has been answered for too long, that is recorded.
func (cl *client) scheduleNextLine(generation int) {
	interval := cl.world.script.Clients.LineInterval.Microseconds()
	cl.world.after(interval*3/4+cl.eventRand.Int64N(interval/2+1), func() {
		if cl.generation != generation || cl.state != clientEstablished {
			return
		}
		if cl.unansweredSince > 0 && cl.world.now-cl.unansweredSince > maxEchoDelay+4*interval && !cl.silenceRecorded {
			cl.silenceRecorded = true
			cl.flow.AddEvent(record.Event{At: cl.world.now, Kind: record.CloseDelayed, Host: -1, Text: "silent",
				Value: cl.world.now - cl.unansweredSince})
		}
		if cl.unansweredSince == 0 {
			cl.unansweredSince = cl.world.now
		}
		cl.send(fmt.Sprintf("say %d\r\n", cl.world.now/1000))
		cl.scheduleNextLine(generation)
	})
}

// send sends text of an established client, which the node has to forward to the host.
func (cl *client) send(text string) {
	flow := cl.flow
	cl.world.sendToNode(cl.conn, text, func() {
		if cl.flow == flow && cl.state == clientEstablished {
			cl.pendingToHost.add(len(text), cl.world.now)
		}
	})
}

// receiveHostLine handles a line of the host of an established flow.
func (cl *client) receiveHostLine(text string) {
	switch {
	case text == "MOVE", text == "BYE":
		cl.closingLine = text
		return
	case strings.HasPrefix(text, "LOAD "):
		return
	}
	cl.unansweredSince = 0
	if cl.bulkWindow > 0 {
		cl.sendBulk(bulkLineBytes)
	}
}

// receiveBulk implements bulkPeer: a bulk client receives many lines at once and sends as many bytes again.
func (cl *client) receiveBulk(c *Conn, data []byte) bool {
	if c != cl.conn || cl.state != clientEstablished || cl.bulkWindow == 0 || data[0] != 'x' {
		return false
	}
	cl.unansweredSince = 0
	cl.sendBulk(len(data))
	return true
}

// closed implements peer.
func (cl *client) closed(c *Conn, broken bool) {
	if c != cl.conn {
		return
	}
	w, flow, closingLine, state := cl.world, cl.flow, cl.closingLine, cl.state
	kind := record.Disconnected
	if closingLine == "MOVE" {
		kind = record.Moved
	}
	if closingLine != "BYE" {
		flow.AddEvent(record.Event{At: w.now, Kind: kind, Host: -1})
	}
	w.closePeerSide(c, false)
	cl.generation++
	cl.clearConnection()
	switch {
	case state == clientAsking:
		cl.attemptFailed(-1)
	case closingLine == "BYE":
		cl.withdrawDemand()
		cl.state = clientDone
	case cl.looping:
		cl.attemptFailed(-1)
	case closingLine == "MOVE":
		w.run.Counts.Moves++
		cl.scheduleReturn([2]int64{w.script.Clients.ReturnAfterMove[0].Microseconds(), w.script.Clients.ReturnAfterMove[1].Microseconds()})
	default:
		w.run.Counts.Disconnects++
		cl.scheduleReturn([2]int64{w.script.Clients.ReturnAfterBreak[0].Microseconds(), w.script.Clients.ReturnAfterBreak[1].Microseconds()})
	}
}

// nodeKilled records that the node of the client's flow was killed.
func (cl *client) nodeKilled() {
	if cl.flow != nil {
		cl.flow.AddEvent(record.Event{At: cl.world.now, Kind: record.NodeKilled, Host: -1})
	}
}
