// Package fleet emulates everything around the nodes in a rehearsal: hosts, the network, discovery, the front-end load
// balancer, clients and faults. It has no I/O and no wall clock, and all its randomness comes from one seed. The nodes
// themselves run in virtual time or on sockets and are passed in as a NodePlayer.
//
// Times are in microseconds from the start of the run unless stated otherwise.
package fleet

import (
	"fmt"
	"math/rand/v2"

	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
)

// Environment holds the addresses of a run and the time of its start. In virtual time addresses are names, on sockets they
// are addresses in 127.0.0.0/8. LeadTime has to be a multiple of tickInterval, so that ticks fall on whole seconds.
type Environment struct {
	Listen       func(node int) string                           // address at which clients reach a node; nil: the node's name
	Host         func(node, host int) string                     // address at which a node reaches a host; nil: the same for all nodes
	Admin        func(node int) string                           // address at which operators reach a node; nil: none
	ClusterLinks func(node int) (listen string, others []string) // addresses of a node's links with the other nodes; nil if they have none
	Discovery    func(node, which int) string                    // the two addresses of discovery; a reload switches between them
	Epoch        int64                                           // time of day at the start, in microseconds since 1970
	LeadTime     int64                                           // microseconds that nodes get to start before the run; a multiple of 100 ms
}

// World is one rehearsal with everything around its nodes.
type World struct {
	script      *scenario.Script
	player      NodePlayer
	environment Environment
	seed        uint64
	epoch       int64
	now         int64
	queue       eventQueue

	nodes             []*nodeState
	nodesByZone       [][]*nodeState
	hosts             []*host
	hostByAddress     map[string]*host
	meanCapacity      float64 // cores times speed of a host, on average
	meanLoad          float64 // of a flow, averaged over the service types by share
	zoneLinks         []zoneLink
	blockedDirections []*direction // directions that wait for the end of a cut
	blockedConns      []*Conn      // the connection of each blocked direction
	discovery         *discovery
	storeBusyUntil    int64   // when the store has served the calls that wait
	storeSlowdown     float64 // factor by which faults slow the store down

	networkRand, badClientRand *rand.Rand
	linkRand                   *rand.Rand
	linkFaults                 []*linkFault
	seenDatagrams              []seenDatagram
	demandRand                 *rand.Rand
	clients                    []*client // all clients started so far
	flowByID                   map[string]*record.Flow
	clientByFlowID             map[string]*client
	demandByType               []float64 // number of clients that want a connection, by service type
	flowCount                  uint64
	clientCount                uint64
	run                        *record.Run
	currentSecond              record.Second // service in the second in progress
	recordClosed               bool
}

