package fleet

import (
	"bytes"
	"net/netip"

	"coursewinch/rehearsal/record"
)

// NodePlayer runs the nodes, in virtual time or on sockets. Everything that reaches a node goes through it, and it calls
// the methods of World for what a node does. Nodes and hosts are given by index.
type NodePlayer interface {
	// Start starts a new process of a node.
	Start(node int, conf NodeConfig)
	// Kill ends the process of a node at once.
	Kill(node int)
	// Stop asks the process of a node to terminate gracefully.
	Stop(node int)
	// Reload lets a node read its configuration file again.
	Reload(node int, conf NodeConfig)
	// SetStarvation lets other programs use a share of the node's core.
	SetStarvation(node int, share float64)
	// Accept brings a client's connection to the node's listener. It returns false if the accept queue is full.
	Accept(c *Conn) bool
	// Connected reports that a connection opened by the node is established.
	Connected(c *Conn)
	// Refused reports that a connection opened by the node was refused.
	Refused(c *Conn)
	// Receive brings data to the node.
	Receive(c *Conn, data []byte)
	// PeerClosed reports that the other side sends no more.
	PeerClosed(c *Conn)
	// Reset reports that the connection was reset.
	Reset(c *Conn)
	// ReceiveDatagram brings a datagram from another node.
	ReceiveDatagram(node, from int, payload []byte)
	// SetPaused suspends the process of a node or lets it continue.
	SetPaused(node int, on bool)
	// SetDuplicate starts a second process under the node's name, or kills it.
	SetDuplicate(node int, conf NodeConfig, on bool)
	// AdjustClock lets the node's clock jump by some microseconds and run at a multiple of the normal rate from now on.
	AdjustClock(node int, jump int64, rate float64)
	// SetListening reports whether a host accepts connections.
	SetListening(host int, listening bool)
}

// peer is the other end of a node's connection: a host, discovery, a client or a health check.
type peer interface {
	accepted(c *Conn)                 // a connection opened by a node has arrived
	connected(c *Conn)                // a connection opened by the peer is established
	receiveLine(c *Conn, line []byte) // a line has arrived, given without its line end
	closed(c *Conn, broken bool)      // the node has closed or reset the connection
}

// bulkPeer is a peer that may receive many lines at once.
type bulkPeer interface {
	// receiveBulk returns false if the lines are to be received one by one instead.
	receiveBulk(c *Conn, data []byte) bool
}

// Conn is one connection between a node and a peer.
type Conn struct {
	Node          int            // index of the node
	Host          int            // index of the host that it leads to; -1 for other peers
	Addr          string         // address that the node has dialed; empty if the peer has opened the connection
	FromClient    bool           // opened by a client or by the front-end load balancer
	ClientAddress netip.AddrPort // address of the client
	PlayerState   any            // for use by the NodePlayer

	flow        *record.Flow // flow of the connect that it carries, once the node has sent the line
	client      *client      // client of that flow
	attempt     int          // number of the connect within the flow
	nodeSent    bool         // the node has sent something
	heldUntilUp []func()     // what the node has sent before the connection was established
	clientFlow  *record.Flow // flow of the client that has opened it
	upSent      bool         // the node has sent the client UP
	finalSent   bool         // the node has sent the client a final answer other than UP

	nodeStarts  int // number of starts of the node when it was opened or accepted; identifies the process
	peer        peer
	peerState   any // for use by the peer
	path        path
	toNode      direction
	toPeer      direction
	partialLine []byte // received by the peer without a line end so far
	isUp        bool   // established
	peerDone    bool   // the peer sends no more or is gone
	nodeDone    bool   // the node sends no more or is gone
	removed     bool   // neither side is notified of anything more
}

// direction is one direction of a connection.
type direction struct {
	lastArrival int64 // when what was sent last arrives
	used        bool  // something has been sent
	waiting     []func()
	blocked     bool // waits for the end of a cut
}

// isAlive reports whether the connection exists and its node is still the process that it belongs to.
func (w *World) isAlive(c *Conn) bool {
	n := w.nodes[c.Node]
	return !c.removed && n.running && n.starts == c.nodeStarts
}

// openToNode opens a connection from a peer to a node. The peer is notified through connected or closed.
func (w *World) openToNode(p peer, node int, address netip.Addr) *Conn {
	c := &Conn{Node: node, Host: -1, FromClient: true, peer: p, ClientAddress: netip.AddrPortFrom(address, 0),
		path: path{node, noZone}, nodeStarts: w.nodes[node].starts}
	w.requestConnection(c, p)
	return c
}

// connectRetryInterval is the time after which the operating system repeats a connection request that was dropped.
const connectRetryInterval = second

// requestConnection sends the connection request of a peer to its node, and repeats it while the accept queue is full.
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
		if !w.player.Accept(c) {
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

// sendToNode sends data from a peer to the node. delivered, which may be nil, is called when the node has received it.
func (w *World) sendToNode(c *Conn, text string, delivered func()) {
	if c.removed || c.peerDone {
		return
	}
	w.transmit(c, &c.toNode, func() {
		if w.isAlive(c) {
			w.player.Receive(c, []byte(text))
			if delivered != nil {
				delivered()
			}
		}
	})
}

// closePeerSide closes a peer's side of a connection, or resets it: the peer neither sends nor receives any more.
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
			w.player.Reset(c)
		default:
			w.observeHostClose(c)
			w.player.PeerClosed(c)
		}
	})
}

