package main

import (
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
	connectTimeout       = 300 * time.Millisecond // to the predecessor's socket
	stateTimeout         = time.Second            // for each message, until the successor has the whole state
	takeoverTimeout      = 3 * time.Second        // until the successor accepts; it joins for half of this time
	refusedRetryTime     = 4 * time.Second        // another successor may be joining
	refusedRetryInterval = 100 * time.Millisecond
	minKeptSockets       = 32 // that the predecessor keeps after it stops accepting
	postedCalls          = 64 // functions posted to the loop that may wait
)

// handoverManager connects this process to the peer process of its node while a version is rolled, and moves sockets
// between them. Its goroutines receive messages; what the messages ask for runs in the event loop.
type handoverManager struct {
	socketPath, name, listen string
	node                     *node.Node
	loop                     *epoll.Loop
	maxSockets               int    // when this is the node's only process
	reservedDescriptors      int    // descriptors besides the loop's sockets
	memoryLimit              int64  // bytes for the whole node; 0 for no limit
	reload                   func() // reads the configuration file again
	posted                   chan func()
	listener                 *handover.Listener
	refused                  error // the predecessor has gone on without this process
}

// runInLoop runs f in the event loop and waits until it returns.
func (h *handoverManager) runInLoop(f func()) {
	done := make(chan bool)
	h.post(func() {
		defer close(done)
		f()
	})
	<-done
}

// post lets the event loop run f in its next iteration.
func (h *handoverManager) post(f func()) {
	h.posted <- f
	h.loop.Wake()
}

// runPosted runs the posted functions. It is called in the event loop.
func (h *handoverManager) runPosted() {
	for {
		select {
		case f := <-h.posted:
			f()
		default:
			return
		}
	}
}

// setMemoryShare sets the memory limit of this process to its part of the node's limit: three quarters of that, divided by
// the number of the node's processes.
func (h *handoverManager) setMemoryShare(processes int64) {
	if h.memoryLimit > 0 {
		debug.SetMemoryLimit(h.memoryLimit * 3 / 4 / processes)
	}
}

// listenForSuccessor binds the node's socket path, where the next version connects.
func (h *handoverManager) listenForSuccessor() {
	if h.listener != nil {
		h.listener.Close()
	}
	l, err := handover.Listen(h.socketPath)
	if err != nil {
		log.Printf("msg=handover_off why=%q", err)
		return
	}
	h.listener = l
	go func() {
		for {
			link, err := l.Accept()
			if err != nil {
				return
			}
			go h.serveSuccessor(link)
		}
	}()
}

// peerGone restores the limits of a single process after the peer process or its link has ended. If the peer process
// was the one that accepted connections, this process accepts them now. It listens for a successor, if it does not yet.
func (h *handoverManager) peerGone() {
	h.loop.SetMaxSockets(h.maxSockets)
	h.setMemoryShare(1)
	accept := h.node.PeerProcessGone()
	if h.refused != nil {
		return
	}
	if accept {
		h.loop.SetAccepting(true)
	}
	if accept || h.listener == nil {
		h.listenForSuccessor()
	}
}

// openListener opens the clients' listener. If another process of this node is running and hands its listener over, this
// process also inherits its state and limits. Otherwise the listener is a new one. With a new one, this process listens for a
// successor at once; after a handover it does so when the predecessor has yielded or ended.
func (h *handoverManager) openListener() (netip.AddrPort, error) {
	folder := os.Getenv("TMPDIR")
	if folder == "" {
		log.Print(`msg=handover_off why="TMPDIR is not set"`)
		return h.loop.Listen(h.listen, true)
	}
	h.socketPath = handover.SocketPath(folder, h.name, h.listen)
	link, state, fd, err := h.callPredecessor()
	if err == nil {
		address := netip.AddrPort{}
		if address, err = h.loop.AdoptListener(fd); err == nil {
			h.inheritFrom(link, state)
			return address, nil
		}
		link.Close()
		unix.Close(fd)
	}
	if !isNotRunning(err) {
		log.Printf("msg=handover_failed why=%q", err)
	}
	address, err := h.loop.Listen(h.listen, true)
	if err == nil {
		h.listenForSuccessor()
	}
	return address, err
}

// peerProcess is the peer process at the other end of a link.
type peerProcess struct {
	manager *handoverManager
	link    *handover.Link
}

// Send sends a message without waiting. It returns false if that is not possible now.
func (p *peerProcess) Send(m *handover.Message) bool { return p.link.Send(m) == nil }

// HandOver sends a message with the sockets of connections, which the peer process owns from then on. It returns false
// if they cannot be sent now.
func (p *peerProcess) HandOver(m *handover.Message, conns ...uint64) bool {
	loop := p.manager.loop
	fds := make([]int, len(conns))
	for i, id := range conns {
		if fds[i] = loop.FD(id); fds[i] < 0 {
			return false
		}
	}
	if p.link.Send(m, fds...) != nil {
		return false
	}
	for _, id := range conns {
		loop.Unregister(id)
	}
	loop.SetMaxSockets(loop.MaxSockets() - len(fds)) // the peer process may hold as many more
	return true
}

// TakeOver makes the successor accept connections, unless the predecessor cannot be told.
func (p *peerProcess) TakeOver() bool {
	if !p.Send(&handover.Message{Take: true}) {
		return false
	}
	p.manager.loop.SetAccepting(true)
	return true
}

func closeAll(fds []int) {
	for _, fd := range fds {
		unix.Close(fd)
	}
}

// applyUpdate handles a message that either process may send.
func (h *handoverManager) applyUpdate(m *handover.Message) {
	switch {
	case m.Command != nil:
		h.node.ReceiveCommand(*m.Command)
	case m.Confirmed != 0:
		h.node.CommandConfirmed(m.Confirmed)
	case m.Reload:
		h.reload()
	case m.IDs != nil:
		h.node.AddRequestIDs(m.IDs)
	case m.Drains != nil:
		h.node.ApplyPeerDrains(*m.Drains)
	}
}
