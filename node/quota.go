package node

// A node whose core is saturated serves fewer clients the more connections it accepts, because clients leave before it
// gets to them. It therefore accepts fewer connections per loop iteration when iterations grow long, and finishes the
// accepted ones first. Connections that then wait too long at the listener are refused at the lowest cost.

const (
	maxAccepts          = 128      // connections per loop iteration
	longIteration       = 8 * ms   // an iteration that takes longer has accepted too many connections
	saturatedAfter      = 250 * ms // work without a pause for this long is saturation and not a burst
	refusalsPerFlow     = 6        // refusals that cost about as much as one flow
	refusalShareDivisor = 12       // at most one over this of the cost of flows is spent on refusals
)

// acceptQuota is the number of connections that a loop iteration may accept.
type acceptQuota struct {
	accepts   int   // 0 before the first adjustment
	busySince int64 // since when the loop has not waited for events; 0 if it just has
	accepted  int   // in this iteration
}

// adjustQuota sets the quota by how late the loop is and how long the previous iteration took. After a long iteration that
// accepted connections it becomes half of their number; after a short one it grows by an eighth and one.
func (n *Node) adjustQuota(lateness, lastLength int64) {
	quota := &n.acceptQuota
	if quota.accepts == 0 {
		quota.accepts = maxAccepts
	}
	switch {
	case lastLength > longIteration && quota.accepted > 0:
		quota.accepts = max(min(quota.accepts, quota.accepted)/2, 1)
	case lastLength < longIteration/2:
		quota.accepts = min(quota.accepts+quota.accepts/8+1, maxAccepts)
	}
	quota.accepted = 0
	if lateness == 0 {
		quota.busySince = 0
	} else if quota.busySince == 0 {
		quota.busySince = n.now
	}
}

// AcceptQuota returns how many connections this loop iteration may accept, and how many further ones it may refuse.
func (n *Node) AcceptQuota() (accept, refuse int) {
	quota := &n.acceptQuota
	if n.acceptStoppedAt > 0 {
		return 0, maxAccepts
	}
	if quota.accepts == 0 {
		return maxAccepts, 0
	}
	if quota.busySince > 0 && n.now-quota.busySince > saturatedAfter && quota.accepts < maxAccepts {
		refuse = max(quota.accepts*refusalsPerFlow/refusalShareDivisor, 1)
	}
	return quota.accepts, refuse
}

// CountRefused counts a connection that the event loop has refused.
func (n *Node) CountRefused() { n.Count.Refused++ }
