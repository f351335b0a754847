package node

import (
	"log"

	"coursewinch/balance"
	"coursewinch/discovery"
	"coursewinch/handover"
)

// While a new version is rolled out, two processes serve one node. The predecessor hands its state and then its connections
// over to the successor, one connection at a time. docs/design/operations.md describes the sequence.

const (
	joinTimeout      = 1500 * ms // after this time a successor goes on with the list handed over
	handOverInterval = 10 * ms   // between two steps of handing connections over
	maxHandedPerStep = 64        // connections per step
)

// PeerProcess is the peer process of this node during a handover. Its methods must not block.
type PeerProcess interface {
	// Send sends a message, and returns false if that is not possible at the moment.
	Send(m *handover.Message) bool
	// HandOver hands connections over with a message about them. It returns false if that is not possible at the moment.
	HandOver(m *handover.Message, conns ...uint64) bool
	// TakeOver makes the successor accept the node's connections and tells the predecessor. It returns false, and changes
	// nothing, if the predecessor cannot be told at the moment.
	TakeOver() bool
}

// handoverState is the state of a handover between two processes of this node.
type handoverState struct {
	peer          PeerProcess
	isPredecessor bool  // the peer process is the successor
	joining       bool  // successor that has not taken over yet
	tookOverAt    int64 // when this successor took over
	refused       bool  // successor that the predecessor has given up on
	isSuccessor   bool  // this process started as a successor, so its first list is the one its predecessor used
	stateSent     bool  // predecessor that has sent its state
	yielded       bool  // predecessor whose successor has taken over
	inherited     *handover.State
	updates       peerUpdates
	timer         deadline
}

// canSend reports whether the peer process can be sent messages. A successor expects only the State until it has that.
func (s *handoverState) canSend() bool { return s.peer != nil && (!s.isPredecessor || s.stateSent) }

// balancerMemory is implemented by deciders whose knowledge can be handed over.
type balancerMemory interface {
	// Memory returns what the decider knows besides its servers.
	Memory() balance.Memory
	// ServerMemory returns what the decider knows of a server.
	ServerMemory(*balance.Server) balance.ServerMemory
	// Restore takes over the result of Memory from the predecessor.
	Restore(now int64, m balance.Memory)
	// RestoreServer takes over the result of ServerMemory from the predecessor.
	RestoreServer(*balance.Server, balance.ServerMemory)
}

// BeginHandover begins a handover to a successor process and returns the state to send to it. It returns false while
// another handover is in progress.
func (n *Node) BeginHandover(peer PeerProcess) (*handover.State, bool) {
	if n.handover.peer != nil {
		return nil, false
	}
	n.handover.peer = peer
	n.handover.isPredecessor = true
	n.handover.stateSent = false
	state := &handover.State{
		Command: n.newestCommand(),
		From:    n.listAddr,
		Hosts:   map[string]balance.ServerMemory{},
		List:    discovery.List{Rev: n.listRev, All: true},
		IDs:     n.recentIDs.newest(n.limits.IDs),
	}
	for _, h := range n.hostList {
		if h.State != balance.Removed {
			state.List.Entries = append(state.List.Entries, n.listEntry(h))
		}
	}
	if memory, ok := n.decider.(balancerMemory); ok {
		state.Types, state.Node = n.typeNames(), memory.Memory()
		for _, h := range n.hostList {
			state.Hosts[h.uid] = memory.ServerMemory(&h.Server)
		}
	}
	return state, true
}

// StateSent is called at the predecessor once the whole state has been sent.
func (n *Node) StateSent() {
	n.handover.stateSent = n.handover.peer != nil
	n.announceStop()
}

// announceStop tells a successor that has not taken over yet that this process is stopping.
func (n *Node) announceStop() {
	if state := &n.handover; state.stateSent && !state.yielded && n.stopAt > 0 {
		state.updates.leave = true
	}
}

// Yield is called at the predecessor when the successor accepts connections, with the number of descriptors that it gives up to
// the successor.
func (n *Node) Yield(room int) {
	state := &n.handover
	state.yielded = true
	state.updates.yield = &handover.Yield{Room: room}
	n.yieldLimits()
	log.Printf("msg=yielded flows=%d", n.flows.count)
	if n.stopAt > 0 {
		n.deadlines.set(&state.timer, n.now)
	}
}

