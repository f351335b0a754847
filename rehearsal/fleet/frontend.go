package fleet

import (
	"math/rand/v2"
)

// AllReady tells whether the front has taken in every node.
func (w *World) AllReady() bool {
	for _, n := range w.nodes {
		if !n.inRotation {
			return false
		}
	}
	return true
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
