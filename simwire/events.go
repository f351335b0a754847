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
	flagsReturning = 2 | 16 // either bit: the client has connected before
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
func (a *Adapter) handleEvent(b *balance.Balancer) {
	l := &a.line
	switch string(l.name) {
	case "demand":
		a.handleDemand(b)
	case "handover":
		a.handleHandover(b)
	case "established":
		a.handleEstablished(b)
	case "signal":
		a.handleSignal(b)
	case "response":
		a.handleResponse(b)
	case "expired":
		a.handleExpired()
	case "probed":
		a.handleProbed(b)
	case "tick_due":
		l.takeCount("Ref", false)
		if l.endOfLine() == nil {
			b.AlarmFired()
		}
	case "announce":
		a.handleAnnounce(b)
	case "whisper":
		l.takeCount("SrcPeer", false)
		payload := l.takeAny("Payload")
		if l.endOfLine() == nil {
			a.current.handlePeerMessage(b, payload)
		}
	default:
		a.err = fmt.Errorf("line %d: unknown message %q", l.number, l.name)
	}
}

// handleDemand handles a new flow.
func (a *Adapter) handleDemand(b *balance.Balancer) {
	l, n := &a.line, a.current
	id, flags := string(l.takeText("Ref")), l.takeCount("Flags", false)
	f := a.newFlow(id, l.takeIndex("Priority", len(n.settings.Types), false))
	l.takeCount("Team", true)
	f.Hash = keyHash(l.takeAny("Object"))
	f.Returning = flags&flagsReturning != 0
	f.LoadHint = loadHint(flags, l.takeNumber("PredictedMs"))
	f.Group = n.groupByName(l.takeAny("Channel"))
	left := l.takeMicros("LeftMs")
	if l.endOfLine() != nil {
		return
	}
	f.Deadline = a.now + left
	n.flows[id] = f
	b.PlaceFlow(f)
}

// handleHandover handles a flow that is established already, on a server chosen by another instance.
func (a *Adapter) handleHandover(b *balance.Balancer) {
	l, n := &a.line, a.current
	id := string(l.takeText("Ref"))
	l.takeMicros("LeftMs")
	s := a.serverByName(l.takeText("Host"))
	serviceType := l.takeIndex("Priority", len(n.settings.Types), false)
	predicted := l.takeNumber("PredictedMs")
	l.takeCount("Team", true)
	flags := l.takeCount("Flags", false)
	group, object := l.takeAny("Channel"), l.takeAny("Object")
	if l.endOfLine() != nil || a.err != nil {
		return
	}
	f := a.newFlow(id, serviceType)
	f.LoadHint, f.Group, f.Hash = loadHint(flags, predicted), n.groupByName(group), keyHash(object)
	state := f.Ref.(*flowState)
	state.connects, state.pending = append(state.connects, s), 1
	n.flows[id] = f
	b.AdoptFlow(f, s)
}

// handleEstablished handles a connect that succeeded.
func (a *Adapter) handleEstablished(b *balance.Balancer) {
	l := &a.line
	f, _ := a.takeConnect()
	took := l.takeMicros("DelaySeenMs")
	l.takeText("Host")
	if f != nil && l.endOfLine() == nil {
		b.Established(f, took)
	}
}

// handleSignal handles a measured load of a flow, or a measured delay of a server.
func (a *Adapter) handleSignal(b *balance.Balancer) {
	l := &a.line
	f, _ := a.takeConnect()
	s := a.serverByName(l.takeText("Host"))
	topic, amount := l.takeCount("Topic", false), l.takeNumber("Amount")
	if l.endOfLine() != nil || a.err != nil {
		return
	}
	if topic == topicLoad && f != nil {
		b.LoadMeasured(f, amount)
	} else if topic == topicDelay {
		b.DelayMeasured(s, int64(amount*1000))
	}
}

