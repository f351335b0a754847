package node

import "math"

// What a node measures of others holds its own lateness as well: what came while a turn ran waits for the next, and what
// a turn sends leaves later than the turn began. The loop says how much that can be, and it is taken off what the
// module is told. Guards hosts against being judged late by a node whose own core is full.

const (
	keptIterations   = 1024 // whose length is remembered
	measurementSlack = 300  // microseconds that a measurement may be off by without being called unsure
)

// starvedThreshold is how much own lateness within about a second makes a node one that can't judge others by how long things
// take: on a machine whose cores are taken it is late itself, and what it waits for is late for the same cause.
const starvedThreshold = 150 * ms

// lateness is what the loop said of its turns.
type lateness struct {
	recent    float64               // microseconds of it, each counting for e times less with each second
	updatedAt int64                 // the turn at which that was worked out
	iteration uint64                // counted
	current   int64                 // what came in this turn may have waited so long
	lengths   [keptIterations]int32 // how long turns took, by their number
}

// Late is told by the loop before a turn: how long what comes in it may have waited, and how long the turn before it
// took. Microseconds.
func (n *Node) Late(lateness, lastLength int64) {
	n.lateness.current = max(lateness, 0)
	n.adjustQuota(n.lateness.current, lastLength)
	n.lateness.recent = n.lateness.recent*math.Exp(-float64(max(n.now-n.lateness.updatedAt, 0))/float64(second)) + float64(n.lateness.current)
	n.lateness.updatedAt = n.now
	lastLength = min(max(lastLength, 0), second)
	n.lateness.lengths[n.lateness.iteration%keptIterations] = int32(lastLength)
	n.lateness.iteration++
	n.lateness.lengths[n.lateness.iteration%keptIterations] = 0
	if lateness > 0 {
		n.Count.LateTurns++
		n.Count.LateUs += lateness
	}
}

// isStarved tells whether the node has of late been late itself too much to judge others. Guards sound hosts, all of which
// look slow to it then.
func (n *Node) isStarved() bool { return n.lateness.recent > float64(starvedThreshold) }

// span is a measurement that goes on: each of its legs ends with an event and begins the next within the same turn.
type span struct {
	since     int64
	iteration uint64 // in which the present leg began
	lateness  int64  // own lateness in the legs before
}

// startSpan begins a measurement.
func (n *Node) startSpan() span { return span{since: n.now, iteration: n.lateness.iteration} }

// nextLeg ends a leg of a measurement and begins the next.
func (n *Node) nextLeg(measured *span) {
	measured.lateness += n.latenessSince(measured.iteration)
	measured.iteration = n.lateness.iteration
}

// latenessSince is how much of a leg that began in a turn and ends now can be the node's own lateness.
func (n *Node) latenessSince(turn uint64) int64 {
	if n.lateness.iteration-turn < keptIterations {
		return n.lateness.current + int64(n.lateness.lengths[turn%keptIterations])
	}
	return n.lateness.current // so many turns later, the length of one is little
}

// elapsed is how long a measurement has taken, less what of it may have been the node's own lateness. It is sure where that
// is little.
func (n *Node) elapsed(measured span) (took int64, sure bool) {
	own := measured.lateness + n.latenessSince(measured.iteration)
	took = n.now - measured.since
	return max(took-own, 1), own <= max(took/8, measurementSlack)
}

// Measuring tells whether an answer is awaited whose time will be taught. The loop then waits in short steps, so that
// it knows of time that it was not given.
func (n *Node) Measuring() bool { return n.activeProbes > 0 || n.upstreamCount > n.establishedCount }
