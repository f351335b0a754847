package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"coursewinch/rehearsal/report"
)

// TestMain runs the program under test, which is this test binary started with REHEARSE_MAIN=1 in its environment.
func TestMain(m *testing.M) {
	if os.Getenv("REHEARSE_MAIN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// runRehearse runs the program in a folder and returns its output and exit code.
func runRehearse(t *testing.T, dir string, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "REHEARSE_MAIN=1")
	c.Dir = dir
	var o, e bytes.Buffer
	c.Stdout, c.Stderr = &o, &e
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return o.String(), e.String(), c.ProcessState.ExitCode()
}

// Each command prints what it is documented to print, ends with its exit code and does not panic.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	os.WriteFile(bad, []byte("name = \"x\"\nlenght = \"9s\"\n"), 0o600)
	for _, c := range []struct {
		args []string
		code int
		want string // in its output or error output
	}{
		{[]string{"play", "calm-evening"}, 0, "rules: all kept"},
		{[]string{"play", "zone-cut", "--seed", "3", "--html", "z.html", "--answers", "z.txt", "--logs", "z.log"}, 0, "seed 3"},
		{[]string{"play", bad}, 1, "bad.toml:2: lenght: no such key"},
		{[]string{"play", "nowhere.toml"}, 1, "shipped scripts: all-hosts-die"},
		{[]string{"play"}, 1, "accepts 1 arg"},
		{[]string{"check", bad, "calm-evening"}, 1, "calm-evening: sound"},
		{[]string{"scripts"}, 0, "full-size"},
		{[]string{"report", "small-twin", "--to", "r.html"}, 0, "written: r.html"},
		{[]string{"replay", bad, "--fleet", "busy-evening"}, 1, "no capture: its first record"},
		{[]string{"live", "calm-evening", "--node", "/nowhere/at/all"}, 1, "the node's program"},
		{[]string{"experiment", "small-twin", "--seeds", "0"}, 1, "at least one"},
		{[]string{"experiment", "small-twin", "--variant", "worst"}, 1, "baseline:NAME"},
		{[]string{"experiment", "small-twin", "--seeds", "2", "--quiet", "--variant", "module", "--variant", "self@build:" +
			os.Args[0], "--html", "e.html"}, 0, "+0.000 (+0.000 to +0.000)"},
	} {
		out, complaint, code := runRehearse(t, dir, c.args...)
		if code != c.code || !strings.Contains(out+complaint, c.want) || strings.Contains(complaint, "panic") {
			t.Errorf("%v: exit code %d, not %d, or no %q:\n%s%s", c.args, code, c.code, c.want, out, complaint)
		}
	}
	for _, name := range []string{"z.html", "r.html", "e.html"} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || !bytes.Contains(text, []byte("<svg")) || bytes.Contains(text, []byte("http-equiv")) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if text, _ := os.ReadFile(filepath.Join(dir, "z.txt")); bytes.Count(text, []byte("\n")) < 50 {
		t.Errorf("answers:\n%s", text)
	}
	if text, _ := os.ReadFile(filepath.Join(dir, "z.log")); !bytes.Contains(text, []byte("msg=watching")) {
		t.Errorf("log:\n%.200s", text)
	}
}

// Clients are too far away for an answer within their time, so a rule is broken: the exit code is 2, and the events of the
// flow are printed.
func TestBrokenRule(t *testing.T) {
	dir := t.TempDir()
	script := filepath.Join(dir, "s.toml")
	os.WriteFile(script, []byte(`name = "push"
length = "8s"
[network]
client = "290ms"
[[hosts]]
count = 1
[[nodes]]
count = 1
[demand]
rate = 5.0
life = "2s"
[[types]]
name = "t"
setup_target = "300ms"
connect_timeout = "500ms"
message_target = "60ms"
`), 0o600)
	out, complaint, code := runRehearse(t, dir, "play", script, "--json")
	var sum report.Summary
	if err := json.Unmarshal([]byte(out), &sum); err != nil {
		t.Fatalf("%v: %s%s", err, out, complaint)
	}
	if sum.Breaches["one final answer"] == 0 || code != exitBroken {
		t.Errorf("breaches %v, exit code %d", sum.Breaches, code)
	}
	if out, _, _ = runRehearse(t, dir, "play", script); !strings.Contains(out, "broken: one final answer: no answer in 500 ms\nflow ") {
		t.Errorf("the flow's events are not printed:\n%s", out)
	}
}
