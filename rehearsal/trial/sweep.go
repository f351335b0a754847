package trial

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"

	"coursewinch/rehearsal/fleet"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/rules"
	"coursewinch/rehearsal/scenario"
	"coursewinch/rehearsal/virtual"
)

// Sweep plays a script at several multiples of its demand and sizes of the fleet of nodes, the same hosts throughout.
type Sweep struct {
	Script  string
	Changes []string  // of the script, KEY=VALUE
	Times   []float64 // of the script's rate
	Nodes   []int     // a zone
	Seeds   int
	Workers int // 0: one a core
}

// SweepResult is what a fleet did at one size and multiple: each figure is the median over the seeds, but for Spread, which is of
// all seeds together, and Broken.
type SweepResult struct {
	Nodes                int     `json:"nodes"`
	DemandFactor         float64 `json:"times"`
	Goodput              float64 `json:"goodput"` // benefit served, in units of what the script's own rate asks for
	BestGoodput          float64 `json:"best"`    // the same, of the best split that full knowledge could make
	Worst10              float64 `json:"worst_10s"`
	Rejected             float64 `json:"rejected"` // share of answers
	RejectionSpread      float64 `json:"spread"`   // of the share rejected of one service type between nodes, p90 less p10, beyond chance
	EstablishedPerSecond float64 `json:"established_per_s"`
	ConnectsPerFlow      float64 `json:"connects_per_flow"`
	ProbesPerSecond      float64 `json:"probes_per_s"`
	MeanHostLoad         float64 `json:"hosts_busy"` // hosts' load over what they can do: mean of the last half
	MaxHostLoad          float64 `json:"hosts_top"`  // of the fullest host: mean of the last half
	rejectionVariances   []float64
	Breaches             int `json:"broken"` // rules, over all seeds
}

// Run plays the sweep, in parallel over cores. The result does not depend on how many.
func (p Sweep) Run() ([]SweepResult, error) {
	type job struct{ cell, seed int }
	var all []SweepResult
	for _, n := range p.Nodes {
		for _, t := range p.Times {
			all = append(all, SweepResult{Nodes: n, DemandFactor: t})
		}
	}
	runs := make([][]SweepResult, len(all))
	for i := range runs {
		runs[i] = make([]SweepResult, p.Seeds)
	}
	jobs, errs := make(chan job), make([]error, len(all)*p.Seeds)
	var wait sync.WaitGroup
	workers := p.Workers
	if workers == 0 {
		workers = runtime.NumCPU()
	}
	for range workers {
		wait.Go(func() {
			for j := range jobs {
				errs[j.cell*p.Seeds+j.seed] = p.play(&runs[j.cell][j.seed], all[j.cell], uint64(j.seed+1))
			}
		})
	}
	for c := range all {
		for s := range p.Seeds {
			jobs <- job{c, s}
		}
	}
	close(jobs)
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	for i := range all {
		all[i] = medianResult(all[i], runs[i])
	}
	return all, nil
}

func (p Sweep) play(to *SweepResult, at SweepResult, seed uint64) error {
	s, err := scenario.LoadWith(p.Script, p.Changes)
	if err != nil {
		return err
	}
	s.Demand.Rate *= at.DemandFactor
	for i := range s.Nodes {
		s.Nodes[i].Count = at.Nodes
	}
	r, err := virtual.Play(s, virtual.Options{Seed: seed})
	if err != nil {
		return err
	}
	*to = measure(s, r, at.DemandFactor)
	to.Nodes = at.Nodes * len(s.Nodes)
	return nil
}

// measure sums up a run at so many times the usual demand.
func measure(s *scenario.Script, r *record.Run, times float64) (l SweepResult) {
	f, unit := r.Sum(), 0.0
	for _, sec := range r.Seconds {
		wanted := make([]float64, len(s.Types))
		for t, k := range s.Types {
			wanted[t] = sec.Wanted[t] / k.Benefit
			unit += sec.Wanted[t] / times
			l.Goodput += sec.Served[t]
		}
		l.BestGoodput += fleet.Best(s, wanted)
	}
	unit = max(unit, 1e-9)
	l.DemandFactor, l.Goodput, l.BestGoodput, l.Worst10 = times, l.Goodput/unit, l.BestGoodput/unit, f.Worst10
	answers := 0
	for _, v := range f.Answers {
		answers += v
	}
	seconds := float64(r.Length) / 1e6
	l.Rejected = float64(f.Answers["rejected"]+f.Answers["aborted"]) / float64(max(answers, 1))
	l.EstablishedPerSecond, l.ConnectsPerFlow, l.ProbesPerSecond = float64(f.Answers["established"])/seconds, f.PerFlow, float64(r.Counts.Probes)/seconds
	l.rejectionVariances = rejectionVariances(r)
	for _, h := range r.Hosts {
		sum, n := 0.0, 0.0
		for _, v := range h.Load[len(h.Load)/2:] {
			sum, n = sum+v, n+1
		}
		l.MeanHostLoad += sum / max(n, 1) / float64(len(r.Hosts))
		l.MaxHostLoad = max(l.MaxHostLoad, sum/max(n, 1))
	}
	l.Breaches = len(rules.Check(r))
	return l
}

