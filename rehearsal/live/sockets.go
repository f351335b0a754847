package live

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"coursewinch/rehearsal/fleet"
)

// listener accepts the connections of one node to one host, or to discovery.
type listener struct {
	player *player
	node   int
	addr   string
	tcp    net.Listener
}

// newListener listens on a free port of an IP address.
func newListener(p *player, node int, ip string) (*listener, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	return &listener{player: p, node: node, addr: l.Addr().String(), tcp: l}, nil
}

// serve accepts connections until the listener is closed.
func (l *listener) serve() {
	tcp := l.tcp
	go func() {
		for {
			c, err := tcp.Accept()
			if err != nil {
				return
			}
			s := &socket{player: l.player, tcp: c.(*net.TCPConn), connected: true}
			l.player.post(func() {
				s.conn = l.player.world.Dial(l.node, l.addr, s)
				s.startReading()
			})
		}
	}()
}

// close closes the listener if it is open.
func (l *listener) close() {
	if l.tcp != nil {
		l.tcp.Close()
		l.tcp = nil
	}
}

// SetListening closes the listeners of a dead host, so that connects to it are refused, and opens them again.
func (p *player) SetListening(host int, listening bool) {
	for n := range p.hostListeners {
		l := p.hostListeners[n][host]
		switch {
		case !listening:
			l.close()
		case l.tcp == nil:
			tcp, err := net.Listen("tcp", l.addr)
			if err != nil {
				p.fail(err)
				return
			}
			l.tcp = tcp
			l.serve()
		}
	}
}

// socket is one connection to a node. The fields below the mutex, and connected, are guarded by it. The others belong
// to the goroutine that plays the world.
type socket struct {
	player     *player
	conn       *fleet.Conn
	tcp        *net.TCPConn
	connected  bool
	readClosed bool // the node has closed its sending side
	writeEnded bool // the world has closed its sending side
	closed     bool

	mu            sync.Mutex
	queue         []byte // not yet written
	writing       bool   // a goroutine writes the queue
	closeWhenSent bool   // close the sending side when the queue is empty
}

// Accept opens a client's connection.
func (p *player) Accept(c *fleet.Conn) bool {
	s := &socket{player: p, conn: c}
	c.PlayerState = s
	addr := p.nodes[c.Node].addr
	go func() {
		d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: c.ClientAddress.Addr().AsSlice()}}
		got, err := d.Dial("tcp", addr)
		p.post(func() {
			if err != nil {
				s.closed = true
				p.world.Reset(c)
				return
			}
			s.tcp = got.(*net.TCPConn)
			if s.closed {
				s.tcp.Close()
				return
			}
			s.mu.Lock()
			s.connected = true
			s.flush()
			s.mu.Unlock()
			s.startReading()
		})
	}()
	return true
}

// startReading starts the goroutine that reports what the node sends.
func (s *socket) startReading() {
	p, c := s.player, s.tcp
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := c.Read(b)
			if n > 0 {
				p.post(func() { p.world.Write(s.conn, b[:n]) })
			}
			if err != nil {
				p.post(func() { s.handleReadError(err) })
				return
			}
		}
	}()
}

// handleReadError handles the end of the node's side: a close or a broken connection.
func (s *socket) handleReadError(err error) {
	s.readClosed = true
	if !errors.Is(err, io.EOF) {
		s.player.world.Reset(s.conn)
		s.close()
		return
	}
	if s.writeEnded {
		s.player.world.Close(s.conn)
		s.close()
		return
	}
	s.player.world.CloseWrite(s.conn)
}

// close closes the connection.
func (s *socket) close() {
	if s.closed {
		return
	}
	s.closed = true
	if s.tcp != nil {
		s.tcp.Close()
	}
}

// Connected does nothing: the operating system has accepted the connection already.
func (p *player) Connected(*fleet.Conn) {}

// Refused resets a connection that the world refuses, since the operating system has accepted it already.
func (p *player) Refused(c *fleet.Conn) { p.Reset(c) }

// Receive sends bytes to the node.
func (p *player) Receive(c *fleet.Conn, b []byte) {
	s, ok := c.PlayerState.(*socket)
	if !ok || s.closed || s.writeEnded {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, b...)
	s.flush()
}

// flush writes what the operating system accepts at once, and starts a goroutine that writes the rest. The caller holds the
// lock.
func (s *socket) flush() {
	if s.writing || !s.connected {
		return
	}
	if len(s.queue) > 0 {
		raw, err := s.tcp.SyscallConn()
		if err != nil {
			s.queue = nil
			return
		}
		raw.Write(func(fd uintptr) bool {
			n, err := syscall.Write(int(fd), s.queue)
			if n > 0 {
				s.queue = s.queue[n:]
			} else if err != nil && err != syscall.EAGAIN && err != syscall.EINTR {
				s.queue = nil // the reader reports the error
			}
			return true
		})
	}
	switch {
	case len(s.queue) > 0:
		s.writing = true
		go s.writeQueue()
	case s.closeWhenSent:
		s.tcp.CloseWrite()
	}
}

// writeQueue writes the queue until it is empty.
func (s *socket) writeQueue() {
	for {
		s.mu.Lock()
		b := s.queue
		s.queue = nil
		if len(b) == 0 {
			s.writing = false
			if s.closeWhenSent {
				s.tcp.CloseWrite()
			}
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if _, err := s.tcp.Write(b); err != nil {
			s.mu.Lock()
			s.writing, s.queue = false, nil
			s.mu.Unlock()
			return
		}
	}
}

// PeerClosed closes the sending side of the world's side of a connection, and the connection if the node's side is
// closed too.
func (p *player) PeerClosed(c *fleet.Conn) {
	s, ok := c.PlayerState.(*socket)
	if !ok || s.closed || s.writeEnded {
		return // the client left before it was connected
	}
	s.writeEnded = true
	if s.readClosed {
		s.player.world.Close(c)
		s.mu.Lock()
		unsent := len(s.queue) > 0 || s.writing
		s.closeWhenSent = true
		s.mu.Unlock()
		if !unsent {
			s.close()
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeWhenSent = true
	s.flush()
}

// Reset resets a connection.
func (p *player) Reset(c *fleet.Conn) {
	s, ok := c.PlayerState.(*socket)
	if !ok {
		return
	}
	if s.tcp != nil && !s.closed {
		s.tcp.SetLinger(0)
	}
	s.close()
}
