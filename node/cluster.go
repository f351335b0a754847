package node

import (
	"fmt"
	"slices"

	"coursewinch/balance"
	"coursewinch/cluster/frame"
	"coursewinch/cluster/health"
	"coursewinch/cluster/lease"
	"coursewinch/cluster/members"
	"coursewinch/cluster/overload"
)

// Where the configuration turns it on, the node bounds its module by what all nodes of the fleet together may place on
// hosts. The bounds follow from the node's own observations and, where it has addresses of other nodes, from their
// messages.

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

	// OnSuspended is called when this node suspends a host because of other nodes' reports. It may be nil.
	OnSuspended func(now int64, host string, v health.Suspension)
}

// cluster is a node's part in its fleet.
type cluster struct {
	members       *members.Members // nil where there are no other nodes
	overload      *overload.Controller
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
	cluster := &cluster{overload: overload.New(&n.settings.Settings, config.Others+1, members.MaxMessageAge(config.Others+1), n.config.Seed+2)}
	if config.Others > 0 {
		cluster.members = members.New(uint32(hash(config.Name)), config.Process, config.Others, n.config.Seed+3)
	}
	if len(config.Limits) > 0 {
		cluster.leases = lease.New(config.Process, 0, config.Others+1)
		n.cluster = cluster
		cluster.limits = n.newLimits(config.Limits, config.Process, config.Others+1)
	}
	cluster.timer.run = n.clusterTick
	cluster.overload.ConfigureReports(uint32(hash(n.ownZoneName())), n.noteSuspended)
	n.cluster, n.settings.Bounds = cluster, cluster.overload
	if slices.ContainsFunc(config.Limits, func(l FleetLimit) bool { return l.Over == OverHost }) {
		n.settings.Bounds = hostBounds{cluster.overload, n}
	}
}

// clusterTick runs the periodic work: it sends messages to the other nodes and checks the node's own lateness.
func (n *Node) clusterTick() {
	cluster := n.cluster
	late := n.isStarved()
	cluster.overload.SetLate(late)
	n.requestLeases()
	n.findColdHosts()
	next := n.now + clusterInterval
	if others := cluster.members; others != nil {
		others.SetLate(late)
		if n.stopAt > 0 && n.flows.count == 0 {
			others.Leave(n.now)
		}
		others.SendDue(n.now, func() []byte { return cluster.overload.EncodeReport(frame.MaxPayloadSize) }, n.config.Cluster.Send)
		next = min(next, max(others.NextSendAt(), n.now+ms))
	}
	n.deadlines.set(&cluster.timer, next)
}

// ReceiveClusterDatagram handles a datagram of another node, given by index. from is negative for an unknown address.
func (n *Node) ReceiveClusterDatagram(from int, datagram []byte) {
	defer n.recoverPanic(nil)
	cluster := n.cluster
	if cluster == nil || cluster.members == nil {
		return
	}
	message, ok := cluster.members.HandleDatagram(n.now, from, datagram)
	if ok && n.receiveLimitMessage(from, message) {
		return
	}
	if ok && !cluster.overload.HandleReport(from, message.Process, message.SentAfter, message.Late, message.Payload) {
		cluster.members.CountFault(frame.InvalidPayload)
		n.logThrottled("cluster_nonsense", "message has impossible values")
	}
}

// noteSetup passes the set-up time of a flow at a host to the overload control. It is left out where the node's own
// lateness makes it uncertain.
func (n *Node) noteSetup(h *host, took int64, sure bool) {
	if n.cluster != nil && sure {
		n.cluster.overload.ObserveSetup(&h.Server, took)
	}
}

// noteProbe passes the time of an answered probe to the overload control.
func (n *Node) noteProbe(h *host, took int64) {
	if n.cluster != nil {
		n.cluster.overload.ObserveProbe(&h.Server, took)
	}
}

// noteReportedLoad passes a host's load report to the overload control.
func (n *Node) noteReportedLoad(h *host, busy float64) {
	if n.cluster != nil {
		n.cluster.overload.ObserveReportedLoad(&h.Server, busy)
	}
}

