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
func (l FleetLimit) Same(o FleetLimit) bool { return l.name() == o.name() }

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

func (n *Node) newLimits(of []FleetLimit, process uint64, nodes int) (all []*localLimit) {
	for _, l := range of {
		k := &localLimit{FleetLimit: l, name: l.name(), id: uint32(hash(l.name()))}
		if l.Over == OverCold {
			k.rate = limits.Varied(func(key uint64) limits.Limit { return n.coldLimit(k, key) }, process, nodes, keyOwner{n})
			n.cluster.overload.ColdByGrant(func(s *balance.Server) bool { return n.cluster.leases.Lent(int(k.nameKey(s.Name) % lease.Slots)) })
		} else if l.AtOnce.Most > 0 {
			k.concurrent, k.exhaustedAt = permits.New(l.AtOnce, process, nodes, keyOwner{n}), map[*host]int64{}
		} else {
			k.rate = limits.New(l.Rate, process, nodes, keyOwner{n})
		}
		all = append(all, k)
	}
	// What can be given back comes first, so that a rate is not used up by flows that are refused after all.
	// And cold hosts last: a flow that is refused takes nothing of theirs.
	rank := func(l *localLimit) int {
		return map[bool]int{true: 2}[l.Over == OverCold] + map[bool]int{true: 1}[l.AtOnce.Most == 0]
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
	for _, l := range all {
		i := slices.IndexFunc(n.cluster.limits, func(k *localLimit) bool { return k.name == l.name() })
		if i < 0 {
			known = false
			continue
		}
		k := n.cluster.limits[i]
		if k.FleetLimit = l; k.concurrent != nil {
			k.concurrent.Set(l.AtOnce)
		} else {
			k.rate.Set(l.Rate)
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
	l, s := o.n.cluster.leases, int(key%lease.Slots)
	since, ok = l.Owned(s)
	return since, l.Until(s), ok
}

func (o keyOwner) Who(key uint64) int { return o.n.believedOwner(int(key % lease.Slots)) }

// believedOwner is the node that should own a slot: of this one and those that are linked, the first by hash of slot and name.
// Under 0 it is this one. A belief, and nothing but who asks whom rests on it.
func (n *Node) believedOwner(slot int) (no int) {
	rank := func(name uint32) uint64 {
		x := (uint64(slot)<<32 | uint64(name)) * 0x9e3779b97f4a7c15
		x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
		return x ^ x>>32
	}
	no = -1
	best := rank(uint32(hash(n.config.Cluster.Name)))
	m := n.cluster.members
	for i := range n.config.Cluster.Others {
		name, ok := m.Name(i)
		if !ok || m.Standing(i) != members.Linked {
			continue
		}
		if r := rank(name); r > best {
			no, best = i, r
		}
	}
	return no
}

// updateCluster begins a turn for what belongs to the fleet: what has run out ends before anything else is done.
func (n *Node) updateCluster() {
	k := n.cluster
	if k == nil {
		return
	}
	k.overload.Turn(n.now)
	if k.leases == nil {
		return
	}
	k.leases.Turn(n.now)
	for _, l := range k.limits {
		if l.rate != nil {
			n.settleRate(l, l.rate.Turn(n.now, n.limitSender(l)))
			continue
		}
		if l.Over == OverHost && l.concurrent.Due(n.now) {
			n.keepHostPermits(l)
		}
		done, over := l.concurrent.Turn(n.now, n.limitSender(l))
		n.settleConcurrent(l, done)
		for _, e := range over {
			n.endExcessFlows(l, e)
		}
	}
}

// requestLeases asks for the slots that are this node's.
func (n *Node) requestLeases() {
	k := n.cluster
	if k.leases == nil {
		return
	}
	if k.desiredSlots = k.desiredSlots[:0]; n.config.Cluster.Others > 0 {
		for s := range lease.Slots {
			k.desiredSlots = append(k.desiredSlots, n.believedOwner(s) < 0)
		}
	}
	k.leases.Ask(func(s int) bool { return len(k.desiredSlots) == 0 || k.desiredSlots[s] }, func(p []byte) {
		for to := range n.config.Cluster.Others {
			n.sendToNode(to, p)
		}
	})
}

func (n *Node) sendToNode(to int, p []byte) {
	if m := n.cluster.members; m != nil {
		m.Send(n.now, to, p, n.config.Cluster.Send)
	}
}

const (
	limitMessageKind = 10    // what is about one limit: its id, and the word of its core
	limitHeaderSize  = 1 + 4 // bytes
)

func (l *localLimit) encode(p []byte) []byte {
	return append(binary.LittleEndian.AppendUint32([]byte{limitMessageKind}, l.id), p...)
}

func (n *Node) limitSender(l *localLimit) func(to int, p []byte) {
	return func(to int, p []byte) { n.sendToNode(to, l.encode(p)) }
}

// blockedByLimit tells whether a flow waits for the fleet's word, or has been refused by it.
func (n *Node) blockedByLimit(f *flow) bool {
	k := n.cluster
	if k == nil || f.rejoins {
		return false
	}
	for f.nextLimit < len(k.limits) {
		l := k.limits[f.nextLimit]
		if l.Over == OverCold {
			if n.awaitsColdGrant(f, l) {
				return true
			}
			f.nextLimit++
			continue
		}
		key, ok := l.flowKey(n, f)
		if !ok {
			f.nextLimit++
			continue
		}
		var yes, waits bool
		if l.concurrent != nil {
			yes, waits = l.concurrent.Take(key, f, n.limitSender(l))
		} else {
			yes, waits = l.rate.Take(key, f, n.limitSender(l))
		}
		if waits {
			f.pendingKey = key
			return true
		}
		if !yes {
			n.refuseFlow(f, l)
			return true
		}
		f.passLimit(l, key)
	}
	return false
}

// passLimit is that a flow is let pass by a limit.
func (f *flow) passLimit(l *localLimit, key uint64) {
	if f.nextLimit++; l.concurrent != nil {
		f.permits = append(f.permits, permit{l, key})
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
func (n *Node) refuseFlow(f *flow, l *localLimit) {
	n.logThrottled("limited", l.name)
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

func (n *Node) settleRate(l *localLimit, done []limits.Answer) {
	for _, a := range done {
		if q, ok := a.Waiter.(*coldRequest); ok {
			n.coldAnswered(l, q, a)
			continue
		}
		n.settleFlow(l, a.Waiter.(*flow), a.Yes)
	}
}

func (n *Node) settleConcurrent(l *localLimit, done []permits.Answer) {
	for _, a := range done {
		n.settleFlow(l, a.Waiter.(*flow), a.Yes)
	}
}

// pendingLimit gives the limit for whose word a flow waits; nil where the module has heard of it.
func (n *Node) pendingLimit(f *flow) *localLimit {
	if k := n.cluster; k != nil && f.nextLimit < len(k.limits) {
		return k.limits[f.nextLimit]
	}
	return nil
}

// settleFlow lets a flow go on that waited, or refuses it.
func (n *Node) settleFlow(l *localLimit, f *flow, yes bool) {
	key := f.pendingKey // one that is over has no group any more
	switch {
	case f.ended && yes && l.concurrent != nil:
		l.concurrent.Done(key) // it did not wait for its answer
	case f.ended:
	case yes:
		if f.passLimit(l, key); !n.blockedByLimit(f) {
			n.decider.Demand(&f.Flow)
		}
	default:
		n.refuseFlow(f, l)
	}
}

// endExcessFlows ends flows that have no permit any more: those that wait, then the newest of the established, then set-ups.
func (n *Node) endExcessFlows(l *localLimit, e permits.Excess) {
	var all []*flow
	for _, s := range n.flows.entries {
		f := s.value
		if f == nil || f.ended {
			continue
		}
		if key, ok := uint64(0), false; f.host != nil && l.Over == OverHost {
			if key, ok = l.hostKey(f.host); ok && key == e.Key {
				all = append(all, f)
			}
		} else if slices.Contains(f.permits, permit{l, e.Key}) {
			all = append(all, f)
		}
	}
	order := map[Stage]int{Waiting: 0, Established: 1, Dialing: 2, Asked: 3}
	slices.SortStableFunc(all, func(x, y *flow) int {
		return cmp.Or(cmp.Compare(order[x.stage], order[y.stage]), cmp.Compare(y.establishedAt, x.establishedAt))
	})
	for _, f := range all[:min(e.N, len(all))] {
		n.logThrottled("permit_ran_out", l.name)
		f.releasePermits()
		if f.stage == Established {
			n.Move(&f.Flow)
			continue
		}
		c, answer, line := f.client, byte(capture.Rejected), n.busyAnswer()
		if f.stage == Asked {
			answer, line = capture.Aborted, "ERR\r\n" // it may have run
		}
		n.countAnswer(f, answer)
		n.withdraw(f)
		n.sendFinalLine(c, line)
	}
}

const exhaustedFor = 2 * second // after it had none left for a flow, more permits for a host are kept in hand

// keepHostPermits says what this node has at hosts, and how much more it wants to have in hand.
func (n *Node) keepHostPermits(l *localLimit) {
	nodes := n.config.Cluster.Others + 1
	for _, h := range n.hostList {
		key, ok := l.hostKey(h)
		if !ok {
			continue
		}
		use, spare := h.Flows(), 0
		switch at, asked := l.exhaustedAt[h]; {
		case h.State != balance.Up:
		case asked && n.now-at < exhaustedFor:
			spare = 1 + use/4
		case use == 0 || l.AtOnce.Most >= 4*nodes:
			spare = 1
		}
		if asked := l.exhaustedAt[h]; n.now-asked >= exhaustedFor {
			delete(l.exhaustedAt, h)
		}
		l.concurrent.Keep(key, use, spare)
	}
}

// hostBounds are the module's bounds where hosts have limits as well.
type hostBounds struct {
	balance.Bounds
	n *Node
}

// Room is none at a host for which no permit is in hand.
func (b hostBounds) Room(s *balance.Server, f *balance.Flow) float64 {
	room := b.Bounds.Room(s, f)
	if h := b.n.hosts[s.Name]; room > 0 && h != nil {
		for _, l := range b.n.cluster.limits {
			if key, ok := l.hostKey(h); ok && h.Flows() >= l.concurrent.May(key) {
				l.exhaustedAt[h] = b.n.now
				return 0
			}
		}
	}
	return room
}

// adoptPermits counts a flow that the process before hands over, with what it had: for so many microseconds still.
func (n *Node) adoptPermits(f *flow, before uint64, left int64) {
	k := n.cluster
	if k == nil || before == 0 {
		return
	}
	f.nextLimit = len(k.limits)
	for _, l := range k.limits {
		if l.concurrent == nil {
			continue
		}
		if key, ok := l.flowKey(n, f); ok {
			l.concurrent.TakeOver(key, before, left)
			f.permits = append(f.permits, permit{l, key})
		} else if key, ok := l.hostKey(f.host); ok {
			l.concurrent.TakeOver(key, before, left)
		}
	}
}

// permitTimeLeft is for how long what a flow has still counts, for the process that takes over.
func (n *Node) permitTimeLeft(f *flow) (left int64) {
	if n.cluster == nil {
		return 0
	}
	left = permits.Use
	for _, p := range f.permits {
		left = min(left, p.limit.concurrent.Left(p.key))
	}
	for _, l := range n.cluster.limits {
		if key, ok := l.hostKey(f.host); ok {
			left = min(left, l.concurrent.Left(key))
		}
	}
	return left
}

// yieldLimits is that another process of this node takes what is new.
func (n *Node) yieldLimits() {
	if n.cluster == nil {
		return
	}
	for _, l := range n.cluster.limits {
		if l.concurrent != nil {
			l.concurrent.Yield()
		}
	}
}

// receiveLimitMessage takes what another node says of leases and limits; false for what is about neither.
func (n *Node) receiveLimitMessage(from int, w members.Word) bool {
	k := n.cluster
	if k.leases == nil {
		return false
	}
	p := w.Payload
	if k.leases.Take(from+1, w.Process, p, func(p []byte) { n.sendToNode(from, p) }) {
		return true
	}
	if len(p) <= limitHeaderSize || p[0] != limitMessageKind {
		return false
	}
	id := binary.LittleEndian.Uint32(p[1:])
	i := slices.IndexFunc(k.limits, func(l *localLimit) bool { return l.id == id })
	if i < 0 {
		k.unknownLimits++ // the files of two nodes differ
		return true
	}
	l, p := k.limits[i], p[limitHeaderSize:]
	answer := func(p []byte) { n.sendToNode(from, l.encode(p)) }
	if l.concurrent != nil {
		if l.concurrent.TakeAsk(w.Process, p, answer) {
			return true
		}
		done, ok := l.concurrent.Told(from, p)
		n.settleConcurrent(l, done)
		return ok
	}
	if l.rate.TakeAsk(p, answer) {
		return true
	}
	done, ok := l.rate.Told(from, p, n.limitSender(l))
	n.settleRate(l, done)
	return ok
}

// limitMetrics is the limits' figures for operators; empty where there are none.
func (n *Node) limitMetrics() string {
	k := n.cluster
	if k.leases == nil {
		return ""
	}
	var b strings.Builder
	owned := 0
	for s := range lease.Slots {
		if _, ok := k.leases.Owned(s); ok {
			owned++
		}
	}
	fmt.Fprintf(&b, "limit_slots_owned=%d\nlimit_unknown=%d\n", owned, k.unknownLimits)
	for _, l := range k.limits {
		add := func(name string, v int64) { fmt.Fprintf(&b, "limit.%s.%s=%d\n", l.name, name, v) }
		if o := l.concurrent; o != nil {
			used, books := o.Keys()
			add("held", int64(o.Used()))
			add("granted", o.Granted)
			add("refused", o.Refused)
			add("over", o.Ended)
			add("asked", o.Asked)
			add("alone", o.Alone)
			add("stray", o.Stray)
			add("keys", int64(used+books))
			add("word_ms", o.Oldest()/ms)
			continue
		}
		r := l.rate
		add("granted", r.Granted)
		add("refused", r.Refused)
		add("asked", r.Asked)
		add("alone", r.Alone)
		add("stray", r.Stray)
		add("keys", int64(r.Keys()))
		add("word_ms", r.Oldest()/ms)
	}
	return b.String()
}

// limitsByAddress tells whether a limit is over clients' addresses.
func (n *Node) limitsByAddress() bool {
	return n.cluster != nil && slices.ContainsFunc(n.cluster.limits, func(l *localLimit) bool { return l.Over == OverAddress })
}
