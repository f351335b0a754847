package main

import (
	"errors"
	"fmt"
	"log"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"coursewinch/epoll"
	"coursewinch/handover"
	"coursewinch/node"
)

const (
	helloTime   = time.Second // for each message until the new process knows all
	callTime    = 300 * time.Millisecond
	takeTime    = 3 * time.Second // a new process joins for half of that
	refusedTime = 4 * time.Second // another new version may be at it
	refusedStep = 100 * time.Millisecond
	keepsRoom   = 32 // descriptors that the old process keeps once it takes no more
)

// succession is the link between two processes of this node, as far as it needs sockets. What it hears is carried out in
// the loop.
type succession struct {
	path, name, listen string
	n                  *node.Node
	loop               *epoll.Loop
	most               int   // sockets of this process when it is the only one
	apart              int   // its other descriptors
	memory             int64 // bytes of the node; 0 for no limit
	calls              chan func()
	l                  *handover.Listener
}

// do runs something in the loop and waits for it.
func (s *succession) do(f func()) {
	done := make(chan bool)
	s.post(func() {
		defer close(done)
		f()
	})
	<-done
}

func (s *succession) post(f func()) {
	s.calls <- f
	s.loop.Wake()
}

// woken carries out what was posted, within a turn.
func (s *succession) woken() {
	for {
		select {
		case f := <-s.calls:
			f()
		default:
			return
		}
	}
}

// share sets the memory for one process of so many.
func (s *succession) share(processes int64) {
	if s.memory > 0 {
		debug.SetMemoryLimit(s.memory * 3 / 4 / processes)
	}
}

// own takes the socket's name, where the next new version calls.
func (s *succession) own() {
	if s.l != nil {
		s.l.Close()
	}
	l, err := handover.Listen(s.path)
	if err != nil {
		log.Printf("msg=handover_off why=%q", err)
		return
	}
	s.l = l
	go func() {
		for {
			link, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(link)
		}
	}()
}

// other is the other process behind its link.
type other struct {
	s    *succession
	link *handover.Link
}

func (o *other) Tell(m *handover.Message) { o.link.Send(m) }

func (o *other) Give(m *handover.Message, conns ...uint64) bool {
	fds := make([]int, len(conns))
	for i, id := range conns {
		if fds[i] = o.s.loop.FD(id); fds[i] < 0 {
			return false
		}
	}
	if o.link.Send(m, fds...) != nil {
		return false
	}
	for _, id := range conns {
		o.s.loop.Unregister(id)
	}
	o.s.loop.SetMaxSockets(o.s.loop.MaxSockets() - len(fds)) // the right to hold them goes along
	return true
}

// Take is called in the new process once it takes connections.
func (o *other) Take() {
	o.s.loop.SetAccepting(true)
	o.Tell(&handover.Message{Take: true})
	o.s.own()
}

// serve tells a new process what this one knows and hears it until either ends.
func (s *succession) serve(link *handover.Link) {
	defer link.Close()
	link.Within(helloTime)
	m, _, err := link.Receive()
	if err != nil || m.Hello == nil || m.Hello.Name != s.name || m.Hello.Listen != s.listen {
		return
	}
	o := &other{s, link}
	var state *handover.State
	ok := false
	s.do(func() {
		if state, ok = s.n.Heir(o); ok {
			give := s.loop.Room() * 3 / 4
			s.loop.SetMaxSockets(s.loop.MaxSockets() - give)
			state.Room = max(give-s.apart, keepsRoom)
			s.share(2)
		}
	})
	if !ok {
		link.SendWait(&handover.Message{Refused: "another new version is at it"})
		return
	}
	defer s.post(func() {
		s.loop.SetMaxSockets(s.most)
		s.share(1)
		if s.n.OtherGone() {
			s.loop.SetAccepting(true)
			s.own()
		}
	})
	parts, err := state.Parts()
	if err != nil {
		log.Printf("msg=handover_failed why=%q", err)
		return
	}
	for i, m := range parts {
		var fds []int
		if i == len(parts)-1 {
			fds = []int{s.loop.ListenerFD()}
		}
		if err := link.SendWait(m, fds...); err != nil {
			log.Printf("msg=handover_failed why=%q", err)
			return
		}
	}
	s.post(s.n.HeirKnows)
	link.Within(takeTime) // guards this process, which has given room away, against one that hangs
	for {
		m, fds, err := link.Receive()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				log.Printf("msg=handover_failed why=%q", err)
			}
			return
		}
		closeAll(fds)
		switch {
		case m.Take:
			link.Within(0)
			s.post(func() {
				s.loop.SetAccepting(false)
				room := max(s.loop.Room()-keepsRoom, 0)
				s.loop.SetMaxSockets(s.loop.MaxSockets() - room)
				o.Tell(&handover.Message{Yield: &handover.Yield{Room: room, IDs: s.n.Yield()}})
			})
		case m.Drains != nil:
			s.post(func() { s.n.HearDrains(m.Drains) })
		}
	}
}

