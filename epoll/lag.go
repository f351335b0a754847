package epoll

// Lag tells how late a loop runs, from the times of its waits alone. Microseconds.
type Lag struct {
	lastWake     int64 // when the last wait ended
	lastLateness int64
	lastFull     bool // the last wait brought as much as it can: more may have been ready
	started      bool
}

const (
	minBlockingWait = 100 // a wait that took less did not wait: what it brought was ready before
	maxOvershoot    = 500 // past the time that was asked for: the process was not given its core
)

// WaitEnded is told after each wait: when it began and ended, how long it was to last (under 0 without end), whether it
// brought as much as it can. It gives how long what came may have waited at the most, and how long the turn before took.
func (l *Lag) WaitEnded(start, end, timeout int64, full bool) (lateness, iteration int64) {
	waited := end - start
	if l.started {
		iteration = start - l.lastWake
	}
	if timeout > 0 {
		timeout = (timeout + 999) / 1000 * 1000 // as the system counts
	}
	switch {
	case waited < minBlockingWait:
		if lateness = iteration; l.lastFull {
			lateness += l.lastLateness // what was left over has waited for longer
		}
	case timeout >= 0 && waited > timeout+maxOvershoot:
		lateness = waited - timeout
	}
	l.lastWake, l.lastLateness, l.lastFull, l.started = end, lateness, full, true
	return lateness, iteration
}

// EventsFull tells whether the last wait brought as much as it can.
func (l *Loop) EventsFull() bool { return l.eventCount == len(l.events) }
