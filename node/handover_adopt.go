package node

import (
	"net/netip"

	"coursewinch/admission"
	"coursewinch/balance"
	"coursewinch/discovery"
	"coursewinch/handover"
	"coursewinch/lines"
)

// A successor adopts the connections that its predecessor hands over.

// Adopted is a connection that was handed over and has to be added to the event loop.
type Adopted struct {
	ID      uint64
	In, Out *lines.Ring
}

// countHandedOver counts a connection that was handed over for its address at admission control. The connection is already
// open, so it is never refused: one over the limit of its address stays uncounted.
func (n *Node) countHandedOver(c *conn, from netip.AddrPort) {
	if n.admission == nil {
		return
	}
	if key := admission.Key(from.Addr()); n.admission.Admit(key, n.now, n.net.Room()-n.owedDescriptors()) == admission.Admitted {
		c.admissionPrefix = key
	}
}

// AdoptClient adds a client without a request that was handed over.
func (n *Node) AdoptClient(handed *handover.Client, from netip.AddrPort) Adopted {
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

// AdoptFlow adds an established flow that was handed over, with its connections to the client (front) and the host (back).
// A flow of a service type that this process's settings don't have is moved as soon as its client can be sent a line.
func (n *Node) AdoptFlow(handed *handover.Flow, from netip.AddrPort) (front, back Adopted) {
	h := n.hosts[handed.Host.UID]
	if h == nil {
		h = n.addUnlistedHost(handed.Host)
	}
	client := &conn{role: roleClient, up: true, midLine: handed.ClientMid}
	upstream := &conn{role: roleUpstream, up: true, midLine: handed.HostMid, host: h}
	f := n.handedFlow(handed, client, upstream)
	client.flow, upstream.flow = f, f
	client.id, upstream.id = n.register(client), n.register(upstream)
	client.receivedAt, client.sentAt = n.now, n.now
	n.countHandedOver(client, from)
	if client.admissionPrefix.IsValid() {
		n.admission.Established(client.admissionPrefix, n.now)
	}
	client.in.Put(handed.ClientIn)
	client.out.Put(handed.ClientOut)
	upstream.in.Put(handed.HostIn)
	upstream.out.Put(handed.HostOut)
	f.id = n.flows.add(f)
	if handed.Grouped && n.settings.HasGroups {
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
	n.decider.AdoptFlow(&f.Flow, &h.Server)
	if handed.Load > 0 {
		n.decider.LoadMeasured(&f.Flow, handed.Load)
	}
	n.hastenMoves()
	return Adopted{client.id, &client.in, &client.out}, Adopted{upstream.id, &upstream.in, &upstream.out}
}

// addUnlistedHost adds a host that has left the list and still serves a flow that was handed over.
func (n *Node) addUnlistedHost(entry discovery.Entry) *host {
	h := &host{
		uid:      entry.UID,
		addr:     entry.Endpoint,
		zoneName: entry.Zone,
		Server: balance.Server{
			Name:  entry.UID,
			Hash:  hash(entry.UID),
			Size:  max(entry.Size, 0.001),
			State: balance.Removed,
			Zone:  n.zoneNumber(entry.Zone),
			Cell:  entry.Cell,
		},
	}
	h.probeDeadline.run = func() {}
	n.hosts[h.uid] = h
	n.hostList = append(n.hostList, h)
	return h
}

// handedFlow returns the established flow described by a handover message. A flow of an unknown service type counts for the
// first one until it is moved.
func (n *Node) handedFlow(handed *handover.Flow, client, upstream *conn) *flow {
	typeIndex, known := n.settings.ServiceTypeIndex[handed.Type]
	f := &flow{
		client:        client,
		upstream:      upstream,
		host:          upstream.host,
		stage:         Established,
		establishedAt: n.now - handed.Age,
		connectAt:     n.now - handed.Age,
		reportedLoad:  handed.Load,
	}
	f.movePending = !known
	f.Flow = balance.Flow{
		Type:        &n.settings.Types[typeIndex],
		TypeIndex:   typeIndex,
		Benefit:     n.benefit(typeIndex),
		Hash:        handed.Key,
		Returning:   handed.Again,
		LoadHint:    handed.Hint,
		Passthrough: n.settings.PassThrough,
		Deadline:    n.now,
		Ref:         f,
	}
	f.timer.run = func() { n.flowTimedOut(f) }
	return f
}

// ResumeAdopted is called when a connection that was handed over has been added to the event loop. It processes what
// its rings hold.
func (n *Node) ResumeAdopted(id uint64) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.recoverPanic(c)
	n.net.RingsChanged(c.id)
	switch {
	case c.role == roleNew && c.in.Len() > 0:
		n.readFirstLine(c)
	case c.flow != nil && !c.flow.ended:
		n.relay(c.flow)
	}
}
