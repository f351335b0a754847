package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
)

// Places are the addresses of a run; in virtual time they are names, on sockets addresses of 127.0.0.0/8.
type Places struct {
	Listen    func(node int) string                           // where clients reach a node
	Host      func(node, host int) string                     // where a node reaches a host; nil: the same for all
	Admin     func(node int) string                           // where operators reach a node; nil: nowhere
	Links     func(node int) (listen string, others []string) // of its links with other nodes; nil where they have no addresses
	Discovery func(node, which int) string                    // of its two addresses; a reload goes from one to the other
	Epoch     int64                                           // the time of day at the start, microseconds since 1970
	Lead      int64                                           // for the nodes to start before the run; a whole number of tenths of a second
}

// Conf is what a node is told at its start, as the JSON text of its file.
type Conf struct {
	Name      string
	Listen    string
	Discovery string
	Known     string // the list it had last, in discovery's form
	Seed      uint64
	Settings  string
	JSON      string // all of it
}

// nodeState is what the world knows of a node.
type nodeState struct {
	index         int
	name          string
	zone          int
	starts        int // how often it has started
	running       bool
	listening     bool
	stopping      bool
	inRotation    bool // the front deals clients to it
	conns         []*Conn
	hostView      []hostEntry // of hosts, as it was told last
	revision      int64
	lastAskedAt   int64 // when it last asked discovery, or had a watch
	reloads       int   // which address of discovery it has
	starvedShares []float64
	pauses        int
	clients       []*client // whose client waits for an answer or has one here
}

// World is one rehearsal.
type World struct {
	script      *scenario.Script
	player      NodePlayer
	environment Places
	seed        uint64
	epoch       int64
	now         int64
	queue       eventQueue

	nodes             []*nodeState
	nodesByZone       [][]*nodeState // by zone
	hosts             []*host
	hostByAddress     map[string]*host
	meanCapacity      float64
	meanLoad          float64 // of a flow, over all service types
	zoneLinks         []zoneLink
	blockedDirections []*direction
	blockedConns      []*Conn
	discovery         *discovery
	storeBusyUntil    int64
	storeSlowdown     float64

	networkRand, badClientRand *rand.Rand
	linkRand                   *rand.Rand
	linkFaults                 []*linkFault
	seenDatagrams              []seenDatagram
	demandRand                 *rand.Rand
	clients                    []*client // that are not over
	flowByID                   map[string]*record.Flow
	clientByFlowID             map[string]*client
	demandByType               []float64 // clients that want a connection, by type
	flowCount                  uint64
	clientCount                uint64
	run                        *record.Run
	currentSecond              record.Second
	recordClosed               bool
}

// New sets up a rehearsal; Begin starts it.
func New(s *scenario.Script, seed uint64, player NodePlayer, environment Places) *World {
	w := &World{script: s, player: player, environment: environment, seed: seed, epoch: environment.Epoch, hostByAddress: map[string]*host{},
		flowByID: map[string]*record.Flow{}, clientByFlowID: map[string]*client{}, zoneLinks: make([]zoneLink, len(s.Zones)),
		now: -environment.Lead, nodesByZone: make([][]*nodeState, len(s.Zones)), demandByType: make([]float64, len(s.Types)), storeSlowdown: 1}
	w.networkRand, w.badClientRand, w.demandRand = w.newRand(randNetwork), w.newRand(randBadClients), w.newRand(randDemand)
	w.linkRand = w.newRand(randLinks)
	w.run = &record.Run{Script: s.Name, Seed: seed, Length: s.Length.Us(), Grace: s.Node.DrainGrace.Us(), Multiple: s.Fleet.FallMultiple}
	for _, t := range s.Types {
		w.run.Types = append(w.run.Types, record.Type{Name: t.Name, Target: t.SetupTarget.Us(), Timeout: t.ConnectTimeout.Us(),
			Message: t.MessageTarget.Us(), Benefit: t.Benefit, Effect: t.Effect, Scope: t.Scope, Window: t.Window.Us()})
	}
	shares := 0.0
	for _, t := range s.Types {
		shares += t.Share
		w.meanLoad += t.Share * t.Load
	}
	w.meanLoad /= shares
	w.makeHosts()
	w.makeNodes()
	w.discovery = &discovery{world: w, random: w.newRand(randDiscovery), entries: make([]hostEntry, len(w.hosts)), addresses: map[string]bool{}}
	for n := range w.nodes {
		w.discovery.addresses[environment.Discovery(n, 0)], w.discovery.addresses[environment.Discovery(n, 1)] = true, true
	}
	for _, h := range w.hosts {
		if h.state == hostRunning {
			w.discovery.apply(hostEntry{h.index, "ready", h.bootedAt, 0})
		}
	}
	return w
}

