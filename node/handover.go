package node

import (
	"container/list"
	"log"
	"net/netip"
	"slices"

	"coursewinch/admission"
	"coursewinch/balance"
	"coursewinch/capture"
	"coursewinch/discovery"
	"coursewinch/handover"
	"coursewinch/lines"
)

// Two processes are one node while a new version takes over: docs/design/operations.md has the sequence. The old one
// hands on what it holds, connection by connection; the new one takes it in as it would take what stood before.

const (
	joinTimeout         = 1500 * ms // after which a new process goes on with the list handed on
	handOverInterval    = 10 * ms
	maxHandedPerStep    = 64 // connections handed on a step
	maxLateIDs          = 2000
	maxDrainsPerMessage = 500 // hosts a message
)

// Other is the other process of this node, as the node reaches it. Nothing waits.
type Other interface {
	Tell(m *handover.Message)
	Give(m *handover.Message, conns ...uint64) bool // false: not now
	Take()                                          // new: connections come here from now on
}

// handoverState is what a node knows of its other process.
type handoverState struct {
	peer        Other
	joining     bool // new, and has not taken yet
	isSuccessor bool // new, or was: its list is the one that the process before went by
	stateSent   bool // old: the other has its state
	yielded     bool // old: the other has taken
	idsAtState  int  // ids before the state was told
	inherited   *handover.State
	timer       deadline
}

// balancerMemory is what the module can hand on.
type balancerMemory interface {
	Memory() balance.Memory
	MemoryOf(*balance.Server) balance.ServerMemory
	Recall(now int64, m balance.Memory)
	RecallOf(*balance.Server, balance.ServerMemory)
}

// Heir is told when a new process calls: it gets what this one knows. It is refused while another is at it.
func (n *Node) Heir(peer Other) (*handover.State, bool) {
	if n.handover.peer != nil {
		return nil, false
	}
	n.handover.peer, n.handover.idsAtState, n.handover.stateSent = peer, n.recentIDs.added, false
	state := &handover.State{Drained: n.drainAt > 0, From: n.listAddr, Hosts: map[string]balance.ServerMemory{},
		List: discovery.List{Rev: n.listRev, All: true}, IDs: n.recentIDs.newest(n.limits.IDs)}
	for _, h := range n.hostList {
		if h.State != balance.Removed {
			state.List.Entries = append(state.List.Entries, n.listEntry(h))
		}
	}
	if memory, ok := n.decider.(balancerMemory); ok {
		state.Types, state.Node = n.typeNames(), memory.Memory()
		for _, h := range n.hostList {
			state.Hosts[h.uid] = memory.MemoryOf(&h.Server)
		}
	}
	return state, true
}

// HeirKnows is told when the state has been sent.
func (n *Node) HeirKnows() {
	n.handover.stateSent = n.handover.peer != nil
	n.announceStop()
}

// announceStop tells a new process that this one has been told to end before it took.
func (n *Node) announceStop() {
	if state := &n.handover; state.stateSent && !state.yielded && n.stopAt > 0 {
		state.peer.Tell(&handover.Message{Leave: true})
	}
}

// listEntry is a host in discovery's form.
func (n *Node) listEntry(h *host) discovery.Entry {
	return discovery.Entry{UID: h.uid, Endpoint: h.addr, Zone: h.zoneName, Cell: h.Cell, Size: h.Size, BootMs: h.Started / ms,
		State: map[balance.State]string{balance.Up: "ready", balance.Draining: "draining", balance.Removed: "gone"}[h.State]}
}

// Yield is told when the new process takes connections. It gives the ids that came since it was told the state.
func (n *Node) Yield() []uint64 {
	state := &n.handover
	state.yielded = true
	n.yieldLimits()
	log.Printf("msg=yielded flows=%d", n.flows.count)
	if n.stopAt > 0 {
		n.deadlines.set(&state.timer, n.now)
	}
	return n.recentIDs.newest(min(n.recentIDs.added-state.idsAtState, maxLateIDs))
}

