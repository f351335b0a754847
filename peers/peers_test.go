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
	loads, held, sent := 0, 0, [][]byte{}
	Write(servers, homes, func(p []byte) { sent = append(sent, p) })
	for _, p := range sent {
		ok := Read(p, func(host uint32, busy float64) {
			if host != uint32(loads) || busy != 0 {
				t.Fatal(host, busy, "where", loads, "is due")
			}
			loads++
		}, func(group, host uint32) {
			if group != uint32(1000+held) || host != uint32(held) {
				t.Fatal(group, host)
			}
			held++
		})
		if !ok || len(p) > Most {
			t.Fatal("unread, or", len(p), "bytes")
		}
	}
	if loads != 100 || held != 100 || len(sent) > 5 {
		t.Fatal(loads, held, len(sent))
	}
	p := sent[0]
	for _, bad := range [][]byte{nil, {1}, {1, 200, 0}, p[:len(p)-1], append([]byte{2}, p[1:]...), append(p, p...)} {
		if Read(bad, func(uint32, float64) { t.Fatal("a load read") }, func(_, _ uint32) { t.Fatal("a home read") }) {
			t.Fatal("taken for a datagram:", bad)
		}
	}
}