func (w *World) makeHosts() {
	random := w.newRand(randHosts)
	for _, g := range w.script.Hosts {
		for range g.Count {
			index := len(w.hosts)
			h := &host{world: w, index: index, uid: fmt.Sprintf("h-%d", index), address: fmt.Sprintf("host-%d", index), model: g.Kind,
				zone: index % len(w.script.Zones), cores: g.Cores, speed: g.Speed * (0.95 + 0.1*random.Float64()), slowdown: 1,
				flowsByGroup: map[string]int{}, clientsByType: make([]float64, len(w.script.Types)), listed: "ready"}
			if g.Zone != "" {
				h.zone = w.zoneIndex(g.Zone)
			}
			if g.BootAt > 0 {
				h.state, h.listed = hostAbsent, ""
				w.At(g.BootAt.Us(), func() { w.startAbsentHost(h) })
			}
			w.hosts = append(w.hosts, h)
			w.hostByAddress[h.address] = h
			w.meanCapacity += h.cores * h.speed
			w.run.Hosts = append(w.run.Hosts, record.Host{Name: h.uid, Zone: h.zone})
		}
	}
	w.meanCapacity /= float64(len(w.hosts))
	if w.environment.Host != nil {
		for _, h := range w.hosts {
			for n := range w.script.NodeCount() {
				w.hostByAddress[w.environment.Host(n, h.index)] = h
			}
		}
	}
}

func (w *World) endpoint(node int, h *host) string {
	if w.environment.Host != nil {
		return w.environment.Host(node, h.index)
	}
	return h.address
}

func (w *World) zoneIndex(name string) int {
	for i, z := range w.script.Zones {
		if z == name {
			return i
		}
	}
	return 0
}

func (w *World) makeNodes() {
	for _, g := range w.script.Nodes {
		for range g.Count {
			index := len(w.nodes)
			n := &nodeState{index: index, name: fmt.Sprintf("n-%d", index), zone: w.zoneIndex(g.Zone), hostView: make([]hostEntry, len(w.hosts))}
			w.nodes = append(w.nodes, n)
			w.nodesByZone[n.zone] = append(w.nodesByZone[n.zone], n)
		}
	}
}

// Begin starts the nodes and all that is planned.
func (w *World) Begin() {
	for _, n := range w.nodes {
		for _, e := range w.discovery.entries { // each begins with the list as it is
			if e.state != "" {
				n.hostView[e.host] = e
			}
		}
		n.revision = int64(len(w.discovery.journal))
		w.startNode(n.index)
	}
	for i := range w.script.Faults {
		f := &w.script.Faults[i]
		w.At(f.At.Us(), func() { w.injectFault(f) })
	}
	w.scheduleDemand()
	w.after(w.script.Discovery.UpdatePeriod.Us(), w.discoveryTick)
	w.after(tickInterval, w.tick)
}

func (w *World) discoveryTick() {
	w.discovery.sendUpdates()
	w.applyMissedUpdates()
	w.after(w.script.Discovery.UpdatePeriod.Us(), w.discoveryTick)
}

// tick goes through hosts and counts service.
func (w *World) tick() {
	const tickSeconds = float64(tickInterval) / 1e6
	for _, h := range w.hosts {
		h.tick()
	}
	if w.now > 0 && w.now <= w.run.Length {
		if w.currentSecond.Wanted == nil {
			w.currentSecond = record.Second{Wanted: make([]float64, len(w.script.Types)), Served: make([]float64, len(w.script.Types))}
		}
		for t, serviceType := range w.script.Types {
			w.currentSecond.Wanted[t] += w.demandByType[t] * serviceType.Benefit * tickSeconds
			for _, h := range w.hosts {
				if h.clientsByType[t] > 0 {
					w.currentSecond.Served[t] += h.clientsByType[t] * serviceType.Benefit * tickSeconds * h.messageQuality(serviceType.MessageTarget.Us())
				}
			}
		}
		if w.now%second == 0 {
			w.run.Seconds = append(w.run.Seconds, w.currentSecond)
			w.currentSecond = record.Second{}
			for _, h := range w.hosts {
				result := &w.run.Hosts[h.index]
				result.Most, result.ColdMay = h.peakColdRatio, h.coldAllowance()
				result.Load = append(result.Load, h.load/max(h.coreRate()*h.cores, 1))
			}
		}
	}
	w.after(tickInterval, w.tick)
}

// End is when the last answer must have come.
func (w *World) End() int64 {
	longest := scenario.Span(0)
	for _, t := range w.script.Types {
		longest = max(longest, t.ConnectTimeout)
	}
	return w.run.Length + longest.Us() + second
}

// Run closes the record and gives it.
func (w *World) Run() *record.Run {
	if !w.recordClosed {
		w.recordClosed = true
		for _, cl := range w.clients {
			cl.closeRecord()
		}
	}
	return w.run
}

