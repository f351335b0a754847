package node

import (
	"container/list"

	"coursewinch/balance"
	"coursewinch/capture"
	"coursewinch/handover"
	"coursewinch/lines"
)

// A stopping predecessor hands its connections over to its successor, a few in each step.

// handOverStep hands over clients without a request and established flows with few bytes in transit, up to a number per
// step. The rest follows in a later step, or is moved.
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

// bytesIn returns a copy of a ring's content.
func bytesIn(r *lines.Ring) []byte { return append([]byte(nil), r.Peek(r.Len())...) }

// handOverClient hands over a client without a request and reports whether it did.
func (n *Node) handOverClient(c *conn) bool {
	if max(c.in.Len(), c.out.Len()) > lines.RingSize {
		return false
	}
	message := &handover.Message{Client: &handover.Client{
		In:    bytesIn(&c.in),
		Out:   bytesIn(&c.out),
		Front: c.shedQueue == &n.pingedConns,
		Age:   n.now - (c.timer.at - firstLineTimeout),
	}}
	if !n.handover.peer.HandOver(message, c.id) {
		return false
	}
	n.Count.HandedOver++
	n.close(c)
	return true
}

// handOverFlow hands over an established flow and reports whether it did. Flows with an ended side, or whose host has sent
// its last line, end here; those with more bytes than a ring holds are tried again in the next step.
func (n *Node) handOverFlow(f *flow) bool {
	client, upstream := f.client, f.upstream
	if f.ended || f.stage != Established || client.inputEnded || upstream.inputEnded || f.lastAnswer != lines.Other ||
		max(client.in.Len(), client.out.Len(), upstream.in.Len(), upstream.out.Len()) > lines.RingSize {
		return false
	}
	message := &handover.Flow{
		Type:      n.typeNames()[f.TypeIndex],
		Key:       f.Hash,
		Again:     f.Returning,
		Hint:      f.LoadHint,
		Load:      f.reportedLoad,
		Age:       n.now - f.establishedAt,
		Host:      n.listEntry(f.host),
		ClientIn:  bytesIn(&client.in),
		ClientOut: bytesIn(&client.out),
		HostIn:    bytesIn(&upstream.in),
		HostOut:   bytesIn(&upstream.out),
		ClientMid: client.midLine,
		HostMid:   upstream.midLine,
	}
	if f.group != nil {
		message.Group, message.Grouped = f.group.Hash, true
	}
	if left := n.permitTimeLeft(f); left > 0 {
		message.Process, message.Left = n.config.Cluster.Process, left
	}
	if !n.handover.peer.HandOver(&handover.Message{Flow: message}, client.id, upstream.id) {
		return false
	}
	n.Count.HandedOver++
	f.record.setEnd(capture.Moved)
	n.close(client)
	n.close(upstream)
	n.endFlow(f, balance.Recalled)
	return true
}
