package peers

import (
	"slices"
	"testing"

	"coursewinch/balance"
)

func TestReadReturnsWhatWasWritten(t *testing.T) {
	s := &balance.Server{Hash: 5 | 7<<40}
	h := balance.Home{Group: &balance.Group{Hash: 9}, Server: s}
	loads, held, p := 0, 0, []byte(nil)
	hear := func(q []byte) bool {
		return Read(q, func(host uint32, _ float64) { loads += int(host) }, func(group, host uint32) { held += int(group - host) })
	}
	Write(slices.Repeat([]*balance.Server{s}, 100), slices.Repeat([]balance.Home{h}, 100), func(q []byte) {
		if p = q; !hear(q) || len(q) > Most {
			t.Fatal("unread, or", len(q), "bytes")
		}
	})
	for _, bad := range [][]byte{nil, {1}, {1, 200, 0}, p[:len(p)-1], append([]byte{2}, p[1:]...), append(p, make([]byte, 300)...)} {
		if hear(bad) {
			t.Fatal("taken for a datagram:", bad)
		}
	}
	if loads != 500 || held != 400 {
		t.Fatal(loads, held)
	}
}
