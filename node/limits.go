package node

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"coursewinch/balance"
	"coursewinch/capture"
	"coursewinch/cluster/lease"
	"coursewinch/cluster/limits"
	"coursewinch/cluster/members"
	"coursewinch/cluster/permits"
)

// Limits that hold for the whole fleet. A flow whose key belongs to another node waits for its word before the module
// hears of it; when none comes, the limit's promise says what becomes of it. What a host may hold is in hand before a
// flow comes: the module is told of hosts that have no permit left as of hosts without room.

// What a limit of the fleet can be over.
const (
	OverAddress = "address" // of a client; IPv6 by /64
	OverType    = "type"
	OverGroup   = "group"
	OverHost    = "host" // connections that it has; a number at once only
	OverCold    = "cold" // flows that a cold host is sent; how many its settings and what is seen of it say
)

// FleetLimit is one: a rate of new flows, or so many flows at once.
type FleetLimit struct {
	Over   string
	Of     string // one service type, group or host alone; empty for each
	Rate   limits.Limit
	AtOnce permits.Limit // Most is 0 where it is a rate
}

// Check says why a limit can't be kept by so many nodes; nil where it can.
func (l FleetLimit) Check(nodes int) error {
	switch {
	case nodes > lease.MostNodes:
		return fmt.Errorf("a limit of %d nodes: %d at most", nodes, lease.MostNodes)
	case !slices.Contains([]string{OverAddress, OverType, OverGroup, OverHost, OverCold}, l.Over):
		return fmt.Errorf("over %q: \"address\", \"type\", \"group\", \"host\" and \"cold\" are what there is", l.Over)
	case l.Over == OverCold && (l != FleetLimit{Over: OverCold, Rate: limits.Limit{Strict: true}, AtOnce: permits.Limit{Strict: true}}):
		return fmt.Errorf("over cold hosts: strict, and no figures")
	case l.Over == OverCold && nodes < 2:
		return fmt.Errorf("over cold hosts: one node has nobody to share with")
	case l.Over == OverCold:
		return nil
	case l.Over == OverAddress && l.Of != "":
		return fmt.Errorf("of %q: over addresses it is for each", l.Of)
	case l.AtOnce.Most != 0 && l.Rate != (limits.Limit{Strict: l.Rate.Strict}):
		return fmt.Errorf("a rate and a number at once: one of the two")
	case l.AtOnce.Most == 0 && l.Over == OverHost:
		return fmt.Errorf("over hosts only a number at once can be kept")
	case l.AtOnce.Most == 0:
		return l.Rate.Check(nodes)
	case l.Over == OverHost && l.AtOnce.Most < nodes:
		return fmt.Errorf("%d at once at a host can't be kept by %d nodes: each needs one", l.AtOnce.Most, nodes)
	}
	return l.AtOnce.Check()
}

// Same tells whether two limits are for one thing.
func (l FleetLimit) Same(other FleetLimit) bool { return l.name() == other.name() }

func (l FleetLimit) name() string {
	kind := "rate"
	if l.AtOnce.Most != 0 {
		kind = "at_once"
	}
	name := l.Over + "." + kind
	if l.Of != "" {
		name += "." + l.Of
	}
	return name
}

// localLimit is a limit as this node keeps its part of it.
type localLimit struct {
	FleetLimit
	name        string
	id          uint32
	rate        *limits.Limits   // one of the two
	concurrent  *permits.Permits // by whom the key of a host is in hand beforehand
	exhaustedAt map[*host]int64  // hosts that had no permit left for a flow, and when
	coldHosts   []*host          // that a grant may be asked for, where it is over these
}

// permit is what a flow has of a limit, to be given back.
type permit struct {
	limit *localLimit
	key   uint64
}

