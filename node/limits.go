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

// This file keeps the limits that hold for the whole fleet. Each key of a limit is owned by one node. A flow whose key
// belongs to another node waits for the owner's answer before the module sees it. When no answer comes, the limit's promise
// decides (strict or available). Permits for hosts are acquired in advance: a host without a free permit is presented to
// the module as a host without room.

// What a fleet limit can count over.
const (
	OverAddress = "address" // client address; IPv6 by /64
	OverType    = "type"    // service type
	OverGroup   = "group"   // group of flows
	OverHost    = "host"    // connections to a host; concurrent limits only
	OverCold    = "cold"    // flows sent to a cold host; the rate follows from the settings and from what is known of the host
)

// FleetLimit is a limit on the rate of new flows or on the number of concurrent flows.
type FleetLimit struct {
	Over   string        // what it counts over, such as OverType
	Of     string        // name of the one service type, group or host that it holds for; empty for each
	Rate   limits.Limit  // of new flows
	AtOnce permits.Limit // of concurrent flows; Max is 0 where the limit is a rate
}

// Check returns an error if the limit is invalid or can't be kept by that many nodes.
func (l FleetLimit) Check(nodes int) error {
	switch {
	case nodes > lease.MaxNodes:
		return fmt.Errorf("limit over %d nodes: at most %d nodes can share one", nodes, lease.MaxNodes)
	case !slices.Contains([]string{OverAddress, OverType, OverGroup, OverHost, OverCold}, l.Over):
		return fmt.Errorf("over %q: want \"address\", \"type\", \"group\", \"host\" or \"cold\"", l.Over)
	case l.Over == OverCold && (l != FleetLimit{Over: OverCold, Rate: limits.Limit{Strict: true}, AtOnce: permits.Limit{Strict: true}}):
		return fmt.Errorf("over \"cold\": the promise has to be strict and no figures may be given")
	case l.Over == OverCold && nodes < 2:
		return fmt.Errorf("over \"cold\": needs at least two nodes")
	case l.Over == OverCold:
		return nil
	case l.Over == OverAddress && l.Of != "":
		return fmt.Errorf("of %q: a limit over \"address\" holds for each address", l.Of)
	case l.AtOnce.Max != 0 && l.Rate != (limits.Limit{Strict: l.Rate.Strict}):
		return fmt.Errorf("both a rate and a number at once are given; want one of them")
	case l.AtOnce.Max == 0 && l.Over == OverHost:
		return fmt.Errorf("over \"host\": only a number at once can be kept")
	case l.AtOnce.Max == 0:
		return l.Rate.Check(nodes)
	case l.Over == OverHost && l.AtOnce.Max < nodes:
		return fmt.Errorf("%d at once at a host can't be shared by %d nodes: each node needs one", l.AtOnce.Max, nodes)
	}
	return l.AtOnce.Check()
}

// Same reports whether two limits limit the same thing, apart from their figures.
func (l FleetLimit) Same(other FleetLimit) bool { return l.name() == other.name() }

// name returns the name of a limit in metrics. Its hash identifies the limit on the wire.
func (l FleetLimit) name() string {
	kind := "rate"
	if l.AtOnce.Max != 0 {
		kind = "at_once"
	}
	name := l.Over + "." + kind
	if l.Of != "" {
		name += "." + l.Of
	}
	return name
}

// localLimit is this node's part in a fleet limit. Either rate or concurrent is set.
type localLimit struct {
	FleetLimit
	name        string
	id          uint32 // identifies it on the wire
	rate        *limits.Limits
	concurrent  *permits.Permits // permits for hosts are acquired in advance
	exhaustedAt map[*host]int64  // when a host last had no permit left for a flow
	coldHosts   []*host          // cold hosts, for a limit over OverCold
}

// permit is a permit of a concurrent limit that a flow holds and gives back at its end.
type permit struct {
	limit *localLimit
	key   uint64
}

