package node

import (
	"fmt"
	"slices"

	"coursewinch/balance"
	"coursewinch/cluster/frame"
	"coursewinch/cluster/lease"
	"coursewinch/cluster/members"
	"coursewinch/cluster/overload"
	"coursewinch/cluster/verdicts"
)

// Where the node's file says so, the node bounds its module by what all nodes of the fleet together may place: by what it
// sees itself, and, where it has others' addresses, by what they tell.

const (
	clusterInterval = 50 * ms
)

// Cluster is what a node is told of its fleet.
type Cluster struct {
	On      bool
	Name    string
	Process uint64                 // drawn anew by each process
	Others  int                    // nodes that can be told; 0: the node goes by its own eyes alone
	Limits  []FleetLimit           // that Check has found right
	Send    func(to int, p []byte) // one datagram, to the so-many-th of them

	Held func(now int64, host string, v verdicts.Verdict) // told of each verdict by hearsay that begins; may be nil
}

// cluster is a node's part in its fleet; members is nil where it has no others, all is nil where it is off.
type cluster struct {
	members       *members.Members
	overload      *overload.Core
	timer         deadline
	leases        *lease.Leases
	limits        []*localLimit
	unknownLimits int64  // words about limits that this node does not keep
	desiredSlots  []bool // slots that this node should own, by name
}

func (n *Node) newCluster() {
	c := n.config.Cluster
	if !c.On {
		return
	}
	c.Process |= 1 // 0 is nobody's
	n.config.Cluster.Process = c.Process
	k := &cluster{overload: overload.New(&n.settings.Settings, c.Others+1, members.Young(c.Others+1), n.config.Seed+2)}
	if c.Others > 0 {
		k.members = members.New(uint32(hash(c.Name)), c.Process, c.Others, n.config.Seed+3)
	}
	if len(c.Limits) > 0 {
		k.leases = lease.New(c.Process, 0, c.Others+1)
		n.cluster = k
		k.limits = n.newLimits(c.Limits, c.Process, c.Others+1)
	}
	k.timer.run = n.clusterTick
	k.overload.Tell(uint32(hash(n.ownZoneName())), n.noteSuspended)
	n.cluster, n.settings.Bounds = k, k.overload
	if slices.ContainsFunc(c.Limits, func(l FleetLimit) bool { return l.Over == OverHost }) {
		n.settings.Bounds = hostBounds{k.overload, n}
	}
}

// clusterTick does what time brings: it tells the others, and looks at its own lateness.
func (n *Node) clusterTick() {
	k := n.cluster
	late := n.isStarved()
	k.overload.Late(late)
	n.requestLeases()
	n.findColdHosts()
	next := n.now + clusterInterval
	if m := k.members; m != nil {
		m.Late(late)
		if n.stopAt > 0 && n.flows.count == 0 {
			m.Leave(n.now)
		}
		m.Due(n.now, func() []byte { return k.overload.Word(frame.MostPayload) }, n.config.Cluster.Send)
		next = min(next, max(m.Next(), n.now+ms))
	}
	n.deadlines.set(&k.timer, next)
}

// HeardFrom takes a datagram of the so-many-th other node; under 0 it is from an address that is none of theirs.
func (n *Node) HeardFrom(from int, p []byte) {
	defer n.recoverPanic(nil)
	k := n.cluster
	if k == nil || k.members == nil {
		return
	}
	w, ok := k.members.Take(n.now, from, p)
	if ok && n.receiveLimitMessage(from, w) {
		return
	}
	if ok && !k.overload.Told(from, w.Process, w.At, w.Late, w.Payload) {
		k.members.Bad(frame.Nonsense)
		n.logThrottled("cluster_nonsense", "a word whose figures can't be")
	}
}

// setUp, probedIn, reportedBusy and turnedAway tell the cluster's cores what this node saw of a host.

func (n *Node) noteSetup(h *host, took int64, sure bool) {
	if n.cluster != nil && sure {
		n.cluster.overload.Setup(&h.Server, took)
	}
}