func (n *Node) newLimits(given []FleetLimit, process uint64, nodes int) (all []*localLimit) {
	for _, limit := range given {
		local := &localLimit{FleetLimit: limit, name: limit.name(), id: uint32(hash(limit.name()))}
		if limit.Over == OverCold {
			local.rate = limits.Varied(func(key uint64) limits.Limit { return n.coldLimit(local, key) }, process, nodes, keyOwner{n})
			n.cluster.overload.ColdByGrant(func(server *balance.Server) bool {
				return n.cluster.leases.Lent(int(local.nameKey(server.Name) % lease.Slots))
			})
		} else if limit.AtOnce.Most > 0 {
			local.concurrent, local.exhaustedAt = permits.New(limit.AtOnce, process, nodes, keyOwner{n}), map[*host]int64{}
		} else {
			local.rate = limits.New(limit.Rate, process, nodes, keyOwner{n})
		}
		all = append(all, local)
	}
	// What can be given back comes first, so that a rate is not used up by flows that are refused after all.
	// And cold hosts last: a flow that is refused takes nothing of theirs.
	rank := func(limit *localLimit) int {
		return map[bool]int{true: 2}[limit.Over == OverCold] + map[bool]int{true: 1}[limit.AtOnce.Most == 0]
	}
	slices.SortStableFunc(all, func(x, y *localLimit) int { return cmp.Compare(rank(x), rank(y)) })
	return all
}

// SetLimits takes new figures for limits that are kept already; told which of them are, it tells whether all were.
func (n *Node) SetLimits(all []FleetLimit) (known bool) {
	if n.cluster == nil {
		return len(all) == 0
	}
	known = len(all) == len(n.cluster.limits)
	for _, limit := range all {
		i := slices.IndexFunc(n.cluster.limits, func(local *localLimit) bool { return local.name == limit.name() })
		if i < 0 {
			known = false
			continue
		}
		local := n.cluster.limits[i]
		if local.FleetLimit = limit; local.concurrent != nil {
			local.concurrent.Set(limit.AtOnce)
		} else {
			local.rate.Set(limit.Rate)
		}
	}
	return known
}

// flowKey is what of a limit a flow counts for; ok is false where it does not.
func (l *localLimit) flowKey(n *Node, f *flow) (key uint64, ok bool) {
	switch l.Over {
	case OverAddress:
		return l.nameKey(f.client.limitPrefix.String()), f.client.limitPrefix.IsValid()
	case OverType:
		return l.nameKey(f.typeName(n)), l.Of == "" || l.Of == f.typeName(n)
	case OverGroup:
		if f.group == nil {
			return 0, false
		}
		return l.mixKey(f.group.Hash), l.Of == "" || hash(l.Of) == f.group.Hash
	}
	return 0, false
}

func (f *flow) typeName(n *Node) string {
	for name, no := range n.settings.Names {
		if no == f.TypeNo {
			return name
		}
	}
	return ""
}

func (l *localLimit) nameKey(name string) uint64 { return l.mixKey(hash(name)) }

// mixKey keeps the keys of two limits apart, and spreads them over slots.
func (l *localLimit) mixKey(h uint64) uint64 {
	h = (h ^ uint64(l.id)<<32) * 0x9e3779b97f4a7c15
	return h ^ h>>31
}

func (l *localLimit) hostKey(h *host) (key uint64, ok bool) {
	return l.nameKey(h.uid), l.Over == OverHost && (l.Of == "" || l.Of == h.uid)
}

// keyOwner tells who owns a key, as this process knows it.
type keyOwner struct{ n *Node }

func (o keyOwner) Mine(key uint64) (since, until int64, ok bool) {
	leases, slot := o.n.cluster.leases, int(key%lease.Slots)
	since, ok = leases.Owned(slot)
	return since, leases.Until(slot), ok
}

func (o keyOwner) Who(key uint64) int { return o.n.believedOwner(int(key % lease.Slots)) }

// believedOwner is the node that should own a slot: of this one and those that are linked, the first by hash of slot and name.
// Under 0 it is this one. A belief, and nothing but who asks whom rests on it.
func (n *Node) believedOwner(slot int) (index int) {
	rank := func(name uint32) uint64 {
		x := (uint64(slot)<<32 | uint64(name)) * 0x9e3779b97f4a7c15
		x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
		return x ^ x>>32
	}
	index = -1
	best := rank(uint32(hash(n.config.Cluster.Name)))
	others := n.cluster.members
	for i := range n.config.Cluster.Others {
		name, ok := others.Name(i)
		if !ok || others.Standing(i) != members.Linked {
			continue
		}
		if score := rank(name); score > best {
			index, best = i, score
		}
	}
	return index
}

