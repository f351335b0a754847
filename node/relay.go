package node

import (
	"bytes"

	"coursewinch/balance"
	"coursewinch/capture"
	"coursewinch/lines"
)

// relay passes lines on in both directions. It passes whole lines so that a line of the node's own never falls into one.
func (n *Node) relay(f *flow) {
	for {
		chunk, endsLine := nextChunk(f.client, f.upstream)
		if len(chunk) == 0 {
			break
		}
		n.relayToHost(f, chunk, endsLine)
	}
	for {
		chunk, endsLine := nextChunk(f.upstream, f.client)
		if len(chunk) == 0 {
			break
		}
		n.relayToClient(f, chunk, endsLine)
	}
	n.net.RingsChanged(f.client.id)
	n.net.RingsChanged(f.upstream.id)
	n.finishIfEnded(f)
	if f.movePending && !f.ended && n.canMove(f) {
		n.moveClient(f)
		n.endFlow(f, balance.Recalled)
	}
}

// nextChunk returns what can be passed on next: as many whole lines as are contiguous in the ring and fit into the
// output ring, or the rest where no end of line will come. endsLine reports whether it ends with a line. The bytes stay
// in the ring.
func nextChunk(from, to *conn) (chunk []byte, endsLine bool) {
	head := from.in.Contiguous()
	if room := to.out.Free(); len(head) > room {
		head = head[:room]
	}
	if i := bytes.LastIndexByte(head, '\n'); i >= 0 {
		return head[:i+1], true
	}
	if from.in.Len() == 0 {
		return nil, false
	}
	if line := from.in.PeekLine(); line != nil {
		if len(line) > to.out.Free() {
			return nil, false
		}
		return line, true
	}
	if from.in.Free() == 0 || from.inputEnded {
		return from.in.Peek(min(from.in.Len(), to.out.Free())), false
	}
	return nil, false
}

// enqueue puts bytes into a connection's output ring. Connections with bulk traffic get a wide ring, which moves more
// bytes for the same number of system calls.
func enqueue(to *conn, chunk []byte) {
	if len(chunk) > lines.RingSize/2 {
		to.out.RequestWide()
	}
	to.out.Put(chunk)
}

// relayToHost passes on what a client sent, and starts the silence timeout for a line that the host has to answer.
func (n *Node) relayToHost(f *flow, chunk []byte, endsLine bool) {
	to := f.upstream
	// Whether the chunk holds a complete line of which no part was sent before.
	hasWholeLine := endsLine && (!to.midLine || bytes.IndexByte(chunk, '\n') < len(chunk)-1)
	f.record.countLines(true, chunk)
	enqueue(to, chunk)
	to.midLine = !endsLine
	f.client.in.Discard(len(chunk))
	if hasWholeLine && f.unansweredSince == 0 {
		f.unansweredSince, f.unansweredSpan = n.now, n.startSpan()
		n.deadlines.set(&f.timer, n.now+hostSilenceTimeout)
	}
}

// relayToClient passes on what a host sent. It also reads the lines that concern the node: LOAD, BYE and MOVE.
func (n *Node) relayToClient(f *flow, chunk []byte, endsLine bool) {
	to, answered := f.client, false
	for rest := chunk; len(rest) > 0; {
		end := bytes.IndexByte(rest, '\n') + 1
		if end == 0 {
			end = len(rest)
		}
		switch first := rest[0]; {
		case to.midLine || !endsLine || first != 'L' && first != 'B' && first != 'M':
			answered = true
		default:
			kind, load := lines.ParseAnswer(rest[:end])
			answered = answered || kind != lines.Load
			switch kind {
			case lines.Load:
				n.receiveFigure(f, load)
			case lines.Bye, lines.Move:
				f.lastAnswer = kind
			}
		}
		rest = rest[end:]
		to.midLine = false
	}
	f.record.countLines(false, chunk)
	if to.out.Len() == 0 {
		to.sentAt = n.now
	}
	enqueue(to, chunk)
	to.midLine = !endsLine
	f.upstream.in.Discard(len(chunk))
	if answered && f.unansweredSince > 0 {
		took, _ := n.elapsed(f.unansweredSpan)
		f.host.messageTimes = append(f.host.messageTimes, took)
		f.unansweredSince = 0
		n.deadlines.cancel(&f.timer)
	}
}

// finishIfEnded ends an established flow once one side has closed its connection and its last bytes are passed on.
func (n *Node) finishIfEnded(f *flow) {
	client, upstream := f.client, f.upstream
	switch {
	case upstream.inputEnded && (upstream.in.Len() == 0 || upstream.err != nil):
		end := balance.Severed
		switch f.lastAnswer {
		case lines.Bye:
			end = balance.Completed
		case lines.Move:
			end = balance.Recalled
		}
		f.record.setEnd(hostEndKinds[end])
		n.closeLikeOtherSide(client, upstream.err)
		n.close(upstream)
		n.endFlow(f, end)
	case client.inputEnded && (client.in.Len() == 0 || client.err != nil):
		f.record.setEnd(capture.ClientClosed)
		n.closeLikeOtherSide(upstream, client.err)
		n.close(client)
		n.endFlow(f, balance.Recalled)
	}
}

// closeLikeOtherSide closes a connection as the flow's other connection ended: in order, or with a reset where that one broke
// and nothing is left to send.
func (n *Node) closeLikeOtherSide(c *conn, err error) {
	if err != nil && c.out.Len() == 0 {
		n.net.Reset(c.id)
		n.forgetConn(c)
		return
	}
	n.closeAfterSending(c)
}

// moveClient sends a client the MOVE line, which asks it to reconnect, and closes both connections.
func (n *Node) moveClient(f *flow) {
	n.Count.Moves++
	f.record.setEnd(capture.Moved)
	if !f.client.midLine {
		f.client.out.Put([]byte(moveLine)) // may not fit at the last moment, but then the client reads nothing anyway
	}
	n.closeAfterSending(f.client)
	n.closeAfterSending(f.upstream)
}
