package node

import (
	"log"
	"slices"

	"coursewinch/balance"
	"coursewinch/discovery"
	"coursewinch/lines"
)

// Accept takes a new connection of a client.
func (n *Node) Accept() (id uint64, in, out *lines.Ring) {
	c := &conn{role: fresh, up: true}
	c.timer.due = func() { n.close(c) }
	c.id = n.conns.put(c)
	n.Count.Accepted++
	n.times.set(&c.timer, n.now+firstLine)
	return c.id, &c.in, &c.out
}

// Connected is told when a connection that the node asked for is up.
func (n *Node) Connected(id uint64) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.guard(c)
	c.up = true
	switch c.role {
	case upstream:
		n.connected(c)
	case probing:
		c.out.Put([]byte("PING\r\n"))
		n.net.Touch(c.id)
	case watching:
		c.out.Put(discovery.Request(n.conf.Discovery, n.rev))
		n.net.Touch(c.id)
	}
}

// Received is told when bytes have come.
func (n *Node) Received(id uint64) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.guard(c)
	switch c.role {
	case fresh:
		n.greet(c)
	case client:
		if c.flow.stage == Established && !c.flow.over {
			n.pass(c.flow)
		}
	case upstream:
		switch {
		case c.flow.over:
		case c.flow.stage == Established:
			n.pass(c.flow)
		default:
			n.heard(c)
		}
	case probing:
		n.probeHeard(c)
	case watching:
		n.watchHeard(c)
	case leaving:
		c.in.Drop(c.in.Len())
	}
}

// Sent is told when bytes have gone and there is room again.
func (n *Node) Sent(id uint64) {
	c := n.conns.get(id)
	if c == nil || c.flow == nil || c.flow.over {
		return
	}
	defer n.guard(c)
	if c.role == upstream {
		n.written(c)
	}
	if c.flow.stage == Established {
		n.pass(c.flow)
	}
}

// Ended is told when the other side sends no more; with an error, when the connection is broken or never came up.
func (n *Node) Ended(id uint64, err error) {
	c := n.conns.get(id)
	if c == nil {
		return
	}
	defer n.guard(c)
	c.ended = true
	if err != nil {
		c.err = err
	}
	switch c.role {
	case client:
		switch f := c.flow; {
		case f.over:
		case f.stage == Established:
			n.pass(f)
		default:
			n.gone(f)
		}
	case upstream:
		switch f := c.flow; {
		case f.over:
		case f.stage == Established:
			n.pass(f)
		case err != nil:
			n.failed(f, err)
		default:
			n.heard(c)
		}
	case probing:
		n.probeEnded(c)
	case watching:
		n.refused("ended")
	default:
		n.close(c)
	}
}

// greet answers what a client says before it has a flow.
func (n *Node) greet(c *conn) {
	for c.role == fresh {
		line := c.in.Line()
		if line == nil {
			if c.in.Len() > lines.Longest+2 {
				n.bad(c, "line too long")
			}
			return
		}
		if string(lines.Bare(line)) != "PING" {
			line = append([]byte(nil), line...)
			c.in.Drop(len(line))
			n.take(c, line)
			return
		}
		if c.out.Free() < 6 {
			return // it asks and does not listen
		}
		c.in.Drop(len(line))
		c.out.Put([]byte("PONG\r\n"))
		n.times.off(&c.timer) // the front may keep it
		n.net.Touch(c.id)
	}
}

func (n *Node) bad(c *conn, why string) {
	n.Count.Bad++
	log.Printf("msg=bad_line why=%q", why)
	n.answer(c, "ERR\r\n")
}

// answer sends a client its last line.
func (n *Node) answer(c *conn, line string) {
	c.out.Put([]byte(line))
	n.leave(c)
}

// leave sends what is left and closes in order: cut off at once, the last bytes could be lost on their way.
func (n *Node) leave(c *conn) {
	if c.role == leaving {
		return
	}
	c.role, c.flow = leaving, nil
	if c.ended && c.out.Len() == 0 || !c.up {
		n.close(c)
		return
	}
	c.timer.due = func() { n.close(c) }
	n.times.set(&c.timer, n.now+lingering)
	c.in.Drop(c.in.Len())
	n.net.Touch(c.id)
	n.net.Shut(c.id)
}

func (n *Node) close(c *conn) {
	n.net.Close(c.id)
	n.forget(c)
}

func (n *Node) forget(c *conn) {
	n.times.off(&c.timer)
	c.flow = nil
	c.role = leaving
	n.conns.drop(c.id)
}