// updateCluster begins a turn for what belongs to the fleet: what has run out ends before anything else is done.
func (n *Node) updateCluster() {
	cluster := n.cluster
	if cluster == nil {
		return
	}
	cluster.overload.Turn(n.now)
	if cluster.leases == nil {
		return
	}
	cluster.leases.Turn(n.now)
	for _, limit := range cluster.limits {
		if limit.rate != nil {
			n.settleRate(limit, limit.rate.Turn(n.now, n.limitSender(limit)))
			continue
		}
		if limit.Over == OverHost && limit.concurrent.Due(n.now) {
			n.keepHostPermits(limit)
		}
		answers, excesses := limit.concurrent.Turn(n.now, n.limitSender(limit))
		n.settleConcurrent(limit, answers)
		for _, excess := range excesses {
			n.endExcessFlows(limit, excess)
		}
	}
}

// requestLeases asks for the slots that are this node's.
func (n *Node) requestLeases() {
	cluster := n.cluster
	if cluster.leases == nil {
		return
	}
	if cluster.desiredSlots = cluster.desiredSlots[:0]; n.config.Cluster.Others > 0 {
		for slot := range lease.Slots {
			cluster.desiredSlots = append(cluster.desiredSlots, n.believedOwner(slot) < 0)
		}
	}
	cluster.leases.Ask(func(slot int) bool { return len(cluster.desiredSlots) == 0 || cluster.desiredSlots[slot] }, func(payload []byte) {
		for to := range n.config.Cluster.Others {
			n.sendToNode(to, payload)
		}
	})
}

func (n *Node) sendToNode(to int, payload []byte) {
	if members := n.cluster.members; members != nil {
		members.Send(n.now, to, payload, n.config.Cluster.Send)
	}
}

const (
	limitMessageKind = 10    // what is about one limit: its id, and the word of its core
	limitHeaderSize  = 1 + 4 // bytes
)

func (l *localLimit) encode(payload []byte) []byte {
	return append(binary.LittleEndian.AppendUint32([]byte{limitMessageKind}, l.id), payload...)
}

func (n *Node) limitSender(limit *localLimit) func(to int, payload []byte) {
	return func(to int, payload []byte) { n.sendToNode(to, limit.encode(payload)) }
}

// blockedByLimit tells whether a flow waits for the fleet's word, or has been refused by it.
func (n *Node) blockedByLimit(f *flow) bool {
	cluster := n.cluster
	if cluster == nil || f.rejoins {
		return false
	}
	for f.nextLimit < len(cluster.limits) {
		limit := cluster.limits[f.nextLimit]
		if limit.Over == OverCold {
			if n.awaitsColdGrant(f, limit) {
				return true
			}
			f.nextLimit++
			continue
		}
		key, ok := limit.flowKey(n, f)
		if !ok {
			f.nextLimit++
			continue
		}
		var granted, waits bool
		if limit.concurrent != nil {
			granted, waits = limit.concurrent.Take(key, f, n.limitSender(limit))
		} else {
			granted, waits = limit.rate.Take(key, f, n.limitSender(limit))
		}
		if waits {
			f.pendingKey = key
			return true
		}
		if !granted {
			n.refuseFlow(f, limit)
			return true
		}
		f.passLimit(limit, key)
	}
	return false
}

// passLimit is that a flow is let pass by a limit.
func (f *flow) passLimit(limit *localLimit, key uint64) {
	if f.nextLimit++; limit.concurrent != nil {
		f.permits = append(f.permits, permit{limit, key})
	}
}

// releasePermits gives back what a flow had.
func (f *flow) releasePermits() {
	for _, p := range f.permits {
		p.limit.concurrent.Done(p.key)
	}
	f.permits = nil
}

// refuseFlow rejects a flow that the module has not heard of.
func (n *Node) refuseFlow(f *flow, limit *localLimit) {
	n.logThrottled("limited", limit.name)
	n.countAnswer(f, capture.Rejected)
	n.removeFlow(f)
	n.sendFinalLine(f.client, n.busyAnswer())
}

func (n *Node) busyAnswer() string {
	if wait := n.settings.MaxWait / 2; wait > 0 {
		return fmt.Sprintf("BUSY %d\r\n", wait/ms)
	}
	return "BUSY\r\n"
}

func (n *Node) settleRate(limit *localLimit, answers []limits.Answer) {
	for _, answer := range answers {
		if request, ok := answer.Waiter.(*coldRequest); ok {
			n.coldAnswered(limit, request, answer)
			continue
		}
		n.settleFlow(limit, answer.Waiter.(*flow), answer.Yes)
	}
}

