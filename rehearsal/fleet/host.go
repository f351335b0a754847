package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"coursewinch/lines"
	"coursewinch/rehearsal/record"
)

type hostState uint8

const (
	hostRunning hostState = iota
	hostDead
	hostSilent // the machine says nothing
	hostAbsent
)

const (
	coreWorkPerSecond = 1e6     // microseconds of work that a core of speed 1 does in a second
	tickInterval      = 100_000 // how often hosts and service are gone through
	never             = int64(1) << 62
	second            = int64(1_000_000)
)

// host is one server. Set-ups in work and the messages of its flows share its cores evenly; messages are a stream of
// work that piles up when it is more than its part.
type host struct {
	world    *World
	index    int
	uid      string
	address  string
	model    string
	zone     int
	cores    float64
	speed    float64
	state    hostState
	listed   string // what the world knows: ready, draining or gone
	bootedAt int64  // when it started; 0 for long ago
	fellOver bool

	pauses         int     // pauses in force
	slowdown       float64 // times slower
	neighbourShare float64 // share of the machine that a neighbour has
	extraErrorRate float64 // share of set-ups answered ERR
	stopsAt        int64   // when it will stop, while it drains

	updatedAt    int64       // until when the following holds
	workPerSetup float64     // work that each set-up has got since the start
	activeSetups []*setupJob // a heap by goal
	queuedSetups []*setupJob
	load         float64 // work a second of the flows' messages, groups' share included
	backlog      float64 // work of messages piled up
	utilization  float64 // share of its cores used of late
	generation   int     // of the event that waits for the next set-up

	flows         []*hostedFlow // that stand here
	conns         []*hostConn   // all that are open
	flowsByGroup  map[string]int
	clientsByType []float64 // clients that think they stand here, by type
	coldConnects  []int64   // when connects came of late, while cold
	peakColdRatio float64   // the most that it was sent, of what it could do
	receipts      int       // receipts
	silentConns   []*Conn   // that were open when the machine went silent; they break when it is back
}

// setupJob is a set-up or a probe in work.
type setupJob struct {
	workGoal    float64 // of done
	conn        *hostConn
	receivedAt  int64 // when the line came
	work        float64
	timeout     int64 // how long the node waits
	isProbe     bool
	wantsReport bool // the probe asks for the report
	abandoned   bool // its connection is gone
}

// hostConn is one connection at a host.
type hostConn struct {
	*Conn
	job    *setupJob
	hosted *hostedFlow
	index  int // in host.conns
}

// hostedFlow is a flow that stands at a host.
type hostedFlow struct {
	conn  *hostConn
	load  float64
	index int // in host.flows
}

func (h *host) acceptsConnections() bool { return h.state == hostRunning && h.listed != "" }
func (h *host) isSilent() bool           { return h.state == hostSilent }

// warmShare is the share of its capacity that a host has by now.
func (h *host) warmShare(at int64) float64 {
	t := h.world.script.Fleet
	if h.bootedAt == 0 || at >= h.bootedAt+t.ColdTime.Us() {
		return 1
	}
	return 1 - (1-t.ColdFrom)*float64(h.bootedAt+t.ColdTime.Us()-at)/float64(t.ColdTime.Us())
}

// coreRate is the work a second that one of its cores does now.
func (h *host) coreRate() float64 {
	if h.state != hostRunning || h.pauses > 0 {
		return 0
	}
	rate := coreWorkPerSecond * h.speed * h.warmShare(h.updatedAt) * (1 - h.neighbourShare) / max(h.slowdown, 1)
	if t := h.world.script.Fleet; t.Thrash > 0 && h.backlog > 0 {
		rate *= 1 - t.Thrash*min(h.backlog/(t.Buffer.Seconds()*rate*h.cores), 1)
	}
	return rate
}

// capacity is the load of flows, of load 1 each, that fill the host when it is warm and alone.
func (h *host) capacity() float64 { return h.cores * h.speed * h.world.script.Fleet.PerCore }