// New sets up a rehearsal of a script. Begin starts it.
func New(s *scenario.Script, seed uint64, player NodePlayer, environment Environment) *World {
	w := &World{script: s, player: player, environment: environment, seed: seed, epoch: environment.Epoch, hostByAddress: map[string]*host{},
		flowByID: map[string]*record.Flow{}, clientByFlowID: map[string]*client{}, zoneLinks: make([]zoneLink, len(s.Zones)),
		now: -environment.LeadTime, nodesByZone: make([][]*nodeState, len(s.Zones)),
		demandByType: make([]float64, len(s.Types)), storeSlowdown: 1}
	w.networkRand, w.badClientRand, w.demandRand = w.newRand(randNetwork), w.newRand(randBadClients), w.newRand(randDemand)
	w.linkRand = w.newRand(randLinks)
	w.run = &record.Run{Script: s.Name, Seed: seed, Length: s.Length.Microseconds(),
		DrainGrace: s.Node.DrainGrace.Microseconds(), CollapseMultiple: s.Fleet.FallMultiple}
	for _, t := range s.Types {
		w.run.Types = append(w.run.Types, record.ServiceType{Name: t.Name, SetupTarget: t.SetupTarget.Microseconds(),
			ConnectTimeout: t.ConnectTimeout.Microseconds(),
			MessageTarget:  t.MessageTarget.Microseconds(), Benefit: t.Benefit, Effect: t.Effect,
			Scope: t.Scope, Window: t.Window.Microseconds()})
	}
	shares := 0.0
	for _, t := range s.Types {
		shares += t.Share
		w.meanLoad += t.Share * t.Load
	}
	w.meanLoad /= shares
	w.makeHosts()
	w.makeNodes()
	w.discovery = &discovery{world: w, random: w.newRand(randDiscovery), entries: make([]hostEntry, len(w.hosts)),
		addresses: map[string]bool{}}
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

// makeHosts creates the hosts of the script. The speed of each varies by up to 5 % around that of its group.
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
				w.Schedule(g.BootAt.Microseconds(), func() { w.startAbsentHost(h) })
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

// endpoint returns the address at which a node reaches a host.
func (w *World) endpoint(node int, h *host) string {
	if w.environment.Host != nil {
		return w.environment.Host(node, h.index)
	}
	return h.address
}

// zoneIndex returns the index of a zone, or 0 for an unknown name.
func (w *World) zoneIndex(name string) int {
	for i, z := range w.script.Zones {
		if z == name {
			return i
		}
	}
	return 0
}

// Begin starts the nodes and schedules faults, demand and the periodic work.
func (w *World) Begin() {
	for _, n := range w.nodes {
		for _, e := range w.discovery.entries { // each node starts with the current list
			if e.state != "" {
				n.hostView[e.host] = e
			}
		}
		n.revision = int64(len(w.discovery.journal))
		w.startNode(n.index)
	}
	for i := range w.script.Faults {
		fault := &w.script.Faults[i]
		w.Schedule(fault.At.Microseconds(), func() { w.injectFault(fault) })
	}
	w.scheduleDemand()
	w.after(w.script.Discovery.UpdatePeriod.Microseconds(), w.discoveryTick)
	w.after(tickInterval, w.tick)
}

// discoveryTick sends the updates of discovery and schedules itself again.
func (w *World) discoveryTick() {
	w.discovery.sendUpdates()
	w.applyMissedUpdates()
	w.after(w.script.Discovery.UpdatePeriod.Microseconds(), w.discoveryTick)
}

// tick updates all hosts, accounts for the service of the last interval and schedules itself again.
func (w *World) tick() {
	const tickSeconds = float64(tickInterval) / 1e6
	for _, h := range w.hosts {
		h.tick()
	}
	if w.now > 0 && w.now <= w.run.Length {
		w.addService(tickSeconds)
		if w.now%second == 0 {
			w.finishSecond()
		}
	}
	w.after(tickInterval, w.tick)
}

// addService adds the benefit wanted and served during a tick to the current second.
func (w *World) addService(tickSeconds float64) {
	if w.currentSecond.Requested == nil {
		w.currentSecond = record.Second{Requested: make([]float64, len(w.script.Types)), Served: make([]float64, len(w.script.Types))}
	}
	for t, serviceType := range w.script.Types {
		w.currentSecond.Requested[t] += w.demandByType[t] * serviceType.Benefit * tickSeconds
		for _, h := range w.hosts {
			if h.clientsByType[t] > 0 {
				w.currentSecond.Served[t] += h.clientsByType[t] * serviceType.Benefit * tickSeconds *
					h.messageQuality(serviceType.MessageTarget.Microseconds())
			}
		}
	}
}

// finishSecond records the service of the current second and the load of each host.
func (w *World) finishSecond() {
	w.run.Seconds = append(w.run.Seconds, w.currentSecond)
	w.currentSecond = record.Second{}
	for _, h := range w.hosts {
		result := &w.run.Hosts[h.index]
		result.PeakColdLoad, result.ColdAllowed = h.peakColdRatio, h.coldAllowance()
		result.Load = append(result.Load, h.load/max(h.coreRate()*h.cores, 1))
	}
}

// AnswerDeadline returns the time by which the last answer must have arrived, in microseconds from the start of the run.
func (w *World) AnswerDeadline() int64 {
	longest := scenario.Duration(0)
	for _, t := range w.script.Types {
		longest = max(longest, t.ConnectTimeout)
	}
	return w.run.Length + longest.Microseconds() + second
}

// Record closes the record of the run and returns it.
func (w *World) Record() *record.Run {
	if !w.recordClosed {
		w.recordClosed = true
		for _, cl := range w.clients {
			cl.closeRecord()
		}
	}
	return w.run
}

// callStore calls the store, a service that each set-up needs, and runs done after the call. The store serves one call
// after another.
func (w *World) callStore(done func()) {
	wait := w.script.Store.CallTime.Microseconds()
	w.storeBusyUntil = max(w.storeBusyUntil, w.now) + int64(1e6/w.script.Store.CallRate*w.storeSlowdown)
	w.Schedule(w.storeBusyUntil+int64(float64(wait)*w.storeSlowdown), done)
}