func (n *Node) settleConcurrent(limit *localLimit, answers []permits.Answer) {
	for _, answer := range answers {
		n.settleFlow(limit, answer.Waiter.(*flow), answer.Yes)
	}
}

// pendingLimit gives the limit for whose word a flow waits; nil where the module has heard of it.
func (n *Node) pendingLimit(f *flow) *localLimit {
	if cluster := n.cluster; cluster != nil && f.nextLimit < len(cluster.limits) {
		return cluster.limits[f.nextLimit]
	}
	return nil
}

// settleFlow lets a flow go on that waited, or refuses it.
func (n *Node) settleFlow(limit *localLimit, f *flow, granted bool) {
	key := f.pendingKey // one that is over has no group any more
	switch {
	case f.ended && granted && limit.concurrent != nil:
		limit.concurrent.Done(key) // it did not wait for its answer
	case f.ended:
	case granted:
		if f.passLimit(limit, key); !n.blockedByLimit(f) {
			n.decider.Demand(&f.Flow)
		}
	default:
		n.refuseFlow(f, limit)
	}
}

// endExcessFlows ends flows that have no permit any more: those that wait, then the newest of the established, then set-ups.
func (n *Node) endExcessFlows(limit *localLimit, excess permits.Excess) {
	var flows []*flow
	for _, entry := range n.flows.entries {
		f := entry.value
		if f == nil || f.ended {
			continue
		}
		if key, ok := uint64(0), false; f.host != nil && limit.Over == OverHost {
			if key, ok = limit.hostKey(f.host); ok && key == excess.Key {
				flows = append(flows, f)
			}
		} else if slices.Contains(f.permits, permit{limit, excess.Key}) {
			flows = append(flows, f)
		}
	}
	order := map[Stage]int{Waiting: 0, Established: 1, Dialing: 2, Asked: 3}
	slices.SortStableFunc(flows, func(x, y *flow) int {
		return cmp.Or(cmp.Compare(order[x.stage], order[y.stage]), cmp.Compare(y.establishedAt, x.establishedAt))
	})
	for _, f := range flows[:min(excess.N, len(flows))] {
		n.logThrottled("permit_ran_out", limit.name)
		f.releasePermits()
		if f.stage == Established {
			n.Move(&f.Flow)
			continue
		}
		client, answer, line := f.client, byte(capture.Rejected), n.busyAnswer()
		if f.stage == Asked {
			answer, line = capture.Aborted, "ERR\r\n" // it may have run
		}
		n.countAnswer(f, answer)
		n.withdraw(f)
		n.sendFinalLine(client, line)
	}
}

const exhaustedFor = 2 * second // after it had none left for a flow, more permits for a host are kept in hand

// keepHostPermits says what this node has at hosts, and how much more it wants to have in hand.
func (n *Node) keepHostPermits(limit *localLimit) {
	nodes := n.config.Cluster.Others + 1
	for _, h := range n.hostList {
		key, ok := limit.hostKey(h)
		if !ok {
			continue
		}
		use, spare := h.Flows(), 0
		switch at, asked := limit.exhaustedAt[h]; {
		case h.State != balance.Up:
		case asked && n.now-at < exhaustedFor:
			spare = 1 + use/4
		case use == 0 || limit.AtOnce.Most >= 4*nodes:
			spare = 1
		}
		if asked := limit.exhaustedAt[h]; n.now-asked >= exhaustedFor {
			delete(limit.exhaustedAt, h)
		}
		limit.concurrent.Keep(key, use, spare)
	}
}

// hostBounds are the module's bounds where hosts have limits as well.
type hostBounds struct {
	balance.Bounds
	n *Node
}

// Room is none at a host for which no permit is in hand.
func (b hostBounds) Room(server *balance.Server, f *balance.Flow) float64 {
	room := b.Bounds.Room(server, f)
	if h := b.n.hosts[server.Name]; room > 0 && h != nil {
		for _, limit := range b.n.cluster.limits {
			if key, ok := limit.hostKey(h); ok && h.Flows() >= limit.concurrent.May(key) {
				limit.exhaustedAt[h] = b.n.now
				return 0
			}
		}
	}
	return room
}

