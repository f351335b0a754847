package epoll

import (
	"golang.org/x/sys/unix"

	"coursewinch/lines"
)

// socket is one connection of the handler.
type socket struct {
	id           uint64
	fd           int
	in, out      *lines.Ring
	interest     uint32 // events requested from epoll
	connecting   bool
	eof          bool // the other side has closed its sending direction
	closeWrite   bool // the sending direction closes once the output ring is empty
	unregistered bool // removed from epoll after its end
	writeFailed  bool // a write has failed: nothing more is sent, and the output ring keeps its content
	operator     bool // an operator's connection, not counted in openSockets
}

// lookup returns the socket with this id, nil if it is closed.
func (l *Loop) lookup(id uint64) *socket {
	if index := int(uint32(id)); index < len(l.sockets) && l.sockets[index] != nil && l.sockets[index].id == id {
		return l.sockets[index]
	}
	return nil
}

// add registers a connected or connecting socket without requesting events.
func (l *Loop) add(id uint64, fd int, in, out *lines.Ring) *socket {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	s := &socket{id: id, fd: fd, in: in, out: out}
	for len(l.sockets) <= int(uint32(id)) {
		l.sockets = append(l.sockets, nil)
	}
	l.sockets[uint32(id)] = s
	l.openSockets++
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, fd, 0, int32(uint32(id)), int32(id>>32)); err != nil {
		l.failures = append(l.failures, failure{id, err})
	}
	return s
}

// AddConnected adds a connected socket of another process.
func (l *Loop) AddConnected(id uint64, fd int, in, out *lines.Ring) {
	unix.SetNonblock(fd, true)
	l.updateInterest(l.add(id, fd, in, out))
}

// Dial opens a connection. Its result, also a failure, is reported in a later iteration.
func (l *Loop) Dial(id uint64, to string, in, out *lines.Ring) {
	fd, at, err := -1, unix.Sockaddr(nil), error(unix.EMFILE)
	if l.makeRoom(); l.Room() > 0 {
		fd, at, err = openStream(to)
	}
	if err == nil {
		if err = unix.Connect(fd, at); err == unix.EINPROGRESS || err == nil {
			s := l.add(id, fd, in, out)
			s.connecting = true
			l.updateInterest(s)
			return
		}
		unix.Close(fd)
	}
	// There is no socket, but the id needs an entry for its failure to be reported.
	for len(l.sockets) <= int(uint32(id)) {
		l.sockets = append(l.sockets, nil)
	}
	l.sockets[uint32(id)] = &socket{id: id, fd: -1, in: in, out: out, unregistered: true}
	l.failures = append(l.failures, failure{id, err})
}

// FD returns the descriptor of a connected socket, -1 if there is none.
func (l *Loop) FD(id uint64) int {
	if s := l.lookup(id); s != nil && !s.connecting && !s.closeWrite {
		return s.fd
	}
	return -1
}

// Unregister removes a socket from epoll before its Close, if another process holds the socket as well: closing one of two
// descriptors of a socket does not remove it from epoll, which would go on reporting its events.
func (l *Loop) Unregister(id uint64) {
	if s := l.lookup(id); s != nil {
		l.unregister(s)
	}
}

func (l *Loop) unregister(s *socket) {
	if !s.unregistered {
		s.unregistered = true
		l.epollCtl(unix.EPOLL_CTL_DEL, s.fd, 0, 0, 0)
	}
}

// updateInterest requests the events that the socket's state calls for.
func (l *Loop) updateInterest(s *socket) {
	interest := uint32(0)
	if s.connecting || s.out.Len() > 0 && !s.writeFailed {
		interest |= unix.EPOLLOUT
	}
	if !s.connecting && !s.eof && s.in.Free() > 0 {
		interest |= unix.EPOLLIN
	}
	if interest != s.interest && !s.unregistered {
		s.interest = interest
		l.epollCtl(unix.EPOLL_CTL_MOD, s.fd, interest, int32(uint32(s.id)), int32(s.id>>32))
	}
}

// handleEvent handles the epoll events of one socket.
func (l *Loop) handleEvent(s *socket, events uint32) {
	if s.connecting {
		l.finishConnect(s)
		return
	}
	if events&unix.EPOLLOUT != 0 && s.out.Len() > 0 {
		if l.flush(s) {
			l.handler.Sent(s.id)
		}
		if l.lookup(s.id) != s {
			return
		}
	}
	if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		l.receive(s, events)
	}
	if l.lookup(s.id) == s {
		l.updateInterest(s)
	}
}

// finishConnect reports the result of a connect.
func (l *Loop) finishConnect(s *socket) {
	code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		l.unregister(s)
		l.handler.Ended(s.id, err)
		return
	}
	s.connecting = false
	l.handler.Connected(s.id)
	if l.lookup(s.id) == s {
		l.updateInterest(s)
	}
}

// receive reads into the input ring and reports what came: bytes first, then an end or a failure.
func (l *Loop) receive(s *socket, events uint32) {
	received, failure := s.readAvailable()
	if failure == nil && events&unix.EPOLLERR != 0 || failure == nil && events&unix.EPOLLHUP != 0 && (s.eof || !received) {
		if code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			failure = unix.Errno(code)
		} else if !s.eof {
			failure = unix.ECONNRESET
		}
		l.unregister(s) // the loop would spin: epoll cannot mask these events
	}
	s.in.Discard(0)
	id, eof := s.id, s.eof
	if received {
		l.handler.Received(id)
	}
	if failure != nil && l.lookup(id) == s {
		l.unregister(s)
		l.handler.Ended(id, failure)
	} else if eof && l.lookup(id) == s {
		l.handler.Ended(id, nil)
	}
}

// readAvailable reads into the input ring until the socket has no more bytes, the ring is full, or the input ends.
func (s *socket) readAvailable() (received bool, failure error) {
	for !s.eof && failure == nil {
		space := s.in.WriteSpace()
		if len(space) == 0 {
			break
		}
		n, err := unix.Read(s.fd, space)
		if n > 0 {
			s.in.Commit(n)
			received = true
			if n < len(space) {
				break // the socket is empty; epoll reports an end
			}
			s.in.RequestWide()
		}
		if n == 0 && err == nil {
			s.eof = true
		} else if err == unix.EAGAIN {
			break
		} else if err != nil && err != unix.EINTR {
			failure = err
		}
	}
	return received, failure
}

// flush sends the content of the output ring and reports whether any byte was sent.
func (l *Loop) flush(s *socket) (sent bool) {
	for s.out.Len() > 0 && !s.writeFailed {
		n, err := unix.Write(s.fd, s.out.Contiguous())
		if n > 0 {
			s.out.Discard(n)
			sent = true
		} else if err == unix.EINTR {
			continue
		} else {
			if err != nil && err != unix.EAGAIN {
				s.writeFailed = true
				l.failures = append(l.failures, failure{s.id, err})
			}
			break
		}
	}
	if s.closeWrite && s.out.Len() == 0 {
		unix.Shutdown(s.fd, unix.SHUT_WR)
	}
	return sent
}

// RingsChanged is called after the rings of a socket have changed: it sends what can be sent, and resumes reading.
func (l *Loop) RingsChanged(id uint64) {
	if s := l.lookup(id); s != nil && !s.connecting && s.fd >= 0 {
		if s.out.Len() > 0 {
			l.flush(s)
		}
		l.updateInterest(s)
	}
}
