package trial

import (
	"bytes"
	"io"
	"log"
	"math"
	"os"
	"strings"
	"testing"

	"coursewinch/rehearsal/baseline"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// plan returns an experiment with six seeds of a small script.
func plan(t *testing.T, workers int, variants ...string) Experiment {
	p := Experiment{Scripts: []string{"small-twin"}, Seeds: 6, FirstSeed: 1, Workers: workers}
	for _, text := range variants {
		v, err := ParseVariant(text)
		if err != nil {
			t.Fatal(err)
		}
		p.Variants = append(p.Variants, v)
	}
	return p
}

// TestResultIndependentOfWorkers checks that one worker and many give the same figures, and that every baseline serves.
func TestResultIndependentOfWorkers(t *testing.T) {
	variants := []string{"module", "few@set:node.max_connects=1"}
	for _, name := range baseline.Names {
		variants = append(variants, "baseline:"+name)
	}
	var texts [2]bytes.Buffer
	for i, workers := range []int{1, 8} {
		results, err := plan(t, workers, variants...).Run()
		if err != nil {
			t.Fatal(err)
		}
		WriteText(&texts[i], results, 6)
		if i > 0 {
			continue
		}
		for _, c := range results {
			if c.Mean["service"] < 0.3 || c.Mean["service"] > 1 {
				t.Errorf("%s: service %.3f", c.Variant, c.Mean["service"])
			}
			for rule, n := range c.Breaches {
				if rule != "no cold host pushed" { // baselines do not spare cold hosts
					t.Errorf("%s broke %q %d times", c.Variant, rule, n)
				}
			}
		}
		var html bytes.Buffer
		if err := WriteHTML(&html, results, 6); err != nil || !strings.Contains(html.String(), "<svg") ||
			strings.Contains(html.String(), "src=") {
			t.Errorf("page without a plot, or with references to other files: %v", err)
		}
	}
	if texts[0].String() != texts[1].String() {
		t.Errorf("results with one worker:\n%s\nwith eight:\n%s", texts[0].String(), texts[1].String())
	}
}

// TestRejectsBadVariants checks that a variant that cannot be parsed, or that changes an unknown key, is an error.
func TestRejectsBadVariants(t *testing.T) {
	for _, bad := range []string{"", "modul", "baseline:best", "build:/nowhere/at/all", "set:"} {
		if _, err := ParseVariant(bad); err == nil {
			t.Errorf("variant %q was accepted", bad)
		}
	}
	if _, err := plan(t, 2, "set:fleet.bufer=1").Run(); err == nil || !strings.Contains(err.Error(), "no such key") {
		t.Errorf("change of an unknown key: %v", err)
	}
}

// TestBootstrap checks the interval of equal values and of values whose deviation is known.
func TestBootstrap(t *testing.T) {
	if i := Bootstrap([]float64{2, 2, 2}); i != (Interval{2, 2, 2}) {
		t.Errorf("%+v", i)
	}
	var values []float64
	for i := range 100 {
		values = append(values, float64(i%10)) // mean 4.5, deviation 2.87: 95 % within 0.56
	}
	i := Bootstrap(values)
	if math.Abs(i.Mean-4.5) > 1e-9 || math.Abs(i.Low-3.94) > 0.1 || math.Abs(i.High-5.06) > 0.1 {
		t.Errorf("%+v", i)
	}
}
