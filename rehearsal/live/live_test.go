package live

import (
	"fmt"
	"io"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coursewinch/capture"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/rules"
	"coursewinch/rehearsal/scenario"
)

var program string

const spinVariable = "REHEARSAL_SPINS"

// TestMain builds the node that the tests start.
func TestMain(m *testing.M) {
	if os.Getenv(spinVariable) != "" { // what a test has started: it takes a core until it is killed, a minute at most
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		}
		os.Exit(0)
	}
	dir, err := os.MkdirTemp("", "live-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "coursewinch")
	out, err := exec.Command("go", "build", "-o", program, "coursewinch/cmd/coursewinch").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	log.SetOutput(io.Discard) // of nodes in virtual time
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const script = `name = "signals"
length = "6s"
zones = ["a"]
[clients]
wait = "fixed"
pause = "50ms"
[[hosts]]
count = 3
cores = 4.0
[[nodes]]
count = 2
[front]
notice = "500ms"
[demand]
rate = 20.0
life = "1s"
[[types]]
name = "t"
setup_target = "500ms"
connect_timeout = "1s"
message_target = "100ms"
[[faults]]
at = "1s"
kind = "node_reload"
nodes = ["n-0"]
[[faults]]
at = "2s"
kind = "node_kill"
nodes = ["n-0"]
for = "300ms"
[[faults]]
at = "3500ms"
kind = "node_stop"
nodes = ["n-1"]
for = "300ms"
[[faults]]
at = "3s"
kind = "crash"
hosts = ["h-1"]
for = "1s"
`

func load(t *testing.T, text string) *scenario.Script {
	t.Helper()
	s, err := scenario.Parse("live.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// playLive plays a script whose rules have to be kept. On a machine that ran late it says nothing, and is played once more.
func playLive(t *testing.T, s *scenario.Script, opt Options) *record.Run {
	t.Helper()
	r, err := Play(s, opt)
	if err == nil && r.Void != "" {
		t.Log(r.Void)
		r, err = Play(s, opt)
	}
	if err != nil {
		t.Fatal(err)
	}
	if r.Void != "" {
		t.Skip(r.Void)
	}
	for _, b := range rules.Check(r) {
		t.Error(b.Report(r))
	}
	return r
}

// TestSignals plays SIGHUP, SIGKILL, SIGTERM and a host's crash on real processes: rules are kept, every node serves
// again, and the captures of all their lives can be read. On a machine that ran late the run says nothing.
func TestSignals(t *testing.T) {
	dir := t.TempDir()
	r := playLive(t, load(t, script), Options{Program: program, Capture: dir, Logs: filepath.Join(dir, "logs")})
	late := map[int]int{}
	for _, f := range r.Flows {
		if word, at := f.Answer(); word == "established" && at > 4_800_000 {
			late[f.Node]++
		}
	}
	if late[0] == 0 || late[1] == 0 {
		t.Errorf("established at the end, by node: %v", late)
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.capture"))
	if len(files) != 4 {
		t.Errorf("captures %v", files)
	}
	flows := 0
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		c, err := capture.Read(f)
		f.Close()
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		flows += len(c.Flows)
	}
	if flows < len(r.Flows)*2/3 {
		t.Errorf("%d of %d flows captured", flows, len(r.Flows))
	}
	text, err := os.ReadFile(filepath.Join(dir, "logs", "n-0.log"))
	if err != nil || !strings.Contains(string(text), "config_read") {
		t.Errorf("no sign of SIGHUP in the log: %v", err)
	}
}

// TestLateMachineVoidsRun stops the goroutine that plays the fleet: the run must be void, and not the node's fault.
func TestLateMachineVoidsRun(t *testing.T) {
	s := load(t, strings.Replace(script[:strings.Index(script, "[[faults]]")], "6s", "2s", 1))
	r, err := Play(s, Options{Program: program, testHook: func(p *player) {
		p.world.At(1_000_000, func() { time.Sleep(2 * maxDelay * time.Microsecond) })
	}})
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(r.Void, "the machine ran late") {
		t.Errorf("void: %q, late: %s", r.Void, r.Late)
	}
}

// TestStarvedNodesVoidRun takes most of the nodes' cores without the script's word: the run is void, and not the nodes' fault. By
// the script's word it counts.
func TestStarvedNodesVoidRun(t *testing.T) {
	text := "[cluster]\non = true\n" + script[strings.Index(script, "[clients]"):strings.Index(script, "[[faults]]")]
	text = script[:strings.Index(script, "[clients]")] + text
	for _, own := range []bool{false, true} {
		s := load(t, strings.Replace(text, "6s", "4s", 1))
		if own {
			s.Faults = append(s.Faults, scenario.Fault{Kind: "node_starve", Nodes: []string{"n-0", "n-1"}, Size: 0.6, At: 500_000, For: 3_500_000})
		}
		var late *lateCounter
		r, err := Play(s, Options{Program: program, OnSecond: func(_ int64, metrics func(int) map[string]float64) {
			metrics(0)
			metrics(1)
		}, testHook: func(p *player) {
			if late = &p.lateReports; !own {
				p.world.At(500_000, func() { p.Starve(0, 0.6); p.Starve(1, 0.6) })
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(r.Void, "ran late") {
			t.Skip(r.Void) // beside what the test takes, and it comes first
		}
		if void := strings.Contains(r.Void, "starved the nodes"); void == own || late.share() <= maxLateShare {
			t.Errorf("by the script %t: void %q, late in %.2f of their seconds", own, r.Void, late.share())
		}
	}
}

// TestBusyMachine: nodes that waited for a core for too long make the run void, though the fleet's own events are in time, and
// without that it counts.
func TestCPUWaitVoidsRun(t *testing.T) {
	s := load(t, strings.Replace(script[:strings.Index(script, "[[faults]]")], "6s", "2s", 1))
	for _, busy := range []bool{false, true} {
		r, err := Play(s, Options{Program: program, testHook: func(p *player) {
			if busy {
				p.nodes[0].pastCPUWait = time.Minute
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(r.Void, "ran late") {
			t.Skip(r.Void) // beside what the test takes, and it comes first
		}
		if void := strings.Contains(r.Void, "waited for a core"); void != busy {
			t.Errorf("busy %t: void %q, %s", busy, r.Void, r.Late)
		}
	}
}

// TestWaitsForACore: of two programs that never rest and share a core, each waits for it half of the time.
func TestMeasuresCPUWait(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("the system keeps no account: ", err)
	}
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		t.Fatal(err)
	}
	for i := 0; one.Count() == 0; i++ {
		if all.IsSet(i) {
			one.Set(i)
		}
	}
	var both [2]*process
	for i := range both {
		spins := exec.Command(os.Args[0])
		spins.Env = append(os.Environ(), spinVariable+"=1")
		if err := spins.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			spins.Process.Kill()
			spins.Wait()
		})
		both[i] = &process{cmd: spins}
	}
	for end := time.Now().Add(10 * time.Second); both[0].cpuWait() < 50*time.Millisecond || both[1].cpuWait() < 50*time.Millisecond; time.Sleep(time.Millisecond) {
		for _, p := range both { // again and again: a thread may have been made just as the others were told
			threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", p.cmd.Process.Pid))
			for _, thread := range threads {
				no, _ := strconv.Atoi(filepath.Base(thread))
				unix.SchedSetaffinity(no, &one)
			}
		}
		if time.Now().After(end) {
			t.Fatalf("waited %v and %v in ten seconds", both[0].cpuWait(), both[1].cpuWait())
		}
	}
}

func TestRejectsBadOptions(t *testing.T) {
	if _, err := Play(load(t, script), Options{Program: "/nowhere/at/all"}); err == nil {
		t.Error("a program that is not there was started")
	}
	text := strings.Replace(strings.Replace(script, "count = 3", "count = 900", 1), "count = 2", "count = 900", 1)
	if _, err := Play(load(t, text), Options{Program: program}); err == nil || !strings.Contains(err.Error(), "too many") {
		t.Errorf("810,000 listeners: %v", err)
	}
}

// TestStarvedNode takes most of a node's core by stopping its process again and again: sound hosts must not be blamed.
func TestStarvedNode(t *testing.T) {
	text := script[:strings.Index(script, "[[faults]]")]
	text = strings.NewReplacer("\"6s\"", "\"5s\"", "count = 2", "count = 1").Replace(text) +
		"[[faults]]\nat = \"1s\"\nkind = \"node_starve\"\nnodes = [\"n-0\"]\nsize = 0.6\nfor = \"3s\"\n"
	dir := t.TempDir()
	r := playLive(t, load(t, text), Options{Program: program, Logs: dir})
	log, _ := os.ReadFile(filepath.Join(dir, "n-0.log"))
	if n := strings.Count(string(log), "skipped"); n > 0 {
		t.Errorf("%d hosts skipped:\n%s", n, log)
	}
	if a := r.Sum().Answers; a["established"] < len(r.Flows)-1 {
		t.Errorf("answers %v", a)
	}
}
