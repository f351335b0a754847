package node

import (
	"coursewinch/balance"
	"coursewinch/lines"
)

// Probe sends a probe to a host over a connection that is kept open for it.
func (n *Node) Probe(server *balance.Server) {
	h := n.hosts[server.Name]
	n.Count.Probes++
	h.probeSentAt = n.now
	h.probeSpan = n.startSpan()
	h.probeUnsent = false
	n.activeProbes++
	n.deadlines.set(&h.probeDeadline, n.now+n.probeTimeout())
	if h.probe == nil && n.net.Room() < 1 && !n.shedOne() {
		h.probeUnsent = true
		n.deadlines.set(&h.probeDeadline, n.now)
		return
	}
	if h.probe != nil {
		h.probe.out.Put(n.probeLine())
		n.net.RingsChanged(h.probe.id)
		return
	}
	c := &conn{role: roleProbe, host: h}
	c.id = n.register(c)
	h.probe = c
	n.net.Dial(c.id, h.addr, &c.in, &c.out)
}

// probeLine returns the line of a probe: STATS, which asks for a load report, where the settings say that hosts give one.
func (n *Node) probeLine() []byte {
	if n.settings.HostsReportLoad {
		return []byte("STATS\r\n")
	}
	return []byte("PING\r\n")
}

// probeTimeout returns the shortest setup target of all service types, but at least 50 ms: a host that takes longer for a
// probe can't serve a flow of that type in time.
func (n *Node) probeTimeout() int64 {
	wait := n.settings.Types[0].SetupTarget
	for _, t := range n.settings.Types {
		wait = min(wait, t.SetupTarget)
	}
	return max(wait, 50*ms)
}

// readProbeAnswer reads the lines on a probe connection, one of which may answer the outstanding probe.
func (n *Node) readProbeAnswer(c *conn) {
	h := c.host
	for {
		line := c.in.PeekLine()
		if line == nil {
			if c.in.Len() > lines.MaxLineBytes+2 {
				n.probeFailed(h, balance.Errored)
			}
			return
		}
		kind, _ := lines.ParseAnswer(line)
		busy, reported := 0.0, false
		if n.settings.HostsReportLoad {
			if figures, ok := lines.ParseStats(line); ok {
				kind = lines.Pong // the host answered, even if its report lacks the figure
				busy, reported = figures.Value(n.settings.LoadReportIndex)
			}
		}
		c.in.Discard(len(line))
		if h.probeSentAt == 0 || kind == lines.Load {
			continue
		}
		if reported {
			n.noteReportedLoad(h, busy)
			n.decider.LoadReported(&h.Server, busy, true)
		}
		if kind != lines.Pong {
			n.probeFailed(h, balance.Errored)
			return
		}
		end := balance.Completed
		took, sure := n.elapsed(h.probeSpan)
		if !sure {
			end = balance.Recalled // answered, but the measured time is only a lower bound
		} else {
			n.noteProbe(h, took)
		}
		h.probeSentAt = 0
		n.activeProbes--
		n.deadlines.cancel(&h.probeDeadline)
		n.decider.Probed(&h.Server, end, took)
	}
}

// probeEnded handles the end of a probe connection.
func (n *Node) probeEnded(c *conn) {
	h := c.host
	switch {
	case h.probeSentAt == 0:
		n.closeProbe(h) // hosts may close an idle connection
	case c.up:
		n.probeFailed(h, balance.Severed)
	default:
		n.probeFailed(h, balance.Unreachable)
	}
}

// probeFailed ends the outstanding probe of a host as failed.
func (n *Node) probeFailed(h *host, end balance.Outcome) {
	took := n.now - h.probeSentAt
	h.probeSentAt = 0
	n.activeProbes--
	n.deadlines.cancel(&h.probeDeadline)
	n.closeProbe(h)
	n.Count.ProbesFailed++
	if end == balance.Unreachable {
		n.noteUnreachable(h)
	}
	n.decider.Probed(&h.Server, end, took)
}

// closeProbe closes the connection kept for probes. An outstanding probe then fails at its deadline.
func (n *Node) closeProbe(h *host) {
	if h.probe != nil {
		n.close(h.probe)
		h.probe = nil
	}
}
