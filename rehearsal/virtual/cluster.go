package virtual

import (
	"coursewinch/cluster/limits"
	"coursewinch/cluster/permits"
	"coursewinch/node"
	"coursewinch/rehearsal/fleet"
)

// What a node has besides its sockets where it is one of a fleet: links to the others, a clock of its own, a process that
// can be stopped, and another of the same name.

// clock is a node's own: it may have jumped, and run fast or slow.
type clock struct {
	setAt, shownThen int64   // at this moment of the run it showed that
	rate             float64 // 0 for 1
}

func (c clock) speed() float64 {
	if c.rate == 0 {
		return 1
	}
	return c.rate
}

// timeAt is what the clock shows at a moment of the run.
func (c clock) timeAt(now int64) int64 { return c.shownThen + int64(float64(now-c.setAt)*c.speed()) }

// durationUntil is how long from a moment on it takes until the clock shows another.
func (c clock) durationUntil(now, shown int64) int64 {
	return max(int64(float64(shown-c.timeAt(now))/c.speed()), 0)
}

func (v *vnode) now() int64 { return startTimeOfDay + v.clock.timeAt(v.player.world.Now()) }

func (p *player) Clock(no int, jump int64, rate float64) {
	v, now := p.nodes[no], p.world.Now()
	v.clock = clock{now, v.clock.timeAt(now) + jump, rate}
	v.scheduleNow()
}

func (p *player) Pause(no int, on bool) {
	v := p.nodes[no]
	v.paused = on
	if on {
		v.pausedAt = p.world.Now()
		return
	}
	v.iterationAt = never
	v.scheduleNow()
}

// configureCluster gives a node its links.
func (v *vnode) configureCluster(c *node.Config, seed uint64) {
	s := v.player.script
	if !s.Cluster.On {
		return
	}
	c.Cluster = node.Cluster{On: true, Name: c.Cluster.Name, Process: seed*0x9e3779b97f4a7c15 + uint64(v.generation) + 1}
	for _, l := range s.FleetLimits() {
		strict := l.Promise == "strict"
		c.Cluster.Limits = append(c.Cluster.Limits, node.FleetLimit{Over: l.Over, Of: l.Of, Rate: limits.Limit{Rate: l.Rate, Burst: l.Burst, Strict: strict},
			AtOnce: permits.Limit{Most: l.AtOnce, Strict: strict}})
	}
	if s.Cluster.Alone {
		return
	}
	c.Cluster.Others = s.NodeCount() - 1
	c.Cluster.Send = func(to int, d []byte) {
		if v.player.duplicates[v.index] == v {
			return // its address is the other's: it can neither hear nor speak
		}
		life := v.generation
		v.cost += float64(s.Node.Event)
		v.afterCost(func() {
			if v.generation == life {
				v.player.world.Told(v.index, nodeAtPeerIndex(v.index, to), d)
			}
		})
	}
}

// nodeAtPeerIndex is the number of the so-many-th of the other nodes, nth what it is to another.
func nodeAtPeerIndex(no, nth int) int {
	if nth >= no {
		return nth + 1
	}
	return nth
}

func peerIndex(no, other int) int {
	if other > no {
		return other - 1
	}
	return other
}

// Datagram brings what another node sent. Of two processes of one name the first has the address, until it ends.
func (p *player) Datagram(no, from int, d []byte) {
	v := p.nodes[no]
	if v.core == nil {
		return
	}
	v.datagrams = append(v.datagrams, datagram{from, d})
	v.scheduleNow()
}

type datagram struct {
	from    int
	payload []byte
}

// Twin starts or ends a second process under a node's name. It serves nobody.
func (p *player) Twin(no int, conf fleet.Conf, on bool) {
	if t := p.duplicates[no]; t != nil {
		t.discardProcess()
		delete(p.duplicates, no)
	}
	if on {
		t := &vnode{player: p, index: no, iterationAt: never}
		t.generation = 1 << 20 // never that of the first
		p.duplicates[no] = t
		conf.Seed ^= 1 << 40
		t.start(conf)
	}
}
