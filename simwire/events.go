package simwire

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"slices"

	"coursewinch/balance"
	"coursewinch/cluster/peers"
	"coursewinch/lines"
)

// Bits of the field Flags.
const (
	flagPredicted  = 1      // PredictedMs holds a prediction
	flagsReturning = 2 | 16 // the client has connected before
)

// Values of the field Topic of a signal.
const (
	topicLoad  = 1
	topicDelay = 2
)

// Values of fields, in the order of the constants of package balance.
var (
	listKinds    = []string{"changes", "all", "remembered", "refused"}
	serverStates = []string{"up", "draining", "removed"}
)

// handleEvent makes the call for the current line.
func (d *Adapter) handleEvent(b *balance.Balancer) {
	l := &d.line
	switch string(l.name) {
	case "demand":
		d.handleDemand(b)
	case "handover":
		d.handleHandover(b)
	case "established":
		d.handleEstablished(b)
	case "signal":
		d.handleSignal(b)
	case "response":
		d.handleResponse(b)
	case "expired":
		d.handleExpired()
	case "probed":
		d.handleProbed(b)
	case "tick_due":
		l.takeCount("Ref", false)
		if l.endOfLine() == nil {
			b.AlarmFired()
		}
	case "announce":
		d.handleAnnounce(b)
	case "whisper":
		l.takeCount("SrcPeer", false)
		payload := l.takeAny("Payload")
		if l.endOfLine() == nil {
			d.current.handlePeerMessage(b, payload)
		}
	default:
		d.err = fmt.Errorf("line %d: unknown message %q", l.number, l.name)
	}
}

// handleDemand handles a new flow.
func (d *Adapter) handleDemand(b *balance.Balancer) {
	l, n := &d.line, d.current
	id, flags := string(l.takeText("Ref")), l.takeCount("Flags", false)
	f := d.newFlow(id, l.takeIndex("Priority", len(n.settings.Types), false))
	l.takeCount("Team", true)
	f.Hash = keyHash(l.takeAny("Object"))
	f.Returning = flags&flagsReturning != 0
	f.LoadHint = loadHint(flags, l.takeNumber("PredictedMs"))
	f.Group = n.groupByName(l.takeAny("Channel"))
	left := l.takeMicros("LeftMs")
	if l.endOfLine() != nil {
		return
	}
	f.Deadline = d.now + left
	n.flows[id] = f
	b.PlaceFlow(f)
}

// handleHandover handles a flow that is established already, on a server chosen by another instance.
func (d *Adapter) handleHandover(b *balance.Balancer) {
	l, n := &d.line, d.current
	id := string(l.takeText("Ref"))
	l.takeMicros("LeftMs")
	s := d.serverByName(l.takeText("Host"))
	serviceType := l.takeIndex("Priority", len(n.settings.Types), false)
	predicted := l.takeNumber("PredictedMs")
	l.takeCount("Team", true)
	flags := l.takeCount("Flags", false)
	group, object := l.takeAny("Channel"), l.takeAny("Object")
	if l.endOfLine() != nil || d.err != nil {
		return
	}
	f := d.newFlow(id, serviceType)
	f.LoadHint, f.Group, f.Hash = loadHint(flags, predicted), n.groupByName(group), keyHash(object)
	state := f.Ref.(*flowState)
	state.connects, state.pending = append(state.connects, s), 1
	n.flows[id] = f
	b.AdoptFlow(f, s)
}

// handleEstablished handles a connect that succeeded.
func (d *Adapter) handleEstablished(b *balance.Balancer) {
	l := &d.line
	f, _ := d.takeConnect()
	took := l.takeMicros("DelaySeenMs")
	l.takeText("Host")
	if f != nil && l.endOfLine() == nil {
		b.Established(f, took)
	}
}

