// Package epoll serves sockets with one loop: it waits, moves bytes between sockets and rings, and tells a handler
// what came in. It decides nothing.
package epoll

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"

	"coursewinch/lines"
)

// Handler hears of sockets by the ids that it gave them. An id is never used twice; its low half is below the number
// of sockets that ever were open at once.
type Handler interface {
	Quota() (take, refuse int) // how many new connections a turn may take, and after these turn away
	Spare() bool               // whether one more client's connection may be taken; if not, a Close makes the loop ask again
	// Accept takes a client's connection from an address; ok is false where it is not taken, and the loop refuses it.
	Accept(from netip.AddrPort) (id uint64, in, out *lines.Ring, ok bool)
	Refused() // one was turned away
	// Call takes a connection on the address for operators, whose sockets are not counted among the others.
	Call() (id uint64, in, out *lines.Ring, ok bool)
	Connected(id uint64)
	Received(id uint64)         // there is more in its ring
	Sent(id uint64)             // there is more room in its ring
	Ended(id uint64, err error) // nil: the other side sends no more
}

const (
	clientListenerTag  = -1
	wakeTag            = -2
	adminListenerTag   = -3
	datagramTag        = -4
	closingTag         = -5
	maxClientAccepts   = 128 // new connections a turn
	maxOperatorAccepts = 32  // of operators
)

type socket struct {
	id           uint64
	fd           int
	in, out      *lines.Ring
	interest     uint32 // events asked for
	connecting   bool
	eof          bool // the other side sends no more
	closeWrite   bool // no more to send once the ring is empty
	unregistered bool // taken out of the poll after its end
	writeFailed  bool // a write failed: nothing more is sent, and what the ring holds stays
	operator     bool // an operator's, not counted
}

// Loop holds the sockets of one program.
type Loop struct {
	epollFD, wakeFD int
	clients, admins listener
	maxSockets      int // sockets at once
	openSockets     int
	handler         Handler
	sockets         []*socket
	events          [256]unix.EpollEvent
	eventCount      int
	scratch         [lines.RingSize]byte
	failures        []failure // told in the next turn
	onWake          func()
	datagramFD      int // the socket for datagrams; under 0 for none
	onDatagram      func(from netip.AddrPort, p []byte)
	closing         []closingSocket // the oldest first
	acceptRetryAt   int64           // when the listener is tried again that found no descriptor; 0 where none did
}

// listener is a socket that takes connections. It is in the poll while they can be served.
type listener struct {
	fd        int // under 0: none
	tag       int32
	accepting bool
	disabled  bool // on is not to be: another process takes its connections
}

type failure struct {
	id  uint64
	err error
}

// New makes a loop that holds at most so many sockets; woken is called in the turn after Wake.
func New(maxSockets int, handler Handler, onWake func()) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{epollFD: epollFD, wakeFD: wakeFD, clients: listener{fd: -1, tag: clientListenerTag}, admins: listener{fd: -1, tag: adminListenerTag}, datagramFD: -1, maxSockets: maxSockets, handler: handler, onWake: onWake}
	return l, l.epollCtl(unix.EPOLL_CTL_ADD, wakeFD, unix.EPOLLIN, wakeTag, 0)
}

func (l *Loop) epollCtl(op, fd int, events uint32, tag, generation int32) error {
	return unix.EpollCtl(l.epollFD, op, fd, &unix.EpollEvent{Events: events, Fd: tag, Pad: generation})
}

func parseAddress(text string) (unix.Sockaddr, int, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, 0, err
	}
	ip := a.Addr().Unmap()
	if ip.Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: ip.As16()}, unix.AF_INET6, nil
}

func openStream(text string) (fd int, to unix.Sockaddr, err error) {
	to, family, err := parseAddress(text)
	if err != nil {
		return -1, nil, err
	}
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	return fd, to, err
}

// Listen takes clients' connections at an address and returns the one it got. Shared, another process of this user
// may listen there as well.
func (l *Loop) Listen(text string, shared bool) (netip.AddrPort, error) {
	return l.listenOn(&l.clients, text, shared)
}

// ListenAdmin takes operators' connections.
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
	if err := errors.Join(err, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Bind(fd, to),
		unix.Listen(fd, 1024)); err != nil {
		unix.Close(fd)
		return netip.AddrPort{}, fmt.Errorf("listen %q: %w", text, err)
	}
	listener.fd, listener.accepting = fd, true
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, fd, unix.EPOLLIN, listener.tag, 0); err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	return localAddress(fd)
}

