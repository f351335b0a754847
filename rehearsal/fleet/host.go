package fleet

import (
	"slices"
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

func (h *host) acceptsConnections() bool { return h.state == hostRunning && h.listed != "" }
func (h *host) isSilent() bool           { return h.state == hostSilent }

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