// OtherGone is told when the other process has ended, or its link has. It tells whether connections are to be taken
// here again, or for the first time.
func (n *Node) OtherGone() (take bool) {
	state := &n.handover
	take = state.yielded || state.joining
	log.Printf("msg=other_process_gone yielded=%t joining=%t", state.yielded, state.joining)
	n.deadlines.cancel(&state.timer)
	state.peer, state.joining, state.stateSent, state.yielded = nil, false, false, false
	return take
}

// Inherit is told before Begin what the old process knew.
func (n *Node) Inherit(peer Other, state *handover.State) {
	n.handover.peer, n.handover.inherited, n.handover.joining, n.handover.isSuccessor = peer, state, true, true
}

// restoreState takes in what was handed on, in the first turn.
func (n *Node) restoreState() {
	state := n.handover.inherited
	n.handover.inherited = nil
	n.listRev, n.listAddr = state.List.Rev, state.From
	n.applyList(balance.Remembered, state.List)
	n.TakeIDs(state.IDs)
	if memory, ok := n.decider.(balancerMemory); ok {
		memory.Recall(n.now, state.Node.By(state.Types, n.typeNames()))
		for _, h := range n.hostList {
			if known, ok := state.Hosts[h.uid]; ok {
				memory.RecallOf(&h.Server, known)
			}
		}
	}
	if state.Drained {
		n.Drain() // an operator's word outlives the process that heard it
	}
	n.deadlines.set(&n.handover.timer, n.now+joinTimeout)
	log.Printf("msg=joining hosts=%d rev=%d ids=%d drained=%t", len(state.List.Entries), state.List.Rev, len(state.IDs), state.Drained)
}

// OldLeaves is told when the old process ends and waits for this one to take.
func (n *Node) OldLeaves() { n.finishJoining() }

// finishJoining ends the joining: from now on this process takes connections.
func (n *Node) finishJoining() {
	state := &n.handover
	if !state.joining {
		return
	}
	state.joining = false
	n.deadlines.cancel(&state.timer)
	log.Printf("msg=took_over hosts=%d rev=%d", len(n.hostList), n.listRev)
	state.peer.Take()
}

// TakeIDs notes ids that clients gave to the old process.
func (n *Node) TakeIDs(ids []uint64) {
	for _, id := range ids[max(len(ids)-n.limits.IDs, 0):] {
		n.recentIDs.add(id)
	}
}

// handoverDue is called while something is due between the two: the end of joining, or the next step of handing on.
func (n *Node) handoverDue() {
	if n.handover.joining {
		n.finishJoining()
		return
	}
	n.handOverStep()
}

// announceDrains tells the other process which hosts take nothing new, so that it holds there as well.
func (n *Node) announceDrains(update discovery.List) {
	if n.handover.peer == nil {
		return
	}
	var uids []string
	for _, e := range update.Entries {
		if e.State == "draining" || e.State == "gone" && !n.settings.DrainsAlone { // else gone alone does not bind
			uids = append(uids, e.UID)
		}
	}
	for batch := range slices.Chunk(uids, maxDrainsPerMessage) {
		n.handover.peer.Tell(&handover.Message{Drains: batch})
	}
}

// HearDrains takes in which hosts the other process was told to be leaving. Its own list says when one is back.
func (n *Node) HearDrains(uids []string) {
	var update discovery.List
	for _, uid := range uids {
		if h := n.hosts[uid]; h != nil && h.State == balance.Up {
			entry := n.listEntry(h)
			entry.State = "draining"
			update.Entries = append(update.Entries, entry)
		}
	}
	if len(update.Entries) > 0 {
		n.applyList(balance.Remembered, update)
	}
}

