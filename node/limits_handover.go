package node

import (
	"log"

	"coursewinch/cluster/permits"
)

// Limits of the fleet while a version is rolled out: one of the two processes of a node grants permits and votes for leases.

// adoptPermits counts a flow that the predecessor process hands over together with its permits, which stay valid for left
// microseconds.
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

// permitTimeLeft returns for how long a flow's permits stay valid, for the successor process.
func (n *Node) permitTimeLeft(f *flow) (left int64) {
	if n.cluster == nil {
		return 0
	}
	left = permits.UserTerm
	for _, held := range f.permits {
		left = min(left, held.limit.concurrent.Remaining(held.key))
	}
	for _, limit := range n.cluster.limits {
		if key, ok := limit.hostKey(f.host); ok {
			left = min(left, limit.concurrent.Remaining(key))
		}
	}
	return left
}

// eachConcurrentLimit calls f for each limit on concurrent flows.
func (n *Node) eachConcurrentLimit(f func(*permits.Permits)) {
	if n.cluster == nil {
		return
	}
	for _, limit := range n.cluster.limits {
		if limit.concurrent != nil {
			f(limit.concurrent)
		}
	}
}

// yieldLimits tells the concurrent limits that the successor process takes all new flows: no flow passes them here any
// more, and permits that are given back belong to the successor.
func (n *Node) yieldLimits() { n.eachConcurrentLimit((*permits.Permits).StopGranting) }

// resumeLimits makes this process admit flows under the concurrent limits again, because its successor has ended.
func (n *Node) resumeLimits() { n.eachConcurrentLimit((*permits.Permits).ResumeGranting) }

// ClusterAddressTakenOver is called when this process has bound the cluster address that another process of this node was bound
// to before. That one may have voted for leases in the node's name until now.
func (n *Node) ClusterAddressTakenOver(now int64, address string) {
	log.Printf("msg=cluster listen=%s", address)
	if n.cluster != nil && n.cluster.leases != nil {
		n.cluster.leases.Restart(now)
	}
}