// PeerProcessGone is called when the peer process or the link to it has ended. It reports whether this process has to
// accept connections from now on: a predecessor again, a successor for the first time.
func (n *Node) PeerProcessGone() (accept bool) {
	state := &n.handover
	accept = state.yielded || state.joining
	log.Printf("msg=other_process_gone yielded=%t joining=%t", state.yielded, state.joining)
	if state.yielded {
		n.resumeLimits()
	}
	n.deadlines.cancel(&state.timer)
	state.peer = nil
	state.joining = false
	state.stateSent = false
	state.yielded = false
	state.updates.clear(n)
	n.answerConfirmedCalls()
	return accept
}

// InheritState is called at a successor before Begin, with the state that its predecessor sent.
func (n *Node) InheritState(peer PeerProcess, state *handover.State) {
	n.handover.peer = peer
	n.handover.isPredecessor = false
	n.handover.inherited = state
	n.handover.joining = true
	n.handover.isSuccessor = true
}

// restoreState applies the state handed over, in the first loop iteration.
func (n *Node) restoreState() {
	state := n.handover.inherited
	n.handover.inherited = nil
	n.listRev, n.listAddr = state.List.Rev, state.From
	n.applyList(balance.ListRemembered, state.List)
	n.AddRequestIDs(state.IDs)
	if memory, ok := n.decider.(balancerMemory); ok {
		memory.Restore(n.now, state.Node.ForTypes(state.Types, n.typeNames()))
		for _, h := range n.hostList {
			if known, ok := state.Hosts[h.uid]; ok {
				memory.RestoreServer(&h.Server, known)
			}
		}
	}
	if state.Command.Number > 0 { // an operator's command holds beyond the process that received it
		n.ReceiveCommand(state.Command)
	}
	n.deadlines.set(&n.handover.timer, n.now+joinTimeout)
	log.Printf("msg=joining hosts=%d rev=%d ids=%d drained=%t", len(state.List.Entries), state.List.Rev, len(state.IDs),
		state.Command.Drained)
}

// PredecessorRefused is called at a successor when its predecessor has given up on it and goes on alone. This process ends, and
// can promise operators nothing for the node.
func (n *Node) PredecessorRefused() {
	n.handover.refused = true
	n.Stop()
}

// PredecessorStopping is called at a successor when its predecessor is stopping and waits for it to take over.
func (n *Node) PredecessorStopping() { n.finishJoining() }

// finishJoining makes a successor take over: from now on it accepts connections. A successor that was told to stop does not take
// over from a process that can go on.
func (n *Node) finishJoining() {
	state := &n.handover
	if !state.joining || n.stopAt > 0 {
		return
	}
	if !state.peer.TakeOver() { // it has ended or given up on this process, which the link tells next
		n.deadlines.set(&state.timer, n.now+updateRetryInterval)
		return
	}
	state.joining = false
	state.tookOverAt = n.now
	n.deadlines.cancel(&state.timer)
	log.Printf("msg=took_over hosts=%d rev=%d", len(n.hostList), n.listRev)
}

// AddRequestIDs adds request ids that clients gave to the peer process.
func (n *Node) AddRequestIDs(ids []uint64) {
	for _, id := range ids[max(len(ids)-n.limits.IDs, 0):] {
		n.recentIDs.add(id)
	}
}

// handoverDue handles the handover's timer: the end of joining at the successor, the next step of handing connections over
// at the predecessor.
func (n *Node) handoverDue() {
	if n.handover.joining {
		n.finishJoining()
		return
	}
	n.handOverStep()
}

// typeNames returns the names of the service types in the order of the settings.
func (n *Node) typeNames() []string {
	names := make([]string, len(n.settings.Types))
	for name, typeIndex := range n.settings.ServiceTypeIndex {
		names[typeIndex] = name
	}
	return names
}

// answersFront reports whether PING is answered PONG: while this process can serve, or while its successor has taken over
// and this process is not drained.
// A process that has been without a list for long answers PONG as well. It rejects the flows that it can't serve, whereas a
// front-end load balancer that found no node ready while discovery is down would have no node at all.
func (n *Node) answersFront() bool {
	return n.Ready() || n.handover.yielded && n.drainAt == 0 || n.state() == stateNoList && n.now >= n.startedAt+readyWithoutListAfter
}

// HandedOver reports whether the successor process accepts this node's connections.
func (n *Node) HandedOver() bool { return n.handover.yielded }
