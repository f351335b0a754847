package virtual

import (
	"io"
	"log"
	"os"
	"runtime"
	"testing"

	"coursewinch/report"
	"coursewinch/rules"
	"coursewinch/scenario"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// TestSameTwice plays every shipped script twice, on one core and on all: the answers must not differ in a byte.
func TestSameTwice(t *testing.T) {
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
