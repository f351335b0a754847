package fleet

import (
	"bytes"
	"net/netip"

	"coursewinch/rehearsal/record"
)

// NodePlayer is what plays the nodes. All that reaches a node goes through it; what a node does comes back as calls on
// the World: Dialed, Wrote, Shut, Closed, Broke, Exited.
type NodePlayer interface {
	Start(no int, conf Conf)
	Kill(no int)
	Stop(no int)                            // told to end in order
	Reload(no int, conf Conf)               // told to read its file again
	Starve(no int, share float64)           // so much of its core is taken by others
	Arrive(c *Conn) bool                    // a client's connection has come to its listener; false: its queue is full
	Up(c *Conn)                             // a connection that it asked for is up
	Refused(c *Conn)                        // or will not come
	Bytes(c *Conn, p []byte)                // have come
	End(c *Conn)                            // the other side sends no more
	Broken(c *Conn)                         // or is gone
	Datagram(no, from int, p []byte)        // of another node has come
	Pause(no int, on bool)                  // its process is stopped, or goes on
	Twin(no int, conf Conf, on bool)        // a second process under its name starts, or is killed
	Clock(no int, jump int64, rate float64) // its clock jumps by so many microseconds and goes so many times as fast from now on
	Listening(host int, listening bool)     // whether anything takes connections there
}

// peer is what stands at the other end of a node's connection.
type peer interface {
	accepted(c *Conn)  // a node's connection has come; false from listening() kept it away
	connected(c *Conn) // a connection to a node is up
	receiveLine(c *Conn, line []byte)
	closed(c *Conn, broken bool)
}

// bulkPeer is a peer that may take many lines at once; it tells whether it did.
type bulkPeer interface {
	receiveBulk(c *Conn, p []byte) bool
}

// Conn is one connection between a node and something else.
type Conn struct {
	Node       int
	Host       int // it leads to, -1 for others
	Addr       string
	FromClient bool           // a client's, or the front's
	From       netip.AddrPort // a client's address
	Ref        any            // the Nodes' own

	flow        *record.Flow // whose connect it is
	client      *client
	attempt     int
	nodeSent    bool // the node has sent something
	heldUntilUp []func()
	clientFlow  *record.Flow // whose client's it is
	upSent      bool         // the node has sent it UP
	finalSent   bool         // the node has refused or failed it here

	nodeStarts  int // of the node, counted from its first start
	peer        peer
	peerState   any // the peer's own
	path        path
	toNode      direction
	toPeer      direction
	partialLine []byte // come to the peer, and no whole line yet
	isUp        bool
	peerDone    bool // the peer sends no more, or is gone
	nodeDone    bool
	removed     bool // neither side hears more of it
}

// direction is one direction of a connection.
type direction struct {
	lastArrival int64 // when what was sent last comes
	used        bool
	waiting     []func()
	blocked     bool // for the end of a cut
}

// isAlive tells whether the node of a connection still is the process that it was.
func (w *World) isAlive(c *Conn) bool {
	n := w.nodes[c.Node]
	return !c.removed && n.running && n.starts == c.nodeStarts
}

// openToNode is a peer's connection to a node. It hears up, or ended.
func (w *World) openToNode(p peer, node int, address netip.Addr) *Conn {
	c := &Conn{Node: node, Host: -1, FromClient: true, peer: p, From: netip.AddrPortFrom(address, 0), path: path{node, noZone}, nodeStarts: w.nodes[node].starts}
	w.requestConnection(c, p)
	return c
}

const connectRetryInterval = second // after which a system asks again for a connection that was dropped

// requestConnection asks for a connection.
func (w *World) requestConnection(c *Conn, p peer) {
	node := c.Node
	w.transmit(c, &c.toNode, func() {
		n := w.nodes[node]
		if c.removed || c.peerDone {
			return
		}
		if !n.running || !n.listening {
			w.transmit(c, &c.toPeer, func() { w.notifyClosed(c, true) })
			return
		}
		c.nodeStarts = n.starts
		if !w.player.Arrive(c) {
			w.after(connectRetryInterval, func() { w.requestConnection(c, p) })
			return
		}
		n.conns = append(n.conns, c)
		w.transmit(c, &c.toPeer, func() {
			if !c.removed && !c.peerDone {
				c.isUp = true
				p.connected(c)
			}
		})
	})
}

// sendToNode sends a peer's bytes to the node; told is called when they have come.
func (w *World) sendToNode(c *Conn, text string, delivered func()) {
	if c.removed || c.peerDone {
		return
	}
	w.transmit(c, &c.toNode, func() {
		if w.isAlive(c) {
			w.player.Bytes(c, []byte(text))
			if delivered != nil {
				delivered()
			}
		}
	})
}

// closePeerSide ends a peer's side: it sends no more and hears no more.
func (w *World) closePeerSide(c *Conn, broken bool) {
	if c.peerDone {
		return
	}
	c.peerDone = true
	w.transmit(c, &c.toNode, func() {
		switch {
		case !w.isAlive(c):
		case broken:
			w.observeHostClose(c)
			w.removeConn(c)
			w.player.Broken(c)
		default:
			w.observeHostClose(c)
			w.player.End(c)
		}
	})
}