// Probe asks a host whether it answers, over a connection that is kept for it.
func (n *Node) Probe(s *balance.Server) {
	h := n.hosts[s.Name]
	n.Count.Probes++
	h.probed = n.now
	n.times.set(&h.probeEnd, n.now+n.probeWait())
	if h.probe != nil {
		h.probe.out.Put([]byte("PING\r\n"))
		n.net.Touch(h.probe.id)
		return
	}
	c := &conn{role: probing, host: h}
	c.id = n.conns.put(c)
	h.probe = c
	n.net.Dial(c.id, h.addr, &c.in, &c.out)
}

// probeWait is the tightest setup target: a host that takes longer for a probe is of no use for any flow.
func (n *Node) probeWait() int64 {
	wait := n.set.Types[0].SetupTarget
	for _, t := range n.set.Types {
		wait = min(wait, t.SetupTarget)
	}
	return max(wait, 50*ms)
}

func (n *Node) probeHeard(c *conn) {
	h := c.host
	for {
		line := c.in.Line()
		if line == nil {
			if c.in.Len() > lines.Longest+2 {
				n.probeFailed(h, balance.Errored)
			}
			return
		}
		word, _ := lines.Answer(line)
		c.in.Drop(len(line))
		if h.probed == 0 || word == lines.Load {
			continue
		}
		if word != lines.Pong {
			n.probeFailed(h, balance.Errored)
			return
		}
		took := n.now - h.probed
		h.probed = 0
		n.times.off(&h.probeEnd)
		n.b.Probed(&h.Server, balance.Completed, took)
	}
}

func (n *Node) probeEnded(c *conn) {
	h := c.host
	switch {
	case h.probed == 0:
		n.dropProbe(h) // kept and unused, it was the host's to close
	case c.up:
		n.probeFailed(h, balance.Severed)
	default:
		n.probeFailed(h, balance.Unreachable)
	}
}

func (n *Node) probeFailed(h *host, end balance.Outcome) {
	took := n.now - h.probed
	h.probed = 0
	n.times.off(&h.probeEnd)
	n.dropProbe(h)
	n.Count.ProbesFailed++
	n.b.Probed(&h.Server, end, took)
}

// dropProbe closes the connection kept for probes; a probe that is out is then given up in time.
func (n *Node) dropProbe(h *host) {
	if h.probe != nil {
		n.close(h.probe)
		h.probe = nil
	}
}

// Watch asks discovery for what has changed since the last version, and to go on telling.
func (n *Node) Watch() {
	if n.watch != nil {
		n.close(n.watch)
	}
	c := &conn{role: watching}
	c.timer.due = func() { n.refused("silent") }
	c.id = n.conns.put(c)
	n.watch = c
	n.Count.Calls++
	n.times.set(&c.timer, n.now+watchQuiet)
	n.net.Dial(c.id, n.conf.Discovery, &c.in, &c.out)
}

func (n *Node) watchHeard(c *conn) {
	n.times.set(&c.timer, n.now+watchQuiet)
	for c.in.Len() > 0 {
		p := c.in.Head()
		err := c.reader.Feed(p, func(l discovery.List) {
			kind := balance.Changes
			if l.All {
				kind = balance.Whole
			}
			n.Count.Lists++
			n.list(kind, l)
		})
		c.in.Drop(len(p))
		if err != nil {
			n.refused(err.Error())
			return
		}
	}
	n.net.Touch(c.id)
}

// refused ends a watch that is broken, silent or makes no sense; the module asks again.
func (n *Node) refused(why string) {
	n.Count.CallsFailed++
	log.Printf("msg=watch_lost why=%q rev=%d", why, n.rev)
	n.close(n.watch)
	n.watch = nil
	n.b.List(balance.Refused)
	n.b.ListEnd(balance.Refused)
}

// tellSlow tells the module how long messages take at each host while that is over a third of the shortest target,
// and once more after: the median of what came back since, and of what is still out and older than that.
func (n *Node) tellSlow() {
	n.times.set(&n.say, n.now+sayEvery)
	for _, s := range n.flows.all {
		if f := s.v; f != nil && f.askedAt > 0 && !f.over {
			f.host.ages = append(f.host.ages, n.now-f.askedAt)
		}
	}
	for _, h := range n.fleet {
		slices.Sort(h.took)
		mid := int64(0)
		if len(h.took) > 0 {
			mid = h.took[len(h.took)/2]
		}
		for _, age := range h.ages {
			if age > mid {
				h.took = append(h.took, age)
			}
		}
		if len(h.took) > 0 {
			slices.Sort(h.took)
			if us := h.took[len(h.took)/2]; us > n.slowFrom || h.told {
				h.told = us > n.slowFrom
				n.b.Slow(&h.Server, us)
			}
		}
		h.took, h.ages = h.took[:0], h.ages[:0]
	}
}
