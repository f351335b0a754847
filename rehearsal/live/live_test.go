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

var program string // path of the node's program

// spinVariable is the environment variable that makes the test program use a core instead of running tests.
const spinVariable = "REHEARSAL_SPINS"

// TestMain builds the node that the tests start.
func TestMain(m *testing.M) {
	if os.Getenv(spinVariable) != "" { // started by a test: uses a core until it is killed, for at most a minute
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
	log.SetOutput(io.Discard) // logs of nodes in virtual time
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

// load parses a script.
func load(t *testing.T, text string) *scenario.Script {
	t.Helper()
	s, err := scenario.Parse("live.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// playLive plays a script and reports breaches of rules. If the machine ran late, the script is played once more, and
// the test is skipped if that run is void too.
func playLive(t *testing.T, s *scenario.Script, opt Options) *record.Run {
	t.Helper()
	r, err := Play(s, opt)
	if err == nil && r.VoidReason != "" {
		t.Log(r.VoidReason)
		r, err = Play(s, opt)
	}
	if err != nil {
		t.Fatal(err)
	}
	if r.VoidReason != "" {
		t.Skip(r.VoidReason)
	}
	for _, b := range rules.Check(r) {
		t.Error(b.Report(r))
	}
	return r
}

// TestSignals plays SIGHUP, SIGKILL, SIGTERM and a host's crash with real processes. Rules must be kept, every node
// must serve again, and the captures of all processes must be readable.
func TestSignals(t *testing.T) {
	dir := t.TempDir()
	r := playLive(t, load(t, script), Options{Program: program, Capture: dir, Logs: filepath.Join(dir, "logs")})
	atEnd := map[int]int{}
	for _, f := range r.Flows {
		if outcome, at := f.Outcome(); outcome == "established" && at > 4_800_000 {
			atEnd[f.Node]++
		}
	}
	if atEnd[0] == 0 || atEnd[1] == 0 {
		t.Errorf("flows established at the end, by node: %v", atEnd)
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.capture"))
	if len(files) != 4 {
		t.Errorf("expected four captures, found %v", files)
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
		t.Errorf("the log does not show that SIGHUP was handled: %v", err)
	}
}

// TestLateMachineVoidsRun blocks the goroutine that plays the fleet. The run must be void, because the delay is not the
// fault of the nodes.
func TestLateMachineVoidsRun(t *testing.T) {
	s := load(t, strings.Replace(script[:strings.Index(script, "[[faults]]")], "6s", "2s", 1))
	r, err := Play(s, Options{Program: program, testHook: func(p *player) {
		p.world.Schedule(1_000_000, func() { time.Sleep(2 * maxDelay * time.Microsecond) })
	}})
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(r.VoidReason, "the machine ran late") {
		t.Errorf("void: %q, late: %s", r.VoidReason, r.LatenessText)
	}
}

// TestStarvedNodesVoidRun takes most of the nodes' time. The run must be void if the machine does so, and valid if the
// script does.
func TestStarvedNodesVoidRun(t *testing.T) {
	text := "[cluster]\non = true\n" + script[strings.Index(script, "[clients]"):strings.Index(script, "[[faults]]")]
	text = script[:strings.Index(script, "[clients]")] + text
	for _, byScript := range []bool{false, true} {
		s := load(t, strings.Replace(text, "6s", "4s", 1))
		if byScript {
			s.Faults = append(s.Faults, scenario.Fault{Kind: "node_starve", Nodes: []string{"n-0", "n-1"}, Size: 0.6, At: 500_000, For: 3_500_000})
		}
		var late *lateCounter
		r, err := Play(s, Options{Program: program, OnSecond: func(_ int64, metrics func(int) map[string]float64) {
			metrics(0)
			metrics(1)
		}, testHook: func(p *player) {
			if late = &p.lateReports; !byScript {
				p.world.Schedule(500_000, func() { p.SetStarvation(0, 0.6); p.SetStarvation(1, 0.6) })
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(r.VoidReason, "ran late") {
			t.Skip(r.VoidReason) // the machine was late besides, which hides the cause under test
		}
		if void := strings.Contains(r.VoidReason, "starved the nodes"); void == byScript || late.share() <= maxLateShare {
			t.Errorf("starved by the script %t: void %q, nodes late in %.2f of their seconds", byScript, r.VoidReason, late.share())
		}
	}
}

// TestCPUWaitVoidsRun checks that a run is void if nodes waited too long for a core, although the fleet's own events are in
// time, and that it is valid if they did not.
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
		if strings.Contains(r.VoidReason, "ran late") {
			t.Skip(r.VoidReason) // the machine was late besides, which hides the cause under test
		}
		if void := strings.Contains(r.VoidReason, "waited for a core"); void != busy {
			t.Errorf("busy %t: void %q, %s", busy, r.VoidReason, r.LatenessText)
		}
	}
}

// TestMeasuresCPUWait checks the measured wait of two programs that never sleep and share a core, so that each waits for it
// half of the time.
func TestMeasuresCPUWait(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("the operating system does not count waits for a core: ", err)
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
	for end := time.Now().Add(10 * time.Second); both[0].cpuWait() < 50*time.Millisecond ||
		both[1].cpuWait() < 50*time.Millisecond; time.Sleep(time.Millisecond) {
		for _, p := range both { // in each iteration: a thread may be created just while the others are set
			threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", p.cmd.Process.Pid))
			for _, thread := range threads {
				id, _ := strconv.Atoi(filepath.Base(thread))
				unix.SchedSetaffinity(id, &one)
			}
		}
		if time.Now().After(end) {
			t.Fatalf("waits of %v and %v measured in ten seconds", both[0].cpuWait(), both[1].cpuWait())
		}
	}
}

// TestRejectsBadOptions checks that a missing program and a fleet with too many listeners are errors.
func TestRejectsBadOptions(t *testing.T) {
	if _, err := Play(load(t, script), Options{Program: "/nowhere/at/all"}); err == nil {
		t.Error("no error for a program that does not exist")
	}
	text := strings.Replace(strings.Replace(script, "count = 3", "count = 900", 1), "count = 2", "count = 900", 1)
	if _, err := Play(load(t, text), Options{Program: program}); err == nil || !strings.Contains(err.Error(), "too many") {
		t.Errorf("error for 810,000 listeners: %v", err)
	}
}

// TestStarvedNode takes most of a node's time by stopping its process repeatedly. The node must not skip healthy hosts.
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
	if a := r.Summarize().Answers; a["established"] < len(r.Flows)-1 {
		t.Errorf("answers %v", a)
	}
}
