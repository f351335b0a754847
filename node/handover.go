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
func (n *Node) Heir(o Other) (*handover.State, bool) {
	if n.handover.peer != nil {
		return nil, false
	}
	n.handover.peer, n.handover.idsAtState, n.handover.stateSent = o, n.recentIDs.added, false
	s := &handover.State{Drained: n.drainAt > 0, From: n.listAddr, Hosts: map[string]balance.ServerMemory{},
		List: discovery.List{Rev: n.listRev, All: true}, IDs: n.recentIDs.newest(n.limits.IDs)}
	for _, h := range n.hostList {
		if h.State != balance.Removed {
			s.List.Entries = append(s.List.Entries, n.listEntry(h))
		}
	}
	if m, ok := n.decider.(balancerMemory); ok {
		s.Types, s.Node = n.typeNames(), m.Memory()
		for _, h := range n.hostList {
			s.Hosts[h.uid] = m.MemoryOf(&h.Server)
		}
	}
	return s, true
}

// HeirKnows is told when the state has been sent.
func (n *Node) HeirKnows() {
	n.handover.stateSent = n.handover.peer != nil
	n.announceStop()
}

// announceStop tells a new process that this one has been told to end before it took.
func (n *Node) announceStop() {
	if t := &n.handover; t.stateSent && !t.yielded && n.stopAt > 0 {
		t.peer.Tell(&handover.Message{Leave: true})
	}
}

// listEntry is a host in discovery's form.
func (n *Node) listEntry(h *host) discovery.Entry {
	return discovery.Entry{UID: h.uid, Endpoint: h.addr, Zone: h.zoneName, Cell: h.Cell, Size: h.Size, BootMs: h.Started / ms,
		State: map[balance.State]string{balance.Up: "ready", balance.Draining: "draining", balance.Removed: "gone"}[h.State]}
}

// Yield is told when the new process takes connections. It gives the ids that came since it was told the state.
func (n *Node) Yield() []uint64 {
	t := &n.handover
	t.yielded = true
	n.yieldLimits()
	log.Printf("msg=yielded flows=%d", n.flows.count)
	if n.stopAt > 0 {
		n.deadlines.set(&t.timer, n.now)
	}
	return n.recentIDs.newest(min(n.recentIDs.added-t.idsAtState, maxLateIDs))
}

// OtherGone is told when the other process has ended, or its link has. It tells whether connections are to be taken
// here again, or for the first time.
func (n *Node) OtherGone() (take bool) {
	t := &n.handover
	take = t.yielded || t.joining
	log.Printf("msg=other_process_gone yielded=%t joining=%t", t.yielded, t.joining)
	n.deadlines.cancel(&t.timer)
	t.peer, t.joining, t.stateSent, t.yielded = nil, false, false, false
	return take
}

// Inherit is told before Begin what the old process knew.
func (n *Node) Inherit(o Other, s *handover.State) {
	n.handover.peer, n.handover.inherited, n.handover.joining, n.handover.isSuccessor = o, s, true, true
}

// restoreState takes in what was handed on, in the first turn.
func (n *Node) restoreState() {
	s := n.handover.inherited
	n.handover.inherited = nil
	n.listRev, n.listAddr = s.List.Rev, s.From
	n.applyList(balance.Remembered, s.List)
	n.TakeIDs(s.IDs)
	if m, ok := n.decider.(balancerMemory); ok {
		m.Recall(n.now, s.Node.By(s.Types, n.typeNames()))
		for _, h := range n.hostList {
			if was, ok := s.Hosts[h.uid]; ok {
				m.RecallOf(&h.Server, was)
			}
		}
	}
	if s.Drained {
		n.Drain() // an operator's word outlives the process that heard it
	}
	n.deadlines.set(&n.handover.timer, n.now+joinTimeout)
	log.Printf("msg=joining hosts=%d rev=%d ids=%d drained=%t", len(s.List.Entries), s.List.Rev, len(s.IDs), s.Drained)
}

