package fleet

import (
	"slices"
	"strconv"
	"strings"

	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
)

// injectFault starts a fault of the script. Members that it hits at random are drawn from a source of its own; faults of
// the same kind and time draw the same.
func (w *World) injectFault(fault *scenario.Fault) {
	index := uint64(slices.IndexFunc(w.script.Faults, func(o scenario.Fault) bool { return o.At == fault.At && o.Kind == fault.Kind }))
	pick := func(names []string, total int) []int { return w.pickMembers(fault, randFaults+index<<8, names, total) }
	duration := fault.For.Microseconds()
	switch fault.Kind {
	case "cut", "delay", "breaks":
		w.injectZoneFault(fault, w.zoneIndex(fault.Zone))
	case "store_slow":
		w.storeSlowdown *= fault.Size
		w.after(duration, func() { w.storeSlowdown /= fault.Size })
	case "discovery":
		w.discovery.outages++
		w.discovery.breakSubscriptions()
		w.after(duration, func() { w.discovery.outages-- })
	case "discovery_no":
		w.discovery.refusalShare += fault.Size
		w.after(duration, func() { w.discovery.refusalShare -= fault.Size })
	case "reconnect", "vanish":
		w.dropClients(fault, w.newRand(randFaults+index<<8+1<<20))
	case "link_loss", "link_delay", "link_twice", "link_mixed", "link_bent", "link_again", "link_mute", "link_cut", "link_split", "link_liar":
		var to []int
		if len(fault.To) > 0 {
			to = pick(fault.To, len(w.nodes))
		}
		var nodes []int
		if fault.Kind != "link_split" {
			nodes = pick(fault.Nodes, len(w.nodes))
		}
		w.injectLinkFault(fault, nodes, to)
	case "node_kill", "node_stop", "node_reload", "node_starve", "node_pause", "node_twin", "node_clock", "node_rate":
		for i, n := range pick(fault.Nodes, len(w.nodes)) {
			w.after(int64(i)*fault.Step.Microseconds(), func() { w.injectNodeFault(fault, n) })
		}
	default:
		for i, h := range pick(fault.Hosts, len(w.hosts)) {
			w.after(int64(i)*fault.Step.Microseconds(), func() { w.injectHostFault(fault, w.hosts[h]) })
		}
	}
}

// pickMembers returns the indexes of the named members. Without names it draws as many of total members as the fault's
// count or share says.
func (w *World) pickMembers(fault *scenario.Fault, purpose uint64, names []string, total int) []int {
	var indexes []int
	for _, name := range names {
		index, _ := strconv.Atoi(name[strings.IndexByte(name, '-')+1:])
		indexes = append(indexes, index)
	}
	if len(names) > 0 {
		return indexes
	}
	count := fault.Count
	if count == 0 {
		count = max(int(fault.Share*float64(total)+0.5), 1)
	}
	return w.newRand(purpose).Perm(total)[:min(count, total)]
}

// injectHostFault starts a fault of one host.
func (w *World) injectHostFault(fault *scenario.Fault, h *host) {
	duration := fault.For.Microseconds()
	applyTemporarily := func(begin, end func()) {
		h.advance()
		begin()
		h.scheduleCompletion()
		w.after(duration, func() {
			h.advance()
			end()
			h.scheduleCompletion()
		})
	}
	switch fault.Kind {
	case "crash":
		w.crashHost(h, duration)
	case "silent":
		h.stop(hostSilent)
		w.setListed(h, "gone")
		w.after(duration, func() { w.startHost(h) })
	case "pause":
		applyTemporarily(func() { h.pauses++ }, func() { h.pauses-- })
	case "slow":
		applyTemporarily(func() { h.slowdown *= fault.Size }, func() { h.slowdown /= fault.Size })
	case "errors":
		applyTemporarily(func() { h.extraErrorRate += fault.Size }, func() { h.extraErrorRate -= fault.Size })
	case "neighbour":
		w.runNeighbour(fault, h, w.now+duration)
	case "drain":
		w.drainHost(h, duration, 0)
	case "restart":
		w.drainHost(h, duration, restartPause)
	case "join":
		w.startAbsentHost(h)
	case "relist":
		w.republish(h, fault.Interval.Microseconds(), w.now+duration)
	}
}

const (
	restartPause         = second / 2 // between the end of a drained host's process and its restart
	minRepublishInterval = 100_000    // microseconds
)

// republish makes discovery publish an unchanged host again at an interval.
func (w *World) republish(h *host, interval, until int64) {
	w.discovery.scheduleUpdate(h)
	if interval = max(interval, minRepublishInterval); w.now+interval < until {
		w.after(interval, func() { w.republish(h, interval, until) })
	}
}

// runNeighbour lets another program use a share of the host's machine, alternating between on and off.
func (w *World) runNeighbour(fault *scenario.Fault, h *host, until int64) {
	h.advance()
	h.neighbourShare = fault.Size
	h.scheduleCompletion()
	interval := fault.Interval.Microseconds()
	if interval == 0 {
		interval = until - w.now
	}
	w.Schedule(min(w.now+interval, until), func() {
		h.advance()
		h.neighbourShare = 0
		h.scheduleCompletion()
		if w.now+interval < until {
			w.after(interval, func() { w.runNeighbour(fault, h, until) })
		}
	})
}

// setListed sets the state of a host that discovery will publish.
func (w *World) setListed(h *host, state string) {
	h.listed = state
	w.discovery.scheduleUpdate(h)
}