// newLimits returns this node's part of each fleet limit, in the order in which flows have to pass them.
func (n *Node) newLimits(given []FleetLimit, process uint64, nodes int) (all []*localLimit) {
	for _, limit := range given {
		local := &localLimit{FleetLimit: limit, name: limit.name(), id: uint32(hash(limit.name()))}
		if limit.Over == OverCold {
			local.rate = limits.NewPerKey(func(key uint64) limits.Limit { return n.coldLimit(local, key) }, process, nodes, keyOwner{n})
			n.cluster.overload.UseColdGrants(func(server *balance.Server) bool {
				return n.cluster.leases.VoteOutstanding(int(local.nameKey(server.Name) % lease.Slots))
			})
		} else if limit.AtOnce.Max > 0 {
			local.concurrent = permits.New(limit.AtOnce, process, nodes, keyOwner{n})
			local.exhaustedAt = map[*host]int64{}
		} else {
			local.rate = limits.New(limit.Rate, process, nodes, keyOwner{n})
		}
		all = append(all, local)
	}
	// Permits can be given back and a rate can't, so limits with permits come first: a flow that one of them refuses has not
	// used up a rate. Limits over cold hosts come last, so that a refused flow takes no grant.
	rank := func(limit *localLimit) int {
		return map[bool]int{true: 2}[limit.Over == OverCold] + map[bool]int{true: 1}[limit.AtOnce.Max == 0]
	}
	slices.SortStableFunc(all, func(x, y *localLimit) int { return cmp.Compare(rank(x), rank(y)) })
	return all
}

// SetLimits applies new figures to the limits that the node keeps. It reports whether these are exactly the given limits;
// a limit that is not kept yet takes effect at the next start only.
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
		local.FleetLimit = limit
		if local.concurrent != nil {
			local.concurrent.SetLimit(limit.AtOnce)
		} else {
			local.rate.SetLimit(limit.Rate)
		}
	}
	return known
}

// flowKey returns the key under which a flow counts for a limit. ok is false where it does not count, and for limits over
// hosts, whose keys follow from the host; see hostKey.
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

// typeName returns the name of the flow's service type.
func (f *flow) typeName(n *Node) string {
	for name, no := range n.settings.ServiceTypeIndex {
		if no == f.TypeIndex {
			return name
		}
	}
	return ""
}

// nameKey returns the limit's key for a name.
func (l *localLimit) nameKey(name string) uint64 { return l.mixKey(hash(name)) }

// mixKey combines a hash with the limit's id, so that limits have different keys, and spreads the keys over lease slots.
func (l *localLimit) mixKey(h uint64) uint64 {
	h = (h ^ uint64(l.id)<<32) * 0x9e3779b97f4a7c15
	return h ^ h>>31
}

// hostKey returns a host's key. ok is false where the limit does not hold for that host.
func (l *localLimit) hostKey(h *host) (key uint64, ok bool) {
	return l.nameKey(h.uid), l.Over == OverHost && (l.Of == "" || l.Of == h.uid)
}

// keyOwner knows which node owns a key, as far as this process can tell.
type keyOwner struct{ n *Node }

// OwnedHere reports whether this node owns a key, since when, and until when its lease lasts.
func (o keyOwner) OwnedHere(key uint64) (since, until int64, ok bool) {
	leases, slot := o.n.cluster.leases, int(key%lease.Slots)
	since, ok = leases.Owned(slot)
	return since, leases.ExpiresAt(slot), ok
}

// LikelyOwner returns the node to ask about a key; negative for this node.
func (o keyOwner) LikelyOwner(key uint64) int { return o.n.believedOwner(int(key % lease.Slots)) }

// believedOwner returns the node that should own a slot: of this node and the linked nodes, the one with the highest
// hash of slot and name. It is negative for this node. Nodes may differ in it; it decides only which node requests the
// slot's lease and which node is asked about its keys.
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
		name, ok := others.NameHash(i)
		if !ok || others.State(i) != members.Linked {
			continue
		}
		if score := rank(name); score > best {
			index, best = i, score
		}
	}
	return index
}

// updateCluster advances the fleet's protocols to the current time at the start of a loop iteration. Leases and permits
// that have expired end before anything else is done.
func (n *Node) updateCluster() {
	cluster := n.cluster
	if cluster == nil {
		return
	}
	cluster.overload.Tick(n.now)
	if cluster.leases == nil {
		return
	}
	cluster.leases.Tick(n.now)
	for _, limit := range cluster.limits {
		if limit.rate != nil {
			n.settleRate(limit, limit.rate.Tick(n.now, n.limitSender(limit)))
			continue
		}
		if limit.Over == OverHost && limit.concurrent.SweepDue(n.now) {
			n.keepHostPermits(limit)
		}
		answers, excesses := limit.concurrent.Tick(n.now, n.limitSender(limit))
		n.settleConcurrent(limit, answers)
		for _, excess := range excesses {
			n.endExcessFlows(limit, excess)
		}
	}
}

