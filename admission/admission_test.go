package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
)

func key(text string) prefix { return Key(netip.MustParseAddr(text)) }

type prefix = netip.Prefix

// Addresses that one client can choose among have to count as one: forms of one IPv4 address, and all addresses of an IPv6 /64.
// Other addresses have to count separately.
func TestKey(t *testing.T) {
	for _, c := range []struct {
		a, b string
		same bool
	}{{"10.0.0.1", "10.0.0.1", true}, {"10.0.0.1", "10.0.0.2", false}, {"::ffff:10.0.0.1", "10.0.0.1", true},
		{"2001:db8::1", "2001:db8::ffff:2", true}, {"2001:db8:0:1::1", "2001:db8:0:2::1", false},
		{"fe80::1%eth0", "fe80::2%eth1", true}} {
		if (key(c.a) == key(c.b)) != c.same {
			t.Errorf("%s and %s: same key %t", c.a, c.b, !c.same)
		}
	}
}

// An address that reached its cap must get no further connection until one of its own closes. Other addresses are not affected.
func TestConnectionCapPerAddress(t *testing.T) {
	c := New(Limits{PerAddress: 3})
	a, b := key("10.0.0.1"), key("10.0.0.2")
	for i := range 5 {
		if why := c.Admit(a, int64(i), 100); (why == Admitted) != (i < 3) {
			t.Errorf("connection %d: %v", i, why)
		}
	}
	if c.Admit(b, 9, 100) != Admitted {
		t.Error("the cap of one address refuses another address")
	}
	c.Release(a)
	if c.Admit(a, 10, 100) != Admitted || c.Admit(a, 11, 100) != TooManyConnections {
		t.Error("a closed connection should make room for exactly one more")
	}
}

// An address that reconnects in a tight loop must get its allowed rate and no more.
func TestRateLimitsReconnectLoop(t *testing.T) {
	c := New(Limits{Rate: 10, Burst: 5})
	a, taken := key("10.0.0.1"), 0
	for at := int64(0); at < 20*second; at += 1000 {
		if c.Admit(a, at, 100) == Admitted {
			taken++
			c.Release(a)
		}
	}
	if taken < 200 || taken > 206 {
		t.Errorf("%d connections accepted in 20 s at 10 per second", taken)
	}
	if c.Admit(a, 30*second, 100) != Admitted || c.Admit(a, 1*second, 100) != Admitted {
		t.Error("a clock that goes back must not refuse an address that still has tokens")
	}
}

// In a flood of new addresses, the tables must stay bounded, and known clients must stay known and get the reserve.
func TestFloodOfNewAddresses(t *testing.T) {
	c := New(Limits{Reserve: 10, KnownAddresses: 64, UnknownAddresses: 128})
	var known []prefix
	for i := range 32 {
		k := key(fmt.Sprintf("10.1.0.%d", i+1))
		known = append(known, k)
		if c.Admit(k, 0, 100) != Admitted {
			t.Fatal("refused while all descriptors are free")
		}
		c.Established(k, 0)
		c.Release(k)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 200_000 {
		k := Key(netip.AddrFrom4([4]byte{172, byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())}))
		if why := c.Admit(k, int64(i), 10); why != ReservedForKnown {
			t.Fatalf("an unknown address got a reserved descriptor: %v", why)
		}
		if c.Admit(k, int64(i), 11) == Admitted {
			c.Release(k)
		}
	}
	if n, m := c.AddressCounts(); n > 64 || m > 128 {
		t.Errorf("%d known and %d unknown addresses are remembered", n, m)
	}
	for _, k := range known {
		if !c.IsKnown(k, second) || c.Admit(k, second, 1) != Admitted {
			t.Fatal("a known client was refused during the flood")
		}
	}
}

// An address without established flows for a long time must not keep its claim on the reserve.
func TestKnownAddressExpires(t *testing.T) {
	c := New(Limits{Reserve: 5})
	a := key("10.0.0.1")
	c.Admit(a, 0, 100)
	c.Established(a, 0)
	if !c.IsKnown(a, scoreHalfLife) || c.IsKnown(a, 4*scoreHalfLife) {
		t.Errorf("known after one half-life %t, after four %t", c.IsKnown(a, scoreHalfLife), c.IsKnown(a, 4*scoreHalfLife))
	}
}

// An address with open connections must never be evicted: its connection cap would no longer be enforced.
func TestAddressWithConnectionsIsNotEvicted(t *testing.T) {
	c := New(Limits{PerAddress: 1, UnknownAddresses: 8})
	a := key("10.0.0.1")
	c.Admit(a, 0, 100)
	for i := range 1000 {
		k := key(fmt.Sprintf("10.2.%d.%d", i/250, i%250))
		if c.Admit(k, int64(i), 100) == Admitted {
			c.Release(k)
		}
	}
	if why := c.Admit(a, 2000, 100); why != TooManyConnections {
		t.Errorf("the record of an open connection was evicted: %v", why)
	}
}

// While the node is short of capacity, service types must get shares by benefit. Otherwise every flow is accepted.
func TestFairShares(t *testing.T) {
	for _, c := range []struct {
		name  string
		every [2]int64 // interval between flows of each type, microseconds
		short float64
		want  [2]float64 // share accepted
	}{
		{"no shortfall", [2]int64{1000, 1000}, 0, [2]float64{1, 1}},
		{"half the demand", [2]int64{1000, 1000}, 0.5, [2]float64{0.25, 0.75}},
		{"a tenth of the demand", [2]int64{1000, 1000}, 0.1, [2]float64{0.8, 1}},
		{"type of higher benefit wants little", [2]int64{1000, 10_000}, 0.5, [2]float64{0.45, 1}},
		{"no capacity", [2]int64{1000, 1000}, 1, [2]float64{0, 0}},
	} {
		f := NewFairShares([]float64{1, 3})
		var came, taken [2]float64
		for at := int64(0); at < 20*second; at += 1000 {
			for typ := range 2 {
				if at%c.every[typ] != 0 {
					continue
				}
				ok := f.Admit(typ, at, c.short)
				if at > 5*second {
					came[typ]++
					if ok {
						taken[typ]++
					}
				}
			}
		}
		for typ := range 2 {
			if got := taken[typ] / came[typ]; math.Abs(got-c.want[typ]) > 0.02 {
				t.Errorf("%s: type %d: share accepted %.3f, want %.3f", c.name, typ, got, c.want[typ])
			}
		}
	}
}
