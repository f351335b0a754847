package main

import (
	"log"

	"coursewinch/handover"
)

// serveSuccessor sends a successor the state of this process, and handles its messages until either process ends.
func (h *handoverManager) serveSuccessor(link *handover.Link) {
	defer link.Close()
	link.SetTimeout(stateTimeout)
	m, _, err := link.Receive()
	if err != nil || m.Hello == nil || m.Hello.Name != h.name || m.Hello.Listen != h.listen {
		return
	}
	successor := &peerProcess{h, link}
	var state *handover.State
	ok := false
	h.runInLoop(func() {
		if state, ok = h.node.BeginHandover(successor); ok {
			givenRoom := h.loop.Room() * 3 / 4
			h.loop.SetMaxSockets(h.loop.MaxSockets() - givenRoom)
			state.Room = max(givenRoom-h.reservedDescriptors, minKeptSockets)
			h.setMemoryShare(2)
		}
	})
	if !ok {
		link.SendBlocking(&handover.Message{Refused: "another successor process is taking over"})
		return
	}
	defer h.post(h.peerGone)
	if err := h.sendState(link, state); err != nil {
		log.Printf("msg=handover_failed why=%q", err)
		return
	}
	h.post(h.node.StateSent)
	link.SetTimeout(takeoverTimeout) // this process has given sockets away, and must not wait for a successor that hangs
	h.receiveFromSuccessor(successor)
}

// sendState sends the state in parts, the last one with the clients' listener.
func (h *handoverManager) sendState(link *handover.Link, state *handover.State) error {
	parts, err := state.Split()
	if err != nil {
		return err
	}
	for i, m := range parts {
		var fds []int
		if i == len(parts)-1 {
			fds = []int{h.loop.ListenerFD()}
		}
		if err := link.SendBlocking(m, fds...); err != nil {
			return err
		}
	}
	return nil
}

// receiveFromSuccessor handles the successor's messages until the link ends.
func (h *handoverManager) receiveFromSuccessor(successor *peerProcess) {
	link := successor.link
	for {
		m, fds, err := link.Receive()
		if err != nil {
			if isTimeout(err) {
				log.Printf("msg=handover_failed why=%q", err)
				successor.Send(&handover.Message{Refused: "the new process did not take over in time"})
			}
			return
		}
		closeAll(fds)
		switch {
		case m.Take:
			link.SetTimeout(0)
			h.post(h.yield)
		default:
			h.post(func() { h.applyUpdate(m) })
		}
	}
}

// yield stops accepting, and gives the successor the sockets that this process does not need any more.
func (h *handoverManager) yield() {
	h.loop.SetAccepting(false)
	room := max(h.loop.Room()-minKeptSockets, 0)
	h.loop.SetMaxSockets(h.loop.MaxSockets() - room)
	h.node.Yield(room)
}
