package node

import "math"

// A time that a node measures includes its own lateness: events that arrive during one loop iteration wait for the
// next, and what an iteration sends leaves later than the iteration began. The event loop reports how long that may
// have been, and the node subtracts it from the times that it reports to the module. Otherwise a node whose own core is
// saturated would find every host slow.

const (
	keptIterations   = 1024 // loop iterations whose length is remembered
	measurementSlack = 300  // microseconds of own lateness up to which any measurement is certain
)

// starvedThreshold is the own lateness within about a second from which on a node can't judge others by times. On a machine
// whose cores are taken the node is late itself, and what it waits for may be late for the same reason.
const starvedThreshold = 150 * ms

// lateness is the lateness of this node's event loop, as the loop reports it. Times are in microseconds.
type lateness struct {
	recent    float64               // sum of the lateness; contributions decay by a factor of e per second
	updatedAt int64                 // when recent was last updated
	iteration uint64                // number of the current loop iteration
	current   int64                 // how long events of this iteration may have waited
	lengths   [keptIterations]int32 // lengths of past iterations, by number
}

// ReportLateness is called by the event loop before an iteration with how long the iteration's events may have waited
// and how long the previous iteration took, in microseconds.
func (n *Node) ReportLateness(lateness, lastLength int64) {
	n.lateness.current = max(lateness, 0)
	n.adjustQuota(n.lateness.current, lastLength)
	decay := math.Exp(-float64(max(n.now-n.lateness.updatedAt, 0)) / float64(second))
	n.lateness.recent = n.lateness.recent*decay + float64(n.lateness.current)
	n.lateness.updatedAt = n.now
	lastLength = min(max(lastLength, 0), second)
	n.lateness.lengths[n.lateness.iteration%keptIterations] = int32(lastLength)
	n.lateness.iteration++
	n.lateness.lengths[n.lateness.iteration%keptIterations] = 0
	if lateness > 0 {
		n.Count.LateIterations++
		n.Count.LateUs += lateness
	}
}

// isStarved reports whether the node has recently been too late itself to judge others. All hosts look slow to it then.
func (n *Node) isStarved() bool { return n.lateness.recent > float64(starvedThreshold) }

// span is a time measurement in progress. It consists of legs; the event that ends a leg begins the next one in the
// same loop iteration.
type span struct {
	since     int64
	iteration uint64 // in which the current leg began
	lateness  int64  // own lateness in earlier legs
}

// startSpan begins a measurement.
func (n *Node) startSpan() span { return span{since: n.now, iteration: n.lateness.iteration} }

// nextLeg ends the current leg of a measurement and begins the next.
func (n *Node) nextLeg(measured *span) {
	measured.lateness += n.latenessSince(measured.iteration)
	measured.iteration = n.lateness.iteration
}

// latenessSince returns how much of a leg that began in the given iteration and ends now may be the node's own lateness.
func (n *Node) latenessSince(iteration uint64) int64 {
	if n.lateness.iteration-iteration < keptIterations {
		return n.lateness.current + int64(n.lateness.lengths[iteration%keptIterations])
	}
	return n.lateness.current // after so many iterations, the length of one hardly matters
}

// elapsed returns how long a measurement has taken, less the part that may be the node's own lateness, in microseconds.
// sure reports whether that part is small.
func (n *Node) elapsed(measured span) (took int64, sure bool) {
	own := measured.lateness + n.latenessSince(measured.iteration)
	took = n.now - measured.since
	return max(took-own, 1), own <= max(took/8, measurementSlack)
}

// Measuring reports whether the node waits for an answer whose time it will report to the module. The event loop then
// waits in short steps, to notice when the process gets no processor time.
func (n *Node) Measuring() bool { return n.activeProbes > 0 || n.upstreamCount > n.establishedCount }
