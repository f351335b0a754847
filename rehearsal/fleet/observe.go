package fleet

import (
	"bytes"
	"fmt"
	"strings"

	"coursewinch/rehearsal/record"
)

// pendingBytes is what a node has been given to pass on and has not yet.
type pendingBytes struct {
	received, forwarded int64
	chunks              []pendingChunk
}

type pendingChunk struct {
	endOffset  int64
	receivedAt int64
}

func (b *pendingBytes) add(n int, now int64) {
	b.received += int64(n)
	b.chunks = append(b.chunks, pendingChunk{b.received, now})
}

// forward gives the longest time that what went just now had been held.
func (b *pendingBytes) forward(n int, now int64) (held int64) {
	b.forwarded += int64(n)
	for len(b.chunks) > 0 && b.chunks[0].endOffset <= b.forwarded {
		held = max(held, now-b.chunks[0].receivedAt)
		b.chunks = b.chunks[1:]
	}
	return held
}

const maxHoldTime = second + 50_000

// observeNodeData looks at what a node sends: a connect's line on its way to a host, or what it owed.
func (w *World) observeNodeData(c *Conn, p []byte) {
	switch {
	case c.Host >= 0 && !c.nodeSent:
		c.nodeSent = true
		w.observeConnect(c, p)
	case c.Host >= 0 && c.client != nil && c.client.flow == c.flow:
		if held := c.client.pendingToHost.forward(len(p), w.now); held > maxHoldTime {
			c.flow.Add(record.Event{At: w.now, Kind: record.Held, Host: c.Host, Try: c.attempt, Text: "to the host", Value: held})
		}
	case c.Host < 0:
		w.observeAnswer(c, p)
		if cl, ok := c.peer.(*client); ok && cl.conn == c {
			cl.observeForwarded(p)
		}
	}
}

// observeAnswer notes what a node sends a client after a final answer that was not UP.
func (w *World) observeAnswer(c *Conn, p []byte) {
	if c.clientFlow == nil || bytes.HasPrefix(p, []byte("UP ")) && !c.finalSent || c.upSent {
		c.upSent = true
		return
	}
	for _, line := range bytes.Split(bytes.TrimSuffix(p, []byte("\n")), []byte("\n")) {
		if c.finalSent {
			c.clientFlow.Add(record.Event{At: w.now, Kind: record.Answered, Host: -1, Text: string(line)})
		}
		c.finalSent = true
	}
}

// observeConnect notes that a flow's line leaves for a host.
func (w *World) observeConnect(c *Conn, p []byte) {
	rest, ok := strings.CutPrefix(string(p), "OPEN ")
	id, _, _ := strings.Cut(rest, " ")
	f := w.flowByID[id]
	if !ok || f == nil {
		return
	}
	c.flow, c.client, c.attempt = f, w.clientByFlowID[id], f.Connects
	f.Connects++
	w.run.Counts.Connects++
	f.Add(record.Event{At: w.now, Kind: record.Sent, Host: c.Host, Try: c.attempt})
}

// observeForwarded looks at what the node sends a client.
func (cl *client) observeForwarded(b []byte) {
	n := len(b)
	if !cl.upSent {
		if !strings.HasPrefix(string(b), "UP ") {
			return
		}
		cl.upSent = true
		n -= strings.IndexByte(string(b), '\n') + 1
	}
	if held := cl.pendingToClient.forward(n, cl.world.now); held > maxHoldTime {
		cl.flow.Add(record.Event{At: cl.world.now, Kind: record.Held, Host: -1, Text: "to the client", Value: held})
	}
}

// observeNodeClose notes that a node ends its side of a connection.
func (w *World) observeNodeClose(c *Conn) {
	if c.flow != nil {
		c.flow.Add(record.Event{At: w.now, Kind: record.Stopped, Host: c.Host, Try: c.attempt})
		return
	}
	if cl, ok := c.peer.(*client); ok && cl.conn == c && cl.hostEndAt > 0 && w.now-cl.hostEndAt > maxHoldTime {
		cl.flow.Add(record.Event{At: w.now, Kind: record.Unended, Host: -1, Value: w.now - cl.hostEndAt})
		cl.hostEndAt = 0
	}
}

// observeHostClose notes that a node has heard of the end of a host's side.
func (w *World) observeHostClose(c *Conn) {
	if c.flow == nil {
		return
	}
	c.flow.Add(record.Event{At: w.now, Kind: record.Lost, Host: c.Host, Try: c.attempt})
	if cl := c.client; cl.flow == c.flow && cl.upSent && cl.hostEndAt == 0 {
		cl.hostEndAt = w.now
	}
}

func (w *World) recordInvalidLine(hc *hostConn, why string) {
	if hc.flow != nil {
		hc.flow.Add(record.Event{At: w.now, Kind: record.Nonsense, Host: hc.Host, Try: hc.attempt, Text: why})
		return
	}
	w.run.Strange = append(w.run.Strange, fmt.Sprintf("%.6f s: n-%d sent h-%d what no client sent: %.80s",
		float64(w.now)/1e6, hc.Node, hc.Host, why))
}