// Ready is that a node takes connections.
func (w *World) Ready(no int) {
	n := w.nodes[no]
	if !n.running || n.listening {
		return
	}
	n.listening = true
	w.startHealthCheck(n)
}

// AllReady tells whether the front has taken in every node.
func (w *World) AllReady() bool {
	for _, n := range w.nodes {
		if !n.inRotation {
			return false
		}
	}
	return true
}

// nodeConfig is what a node is told.
func (w *World) nodeConfig(n *nodeState) Conf {
	c := Conf{Name: n.name, Listen: n.name, Discovery: w.environment.Discovery(n.index, n.reloads%2),
		Seed: w.seed*0x9e3779b97f4a7c15 + uint64(n.index)*1000003 + uint64(n.starts)}
	if w.environment.Listen != nil {
		c.Listen = w.environment.Listen(n.index)
	}
	var known []hostEntry
	for _, e := range n.hostView {
		if e.state == "ready" || e.state == "draining" {
			known = append(known, e)
		}
	}
	c.Known = w.listJSON(n.index, n.revision, known, true)
	c.Settings = w.settingsJSON(n)
	admission := w.script.Node.Admission
	if w.limitsJSON() != "" {
		admission.Rate, admission.Burst = 0, 0
	}
	c.JSON = fmt.Sprintf(`{"name":%q,%s"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"admission":{"per_address":%d,"rate":%g,"burst":%g,"reserve":%d},"holding":{"buffers":%d,"idle_ms":%d,"stalled_ms":%d},"known":%s,"settings":%s}`,
		c.Name, w.adminJSON(n.index)+w.clusterJSON(n.index), c.Listen, c.Discovery, c.Seed>>1, w.script.Node.MemoryMB, w.script.Node.Sockets, admission.PerAddress, admission.Rate, admission.Burst, admission.Reserve,
		w.script.Node.Holding.Buffers, w.script.Node.Holding.Idle/1000, w.script.Node.Holding.Stalled/1000,
		c.Known, c.Settings)
	return c
}

func (w *World) adminJSON(no int) string {
	if w.environment.Admin == nil {
		return ""
	}
	return fmt.Sprintf(`"admin":%q,`, w.environment.Admin(no))
}

// clusterJSON is the part of a node's file about its fleet, with the comma behind it; empty where it is off.
func (w *World) clusterJSON(no int) string {
	if !w.script.Cluster.On {
		return ""
	}
	if w.script.Cluster.Alone || w.environment.Links == nil || len(w.nodes) < 2 {
		return fmt.Sprintf(`"cluster":{"on":true%s},`, w.limitsJSON())
	}
	listen, others := w.environment.Links(no)
	text, _ := json.Marshal(others)
	return fmt.Sprintf(`"cluster":{"on":true,"listen":%q,"nodes":%s%s},`, listen, text, w.limitsJSON())
}

// limitsJSON is the limits of the fleet, with the comma before them; empty where there are none.
func (w *World) limitsJSON() string {
	var all []string
	for _, l := range w.script.FleetLimits() {
		all = append(all, fmt.Sprintf(`{"over":%q,"of":%q,"rate":%g,"burst":%g,"at_once":%d,"promise":%q}`, l.Over, l.Of, l.Rate, l.Burst, l.AtOnce, l.Promise))
	}
	if all == nil {
		return ""
	}
	return `,"limits":[` + strings.Join(all, ",") + "]"
}

var effectNames = map[string]string{"repeatable": "safe", "referenced": "keyed", "once-only": "unsafe"}

// settingsJSON are a node's, with the platform's names.
func (w *World) settingsJSON(n *nodeState) string {
	s := w.script
	var types, messageAims []string
	for _, t := range s.Types {
		text := fmt.Sprintf(`{"Name":%q,"Benefit":%g,"Effect":%q,"SetupTargetMs":%g,"HardLimitMs":%g`, t.Name, t.Benefit,
			effectNames[t.Effect], float64(t.SetupTarget)/1000, float64(t.ConnectTimeout)/1000)
		if t.Effect == "referenced" {
			text += fmt.Sprintf(`,"Group":%q,"WindowMs":%g`, t.Scope, float64(t.Window)/1000)
		}
		types = append(types, text+"}")
		messageAims = append(messageAims, fmt.Sprintf("%g", float64(t.MessageTarget)/1000))
	}
	zones := make([]string, len(s.Zones))
	for i, z := range s.Zones {
		zones[i] = fmt.Sprintf("%q", z)
	}
	return fmt.Sprintf(`{"Balancers":%d,"Index":%d,"MyZone":%d,"Localities":[%s],"Discovery":"on_request",`+
		`"Limits":{"MaxConnects":%d,"MaxRetryAfterMs":%g,"Probing":%t,"RetryAfter":%t,"DialTimeoutMs":%g},`+
		`"Obligations":{"AskWithinMs":%d,"ColdFrom":%g,"ColdMs":%g,"FallMs":%g,"FallMultiple":%g},"ServiceTypes":[%s],"LoadReport":{"How":%q,"Names":["waiting","x0"]},`+
		`"Specifics":{"Groups":%t,"Mode":"proxy","MessageAimMs":[%s],"TellsDelay":false}}`,
		len(w.nodes), n.index, n.zone, strings.Join(zones, ","), s.Node.MaxConnects, float64(s.Node.MaxRetryAfter)/1000, s.Node.Probing,
		s.Node.MaxRetryAfter > 0, float64(s.Node.DialTimeout)/1000, askDiscoveryWithin/1000, s.Fleet.ColdFrom, float64(s.Fleet.ColdTime)/1000, float64(s.Fleet.FallAfter)/1000, s.Fleet.FallMultiple,
		strings.Join(types, ","), map[bool]string{false: "silent", true: "pull"}[s.Node.HostsReportLoad], s.Fleet.Groups > 0, strings.Join(messageAims, ","))
}

