package trial

import (
	"fmt"
	"io"
	"slices"
)

// WriteText writes the results of an experiment for people, as one table for each script.
func WriteText(w io.Writer, results []Result, seeds int) {
	width := 8 // of the first column
	for _, r := range results {
		width = max(width, len(r.Variant))
	}
	script := ""
	for _, r := range results {
		if r.Script != script {
			script = r.Script
			fmt.Fprintf(w, "\n%s, %d seeds\n  %-*s %8s %26s %9s %9s %9s %9s %7s %7s %8s  %s\n", script, seeds, width, "",
				"service", "difference (95 %)", "worst10s", "wrst type", "connects", "crossings", "moves", "breaks", "rejected", "rules broken")
		}
		diff := ""
		if d, ok := r.Diff["service"]; ok {
			diff = fmt.Sprintf("%+.3f (%+.3f to %+.3f)", d.Mean, d.Low, d.High)
		}
		fmt.Fprintf(w, "  %-*s %8.3f %26s %9.3f %9.3f %9.2f %9.2f %7.3f %7.3f %8.3f  %s\n", width, r.Variant, r.Mean["service"],
			diff, r.Mean["worst_10s"], r.Mean["worst_type"], r.Mean["connects"], r.Mean["crossings"], r.Mean["moves"],
			r.Mean["breaks"], r.Mean["rejected"], breachSummary(r))
	}
}

// breachSummary returns the broken rules of a result, each with the number of its breaches.
func breachSummary(r Result) string {
	var broken []string
	for rule := range r.Breaches {
		broken = append(broken, rule)
	}
	slices.Sort(broken)
	text := ""
	for i, rule := range broken {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", rule, r.Breaches[rule])
	}
	return text
}
