// Package epoll runs the event loop of a program over its sockets: it waits for events, moves bytes between sockets and
// ring buffers, and reports to a handler what happened. It takes no decisions.
package epoll

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"coursewinch/lines"
)

// Handler receives the events of sockets, by the ids that it assigned to them. An id is never reused. Its low 32 bits
// are an index below the highest number of sockets that were open at once.
type Handler interface {
	// AcceptQuota returns how many new client connections this iteration may accept, and how many more it may refuse
	// after these.
	AcceptQuota() (take, refuse int)
	// CanAccept reports whether one more client connection can be accepted. After false, the loop asks again when a
	// socket closes.
	CanAccept() bool
	// Accept receives a new client connection with its remote address. If ok is false, the loop refuses the connection.
	Accept(from netip.AddrPort) (id uint64, in, out *lines.Ring, ok bool)
	// CountRefused is called after the loop has refused a connection.
	CountRefused()
	// AcceptOperator receives a new connection on the operators' address. Operators' sockets are not counted among the
	// others.
	AcceptOperator() (id uint64, in, out *lines.Ring, ok bool)
	// Connected is called when a dialed connection is established.
	Connected(id uint64)
	// Received is called when bytes were added to the socket's input ring.
	Received(id uint64)
	// Sent is called when bytes were taken from the socket's output ring.
	Sent(id uint64)
	// Ended is called with nil when the other side has closed its sending direction, and with the error when the
	// connection has failed.
	Ended(id uint64, err error)
}

// Tags in the data of epoll events that belong to no socket of the handler. A socket's event carries its id instead:
// the low half in the place of the tag, the high half as the generation.
const (
	clientListenerTag = -1
	wakeTag           = -2
	adminListenerTag  = -3
	datagramTag       = -4
	closingTag        = -5
)

const (
	maxEvents = 256    // of one wait
	maxWaitMs = 60_000 // milliseconds; a longer wait ends then, without events
)

// Loop is an event loop and the sockets of one program.
type Loop struct {
	epollFD, wakeFD int
	clients, admins listener
	maxSockets      int // limit of sockets open at once
	openSockets     int
	handler         Handler
	sockets         []*socket // by the low half of their ids
	events          [maxEvents]unix.EpollEvent
	eventCount      int
	scratch         [lines.RingSize]byte
	failures        []failure // reported in the next iteration
	onWake          func()
	datagramFD      int // negative without a datagram socket
	onDatagram      func(from netip.AddrPort, p []byte)
	closing         []closingSocket // oldest first
	acceptRetryAt   int64           // when to listen again after descriptors ran out; 0 if they did not
}

// failure is an error of a socket that the handler does not know of yet.
type failure struct {
	id  uint64
	err error
}

// New returns a loop that holds at most maxSockets sockets. It calls onWake in the iteration after a call of Wake.
func New(maxSockets int, handler Handler, onWake func()) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{
		epollFD:    epollFD,
		wakeFD:     wakeFD,
		clients:    listener{fd: -1, tag: clientListenerTag},
		admins:     listener{fd: -1, tag: adminListenerTag},
		datagramFD: -1,
		maxSockets: maxSockets,
		handler:    handler,
		onWake:     onWake,
	}
	return l, l.epollCtl(unix.EPOLL_CTL_ADD, wakeFD, unix.EPOLLIN, wakeTag, 0)
}

func (l *Loop) epollCtl(op, fd int, events uint32, tag, generation int32) error {
	return unix.EpollCtl(l.epollFD, op, fd, &unix.EpollEvent{Events: events, Fd: tag, Pad: generation})
}

// MaxSockets returns how many sockets may be open at once.
func (l *Loop) MaxSockets() int { return l.maxSockets }

// SetMaxSockets changes how many sockets may be open at once. Open sockets stay open, except those that are closing.
func (l *Loop) SetMaxSockets(maxSockets int) {
	for l.maxSockets = maxSockets; len(l.closing) > 0 && l.openSockets+len(l.closing) > maxSockets; {
		l.dropClosing(0)
	}
	l.updateListener(&l.clients, l.Room() > 0)
}

// Room returns how many more sockets may be opened.
func (l *Loop) Room() int { return l.maxSockets - l.openSockets }

// Wake interrupts a Wait. It may be called from another goroutine.
func (l *Loop) Wake() { unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0}) }

// Wait waits for events for at most us microseconds, or without a limit if us is negative. It returns earlier if a timer of
// the loop itself expires, and may return without events.
func (l *Loop) Wait(us int64) error {
	ms := -1
	if us >= 0 {
		ms = int(min((us+999)/1000, maxWaitMs))
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

// EventsFull reports whether the last Wait returned as many events as it can; more may have been ready.
func (l *Loop) EventsFull() bool { return l.eventCount == len(l.events) }

// Dispatch reports the events of the last Wait to the handler, after the failures that occurred since.
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
			// The comparison of the whole id protects a new socket from an event of the previous socket at its index.
			if s := l.lookup(uint64(uint32(e.Pad))<<32 | uint64(uint32(e.Fd))); s != nil && !s.unregistered {
				l.handleEvent(s, e.Events)
			}
		}
	}
	l.eventCount = 0
}

// reportFailure reports a failure to the handler. Bytes that the other side sent before are read first: if a host refuses a
// flow and closes, its answer counts, and not the failed write of the rest of the line.
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

// nextDeadline returns when the next timer of the loop itself expires, 0 if there is none.
func (l *Loop) nextDeadline() int64 {
	if len(l.closing) == 0 || l.acceptRetryAt > 0 && l.acceptRetryAt < l.closing[0].deadline {
		return l.acceptRetryAt
	}
	return l.closing[0].deadline
}

// runTimers listens again after descriptors ran out, and drops closing sockets whose other side did not close in time.
func (l *Loop) runTimers() {
	if l.acceptRetryAt > 0 && l.acceptRetryAt <= monotonicMicros() {
		l.acceptRetryAt = 0
		l.updateListener(&l.clients, l.Room() > 0)
	}
	for len(l.closing) > 0 && l.closing[0].deadline <= monotonicMicros() {
		l.dropClosing(0)
	}
}

func monotonicMicros() int64 {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano() / 1000
}
