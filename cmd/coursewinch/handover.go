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
	stateTimeout         = time.Second // for each message until the new process knows all
	connectTimeout       = 300 * time.Millisecond
	takeoverTimeout      = 3 * time.Second // a new process joins for half of that
	refusedRetryTime     = 4 * time.Second // another new version may be at it
	refusedRetryInterval = 100 * time.Millisecond
	minKeptSockets       = 32 // descriptors that the old process keeps once it takes no more
)

// handoverManager is the link between two processes of this node, as far as it needs sockets. What it hears is carried out in
// the loop.
type handoverManager struct {
	socketPath, name, listen string
	node                     *node.Node
	loop                     *epoll.Loop
	maxSockets               int   // sockets of this process when it is the only one
	reservedDescriptors      int   // its other descriptors
	memoryLimit              int64 // bytes of the node; 0 for no limit
	posted                   chan func()
	listener                 *handover.Listener
}

// runInLoop runs something in the loop and waits for it.
func (s *handoverManager) runInLoop(f func()) {
	done := make(chan bool)
	s.post(func() {
		defer close(done)
		f()
	})
	<-done
}

func (s *handoverManager) post(f func()) {
	s.posted <- f
	s.loop.Wake()
}

// runPosted carries out what was posted, within a turn.
func (s *handoverManager) runPosted() {
	for {
		select {
		case f := <-s.posted:
			f()
		default:
			return
		}
	}
}

// setMemoryShare sets the memory for one process of so many.
func (s *handoverManager) setMemoryShare(processes int64) {
	if s.memoryLimit > 0 {
		debug.SetMemoryLimit(s.memoryLimit * 3 / 4 / processes)
	}
}

// listenForSuccessor takes the socket's name, where the next new version calls.
func (s *handoverManager) listenForSuccessor() {
	if s.listener != nil {
		s.listener.Close()
	}
	l, err := handover.Listen(s.socketPath)
	if err != nil {
		log.Printf("msg=handover_off why=%q", err)
		return
	}
	s.listener = l
	go func() {
		for {
			link, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveSuccessor(link)
		}
	}()
}

// other is the other process behind its link.
type other struct {
	manager *handoverManager
	link    *handover.Link
}

func (o *other) Tell(m *handover.Message) { o.link.Send(m) }

func (o *other) Give(m *handover.Message, conns ...uint64) bool {
	fds := make([]int, len(conns))
	for i, id := range conns {
		if fds[i] = o.manager.loop.FD(id); fds[i] < 0 {
			return false
		}
	}
	if o.link.Send(m, fds...) != nil {
		return false
	}
	for _, id := range conns {
		o.manager.loop.Unregister(id)
	}
	o.manager.loop.SetMaxSockets(o.manager.loop.MaxSockets() - len(fds)) // the right to hold them goes along
	return true
}

// Take is called in the new process once it takes connections.
func (o *other) Take() {
	o.manager.loop.SetAccepting(true)
	o.Tell(&handover.Message{Take: true})
	o.manager.listenForSuccessor()
}

// serveSuccessor tells a new process what this one knows and hears it until either ends.
func (s *handoverManager) serveSuccessor(link *handover.Link) {
	defer link.Close()
	link.Within(stateTimeout)
	m, _, err := link.Receive()
	if err != nil || m.Hello == nil || m.Hello.Name != s.name || m.Hello.Listen != s.listen {
		return
	}
	successor := &other{s, link}
	var state *handover.State
	ok := false
	s.runInLoop(func() {
		if state, ok = s.node.Heir(successor); ok {
			givenRoom := s.loop.Room() * 3 / 4
			s.loop.SetMaxSockets(s.loop.MaxSockets() - givenRoom)
			state.Room = max(givenRoom-s.reservedDescriptors, minKeptSockets)
			s.setMemoryShare(2)
		}
	})
	if !ok {
		link.SendWait(&handover.Message{Refused: "another new version is at it"})
		return
	}
	defer s.post(func() {
		s.loop.SetMaxSockets(s.maxSockets)
		s.setMemoryShare(1)
		if s.node.OtherGone() {
			s.loop.SetAccepting(true)
			s.listenForSuccessor()
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
	s.post(s.node.HeirKnows)
	link.Within(takeoverTimeout) // guards this process, which has given room away, against one that hangs
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
				room := max(s.loop.Room()-minKeptSockets, 0)
				s.loop.SetMaxSockets(s.loop.MaxSockets() - room)
				successor.Tell(&handover.Message{Yield: &handover.Yield{Room: room, IDs: s.node.Yield()}})
			})
		case m.Drains != nil:
			s.post(func() { s.node.HearDrains(m.Drains) })
		}
	}
}

