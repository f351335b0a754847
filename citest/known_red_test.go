// Package citest tests the scripts that CI runs.
package citest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The list of tests that are known to fail must not grow beyond three lines, and each line has to name an existing test
// with a cause and an issue. Otherwise the script has to fail with a message.
func TestKnownRedIsReadStrictly(t *testing.T) {
	const good = "citest.TestKnownRedIsReadStrictly: a cause, with its figures (45)\n"
	for text, want := range map[string]string{
		"":                                 "",
		good:                               "citest TestKnownRedIsReadStrictly\n",
		strings.TrimSpace(good):            "citest TestKnownRedIsReadStrictly\n",
		strings.Repeat(good, 3):            strings.Repeat("citest TestKnownRedIsReadStrictly\n", 3),
		strings.Repeat(good, 4):            "fails",
		good + "\n":                        "fails",
		"citest.TestOther: a cause (45)\n": "fails",
		"other.TestKnownRedIsReadStrictly: a cause (45)\n":            "fails",
		"TestKnownRedIsReadStrictly: a cause (45)\n":                  "fails",
		"citest.TestKnownRedIsReadStrictly: a cause\n":                "fails",
		"citest.TestKnownRedIsReadStrictly: (45)\n":                   "fails",
		"citest.TestKnownRedIsReadStrictly:  (45)\n":                  "fails",
		"citest.TestKnownRedIsReadStrictly (45)\n":                    "fails",
		"citest.TestKnownRed: a cause (45)\n":                         "fails",
		"citest.TestKnownRedIsReadStrictly|TestOther: a cause (45)\n": "fails",
	} {
		list := filepath.Join(t.TempDir(), "list")
		if err := os.WriteFile(list, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var stderr strings.Builder
		c := exec.Command("../known-red.sh", list, "..")
		c.Stderr = &stderr
		out, err := c.Output()
		if got := string(out); want == "fails" && (err == nil || !strings.Contains(stderr.String(), "\n")) ||
			want != "fails" && (err != nil || got != want) {
			t.Errorf("%q: got %q, %v, error output %q", text, got, err, stderr.String())
		}
	}
	if out, err := exec.Command("../known-red.sh", "no such list", "..").Output(); err != nil || len(out) > 0 {
		t.Error("without a list:", string(out), err)
	}
}
