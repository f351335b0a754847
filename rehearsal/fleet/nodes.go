package fleet

import (
	"fmt"
)

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

// Ready is that a node takes connections.
func (w *World) Ready(no int) {
	n := w.nodes[no]
	if !n.running || n.listening {
		return
	}
	n.listening = true
	w.startHealthCheck(n)
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