// startNode begins a new process of a node, with nothing but its last list.
func (w *World) startNode(no int) {
	n := w.nodes[no]
	n.starts++
	n.running, n.listening, n.stopping, n.lastAskedAt = true, false, false, w.now
	if n.starts > 1 {
		for _, e := range n.hostView {
			if e.state != "" {
				w.applyEntry(n, e, true)
			}
		}
	}
	w.player.Start(no, w.nodeConfig(n))
}

// nodeEnded is the end of a node's process: its connections break.
func (w *World) nodeEnded(no int) {
	n := w.nodes[no]
	n.running, n.listening = false, false
	conns := n.conns
	n.conns = nil
	for _, cl := range n.clients {
		cl.nodeKilled()
	}
	for _, c := range conns {
		w.closeNodeSide(c, true)
		c.removed = true
	}
	w.after(w.script.FrontEnd.NoticeDelay.Us(), func() {
		if !n.running {
			n.inRotation = false
		}
	})
}

func (w *World) killNode(no int, down int64) {
	n := w.nodes[no]
	if n.running {
		w.player.Kill(no)
		w.nodeEnded(no)
	}
	starts := n.starts
	w.after(down, func() {
		if n.starts == starts && !n.running {
			w.startNode(no)
		}
	})
}

// stopNode tells a node to end in order, kills it when its time is over, and starts it again.
func (w *World) stopNode(no int, down int64) {
	n := w.nodes[no]
	if !n.running || n.stopping {
		return
	}
	starts := n.starts
	n.stopping = true
	w.player.Stop(no)
	w.after(300_000, func() { n.inRotation = n.inRotation && (n.starts != starts) }) // new clients go on coming for a while
	longest := int64(0)
	for _, t := range w.run.Types {
		longest = max(longest, t.Timeout)
	}
	w.after(min(longest, 3*second)+700_000, func() {
		if n.starts == starts {
			w.killNode(no, down)
		}
	})
}

// callStore is a call to the service that set-ups need: one after another.
func (w *World) callStore(then func()) {
	wait := w.script.Store.CallTime.Us()
	w.storeBusyUntil = max(w.storeBusyUntil, w.now) + int64(1e6/w.script.Store.CallRate*w.storeSlowdown)
	w.At(w.storeBusyUntil+int64(float64(wait)*w.storeSlowdown), then)
}

// The front.

// healthCheck is the front's connection to a node that may be taken in.
type healthCheck struct {
	world *World
	node  *nodeState
}

func (w *World) startHealthCheck(n *nodeState) {
	starts := n.starts
	check := &healthCheck{w, n}
	c := w.openToNode(check, n.index, clientAddress(0))
	w.after(2*second, func() {
		if n.starts == starts && n.listening && !n.inRotation {
			w.closePeerSide(c, true)
			w.startHealthCheck(n)
		}
	})
}

func (g *healthCheck) accepted(*Conn)     {}
func (g *healthCheck) connected(c *Conn)  { g.world.sendToNode(c, "PING\r\n", nil) }
func (g *healthCheck) closed(*Conn, bool) {}
func (g *healthCheck) receiveLine(c *Conn, line []byte) {
	if string(line) == "PONG" && !g.node.stopping {
		g.node.inRotation = true
		g.world.closePeerSide(c, false)
	}
}

// pickNode picks a node for a client of a zone; nil where the front knows none.
func (w *World) pickNode(zone int, random *rand.Rand) *nodeState {
	var candidates []*nodeState
	for _, n := range w.nodesByZone[zone] {
		if n.inRotation {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		for _, n := range w.nodes {
			if n.inRotation {
				candidates = append(candidates, n)
			}
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[random.IntN(len(candidates))]
}
