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

// Where the configuration turns it on, the node bounds its module by what all nodes of the fleet together may place on hosts.
// The bounds follow from the node's own observations and, where it has addresses of other nodes, from their messages.

// clusterInterval is the longest time between two runs of clusterTick.
const clusterInterval = 50 * ms

// Cluster configures a node's part in its fleet.
type Cluster struct {
	On      bool
	Name    string
	Process uint64                 // random number, different for each process
	Others  int                    // other nodes that can be sent datagrams; with 0 the node relies on its own observations
	Limits  []FleetLimit           // valid according to Check
	Send    func(to int, p []byte) // sends a datagram to one of the other nodes, by index

	// Held is called when this node suspends a host because of other nodes' reports. It may be nil.
	Held func(now int64, host string, v verdicts.Verdict)
}

// cluster is a node's part in its fleet.
type cluster struct {
	members       *members.Members // nil where there are no other nodes
	overload      *overload.Core
	timer         deadline
	leases        *lease.Leases // nil without limits
	limits        []*localLimit
	unknownLimits int64  // messages about limits that this node does not keep
	desiredSlots  []bool // lease slots that this node should own
}

// newCluster sets up the node's part in the fleet, if the configuration turns it on.
func (n *Node) newCluster() {
	config := n.config.Cluster
	if !config.On {
		return
	}
	config.Process |= 1 // 0 stands for no process
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

// clusterTick runs the periodic work: it sends messages to the other nodes and checks the node's own lateness.
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

// HeardFrom handles a datagram of another node, given by index. from is negative for an unknown address.
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
		n.logThrottled("cluster_nonsense", "message has impossible values")
	}
}

// noteSetup passes the set-up time of a flow at a host to the overload control. It is left out where the node's own lateness
// makes it uncertain.
func (n *Node) noteSetup(h *host, took int64, sure bool) {
	if n.cluster != nil && sure {
		n.cluster.overload.Setup(&h.Server, took)
	}
}

// noteProbe passes the time of an answered probe to the overload control.
func (n *Node) noteProbe(h *host, took int64) {
	if n.cluster != nil {
		n.cluster.overload.Probe(&h.Server, took)
	}
}

// noteBusy passes a host's load report to the overload control.
func (n *Node) noteBusy(h *host, busy float64) {
	if n.cluster != nil {
		n.cluster.overload.Reported(&h.Server, busy)
	}
}

// noteTurnedAway tells the overload control that a host answered BUSY.
func (n *Node) noteTurnedAway(h *host) {
	if n.cluster != nil && h.State == balance.Up {
		n.cluster.overload.TurnedAway(&h.Server)
	}
}

// noteSick tells the overload control that a host failed a flow that it had received.
func (n *Node) noteSick(h *host) {
	if n.cluster != nil && h.State == balance.Up {
		n.cluster.overload.Sick(&h.Server)
	}
}

// noteSuspended handles the suspension of a host because of other nodes' reports.
func (n *Node) noteSuspended(server *balance.Server, verdict verdicts.Verdict) {
	n.logThrottled("held_back", fmt.Sprintf("%s: %s, by %d", server.Name, verdict.Of, verdict.Witnesses))
	if n.config.Cluster.Held != nil {
		n.config.Cluster.Held(n.now, server.Name, verdict)
	}
}

// ownZoneName returns the name of the node's zone; empty where the settings have none.
func (n *Node) ownZoneName() string {
	for name, no := range n.settings.Zones {
		if no == n.settings.Zone {
			return name
		}
	}
	return ""
}

// noteDown tells the overload control that a host can't be reached.
func (n *Node) noteDown(h *host) {
	if n.cluster != nil {
		n.cluster.overload.Down(&h.Server)
	}
}

// updateClusterHosts passes the listed hosts to the overload control.
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

// clusterMetrics returns the metrics of the node's part in the fleet, a line each; empty where it is off.
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
	figures := cluster.overload.Figures
	bit := map[bool]int{true: 1}
	late := false
	if cluster.members != nil {
		late = cluster.members.IsLate()
	}
	add("overload_late", bit[late])
	add("overload_short", bit[figures.Short])
	add("overload_bar", fmt.Sprintf("%.3g", figures.Bar))
	add("overload_free", fmt.Sprintf("%.0f", figures.Free))
	add("overload_known", fmt.Sprintf("%.0f", figures.Known))
	add("overload_demand", fmt.Sprintf("%.0f", figures.Demand))
	add("overload_shed", figures.Refused)
	add("hosts_held_back", figures.Held)
	cluster.overload.Held(func(server *balance.Server, verdict verdicts.Verdict) {
		add("held_back."+server.Name, fmt.Sprintf("%s:%d", verdict.Of, verdict.Witnesses))
	})
	add("overload_cuts", figures.Cuts)
	add("overload_retries", figures.Retries)
	add("overload_withheld", figures.Withheld)
	return text
}

// worth returns the benefit of a flow of a service type, by which refusals are weighted; 0 where they are not, or the
// settings give none.
func (n *Node) worth(typeIndex int) float64 {
	if n.cluster != nil && typeIndex < len(n.settings.Worth) {
		return n.settings.Worth[typeIndex]
	}
	return 0
}
