package epoll

// Lag tells how late a loop runs, from the times of its waits alone. Microseconds.
type Lag struct {
	awoke int64 // when the last wait ended
	late  int64
	full  bool // the last wait brought as much as it can: more may have been ready
	begun bool
}

const (
	blocked   = 100 // a wait that took less did not wait: what it brought was ready before
	overshoot = 500 // past the time that was asked for: the process was not given its core
)

// Woke is told after each wait: when it began and ended, how long it was to last (under 0 without end), whether it
// brought as much as it can. It gives how long what came may have waited at the most, and how long the turn before took.
func (l *Lag) Woke(asleep, awake, wanted int64, full bool) (late, turn int64) {
	slept := awake - asleep
	if l.begun {
		turn = asleep - l.awoke
	}
	if wanted > 0 {
		wanted = (wanted + 999) / 1000 * 1000 // as the system counts
	}
	switch {
	case slept < blocked:
		if late = turn; l.full {
			late += l.late // what was left over has waited for longer
		}
	case wanted >= 0 && slept > wanted+overshoot:
		late = slept - wanted
	}
	l.awoke, l.late, l.full, l.begun = awake, late, full, true
	return late, turn
}

// Full tells whether the last wait brought as much as it can.
func (l *Loop) Full() bool { return l.came == len(l.ready) }
