package epoll

import "testing"

// Lateness is computed from the start, end and timeout of each wait. Times are in microseconds.
func TestLag(t *testing.T) {
	for _, c := range []struct {
		name      string
		waits     [][3]int64 // start, end, timeout
		full      []bool
		lateness  int64 // of the last wait
		iteration int64
	}{
		{"a wait that blocked", [][3]int64{{0, 500, 1000}, {700, 1500, 1000}}, []bool{false, false}, 0, 200},
		{"events ready after a long iteration", [][3]int64{{0, 500, 1000}, {5500, 5510, 1000}}, []bool{false, false}, 5000, 5000},
		{"events left over from the wait before", [][3]int64{{0, 500, 1000}, {5500, 5510, 0}, {8510, 8520, 0}}, []bool{false, true, false}, 8000, 3000},
		{"the process was not given its core", [][3]int64{{0, 500, 1000}, {600, 9600, 1000}}, []bool{false, false}, 8000, 100},
		{"a wait without a timeout", [][3]int64{{0, 500, 1000}, {600, 90_600, -1}}, []bool{false, false}, 0, 100},
		{"the first wait", [][3]int64{{5000, 5010, 0}}, []bool{false}, 0, 0},
		{"a clock that went back", [][3]int64{{0, 500, 1000}, {700, 650, 1000}}, []bool{false, false}, 200, 200},
	} {
		var l Lag
		var lateness, iteration int64
		for i, w := range c.waits {
			lateness, iteration = l.WaitEnded(w[0], w[1], w[2], c.full[i])
		}
		if lateness != c.lateness || iteration != c.iteration {
			t.Errorf("%s: late by %d after an iteration of %d, want %d and %d", c.name, lateness, iteration, c.lateness, c.iteration)
		}
	}
}