// crashHost ends a host's process at once. If restartAfter is over 0 the host starts again, cold, after that time.
func (w *World) crashHost(h *host, restartAfter int64) {
	if h.state != hostRunning {
		return
	}
	h.stop(hostDead)
	w.setListed(h, "gone")
	if restartAfter > 0 {
		w.after(restartAfter, func() { w.startHost(h) })
	}
}

// startHost starts a host, which is cold. A host that has fallen over stays down.
func (w *World) startHost(h *host) {
	if h.fellOver || h.state == hostRunning {
		return
	}
	h.start()
	w.setListed(h, "ready")
}

// drainHost drains a host for some time and then stops it. If restartAfter is over 0 the host starts again, cold, after
// that time.
func (w *World) drainHost(h *host, duration, restartAfter int64) {
	if h.state != hostRunning || h.listed != "ready" {
		return
	}
	bootedAt := h.bootedAt
	h.stopsAt = w.now + duration
	w.setListed(h, "draining")
	w.after(duration, func() {
		if h.state == hostRunning && h.bootedAt == bootedAt {
			w.crashHost(h, restartAfter)
		}
	})
}

// startAbsentHost starts a host that is absent or dead.
func (w *World) startAbsentHost(h *host) {
	if h.state == hostAbsent || h.state == hostDead {
		w.startHost(h)
	}
}

// injectNodeFault starts a fault of one node.
func (w *World) injectNodeFault(fault *scenario.Fault, index int) {
	switch fault.Kind {
	case "node_kill":
		w.killNode(index, fault.For.Microseconds())
	case "node_stop":
		w.stopNode(index, fault.For.Microseconds())
	case "node_reload":
		n := w.nodes[index]
		n.reloads++
		if n.running {
			w.player.Reload(index, w.nodeConfig(n))
		}
	case "node_pause":
		w.pauseNode(index, fault.For.Microseconds())
	case "node_twin":
		w.player.SetDuplicate(index, w.nodeConfig(w.nodes[index]), true)
		w.after(fault.For.Microseconds(), func() { w.player.SetDuplicate(index, NodeConfig{}, false) })
	case "node_clock":
		w.player.AdjustClock(index, int64(fault.Size*1e6), 1)
	case "node_rate":
		w.player.AdjustClock(index, 0, fault.Size)
		w.after(fault.For.Microseconds(), func() { w.player.AdjustClock(index, 0, 1) })
	case "node_starve":
		n := w.nodes[index]
		n.starvedShares = append(n.starvedShares, fault.Size)
		w.player.SetStarvation(index, n.starvedShare())
		w.after(fault.For.Microseconds(), func() {
			i := slices.Index(n.starvedShares, fault.Size)
			n.starvedShares = slices.Delete(n.starvedShares, i, i+1)
			w.player.SetStarvation(index, n.starvedShare())
		})
	}
}

// pauseNode pauses the process of a node for some time and records the pause.
func (w *World) pauseNode(index int, duration int64) {
	n := w.nodes[index]
	if n.pauses++; n.pauses == 1 {
		w.run.Pauses = append(w.run.Pauses, record.NodePause{Node: index, From: w.now})
	}
	w.player.SetPaused(index, true)
	w.after(duration, func() {
		if n.pauses--; n.pauses == 0 {
			for i := range w.run.Pauses {
				if pause := &w.run.Pauses[i]; pause.Node == index && pause.To == 0 {
					pause.To = w.now
				}
			}
			w.player.SetPaused(index, false)
		}
	})
}

// starvedShare returns the share of a node's core that the faults in force take together.
func (n *nodeState) starvedShare() float64 {
	left := 1.0
	for _, share := range n.starvedShares {
		left *= 1 - share
	}
	return 1 - left
}

// injectZoneFault starts a fault of the network between a zone and the others.
func (w *World) injectZoneFault(fault *scenario.Fault, zone int) {
	link := &w.zoneLinks[zone]
	switch fault.Kind {
	case "cut":
		link.cuts++
		w.after(fault.For.Microseconds(), func() {
			link.cuts--
			w.resumeAfterCut()
		})
	case "delay":
		link.addedDelay += fault.Delay.Microseconds()
		w.after(fault.For.Microseconds(), func() { link.addedDelay -= fault.Delay.Microseconds() })
	case "breaks":
		random := w.newRand(randFaults + 1<<30)
		for _, n := range w.nodes {
			for _, c := range slices.Clone(n.conns) {
				if c.Host >= 0 && c.path.zone != n.zone && (c.path.zone == zone || n.zone == zone) && random.Float64() < fault.Size {
					w.breakConnection(c)
				}
			}
		}
	}
}

// breakConnection resets a connection in the network, so that both ends are notified.
func (w *World) breakConnection(c *Conn) {
	w.notifyClosed(c, true)
	w.transmit(c, &c.toNode, func() {
		if w.isAlive(c) && !c.nodeDone {
			w.observeHostClose(c)
			w.removeConn(c)
			w.player.Reset(c)
		}
	})
}

// dropClients lets a random share of the established clients drop their connections and connect again. For the fault
// reconnect they reset their connections, for vanish they leave them open.
func (w *World) dropClients(fault *scenario.Fault, random interface{ Float64() float64 }) {
	for _, cl := range slices.Clone(w.clients) {
		if cl.state != clientEstablished || cl.looping || random.Float64() >= fault.Size {
			continue
		}
		cl.flow.AddEvent(record.Event{At: w.now, Kind: record.ClientLeft, Host: -1})
		if fault.Kind == "reconnect" {
			w.closePeerSide(cl.conn, true)
		}
		cl.generation++
		cl.clearConnection()
		w.run.Counts.Disconnects++
		cl.returning, cl.retrying, cl.failures = true, false, 0
		w.after(int64(random.Float64()*float64(fault.For)), cl.attempt)
	}
}