// handleSignal handles a measured load of a flow, or a measured delay of a server.
func (d *Adapter) handleSignal(b *balance.Balancer) {
	l := &d.line
	f, _ := d.takeConnect()
	s := d.serverByName(l.takeText("Host"))
	topic, amount := l.takeCount("Topic", false), l.takeNumber("Amount")
	if l.endOfLine() != nil || d.err != nil {
		return
	}
	if topic == topicLoad && f != nil {
		b.LoadMeasured(f, amount)
	} else if topic == topicDelay {
		b.DelayMeasured(s, int64(amount*1000))
	}
}

// handleResponse handles the outcome of a connect, and the end of its flow if the flow has finished.
func (d *Adapter) handleResponse(b *balance.Balancer) {
	l := &d.line
	f, s := d.takeConnect()
	l.takeText("Host")
	outcome, took, finished := d.takeOutcome(), l.takeMicros("DelaySeenMs"), l.takeFlag("Over")
	load, reported := d.loadReport()
	if f == nil || l.endOfLine() != nil {
		return
	}
	if reported {
		b.LoadReported(s, load, true)
	}
	state := f.Ref.(*flowState)
	state.pending--
	state.finished = state.finished || finished
	b.Ended(f, s, outcome, took, state.finished)
	if state.finished && state.pending == 0 {
		delete(d.current.flows, state.id)
	}
}

// handleExpired forgets a flow, after the outcomes of its pending connects.
func (d *Adapter) handleExpired() {
	l, n := &d.line, d.current
	id := l.takeText("Ref")
	if l.endOfLine() != nil {
		return
	}
	if f := n.flows[string(id)]; f != nil {
		state := f.Ref.(*flowState)
		state.finished = true
		if state.pending == 0 {
			delete(n.flows, state.id)
		}
	}
}

// handleProbed handles the outcome of a probe.
func (d *Adapter) handleProbed(b *balance.Balancer) {
	l := &d.line
	s, outcome := d.serverByName(l.takeText("Host")), d.takeOutcome()
	took := l.takeMicros("DelaySeenMs")
	load, reported := d.loadReport()
	if l.endOfLine() == nil && d.err == nil {
		if reported {
			b.LoadReported(s, load, true)
		}
		b.Probed(s, outcome, took)
	}
}

// handleAnnounce handles a list of servers: the current line and the item lines that follow.
func (d *Adapter) handleAnnounce(b *balance.Balancer) {
	l := &d.line
	scope := l.takeText("Scope")
	kind := balance.ListKind(max(slices.Index(listKinds, string(scope)), 0))
	if l.err == nil && !slices.Contains(listKinds, string(scope)) {
		l.fail("Scope", fmt.Sprintf("is not a kind of list: %q", scope))
	}
	l.takeCount("Rev", true)
	items := l.takeCount("Records", true)
	if l.endOfLine() != nil {
		return
	}
	b.BeginList(kind)
	for range items {
		if d.err = d.nextLine(); d.err != nil {
			return
		}
		if string(l.name) != "item" {
			d.err = fmt.Errorf("line %d: %s instead of an item of announce", l.number, l.name)
			return
		}
		d.handleItem(b)
		if d.err != nil {
			return
		}
	}
	b.EndList(kind)
}

// handleItem handles one entry of a list of servers.
func (d *Adapter) handleItem(b *balance.Balancer) {
	l, n := &d.line, d.current
	host := l.takeText("Host")
	zone, _, cell := l.takeCount("Site", false), l.takeCount("Sku", false), l.takeCount("Cohort", false)
	availability := l.takeText("Availability")
	state := balance.State(max(slices.Index(serverStates, string(availability)), 0))
	if l.err == nil && !slices.Contains(serverStates, string(availability)) {
		l.fail("Availability", fmt.Sprintf("is not a server state: %q", availability))
	}
	size, ready := l.takeNumber("Scale"), l.takeMicros("ReadyAtMs")
	if d.err = l.endOfLine(); d.err != nil {
		return
	}
	s := n.servers[string(host)]
	if s == nil {
		s = &balance.Server{Name: string(host), Hash: hashOf(host)}
		n.servers[s.Name] = s
		n.serversByShortHash[peers.ShortHash(s.Hash)] = s
	}
	s.Zone, s.Cell = int(zone), int(cell)
	if size <= 0 {
		size = 1
	}
	b.ListEntry(s, state, size, ready)
}