// leastAnswers of a node and type: fewer say nothing of the share that it rejects.
const deviationsP10ToP90 = 2.56 // standard deviations

const minAnswers = 20

// rejectionVariances is by how much nodes differ in what share of each service type they reject: the variance, less what so few flows
// a node differ by chance alone. Of one run it may be under 0.
func rejectionVariances(r *record.Run) []float64 {
	spread := make([]float64, len(r.Types))
	type cell struct{ all, no float64 }
	cells := map[[2]int]*cell{}
	for _, f := range r.Flows {
		word, _ := f.Answer()
		c := cells[[2]int{f.Type, f.Node}]
		if c == nil {
			c = &cell{}
			cells[[2]int{f.Type, f.Node}] = c
		}
		if c.all++; word == "rejected" {
			c.no++
		}
	}
	for t := range r.Types {
		var shares []float64
		all, no, parts := 0.0, 0.0, 0.0
		for at, c := range cells {
			if at[0] == t && c.all >= minAnswers {
				shares, parts = append(shares, c.no/c.all), parts+1/c.all
				all, no = all+c.all, no+c.no
			}
		}
		if len(shares) < 2 {
			continue
		}
		slices.Sort(shares) // so that a sum is the same every time
		p, n := no/all, float64(len(shares))
		chance := p * (1 - p) * parts / n
		spread[t] = stat.Variance(shares, nil) - chance
	}
	return spread
}

func medianResult(l SweepResult, runs []SweepResult) SweepResult {
	l.Nodes = runs[0].Nodes
	of := func(get func(*SweepResult) *float64) {
		var all []float64
		for i := range runs {
			all = append(all, *get(&runs[i]))
		}
		slices.Sort(all)
		*get(&l) = all[len(all)/2]
	}
	for _, get := range []func(*SweepResult) *float64{
		func(l *SweepResult) *float64 { return &l.Goodput }, func(l *SweepResult) *float64 { return &l.BestGoodput },
		func(l *SweepResult) *float64 { return &l.Worst10 }, func(l *SweepResult) *float64 { return &l.Rejected },
		func(l *SweepResult) *float64 { return &l.RejectionSpread }, func(l *SweepResult) *float64 { return &l.EstablishedPerSecond },
		func(l *SweepResult) *float64 { return &l.ConnectsPerFlow }, func(l *SweepResult) *float64 { return &l.ProbesPerSecond },
		func(l *SweepResult) *float64 { return &l.MeanHostLoad }, func(l *SweepResult) *float64 { return &l.MaxHostLoad }} {
		of(get)
	}
	for t := range runs[0].rejectionVariances {
		sum := 0.0
		for i := range runs {
			sum += runs[i].rejectionVariances[t] / float64(len(runs))
		}
		l.RejectionSpread = max(l.RejectionSpread, deviationsP10ToP90*math.Sqrt(max(sum, 0)))
	}
	for i := range runs {
		l.Breaches += runs[i].Breaches
	}
	return l
}

// SweepText writes a sweep for people.
func SweepText(w io.Writer, all []SweepResult) {
	fmt.Fprintf(w, "%6s %6s %8s %8s %8s %9s %7s %8s %9s %8s %7s %7s %7s\n", "nodes", "times", "goodput", "best", "worst10s",
		"rejected", "spread", "up a s", "connects", "probes", "busy", "top", "broken")
	for _, l := range all {
		fmt.Fprintf(w, "%6d %6g %8.3f %8.3f %8.3f %8.1f%% %7.3f %8.1f %9.2f %8.1f %6.0f%% %6.0f%% %7d\n",
			l.Nodes, l.DemandFactor, l.Goodput, l.BestGoodput, l.Worst10, l.Rejected*100, l.RejectionSpread, l.EstablishedPerSecond, l.ConnectsPerFlow, l.ProbesPerSecond,
			l.MeanHostLoad*100, l.MaxHostLoad*100, l.Breaches)
	}
	fmt.Fprintln(w, "goodput and best in units of what the script's own rate asks for; medians over the seeds")
}
