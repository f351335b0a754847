package fleet

import (
	"math"
	"testing"

	"coursewinch/rehearsal/scenario"
)

// idlePlayer is a NodePlayer whose nodes do nothing. It notes what the nodes receive.
type idlePlayer struct{ received []string }

func (n *idlePlayer) Start(int, NodeConfig)              {}
func (n *idlePlayer) Kill(int)                           {}
func (n *idlePlayer) Stop(int)                           {}
func (n *idlePlayer) Reload(int, NodeConfig)             {}
func (n *idlePlayer) SetStarvation(int, float64)         {}
func (n *idlePlayer) Accept(*Conn) bool                  { return true }
func (n *idlePlayer) Connected(*Conn)                    {}
func (n *idlePlayer) Refused(*Conn)                      {}
func (n *idlePlayer) Receive(_ *Conn, b []byte)          { n.received = append(n.received, string(b)) }
func (n *idlePlayer) PeerClosed(*Conn)                   {}
func (n *idlePlayer) Reset(*Conn)                        { n.received = append(n.received, "broken") }
func (n *idlePlayer) SetListening(int, bool)             {}
func (n *idlePlayer) ReceiveDatagram(int, int, []byte)   {}
func (n *idlePlayer) SetPaused(int, bool)                {}
func (n *idlePlayer) SetDuplicate(int, NodeConfig, bool) {}
func (n *idlePlayer) AdjustClock(int, int64, float64)    {}

const plainScript = `name = "plain"
zones = ["a", "b"]
[network]
jitter = 0.0
[fleet]
swing = 0.0
setup_work = "10ms"
[[hosts]]
count = 2
cores = 1.0
speed = 1.0
[[nodes]]
zone = "a"
count = 1
[demand]
rate = 0.001
[[types]]
name = "t"
setup_target = "300ms"
connect_timeout = "1s"
message_target = "60ms"
`

// newWorld returns a world with a plain script, its first host and the player of its node, which runs.
func newWorld(t *testing.T, more string) (*World, *host, *idlePlayer) {
	t.Helper()
	s, err := scenario.Parse("plain.toml", []byte(plainScript+more))
	if err != nil {
		t.Fatal(err)
	}
	player := &idlePlayer{}
	w := New(s, 1, player, Environment{Discovery: func(int, int) string { return "discovery" }})
	w.nodes[0].running, w.nodes[0].starts = true, 1
	w.hosts[0].speed = 1
	return w, w.hosts[0], player
}

// addSetup starts a set-up with some work, in microseconds, at a host.
func addSetup(w *World, h *host, us float64) *setupJob {
	h.advance()
	j := &setupJob{work: us, abandoned: true, conn: &hostConn{Conn: &Conn{}}}
	h.pushJob(j)
	h.scheduleCompletion()
	return j
}

// advanceUntilLeft advances the world until a host has only left active set-ups, and returns the time. It returns -1 if
// nothing happens any more.
func advanceUntilLeft(w *World, h *host, left int) int64 {
	for len(h.activeSetups) > left {
		next, ok := w.NextEventAt()
		if !ok {
			return -1
		}
		w.Advance(next)
	}
	return w.now
}

// TestHostSharesCores checks how long set-ups take that share the cores of a host with each other, with messages and with
// other programs.
func TestHostSharesCores(t *testing.T) {
	for _, c := range []struct {
		name  string
		set   func(h *host)
		works []float64
		first int64 // microseconds until the first is done
		last  int64
	}{
		{"alone", func(*host) {}, []float64{10_000}, 10_000, 10_000},
		{"two share one core", func(*host) {}, []float64{10_000, 20_000}, 20_000, 30_000},
		{"two cores", func(h *host) { h.cores = 2 }, []float64{10_000, 20_000}, 10_000, 20_000},
		{"a neighbour takes half", func(h *host) { h.neighbourShare = 0.5 }, []float64{10_000}, 20_000, 20_000},
		{"four times slower", func(h *host) { h.slowdown = 4 }, []float64{10_000}, 40_000, 40_000},
		{"messages take their part", func(h *host) { h.load = 1e6 }, []float64{10_000}, 20_000, 20_000},
		{"cold", func(h *host) { h.bootedAt = 1; h.world.now = 1; h.updatedAt = 1 }, []float64{1_200}, 10_000, 10_000},
	} {
		w, h, _ := newWorld(t, "")
		c.set(h)
		from := w.now
		for _, us := range c.works {
			addSetup(w, h, us)
		}
		first := advanceUntilLeft(w, h, len(c.works)-1) - from
		last := advanceUntilLeft(w, h, 0) - from
		if math.Abs(float64(first-c.first)) > 20 || math.Abs(float64(last-c.last)) > 20 {
			t.Errorf("%s: done after %d and %d us, not %d and %d", c.name, first, last, c.first, c.last)
		}
	}
}

