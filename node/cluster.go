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
	config := n.config.Cluster
	if !config.On {
		return
	}
	config.Process |= 1 // 0 is nobody's
	n.config.Cluster.Process = config.Process
	cluster := &cluster{overload: overload.New(&n.settings.Settings, config.Others+1, members.Young(config.Others+1), n.config.Seed+2)}
	if config.Others > 0 {
		cluster.members = members.New(uint32(hash(config.Name)), config.Process, config.Others, n.config.Seed+3)
	}
	if len(config.Limits) > 0 {
		cluster.leases = lease.New(config.Process, 0, config.Others+1)
		n.cluster = cluster
		cluster.limits = n.newLimits(config.Limits, config.Process, config.Others+1)
	}
	cluster.timer.run = n.clusterTick
	cluster.overload.Tell(uint32(hash(n.ownZoneName())), n.noteSuspended)
	n.cluster, n.settings.Bounds = cluster, cluster.overload
	if slices.ContainsFunc(config.Limits, func(l FleetLimit) bool { return l.Over == OverHost }) {
		n.settings.Bounds = hostBounds{cluster.overload, n}
	}
}

// clusterTick does what time brings: it tells the others, and looks at its own lateness.
func (n *Node) clusterTick() {
	cluster := n.cluster
	late := n.isStarved()
	cluster.overload.Late(late)
	n.requestLeases()
	n.findColdHosts()
	next := n.now + clusterInterval
	if others := cluster.members; others != nil {
		others.Late(late)
		if n.stopAt > 0 && n.flows.count == 0 {
			others.Leave(n.now)
		}
		others.Due(n.now, func() []byte { return cluster.overload.Word(frame.MostPayload) }, n.config.Cluster.Send)
		next = min(next, max(others.Next(), n.now+ms))
	}
	n.deadlines.set(&cluster.timer, next)
}

// HeardFrom takes a datagram of the so-many-th other node; under 0 it is from an address that is none of theirs.
func (n *Node) HeardFrom(from int, datagram []byte) {
	defer n.recoverPanic(nil)
	cluster := n.cluster
	if cluster == nil || cluster.members == nil {
		return
	}
	message, ok := cluster.members.Take(n.now, from, datagram)
	if ok && n.receiveLimitMessage(from, message) {
		return
	}
	if ok && !cluster.overload.Told(from, message.Process, message.At, message.Late, message.Payload) {
		cluster.members.Bad(frame.Nonsense)
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
func (n *Node) noteSuspended(server *balance.Server, verdict verdicts.Verdict) {
	n.logThrottled("held_back", fmt.Sprintf("%s: %s, by %d", server.Name, verdict.Of, verdict.Witnesses))
	if n.config.Cluster.Held != nil {
		n.config.Cluster.Held(n.now, server.Name, verdict)
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
	var servers []*balance.Server
	for _, h := range n.hostList {
		if h.State != balance.Removed {
			servers = append(servers, &h.Server)
		}
	}
	n.cluster.overload.List(servers)
}

// clusterMetrics is the cluster's figures for operators, a line each; empty where it is off.
func (n *Node) clusterMetrics() (text string) {
	cluster := n.cluster
	if cluster == nil {
		return ""
	}
	add := func(name string, value any) { text += fmt.Sprintf("%s=%v\n", name, value) }
	if others := cluster.members; others != nil {
		add("cluster_others", others.Others())
		add("cluster_linked", others.Linked())
		add("cluster_oldest_ms", others.Oldest(n.now)/ms)
		add("cluster_young_ms", others.YoungFor()/ms)
		add("cluster_sent", others.Sent)
		add("cluster_heard", others.Heard)
		add("cluster_sent_bytes", others.SentBytes)
		add("cluster_stale", others.Stale)
		for f := frame.None + 1; f < frame.Faults; f++ {
			add("cluster_dropped."+f.String(), others.Faults[f])
		}
	}
	text += n.limitMetrics()
	f := cluster.overload.Figures
	bit := map[bool]int{true: 1}
	late := false
	if cluster.members != nil {
		late = cluster.members.IsLate()
	}
	add("overload_late", bit[late])
	add("overload_short", bit[f.Short])
	add("overload_bar", fmt.Sprintf("%.3g", f.Bar))
	add("overload_free", fmt.Sprintf("%.0f", f.Free))
	add("overload_known", fmt.Sprintf("%.0f", f.Known))
	add("overload_demand", fmt.Sprintf("%.0f", f.Demand))
	add("overload_shed", f.Refused)
	add("hosts_held_back", f.Held)
	cluster.overload.Held(func(s *balance.Server, value verdicts.Verdict) {
		add("held_back."+s.Name, fmt.Sprintf("%s:%d", value.Of, value.Witnesses))
	})
	add("overload_cuts", f.Cuts)
	add("overload_retries", f.Retries)
	add("overload_withheld", f.Withheld)
	return text
}

// worth is what a flow of a service type is worth where refusals weigh it; 0 where they don't, or the settings don't say.
func (n *Node) worth(typeIndex int) float64 {
	if n.cluster != nil && typeIndex < len(n.settings.Worth) {
		return n.settings.Worth[typeIndex]
	}
	return 0
}
