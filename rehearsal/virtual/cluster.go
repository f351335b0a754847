package virtual

import (
	"coursewinch/cluster/limits"
	"coursewinch/cluster/permits"
	"coursewinch/node"
	"coursewinch/rehearsal/fleet"
)

// This file holds what a node of a fleet has besides its sockets: links to the other nodes, a clock of its own, a process
// that can be paused, and a second process of the same name.

// clock is the clock of a node. It may have jumped, and may run fast or slow.
type clock struct {
	setAt, shownThen int64   // at time setAt of the run it showed shownThen, microseconds
	rate             float64 // 0 stands for 1
}

// speed returns how much faster than the run the clock runs.
func (c clock) speed() float64 {
	if c.rate == 0 {
		return 1
	}
	return c.rate
}

// timeAt returns what the clock shows at a time of the run.
func (c clock) timeAt(now int64) int64 { return c.shownThen + int64(float64(now-c.setAt)*c.speed()) }

// durationUntil returns how long from now, in time of the run, the clock takes to show a given time.
func (c clock) durationUntil(now, shown int64) int64 {
	return max(int64(float64(shown-c.timeAt(now))/c.speed()), 0)
}

// now returns the time of day by the node's own clock, in microseconds.
func (v *emulatedNode) now() int64 { return startTimeOfDay + v.clock.timeAt(v.player.world.Now()) }

// AdjustClock makes a node's clock jump and sets its rate.
func (p *player) AdjustClock(no int, jump int64, rate float64) {
	v, now := p.nodes[no], p.world.Now()
	v.clock = clock{now, v.clock.timeAt(now) + jump, rate}
	v.scheduleNow()
}

// SetPaused stops a node's process or lets it go on.
func (p *player) SetPaused(no int, on bool) {
	v := p.nodes[no]
	v.paused = on
	if on {
		v.pausedAt = p.world.Now()
		return
	}
	v.iterationAt = never
	v.scheduleNow()
}

// configureCluster sets a node's cluster configuration: its name, the limits of the fleet and its links to the other nodes.
func (v *emulatedNode) configureCluster(c *node.Config, seed uint64) {
	s := v.player.script
	if !s.Cluster.Enabled {
		return
	}
	c.Cluster = node.Cluster{On: true, Name: c.Cluster.Name, Process: seed*0x9e3779b97f4a7c15 + uint64(v.generation) + 1}
	for _, l := range s.FleetLimits() {
		strict := l.Promise == "strict"
		c.Cluster.Limits = append(c.Cluster.Limits, node.FleetLimit{Over: l.Over, Of: l.Of,
			Rate:   limits.Limit{Rate: l.Rate, Burst: l.Burst, Strict: strict},
			AtOnce: permits.Limit{Max: l.AtOnce, Strict: strict}})
	}
	if s.Cluster.Isolated {
		return
	}
	c.Cluster.Others = s.NodeCount() - 1
	c.Cluster.Send = func(to int, d []byte) {
		if v.player.duplicates[v.index] == v {
			return // the first process has its address, so it can neither receive nor send
		}
		generation := v.generation
		v.cost += float64(s.Node.EventCost)
		v.afterCost(func() {
			if v.generation == generation {
				v.player.world.SendDatagram(v.index, nodeAtPeerIndex(v.index, to), d)
			}
		})
	}
}

// nodeAtPeerIndex returns the number of the node that has an index among the other nodes of a node.
func nodeAtPeerIndex(no, index int) int {
	if index >= no {
		return index + 1
	}
	return index
}

// peerIndex returns the index that another node has among the other nodes of a node.
func peerIndex(no, other int) int {
	if other > no {
		return other - 1
	}
	return other
}

// ReceiveDatagram delivers a datagram of another node. Of two processes of one name the first has the address until it
// ends.
func (p *player) ReceiveDatagram(no, from int, d []byte) {
	v := p.nodes[no]
	if v.core == nil {
		return
	}
	v.datagrams = append(v.datagrams, datagram{from, d})
	v.scheduleNow()
}

// datagram is a datagram of another node that the node has not handled yet.
type datagram struct {
	from    int // number of the node that sent it
	payload []byte
}

// SetDuplicate starts or ends a second process under a node's name. It has no clients.
func (p *player) SetDuplicate(no int, conf fleet.NodeConfig, on bool) {
	if duplicate := p.duplicates[no]; duplicate != nil {
		duplicate.discardProcess()
		delete(p.duplicates, no)
	}
	if on {
		duplicate := &emulatedNode{player: p, index: no, iterationAt: never}
		duplicate.generation = 1 << 20 // the first process never counts so far
		p.duplicates[no] = duplicate
		conf.Seed ^= 1 << 40
		duplicate.start(conf)
	}
}
