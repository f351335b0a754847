// Package trial runs experiments. It plays scripts over many seeds with several builds, settings or baselines, compares
// them seed by seed, and computes how much they differ, with confidence intervals.
package trial

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"gonum.org/v1/gonum/stat"

	"coursewinch/rehearsal/baseline"
	"coursewinch/rehearsal/report"
	"coursewinch/rehearsal/rules"
	"coursewinch/rehearsal/scenario"
	"coursewinch/rehearsal/virtual"
)

// Variant is one of the alternatives that an experiment compares.
type Variant struct {
	Name     string
	Baseline string   // name of a baseline that replaces the balancer
	Program  string   // another build of the command rehearse
	Changes  []string // of the script, KEY=VALUE
}

// ParseVariant parses module, baseline:NAME, build:PROGRAM or set:KEY=VALUE[;KEY=VALUE], with an optional name and @ in
// front.
func ParseVariant(text string) (Variant, error) {
	v := Variant{Name: text}
	if name, rest, ok := strings.Cut(text, "@"); ok && name != "" && !strings.ContainsAny(name, ":=/") {
		v.Name, text = name, rest
	}
	kind, rest, _ := strings.Cut(text, ":")
	switch {
	case text == "module":
	case kind == "baseline":
		if _, err := baseline.New(rest); err != nil {
			return v, err
		}
		v.Baseline = rest
	case kind == "build":
		if _, err := os.Stat(rest); err != nil {
			return v, err
		}
		v.Program = rest
	case kind == "set" && rest != "":
		v.Changes = strings.Split(rest, ";")
	default:
		return v, fmt.Errorf("variant %q: module, baseline:NAME, build:PROGRAM or set:KEY=VALUE", text)
	}
	return v, nil
}

// play plays a script once and returns the summary of the run.
func (v Variant) play(script string, seed uint64) (report.Summary, error) {
	if v.Program != "" {
		return v.playBuild(script, seed)
	}
	s, err := scenario.LoadWithOverrides(script, v.Changes)
	if err != nil {
		return report.Summary{}, err
	}
	opt := virtual.Options{Seed: seed}
	if v.Baseline != "" {
		if opt.NewDecider, err = baseline.New(v.Baseline); err != nil {
			return report.Summary{}, err
		}
	}
	r, err := virtual.Play(s, opt)
	if err != nil {
		return report.Summary{}, err
	}
	return report.Summarize(r, rules.Check(r)), nil
}

// playBuild plays a script with another build of the command. A run with breaches (exit code 2) has figures too.
func (v Variant) playBuild(script string, seed uint64) (sum report.Summary, err error) {
	c := exec.Command(v.Program, "play", script, "--json", "--seed", strconv.FormatUint(seed, 10))
	var out, errOut bytes.Buffer
	c.Stdout, c.Stderr = &out, &errOut
	runErr := c.Run()
	if err := json.Unmarshal(out.Bytes(), &sum); err != nil {
		return sum, fmt.Errorf("%s: %w: %s", v.Program, errors.Join(runErr, err), strings.TrimSpace(errOut.String()))
	}
	return sum, nil
}

// Experiment plays each script with each variant and seed. The other variants are compared with the first one.
type Experiment struct {
	Scripts   []string
	Variants  []Variant
	Seeds     int
	FirstSeed uint64 // the others follow it
	Workers   int    // runs at the same time; 0 for one a core
	Progress  func(done, all int)
}

// Result holds the runs of a variant on a script, over all seeds.
type Result struct {
	Script   string                  `json:"script"`
	Variant  string                  `json:"variant"`
	Runs     []report.Summary        `json:"-"`
	Mean     map[string]float64      `json:"mean"`
	Diff     map[string]Interval     `json:"diff,omitempty"` // from the first variant, by seed
	Breaches map[string]int          `json:"breaches"`
	Setup    map[string]report.Setup `json:"setup"` // means over the seeds
}

// Interval is a mean difference with its 95 % confidence interval, by bootstrap over the seeds.
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// MetricNames are the names of the compared figures, in order.
var MetricNames = []string{"service", "worst_10s", "worst_type", "connects", "crossings", "moves", "breaks", "rejected"}

