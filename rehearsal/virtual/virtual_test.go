package virtual

import (
	"fmt"
	"io"
	"log"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"

	"coursewinch/capture"
	"coursewinch/node"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/replay"
	"coursewinch/rehearsal/report"
	"coursewinch/rehearsal/rules"
	"coursewinch/rehearsal/scenario"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// TestRunsAreDeterministic plays every shipped script on one core and on all cores. The answers must be equal byte for
// byte.
func TestRunsAreDeterministic(t *testing.T) {
	for _, name := range scenario.ShippedNames() {
		if name == "full-size" || name == "full-core" { // too long for a test; they are measured with the command
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
			hashes[i] = report.AnswersHash(r)
			for _, b := range rules.Check(r) {
				t.Errorf("%s: %s", name, b.Report(r))
			}
		}
		if hashes[0] != hashes[1] {
			t.Errorf("%s: answers %s, then %s", name, hashes[0], hashes[1])
		}
	}
}

// playChecked plays a shipped script with changes and reports every breach of a rule.
func playChecked(t *testing.T, name string, changes ...string) *record.Run {
	t.Helper()
	s, err := scenario.LoadWithOverrides(name, changes)
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

// TestNodeRestartWithColdHost checks that a killed node serves again and that a cold host gets flows while it warms up.
// The host gets only a few in one run, so five runs are counted together.
func TestNodeRestartWithColdHost(t *testing.T) {
	afterRestart, onColdHost := 0, 0
	for seed := range 5 {
		for _, f := range playChecked(t, "node-restart-cold-host", fmt.Sprintf("seed=%d", seed+1)).Flows {
			outcome, at := f.Outcome()
			if outcome == "established" && f.Node == 0 && at > 24_000_000 {
				afterRestart++
			}
			if outcome == "established" && f.Host == 3 && at > 15_000_000 && at < 37_000_000 {
				onColdHost++
			}
		}
	}
	if afterRestart < 50 || onColdHost < 5 {
		t.Errorf("%d flows at the node after its restart, %d on the cold host", afterRestart, onColdHost)
	}
}

// TestDrainWithNeighbour checks that a drained host gets no new flows once every node must know of the drain, and that
// flows are moved away from it.
func TestDrainWithNeighbour(t *testing.T) {
	r := playChecked(t, "drain-beside-neighbour")
	moved := 0
	for _, f := range r.Flows {
		_, at := f.Outcome()
		if f.Host == 1 && at > 19_000_000 {
			t.Errorf("established on the drained host at %d us", at)
		}
		if f.Host == 1 && f.FirstEvent(record.Moved) != nil {
			moved++
		}
	}
	if moved == 0 {
		t.Error("no flow was moved from the drained host")
	}
}

// TestAllHostsDie checks that every flow has an answer and that none is served while all hosts are dead.
func TestAllHostsDie(t *testing.T) {
	r := playChecked(t, "all-hosts-die")
	if n := r.Summarize().Answers["none"]; n > 0 {
		t.Errorf("%d flows without an answer", n)
	}
	for _, s := range r.Seconds[22:29] {
		for _, v := range s.Served {
			if v > 0 {
				t.Fatal("a flow was served while all hosts were dead")
			}
		}
	}
}

// TestTenTimesDemand offers ten times what the hosts can serve: most flows are rejected, and all have an answer.
func TestTenTimesDemand(t *testing.T) {
	r := playChecked(t, "ten-times")
	a := r.Summarize().Answers
	if a["rejected"] < a["established"] || a["established"] < 100 || a["none"] > 0 {
		t.Errorf("answers %v", a)
	}
}

// TestCPUCostBoundsSetups plays a node whose core is saturated: the number of set-ups is bounded by what the core can do,
// and is not bounded if the core's work costs nothing. It guards the cost model by which virtual time shows a node's own
// limits.
func TestCPUCostBoundsSetups(t *testing.T) {
	short := []string{"length=\"1s\"", "demand.loops=[{count=32,for=\"1s\"}]", "demand.bulk=[]"}
	free := playChecked(t, "full-core", append(short, `node={}`)...)
	full := playChecked(t, "full-core", append(short, `node={turn_cost="28us",event_cost="3us",socket_cost="100us"}`)...)
	const perFlow = 4 * 100 // microseconds at least: a socket accepted, one opened and two closed
	n, most := full.Summarize().Answers["established"]+full.Summarize().Answers["left"], 1_000_000/perFlow
	if n > most || n < most/4 {
		t.Errorf("%d flows with a saturated core, %d possible", n, most)
	}
	if m := free.Summarize().Answers["established"]; m < 3*n {
		t.Errorf("%d flows with a saturated core, %d with a free one", n, m)
	}
}

// TestStarvedNode takes most of a node's core: set-ups take longer, and every flow still has an answer.
func TestStarvedNode(t *testing.T) {
	r := playChecked(t, "full-core", "length=\"3s\"", "demand.bulk=[]", `demand.loops=[{count=4,for="3s"}]`,
		`faults=[{at="1s",kind="node_starve",nodes=["n-0"],size=0.95,for="1s"}]`)
	var before, during []int64
	for _, f := range r.Flows {
		if outcome, at := f.Outcome(); outcome == "established" && at < 1_000_000 {
			before = append(before, f.SetupTime)
		} else if outcome == "established" && at > 1_050_000 && at < 2_000_000 {
			during = append(during, f.SetupTime)
		}
	}
	slices.Sort(before)
	slices.Sort(during)
	if b, m := record.Quantile(before, 0.5), record.Quantile(during, 0.5); m < 2*b {
		t.Errorf("set-ups took %d us, and %d with a twentieth of the core", b, m)
	}
}

// TestReplayMatchesCapturedRun checks that a replay of a run's captures serves as much as the run did.
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
	s.RecordedClients, _ = replay.RecordedDemand(all, s, leadTime)
	s.Demand.Flows = "captured"
	second, err := Play(s, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if a, b := first.Summarize().Service, second.Summarize().Service; math.Abs(a-b) > 0.02 {
		t.Errorf("service %.3f, replayed %.3f", a, b)
	}
}

// TestManySilentConnections opens ten thousand connections that send nothing. The other clients must still find free
// descriptors.
func TestManySilentConnections(t *testing.T) {
	r := playChecked(t, "calm-evening", "length=\"12s\"", "node.sockets=200", `faults=[]`,
		`demand.bad=[{at="1s",for="10s",rate=1000.0,kind="mute"}]`)
	if len(r.BadClients) < 9000 {
		t.Fatalf("%d silent connections", len(r.BadClients))
	}
	if a := r.Summarize().Answers; a["established"] < len(r.Flows)-1 {
		t.Errorf("answers %v", a)
	}
}

// TestPerAddressLimits plays a tight loop from one address beside clients of which each has an address of its own. With
// limits by address the other clients are not affected, and every rejected client has an answer.
func TestPerAddressLimits(t *testing.T) {
	limited := playChecked(t, "one-address", `demand.loops=[{at="3s",for="2s",count=120,one_address=true}]`)
	unlimited := playChecked(t, "one-address", `demand.loops=[{at="3s",for="2s",count=120,one_address=true}]`, "node.admission={}")
	if c, o := limited.Summarize(), unlimited.Summarize(); c.Service < 0.99 || c.LateShare[0] > 0.01 ||
		c.Answers["none"] > 0 || o.Service > c.Service {
		t.Errorf("service %.3f with limits, %.3f without; late %.3f; answers %v", c.Service, o.Service, c.LateShare[0], c.Answers)
	}
}

// TestHoldingsStableUnderChurn checks that what a node holds does not grow while clients vanish and the list changes each
// second.
func TestHoldingsStableUnderChurn(t *testing.T) {
	s, err := scenario.Load("churn")
	if err != nil {
		t.Fatal(err)
	}
	sums := map[string][2]float64{}
	_, err = Play(s, Options{OnSecond: func(at int64, all map[int][]node.Holding) {
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
			t.Errorf("%s: mean of %.0f in the first twenty seconds, %.0f in the next twenty", purpose, v[0]/20, v[1]/20)
		}
	}
}

// TestGoodputInOverload offers ten times what one core can set up for four seconds. The node must establish as many flows
// as it can, in time, and serve normally again within two seconds.
func TestGoodputInOverload(t *testing.T) {
	r := playChecked(t, "overload")
	var bySecond [9]int
	for _, f := range r.Flows {
		if outcome, at := f.Outcome(); outcome == "established" && at < 9_000_000 {
			bySecond[at/1_000_000]++
		}
	}
	const capacity = 1340 // flows a second: what is established at the same costs if demand is no higher
	for s := 2; s < 5; s++ {
		if bySecond[s] < capacity*9/10 {
			t.Errorf("%d established in second %d, %d possible", bySecond[s], s, capacity)
		}
	}
	if bySecond[7] < 430 {
		t.Errorf("two seconds after the overload %d of 500 are established", bySecond[7])
	}
	s := r.Summarize()
	for typ, target := range r.Types {
		if p99 := record.Quantile(s.SetupTimes[typ], 0.99); p99 > target.SetupTarget {
			t.Errorf("%s: p99 of set-ups %d us, target %d", target.Name, p99, target.SetupTarget)
		}
	}
}
