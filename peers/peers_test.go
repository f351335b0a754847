package peers

import (
	"testing"

	"coursewinch/balance"
)

func TestWhatIsToldIsRead(t *testing.T) {
	var servers []*balance.Server
	var homes []balance.Home
	for i := range 100 {
		servers = append(servers, &balance.Server{Hash: uint64(i) | 7<<40})
		homes = append(homes, balance.Home{Group: &balance.Group{Hash: uint64(1000 + i)}, Server: servers[i]})
	}
	loads, held, p := 0, 0, []byte(nil)
	hear := func(q []byte) bool {
		return Read(q, func(host uint32, busy float64) { loads += int(host) + 1 },
			func(group, host uint32) { held += int(group-host) - 999 })
	}
	Write(servers, homes, func(q []byte) {
		if p = q; !hear(q) || len(q) > Most {
			t.Fatal("unread, or", len(q), "bytes")
		}
	})
	for _, bad := range [][]byte{nil, {1}, {1, 200, 0}, p[:len(p)-1], append([]byte{2}, p[1:]...), append(p, make([]byte, 300)...)} {
		if hear(bad) {
			t.Fatal("taken for a datagram:", bad)
		}
	}
	if loads != 5050 || held != 100 {
		t.Fatal(loads, held)
	}
}