// unitLoadRate is the work a second of a flow of load 1.
func (w *World) unitLoadRate() float64 { return coreWorkPerSecond / w.script.Fleet.PerCore }

// workRates are the work a second that each set-up and that all messages get now.
func (h *host) workRates() (perSetup, messages float64) {
	rate := h.coreRate()
	if rate == 0 {
		return 0, 0
	}
	perMessage := h.world.unitLoadRate() * float64(h.world.script.Clients.LineInterval) / 1e6
	demand := h.load / rate
	if h.backlog > 0 {
		demand += h.backlog / perMessage
	}
	setups := float64(len(h.activeSetups))
	perConsumer := rate
	if setups+demand > h.cores {
		perConsumer = rate * h.cores / (setups + demand)
	}
	messages = demand * perConsumer
	if h.backlog == 0 {
		messages = min(messages, h.load)
	}
	return perConsumer, messages
}

// advance brings the host up to now.
func (h *host) advance() {
	elapsed := float64(h.world.now-h.updatedAt) / 1e6
	if elapsed > 0 {
		perSetup, messages := h.workRates()
		h.workPerSetup += perSetup * elapsed
		h.backlog += (h.load - messages) * elapsed
		if h.backlog < 1 {
			h.backlog = 0
		}
		work := (perSetup*float64(len(h.activeSetups)) + messages) * elapsed
		h.world.run.Counts.Work += work
		if rate := h.coreRate(); rate > 0 {
			h.utilization += (min((perSetup*float64(len(h.activeSetups))+messages)/(rate*h.cores), 1) - h.utilization) * min(elapsed*2, 1)
		}
	}
	h.updatedAt = h.world.now
}

// scheduleCompletion asks for the moment at which the next set-up is done.
func (h *host) scheduleCompletion() {
	h.generation++
	perSetup, _ := h.workRates()
	if len(h.activeSetups) == 0 || perSetup == 0 {
		return
	}
	generation := h.generation
	wait := (h.activeSetups[0].workGoal - h.workPerSetup) / perSetup * 1e6
	h.world.after(int64(math.Ceil(max(wait, 1))), func() {
		if h.generation == generation {
			h.advance()
			h.completeDue()
			h.scheduleCompletion()
		}
	})
}

func (h *host) completeDue() {
	for len(h.activeSetups) > 0 && h.activeSetups[0].workGoal <= h.workPerSetup+0.5 {
		j := h.popJob()
		h.startQueued()
		switch {
		case j.isProbe:
			h.world.sendToNode(j.conn.Conn, h.probeAnswer(j.wantsReport), nil)
		case h.world.script.Store.CallRate > 0:
			h.world.callStore(func() { h.completeSetup(j) })
		default:
			h.completeSetup(j)
		}
	}
}

// startQueued takes the first of the queue into work.
func (h *host) startQueued() {
	slots := int(math.Ceil(h.world.script.Fleet.SlotsPerCore * h.cores))
	for len(h.queuedSetups) > 0 && len(h.activeSetups) < slots {
		j := h.queuedSetups[0]
		h.queuedSetups = h.queuedSetups[1:]
		switch {
		case j.abandoned:
		case h.world.now-j.receivedAt > j.timeout: // its client's time is up
			h.refuse(j.conn, "BUSY")
		default:
			h.pushJob(j)
		}
	}
}

func (h *host) pushJob(j *setupJob) {
	j.workGoal = h.workPerSetup + j.work
	h.activeSetups = append(h.activeSetups, j)
	for i := len(h.activeSetups) - 1; i > 0 && h.activeSetups[i].workGoal < h.activeSetups[(i-1)/2].workGoal; i = (i - 1) / 2 {
		h.activeSetups[i], h.activeSetups[(i-1)/2] = h.activeSetups[(i-1)/2], h.activeSetups[i]
	}
}

