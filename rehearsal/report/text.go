// Package report writes the results of a rehearsal as text, JSON or an HTML page.
package report

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/rules"
)

// Summary is the summary of a run, under the JSON names that programs read.
type Summary struct {
	Script    string             `json:"script"`
	Seed      uint64             `json:"seed"`
	Service   float64            `json:"service"`
	Worst10   float64            `json:"worst_10s"`
	WorstType float64            `json:"worst_type"`
	ByType    map[string]float64 `json:"service_by_type"`
	Flows     int                `json:"flows"`
	Answers   map[string]int     `json:"answers"`
	Connects  float64            `json:"connects_per_flow"`
	Probes    float64            `json:"probes_per_flow"`
	Crossings float64            `json:"crossings_per_flow"`
	Moves     float64            `json:"moves_per_flow"`
	Breaks    int                `json:"breaks"`
	Setup     map[string]Setup   `json:"setup"`
	Breaches  map[string]int     `json:"breaches"`
	Hash      string             `json:"answers_sha256"`
	Events    uint64             `json:"events"`
	NodeCPU   float64            `json:"node_cpu_s,omitempty"`
	Void      string             `json:"void,omitempty"`
}

// Setup holds how long the set-ups of a service type took, beside its target, in milliseconds.
type Setup struct {
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
	Target float64 `json:"target_ms"`
	Late   float64 `json:"late_share"` // share of the set-ups over the target
}

// Summarize returns the summary of a run with the given breaches.
func Summarize(r *record.Run, breaches []rules.Breach) Summary {
	f := r.Summarize()
	s := Summary{Script: r.Script, Seed: r.Seed, Service: f.Service, Worst10: f.Worst10, WorstType: f.WorstType,
		ByType: map[string]float64{}, Flows: len(r.Flows), Answers: f.Answers, Connects: f.ConnectsPerFlow, Probes: f.ProbesPerFlow,
		Crossings: f.CrossingsPerFlow, Moves: f.MovesPerFlow, Breaks: r.Counts.Disconnects, Setup: map[string]Setup{},
		Breaches: map[string]int{}, Hash: AnswersHash(r), Events: r.Counts.Events, Void: r.VoidReason}
	for i, t := range r.Types {
		s.ByType[t.Name] = f.ByType[i]
		s.Setup[t.Name] = Setup{float64(record.Quantile(f.SetupTimes[i], 0.5)) / 1000,
			float64(record.Quantile(f.SetupTimes[i], 0.99)) / 1000, float64(t.SetupTarget) / 1000, f.LateShare[i]}
	}
	for _, cpu := range r.NodeCPU {
		s.NodeCPU += cpu
	}
	for _, b := range breaches {
		s.Breaches[string(b.Rule)]++
	}
	return s
}