func localAddress(fd int) (netip.AddrPort, error) {
	got, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	at := addrPort(got)
	if !at.IsValid() {
		return at, errors.New("listen: unknown kind of address")
	}
	return at, nil
}

// AdoptListener takes over a listener that another process made. It takes connections from Accepting on.
func (l *Loop) AdoptListener(fd int) (netip.AddrPort, error) {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on != 1 {
		return netip.AddrPort{}, errors.New("listen: what was handed over does not listen")
	}
	unix.SetNonblock(fd, true)
	l.clients.fd, l.clients.accepting, l.clients.disabled = fd, false, true
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, fd, 0, l.clients.tag, 0); err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	return localAddress(fd)
}

// SetAccepting says whether clients' connections are taken here; they queue all the same.
func (l *Loop) SetAccepting(on bool) {
	l.clients.disabled = !on
	l.updateListener(&l.clients, on && l.Room() > 0)
}

// ListenerFD is the descriptor of the clients' listener.
func (l *Loop) ListenerFD() int { return l.clients.fd }

// RefuseQueued answers all that queue for the listener that they are to come again, for the end of a process whose queue
// dies with it. It stays until all who were told so have gone, at most so many microseconds.
func (l *Loop) RefuseQueued(timeout int64) {
	l.failures = nil
	for _, s := range l.sockets {
		if s != nil && s.fd >= 0 {
			l.unregister(s) // nobody hears of them any more
		}
	}
	for end := monotonicMicros() + timeout; ; {
		for range maxOperatorAccepts * maxOperatorAccepts {
			l.makeRoom()
			fd, _, err := unix.Accept4(l.clients.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == unix.EINTR || err == unix.ECONNABORTED {
				continue
			} else if err != nil {
				break
			}
			l.refuse(fd)
		}
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

// SetMaxSockets changes how many sockets may be open at once; what is open stays.
func (l *Loop) SetMaxSockets(maxSockets int) {
	for l.maxSockets = maxSockets; len(l.closing) > 0 && l.openSockets+len(l.closing) > maxSockets; {
		l.dropClosing(0)
	}
	l.updateListener(&l.clients, l.Room() > 0)
}

// MaxSockets is how many sockets may be open at once.
func (l *Loop) MaxSockets() int { return l.maxSockets }

// FD is the descriptor of a connected socket; under 0 without one.
func (l *Loop) FD(id uint64) int {
	if s := l.lookup(id); s != nil && !s.connecting && !s.closeWrite {
		return s.fd
	}
	return -1
}

// PeerAddress is the address of a connected socket's other side; invalid without one.
func PeerAddress(fd int) netip.AddrPort {
	a, err := unix.Getpeername(fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(a)
}

// Unregister takes a socket that another process holds as well out of the poll, before its Close: the poll would go on
// telling of it, as the close of one of two descriptors doesn't end it there.
func (l *Loop) Unregister(id uint64) {
	if s := l.lookup(id); s != nil {
		l.unregister(s)
	}
}

// AddConnected puts a connected socket of another process into the loop.
func (l *Loop) AddConnected(id uint64, fd int, in, out *lines.Ring) {
	unix.SetNonblock(fd, true)
	l.updateInterest(l.add(id, fd, in, out))
}

// Wake ends a Wait from another goroutine.
func (l *Loop) Wake() { unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0}) }

// Room is how many more sockets may be opened.
func (l *Loop) Room() int { return l.maxSockets - l.openSockets }

// Wait waits for events, at most so many microseconds; under 0 without end.
func (l *Loop) Wait(us int64) error {
	ms := -1
	if us >= 0 {
		ms = int(min((us+999)/1000, 60_000))
	}
	if next := l.nextDeadline(); next > 0 {
		left := int((next - monotonicMicros() + 999) / 1000)
		if ms = max(left, 0); us >= 0 {
			ms = min(ms, int((us+999)/1000))
		}
	}
	if len(l.failures) > 0 {
		ms = 0
	}
	n, err := unix.EpollWait(l.epollFD, l.events[:], ms)
	if err == unix.EINTR {
		n, err = 0, nil
	}
	l.eventCount = max(n, 0)
	return err
}

// Dispatch tells the handler what Wait brought, and what failed since.
func (l *Loop) Dispatch() {
	l.runTimers()
	failed := l.failures
	l.failures = nil
	for _, f := range failed {
		l.reportFailure(f)
	}
	for _, e := range l.events[:l.eventCount] {
		switch e.Fd {
		case clientListenerTag:
			l.accept()
		case adminListenerTag:
			l.acceptOperators()
		case datagramTag:
			l.receiveDatagrams()
		case closingTag:
			l.drainClosing(int(e.Pad))
		case wakeTag:
			var b [8]byte
			unix.Read(l.wakeFD, b[:])
			l.onWake()
		default:
			// The id guards a new socket in the same place against an event meant for the old one.
			if s := l.lookup(uint64(uint32(e.Pad))<<32 | uint64(uint32(e.Fd))); s != nil && !s.unregistered {
				l.handleEvent(s, e.Events)
			}
		}
	}
	l.eventCount = 0
}

// reportFailure tells of a failure. What the other side said before comes first: of a host that turns a flow away and closes, the
// answer counts and not that the rest of the line found nobody.
func (l *Loop) reportFailure(f failure) {
	s := l.lookup(f.id)
	if s == nil {
		return
	}
	if s.fd >= 0 && !s.connecting && !s.unregistered {
		l.receive(s, 0)
	}
	if l.lookup(f.id) == s && (s.fd < 0 || !s.unregistered) {
		l.unregister(s)
		l.handler.Ended(f.id, f.err)
	}
}

func (l *Loop) lookup(id uint64) *socket {
	if no := int(uint32(id)); no < len(l.sockets) && l.sockets[no] != nil && l.sockets[no].id == id {
		return l.sockets[no]
	}
	return nil
}

func (l *Loop) accept() {
	take, refuse := l.handler.Quota()
	for i := range min(take+refuse, maxClientAccepts) {
		l.makeRoom()
		if i >= take {
			fd, _, err := unix.Accept4(l.clients.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			l.refuse(fd)
			l.handler.Refused()
			continue
		}
		if !l.handler.Spare() || l.Room() < 1 {
			l.updateListener(&l.clients, false) // guards against spinning on a queue that can't be served
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

// acceptOperators takes operators' connections; none waits for clients'.
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
		id, in, out, ok := l.handler.Call()
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

// refuse turns a connection away at the least cost: what has come is read, so that the close doesn't reset what is said,
// and nothing of it is kept. A whole line is all that a client says before its answer; of another the rest is waited for.
func (l *Loop) refuse(fd int) {
	n, _ := unix.Read(fd, l.scratch[:])
	unix.Write(fd, busyLine)
	if n > 0 && n < len(l.scratch) && l.scratch[n-1] == '\n' {
		unix.Close(fd)
		return
	}
	l.closeGracefully(fd, unix.EPOLL_CTL_ADD)
}

var busyLine = []byte("BUSY\r\n")

func addrPort(a unix.Sockaddr) netip.AddrPort {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// updateListener takes a listener into the poll or out of it; its queue stays as it is.
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

// updateInterest asks for the events that the state of the socket calls for.
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

// Dial opens a connection. Whatever comes of it is told in a later turn.
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
	// No socket, but the id needs a place for its failure to be told.
	for len(l.sockets) <= int(uint32(id)) {
		l.sockets = append(l.sockets, nil)
	}
	l.sockets[uint32(id)] = &socket{id: id, fd: -1, in: in, out: out, unregistered: true}
	l.failures = append(l.failures, failure{id, err})
}

func (l *Loop) handleEvent(s *socket, events uint32) {
	if s.connecting {
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

func (l *Loop) receive(s *socket, events uint32) {
	var failure error
	received := false
	for !s.eof && failure == nil {
		space := s.in.Space()
		if len(space) == 0 {
			break
		}
		n, err := unix.Read(s.fd, space)
		if n > 0 {
			s.in.Grow(n)
			received = true
			if n < len(space) {
				break // that was all; an end is told by the poll
			}
			s.in.Widen()
		}
		if n == 0 && err == nil {
			s.eof = true
		} else if err == unix.EAGAIN {
			break
		} else if err != nil && err != unix.EINTR {
			failure = err
		}
	}
	if failure == nil && events&unix.EPOLLERR != 0 || failure == nil && events&unix.EPOLLHUP != 0 && (s.eof || !received) {
		if code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			failure = unix.Errno(code)
		} else if !s.eof {
			failure = unix.ECONNRESET
		}
		l.unregister(s) // guards against spinning: these events can't be turned off
	}
	s.in.Drop(0)
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

func (l *Loop) unregister(s *socket) {
	if !s.unregistered {
		s.unregistered = true
		l.epollCtl(unix.EPOLL_CTL_DEL, s.fd, 0, 0, 0)
	}
}

// flush sends what the ring holds and tells whether any of it went.
func (l *Loop) flush(s *socket) (sent bool) {
	for s.out.Len() > 0 && !s.writeFailed {
		n, err := unix.Write(s.fd, s.out.Head())
		if n > 0 {
			s.out.Drop(n)
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

// Touch says that the rings of a socket have changed: what can be sent is sent, and reading goes on.
func (l *Loop) Touch(id uint64) {
	if s := l.lookup(id); s != nil && !s.connecting && s.fd >= 0 {
		if s.out.Len() > 0 {
			l.flush(s)
		}
		l.updateInterest(s)
	}
}

// Shut ends the sending on a socket once its ring is empty.
func (l *Loop) Shut(id uint64) {
	if s := l.lookup(id); s != nil && !s.connecting && s.fd >= 0 && !s.closeWrite {
		s.closeWrite = true
		l.flush(s)
		l.updateInterest(s)
	}
}

// Gone tells whether the other side of a connection has ended, or broken it, also where that has not been told yet: it
// may lie behind other events, or behind bytes that nobody has read.
func (l *Loop) Gone(id uint64) bool {
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

// Part ends a socket in order without its handler, who forgets it: what its ring holds is sent, and what still comes is
// read and dropped until the other side ends.
func (l *Loop) Part(id uint64) {
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

// closingSocket is a connection that has its last word and waits for its other side to end. Nobody counts it: it goes as soon as
// its place is needed.
type closingSocket struct {
	fd       int
	deadline int64
	received int
}

const (
	closeTimeout            = 200_000  // microseconds, for the other side to take the last word and end
	maxReceivedWhileClosing = 64 << 10 // bytes that it may send until then

	acceptRetryDelay = 100_000 // after the system had no descriptor left: others may have given some back
)

func monotonicMicros() int64 {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano() / 1000
}

// closeGracefully ends the sending on a socket and waits for the other side to end as well.
func (l *Loop) closeGracefully(fd, op int) {
	unix.Shutdown(fd, unix.SHUT_WR)
	if err := l.epollCtl(op, fd, unix.EPOLLIN, closingTag, int32(fd)); err != nil {
		unix.Close(fd)
		return
	}
	l.closing = append(l.closing, closingSocket{fd: fd, deadline: monotonicMicros() + closeTimeout})
}

// makeRoom makes place for one more descriptor, if a connection that waits for its end holds it.
func (l *Loop) makeRoom() {
	for len(l.closing) > 0 && l.openSockets+len(l.closing) >= l.maxSockets {
		l.dropClosing(0)
	}
}

// nextDeadline is when something of the loop's own is due; 0 for nothing.
func (l *Loop) nextDeadline() int64 {
	if len(l.closing) == 0 || l.acceptRetryAt > 0 && l.acceptRetryAt < l.closing[0].deadline {
		return l.acceptRetryAt
	}
	return l.closing[0].deadline
}

// runTimers closes those whose other side has not ended in time, and has the listener tried again.
func (l *Loop) runTimers() {
	if l.acceptRetryAt > 0 && l.acceptRetryAt <= monotonicMicros() {
		l.acceptRetryAt = 0
		l.updateListener(&l.clients, l.Room() > 0)
	}
	for len(l.closing) > 0 && l.closing[0].deadline <= monotonicMicros() {
		l.dropClosing(0)
	}
}

func (l *Loop) dropClosing(i int) {
	unix.Close(l.closing[i].fd)
	l.closing = slices.Delete(l.closing, i, i+1)
}

// drainClosing reads what the other side of such a connection still sends.
func (l *Loop) drainClosing(fd int) {
	i := slices.IndexFunc(l.closing, func(p closingSocket) bool { return p.fd == fd })
	if i < 0 {
		return
	}
	n, err := unix.Read(fd, l.scratch[:])
	if err == unix.EAGAIN || err == unix.EINTR {
		return
	}
	if l.closing[i].received += max(n, 0); err != nil || n == 0 || l.closing[i].received > maxReceivedWhileClosing {
		l.dropClosing(i)
	}
}

// Close ends a socket at once.
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

// Reset ends a socket the way a broken one ends.
func (l *Loop) Reset(id uint64) {
	if s := l.lookup(id); s != nil && s.fd >= 0 {
		unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	l.Close(id)
}