func (h *host) popJob() *setupJob {
	top := h.activeSetups[0]
	last := len(h.activeSetups) - 1
	h.activeSetups[0] = h.activeSetups[last]
	h.activeSetups[last] = nil
	h.activeSetups = h.activeSetups[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && h.activeSetups[child+1].workGoal < h.activeSetups[child].workGoal {
			child++
		}
		if h.activeSetups[child].workGoal >= h.activeSetups[i].workGoal {
			return top
		}
		h.activeSetups[i], h.activeSetups[child] = h.activeSetups[child], h.activeSetups[i]
		i = child
	}
}

// The host as the other end of a node's connection.

func (h *host) accepted(c *Conn) {
	hc := &hostConn{Conn: c, index: len(h.conns)}
	c.peerState = hc
	h.conns = append(h.conns, hc)
}

func (h *host) connected(*Conn) {}

// probeAnswer answers a probe; its report is of flows waiting and of load asked over what the host can do.
func (h *host) probeAnswer(withReport bool) string {
	if rate := h.coreRate() * h.cores; withReport && rate > 0 {
		return fmt.Sprintf("PONG %d,%.3f\r\n", len(h.activeSetups), h.load/rate)
	}
	return "PONG\r\n"
}

func (h *host) receiveLine(c *Conn, line []byte) {
	hc, ok := c.peerState.(*hostConn)
	if !ok || h.state != hostRunning {
		return
	}
	h.advance()
	defer h.scheduleCompletion()
	switch text := string(line); {
	case hc.hosted != nil:
		h.echo(hc, text)
	case text == "PING", text == "STATS" && h.world.script.Node.HostsReportLoad:
		h.world.run.Counts.Probes++
		h.pushJob(&setupJob{conn: hc, receivedAt: h.world.now, work: float64(h.world.script.Fleet.ProbeWork), isProbe: true, wantsReport: text == "STATS"})
	case strings.HasPrefix(text, "OPEN ") && hc.flow != nil && hc.job == nil:
		h.receiveOpen(hc, line)
	default:
		h.rejectLine(hc, "neither PING nor OPEN: "+text)
	}
}

func (h *host) rejectLine(hc *hostConn, why string) {
	h.world.recordInvalidLine(hc, why)
	h.world.sendToNode(hc.Conn, "SYNTAX\r\n", nil)
	h.world.closePeerSide(hc.Conn, false)
	h.removeConn(hc)
}

// echo answers a line of an established flow.
func (h *host) echo(hc *hostConn, text string) {
	if h.world.script.Fleet.EchoMode == "at_once" && h.pauses == 0 {
		h.sendToClient(hc, text)
		return
	}
	wait := int64(0)
	if rate := h.coreRate() * h.cores; rate > 0 {
		wait = int64((h.backlog + h.world.unitLoadRate()*float64(h.world.script.Clients.LineInterval)/1e6) / rate * 1e6)
	} else {
		wait = second
	}
	h.world.after(wait, func() {
		if h.pauses > 0 {
			h.echo(hc, text)
			return
		}
		h.sendToClient(hc, text)
	})
}

// receiveBulk sends many lines back at once.
func (h *host) receiveBulk(c *Conn, p []byte) bool {
	hc, ok := c.peerState.(*hostConn)
	if !ok || hc.hosted == nil || h.world.script.Fleet.EchoMode != "at_once" || h.pauses > 0 || h.state != hostRunning {
		return false
	}
	h.sendToClient(hc, strings.TrimSuffix(string(p), "\r\n"))
	return true
}

// sendToClient sends a line that the node owes the client.
func (h *host) sendToClient(hc *hostConn, text string) {
	flow, p := hc.flow, hc.client
	h.world.sendToNode(hc.Conn, text+"\r\n", func() {
		if p.flow == flow && p.upSent {
			p.pendingToClient.add(len(text)+2, h.world.now)
		}
	})
}

