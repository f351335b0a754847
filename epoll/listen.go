package epoll

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	maxClientAccepts   = 128  // new client connections of one iteration
	maxOperatorAccepts = 32   // new operators' connections of one iteration
	maxQueuedRefusals  = 1024 // queued connections refused between two waits
	listenBacklog      = 1024

	acceptRetryDelay = 100_000 // microseconds after descriptors ran out: other processes may have closed some
)

var busyLine = []byte("BUSY\r\n")

// listener is a socket that accepts connections. It is polled for input while its connections can be served.
type listener struct {
	fd        int // negative if there is none
	tag       int32
	accepting bool
	disabled  bool // stays off: another process accepts its connections
}

// Listen accepts client connections at an address, and returns the address that was bound. If shared, another process of
// the same user may listen there as well.
func (l *Loop) Listen(text string, shared bool) (netip.AddrPort, error) {
	return l.listenOn(&l.clients, text, shared)
}

// ListenAdmin accepts operators' connections at an address, and returns the address that was bound.
func (l *Loop) ListenAdmin(text string) (netip.AddrPort, error) {
	return l.listenOn(&l.admins, text, false)
}

func (l *Loop) listenOn(listener *listener, text string, shared bool) (netip.AddrPort, error) {
	fd, to, err := openStream(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen %q: %w", text, err)
	}
	if shared {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	err = errors.Join(err, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Bind(fd, to),
		unix.Listen(fd, listenBacklog))
	if err != nil {
		unix.Close(fd)
		return netip.AddrPort{}, fmt.Errorf("listen %q: %w", text, err)
	}
	listener.fd, listener.accepting = fd, true
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, fd, unix.EPOLLIN, listener.tag, 0); err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	return localAddress(fd)
}

// AdoptListener takes over the clients' listener of another process, and returns its address. Connections are accepted
// after SetAccepting(true).
func (l *Loop) AdoptListener(fd int) (netip.AddrPort, error) {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on != 1 {
		return netip.AddrPort{}, errors.New("listen: the socket that was handed over does not listen")
	}
	unix.SetNonblock(fd, true)
	l.clients.fd, l.clients.accepting, l.clients.disabled = fd, false, true
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, fd, 0, l.clients.tag, 0); err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	return localAddress(fd)
}

// ListenerFD returns the descriptor of the clients' listener.
func (l *Loop) ListenerFD() int { return l.clients.fd }

// SetAccepting sets whether this process accepts client connections. In any case they queue at the listener.
func (l *Loop) SetAccepting(on bool) {
	l.clients.disabled = !on
	l.updateListener(&l.clients, on && l.Room() > 0)
}

// updateListener turns polling of a listener on or off. Its queue of connections is not affected.
func (l *Loop) updateListener(listener *listener, accepting bool) {
	if accepting = accepting && !listener.disabled; listener.fd < 0 || listener.accepting == accepting {
		return
	}
	listener.accepting = accepting
	events := uint32(0)
	if accepting {
		events = unix.EPOLLIN
	}
	l.epollCtl(unix.EPOLL_CTL_MOD, listener.fd, events, listener.tag, 0)
}

// accept takes new client connections up to the handler's quota, and refuses those beyond it.
func (l *Loop) accept() {
	take, refuse := l.handler.AcceptQuota()
	for i := range min(take+refuse, maxClientAccepts) {
		l.makeRoom()
		if i >= take {
			fd, _, err := unix.Accept4(l.clients.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			l.refuse(fd)
			l.handler.CountRefused()
			continue
		}
		if !l.handler.CanAccept() || l.Room() < 1 {
			l.updateListener(&l.clients, false) // the loop would spin on a queue that cannot be served
			return
		}
		fd, from, err := unix.Accept4(l.clients.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
			l.updateListener(&l.clients, false)
			l.acceptRetryAt = monotonicMicros() + acceptRetryDelay
			return
		case unix.ECONNABORTED, unix.EINTR:
			continue
		default:
			return
		}
		id, in, out, ok := l.handler.Accept(addrPort(from))
		if !ok {
			l.refuse(fd)
			continue
		}
		s := l.add(id, fd, in, out)
		l.updateInterest(s)
	}
}

// acceptOperators takes operators' connections, regardless of how many clients are connected.
func (l *Loop) acceptOperators() {
	for range maxOperatorAccepts {
		l.makeRoom()
		fd, _, err := unix.Accept4(l.admins.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.ECONNABORTED, unix.EINTR:
			continue
		case unix.EAGAIN:
			return
		default:
			l.updateListener(&l.admins, false)
			return
		}
		id, in, out, ok := l.handler.AcceptOperator()
		if !ok {
			unix.Close(fd)
			continue
		}
		s := l.add(id, fd, in, out)
		s.operator = true
		l.openSockets--
		l.updateInterest(s)
	}
}

// refuse answers BUSY and closes, at the least cost. Received bytes are read and discarded, because closing with unread
// input would reset the connection and lose the answer. A client sends one whole line before its answer; if less has
// arrived, the connection closes gracefully, so that the rest can arrive.
func (l *Loop) refuse(fd int) {
	n, _ := unix.Read(fd, l.scratch[:])
	unix.Write(fd, busyLine)
	if n > 0 && n < len(l.scratch) && l.scratch[n-1] == '\n' {
		unix.Close(fd)
		return
	}
	l.closeGracefully(fd, unix.EPOLL_CTL_ADD)
}

// RefuseQueued answers BUSY to all connections in the clients' listener queue. It is for the end of a process whose queue
// ends with it. It returns when all of them have closed, after timeout microseconds at the latest.
func (l *Loop) RefuseQueued(timeout int64) {
	l.failures = nil
	for _, s := range l.sockets {
		if s != nil && s.fd >= 0 {
			l.unregister(s) // its events are not reported any more
		}
	}
	for end := monotonicMicros() + timeout; ; {
		l.refuseBatch()
		left := end - monotonicMicros()
		if len(l.closing) == 0 || left <= 0 || l.Wait(left) != nil {
			return
		}
		l.runTimers()
		for _, e := range l.events[:l.eventCount] {
			if e.Fd == closingTag {
				l.drainClosing(int(e.Pad))
			}
		}
	}
}

// refuseBatch refuses the connections that are queued now, at most maxQueuedRefusals.
func (l *Loop) refuseBatch() {
	for range maxQueuedRefusals {
		l.makeRoom()
		fd, _, err := unix.Accept4(l.clients.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == unix.EINTR || err == unix.ECONNABORTED {
			continue
		} else if err != nil {
			return
		}
		l.refuse(fd)
	}
}
