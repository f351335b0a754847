package drawn

import (
	"cmp"
	"flag"
	"slices"

	"pgregory.net/rapid"
)

// Failer is a test, or one run of many.
type Failer interface {
	Fatalf(format string, args ...any)
}

// Same makes rapid draw the same in each run of a test, where -rapid.seed says nothing else.
func Same() {
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		seed.Value.Set("1")
	}
}

// Draw draws a plan of up to eight faults within so many microseconds on a fleet of three to seven. What fails is shrunk
// by rapid to the fewest faults that still do, and kept under testdata.
func Draw(t *rapid.T, within int64) Plan {
	plan := Plan{Nodes: rapid.IntRange(3, 7).Draw(t, "nodes"), Seed: rapid.Int64().Draw(t, "seed"), Key: rapid.Uint64().Draw(t, "key")}
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		plan.Faults = append(plan.Faults, Fault{At: rapid.Int64Range(0, within/StepDuration).Draw(t, "at") * StepDuration, Kind: Kind(rapid.IntRange(0, int(KindCount)-1).Draw(t, "kind")),
			Node: rapid.IntRange(0, 6).Draw(t, "node"), Size: float64(rapid.IntRange(0, 100).Draw(t, "size")) / 100})
	}
	slices.SortStableFunc(plan.Faults, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return plan
}