// notifyClosed notifies the peer that the node has closed or reset the connection.
func (w *World) notifyClosed(c *Conn, broken bool) {
	if c.peerDone {
		return
	}
	c.peerDone = true
	c.peer.closed(c, broken)
}

// removeConn removes a connection from its node.
func (w *World) removeConn(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	n := w.nodes[c.Node]
	if n.starts == c.nodeStarts {
		for i, other := range n.conns {
			if other == c {
				last := len(n.conns) - 1
				n.conns[i] = n.conns[last]
				n.conns[last] = nil
				n.conns = n.conns[:last]
				break
			}
		}
	}
}

// Dial opens a connection from a node to an address. The player is notified when the connection is established or
// refused; a silent host does not answer at all.
func (w *World) Dial(node int, addr string, ref any) *Conn {
	n := w.nodes[node]
	c := &Conn{Node: node, Host: -1, Addr: addr, PlayerState: ref, nodeStarts: n.starts}
	n.conns = append(n.conns, c)
	h, isHost := w.hostByAddress[addr]
	switch {
	case isHost:
		c.Host, c.peer, c.path = h.index, h, path{node, h.zone}
	default:
		c.peer, c.path, n.lastAskedAt = w.discovery, path{node, n.zone}, w.now // counts as a call to discovery even if it fails
	}
	w.transmit(c, &c.toPeer, func() {
		if !w.isAlive(c) || c.nodeDone {
			return
		}
		switch {
		case isHost && h.isSilent(), !isHost && !w.discovery.isListening(addr) && addr == "":
			return // no answer
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
				w.player.Connected(c)
			}
		})
	})
	return c
}

// Write sends data from a node. The World owns the data from then on.
func (w *World) Write(c *Conn, data []byte) {
	if c.removed || c.nodeDone || len(data) == 0 {
		return
	}
	w.observeNodeData(c, data)
	w.transmitFromNode(c, func() { w.receiveAtPeer(c, data) })
}

// transmitFromNode transmits what a node sends. On sockets the node sees a connection as established before its emulated
// round trip has ended; what the node sends in the meantime waits for that.
func (w *World) transmitFromNode(c *Conn, action func()) {
	if !c.FromClient && !c.isUp {
		c.heldUntilUp = append(c.heldUntilUp, action)
		return
	}
	w.transmit(c, &c.toPeer, action)
}

// receiveAtPeer splits the data that has arrived at a peer into lines. Large amounts are offered in one piece first.
func (w *World) receiveAtPeer(c *Conn, data []byte) {
	if c.peerDone {
		return
	}
	if h, ok := c.peer.(*host); ok && h.isSilent() {
		return
	}
	if len(c.partialLine) > 0 {
		data = append(c.partialLine, data...)
		c.partialLine = nil
	}
	if i := bytes.LastIndexByte(data, '\n') + 1; i > bulkLineBytes {
		if b, ok := c.peer.(bulkPeer); ok && b.receiveBulk(c, data[:i]) {
			data = data[i:]
		}
	}
	for !c.peerDone {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			break
		}
		c.peer.receiveLine(c, bytes.TrimSuffix(data[:i], []byte("\r")))
		data = data[i+1:]
	}
	if len(data) > 0 {
		c.partialLine = append([]byte(nil), data...)
	}
}

// CloseWrite closes the sending direction of a connection on behalf of a node, which may still read.
func (w *World) CloseWrite(c *Conn) { w.closeNodeSide(c, false) }

// Close closes a connection on behalf of a node.
func (w *World) Close(c *Conn) {
	w.closeNodeSide(c, false)
	w.removeConn(c)
}

// Reset resets a connection on behalf of a node.
func (w *World) Reset(c *Conn) {
	w.closeNodeSide(c, true)
	w.removeConn(c)
}

// closeNodeSide closes or resets the node's side of a connection.
func (w *World) closeNodeSide(c *Conn, broken bool) {
	if c.removed || c.nodeDone {
		return
	}
	w.observeNodeClose(c)
	c.nodeDone = true
	if !c.FromClient && !c.isUp && len(c.heldUntilUp) == 0 {
		c.isUp = true // the node has closed it before it was established
	}
	w.transmitFromNode(c, func() {
		if c.peerDone {
			return
		}
		w.notifyClosed(c, broken)
		w.transmit(c, &c.toNode, func() { // the peer closes its side as well
			if w.isAlive(c) {
				w.player.PeerClosed(c)
			}
		})
	})
}

// NodeExited reports that the process of a node has ended on its own. The reason is noted in the record unless the node was
// asked to stop.
func (w *World) NodeExited(node int, reason string) {
	n := w.nodes[node]
	if !n.running {
		return
	}
	if !n.stopping {
		w.run.NodeExits = append(w.run.NodeExits, "node "+n.name+" ended: "+reason)
	}
	w.nodeEnded(node)
}
