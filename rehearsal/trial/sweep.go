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

// Sweep plays a script at several multiples of its demand and with several numbers of nodes, always with the same hosts.
type Sweep struct {
	Script        string
	Changes       []string  // of the script, KEY=VALUE
	DemandFactors []float64 // multiples of the script's demand rate
	Nodes         []int     // nodes in each zone
	Seeds         int
	Workers       int // runs at the same time; 0 for one a core
}

// SweepResult holds the figures of a fleet at one size and multiple. Each is the median over the seeds, except
// RejectionSpread, which is computed from all seeds together, and Breaches, which is a sum.
type SweepResult struct {
	Nodes                int     `json:"nodes"`
	DemandFactor         float64 `json:"times"`
	Goodput              float64 `json:"goodput"` // benefit served, in units of the benefit requested at the script's own rate
	BestGoodput          float64 `json:"best"`    // the same for the best assignment that full knowledge allows
	Worst10              float64 `json:"worst_10s"`
	Rejected             float64 `json:"rejected"` // share of answers
	RejectionSpread      float64 `json:"spread"`   // of the share rejected of a service type between nodes: p90 less p10, beyond chance
	EstablishedPerSecond float64 `json:"established_per_s"`
	ConnectsPerFlow      float64 `json:"connects_per_flow"`
	ProbesPerSecond      float64 `json:"probes_per_s"`
	MeanHostLoad         float64 `json:"hosts_busy"` // load over capacity, mean of all hosts in the second half of a run
	MaxHostLoad          float64 `json:"hosts_top"`  // load over capacity of the most loaded host, mean of the second half of a run
	rejectionVariances   []float64
	Breaches             int `json:"broken"` // of rules, over all seeds
}