// metricValues returns the figures of a run by their names.
func metricValues(s report.Summary) map[string]float64 {
	n := float64(max(s.Flows, 1))
	return map[string]float64{"service": s.Service, "worst_10s": s.Worst10, "worst_type": s.WorstType, "connects": s.Connects,
		"crossings": s.Crossings, "moves": s.Moves, "breaks": float64(s.Breaks) / n,
		"rejected": float64(s.Answers["rejected"]+s.Answers["aborted"]) / n}
}

// Run plays the experiment with several workers. The result does not depend on their number. It fails with the first
// error of a run.
func (e Experiment) Run() ([]Result, error) {
	results := make([]Result, 0, len(e.Scripts)*len(e.Variants))
	for _, s := range e.Scripts {
		for _, v := range e.Variants {
			results = append(results, Result{Script: s, Variant: v.Name, Runs: make([]report.Summary, e.Seeds)})
		}
	}
	workers := e.Workers
	if workers == 0 {
		workers = runtime.NumCPU()
	}
	type job struct{ result, seed int }
	jobs := make(chan job)
	var mu sync.Mutex // guards results, firstErr and done
	var firstErr error
	var wg sync.WaitGroup
	done := 0
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range jobs {
				sum, err := e.Variants[j.result%len(e.Variants)].play(results[j.result].Script, e.FirstSeed+uint64(j.seed))
				mu.Lock()
				results[j.result].Runs[j.seed] = sum
				if firstErr == nil && err != nil {
					firstErr = fmt.Errorf("%s on %s: %w", results[j.result].Variant, results[j.result].Script, err)
				}
				done++
				if e.Progress != nil {
					e.Progress(done, len(results)*e.Seeds)
				}
				mu.Unlock()
			}
		}()
	}
	for seed := range e.Seeds { // seed by seed, so that a variant that fails does so early
		for index := range results {
			mu.Lock()
			stop := firstErr != nil
			mu.Unlock()
			if !stop {
				jobs <- job{index, seed}
			}
		}
	}
	close(jobs)
	wg.Wait()
	if firstErr != nil {
		return nil, firstErr
	}
	for i := range results {
		results[i].sum(&results[i-i%len(e.Variants)])
	}
	return results, nil
}

// sum computes the means of a result and its differences from the first variant on the same script.
func (r *Result) sum(first *Result) {
	r.Mean, r.Breaches, r.Setup = map[string]float64{}, map[string]int{}, map[string]report.Setup{}
	n := float64(len(r.Runs))
	for _, run := range r.Runs {
		for rule, count := range run.Breaches {
			r.Breaches[rule] += count
		}
		for name, u := range run.Setup {
			m := r.Setup[name]
			r.Setup[name] = report.Setup{P50: m.P50 + u.P50/n, P99: m.P99 + u.P99/n, Target: u.Target, Late: m.Late + u.Late/n}
		}
	}
	if r != first {
		r.Diff = map[string]Interval{}
	}
	for _, name := range MetricNames {
		var values, diffs []float64
		for i, run := range r.Runs {
			v := metricValues(run)[name]
			values = append(values, v)
			diffs = append(diffs, v-metricValues(first.Runs[i])[name])
		}
		r.Mean[name] = stat.Mean(values, nil)
		if r != first {
			r.Diff[name] = Bootstrap(diffs)
		}
	}
}

const bootstrapResamples = 2000

// Bootstrap returns the mean of values and its 95 % confidence interval. Its random source has a fixed seed, so that
// the same values give the same interval.
func Bootstrap(values []float64) Interval {
	rng := rand.New(rand.NewPCG(1, uint64(len(values))))
	means := make([]float64, bootstrapResamples)
	resample := make([]float64, len(values))
	for i := range means {
		for j := range resample {
			resample[j] = values[rng.IntN(len(values))]
		}
		means[i] = stat.Mean(resample, nil)
	}
	slices.Sort(means)
	return Interval{stat.Mean(values, nil), stat.Quantile(0.025, stat.Empirical, means, nil),
		stat.Quantile(0.975, stat.Empirical, means, nil)}
}