func closeAll(fds []int) {
	for _, fd := range fds {
		unix.Close(fd)
	}
}

var errRefused = errors.New("refused")

// call asks the process that runs for what it knows and its listener.
func (s *succession) call() (*handover.Link, *handover.State, int, error) {
	for from := time.Now(); ; time.Sleep(refusedStep) {
		link, err := handover.Dial(s.path, callTime)
		if err != nil {
			return nil, nil, -1, err
		}
		state, fd, err := s.ask(link)
		if err == nil {
			return link, state, fd, nil
		}
		link.Close()
		if !errors.Is(err, errRefused) || time.Since(from) > refusedTime {
			return nil, nil, -1, err
		}
	}
}

func (s *succession) ask(link *handover.Link) (*handover.State, int, error) {
	link.Within(helloTime)
	if err := link.SendWait(&handover.Message{Hello: &handover.Hello{Name: s.name, Listen: s.listen}}); err != nil {
		return nil, -1, err
	}
	var parts handover.Assembly
	for {
		m, fds, err := link.Receive()
		switch {
		case err != nil:
			return nil, -1, err
		case m.Refused != "":
			return nil, -1, fmt.Errorf("%w: %s", errRefused, m.Refused)
		case m.State == nil:
			closeAll(fds)
			return nil, -1, errors.New("no state came")
		}
		state, err := parts.Add(m.State)
		if err != nil {
			closeAll(fds)
			return nil, -1, err
		}
		if state != nil {
			link.Within(0)
			return state, fds[0], nil
		}
	}
}

// inherit tells the node what came, and hears the old process until it ends.
func (s *succession) inherit(link *handover.Link, state *handover.State) {
	o := &other{s, link}
	s.loop.SetMaxSockets(state.Room)
	s.share(2)
	s.n.Inherit(o, state)
	go func() {
		defer link.Close()
		for {
			m, fds, err := link.Receive()
			if err != nil {
				break
			}
			s.post(func() { s.heard(m, fds) })
		}
		s.post(func() {
			s.loop.SetMaxSockets(s.most)
			s.share(1)
			if s.n.OtherGone() {
				s.loop.SetAccepting(true)
				s.own()
			}
		})
	}()
}

func (s *succession) heard(m *handover.Message, fds []int) {
	s.loop.SetMaxSockets(s.loop.MaxSockets() + len(fds))
	switch {
	case m.Yield != nil:
		s.loop.SetMaxSockets(s.loop.MaxSockets() + m.Yield.Room)
		s.n.TakeIDs(m.Yield.IDs)
	case m.Leave:
		s.n.OldLeaves()
	case m.Drains != nil:
		s.n.HearDrains(m.Drains)
	case m.Client != nil:
		s.put(s.n.TakeClient(m.Client, epoll.PeerAddress(fds[0])), fds[0])
	case m.Flow != nil:
		client, link := s.n.TakeFlow(m.Flow, epoll.PeerAddress(fds[0]))
		s.loop.AddConnected(client.ID, fds[0], client.In, client.Out)
		s.loop.AddConnected(link.ID, fds[1], link.In, link.Out)
		s.n.Resumed(client.ID)
	default:
		closeAll(fds)
	}
}

func (s *succession) put(a node.Adopted, fd int) {
	s.loop.AddConnected(a.ID, fd, a.In, a.Out)
	s.n.Resumed(a.ID)
}

// begin opens the clients' listener: the one of the process that runs, if it hands it over, else one of its own.
func (s *succession) begin() (netip.AddrPort, error) {
	folder := os.Getenv("TMPDIR")
	if folder == "" {
		log.Print(`msg=handover_off why="TMPDIR is not set"`)
		return s.loop.Listen(s.listen, true)
	}
	s.path = handover.Path(folder, s.name, s.listen)
	link, state, fd, err := s.call()
	if err == nil {
		at := netip.AddrPort{}
		if at, err = s.loop.AdoptListener(fd); err == nil {
			s.inherit(link, state)
			return at, nil
		}
		link.Close()
		unix.Close(fd)
	}
	if !errors.Is(err, unix.ENOENT) && !errors.Is(err, unix.ECONNREFUSED) {
		log.Printf("msg=handover_failed why=%q", err)
	}
	at, err := s.loop.Listen(s.listen, true)
	if err == nil {
		s.own()
	}
	return at, err
}
