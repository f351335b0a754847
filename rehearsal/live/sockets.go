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

// gate takes the connections of one node to one host, or to discovery.
type gate struct {
	p    *player
	node int
	addr string
	l    net.Listener
}

func newGate(p *player, node int, ip string) (*gate, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	return &gate{p: p, node: node, addr: l.Addr().String(), l: l}, nil
}

// serve takes connections until the gate is closed.
func (g *gate) serve() {
	l := g.l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s := &sock{p: g.p, c: c.(*net.TCPConn), up: true}
			g.p.post(func() {
				s.conn = g.p.w.Dialed(g.node, g.addr, s)
				s.read()
			})
		}
	}()
}

func (g *gate) close() {
	if g.l != nil {
		g.l.Close()
		g.l = nil
	}
}

// Listening closes a dead host's gates, so that connects to it are refused, and opens them again.
func (p *player) Listening(host int, listening bool) {
	for n := range p.hosts {
		g := p.hosts[n][host]
		switch {
		case !listening:
			g.close()
		case g.l == nil:
			l, err := net.Listen("tcp", g.addr)
			if err != nil {
				p.fail(err)
				return
			}
			g.l = l
			g.serve()
		}
	}
}

// sock is one connection to a node. All but the queue belongs to the goroutine that plays the world.
type sock struct {
	p      *player
	conn   *fleet.Conn
	c      *net.TCPConn
	up     bool
	eof    bool // the node sends no more
	ended  bool // we send no more
	closed bool

	mu      sync.Mutex
	queue   []byte // what the socket didn't take at once
	writing bool   // a goroutine writes the queue
	shut    bool   // the sending ends once the queue is empty
}

// Arrive opens a client's connection.
func (p *player) Arrive(c *fleet.Conn) bool {
	s := &sock{p: p, conn: c}
	c.Ref = s
	addr := p.nodes[c.Node].addr
	go func() {
		d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: c.From.Addr().AsSlice()}}
		got, err := d.Dial("tcp", addr)
		p.post(func() {
			if err != nil {
				s.closed = true
				p.w.Broke(c)
				return
			}
			s.c = got.(*net.TCPConn)
			if s.closed {
				s.c.Close()
				return
			}
			s.mu.Lock()
			s.up = true
			s.flush()
			s.mu.Unlock()
			s.read()
		})
	}()
	return true
}

// read starts the goroutine that tells what the node sends.
func (s *sock) read() {
	p, c := s.p, s.c
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := c.Read(b)
			if n > 0 {
				p.post(func() { p.w.Wrote(s.conn, b[:n]) })
			}
			if err != nil {
				p.post(func() { s.over(err) })
				return
			}
		}
	}()
}

// over is that the node's side has ended.
func (s *sock) over(err error) {
	s.eof = true
	if !errors.Is(err, io.EOF) {
		s.p.w.Broke(s.conn)
		s.close()
		return
	}
	if s.ended {
		s.p.w.Closed(s.conn)
		s.close()
		return
	}
	s.p.w.Shut(s.conn)
}

func (s *sock) close() {
	if s.closed {
		return
	}
	s.closed = true
	if s.c != nil {
		s.c.Close()
	}
}

func (p *player) Up(*fleet.Conn) {}

func (p *player) Refused(c *fleet.Conn) { p.Broken(c) }

func (p *player) Bytes(c *fleet.Conn, b []byte) {
	s, ok := c.Ref.(*sock)
	if !ok || s.closed || s.ended {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, b...)
	s.flush()
}

// flush writes what the socket takes at once; a goroutine writes the rest. The caller holds the lock.
func (s *sock) flush() {
	if s.writing || !s.up {
		return
	}
	if len(s.queue) > 0 {
		raw, err := s.c.SyscallConn()
		if err != nil {
			s.queue = nil
			return
		}
		raw.Write(func(fd uintptr) bool {
			n, err := syscall.Write(int(fd), s.queue)
			if n > 0 {
				s.queue = s.queue[n:]
			} else if err != nil && err != syscall.EAGAIN && err != syscall.EINTR {
				s.queue = nil // the reader tells of it
			}
			return true
		})
	}
	switch {
	case len(s.queue) > 0:
		s.writing = true
		go s.write()
	case s.shut:
		s.c.CloseWrite()
	}
}

func (s *sock) write() {
	for {
		s.mu.Lock()
		b := s.queue
		s.queue = nil
		if len(b) == 0 {
			s.writing = false
			if s.shut {
				s.c.CloseWrite()
			}
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if _, err := s.c.Write(b); err != nil {
			s.mu.Lock()
			s.writing, s.queue = false, nil
			s.mu.Unlock()
			return
		}
	}
}

func (p *player) End(c *fleet.Conn) {
	s, ok := c.Ref.(*sock)
	if !ok || s.closed || s.ended {
		return // its client had left before its connection came
	}
	s.ended = true
	if s.eof {
		s.p.w.Closed(c)
		s.mu.Lock()
		waits := len(s.queue) > 0 || s.writing
		s.shut = true
		s.mu.Unlock()
		if !waits {
			s.close()
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut = true
	s.flush()
}

func (p *player) Broken(c *fleet.Conn) {
	s, ok := c.Ref.(*sock)
	if !ok {
		return
	}
	if s.c != nil && !s.closed {
		s.c.SetLinger(0)
	}
	s.close()
}