// TestPauseSuspendsWork checks that a pause of a host delays a set-up by its duration.
func TestPauseSuspendsWork(t *testing.T) {
	w, h, _ := newWorld(t, "")
	addSetup(w, h, 10_000)
	w.Advance(5_000)
	w.injectHostFault(&scenario.Fault{Kind: "pause", For: 100_000}, h)
	if at := advanceUntilLeft(w, h, 0); at < 109_900 || at > 110_100 {
		t.Errorf("set-up done at %d us, want about 110000 us", at)
	}
}

// TestColdHostWarmsUp checks the share of its capacity that a host has during its warm-up.
func TestColdHostWarmsUp(t *testing.T) {
	w, h, _ := newWorld(t, "")
	h.bootedAt = 1
	for _, c := range []struct {
		at   int64
		want float64
	}{{1, 0.12}, {11_000_001, 0.56}, {22_000_001, 1}, {60_000_000, 1}} {
		if got := h.warmShare(c.at); math.Abs(got-c.want) > 0.001 {
			t.Errorf("share of the capacity %.3f after %d us, want %.3f", got, c.at, c.want)
		}
	}
	_ = w
}

// TestColdHostFallsOver sends connects to a cold host at rates below and above the multiple of what it can handle at which
// it falls over, and checks that it stays down then.
func TestColdHostFallsOver(t *testing.T) {
	for _, c := range []struct {
		times float64
		falls bool
	}{{0.5, false}, {2, false}, {6, true}} {
		w, h, _ := newWorld(t, "")
		h.bootedAt = 1
		expectedRate := h.capacity() / w.meanLoad / w.script.Fleet.ColdTime.Seconds()
		for at, pending := int64(1), 0.0; at < 15_000_000; at += 10_000 {
			w.Advance(at)
			if pending += expectedRate * h.warmShare(at) * c.times * 0.01; pending >= 1 && !h.fellOver {
				pending--
				h.countColdConnect()
			}
		}
		if h.fellOver != c.falls {
			t.Errorf("%.1f times what it can handle: fell over %t, highest ratio %.2f", c.times, h.fellOver, h.peakColdRatio)
		}
		if w.Advance(20_000_000); c.falls && (h.state != hostDead || w.run.Hosts[0].CollapsedAt == 0) {
			t.Error("the host fell over and is not down")
		}
		if w.startHost(h); c.falls && h.state != hostDead {
			t.Error("the host fell over and did not stay down")
		}
	}
}

// TestGroupCostIsCountedOnce checks that a group adds its cost to a host once, and that the cost goes with its last flow.
func TestGroupCostIsCountedOnce(t *testing.T) {
	w, h, _ := newWorld(t, "")
	w.script.Fleet.GroupCost = 3
	h.addToGroup("g", 1)
	h.addToGroup("g", 1)
	h.addToGroup("o", 1)
	if want := 2 * 3 * w.unitLoadRate(); h.load != want {
		t.Errorf("load %f, want %f", h.load, want)
	}
	h.addToGroup("g", -1)
	h.addToGroup("g", -1)
	h.addToGroup("o", -1)
	if h.load != 0 || len(h.flowsByGroup) != 0 {
		t.Errorf("without flows the host has a load of %f and %d groups", h.load, len(h.flowsByGroup))
	}
}

