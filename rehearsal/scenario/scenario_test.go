package scenario

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validScript = `name = "sound"
length = "10s"
zones = ["a", "b"]
[[hosts]]
count = 2
[[nodes]]
zone = "a"
count = 1
[demand]
rate = 2.0
[[types]]
name = "t"
setup_target = "300ms"
connect_timeout = "1s"
message_target = "60ms"
`

// TestShippedScriptsAreValid checks that every shipped script can be read and has the name of its file.
func TestShippedScriptsAreValid(t *testing.T) {
	names := ShippedNames()
	if len(names) < 8 {
		t.Errorf("%d shipped scripts, want at least 8", len(names))
	}
	for _, name := range names {
		if s, err := Load(name); err != nil {
			t.Error(err)
		} else if s.Name != name || s.About == "" {
			t.Errorf("script %s has the name %q and the description %q", name, s.Name, s.About)
		}
	}
}

// TestErrorsNameFileLineAndKey checks that an error names the file, the line and the key of each problem and what is right
// there.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ change, to, want string }{
		{"rate = 2.0", "rate = -1.0", "s.toml:10: demand.rate: -1 is out of range: 0 to 100000"},
		{"rate = 2.0", "rate = nan", "s.toml:10: demand.rate: NaN is out of range"},
		{"rate = 2.0", "rats = 2.0", "s.toml:10: demand.rats: no such key"},
		{"rate = 2.0", "rate = \"fast\"", "s.toml:10: demand.rate:"},
		{"length = \"10s\"", "length = \"soon\"", `s.toml:2: length: "soon" is not a duration such as "250ms" or "12s"`},
		{"length = \"10s\"", "length = \"1ms\"", "s.toml:2: length: 1ms is out of range: 1s to 1h0m0s"},
		{"zone = \"a\"", "zone = \"c\"", `s.toml:7: nodes.0.zone: "c" is not a zone: one of a, b`},
		{"count = 2", "count = 0", "s.toml:5: hosts.0.count: 0 is out of range"},
		{"connect_timeout = \"1s\"", "connect_timeout = \"100ms\"", "s.toml:14: types.0.connect_timeout: 100ms is out of range: 300ms to"},
		{"name = \"t\"", "name = \"t u\"", "s.toml:12: types.0.name:"},
		{"[[types]]", "[[faults]]\nat = \"1s\"\nkind = \"fire\"\n[[types]]", `s.toml:13: faults.0.kind: "fire" is unknown: one of breaks, crash`},
		{"[[types]]", "[[faults]]\nat = \"1s\"\nkind = \"crash\"\nhosts = [\"h-7\"]\n[[types]]", `s.toml:14: faults.0.hosts: "h-7" is not one of h-0 to h-1`},
		{"[[types]]", "[[faults]]\nat = \"99s\"\nkind = \"slow\"\ncount = 1\nfor = \"1s\"\n[[types]]", "s.toml:12: faults.0.at: 1m39s is out of range"},
		{"[[types]]", "[[faults]]\nat = \"1s\"\nkind = \"slow\"\ncount = 1\nfor = \"1s\"\n[[types]]", "s.toml:11: faults.0.size: 0 is out of range: factor of the slowdown"},
		{"[[types]]", "[[demand.bad]]\nat = \"1s\"\nrate = 1.0\nkind = \"rude\"\n[[types]]", `demand.bad.0.kind: "rude" is unknown`},
		{"rate = 2.0", "flows = \"nowhere.flows\"", "demand.flows: open"},
		{"name = \"sound\"", "name = \"sound", "s.toml:1:"},
	} {
		_, err := Parse("s.toml", []byte(strings.Replace(validScript, c.change, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got error %v, want %q", c.to, err, c.want)
		}
	}
	bad := strings.NewReplacer("rate = 2.0", "rate = -1.0", "count = 2", "count = 0").Replace(validScript)
	if _, err := Parse("s.toml", []byte(bad)); err == nil || strings.Count(err.Error(), "\n") < 1 {
		t.Errorf("the error does not name both problems: %v", err)
	}
}

// TestOverrides checks that overrides change a script, and that wrong ones are refused.
func TestOverrides(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(validScript), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := LoadWithOverrides(path, []string{`types.0.benefit=3.5`, `fleet.buffer="2s"`})
	if err != nil || s.Types[0].Benefit != 3.5 || s.Fleet.Buffer != 2*second {
		t.Errorf("error %v, script %+v: the overrides are not applied", err, s)
	}
	for _, bad := range []string{"types.7.benefit=1", "fleet.bufer=1", "rate", "demand.rate=fast"} {
		if _, err := LoadWithOverrides(path, []string{bad}); err == nil {
			t.Errorf("override %q was accepted", bad)
		}
	}
}

// TestFlowsRoundTrip checks that a written file of flows is read back unchanged, and that errors in one name its line.
func TestFlowsRoundTrip(t *testing.T) {
	dir := t.TempDir()
	s, err := Parse(filepath.Join(dir, "s.toml"), []byte(validScript))
	if err != nil {
		t.Fatal(err)
	}
	all := []RecordedClient{{At: 5, Zone: 1, Key: "k", Loads: []LoadStep{{0, 1.5}, {70, 2}}, Life: 9}, {At: 6, Group: "g1", Key: "l",
		Loads: []LoadStep{{0, 1}}, Life: 8}}
	var b bytes.Buffer
	if err := WriteFlows(&b, s, all); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(validScript, "rate = 2.0", "flows = \"x.flows\"", 1)
	write := func(flows string) (*Script, error) {
		if err := os.WriteFile(filepath.Join(dir, "x.flows"), []byte(flows), 0o600); err != nil {
			t.Fatal(err)
		}
		return Parse(filepath.Join(dir, "s.toml"), []byte(text))
	}
	got, err := write(b.String())
	if err != nil || len(got.RecordedClients) != 2 || got.RecordedClients[0].Loads[1] != all[0].Loads[1] ||
		got.RecordedClients[1].Group != "g1" {
		t.Fatalf("error %v, script %+v: the flows are not those written", err, got)
	}
	for _, bad := range []string{"1 t a - k 1", "x t a - k 1 1", "1 u a - k 1 1", "1 t z - k 1 1", "1 t a - k 0 1",
		"1 t a - k 1,5:2,3:1 1", "1 t a - k 1 -5"} {
		if _, err := write("# head\n" + bad + "\n"); err == nil || !strings.Contains(err.Error(), "x.flows:2:") {
			t.Errorf("line %q: got error %v, want one with file and line", bad, err)
		}
	}
}

// FuzzParse checks that Parse returns a script or an error for any text, without a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validScript))
	f.Add([]byte("[[faults]]\nat=\"1s\"\n[[a.b]]\n[a.b.c]\nd=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse("f.toml", text); err == nil && s == nil {
			t.Error("Parse returned neither a script nor an error")
		}
	})
}
