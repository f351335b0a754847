package main

import (
	"errors"
	"fmt"
	"log"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"coursewinch/epoll"
	"coursewinch/handover"
	"coursewinch/node"
)

var errRefused = errors.New("refused")

// isNotRunning reports whether a call of the predecessor failed because there is none.
func isNotRunning(err error) bool {
	return errors.Is(err, unix.ENOENT) || errors.Is(err, unix.ECONNREFUSED)
}

// isTimeout reports whether the other process did not answer in time.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// callPredecessor requests the state and the clients' listener of the running process. It retries while that process
// refuses, and once if there was no answer in time: either process may have been held up.
func (h *handoverManager) callPredecessor() (*handover.Link, *handover.State, int, error) {
	timedOut := false
	for start := time.Now(); ; time.Sleep(refusedRetryInterval) {
		link, state, fd, err := h.callPredecessorOnce()
		switch {
		case isTimeout(err) && !timedOut:
			timedOut = true
		case errors.Is(err, errRefused) && time.Since(start) <= refusedRetryTime:
		default:
			return link, state, fd, err
		}
	}
}

// callPredecessorOnce makes one call to the running process.
func (h *handoverManager) callPredecessorOnce() (*handover.Link, *handover.State, int, error) {
	link, err := handover.Dial(h.socketPath, connectTimeout)
	if err != nil {
		return nil, nil, -1, err
	}
	state, fd, err := h.requestState(link)
	if err != nil {
		link.Close()
		return nil, nil, -1, err
	}
	return link, state, fd, nil
}

// requestState receives the predecessor's state in parts, and its clients' listener with the last one.
func (h *handoverManager) requestState(link *handover.Link) (*handover.State, int, error) {
	link.SetTimeout(stateTimeout)
	if err := link.SendBlocking(&handover.Message{Hello: &handover.Hello{Name: h.name, Listen: h.listen}}); err != nil {
		return nil, -1, err
	}
	var assembler handover.StateAssembler
	for {
		m, fds, err := link.Receive()
		switch {
		case err != nil:
			return nil, -1, err
		case m.Refused != "":
			return nil, -1, fmt.Errorf("%w: %s", errRefused, m.Refused)
		case m.State == nil:
			closeAll(fds)
			return nil, -1, errors.New("handover: the message has no state")
		}
		state, err := assembler.Add(m.State)
		if err != nil {
			closeAll(fds)
			return nil, -1, err
		}
		if state != nil {
			link.SetTimeout(0)
			return state, fds[0], nil
		}
	}
}

// inheritFrom passes the predecessor's state to the node, and handles the predecessor's messages until it ends.
func (h *handoverManager) inheritFrom(link *handover.Link, state *handover.State) {
	predecessor := &peerProcess{h, link}
	h.loop.SetMaxSockets(state.Room)
	h.setMemoryShare(2)
	h.node.InheritState(predecessor, state)
	h.post(h.reload) // the file may have changed, and its change been told to the predecessor, since this process read it
	go func() {
		defer link.Close()
		for {
			m, fds, err := link.Receive()
			if err != nil {
				break
			}
			h.post(func() { h.handleMessage(m, fds) })
		}
		h.post(h.peerGone)
	}()
}

// handleMessage handles one message of the predecessor with the sockets that came with it.
func (h *handoverManager) handleMessage(m *handover.Message, fds []int) {
	h.loop.SetMaxSockets(h.loop.MaxSockets() + len(fds))
	switch {
	case m.Yield != nil:
		h.loop.SetMaxSockets(h.loop.MaxSockets() + m.Yield.Room)
		h.listenForSuccessor()
	case m.Refused != "":
		h.endRefused(m.Refused)
	case m.Leave:
		h.node.PredecessorStopping()
	case m.Client != nil:
		h.addAdopted(h.node.AdoptClient(m.Client, epoll.PeerAddress(fds[0])), fds[0])
	case m.Flow != nil:
		client, link := h.node.AdoptFlow(m.Flow, epoll.PeerAddress(fds[0]))
		h.loop.AddConnected(client.ID, fds[0], client.In, client.Out)
		h.loop.AddConnected(link.ID, fds[1], link.In, link.Out)
		h.node.ResumeAdopted(client.ID)
	default:
		closeAll(fds)
		h.applyUpdate(m)
	}
}

// endRefused ends this process, because its predecessor does not wait for it any more and goes on serving. It must not go on as
// a second process of the node that the first one knows nothing of.
func (h *handoverManager) endRefused(reason string) {
	log.Printf("msg=handover_failed why=%q", reason)
	h.refused = fmt.Errorf("handover: %w: %s", errRefused, reason)
	h.loop.SetAccepting(false)
	h.node.PredecessorRefused()
}

// addAdopted adds the socket of an adopted client connection, and resumes it.
func (h *handoverManager) addAdopted(adopted node.Adopted, fd int) {
	h.loop.AddConnected(adopted.ID, fd, adopted.In, adopted.Out)
	h.node.ResumeAdopted(adopted.ID)
}
