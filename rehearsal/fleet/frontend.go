package fleet

import (
	"math/rand/v2"
)

// AllInRotation reports whether the front-end load balancer has every node in rotation.
func (w *World) AllInRotation() bool {
	for _, n := range w.nodes {
		if !n.inRotation {
			return false
		}
	}
	return true
}

// healthCheck is a connection of the front-end load balancer to a node that is not in rotation. It sends PING; a node that
// answers PONG and is not stopping is put into rotation.
type healthCheck struct {
	world *World
	node  *nodeState
}

const healthCheckInterval = 2 * second

// startHealthCheck checks a node every healthCheckInterval until it is in rotation.
func (w *World) startHealthCheck(n *nodeState) {
	starts := n.starts
	check := &healthCheck{w, n}
	c := w.openToNode(check, n.index, clientAddress(0))
	w.after(healthCheckInterval, func() {
		if n.starts == starts && n.listening && !n.inRotation {
			w.closePeerSide(c, true)
			w.startHealthCheck(n)
		}
	})
}

func (check *healthCheck) accepted(*Conn)     {}
func (check *healthCheck) connected(c *Conn)  { check.world.sendToNode(c, "PING\r\n", nil) }
func (check *healthCheck) closed(*Conn, bool) {}

func (check *healthCheck) receiveLine(c *Conn, line []byte) {
	if string(line) == "PONG" && !check.node.stopping {
		check.node.inRotation = true
		check.world.closePeerSide(c, false)
	}
}

// pickNode picks a random node in rotation for a client of a zone: a node of the zone if there is one, else any. It returns
// nil if no node is in rotation.
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
