package epoll

import (
	"slices"

	"golang.org/x/sys/unix"
)

const (
	closeTimeout            = 200_000  // microseconds for the other side to receive the last bytes and close
	maxReceivedWhileClosing = 64 << 10 // bytes that the other side may send in that time
)

// closingSocket is a connection whose last bytes are sent and whose other side has not closed yet. It is not counted in
// openSockets, and is dropped as soon as its descriptor is needed.
type closingSocket struct {
	fd       int
	deadline int64
	received int
}

// CloseWrite closes the sending direction of a socket once its output ring is empty.
func (l *Loop) CloseWrite(id uint64) {
	if s := l.lookup(id); s != nil && !s.connecting && s.fd >= 0 && !s.closeWrite {
		s.closeWrite = true
		l.flush(s)
		l.updateInterest(s)
	}
}

// PeerClosed reports whether the other side has closed or reset a connection. It also finds a close that has not been
// reported yet, because other events or unread bytes come before it.
func (l *Loop) PeerClosed(id uint64) bool {
	s := l.lookup(id)
	if s == nil || s.eof || s.unregistered {
		return true
	}
	if s.connecting {
		return false
	}
	p := []unix.PollFd{{Fd: int32(s.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// CloseDetached closes a socket gracefully without its handler, which forgets the id: the content of the output ring is
// sent, and input is discarded until the other side closes. A socket that is connecting or has failed, or an operator's, is
// closed at once.
func (l *Loop) CloseDetached(id uint64) {
	s := l.lookup(id)
	if s == nil || s.fd < 0 || s.connecting || s.unregistered || s.operator {
		l.Close(id)
		return
	}
	l.flush(s)
	l.sockets[uint32(id)] = nil
	l.openSockets--
	l.closeGracefully(s.fd, unix.EPOLL_CTL_MOD)
	l.updateListener(&l.clients, l.Room() > 0)
	l.updateListener(&l.admins, true)
}

// closeGracefully closes the sending direction of a socket and keeps it until the other side closes as well. The epoll
// operation op adds or changes its registration.
func (l *Loop) closeGracefully(fd, op int) {
	unix.Shutdown(fd, unix.SHUT_WR)
	if err := l.epollCtl(op, fd, unix.EPOLLIN, closingTag, int32(fd)); err != nil {
		unix.Close(fd)
		return
	}
	l.closing = append(l.closing, closingSocket{fd: fd, deadline: monotonicMicros() + closeTimeout})
}

// makeRoom drops closing sockets, oldest first, until one more descriptor may be opened.
func (l *Loop) makeRoom() {
	for len(l.closing) > 0 && l.openSockets+len(l.closing) >= l.maxSockets {
		l.dropClosing(0)
	}
}

func (l *Loop) dropClosing(i int) {
	unix.Close(l.closing[i].fd)
	l.closing = slices.Delete(l.closing, i, i+1)
}

// drainClosing reads and discards the input of a closing socket, and drops the socket at its end.
func (l *Loop) drainClosing(fd int) {
	i := slices.IndexFunc(l.closing, func(p closingSocket) bool { return p.fd == fd })
	if i < 0 {
		return
	}
	n, err := unix.Read(fd, l.scratch[:])
	if err == unix.EAGAIN || err == unix.EINTR {
		return
	}
	l.closing[i].received += max(n, 0)
	if err != nil || n == 0 || l.closing[i].received > maxReceivedWhileClosing {
		l.dropClosing(i)
	}
}

// Close closes a socket at once.
func (l *Loop) Close(id uint64) {
	s := l.lookup(id)
	if s == nil {
		return
	}
	l.sockets[uint32(id)] = nil
	if s.fd < 0 {
		return
	}
	unix.Close(s.fd)
	if !s.operator {
		l.openSockets--
	}
	l.updateListener(&l.clients, l.Room() > 0)
	l.updateListener(&l.admins, true)
}

// Reset closes a socket with a TCP reset.
func (l *Loop) Reset(id uint64) {
	if s := l.lookup(id); s != nil && s.fd >= 0 {
		unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	l.Close(id)
}