// requestLeases requests the leases of the slots that this node should own.
func (n *Node) requestLeases() {
	cluster := n.cluster
	if cluster.leases == nil {
		return
	}
	cluster.desiredSlots = cluster.desiredSlots[:0]
	if n.config.Cluster.Others > 0 {
		for slot := range lease.Slots {
			cluster.desiredSlots = append(cluster.desiredSlots, n.believedOwner(slot) < 0)
		}
	}
	desired := func(slot int) bool { return len(cluster.desiredSlots) == 0 || cluster.desiredSlots[slot] }
	cluster.leases.RequestVotes(desired, func(payload []byte) {
		for to := range n.config.Cluster.Others {
			n.sendToNode(to, payload)
		}
	})
}

// sendToNode sends a payload to another node.
func (n *Node) sendToNode(to int, payload []byte) {
	if members := n.cluster.members; members != nil {
		members.Send(n.now, to, payload, n.config.Cluster.Send)
	}
}

// A message about a limit consists of its kind, the limit's id and the payload of package limits or permits.
const (
	limitMessageKind = 10
	limitHeaderSize  = 1 + 4 // bytes
)

// encode returns the message about this limit with the given payload.
func (l *localLimit) encode(payload []byte) []byte {
	return append(binary.LittleEndian.AppendUint32([]byte{limitMessageKind}, l.id), payload...)
}

// limitSender returns a function that sends a payload about a limit to another node.
func (n *Node) limitSender(limit *localLimit) func(to int, payload []byte) {
	return func(to int, payload []byte) { n.sendToNode(to, limit.encode(payload)) }
}