// handOverStep hands on what can be: clients that have asked for nothing, and established flows whose bytes on their way are
// few. The rest follows at a later step, or is moved.
func (n *Node) handOverStep() {
	state := &n.handover
	if state.peer == nil || !state.yielded {
		return
	}
	budget := maxHandedPerStep
	for _, queue := range []*list.List{&n.pingedConns, &n.silentConns} {
		for e := queue.Front(); e != nil && budget > 0; {
			c := e.Value.(*conn)
			e = e.Next()
			if !c.inputEnded && n.handOverClient(c) {
				budget--
			}
		}
	}
	for _, entry := range n.flows.entries {
		if budget == 0 {
			break
		}
		if f := entry.value; f != nil && n.handOverFlow(f) {
			budget--
		}
	}
	n.deadlines.set(&state.timer, n.now+handOverInterval)
}

func bytesIn(r *lines.Ring) []byte { return append([]byte(nil), r.Peek(r.Len())...) }

func (n *Node) handOverClient(c *conn) bool {
	if max(c.in.Len(), c.out.Len()) > lines.RingSize {
		return false
	}
	message := &handover.Message{Client: &handover.Client{In: bytesIn(&c.in), Out: bytesIn(&c.out), Front: c.shedQueue == &n.pingedConns,
		Age: n.now - (c.timer.at - firstLineTimeout)}}
	if !n.handover.peer.Give(message, c.id) {
		return false
	}
	n.Count.HandedOn++
	n.close(c)
	return true
}

func (n *Node) handOverFlow(f *flow) bool {
	client, upstream := f.client, f.upstream
	if f.ended || f.stage != Established || client.inputEnded || upstream.inputEnded || f.lastWord != lines.Other ||
		max(client.in.Len(), client.out.Len(), upstream.in.Len(), upstream.out.Len()) > lines.RingSize {
		return false
	}
	message := &handover.Flow{Type: n.typeNames()[f.TypeNo], Key: f.Hash, Again: f.Again, Hint: f.Hint, Load: f.reportedLoad, Age: n.now - f.establishedAt,
		Host: n.listEntry(f.host), ClientIn: bytesIn(&client.in), ClientOut: bytesIn(&client.out), HostIn: bytesIn(&upstream.in),
		HostOut: bytesIn(&upstream.out), ClientMid: client.midLine, HostMid: upstream.midLine}
	if f.group != nil {
		message.Group, message.Grouped = f.group.Hash, true
	}
	if left := n.permitTimeLeft(f); left > 0 {
		message.Process, message.Left = n.config.Cluster.Process, left
	}
	if !n.handover.peer.Give(&handover.Message{Flow: message}, client.id, upstream.id) {
		return false
	}
	n.Count.HandedOn++
	f.record.setEnd(capture.Moved)
	n.close(client)
	n.close(upstream)
	n.endFlow(f, balance.Recalled)
	return true
}

// typeNames are the service types' names, in order.
func (n *Node) typeNames() []string {
	names := make([]string, len(n.settings.Types))
	for name, typeIndex := range n.settings.Names {
		names[typeIndex] = name
	}
	return names
}

// Adopted is a connection that was handed on, to be put into the loop.
type Adopted struct {
	ID      uint64
	In, Out *lines.Ring
}

// countHandedOver counts a connection that was handed on for its address. It is here, so none is refused: one that is over what
// its address may have goes uncounted.
func (n *Node) countHandedOver(c *conn, from netip.AddrPort) {
	if n.admissionGate == nil {
		return
	}
	if key := admission.Key(from.Addr()); n.admissionGate.Come(key, n.now, n.net.Room()-n.owedDescriptors()) == admission.Taken {
		c.gatePrefix = key
	}
}

// TakeClient takes in a client's connection that has asked for nothing yet.
func (n *Node) TakeClient(handed *handover.Client, from netip.AddrPort) Adopted {
	c := &conn{role: roleNew, up: true}
	c.timer.run = func() { n.firstLineTimedOut(c) }
	c.id = n.register(c)
	n.countHandedOver(c, from)
	c.in.Put(handed.In)
	c.out.Put(handed.Out)
	if handed.Front {
		n.setShedQueue(c, &n.pingedConns)
	} else {
		n.setShedQueue(c, &n.silentConns)
		n.deadlines.set(&c.timer, n.now+max(firstLineTimeout-handed.Age, 0))
	}
	n.Count.TakenOver++
	return Adopted{c.id, &c.in, &c.out}
}

