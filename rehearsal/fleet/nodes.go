package fleet

import (
	"fmt"
)

// nodeState is the world's view of a node.
type nodeState struct {
	index         int
	name          string
	zone          int
	starts        int // number of processes started so far
	running       bool
	listening     bool // accepts connections
	stopping      bool // asked to stop
	inRotation    bool // the front-end load balancer sends clients to it
	conns         []*Conn
	hostView      []hostEntry // what discovery reported to it last, by host
	revision      int64       // of the last list
	lastAskedAt   int64       // when it last called discovery or had a subscription
	reloads       int         // number of reloads, which selects the address of discovery
	starvedShares []float64   // shares of its core that the faults in force take
	pauses        int         // number of pauses in force
	clients       []*client   // clients that wait for an answer or are established through it
}

// makeNodes creates the nodes of the script.
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

// NodeReady reports that a node accepts connections. Health checks start.
func (w *World) NodeReady(node int) {
	n := w.nodes[node]
	if !n.running || n.listening {
		return
	}
	n.listening = true
	w.startHealthCheck(n)
}

// startNode starts a new process of a node, which knows nothing but the last list of hosts.
func (w *World) startNode(index int) {
	n := w.nodes[index]
	n.starts++
	n.running, n.listening, n.stopping, n.lastAskedAt = true, false, false, w.now
	if n.starts > 1 {
		for _, e := range n.hostView {
			if e.state != "" {
				w.applyEntry(n, e, true)
			}
		}
	}
	w.player.Start(index, w.nodeConfig(n))
}

// nodeEnded handles the end of a node's process: its connections break, and the front-end load balancer notices after a
// delay.
func (w *World) nodeEnded(index int) {
	n := w.nodes[index]
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
	w.after(w.script.FrontEnd.NoticeDelay.Microseconds(), func() {
		if !n.running {
			n.inRotation = false
		}
	})
}

// killNode kills the process of a node, if it runs, and starts a new one after downtime microseconds.
func (w *World) killNode(index int, downtime int64) {
	n := w.nodes[index]
	if n.running {
		w.player.Kill(index)
		w.nodeEnded(index)
	}
	starts := n.starts
	w.after(downtime, func() {
		if n.starts == starts && !n.running {
			w.startNode(index)
		}
	})
}

const (
	rotationDelay = 300_000    // microseconds for which a stopping node still gets new clients
	maxDrainWait  = 3 * second // longest time that a stopping node gets for its flows in set-up
	stopMargin    = 700_000    // microseconds that it gets beyond that
)

// stopNode asks a node to stop and kills it if it has not ended in time. It starts the node again downtime microseconds
// after that time, also if the node has ended before.
func (w *World) stopNode(index int, downtime int64) {
	n := w.nodes[index]
	if !n.running || n.stopping {
		return
	}
	starts := n.starts
	n.stopping = true
	w.player.Stop(index)
	w.after(rotationDelay, func() { n.inRotation = n.inRotation && (n.starts != starts) })
	longest := int64(0)
	for _, t := range w.run.Types {
		longest = max(longest, t.ConnectTimeout)
	}
	w.after(min(longest, maxDrainWait)+stopMargin, func() {
		if n.starts == starts {
			w.killNode(index, downtime)
		}
	})
}
