package virtual

import (
	"coursewinch/lines"
	"coursewinch/rehearsal/fleet"
)

// Room returns how many more sockets the process may open.
func (v *emulatedNode) Room() int {
	return v.player.script.Node.Sockets - reservedDescriptors - v.openSockets
}

// Dial opens a connection. If the process has no descriptor left, the connection is refused.
func (v *emulatedNode) Dial(id uint64, to string, in, out *lines.Ring) {
	s := &socket{id: id, node: v, in: in, out: out, dialing: true, generation: v.generation}
	if v.Room() < 1 {
		v.addSocket(s)
		v.inbox = append(v.inbox, input{s, inputRefused})
		return
	}
	v.addSocket(s)
	v.cost += float64(v.player.script.Node.SocketCost)
	v.afterCost(func() {
		if !s.closed {
			s.conn = v.player.world.Dial(v.index, to, s)
		}
	})
}

// RingsChanged sends what the node has written to a socket's ring.
func (v *emulatedNode) RingsChanged(id uint64) {
	s := v.socketByID(id)
	if s == nil || s.dialing || s.out.Len() == 0 {
		return
	}
	b := append([]byte(nil), s.out.Peek(s.out.Len())...)
	s.out.Discard(len(b))
	v.cost += float64(v.player.script.Node.KilobyteCost) * float64(len(b)) / 1024
	v.afterCost(func() { v.player.world.Write(s.conn, b) })
}

// CloseWrite sends what is left and closes the sending side.
func (v *emulatedNode) CloseWrite(id uint64) {
	if s := v.socketByID(id); s != nil && !s.dialing {
		v.RingsChanged(id)
		v.afterCost(func() { v.player.world.CloseWrite(s.conn) })
	}
}

// Close closes a connection.
func (v *emulatedNode) Close(id uint64) { v.closeSocket(id, v.player.world.Close) }

// Reset resets a connection.
func (v *emulatedNode) Reset(id uint64) { v.closeSocket(id, v.player.world.Reset) }

// CloseDetached sends what is left and closes a connection. The emulated network loses nothing that was written before
// a close.
func (v *emulatedNode) CloseDetached(id uint64) {
	v.RingsChanged(id)
	v.Close(id)
}

// PeerClosed tells whether the other side has closed a connection, also if the node does not know it yet.
func (v *emulatedNode) PeerClosed(id uint64) bool {
	s := v.socketByID(id)
	return s == nil || s.readClosed || v.hasUnreportedEnd(s)
}

// closeSocket closes a socket and then ends its connection in the given way.
func (v *emulatedNode) closeSocket(id uint64, how func(*fleet.Conn)) {
	s := v.socketByID(id)
	if s == nil {
		return
	}
	s.closed = true
	v.sockets[uint32(id)] = nil
	v.openSockets--
	v.cost += float64(v.player.script.Node.SocketCost)
	v.afterCost(func() {
		if s.conn != nil {
			how(s.conn)
		}
	})
}

// addSocket adds a socket at the place that the low half of its id names.
func (v *emulatedNode) addSocket(s *socket) {
	no := int(uint32(s.id))
	for len(v.sockets) <= no {
		v.sockets = append(v.sockets, nil)
	}
	v.sockets[no] = s
	v.openSockets++
}

// socketByID returns the socket of an id, or nil if it is closed.
func (v *emulatedNode) socketByID(id uint64) *socket {
	if no := int(uint32(id)); no < len(v.sockets) && v.sockets[no] != nil && v.sockets[no].id == id {
		return v.sockets[no]
	}
	return nil
}