// TakeFlow takes in an established flow.
func (n *Node) TakeFlow(handed *handover.Flow, from netip.AddrPort) (front, back Adopted) {
	typeIndex, known := n.settings.Names[handed.Type] // one that this file has no more is moved, as soon as its client can be told
	h := n.hosts[handed.Host.UID]
	if h == nil { // it has left the list and serves what it holds
		h = &host{uid: handed.Host.UID, addr: handed.Host.Endpoint, zoneName: handed.Host.Zone, Server: balance.Server{Name: handed.Host.UID,
			Hash: hash(handed.Host.UID), Size: max(handed.Host.Size, 0.001), State: balance.Removed, Zone: n.zoneNumber(handed.Host.Zone), Cell: handed.Host.Cell}}
		h.probeDeadline.run = func() {}
		n.hosts[h.uid] = h
		n.hostList = append(n.hostList, h)
	}
	client, upstream := &conn{role: roleClient, up: true, midLine: handed.ClientMid}, &conn{role: roleUpstream, up: true, midLine: handed.HostMid, host: h}
	f := &flow{client: client, upstream: upstream, host: h, stage: Established, establishedAt: n.now - handed.Age, connectAt: n.now - handed.Age, reportedLoad: handed.Load}
	f.movePending = !known
	f.Flow = balance.Flow{Type: &n.settings.Types[typeIndex], TypeNo: typeIndex, Worth: n.worth(typeIndex), Hash: handed.Key, Again: handed.Again, Hint: handed.Hint,
		Passed: n.settings.Passes, Deadline: n.now, Ref: f}
	f.timer.run = func() { n.flowTimedOut(f) }
	client.flow, upstream.flow = f, f
	client.id, upstream.id = n.register(client), n.register(upstream)
	client.receivedAt, client.sentAt = n.now, n.now
	if n.countHandedOver(client, from); client.gatePrefix.IsValid() {
		n.admissionGate.Stood(client.gatePrefix, n.now)
	}
	client.in.Put(handed.ClientIn)
	client.out.Put(handed.ClientOut)
	upstream.in.Put(handed.HostIn)
	upstream.out.Put(handed.HostOut)
	f.id = n.flows.add(f)
	if handed.Grouped && n.settings.Groups {
		f.joinGroup(n, handed.Group)
		f.group.established = true
	}
	h.flowCount++
	n.upstreamCount++
	n.establishedCount++
	n.Count.TakenOver++
	if n.limitsByAddress() {
		client.limitPrefix = admission.Key(from.Addr())
	}
	n.adoptPermits(f, handed.Process, handed.Left)
	n.decider.Opened(&f.Flow, &h.Server)
	if handed.Load > 0 {
		n.decider.Load(&f.Flow, handed.Load)
	}
	return Adopted{client.id, &client.in, &client.out}, Adopted{upstream.id, &upstream.in, &upstream.out}
}

// Resumed is told when a connection handed on is in the loop: what its rings hold goes on.
func (n *Node) Resumed(id uint64) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.recoverPanic(c)
	n.net.Touch(c.id)
	switch {
	case c.role == roleNew && c.in.Len() > 0:
		n.readFirstLine(c)
	case c.flow != nil && !c.flow.ended:
		n.relay(c.flow)
	}
}

// answersFront tells what PING gets: yes as long as this process can serve or the other one of this node has taken.
// A process that has had no list for long says yes as well: it turns away what it can't serve, and a front that waits for
// all of a fleet while discovery is down has none.
func (n *Node) answersFront() bool {
	return n.Ready() || n.handover.yielded && n.drainAt == 0 || n.state() == stateNoList && n.now >= n.startedAt+readyWithoutListAfter
}

// HandedOver tells whether the other process takes this node's connections.
func (n *Node) HandedOver() bool { return n.handover.yielded }

// Yielded tells whether another process has taken over what is new.
func (n *Node) Yielded() bool { return n.handover.yielded }