// receiveOpen takes the line of a connect.
func (h *host) receiveOpen(hc *hostConn, line []byte) {
	open, err := lines.ParseOpen(line)
	if err != nil || open.ID != hc.flow.ID || h.world.script.TypeNo(open.Class) != hc.flow.Type || open.Key != hc.flow.Key {
		h.rejectLine(hc, fmt.Sprint("changed on its way: ", string(line)))
		return
	}
	hc.flow.Add(record.Event{At: h.world.now, Kind: record.Came, Host: h.index, Try: hc.attempt})
	if open.At != "" {
		if hc.client.initialHost != h {
			h.rejectLine(hc, "it never stood here: "+open.At)
			return
		}
		h.completeSetup(&setupJob{conn: hc})
		return
	}
	h.countColdConnect()
	t := h.world.script.Fleet
	switch {
	case h.listed == "draining":
		h.refuse(hc, "BUSY")
		return
	case float64(len(h.flows)+len(h.activeSetups)+len(h.queuedSetups)) >= t.ConnectionCap*h.capacity():
		h.refuse(hc, "BUSY")
		return
	case float64(len(h.queuedSetups)) >= t.QueuePerCore*h.cores && len(h.activeSetups) >= int(math.Ceil(t.SlotsPerCore*h.cores)):
		h.refuse(hc, "BUSY")
		return
	}
	work := float64(t.SetupWork) * (0.7 + 0.6*hc.client.eventRand.Float64())
	hc.job = &setupJob{conn: hc, receivedAt: h.world.now, work: work, timeout: open.Wait}
	h.queuedSetups = append(h.queuedSetups, hc.job)
	h.startQueued()
}

// coldAllowance is how much a host may have been sent while cold, from its start up to now: what burden lets pass, without the
// two in hand.
func (h *host) coldAllowance() float64 {
	t := h.world.script.Fleet
	if h.bootedAt == 0 || t.ColdTime == 0 {
		return 0
	}
	elapsed := min(max(float64(h.world.now-h.bootedAt)/float64(t.ColdTime.Us()), 0), 1)
	mean := (h.warmShare(h.bootedAt) + h.warmShare(h.bootedAt+int64(elapsed*float64(t.ColdTime.Us()-1)))) / 2
	return t.FallMultiple * h.capacity() / h.world.meanLoad * mean * elapsed
}

// countColdConnect counts what a cold host is sent. Over the stated multiple of what it can do, for the stated time, it falls
// over. What it can do is to fill within its warm-up, evenly, for the share that it is warm; two connects in hand are
// let pass, as they come whole.
func (h *host) countColdConnect() {
	t := h.world.script.Fleet
	if h.bootedAt == 0 || h.world.now >= h.bootedAt+t.ColdTime.Us() {
		h.coldConnects = nil
		return
	}
	h.world.run.Hosts[h.index].ColdSent++
	h.coldConnects = append(h.coldConnects, h.world.now)
	for len(h.coldConnects) > 0 && h.coldConnects[0] <= h.world.now-t.FallAfter.Us() {
		h.coldConnects = h.coldConnects[1:]
	}
	middle := max(h.bootedAt, h.world.now-t.FallAfter.Us()/2)
	expected := h.capacity() / h.world.meanLoad / t.ColdTime.Seconds() * h.warmShare(middle) * t.FallAfter.Seconds()
	ratio := (float64(len(h.coldConnects)) - 2) / expected
	h.peakColdRatio = max(h.peakColdRatio, ratio)
	if allowed := t.FallMultiple * expected; float64(len(h.coldConnects)) > allowed+t.FallRoots*math.Sqrt(allowed)+2 {
		h.fellOver = true
		h.world.run.Hosts[h.index].FellAt = h.world.now
		h.world.run.Counts.Falls++
		h.world.after(0, func() { h.world.crashHost(h, 0) })
	}
}

// refuse refuses or fails a connect and ends its connection.
func (h *host) refuse(hc *hostConn, answer string) {
	hc.flow.Add(record.Event{At: h.world.now, Kind: record.Said, Host: h.index, Try: hc.attempt, Text: answer})
	h.world.sendToNode(hc.Conn, answer+"\r\n", nil)
	h.world.closePeerSide(hc.Conn, false)
	h.removeConn(hc)
}

