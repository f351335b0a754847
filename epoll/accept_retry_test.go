package epoll

import (
	"testing"

	"golang.org/x/sys/unix"
)

// A machine runs out of descriptors while a client waits in the listener's queue. The loop has to accept it once there are
// descriptors again, even though the loop itself closed nothing meanwhile, and has to pause before it tries.
func TestListenerRetriesAfterDescriptorsRunOut(t *testing.T) {
	h := &callRecorder{acceptQuota: 1}
	l, client := newListeningLoop(t, h)
	c := client()
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	exhausted := limit
	exhausted.Cur = 3 // no new descriptor; open ones stay
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
		t.Fatal("accepted without a descriptor, or retried at once", id, disabled)
	}
	from := monotonicMicros()
	runUntil(t, l, func() bool { return h.lastID > 0 })
	if monotonicMicros()-from < acceptRetryDelay/2 {
		t.Fatal("accepted at once, without the retry delay")
	}
	c.Close()
}