// loadReport takes the load from a load report. An invalid report is ignored, like an invalid message of another node.
func (d *Adapter) loadReport() (load float64, reported bool) {
	return lines.LoadReport(bytes.Split(d.line.takeAny("Usage"), []byte(","))).Value(d.current.settings.LoadReportIndex)
}

// handlePeerMessage handles a message of another node. An invalid message is ignored.
func (n *instance) handlePeerMessage(b *balance.Balancer, payload []byte) {
	raw, err := base64.StdEncoding.DecodeString(string(payload))
	if err != nil {
		return
	}
	peers.Decode(raw, func(hash uint32, load float64) {
		if s := n.serversByShortHash[hash]; s != nil {
			b.LoadReported(s, load, false)
		}
	}, func(group, hash uint32) {
		if s := n.serversByShortHash[hash]; s != nil {
			b.PlacementReported(n.groupByShortHash(group), s)
		}
	})
}

// loadHint returns a predicted load in microseconds, 0 if the flags say that there is none.
func loadHint(flags int64, ms float64) float64 {
	if flags&flagPredicted == 0 {
		return 0
	}
	return ms * 1000
}

// newFlow returns a flow of a service type, which is limited to the configured types.
func (d *Adapter) newFlow(id string, serviceType int) *balance.Flow {
	serviceType = min(max(serviceType, 0), len(d.current.settings.Types)-1)
	return &balance.Flow{Type: &d.current.settings.Types[serviceType], TypeIndex: serviceType,
		Passthrough: d.current.settings.PassThrough, Ref: &flowState{id: id}}
}

// groupByShortHash returns the group with the hash that peer messages use, and creates it on first use.
func (n *instance) groupByShortHash(short uint32) *balance.Group {
	if n.groupsByShortHash[short] == nil {
		n.groupsByShortHash[short] = &balance.Group{Hash: uint64(short)}
	}
	return n.groupsByShortHash[short]
}

// groupByName returns the group of this name, and creates it on first use. It returns nil for an absent name.
func (n *instance) groupByName(p []byte) *balance.Group {
	if isAbsent(p) {
		return nil
	}
	g := n.groups[string(p)]
	if g == nil {
		h := hashOf(p)
		g = n.groupByShortHash(peers.ShortHash(h))
		g.Hash, n.groups[string(p)] = h, g
	}
	return g
}

// serverByName returns the server of this name. It sets the adapter's error if no list has named it.
func (d *Adapter) serverByName(p []byte) *balance.Server {
	s := d.current.servers[string(p)]
	if s == nil {
		if d.line.err == nil {
			d.line.fail("Host", fmt.Sprintf("is not on any list: %q", p))
		}
		d.err = d.line.err
	}
	return s
}

// takeOutcome takes the outcome of a connect or a probe.
func (d *Adapter) takeOutcome() balance.Outcome {
	p := d.line.takeText("Disposition")
	outcome, ok := outcomesByName[string(p)]
	if !ok {
		d.line.fail("Disposition", fmt.Sprintf("is not an outcome: %q", p))
	}
	return outcome
}

// takeConnect takes a flow's id and the index of one of its connects. The flow is nil if its id has been forgotten.
func (d *Adapter) takeConnect() (*balance.Flow, *balance.Server) {
	l := &d.line
	id, index := l.takeText("Ref"), l.takeCount("Shot", false)
	f := d.current.flows[string(id)]
	if f == nil || l.err != nil {
		return nil, nil
	}
	connects := f.Ref.(*flowState).connects
	if index >= int64(len(connects)) {
		l.fail("Shot", fmt.Sprintf("is %d, but only %d connects were made", index, len(connects)))
		return nil, nil
	}
	return f, connects[index]
}