// TestMessageQualityFallsWithLoad checks that quality decreases with load, and is 0 when the backlog exceeds the target.
func TestMessageQualityFallsWithLoad(t *testing.T) {
	w, h, _ := newWorld(t, "")
	last := 1.1
	for _, load := range []float64{0, 0.5, 0.8, 0.95, 1.2} {
		h.load, h.backlog = load*coreWorkPerSecond, 0
		if load > 1 {
			h.backlog = 0.1 * coreWorkPerSecond
		}
		q := h.messageQuality(60_000)
		if q >= last {
			t.Errorf("quality %.3f at load %.2f, want less than %.3f", q, load, last)
		}
		last = q
	}
	if last != 0 {
		t.Errorf("quality %f with a backlog above the target, want 0", last)
	}
	_ = w
}

// TestSimultaneousEventsKeepOrder checks that events of the same microsecond run in the order in which they were scheduled.
func TestSimultaneousEventsKeepOrder(t *testing.T) {
	w, _, _ := newWorld(t, "")
	var got []int
	for i := range 20 {
		w.Schedule(500, func() {
			got = append(got, i)
			if i == 3 {
				w.Schedule(500, func() { got = append(got, 100) })
			}
		})
	}
	w.Advance(500)
	for i := range 20 {
		if got[i] != i {
			t.Fatalf("events ran in the order %v", got)
		}
	}
	if got[20] != 100 {
		t.Errorf("the event scheduled last is not the last of %v", got)
	}
}

// TestZoneCutHoldsTraffic checks that a cut holds what crosses it, and that this arrives in order after the cut.
func TestZoneCutHoldsTraffic(t *testing.T) {
	w, h, player := newWorld(t, "")
	far := w.hosts[1]
	near := &Conn{Node: 0, peer: h, path: path{0, h.zone}, nodeStarts: 1, isUp: true}
	over := &Conn{Node: 0, peer: far, path: path{0, far.zone}, nodeStarts: 1, isUp: true}
	w.injectZoneFault(&scenario.Fault{Kind: "cut", For: 3_000_000}, far.zone)
	w.sendToNode(near, "near", nil)
	w.sendToNode(over, "one", nil)
	w.sendToNode(over, "two", nil)
	if w.Advance(2_900_000); len(player.received) != 1 || player.received[0] != "near" {
		t.Fatalf("received %v during the cut, want what does not cross it", player.received)
	}
	w.closePeerSide(over, true)
	w.Advance(4_000_000)
	if len(player.received) != 4 || player.received[1] != "one" || player.received[2] != "two" || player.received[3] != "broken" {
		t.Errorf("received %v, want what crosses the cut in order after it", player.received)
	}
}

// TestClientsDoNotDependOnOtherDraws guards paired comparisons of policies: a seed has to give the same clients, whatever
// else draws random numbers in the meantime.
func TestClientsDoNotDependOnOtherDraws(t *testing.T) {
	first, second := clientKeys(t, false), clientKeys(t, true)
	if len(first) == 0 || len(first) != len(second) {
		t.Fatalf("%d clients, and %d beside other draws", len(first), len(second))
	}
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("client %d differs", i)
		}
	}
}

// clientKeys returns the keys of the clients that arrive within ten seconds.
func clientKeys(t *testing.T, disturb bool) (all []string) {
	w, _, _ := newWorld(t, "")
	w.script.Demand.Rate = 20
	w.scheduleDemand()
	for at := int64(0); at < 10_000_000; at += 100_000 {
		w.Advance(at)
		if disturb {
			w.networkRand.Float64()
			w.discovery.random.Float64()
		}
	}
	for _, cl := range w.clients {
		all = append(all, cl.key)
	}
	return all
}

// TestProbeReport checks that the report in the answer to a probe is the load divided by what the host can handle.
func TestProbeReport(t *testing.T) {
	_, h, _ := newWorld(t, "")
	if h.load = 0.62 * coreWorkPerSecond; h.probeAnswer(true)+h.probeAnswer(false) != "PONG 0,0.620\r\nPONG\r\n" {
		t.Fatalf("answers %q with and %q without a report", h.probeAnswer(true), h.probeAnswer(false))
	}
}
