package limits

import (
	"fmt"
	"math"
)

// Limit is a rate limit. Rate is per second; Burst is the number that may be admitted at once. A strict limit is never
// exceeded; an available one goes on with local shares where the owner can't be reached.
type Limit struct {
	Rate, Burst float64
	Strict      bool
}

// Check returns an error if so many nodes can't enforce the limit.
func (l Limit) Check(nodes int) error {
	switch {
	case !(l.Rate > 0 && l.Rate < 1e6) || !(l.Burst >= 1 && l.Burst < 1e6):
		return fmt.Errorf("limits: rate %g or burst %g is out of range: rate above 0, burst at least 1, both below 1e6", l.Rate, l.Burst)
	case l.Strict && l.hold() < minHold:
		return fmt.Errorf("limits: burst %g is too small for a strict limit of %g per second: at least %g", l.Burst, l.Rate,
			math.Ceil(max(2*l.Rate*float64(minHold)/float64(second), l.Rate*float64(minHold)/float64(second)+1)))
	}
	return nil
}

// hold returns the token lifetime D in microseconds: the time in which half of the burst accrues, so that the bucket keeps
// the other half. It is at most maxHold, and leaves the bucket at least one token.
func (l Limit) hold() int64 {
	longest := (l.Burst - 1) / l.Rate * float64(second)
	hold := min(int64(min(longest, l.Burst/2/l.Rate*float64(second))), maxHold)
	if !l.Strict {
		hold = max(hold, minHold) // the bound of an available limit includes what this admits beyond the burst
	}
	return hold
}

// capacity returns the capacity of the owner's bucket.
func (l Limit) capacity() float64 {
	return max(l.Burst-l.Rate*float64(max(l.hold(), 0))/float64(second), 1)
}

// MaxAdmitted returns the largest number that all nodes together may admit within a window of the given length in
// microseconds.
func (l Limit) MaxAdmitted(nodes int, window int64) float64 {
	strict := l.Burst + l.Rate*float64(window)/float64(second)
	if l.Strict {
		return strict
	}
	return 2*strict + float64(nodes) + l.Rate*float64(minHold)/float64(second)
}