// notifyClosed tells the peer that the node's side is gone.
func (w *World) notifyClosed(c *Conn, broken bool) {
	if c.peerDone {
		return
	}
	c.peerDone = true
	c.peer.closed(c, broken)
}

// removeConn takes a connection out of its node.
func (w *World) removeConn(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	n := w.nodes[c.Node]
	if n.starts == c.nodeStarts {
		for i, o := range n.conns {
			if o == c {
				last := len(n.conns) - 1
				n.conns[i] = n.conns[last]
				n.conns[last] = nil
				n.conns = n.conns[:last]
				break
			}
		}
	}
}

// What nodes do.

// Dialed is a connection that a node opens; it hears Up or Refused, or nothing at all.
func (w *World) Dialed(node int, addr string, ref any) *Conn {
	n := w.nodes[node]
	c := &Conn{Node: node, Host: -1, Addr: addr, Ref: ref, nodeStarts: n.starts}
	n.conns = append(n.conns, c)
	h, isHost := w.hostByAddress[addr]
	switch {
	case isHost:
		c.Host, c.peer, c.path = h.index, h, path{node, h.zone}
	default:
		c.peer, c.path, n.lastAskedAt = w.discovery, path{node, n.zone}, w.now // it asks, whatever comes of it
	}
	w.transmit(c, &c.toPeer, func() {
		if !w.isAlive(c) || c.nodeDone {
			return
		}
		switch {
		case isHost && h.isSilent(), !isHost && !w.discovery.isListening(addr) && addr == "":
			return // nothing comes back
		case isHost && !h.acceptsConnections(), !isHost && !w.discovery.isListening(addr):
			w.transmit(c, &c.toNode, func() {
				if w.isAlive(c) && !c.nodeDone {
					w.removeConn(c)
					w.player.Refused(c)
				}
			})
			return
		}
		c.peer.accepted(c)
		w.transmit(c, &c.toNode, func() {
			if !w.isAlive(c) && !c.nodeDone {
				return
			}
			c.isUp = true
			for _, action := range c.heldUntilUp {
				w.transmit(c, &c.toPeer, action)
			}
			c.heldUntilUp = nil
			if !c.nodeDone {
				w.player.Up(c)
			}
		})
	})
	return c
}

// Wrote is bytes that a node has sent. They are the World's from then on.
func (w *World) Wrote(c *Conn, p []byte) {
	if c.removed || c.nodeDone || len(p) == 0 {
		return
	}
	w.observeNodeData(c, p)
	w.transmitFromNode(c, func() { w.receiveAtPeer(c, p) })
}

// transmitFromNode carries what a node sends. On sockets a connection is up before the emulated network has brought it there and
// back; what is sent meanwhile waits for that.
func (w *World) transmitFromNode(c *Conn, action func()) {
	if !c.FromClient && !c.isUp {
		c.heldUntilUp = append(c.heldUntilUp, action)
		return
	}
	w.transmit(c, &c.toPeer, action)
}

// receiveAtPeer splits what has come to a peer into lines.
func (w *World) receiveAtPeer(c *Conn, p []byte) {
	if c.peerDone {
		return
	}
	if h, ok := c.peer.(*host); ok && h.isSilent() {
		return
	}
	if len(c.partialLine) > 0 {
		p = append(c.partialLine, p...)
		c.partialLine = nil
	}
	if i := bytes.LastIndexByte(p, '\n') + 1; i > bulkLineBytes {
		if b, ok := c.peer.(bulkPeer); ok && b.receiveBulk(c, p[:i]) {
			p = p[i:]
		}
	}
	for !c.peerDone {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			break
		}
		c.peer.receiveLine(c, bytes.TrimSuffix(p[:i], []byte("\r")))
		p = p[i+1:]
	}
	if len(p) > 0 {
		c.partialLine = append([]byte(nil), p...)
	}
}

// Shut is that a node sends no more on a connection; it still reads.
func (w *World) Shut(c *Conn) { w.closeNodeSide(c, false) }

// Closed is that a node has closed a connection; Broke that it broke it.
func (w *World) Closed(c *Conn) {
	w.closeNodeSide(c, false)
	w.removeConn(c)
}

func (w *World) Broke(c *Conn) {
	w.closeNodeSide(c, true)
	w.removeConn(c)
}

func (w *World) closeNodeSide(c *Conn, broken bool) {
	if c.removed || c.nodeDone {
		return
	}
	w.observeNodeClose(c)
	c.nodeDone = true
	if !c.FromClient && !c.isUp && len(c.heldUntilUp) == 0 {
		c.isUp = true // it gave up before it was up
	}
	w.transmitFromNode(c, func() {
		if c.peerDone {
			return
		}
		w.notifyClosed(c, broken)
		w.transmit(c, &c.toNode, func() { // what has no more to say ends its side as well
			if w.isAlive(c) {
				w.player.End(c)
			}
		})
	})
}

// Exited is that a node's process has ended by itself.
func (w *World) Exited(no int, why string) {
	n := w.nodes[no]
	if !n.running {
		return
	}
	if !n.stopping {
		w.run.Notes = append(w.run.Notes, "node "+n.name+" ended: "+why)
	}
	w.nodeEnded(no)
}