// completeSetup is the end of a set-up's work.
func (h *host) completeSetup(j *setupJob) {
	hc := j.conn
	if h.state != hostRunning || hc.flow == nil {
		return
	}
	hc.flow.Add(record.Event{At: h.world.now, Kind: record.Ran, Host: h.index, Try: hc.attempt})
	if j.abandoned {
		h.world.run.Counts.Wasted++
		h.world.run.Counts.WorkWasted += j.work
		return
	}
	if errorRate := h.world.script.Fleet.ErrorRate + h.extraErrorRate; errorRate > 0 && hc.client.eventRand.Float64() < errorRate {
		h.refuse(hc, "ERR")
		return
	}
	h.receipts++
	receipt := fmt.Sprintf("%s.%d.%d", h.uid, h.bootedAt, h.receipts)
	hc.flow.Receipts = append(hc.flow.Receipts, receipt)
	hc.flow.Add(record.Event{At: h.world.now, Kind: record.Said, Host: h.index, Try: hc.attempt, Text: "UP"})
	hc.hosted = &hostedFlow{conn: hc, index: len(h.flows)}
	h.flows = append(h.flows, hc.hosted)
	h.setFlowLoad(hc.hosted, hc.client.load*h.world.unitLoadRate())
	h.addToGroup(hc.client.group, 1)
	if hc.client.flow == hc.flow {
		hc.client.hostConn, hc.client.host = hc, h
	}
	h.world.sendToNode(hc.Conn, "UP "+receipt+"\r\n", nil)
	h.reportLoad(hc)
	if hc.client.endedByHost {
		h.world.At(hc.client.endsAt, func() {
			if hc.hosted != nil {
				h.sendAway(hc, "BYE")
			}
		})
	}
}

// reportLoad says what a flow's load is, where hosts do.
func (h *host) reportLoad(hc *hostConn) {
	if h.world.script.Fleet.SendsLoad {
		h.sendToClient(hc, fmt.Sprintf("LOAD %.0f", hc.hosted.load))
	}
}

func (h *host) setFlowLoad(s *hostedFlow, load float64) {
	h.load += load - s.load
	s.load = load
}

// addToGroup counts a group's flows here; each group that has any costs its share of work.
func (h *host) addToGroup(group string, by int) {
	if group == "" {
		return
	}
	cost := h.world.script.Fleet.GroupCost * h.world.unitLoadRate()
	if h.flowsByGroup[group] == 0 {
		h.load += cost
	}
	if h.flowsByGroup[group] += by; h.flowsByGroup[group] == 0 {
		h.load -= cost
		delete(h.flowsByGroup, group)
	}
}

// sendAway sends a client away with a last word.
func (h *host) sendAway(hc *hostConn, closingLine string) {
	h.advance()
	h.sendToClient(hc, closingLine)
	h.world.closePeerSide(hc.Conn, false)
	h.removeConn(hc)
	h.scheduleCompletion()
}

func (h *host) closed(c *Conn, broken bool) {
	if hc, ok := c.peerState.(*hostConn); ok {
		h.advance()
		h.removeConn(hc)
		h.scheduleCompletion()
	}
}

// removeConn forgets a connection.
func (h *host) removeConn(hc *hostConn) {
	if hc.index < 0 {
		return
	}
	last := len(h.conns) - 1
	h.conns[hc.index] = h.conns[last]
	h.conns[hc.index].index = hc.index
	h.conns[last] = nil
	h.conns = h.conns[:last]
	hc.index = -1
	if hc.job != nil {
		hc.job.abandoned = true
	}
	if s := hc.hosted; s != nil {
		h.setFlowLoad(s, 0)
		h.addToGroup(hc.client.group, -1)
		last := len(h.flows) - 1
		h.flows[s.index] = h.flows[last]
		h.flows[s.index].index = s.index
		h.flows[last] = nil
		h.flows = h.flows[:last]
		hc.hosted = nil
	}
	if len(h.flows) == 0 {
		h.load = 0 // rounding
	}
}

