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
	clientIdle clientState = iota
	clientAsking
	clientEstablished
	clientDone
)

// client is one client that wants a connection from start to end, whatever breaks meanwhile.
type client struct {
	world       *World
	number      uint64
	address     netip.Addr
	eventRand   *rand.Rand // for what befalls it
	profileRand *rand.Rand // for what it is
	serviceType int
	zone        int
	group       string
	key         string
	baseLoad    float64 // its load, about which it changes
	load        float64
	startedAt   int64
	endsAt      int64
	endedByHost bool // its host ends it
	looping     bool
	initialHost *host // that held its flow before the run; until its first answer
	fromCapture bool  // its load changes as a capture has it
	bulkWindow  int   // of a bulk client

	state           clientState
	failures        int // in a row without success
	retryRounds     int // of tries used up in a row
	returning       bool
	retrying        bool
	flow            *record.Flow
	conn            *Conn
	hostConn        *hostConn
	host            *host // where hostCn is
	countedAt       *host // where it is counted as held
	node            *nodeState
	closingLine     string // the last word that came
	generation      int    // of what waits for this try
	unansweredSince int64  // the first line that nothing came back for
	silenceRecorded bool   // said so already
	upSent          bool   // its node has sent it UP
	pendingToHost   pendingBytes
	pendingToClient pendingBytes
	hostEndAt       int64 // when the node heard of the host's end
}

// setLoad sets the client's load, wherever it stands.
func (cl *client) setLoad(load float64) {
	if cl.state == clientDone {
		return
	}
	cl.load = load
	if cl.hostConn != nil {
		cl.host.loadChanged(cl.hostConn)
	}
}

func (cl *client) start() {
	w := cl.world
	cl.load = cl.baseLoad
	w.clients = append(w.clients, cl)
	if !cl.looping {
		w.demandByType[cl.serviceType]++
	}
	w.run.Counts.Wishes++
	w.At(cl.endsAt, cl.finish)
	if cl.bulkWindow == 0 && !cl.looping && !cl.fromCapture {
		cl.varyLoad()
	}
	cl.attempt()
}

// varyLoad changes the load now and then, whether or not the client has its connection.
func (cl *client) varyLoad() {
	if cl.world.script.Fleet.LoadSwing == 0 {
		return
	}
	wait := int64(float64(cl.world.script.Fleet.LoadChange) * cl.profileRand.ExpFloat64())
	at := cl.world.now + max(wait, 1)
	load := cl.baseLoad * logNormal(cl.profileRand, cl.world.script.Fleet.LoadSwing)
	if at >= cl.endsAt {
		return
	}
	cl.world.At(at, func() {
		if cl.state != clientDone {
			cl.setLoad(load)
			cl.varyLoad()
		}
	})
}

// finish is the end of what the client wanted.
func (cl *client) finish() {
	if cl.state == clientDone {
		return
	}
	if cl.state == clientEstablished && cl.endedByHost && cl.hostConn != nil && cl.hostConn.hosted != nil {
		cl.world.after(second, cl.finish) // its host says BYE
		return
	}
	cl.withdrawDemand()
	cl.disconnect()
	cl.state = clientDone
}

func (cl *client) withdrawDemand() {
	if !cl.looping && cl.baseLoad >= 0 {
		cl.world.demandByType[cl.serviceType]--
		cl.baseLoad = -1
	}
}

// disconnect ends the client's connection.
func (cl *client) disconnect() {
	cl.generation++
	if cl.conn != nil {
		if cl.flow != nil {
			cl.flow.Add(record.Event{At: cl.world.now, Kind: record.Left, Host: -1})
		}
		cl.world.closePeerSide(cl.conn, false)
	}
	cl.clearConnection()
}

