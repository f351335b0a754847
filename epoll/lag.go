package epoll

const (
	minBlockingWait = 100 // microseconds; a shorter wait did not block, so its events were ready before
	maxOvershoot    = 500 // microseconds past a wait's timeout; beyond, the process was not given its core
)

// Lag measures how late a loop runs, from the times of its waits alone. All times are in microseconds.
type Lag struct {
	lastWake     int64 // when the last wait ended
	lastLateness int64
	lastFull     bool // the last wait returned as many events as it can: more may have been ready
	started      bool
}

// WaitEnded is called after each wait with its start and end, its timeout (negative for none), and whether it returned as
// many events as it can. It returns how long the events may have been ready at most, and how long the iteration before the
// wait took.
func (l *Lag) WaitEnded(start, end, timeout int64, full bool) (lateness, iteration int64) {
	waited := end - start
	if l.started {
		iteration = start - l.lastWake
	}
	if timeout > 0 {
		timeout = (timeout + 999) / 1000 * 1000 // epoll counts in milliseconds
	}
	switch {
	case waited < minBlockingWait:
		if lateness = iteration; l.lastFull {
			lateness += l.lastLateness // events left over from the wait before are older
		}
	case timeout >= 0 && waited > timeout+maxOvershoot:
		lateness = waited - timeout
	}
	l.lastWake, l.lastLateness, l.lastFull, l.started = end, lateness, full, true
	return lateness, iteration
}