// loadChanged is told when the load of a client's flow has changed.
func (h *host) loadChanged(hc *hostConn) {
	if hc.hosted != nil && h.state == hostRunning {
		h.advance()
		h.setFlowLoad(hc.hosted, hc.client.load*h.world.unitLoadRate())
		h.reportLoad(hc)
		h.scheduleCompletion()
	}
}

// stop ends the process: every connection breaks, or says nothing.
func (h *host) stop(to hostState) {
	h.advance()
	h.state = to
	if to != hostSilent {
		h.world.player.Listening(h.index, false)
	}
	conns := slices.Clone(h.conns)
	for _, hc := range conns {
		if to != hostSilent {
			h.world.closePeerSide(hc.Conn, true)
		}
		h.removeConn(hc)
		if to == hostSilent {
			hc.peerState = nil
			h.silentConns = append(h.silentConns, hc.Conn)
		}
	}
	h.queuedSetups, h.activeSetups, h.backlog, h.load, h.utilization = nil, nil, 0, 0, 0
	h.flowsByGroup = map[string]int{}
	h.scheduleCompletion()
}

// start begins a new process, cold.
func (h *host) start() {
	if h.fellOver {
		return
	}
	h.advance()
	h.state, h.bootedAt, h.coldConnects, h.stopsAt = hostRunning, max(h.world.now, 1), nil, 0
	for _, c := range h.silentConns {
		h.world.closePeerSide(c, true)
	}
	h.silentConns = nil
	h.world.player.Listening(h.index, true)
}

// tick goes through what time brings.
func (h *host) tick() {
	h.advance()
	limit := h.world.script.Fleet.Buffer.Seconds() * max(h.coreRate(), coreWorkPerSecond*h.speed*0.05) * h.cores
	if h.backlog > limit {
		h.backlog = limit
		h.shedFlow()
	}
	if h.stopsAt > 0 && h.listed == "draining" {
		h.drainFlows()
	}
	h.scheduleCompletion()
}

// shedFlow drops a flow when too much is piled up.
func (h *host) shedFlow() {
	var victim *hostedFlow
	switch h.world.script.Fleet.ShedMode {
	case "newest":
		if n := len(h.flows); n > 0 {
			victim = h.flows[n-1]
		}
	case "heaviest":
		for _, s := range h.flows {
			if victim == nil || s.load > victim.load {
				victim = s
			}
		}
	}
	if victim != nil {
		h.world.closePeerSide(victim.conn.Conn, true)
		h.removeConn(victim.conn)
	}
}

// drainFlows sends clients away while the host drains.
func (h *host) drainFlows() {
	n := 0
	switch left := (h.stopsAt - h.world.now) / tickInterval; h.world.script.Fleet.DrainMode {
	case "at_once":
		n = len(h.flows)
	case "paced":
		n = (len(h.flows) + int(max(left, 1)) - 1) / int(max(left, 1))
	}
	for range n {
		h.sendAway(h.flows[len(h.flows)-1].conn, "MOVE")
	}
}

// messageQuality is the share of messages that are answered within a target now: none while more is piled up than the
// target allows, and fewer as the host nears its capacity.
func (h *host) messageQuality(target int64) float64 {
	rate := h.coreRate()
	if rate == 0 {
		return 0
	}
	left := float64(target)/1e6 - h.backlog/(rate*h.cores)
	if left <= 0 {
		return 0
	}
	message := h.world.unitLoadRate() * float64(h.world.script.Clients.LineInterval) / 1e6 / rate / messagesPerLine
	free := 1 - min(h.load/(rate*h.cores), 0.999)
	return 1 - math.Exp(-left*free/message)
}

const messagesPerLine = 16 // messages among which the work between two lines of a client is spread