// Run plays the sweep with several workers. The result does not depend on their number.
func (p Sweep) Run() ([]SweepResult, error) {
	type job struct{ result, seed int }
	var all []SweepResult
	for _, n := range p.Nodes {
		for _, t := range p.DemandFactors {
			all = append(all, SweepResult{Nodes: n, DemandFactor: t})
		}
	}
	runs := make([][]SweepResult, len(all))
	for i := range runs {
		runs[i] = make([]SweepResult, p.Seeds)
	}
	jobs, errs := make(chan job), make([]error, len(all)*p.Seeds)
	var wg sync.WaitGroup
	workers := p.Workers
	if workers == 0 {
		workers = runtime.NumCPU()
	}
	for range workers {
		wg.Go(func() {
			for j := range jobs {
				errs[j.result*p.Seeds+j.seed] = p.play(&runs[j.result][j.seed], all[j.result], uint64(j.seed+1))
			}
		})
	}
	for c := range all {
		for s := range p.Seeds {
			jobs <- job{c, s}
		}
	}
	close(jobs)
	wg.Wait()
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

// play plays the script once, at one size and multiple, and stores the figures of the run.
func (p Sweep) play(to *SweepResult, at SweepResult, seed uint64) error {
	s, err := scenario.LoadWithOverrides(p.Script, p.Changes)
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

// measure returns the figures of a run at a multiple of the script's demand.
func measure(s *scenario.Script, r *record.Run, factor float64) (result SweepResult) {
	f, unit := r.Summarize(), 0.0
	for _, sec := range r.Seconds {
		wanted := make([]float64, len(s.Types))
		for t, k := range s.Types {
			wanted[t] = sec.Requested[t] / k.Benefit
			unit += sec.Requested[t] / factor
			result.Goodput += sec.Served[t]
		}
		result.BestGoodput += fleet.MaxBenefitRate(s, wanted)
	}
	unit = max(unit, 1e-9)
	result.DemandFactor, result.Goodput, result.BestGoodput, result.Worst10 = factor, result.Goodput/unit, result.BestGoodput/unit, f.Worst10
	answers := 0
	for _, v := range f.Answers {
		answers += v
	}
	seconds := float64(r.Length) / 1e6
	result.Rejected = float64(f.Answers["rejected"]+f.Answers["aborted"]) / float64(max(answers, 1))
	result.EstablishedPerSecond = float64(f.Answers["established"]) / seconds
	result.ConnectsPerFlow = f.ConnectsPerFlow
	result.ProbesPerSecond = float64(r.Counts.Probes) / seconds
	result.rejectionVariances = rejectionVariances(r)
	for _, h := range r.Hosts {
		sum, n := 0.0, 0.0
		for _, v := range h.Load[len(h.Load)/2:] {
			sum, n = sum+v, n+1
		}
		result.MeanHostLoad += sum / max(n, 1) / float64(len(r.Hosts))
		result.MaxHostLoad = max(result.MaxHostLoad, sum/max(n, 1))
	}
	result.Breaches = len(rules.Check(r))
	return result
}

const (
	// deviationsP10ToP90 is the distance from p10 to p90 of a normal distribution, in standard deviations.
	deviationsP10ToP90 = 2.56
	// minAnswers is the number of answers of a node and service type below which the share that it rejects says nothing.
	minAnswers = 20
)

// rejectionVariances returns, by service type, the variance between nodes of the share of flows that they reject, less the
// variance that so few flows of a node have by chance. It may be below 0 for one run.
func rejectionVariances(r *record.Run) []float64 {
	variances := make([]float64, len(r.Types))
	type cell struct{ flows, rejected float64 }
	cells := map[[2]int]*cell{}
	for _, f := range r.Flows {
		outcome, _ := f.Outcome()
		c := cells[[2]int{f.ServiceType, f.Node}]
		if c == nil {
			c = &cell{}
			cells[[2]int{f.ServiceType, f.Node}] = c
		}
		if c.flows++; outcome == "rejected" {
			c.rejected++
		}
	}
	for t := range r.Types {
		var shares []float64
		flows, rejected, reciprocals := 0.0, 0.0, 0.0
		for key, c := range cells {
			if key[0] == t && c.flows >= minAnswers {
				shares, reciprocals = append(shares, c.rejected/c.flows), reciprocals+1/c.flows
				flows, rejected = flows+c.flows, rejected+c.rejected
			}
		}
		if len(shares) < 2 {
			continue
		}
		slices.Sort(shares) // the sum in the variance must not depend on the order of the map
		p, n := rejected/flows, float64(len(shares))
		chance := p * (1 - p) * reciprocals / n
		variances[t] = stat.Variance(shares, nil) - chance
	}
	return variances
}

// medianResult returns the medians of the runs at one size and multiple, with the spread and the breaches of all runs.
func medianResult(r SweepResult, runs []SweepResult) SweepResult {
	r.Nodes = runs[0].Nodes
	setMedian := func(get func(*SweepResult) *float64) {
		var all []float64
		for i := range runs {
			all = append(all, *get(&runs[i]))
		}
		slices.Sort(all)
		*get(&r) = all[len(all)/2]
	}
	for _, get := range []func(*SweepResult) *float64{
		func(r *SweepResult) *float64 { return &r.Goodput }, func(r *SweepResult) *float64 { return &r.BestGoodput },
		func(r *SweepResult) *float64 { return &r.Worst10 }, func(r *SweepResult) *float64 { return &r.Rejected },
		func(r *SweepResult) *float64 { return &r.RejectionSpread }, func(r *SweepResult) *float64 { return &r.EstablishedPerSecond },
		func(r *SweepResult) *float64 { return &r.ConnectsPerFlow }, func(r *SweepResult) *float64 { return &r.ProbesPerSecond },
		func(r *SweepResult) *float64 { return &r.MeanHostLoad }, func(r *SweepResult) *float64 { return &r.MaxHostLoad }} {
		setMedian(get)
	}
	for t := range runs[0].rejectionVariances {
		sum := 0.0
		for i := range runs {
			sum += runs[i].rejectionVariances[t] / float64(len(runs))
		}
		r.RejectionSpread = max(r.RejectionSpread, deviationsP10ToP90*math.Sqrt(max(sum, 0)))
	}
	for i := range runs {
		r.Breaches += runs[i].Breaches
	}
	return r
}

// WriteSweepText writes the results of a sweep for people, as a table.
func WriteSweepText(w io.Writer, all []SweepResult) {
	fmt.Fprintf(w, "%6s %6s %8s %8s %8s %9s %7s %8s %9s %8s %7s %7s %7s\n", "nodes", "times", "goodput", "best", "worst10s",
		"rejected", "spread", "up a s", "connects", "probes", "busy", "top", "broken")
	for _, r := range all {
		fmt.Fprintf(w, "%6d %6g %8.3f %8.3f %8.3f %8.1f%% %7.3f %8.1f %9.2f %8.1f %6.0f%% %6.0f%% %7d\n",
			r.Nodes, r.DemandFactor, r.Goodput, r.BestGoodput, r.Worst10, r.Rejected*100, r.RejectionSpread,
			r.EstablishedPerSecond, r.ConnectsPerFlow, r.ProbesPerSecond, r.MeanHostLoad*100, r.MaxHostLoad*100, r.Breaches)
	}
	fmt.Fprintln(w, "goodput and best in units of what the script's own rate asks for; medians over the seeds")
}