// handleResponse handles the outcome of a connect, and the end of its flow if the flow has finished.
func (a *Adapter) handleResponse(b *balance.Balancer) {
	l := &a.line
	f, s := a.takeConnect()
	l.takeText("Host")
	outcome, took, finished := a.takeOutcome(), l.takeMicros("DelaySeenMs"), l.takeFlag("Over")
	load, reported := a.loadReport()
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
		delete(a.current.flows, state.id)
	}
}

// handleExpired forgets a flow, after the outcomes of its pending connects.
func (a *Adapter) handleExpired() {
	l, n := &a.line, a.current
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
func (a *Adapter) handleProbed(b *balance.Balancer) {
	l := &a.line
	s, outcome := a.serverByName(l.takeText("Host")), a.takeOutcome()
	took := l.takeMicros("DelaySeenMs")
	load, reported := a.loadReport()
	if l.endOfLine() == nil && a.err == nil {
		if reported {
			b.LoadReported(s, load, true)
		}
		b.Probed(s, outcome, took)
	}
}

// handleAnnounce handles a list of servers: the current line and the item lines that follow.
func (a *Adapter) handleAnnounce(b *balance.Balancer) {
	l := &a.line
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
		if a.err = a.nextLine(); a.err != nil {
			return
		}
		if string(l.name) != "item" {
			a.err = fmt.Errorf("line %d: %s instead of an item of announce", l.number, l.name)
			return
		}
		a.handleItem(b)
		if a.err != nil {
			return
		}
	}
	b.EndList(kind)
}

// handleItem handles one entry of a list of servers.
func (a *Adapter) handleItem(b *balance.Balancer) {
	l, n := &a.line, a.current
	host := l.takeText("Host")
	zone, _, cell := l.takeCount("Site", false), l.takeCount("Sku", false), l.takeCount("Cohort", false)
	availability := l.takeText("Availability")
	state := balance.State(max(slices.Index(serverStates, string(availability)), 0))
	if l.err == nil && !slices.Contains(serverStates, string(availability)) {
		l.fail("Availability", fmt.Sprintf("is not a server state: %q", availability))
	}
	size, ready := l.takeNumber("Scale"), l.takeMicros("ReadyAtMs")
	if a.err = l.endOfLine(); a.err != nil {
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
func (a *Adapter) loadReport() (load float64, reported bool) {
	return lines.LoadReport(bytes.Split(a.line.takeAny("Usage"), []byte(","))).Value(a.current.settings.LoadReportIndex)
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

// newFlow returns a flow of a service type, given by its index. An index out of range is replaced by the nearest valid one.
func (a *Adapter) newFlow(id string, serviceType int) *balance.Flow {
	serviceType = min(max(serviceType, 0), len(a.current.settings.Types)-1)
	return &balance.Flow{Type: &a.current.settings.Types[serviceType], TypeIndex: serviceType,
		Passthrough: a.current.settings.PassThrough, Ref: &flowState{id: id}}
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
func (a *Adapter) serverByName(p []byte) *balance.Server {
	s := a.current.servers[string(p)]
	if s == nil {
		if a.line.err == nil {
			a.line.fail("Host", fmt.Sprintf("is not on any list: %q", p))
		}
		a.err = a.line.err
	}
	return s
}

// takeOutcome takes the outcome of a connect or a probe.
func (a *Adapter) takeOutcome() balance.Outcome {
	p := a.line.takeText("Disposition")
	outcome, ok := outcomesByName[string(p)]
	if !ok {
		a.line.fail("Disposition", fmt.Sprintf("is not an outcome: %q", p))
	}
	return outcome
}

// takeConnect takes a flow's id and the index of one of its connects. The flow is nil if its id has been forgotten.
func (a *Adapter) takeConnect() (*balance.Flow, *balance.Server) {
	l := &a.line
	id, index := l.takeText("Ref"), l.takeCount("Shot", false)
	f := a.current.flows[string(id)]
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