// AnswersHash returns the SHA-256 of the final answers, in hexadecimal.
func AnswersHash(r *record.Run) string {
	h := sha256.New()
	r.WriteAnswers(h)
	return hex.EncodeToString(h.Sum(nil))
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// outcomeOrder holds the outcomes of flows in the order of reports.
var outcomeOrder = []string{"established", "rejected", "aborted", "unreached", "killed", "left", "cut", "none"}

// WriteText writes a run for people: its service, where flows were established, and the breaches of rules.
func WriteText(w io.Writer, r *record.Run, breaches []rules.Breach) {
	s := Summarize(r, breaches)
	writeSummary(w, r, s)
	writePlacement(w, r)
	writeRejections(w, r)
	writeBreaches(w, r, breaches)
}

// writeSummary writes the figures of a run and of each service type.
func writeSummary(w io.Writer, r *record.Run, s Summary) {
	fmt.Fprintf(w, "%s, seed %d: %d flows in %.0f s\n", s.Script, s.Seed, s.Flows, float64(r.Length)/1e6)
	if s.Void != "" {
		fmt.Fprintf(w, "VOID: %s\n", s.Void)
	}
	fmt.Fprintf(w, "  service %.3f, worst 10 s %.3f, worst type %.3f\n ", s.Service, s.Worst10, s.WorstType)
	for _, outcome := range outcomeOrder {
		if n := s.Answers[outcome]; n > 0 {
			fmt.Fprintf(w, " %s %d", outcome, n)
		}
	}
	fmt.Fprintf(w, "\n  a flow: %.2f connects, %.2f probes, %.2f crossings, %.3f moves; %d breaks\n", s.Connects, s.Probes,
		s.Crossings, s.Moves, s.Breaks)
	if r.LatenessText != "" {
		fmt.Fprintf(w, "  %s\n", r.LatenessText)
	}
	if s.NodeCPU > 0 {
		fmt.Fprintf(w, "  nodes' CPU %.2f s, %.0f us a flow\n", s.NodeCPU, s.NodeCPU*1e6/float64(max(s.Flows, 1)))
	}
	fmt.Fprintf(w, "\n  %-16s %8s %10s %10s %10s %8s\n", "service type", "service", "setup p50", "p99", "target", "late")
	for _, t := range r.Types {
		u := s.Setup[t.Name]
		fmt.Fprintf(w, "  %-16s %8.3f %7.1f ms %7.1f ms %7.0f ms %7.1f%%\n", t.Name, s.ByType[t.Name], u.P50, u.P99, u.Target,
			u.Late*100)
	}
}

// writeBreaches writes the breaches of rules, of each rule only the first ones in full.
func writeBreaches(w io.Writer, r *record.Run, breaches []rules.Breach) {
	if len(breaches) == 0 {
		fmt.Fprintf(w, "\n  rules: all kept\n")
	}
	count := map[rules.Rule]int{}
	for _, b := range breaches {
		if count[b.Rule]++; count[b.Rule] <= maxReportsPerRule {
			fmt.Fprintf(w, "\n%s", b.Report(r))
		}
	}
	for _, rule := range rules.All {
		if n := count[rule]; n > maxReportsPerRule {
			fmt.Fprintf(w, "and %d more of: %s\n", n-maxReportsPerRule, rule)
		}
	}
}

const (
	maxListedNodes    = 12 // tables by node are left out for more nodes
	maxReportsPerRule = 3  // breaches of a rule that are written in full
)

// writeRejections writes how many flows of each service type each node had and rejected, unless none was rejected, and what
// the nodes sent each other.
func writeRejections(w io.Writer, r *record.Run) {
	type cell struct{ flows, rejected int }
	var cells [][]cell
	anyRejected := false
	for _, f := range r.Flows {
		for len(cells) <= f.Node {
			cells = append(cells, make([]cell, len(r.Types)))
		}
		outcome, _ := f.Outcome()
		c := &cells[f.Node][f.ServiceType]
		c.flows++
		if outcome == "rejected" {
			c.rejected++
			anyRejected = true
		}
	}
	if !anyRejected || len(cells) > maxListedNodes {
		return
	}
	fmt.Fprintf(w, "\n  %-10s", "rejected")
	for _, t := range r.Types {
		fmt.Fprintf(w, " %24s", t.Name)
	}
	fmt.Fprintln(w)
	for n, row := range cells {
		fmt.Fprintf(w, "  %-11s", fmt.Sprintf("n-%d", n))
		for _, c := range row {
			fmt.Fprintf(w, " %10d of %5d %4.0f%%", c.rejected, c.flows,
				100*float64(c.rejected)/float64(max(c.flows, 1)))
		}
		fmt.Fprintln(w)
	}
	if d := r.Counts.Datagrams; d > 0 {
		seconds := float64(r.Length) / 1e6 * float64(len(cells))
		fmt.Fprintf(w, "  between nodes: %.0f datagrams and %.0f bytes a second and node\n", float64(d)/seconds,
			float64(r.Counts.DatagramBytes)/seconds)
	}
}

// writePlacement writes the connects to cold hosts, how many flows each node established at each host, and the peak load
// of each host.
func writePlacement(w io.Writer, r *record.Run) {
	nodes := 0
	for _, f := range r.Flows {
		nodes = max(nodes, f.Node+1)
	}
	if nodes == 0 || nodes > maxListedNodes {
		return
	}
	writeColdHosts(w, r)
	fmt.Fprintf(w, "\n  %-10s", "host")
	for n := range nodes {
		fmt.Fprintf(w, " %6s", fmt.Sprintf("n-%d", n))
	}
	fmt.Fprintf(w, " %12s\n", "peak load")
	for h, host := range r.Hosts {
		fmt.Fprintf(w, "  %-10s", host.Name)
		for n := range nodes {
			count := 0
			for _, f := range r.Flows {
				if f.Node == n && f.Host == h {
					count++
				}
			}
			fmt.Fprintf(w, " %6d", count)
		}
		peak := 0.0
		if len(host.Load) > 0 {
			peak = slices.Max(host.Load)
		}
		fmt.Fprintf(w, " %11.0f%% %s\n", peak*100, strings.Repeat("#", min(int(peak*20+0.5), 40)))
	}
}

// writeColdHosts writes how many connects cold hosts got, if any host came back.
func writeColdHosts(w io.Writer, r *record.Run) {
	if sent, allowed, worst := r.ColdTotals(); allowed > 0 {
		fmt.Fprintf(w, "\n  cold hosts were sent %d connects, %.0f%% of what the rule allows; the worst stretch had %.2f of what pushes one over\n",
			sent, 100*float64(sent)/allowed, worst)
	}
}