// blockedByLimit takes a flow through the fleet limits that it has not passed yet, and refuses it where one does not let it
// pass. It reports whether the flow has to wait for an answer or has been refused; otherwise it has passed all limits.
func (n *Node) blockedByLimit(f *flow) bool {
	cluster := n.cluster
	if cluster == nil || f.rejoins {
		return false
	}
	for f.nextLimit < len(cluster.limits) {
		limit := cluster.limits[f.nextLimit]
		if limit.Over == OverCold {
			if n.requestColdGrant(f, limit) {
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
			granted, waits = limit.concurrent.Acquire(key, f, n.limitSender(limit))
		} else {
			granted, waits = limit.rate.Acquire(key, f, n.limitSender(limit))
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

// passLimit records that a flow has passed a limit, and the permit that it holds since.
func (f *flow) passLimit(limit *localLimit, key uint64) {
	f.nextLimit++
	if limit.concurrent != nil {
		f.permits = append(f.permits, permit{limit, key})
	}
}

// releasePermits gives back a flow's permits.
func (f *flow) releasePermits() {
	for _, p := range f.permits {
		p.limit.concurrent.Release(p.key)
	}
	f.permits = nil
}

// refuseFlow rejects a flow because of a limit. The module has not seen it.
func (n *Node) refuseFlow(f *flow, limit *localLimit) {
	n.logThrottled("limited", limit.name)
	n.countAnswer(f, capture.Rejected)
	n.removeFlow(f)
	n.sendFinalLine(f.client, n.busyAnswer())
}

// busyAnswer returns the BUSY line, with half of the longest retry delay that clients obey where there is one.
func (n *Node) busyAnswer() string {
	if wait := n.settings.MaxRetryAfter / 2; wait > 0 {
		return fmt.Sprintf("BUSY %d\r\n", wait/ms)
	}
	return "BUSY\r\n"
}

// settleRate applies answers of a rate limit to the flows that wait for them.
func (n *Node) settleRate(limit *localLimit, answers []limits.Decision) {
	for _, answer := range answers {
		if request, ok := answer.Waiter.(*coldRequest); ok {
			n.coldAnswered(limit, request, answer)
			continue
		}
		n.settleFlow(limit, answer.Waiter.(*flow), answer.Granted)
	}
}

// settleConcurrent applies answers of a concurrent limit to the flows that wait for them.
func (n *Node) settleConcurrent(limit *localLimit, answers []permits.Decision) {
	for _, answer := range answers {
		n.settleFlow(limit, answer.Waiter.(*flow), answer.Granted)
	}
}

// pendingLimit returns the limit whose answer a flow waits for; nil where it has passed all limits.
func (n *Node) pendingLimit(f *flow) *localLimit {
	if cluster := n.cluster; cluster != nil && f.nextLimit < len(cluster.limits) {
		return cluster.limits[f.nextLimit]
	}
	return nil
}

// settleFlow applies the answer of a limit to the flow that waited for it.
func (n *Node) settleFlow(limit *localLimit, f *flow, granted bool) {
	key := f.pendingKey // stored, because a flow that has ended has no group to derive it from
	switch {
	case f.ended && granted && limit.concurrent != nil:
		limit.concurrent.Release(key) // the flow ended before its answer came
	case f.ended:
	case granted:
		f.passLimit(limit, key)
		if !n.blockedByLimit(f) {
			n.decider.PlaceFlow(&f.Flow)
		}
	default:
		n.refuseFlow(f, limit)
	}
}

// endExcessFlows ends flows that have no permit any more, because it has expired or the limit was lowered: first those that
// wait, then established ones, newest first, then those that are being set up.
func (n *Node) endExcessFlows(limit *localLimit, excess permits.Excess) {
	var flows []*flow
	for _, entry := range n.flows.entries {
		f := entry.value
		if f == nil || f.ended {
			continue
		}
		if f.host != nil && limit.Over == OverHost {
			if key, ok := limit.hostKey(f.host); ok && key == excess.Key {
				flows = append(flows, f)
			}
		} else if slices.Contains(f.permits, permit{limit, excess.Key}) {
			flows = append(flows, f)
		}
	}
	order := map[Stage]int{Waiting: 0, Established: 1, Dialing: 2, AwaitingAnswer: 3}
	slices.SortStableFunc(flows, func(x, y *flow) int {
		return cmp.Or(cmp.Compare(order[x.stage], order[y.stage]), cmp.Compare(y.establishedAt, x.establishedAt))
	})
	for _, f := range flows[:min(excess.Count, len(flows))] {
		n.logThrottled("permit_ran_out", limit.name)
		f.releasePermits()
		if f.stage == Established {
			n.Move(&f.Flow)
			continue
		}
		client, answer, line := f.client, byte(capture.Rejected), n.busyAnswer()
		if f.stage == AwaitingAnswer {
			answer, line = capture.Aborted, "ERR\r\n" // the host may have run it
		}
		n.countAnswer(f, answer)
		n.withdraw(f)
		n.sendFinalLine(client, line)
	}
}

// receiveLimitMessage handles a message of another node about leases or limits. It reports false for any other message.
func (n *Node) receiveLimitMessage(from int, message members.Message) bool {
	cluster := n.cluster
	if cluster.leases == nil {
		return false
	}
	payload := message.Payload
	if cluster.leases.HandleMessage(from+1, message.Process, payload, func(payload []byte) { n.sendToNode(from, payload) }) {
		return true
	}
	if len(payload) <= limitHeaderSize || payload[0] != limitMessageKind {
		return false
	}
	id := binary.LittleEndian.Uint32(payload[1:])
	index := slices.IndexFunc(cluster.limits, func(limit *localLimit) bool { return limit.id == id })
	if index < 0 {
		cluster.unknownLimits++ // the two nodes are configured differently
		return true
	}
	limit, payload := cluster.limits[index], payload[limitHeaderSize:]
	answer := func(payload []byte) { n.sendToNode(from, limit.encode(payload)) }
	if limit.concurrent != nil {
		if limit.concurrent.HandleRequest(message.Process, payload, answer) {
			return true
		}
		answers, ok := limit.concurrent.HandleReply(from, payload)
		n.settleConcurrent(limit, answers)
		return ok
	}
	if limit.rate.HandleRequest(payload, answer) {
		return true
	}
	answers, ok := limit.rate.HandleReply(from, payload, n.limitSender(limit))
	n.settleRate(limit, answers)
	return ok
}

// limitMetrics returns the metrics of the fleet limits, a line each; empty where there are none.
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
			used, ledgers := concurrent.KeyCounts()
			add("held", int64(concurrent.InUse()))
			add("granted", concurrent.Granted)
			add("refused", concurrent.Refused)
			add("over", concurrent.Revoked)
			add("asked", concurrent.RequestsSent)
			add("alone", concurrent.GrantedLocally)
			add("stray", concurrent.Discarded)
			add("keys", int64(used+ledgers))
			add("word_ms", concurrent.OldestRenewal()/ms)
			continue
		}
		rate := limit.rate
		add("granted", rate.Granted)
		add("refused", rate.Refused)
		add("asked", rate.RequestsSent)
		add("alone", rate.GrantedLocally)
		add("stray", rate.Discarded)
		add("keys", int64(rate.KeyCount()))
		add("word_ms", rate.LongestWait()/ms)
	}
	return text.String()
}

// limitsByAddress reports whether a fleet limit is over client addresses.
func (n *Node) limitsByAddress() bool {
	return n.cluster != nil && slices.ContainsFunc(n.cluster.limits, func(l *localLimit) bool { return l.Over == OverAddress })
}