func (n *Node) noteProbe(h *host, took int64) {
	if n.cluster != nil {
		n.cluster.overload.Probe(&h.Server, took)
	}
}

func (n *Node) noteBusy(h *host, busy float64) {
	if n.cluster != nil {
		n.cluster.overload.Reported(&h.Server, busy)
	}
}

func (n *Node) noteTurnedAway(h *host) {
	if n.cluster != nil && h.State == balance.Up {
		n.cluster.overload.TurnedAway(&h.Server)
	}
}

func (n *Node) noteSick(h *host) {
	if n.cluster != nil && h.State == balance.Up {
		n.cluster.overload.Sick(&h.Server)
	}
}

// noteSuspended is that a verdict on a host is taken over from others.
func (n *Node) noteSuspended(s *balance.Server, v verdicts.Verdict) {
	n.logThrottled("held_back", fmt.Sprintf("%s: %s, by %d", s.Name, v.Of, v.Witnesses))
	if n.config.Cluster.Held != nil {
		n.config.Cluster.Held(n.now, s.Name, v)
	}
}

func (n *Node) ownZoneName() string {
	for name, no := range n.settings.Zones {
		if no == n.settings.Zone {
			return name
		}
	}
	return ""
}

func (n *Node) noteDown(h *host) {
	if n.cluster != nil {
		n.cluster.overload.Down(&h.Server)
	}
}

// updateClusterHosts tells the cluster's cores which hosts there are.
func (n *Node) updateClusterHosts() {
	if n.cluster == nil {
		return
	}
	var all []*balance.Server
	for _, h := range n.hostList {
		if h.State != balance.Removed {
			all = append(all, &h.Server)
		}
	}
	n.cluster.overload.List(all)
}

// clusterMetrics is the cluster's figures for operators, a line each; empty where it is off.
func (n *Node) clusterMetrics() (text string) {
	k := n.cluster
	if k == nil {
		return ""
	}
	add := func(name string, v any) { text += fmt.Sprintf("%s=%v\n", name, v) }
	if m := k.members; m != nil {
		add("cluster_others", m.Others())
		add("cluster_linked", m.Linked())
		add("cluster_oldest_ms", m.Oldest(n.now)/ms)
		add("cluster_young_ms", m.YoungFor()/ms)
		add("cluster_sent", m.Sent)
		add("cluster_heard", m.Heard)
		add("cluster_sent_bytes", m.SentBytes)
		add("cluster_stale", m.Stale)
		for f := frame.None + 1; f < frame.Faults; f++ {
			add("cluster_dropped."+f.String(), m.Faults[f])
		}
	}
	text += n.limitMetrics()
	f := k.overload.Figures
	bit := map[bool]int{true: 1}
	late := false
	if k.members != nil {
		late = k.members.IsLate()
	}
	add("overload_late", bit[late])
	add("overload_short", bit[f.Short])
	add("overload_bar", fmt.Sprintf("%.3g", f.Bar))
	add("overload_free", fmt.Sprintf("%.0f", f.Free))
	add("overload_known", fmt.Sprintf("%.0f", f.Known))
	add("overload_demand", fmt.Sprintf("%.0f", f.Demand))
	add("overload_shed", f.Refused)
	add("hosts_held_back", f.Held)
	k.overload.Held(func(s *balance.Server, v verdicts.Verdict) {
		add("held_back."+s.Name, fmt.Sprintf("%s:%d", v.Of, v.Witnesses))
	})
	add("overload_cuts", f.Cuts)
	add("overload_retries", f.Retries)
	add("overload_withheld", f.Withheld)
	return text
}

// worth is what a flow of a service type is worth where refusals weigh it; 0 where they don't, or the settings don't say.
func (n *Node) worth(kind int) float64 {
	if n.cluster != nil && kind < len(n.settings.Worth) {
		return n.settings.Worth[kind]
	}
	return 0
}
