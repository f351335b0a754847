package fleet

import (
	"slices"
)

type hostState uint8

const (
	hostRunning hostState = iota
	hostDead              // its process has ended
	hostSilent            // its machine neither answers nor closes connections
	hostAbsent            // it has not been started yet
)

const (
	coreWorkPerSecond = 1e6              // work of a core of speed 1 in a second, in microseconds
	tickInterval      = 100_000          // microseconds between updates of hosts and service
	never             = int64(1) << 62   // a time that is never reached
	second            = int64(1_000_000) // in microseconds
)

// host is one server. Its active set-ups and the messages of its flows share its cores evenly. Messages are a stream of
// work; what exceeds their share of the cores becomes a backlog.
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
	listed   string // state that discovery is to publish: ready, draining or gone; empty before its first start
	bootedAt int64  // when it started; 0: long ago
	fellOver bool   // it was overloaded while cold and stays down

	pauses         int     // number of pauses in force
	slowdown       float64 // factor by which faults slow it down
	neighbourShare float64 // share of the machine that another program uses
	extraErrorRate float64 // share of set-ups answered ERR because of faults
	stopsAt        int64   // when it stops, while it drains

	updatedAt    int64       // time up to which the following fields are computed
	workPerSetup float64     // work that each active set-up has received in total, in microseconds
	activeSetups []*setupJob // a heap ordered by workGoal
	queuedSetups []*setupJob // in order of arrival
	load         float64     // work per second of the flows' messages, including the cost of groups
	backlog      float64     // work of messages that wait, in microseconds
	utilization  float64     // share of its cores in use, smoothed
	generation   int         // invalidates the scheduled completion when it changes

	flows         []*hostedFlow // established flows
	conns         []*hostConn   // all open connections
	flowsByGroup  map[string]int
	clientsByType []float64 // number of clients that regard themselves as established here, by service type
	coldConnects  []int64   // arrival times of connects within the last fall_after, while cold
	peakColdRatio float64   // highest ratio of connects received to what it can handle, while cold
	receipts      int       // number of receipts issued
	silentConns   []*Conn   // connections that were open when it became silent; they break when it restarts
}

func (h *host) acceptsConnections() bool { return h.state == hostRunning && h.listed != "" }

func (h *host) isSilent() bool { return h.state == hostSilent }

// stop ends the process. Its connections break or, if the host becomes silent, stay open without any traffic.
func (h *host) stop(to hostState) {
	h.advance()
	h.state = to
	if to != hostSilent {
		h.world.player.SetListening(h.index, false)
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

// start starts a new process, which is cold.
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
	h.world.player.SetListening(h.index, true)
}

// tick does the periodic work: it bounds the backlog, shedding a flow if it is too large, and continues a drain.
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

// shedFlow drops one flow, or none, as the script's fleet.sheds says.
func (h *host) shedFlow() {
	var victim *hostedFlow
	switch h.world.script.Fleet.ShedMode {
	case "newest":
		if n := len(h.flows); n > 0 {
			victim = h.flows[n-1]
		}
	case "heaviest":
		for _, flow := range h.flows {
			if victim == nil || flow.load > victim.load {
				victim = flow
			}
		}
	}
	if victim != nil {
		h.world.closePeerSide(victim.conn.Conn, true)
		h.removeConn(victim.conn)
	}
}

// drainFlows asks clients to move while the host drains, at the pace that the script's fleet.drain says.
func (h *host) drainFlows() {
	count := 0
	switch ticksLeft := (h.stopsAt - h.world.now) / tickInterval; h.world.script.Fleet.DrainMode {
	case "at_once":
		count = len(h.flows)
	case "paced":
		count = (len(h.flows) + int(max(ticksLeft, 1)) - 1) / int(max(ticksLeft, 1))
	}
	for range count {
		h.sendAway(h.flows[len(h.flows)-1].conn, "MOVE")
	}
}
