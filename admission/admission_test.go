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

func TestKey(t *testing.T) {
	for _, c := range []struct {
		a, b string
		same bool
	}{{"10.0.0.1", "10.0.0.1", true}, {"10.0.0.1", "10.0.0.2", false}, {"::ffff:10.0.0.1", "10.0.0.1", true},
		{"2001:db8::1", "2001:db8::ffff:2", true}, {"2001:db8:0:1::1", "2001:db8:0:2::1", false},
		{"fe80::1%eth0", "fe80::2%eth1", true}} {
		if (key(c.a) == key(c.b)) != c.same {
			t.Errorf("%s and %s: one address %t", c.a, c.b, !c.same)
		}
	}
}

func TestCap(t *testing.T) {
	g := New(Limits{PerAddress: 3})
	a, b := key("10.0.0.1"), key("10.0.0.2")
	for i := range 5 {
		if why := g.Come(a, int64(i), 100); (why == Taken) != (i < 3) {
			t.Errorf("connection %d: %v", i, why)
		}
	}
	if g.Come(b, 9, 100) != Taken {
		t.Error("another address pays for it")
	}
	g.Gone(a)
	if g.Come(a, 10, 100) != Taken || g.Come(a, 11, 100) != TooMany {
		t.Error("one that ended makes room for one")
	}
}

// TestLoop is one address that reconnects in a tight loop: it gets its rate and no more, over any stretch.
func TestLoop(t *testing.T) {
	g := New(Limits{Rate: 10, Burst: 5})
	a, taken := key("10.0.0.1"), 0
	for at := int64(0); at < 20*second; at += 1000 {
		if g.Come(a, at, 100) == Taken {
			taken++
			g.Gone(a)
		}
	}
	if taken < 200 || taken > 206 {
		t.Errorf("%d taken in 20 s at 10 a second", taken)
	}
	if g.Come(a, 30*second, 100) != Taken || g.Come(a, 1*second, 100) != Taken {
		t.Error("a clock that goes back must not lock an address out while it has connections in hand")
	}
}

// TestFlood is a flood of new addresses: the tables stay bounded, known clients are still known and get the reserve.
func TestFlood(t *testing.T) {
	g := New(Limits{Reserve: 10, Known: 64, Strangers: 128})
	var known []prefix
	for i := range 32 {
		k := key(fmt.Sprintf("10.1.0.%d", i+1))
		known = append(known, k)
		if g.Come(k, 0, 100) != Taken {
			t.Fatal("turned away with all free")
		}
		g.Stood(k, 0)
		g.Gone(k)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 200_000 {
		k := Key(netip.AddrFrom4([4]byte{172, byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())}))
		if why := g.Come(k, int64(i), 10); why != KeptFree {
			t.Fatalf("a stranger gets what is kept: %v", why)
		}
		if g.Come(k, int64(i), 11) == Taken {
			g.Gone(k)
		}
	}
	if n, m := g.Held(); n > 64 || m > 128 {
		t.Errorf("%d and %d addresses are held", n, m)
	}
	for _, k := range known {
		if !g.Known(k, second) || g.Come(k, second, 1) != Taken {
			t.Fatal("a known client is turned away in the flood")
		}
	}
}

func TestKnownFade(t *testing.T) {
	g := New(Limits{Reserve: 5})
	a := key("10.0.0.1")
	g.Come(a, 0, 100)
	g.Stood(a, 0)
	if !g.Known(a, halfLife) || g.Known(a, 4*halfLife) {
		t.Errorf("known after one half-life %t, after four %t", g.Known(a, halfLife), g.Known(a, 4*halfLife))
	}
}

// TestHeldAreCounted never lets go of an address that holds connections, or its cap would be worth nothing.
func TestHeldAreCounted(t *testing.T) {
	g := New(Limits{PerAddress: 1, Strangers: 8})
	a := key("10.0.0.1")
	g.Come(a, 0, 100)
	for i := range 1000 {
		k := key(fmt.Sprintf("10.2.%d.%d", i/250, i%250))
		if g.Come(k, int64(i), 100) == Taken {
			g.Gone(k)
		}
	}
	if why := g.Come(a, 2000, 100); why != TooMany {
		t.Errorf("its connection was forgotten: %v", why)
	}
}

// TestFair gives types their shares by benefit while the node is short, and everything to whoever comes while it is not.
func TestFair(t *testing.T) {
	for _, c := range []struct {
		name  string
		every [2]int64 // a flow of each type so often
		short float64
		want  [2]float64 // share taken
	}{
		{"nothing short", [2]int64{1000, 1000}, 0, [2]float64{1, 1}},
		{"half", [2]int64{1000, 1000}, 0.5, [2]float64{0.25, 0.75}},
		{"a tenth", [2]int64{1000, 1000}, 0.1, [2]float64{0.8, 1}},
		{"the one of more benefit wants little", [2]int64{1000, 10_000}, 0.5, [2]float64{0.45, 1}},
		{"nothing left", [2]int64{1000, 1000}, 1, [2]float64{0, 0}},
	} {
		f := NewFair([]float64{1, 3})
		var came, taken [2]float64
		for at := int64(0); at < 20*second; at += 1000 {
			for typ := range 2 {
				if at%c.every[typ] != 0 {
					continue
				}
				ok := f.Take(typ, at, c.short)
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
				t.Errorf("%s: of type %d %.3f is taken, not %.3f", c.name, typ, got, c.want[typ])
			}
		}
	}
}
