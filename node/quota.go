package node

// A node whose core is full serves fewer the more come: it takes all, and their clients leave before it comes to them.
// How many it takes a turn is therefore cut when turns grow long; what has been taken is finished first, and what waits
// at the listener longer than that is turned away at the least cost.

const (
	maxAccepts          = 128      // connections a turn
	longIteration       = 8 * ms   // a turn that takes longer has taken too many
	saturatedAfter      = 250 * ms // without a pause: the core is full, and no burst
	refusalsPerFlow     = 6        // so many refusals cost about what one flow costs
	refusalShareDivisor = 12       // a twelfth of what flows cost is spent on refusals at the most
)

// acceptQuota is how many connections a turn may take.
type acceptQuota struct {
	accepts   int
	busySince int64 // since when no wait has been one; 0 when the last was
	accepted  int   // taken in this turn
}

// adjustQuota sets the quota by the turn before. It halves when that was long and had taken its fill, and grows by an eighth
// else.
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

// Quota is how many new connections this turn may take, and how many after these it may turn away.
func (n *Node) Quota() (take, refuse int) {
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

// Refused is that the loop has turned a connection away.
func (n *Node) Refused() { n.Count.Refused++ }