// OldLeaves is told when the old process ends and waits for this one to take.
func (n *Node) OldLeaves() { n.finishJoining() }

// finishJoining ends the joining: from now on this process takes connections.
func (n *Node) finishJoining() {
	t := &n.handover
	if !t.joining {
		return
	}
	t.joining = false
	n.deadlines.cancel(&t.timer)
	log.Printf("msg=took_over hosts=%d rev=%d", len(n.hostList), n.listRev)
	t.peer.Take()
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
func (n *Node) announceDrains(l discovery.List) {
	if n.handover.peer == nil {
		return
	}
	var uids []string
	for _, e := range l.Entries {
		if e.State == "draining" || e.State == "gone" && !n.settings.DrainsAlone { // else gone alone does not bind
			uids = append(uids, e.UID)
		}
	}
	for part := range slices.Chunk(uids, maxDrainsPerMessage) {
		n.handover.peer.Tell(&handover.Message{Drains: part})
	}
}

// HearDrains takes in which hosts the other process was told to be leaving. Its own list says when one is back.
func (n *Node) HearDrains(uids []string) {
	var l discovery.List
	for _, uid := range uids {
		if h := n.hosts[uid]; h != nil && h.State == balance.Up {
			e := n.listEntry(h)
			e.State = "draining"
			l.Entries = append(l.Entries, e)
		}
	}
	if len(l.Entries) > 0 {
		n.applyList(balance.Remembered, l)
	}
}

// handOverStep hands on what can be: clients that have asked for nothing, and established flows whose bytes on their way are
// few. The rest follows at a later step, or is moved.
func (n *Node) handOverStep() {
	t := &n.handover
	if t.peer == nil || !t.yielded {
		return
	}
	left := maxHandedPerStep
	for _, q := range []*list.List{&n.pingedConns, &n.silentConns} {
		for e := q.Front(); e != nil && left > 0; {
			c := e.Value.(*conn)
			e = e.Next()
			if !c.inputEnded && n.handOverClient(c) {
				left--
			}
		}
	}
	for _, s := range n.flows.entries {
		if left == 0 {
			break
		}
		if f := s.value; f != nil && n.handOverFlow(f) {
			left--
		}
	}
	n.deadlines.set(&t.timer, n.now+handOverInterval)
}

func bytesIn(r *lines.Ring) []byte { return append([]byte(nil), r.Peek(r.Len())...) }

func (n *Node) handOverClient(c *conn) bool {
	if max(c.in.Len(), c.out.Len()) > lines.RingSize {
		return false
	}
	m := &handover.Message{Client: &handover.Client{In: bytesIn(&c.in), Out: bytesIn(&c.out), Front: c.shedQueue == &n.pingedConns,
		Age: n.now - (c.timer.at - firstLineTimeout)}}
	if !n.handover.peer.Give(m, c.id) {
		return false
	}
	n.Count.HandedOn++
	n.close(c)
	return true
}

func (n *Node) handOverFlow(f *flow) bool {
	c, h := f.client, f.upstream
	if f.ended || f.stage != Established || c.inputEnded || h.inputEnded || f.lastWord != lines.Other ||
		max(c.in.Len(), c.out.Len(), h.in.Len(), h.out.Len()) > lines.RingSize {
		return false
	}
	m := &handover.Flow{Type: n.typeNames()[f.TypeNo], Key: f.Hash, Again: f.Again, Hint: f.Hint, Load: f.reportedLoad, Age: n.now - f.establishedAt,
		Host: n.listEntry(f.host), ClientIn: bytesIn(&c.in), ClientOut: bytesIn(&c.out), HostIn: bytesIn(&h.in),
		HostOut: bytesIn(&h.out), ClientMid: c.midLine, HostMid: h.midLine}
	if f.group != nil {
		m.Group, m.Grouped = f.group.Hash, true
	}
	if left := n.permitTimeLeft(f); left > 0 {
		m.Process, m.Left = n.config.Cluster.Process, left
	}
	if !n.handover.peer.Give(&handover.Message{Flow: m}, c.id, h.id) {
		return false
	}
	n.Count.HandedOn++
	f.record.setEnd(capture.Moved)
	n.close(c)
	n.close(h)
	n.endFlow(f, balance.Recalled)
	return true
}

// typeNames are the service types' names, in order.
func (n *Node) typeNames() []string {
	names := make([]string, len(n.settings.Types))
	for name, kind := range n.settings.Names {
		names[kind] = name
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
func (n *Node) TakeClient(m *handover.Client, from netip.AddrPort) Adopted {
	c := &conn{role: roleNew, up: true}
	c.timer.run = func() { n.firstLineTimedOut(c) }
	c.id = n.register(c)
	n.countHandedOver(c, from)
	c.in.Put(m.In)
	c.out.Put(m.Out)
	if m.Front {
		n.setShedQueue(c, &n.pingedConns)
	} else {
		n.setShedQueue(c, &n.silentConns)
		n.deadlines.set(&c.timer, n.now+max(firstLineTimeout-m.Age, 0))
	}
	n.Count.TakenOver++
	return Adopted{c.id, &c.in, &c.out}
}

// TakeFlow takes in an established flow.
func (n *Node) TakeFlow(m *handover.Flow, from netip.AddrPort) (front, back Adopted) {
	kind, known := n.settings.Names[m.Type] // one that this file has no more is moved, as soon as its client can be told
	h := n.hosts[m.Host.UID]
	if h == nil { // it has left the list and serves what it holds
		h = &host{uid: m.Host.UID, addr: m.Host.Endpoint, zoneName: m.Host.Zone, Server: balance.Server{Name: m.Host.UID,
			Hash: hash(m.Host.UID), Size: max(m.Host.Size, 0.001), State: balance.Removed, Zone: n.zoneNumber(m.Host.Zone), Cell: m.Host.Cell}}
		h.probeDeadline.run = func() {}
		n.hosts[h.uid] = h
		n.hostList = append(n.hostList, h)
	}
	c, up := &conn{role: roleClient, up: true, midLine: m.ClientMid}, &conn{role: roleUpstream, up: true, midLine: m.HostMid, host: h}
	f := &flow{client: c, upstream: up, host: h, stage: Established, establishedAt: n.now - m.Age, connectAt: n.now - m.Age, reportedLoad: m.Load}
	f.movePending = !known
	f.Flow = balance.Flow{Type: &n.settings.Types[kind], TypeNo: kind, Worth: n.worth(kind), Hash: m.Key, Again: m.Again, Hint: m.Hint,
		Passed: n.settings.Passes, Deadline: n.now, Ref: f}
	f.timer.run = func() { n.flowTimedOut(f) }
	c.flow, up.flow = f, f
	c.id, up.id = n.register(c), n.register(up)
	c.receivedAt, c.sentAt = n.now, n.now
	if n.countHandedOver(c, from); c.gatePrefix.IsValid() {
		n.admissionGate.Stood(c.gatePrefix, n.now)
	}
	c.in.Put(m.ClientIn)
	c.out.Put(m.ClientOut)
	up.in.Put(m.HostIn)
	up.out.Put(m.HostOut)
	f.id = n.flows.add(f)
	if m.Grouped && n.settings.Groups {
		f.joinGroup(n, m.Group)
		f.group.established = true
	}
	h.flowCount++
	n.upstreamCount++
	n.establishedCount++
	n.Count.TakenOver++
	if n.limitsByAddress() {
		c.limitPrefix = admission.Key(from.Addr())
	}
	n.adoptPermits(f, m.Process, m.Left)
	n.decider.Opened(&f.Flow, &h.Server)
	if m.Load > 0 {
		n.decider.Load(&f.Flow, m.Load)
	}
	return Adopted{c.id, &c.in, &c.out}, Adopted{up.id, &up.in, &up.out}
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
