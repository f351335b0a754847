package virtual

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"

	"coursewinch/capture"
	"coursewinch/node"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/replay"
	"io"
	"log"
	"os"
	"runtime"
	"testing"

	"coursewinch/rehearsal/report"
	"coursewinch/rehearsal/rules"
	"coursewinch/rehearsal/scenario"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// TestRunsAreDeterministic plays every shipped script twice, on one core and on all: the answers must not differ in a byte.
func TestRunsAreDeterministic(t *testing.T) {
	for _, name := range scenario.Shipped() {
		if name == "full-size" || name == "full-core" { // long; the command measures them
			continue
		}
		s, err := scenario.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		var hashes [2]string
		for i, cores := range []int{1, runtime.NumCPU()} {
			old := runtime.GOMAXPROCS(cores)
			r, err := Play(s, Options{})
			runtime.GOMAXPROCS(old)
			if err != nil {
				t.Fatal(err)
			}
			hashes[i] = report.Hash(r)
			for _, b := range rules.Check(r) {
				t.Errorf("%s: %s", name, b.Report(r))
			}
		}
		if hashes[0] != hashes[1] {
			t.Errorf("%s: answers %s, then %s", name, hashes[0], hashes[1])
		}
	}
}

func playChecked(t *testing.T, name string, changes ...string) *record.Run {
	t.Helper()
	s, err := scenario.LoadWith(name, changes)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Play(s, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range rules.Check(r) {
		t.Errorf("%s: %s", name, b.Report(r))
	}
	return r
}

// TestNodeRestartWithColdHost wants the killed node to serve again, and the warming host to get flows while it warms: a few,
// so that five evenings are counted.
func TestNodeRestartWithColdHost(t *testing.T) {
	again, warming := 0, 0
	for seed := range 5 {
		for _, f := range playChecked(t, "node-restart-cold-host", fmt.Sprintf("seed=%d", seed+1)).Flows {
			word, at := f.Answer()
			if word == "established" && f.Node == 0 && at > 24_000_000 {
				again++
			}
			if word == "established" && f.Host == 3 && at > 15_000_000 && at < 37_000_000 {
				warming++
			}
		}
	}
	if again < 50 || warming < 5 {
		t.Errorf("%d flows at the node after its restart, %d on the warming host", again, warming)
	}
}

// TestDrainWithNeighbour wants nothing new on the drained host once every node must know, and moves away from it.
func TestDrainWithNeighbour(t *testing.T) {
	r := playChecked(t, "drain-beside-neighbour")
	moved := 0
	for _, f := range r.Flows {
		_, at := f.Answer()
		if f.Host == 1 && at > 19_000_000 {
			t.Errorf("established on the drained host at %d us", at)
		}
		if f.Host == 1 && f.Find(record.Moved) != nil {
			moved++
		}
	}
	if moved == 0 {
		t.Error("nobody was moved")
	}
}

func TestAllHostsDie(t *testing.T) {
	r := playChecked(t, "all-hosts-die")
	if n := r.Sum().Answers["none"]; n > 0 {
		t.Errorf("%d flows without an answer", n)
	}
	for _, s := range r.Seconds[22:29] {
		for _, v := range s.Served {
			if v > 0 {
				t.Fatal("served while no host lived")
			}
		}
	}
}

func TestTenTimesDemand(t *testing.T) {
	r := playChecked(t, "ten-times")
	a := r.Sum().Answers
	if a["rejected"] < a["established"] || a["established"] < 100 || a["none"] > 0 {
		t.Errorf("answers %v", a)
	}
}

// TestCPUCostBoundsSetups plays a node whose core is full: what it sets up is bounded by what its core can do, and without a cost
// it is not. Guards the cost model that shows the node's own limits in virtual time.
func TestCPUCostBoundsSetups(t *testing.T) {
	short := []string{"length=\"1s\"", "demand.loops=[{count=32,for=\"1s\"}]", "demand.bulk=[]"}
	free := playChecked(t, "full-core", append(short, `node={}`)...)
	full := playChecked(t, "full-core", append(short, `node={turn_cost="28us",event_cost="3us",socket_cost="100us"}`)...)
	const perFlow = 4 * 100 // at least: taken, opened and two closed
	n, most := full.Sum().Answers["established"]+full.Sum().Answers["left"], 1_000_000/perFlow
	if n > most || n < most/4 {
		t.Errorf("%d flows with a full core, %d possible", n, most)
	}
	if m := free.Sum().Answers["established"]; m < 3*n {
		t.Errorf("%d flows with a full core, %d with a free one", n, m)
	}
}

// TestStarvedNode takes most of a node's core: its set-ups take longer, and all its flows have their answer.
func TestStarvedNode(t *testing.T) {
	r := playChecked(t, "full-core", "length=\"3s\"", "demand.bulk=[]", `demand.loops=[{count=4,for="3s"}]`,
		`faults=[{at="1s",kind="node_starve",nodes=["n-0"],size=0.95,for="1s"}]`)
	var before, meanwhile []int64
	for _, f := range r.Flows {
		if word, at := f.Answer(); word == "established" && at < 1_000_000 {
			before = append(before, f.Establish)
		} else if word == "established" && at > 1_050_000 && at < 2_000_000 {
			meanwhile = append(meanwhile, f.Establish)
		}
	}
	slices.Sort(before)
	slices.Sort(meanwhile)
	if b, m := record.Quantile(before, 0.5), record.Quantile(meanwhile, 0.5); m < 2*b {
		t.Errorf("set-ups took %d us, and %d with a twentieth of the core", b, m)
	}
}

// TestReplayMatchesCapturedRun wants a replay of a run's captures to serve what the run served.
func TestReplayMatchesCapturedRun(t *testing.T) {
	dir := t.TempDir()
	s, err := scenario.Load("busy-evening")
	if err != nil {
		t.Fatal(err)
	}
	first, err := Play(s, Options{Capture: dir})
	if err != nil {
		t.Fatal(err)
	}
	var all []*capture.Capture
	files, _ := filepath.Glob(filepath.Join(dir, "*.capture"))
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		c, err := capture.Read(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	s.Recorded, _ = replay.ToScript(all, s, leadTime)
	s.Demand.Flows = "captured"
	second, err := Play(s, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if a, b := first.Sum().Service, second.Sum().Service; math.Abs(a-b) > 0.02 {
		t.Errorf("service %.3f, replayed %.3f", a, b)
	}
}

// TestManySilentConnections is ten thousand connections that say nothing: the usual clients have their descriptors all the same.
func TestManySilentConnections(t *testing.T) {
	r := playChecked(t, "calm-evening", "length=\"12s\"", "node.sockets=200", `faults=[]`,
		`demand.bad=[{at="1s",for="10s",rate=1000.0,kind="mute"}]`)
	if len(r.Bad) < 9000 {
		t.Fatalf("%d silent connections", len(r.Bad))
	}
	if a := r.Sum().Answers; a["established"] < len(r.Flows)-1 {
		t.Errorf("answers %v", a)
	}
}

// TestPerAddressLimits is a tight loop from one address beside clients that come one each: with caps the others do not feel
// it, and whoever is refused is told so.
func TestPerAddressLimits(t *testing.T) {
	capped := playChecked(t, "one-address", `demand.loops=[{at="3s",for="2s",count=120,one_address=true}]`)
	open := playChecked(t, "one-address", `demand.loops=[{at="3s",for="2s",count=120,one_address=true}]`, "node.admission={}")
	if c, o := capped.Sum(), open.Sum(); c.Service < 0.99 || c.LateShare[0] > 0.01 || c.Answers["none"] > 0 || o.Service > c.Service {
		t.Errorf("service %.3f with caps, %.3f without; late %.3f; answers %v", c.Service, o.Service, c.LateShare[0], c.Answers)
	}
}

// TestHoldingsStableUnderChurn wants what a node holds to stay on its level while clients vanish and the list changes each second.
func TestHoldingsStableUnderChurn(t *testing.T) {
	s, err := scenario.Load("churn")
	if err != nil {
		t.Fatal(err)
	}
	sums := map[string][2]float64{}
	_, err = Play(s, Options{Watch: func(at int64, all map[int][]node.Hold) {
		half := 0
		if at > 40_000_000 {
			half = 1
		}
		for _, h := range all[0] {
			if v := sums[h.Purpose]; at > 20_000_000 && at <= 60_000_000 {
				v[half] += float64(h.Count)
				sums[h.Purpose] = v
			}
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	for _, purpose := range []string{"fd_client", "fd_new", "connections", "hosts", "groups", "logs", "deadlines"} {
		if v := sums[purpose]; v[0] == 0 || math.Abs(v[1]/v[0]-1) > 0.15 {
			t.Errorf("%s: %.0f in one twenty seconds, %.0f in the next", purpose, v[0]/20, v[1]/20)
		}
	}
}

// TestGoodputInOverload offers ten times what one core can set up for four seconds: what it establishes stays at what it can do, in
// time, and it is back to normal within two seconds.
func TestGoodputInOverload(t *testing.T) {
	r := playChecked(t, "overload")
	var by [9]int
	for _, f := range r.Flows {
		if word, at := f.Answer(); word == "established" && at < 9_000_000 {
			by[at/1_000_000]++
		}
	}
	const can = 1340 // a second: the peak where demand is just that much, of the same costs
	for s := 2; s < 5; s++ {
		if by[s] < can*9/10 {
			t.Errorf("%d established in second %d, %d possible", by[s], s, can)
		}
	}
	if by[7] < 430 {
		t.Errorf("two seconds after the flood %d of 500 are established", by[7])
	}
	s := r.Sum()
	for typ, target := range r.Types {
		if p99 := record.Quantile(s.Setups[typ], 0.99); p99 > target.Target {
			t.Errorf("%s: p99 of set-ups %d us, target %d", target.Name, p99, target.Target)
		}
	}
}