// noteRejection tells the overload control that a host answered BUSY.
func (n *Node) noteRejection(h *host) {
	if n.cluster != nil && h.State == balance.Up {
		n.cluster.overload.ObserveRejection(&h.Server)
	}
}

// noteSetupFailure tells the overload control that a host failed a flow that it had received.
func (n *Node) noteSetupFailure(h *host) {
	if n.cluster != nil && h.State == balance.Up {
		n.cluster.overload.ObserveSetupFailure(&h.Server)
	}
}

// noteSuspended handles the suspension of a host because of other nodes' reports.
func (n *Node) noteSuspended(server *balance.Server, suspension health.Suspension) {
	n.logThrottled("held_back", fmt.Sprintf("%s: %s, by %d", server.Name, suspension.Reasons, suspension.Witnesses))
	if n.config.Cluster.OnSuspended != nil {
		n.config.Cluster.OnSuspended(n.now, server.Name, suspension)
	}
}

// ownZoneName returns the name of the node's zone; empty where the settings have none.
func (n *Node) ownZoneName() string {
	for name, no := range n.settings.ZoneIndex {
		if no == n.settings.Zone {
			return name
		}
	}
	return ""
}

// noteUnreachable tells the overload control that a host can't be reached.
func (n *Node) noteUnreachable(h *host) {
	if n.cluster != nil {
		n.cluster.overload.ObserveUnreachable(&h.Server)
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
	n.cluster.overload.SetServers(servers)
}

// clusterMetrics returns the metrics of the node's part in the fleet, a line each; empty where it is off.
func (n *Node) clusterMetrics() (text string) {
	cluster := n.cluster
	if cluster == nil {
		return ""
	}
	add := func(name string, value any) { text += fmt.Sprintf("%s=%v\n", name, value) }
	if others := cluster.members; others != nil {
		add("cluster_others", others.OtherCount())
		add("cluster_linked", others.LinkedCount())
		add("cluster_oldest_ms", others.OldestMessageAge(n.now)/ms)
		add("cluster_young_ms", others.MaxMessageAge()/ms)
		add("cluster_sent", others.Sent)
		add("cluster_heard", others.Received)
		add("cluster_sent_bytes", others.SentBytes)
		add("cluster_stale", others.Stale)
		for f := frame.NoFault + 1; f < frame.FaultCount; f++ {
			add("cluster_dropped."+f.String(), others.Faults[f])
		}
	}
	text += n.limitMetrics()
	figures := cluster.overload.Stats
	bit := map[bool]int{true: 1}
	late := false
	if cluster.members != nil {
		late = cluster.members.IsLate()
	}
	add("overload_late", bit[late])
	add("overload_short", bit[figures.Overloaded])
	add("overload_bar", fmt.Sprintf("%.3g", figures.BenefitThreshold))
	add("overload_free", fmt.Sprintf("%.0f", figures.FreeLoad))
	add("overload_known", fmt.Sprintf("%.0f", figures.KnownLoad))
	add("overload_demand", fmt.Sprintf("%.0f", figures.Demand))
	add("overload_shed", figures.Rejected)
	add("hosts_held_back", figures.SuspendedHosts)
	cluster.overload.EachSuspended(func(server *balance.Server, suspension health.Suspension) {
		add("held_back."+server.Name, fmt.Sprintf("%s:%d", suspension.Reasons, suspension.Witnesses))
	})
	add("overload_cuts", figures.CapacityCuts)
	add("overload_retries", figures.Retries)
	add("overload_withheld", figures.RetriesDenied)
	return text
}

// benefit returns the benefit of a flow of a service type, by which refusals are weighted; 0 where they are not, or the
// settings give none.
func (n *Node) benefit(typeIndex int) float64 {
	if n.cluster != nil && typeIndex < len(n.settings.Benefits) {
		return n.settings.Benefits[typeIndex]
	}
	return 0
}