// adoptPermits counts a flow that the process before hands over, with what it had: for so many microseconds still.
func (n *Node) adoptPermits(f *flow, predecessor uint64, left int64) {
	cluster := n.cluster
	if cluster == nil || predecessor == 0 {
		return
	}
	f.nextLimit = len(cluster.limits)
	for _, limit := range cluster.limits {
		if limit.concurrent == nil {
			continue
		}
		if key, ok := limit.flowKey(n, f); ok {
			limit.concurrent.TakeOver(key, predecessor, left)
			f.permits = append(f.permits, permit{limit, key})
		} else if key, ok := limit.hostKey(f.host); ok {
			limit.concurrent.TakeOver(key, predecessor, left)
		}
	}
}

// permitTimeLeft is for how long what a flow has still counts, for the process that takes over.
func (n *Node) permitTimeLeft(f *flow) (left int64) {
	if n.cluster == nil {
		return 0
	}
	left = permits.Use
	for _, held := range f.permits {
		left = min(left, held.limit.concurrent.Left(held.key))
	}
	for _, limit := range n.cluster.limits {
		if key, ok := limit.hostKey(f.host); ok {
			left = min(left, limit.concurrent.Left(key))
		}
	}
	return left
}

// yieldLimits is that another process of this node takes what is new.
func (n *Node) yieldLimits() {
	if n.cluster == nil {
		return
	}
	for _, limit := range n.cluster.limits {
		if limit.concurrent != nil {
			limit.concurrent.Yield()
		}
	}
}

// receiveLimitMessage takes what another node says of leases and limits; false for what is about neither.
func (n *Node) receiveLimitMessage(from int, message members.Word) bool {
	cluster := n.cluster
	if cluster.leases == nil {
		return false
	}
	payload := message.Payload
	if cluster.leases.Take(from+1, message.Process, payload, func(payload []byte) { n.sendToNode(from, payload) }) {
		return true
	}
	if len(payload) <= limitHeaderSize || payload[0] != limitMessageKind {
		return false
	}
	id := binary.LittleEndian.Uint32(payload[1:])
	index := slices.IndexFunc(cluster.limits, func(limit *localLimit) bool { return limit.id == id })
	if index < 0 {
		cluster.unknownLimits++ // the files of two nodes differ
		return true
	}
	limit, payload := cluster.limits[index], payload[limitHeaderSize:]
	answer := func(payload []byte) { n.sendToNode(from, limit.encode(payload)) }
	if limit.concurrent != nil {
		if limit.concurrent.TakeAsk(message.Process, payload, answer) {
			return true
		}
		answers, ok := limit.concurrent.Told(from, payload)
		n.settleConcurrent(limit, answers)
		return ok
	}
	if limit.rate.TakeAsk(payload, answer) {
		return true
	}
	answers, ok := limit.rate.Told(from, payload, n.limitSender(limit))
	n.settleRate(limit, answers)
	return ok
}

// limitMetrics is the limits' figures for operators; empty where there are none.
func (n *Node) limitMetrics() string {
	cluster := n.cluster
	if cluster.leases == nil {
		return ""
	}
	var text strings.Builder
	owned := 0
	for slot := range lease.Slots {
		if _, ok := cluster.leases.Owned(slot); ok {
			owned++
		}
	}
	fmt.Fprintf(&text, "limit_slots_owned=%d\nlimit_unknown=%d\n", owned, cluster.unknownLimits)
	for _, limit := range cluster.limits {
		add := func(name string, v int64) { fmt.Fprintf(&text, "limit.%s.%s=%d\n", limit.name, name, v) }
		if concurrent := limit.concurrent; concurrent != nil {
			used, ledgers := concurrent.Keys()
			add("held", int64(concurrent.Used()))
			add("granted", concurrent.Granted)
			add("refused", concurrent.Refused)
			add("over", concurrent.Ended)
			add("asked", concurrent.Asked)
			add("alone", concurrent.Alone)
			add("stray", concurrent.Stray)
			add("keys", int64(used+ledgers))
			add("word_ms", concurrent.Oldest()/ms)
			continue
		}
		rate := limit.rate
		add("granted", rate.Granted)
		add("refused", rate.Refused)
		add("asked", rate.Asked)
		add("alone", rate.Alone)
		add("stray", rate.Stray)
		add("keys", int64(rate.Keys()))
		add("word_ms", rate.Oldest()/ms)
	}
	return text.String()
}

// limitsByAddress tells whether a limit is over clients' addresses.
func (n *Node) limitsByAddress() bool {
	return n.cluster != nil && slices.ContainsFunc(n.cluster.limits, func(l *localLimit) bool { return l.Over == OverAddress })
}
