package epoll

import (
	"testing"

	"golang.org/x/sys/unix"
)

// Guards a node on a machine that has no descriptor left: who waits at its listener is taken as soon as there is one again,
// also where nothing of its own was closed meanwhile.
func TestListenerRetriesAfterDescriptorsRunOut(t *testing.T) {
	h := &told{acceptQuota: 1}
	l, client := newListeningLoop(t, h)
	c := client()
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	exhausted := limit
	exhausted.Cur = 3 // no further one: what is open stays
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &exhausted); err != nil {
		t.Fatal(err)
	}
	if err := l.Wait(1_000_000); err == nil {
		l.Dispatch()
	}
	id, disabled := h.lastID, !l.clients.accepting
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if id != 0 || !disabled {
		t.Fatal("taken without a descriptor, or asked for again at once", id, disabled)
	}
	from := monotonicMicros()
	runUntil(t, l, func() bool { return h.lastID > 0 })
	if monotonicMicros()-from < acceptRetryDelay/2 {
		t.Fatal("asked for at once")
	}
	c.Close()
}
