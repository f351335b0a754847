package trial

import (
	"fmt"
	"io"
	"slices"
)

// WriteText writes the results of an experiment for people, as one table for each script.
func WriteText(w io.Writer, results []Result, seeds int) {
	width := 8 // of the first column
	for _, c := range results {
		width = max(width, len(c.Variant))
	}
	script := ""
	for _, c := range results {
		if c.Script != script {
			script = c.Script
			fmt.Fprintf(w, "\n%s, %d seeds\n  %-*s %8s %26s %9s %9s %9s %9s %7s %7s %8s  %s\n", script, seeds, width, "",
				"service", "difference (95 %)", "worst10s", "wrst type", "connects", "crossings", "moves", "breaks", "rejected", "rules broken")
		}
		diff := ""
		if d, ok := c.Diff["service"]; ok {
			diff = fmt.Sprintf("%+.3f (%+.3f to %+.3f)", d.Mean, d.Low, d.High)
		}
		fmt.Fprintf(w, "  %-*s %8.3f %26s %9.3f %9.3f %9.2f %9.2f %7.3f %7.3f %8.3f  %s\n", width, c.Variant, c.Mean["service"],
			diff, c.Mean["worst_10s"], c.Mean["worst_type"], c.Mean["connects"], c.Mean["crossings"], c.Mean["moves"],
			c.Mean["breaks"], c.Mean["rejected"], breachSummary(c))
	}
}

// breachSummary returns the broken rules of a result, each with the number of its breaches.
func breachSummary(c Result) string {
	var broken []string
	for rule := range c.Breaches {
		broken = append(broken, rule)
	}
	slices.Sort(broken)
	text := ""
	for i, rule := range broken {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", rule, c.Breaches[rule])
	}
	return text
}
