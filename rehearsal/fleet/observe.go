package fleet

import (
	"bytes"
	"fmt"
	"strings"

	"coursewinch/rehearsal/record"
)

// pendingBytes counts the bytes that a node has received and has to forward.
type pendingBytes struct {
	received, forwarded int64 // totals
	chunks              []pendingChunk
}

// pendingChunk is data that has been received at one time.
type pendingChunk struct {
	endOffset  int64 // total of received bytes at its end
	receivedAt int64
}

// add counts n bytes received at the time now.
func (p *pendingBytes) add(n int, now int64) {
	p.received += int64(n)
	p.chunks = append(p.chunks, pendingChunk{p.received, now})
}

// forward counts n bytes forwarded at the time now, and returns the longest time for which any of them had been held.
func (p *pendingBytes) forward(n int, now int64) (held int64) {
	p.forwarded += int64(n)
	for len(p.chunks) > 0 && p.chunks[0].endOffset <= p.forwarded {
		held = max(held, now-p.chunks[0].receivedAt)
		p.chunks = p.chunks[1:]
	}
	return held
}

// maxHoldTime is the time for which a node may hold data or the end of a flow without a note in the record, in
// microseconds.
const maxHoldTime = second + 50_000

// observeNodeData examines what a node sends: the line of a connect, data forwarded to a host, or data for a client.
func (w *World) observeNodeData(c *Conn, data []byte) {
	switch {
	case c.Host >= 0 && !c.nodeSent:
		c.nodeSent = true
		w.observeConnect(c, data)
	case c.Host >= 0 && c.client != nil && c.client.flow == c.flow:
		if held := c.client.pendingToHost.forward(len(data), w.now); held > maxHoldTime {
			c.flow.AddEvent(record.Event{At: w.now, Kind: record.LineDelayed, Host: c.Host, Connect: c.attempt, Text: "to the host", Value: held})
		}
	case c.Host < 0:
		w.observeAnswer(c, data)
		if cl, ok := c.peer.(*client); ok && cl.conn == c {
			cl.observeForwarded(data)
		}
	}
}

// observeAnswer records every line that a node sends a client after a final answer other than UP.
func (w *World) observeAnswer(c *Conn, data []byte) {
	if c.clientFlow == nil || bytes.HasPrefix(data, []byte("UP ")) && !c.finalSent || c.upSent {
		c.upSent = true
		return
	}
	for _, line := range bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n")) {
		if c.finalSent {
			c.clientFlow.AddEvent(record.Event{At: w.now, Kind: record.Answered, Host: -1, Text: string(line)})
		}
		c.finalSent = true
	}
}

// observeConnect records that a node sends the line of a flow to a host.
func (w *World) observeConnect(c *Conn, data []byte) {
	rest, ok := strings.CutPrefix(string(data), "OPEN ")
	id, _, _ := strings.Cut(rest, " ")
	flow := w.flowByID[id]
	if !ok || flow == nil {
		return
	}
	c.flow, c.client, c.attempt = flow, w.clientByFlowID[id], flow.Connects
	flow.Connects++
	w.run.Counts.Connects++
	flow.AddEvent(record.Event{At: w.now, Kind: record.ConnectSent, Host: c.Host, Connect: c.attempt})
}

// observeForwarded examines data that a node sends a client, and records if it has been held too long.
func (cl *client) observeForwarded(data []byte) {
	n := len(data)
	if !cl.upSent {
		if !strings.HasPrefix(string(data), "UP ") {
			return
		}
		cl.upSent = true
		n -= strings.IndexByte(string(data), '\n') + 1
	}
	if held := cl.pendingToClient.forward(n, cl.world.now); held > maxHoldTime {
		cl.flow.AddEvent(record.Event{At: cl.world.now, Kind: record.LineDelayed, Host: -1, Text: "to the client", Value: held})
	}
}

// observeNodeClose records that a node closes its side of a connection: that it ends a connect, or that it has notified a
// client of the end of its flow too late.
func (w *World) observeNodeClose(c *Conn) {
	if c.flow != nil {
		c.flow.AddEvent(record.Event{At: w.now, Kind: record.NodeClosed, Host: c.Host, Connect: c.attempt})
		return
	}
	if cl, ok := c.peer.(*client); ok && cl.conn == c && cl.hostEndAt > 0 && w.now-cl.hostEndAt > maxHoldTime {
		cl.flow.AddEvent(record.Event{At: w.now, Kind: record.CloseDelayed, Host: -1, Value: w.now - cl.hostEndAt})
		cl.hostEndAt = 0
	}
}

// observeHostClose records that a node has been notified of the end of a host's side.
func (w *World) observeHostClose(c *Conn) {
	if c.flow == nil {
		return
	}
	c.flow.AddEvent(record.Event{At: w.now, Kind: record.HostClosed, Host: c.Host, Connect: c.attempt})
	if cl := c.client; cl.flow == c.flow && cl.upSent && cl.hostEndAt == 0 {
		cl.hostEndAt = w.now
	}
}

// recordInvalidLine records a line that a host cannot use.
func (w *World) recordInvalidLine(hc *hostConn, reason string) {
	if hc.flow != nil {
		hc.flow.AddEvent(record.Event{At: w.now, Kind: record.InvalidLine, Host: hc.Host, Connect: hc.attempt, Text: reason})
		return
	}
	w.run.UnknownLines = append(w.run.UnknownLines, fmt.Sprintf("%.6f s: n-%d sent h-%d what no client sent: %.80s",
		float64(w.now)/1e6, hc.Node, hc.Host, reason))
}