// clearConnection forgets the connection.
func (cl *client) clearConnection() {
	if cl.countedAt != nil {
		cl.countedAt.clientsByType[cl.serviceType]--
		cl.countedAt = nil
	}
	if cl.node != nil {
		for i, o := range cl.node.clients {
			if o == cl {
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

// closeRecord writes down how a run found a client at its end.
func (cl *client) closeRecord() {
	if cl.state == clientEstablished && cl.hostEndAt > 0 && cl.world.now-cl.hostEndAt > maxHoldTime {
		cl.flow.Add(record.Event{At: cl.world.now, Kind: record.Unended, Host: -1, Value: cl.world.now - cl.hostEndAt})
	}
}

// attempt makes one try.
func (cl *client) attempt() {
	w := cl.world
	if cl.state == clientDone || w.now > w.run.Length || w.now >= cl.endsAt {
		return
	}
	n := w.pickNode(cl.zone, cl.eventRand)
	if n == nil {
		cl.attemptFailed(-1)
		return
	}
	w.flowCount++
	f := &record.Flow{ID: fmt.Sprintf("%016x", mixID(w.seed, w.flowCount)), Key: cl.key, Type: cl.serviceType, Group: cl.group, Node: n.index,
		Zone: cl.zone, Timeout: w.run.Types[cl.serviceType].Timeout, Again: cl.returning, Host: -1, Load: cl.load, LifeLeft: cl.endsAt - w.now}
	w.run.Flows = append(w.run.Flows, f)
	w.run.Counts.Tries++
	w.flowByID[f.ID], w.clientByFlowID[f.ID] = f, cl
	if cl.initialHost != nil {
		f.Timeout, f.Stood = standingConnectTimeout, true
	}
	cl.flow, cl.state, cl.node, cl.hostEndAt, cl.silenceRecorded = f, clientAsking, n, 0, false
	cl.pendingToHost, cl.pendingToClient, cl.upSent = pendingBytes{}, pendingBytes{}, false
	n.clients = append(n.clients, cl)
	cl.conn = w.openToNode(cl, n.index, cl.address)
	cl.conn.clientFlow = f
	cl.generation++
	generation := cl.generation
	w.after(f.Timeout, func() { // also when not even the connection came up
		if cl.generation == generation && cl.state == clientAsking && cl.flow.Find(record.Asked) == nil {
			cl.timeOut()
		}
	})
}

// mixID makes ids that tell nothing of their order.
func mixID(seed, n uint64) uint64 {
	x := seed*0x9e3779b97f4a7c15 + n
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (cl *client) accepted(*Conn) {}

// connected is that the connection stands: the client says what it wants.
func (cl *client) connected(c *Conn) {
	w, f := cl.world, cl.flow
	var b strings.Builder
	fmt.Fprintf(&b, "OPEN %s %s c=%s,d=%d", f.ID, f.Key, w.script.Types[cl.serviceType].Name, f.Timeout/1000)
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
	f.Add(record.Event{At: w.now, Kind: record.Asked, Host: -1})
	w.sendToNode(c, b.String(), nil)
	generation := cl.generation
	w.after(f.Timeout, func() {
		if cl.generation == generation && cl.state == clientAsking {
			cl.timeOut()
		}
	})
}

// timeOut is that no answer came in the client's time.
func (cl *client) timeOut() {
	cl.disconnect()
	cl.attemptFailed(0)
}

// attemptFailed lets the client try again, or not. It was told to wait so many microseconds; under 0 it was told nothing.
func (cl *client) attemptFailed(retryAfter int64) {
	c := cl.world.script.Clients
	cl.failures++
	cl.retrying = true
	if cl.looping {
		cl.world.after(1000, cl.attempt)
		return
	}
	if c.RetryWait == "none" || cl.failures > c.Retries {
		if !c.GivesUp {
			cl.scheduleNextRound()
		}
		return
	}
	wait := int64(0)
	switch c.RetryWait {
	case "fixed":
		wait = c.RetryPause.Us()
	case "exponential":
		wait = c.RetryPause.Us() << min(cl.failures-1, 10)
		wait = wait/2 + cl.eventRand.Int64N(wait/2+1)
	}
	if retryAfter > 0 && cl.eventRand.Float64() < c.HonourShare {
		wait = max(wait, retryAfter)
	}
	cl.world.after(max(wait, 1), cl.attempt)
}

const maxRoundWait = 8 * second

// scheduleNextRound lets a client come again whose tries are used up, after ever longer waits.
func (cl *client) scheduleNextRound() {
	wait := min(cl.world.script.Clients.ReturnAfterBreak[1].Us()<<min(cl.retryRounds, 10), maxRoundWait)
	cl.retryRounds++
	cl.failures = 0
	cl.world.after(wait/2+cl.eventRand.Int64N(wait/2+1), cl.attempt)
}

// scheduleReturn lets a client come again whose connection broke or was moved.
func (cl *client) scheduleReturn(within [2]int64) {
	cl.returning, cl.retrying, cl.failures, cl.retryRounds = true, false, 0, 0
	cl.world.after(within[0]+cl.eventRand.Int64N(within[1]-within[0]+1), cl.attempt)
}

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

// receiveAnswer takes the one final answer.
func (cl *client) receiveAnswer(text string) {
	w, f := cl.world, cl.flow
	f.Add(record.Event{At: w.now, Kind: record.Answered, Host: -1, Text: text})
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
	f.Establish = w.now - f.Find(record.Asked).At
	name, _, _ := strings.Cut(receipt, ".")
	cl.state, cl.failures, cl.retryRounds, cl.retrying = clientEstablished, 0, 0, false
	for _, h := range w.hosts {
		if h.uid == name {
			f.Host = h.index
			f.Crossed = h.zone != cl.node.zone
			if f.Crossed {
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

const bulkLineBytes = 128

// sendBulk sends so many bytes of a bulk client.
func (cl *client) sendBulk(bytes int) {
	line := strings.Repeat("x", bulkLineBytes-2) + "\r\n"
	cl.send(strings.Repeat(line, max(bytes/bulkLineBytes, 1)))
}

// scheduleNextLine sends a line now and then, and sees whether they come back.
func (cl *client) scheduleNextLine(generation int) {
	every := cl.world.script.Clients.LineInterval.Us()
	cl.world.after(every*3/4+cl.eventRand.Int64N(every/2+1), func() {
		if cl.generation != generation || cl.state != clientEstablished {
			return
		}
		if cl.unansweredSince > 0 && cl.world.now-cl.unansweredSince > 7*second+50_000+4*every && !cl.silenceRecorded {
			cl.silenceRecorded = true
			cl.flow.Add(record.Event{At: cl.world.now, Kind: record.Unended, Host: -1, Text: "silent", Value: cl.world.now - cl.unansweredSince})
		}
		if cl.unansweredSince == 0 {
			cl.unansweredSince = cl.world.now
		}
		cl.send(fmt.Sprintf("say %d\r\n", cl.world.now/1000))
		cl.scheduleNextLine(generation)
	})
}

// send is bytes of an established client; the node owes them to the host.
func (cl *client) send(text string) {
	flow := cl.flow
	cl.world.sendToNode(cl.conn, text, func() {
		if cl.flow == flow && cl.state == clientEstablished {
			cl.pendingToHost.add(len(text), cl.world.now)
		}
	})
}

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

// receiveBulk takes many lines of a bulk client at once, and sends as much again.
func (cl *client) receiveBulk(c *Conn, b []byte) bool {
	if c != cl.conn || cl.state != clientEstablished || cl.bulkWindow == 0 || b[0] != 'x' {
		return false
	}
	cl.unansweredSince = 0
	cl.sendBulk(len(b))
	return true
}

// closed is that the node's side is gone.
func (cl *client) closed(c *Conn, broken bool) {
	if c != cl.conn {
		return
	}
	w, f, closingLine, state := cl.world, cl.flow, cl.closingLine, cl.state
	kind := record.Cut
	if closingLine == "MOVE" {
		kind = record.Moved
	}
	if closingLine != "BYE" {
		f.Add(record.Event{At: w.now, Kind: kind, Host: -1})
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
		cl.scheduleReturn([2]int64{w.script.Clients.ReturnAfterMove[0].Us(), w.script.Clients.ReturnAfterMove[1].Us()})
	default:
		w.run.Counts.Breaks++
		cl.scheduleReturn([2]int64{w.script.Clients.ReturnAfterBreak[0].Us(), w.script.Clients.ReturnAfterBreak[1].Us()})
	}
}

func (cl *client) nodeKilled() {
	if cl.flow != nil {
		cl.flow.Add(record.Event{At: cl.world.now, Kind: record.NodeKilled, Host: -1})
	}
}