func closeAll(fds []int) {
	for _, fd := range fds {
		unix.Close(fd)
	}
}

var errRefused = errors.New("refused")

// callPredecessor asks the process that runs for what it knows and its listener.
func (s *handoverManager) callPredecessor() (*handover.Link, *handover.State, int, error) {
	for from := time.Now(); ; time.Sleep(refusedRetryInterval) {
		link, err := handover.Dial(s.socketPath, connectTimeout)
		if err != nil {
			return nil, nil, -1, err
		}
		state, fd, err := s.requestState(link)
		if err == nil {
			return link, state, fd, nil
		}
		link.Close()
		if !errors.Is(err, errRefused) || time.Since(from) > refusedRetryTime {
			return nil, nil, -1, err
		}
	}
}

func (s *handoverManager) requestState(link *handover.Link) (*handover.State, int, error) {
	link.Within(stateTimeout)
	if err := link.SendWait(&handover.Message{Hello: &handover.Hello{Name: s.name, Listen: s.listen}}); err != nil {
		return nil, -1, err
	}
	var assembler handover.Assembly
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
		state, err := assembler.Add(m.State)
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

// inheritFrom tells the node what came, and hears the old process until it ends.
func (s *handoverManager) inheritFrom(link *handover.Link, state *handover.State) {
	predecessor := &other{s, link}
	s.loop.SetMaxSockets(state.Room)
	s.setMemoryShare(2)
	s.node.Inherit(predecessor, state)
	go func() {
		defer link.Close()
		for {
			m, fds, err := link.Receive()
			if err != nil {
				break
			}
			s.post(func() { s.handleMessage(m, fds) })
		}
		s.post(func() {
			s.loop.SetMaxSockets(s.maxSockets)
			s.setMemoryShare(1)
			if s.node.OtherGone() {
				s.loop.SetAccepting(true)
				s.listenForSuccessor()
			}
		})
	}()
}

func (s *handoverManager) handleMessage(m *handover.Message, fds []int) {
	s.loop.SetMaxSockets(s.loop.MaxSockets() + len(fds))
	switch {
	case m.Yield != nil:
		s.loop.SetMaxSockets(s.loop.MaxSockets() + m.Yield.Room)
		s.node.TakeIDs(m.Yield.IDs)
	case m.Leave:
		s.node.OldLeaves()
	case m.Drains != nil:
		s.node.HearDrains(m.Drains)
	case m.Client != nil:
		s.addAdopted(s.node.TakeClient(m.Client, epoll.PeerAddress(fds[0])), fds[0])
	case m.Flow != nil:
		client, link := s.node.TakeFlow(m.Flow, epoll.PeerAddress(fds[0]))
		s.loop.AddConnected(client.ID, fds[0], client.In, client.Out)
		s.loop.AddConnected(link.ID, fds[1], link.In, link.Out)
		s.node.Resumed(client.ID)
	default:
		closeAll(fds)
	}
}

func (s *handoverManager) addAdopted(adopted node.Adopted, fd int) {
	s.loop.AddConnected(adopted.ID, fd, adopted.In, adopted.Out)
	s.node.Resumed(adopted.ID)
}

// openListener opens the clients' listener: the one of the process that runs, if it hands it over, else one of its own.
func (s *handoverManager) openListener() (netip.AddrPort, error) {
	folder := os.Getenv("TMPDIR")
	if folder == "" {
		log.Print(`msg=handover_off why="TMPDIR is not set"`)
		return s.loop.Listen(s.listen, true)
	}
	s.socketPath = handover.Path(folder, s.name, s.listen)
	link, state, fd, err := s.callPredecessor()
	if err == nil {
		at := netip.AddrPort{}
		if at, err = s.loop.AdoptListener(fd); err == nil {
			s.inheritFrom(link, state)
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
		s.listenForSuccessor()
	}
	return at, err
}
