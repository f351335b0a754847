package peers

import (
	"slices"
	"testing"

	"coursewinch/balance"
)

// TestDecodeReturnsWhatWasEncoded guards against entries that are lost between encoding and decoding, and against invalid
// datagrams being taken.
func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	s := &balance.Server{Hash: 5 | 7<<40}
	h := balance.GroupPlacement{Group: &balance.Group{Hash: 9}, Server: s}
	loads, placements, p := 0, 0, []byte(nil)
	decode := func(q []byte) bool {
		return Decode(q, func(host uint32, _ float64) { loads += int(host) }, func(group, host uint32) { placements += int(group - host) })
	}
	Encode(slices.Repeat([]*balance.Server{s}, 100), slices.Repeat([]balance.GroupPlacement{h}, 100), func(q []byte) {
		if p = q; !decode(q) || len(q) > MaxDatagramSize {
			t.Fatal("a valid datagram was dropped or is too large:", len(q), "bytes")
		}
	})
	for _, bad := range [][]byte{nil, {1}, {1, 200, 0}, p[:len(p)-1], append([]byte{2}, p[1:]...), append(p, make([]byte, 300)...)} {
		if decode(bad) {
			t.Fatal("an invalid datagram was taken:", bad)
		}
	}
	if loads != 500 || placements != 400 {
		t.Fatalf("sums of what was read: hosts %d, groups less hosts %d", loads, placements)
	}
}
