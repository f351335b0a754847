package faultplan

import (
	"cmp"
	"flag"
	"fmt"
	"slices"

	"pgregory.net/rapid"
)

// Bounds of the plans that Draw returns.
const (
	minNodes  = 3
	maxNodes  = 7
	maxFaults = 8
)

// Kind is the kind of a fault.
type Kind uint8

// The kinds of faults.
const (
	Kill      Kind = iota // a process ends
	Pause                 // a process stands still for Size times 4 s
	Partition             // each node falls at random into one of 1 + Node%3 parts; datagrams between parts are lost
	Loss                  // datagrams are lost with a probability of half of Size
	Delay                 // datagrams are delayed by up to Size times 2 s
	Heal                  // partition, loss and delay end
	ClockJump             // a clock jumps an hour ahead, or back where Size is below a half
	Restart               // a killed process starts again without any state
	KindCount             // the number of kinds
)

var kindNames = [KindCount]string{"kill", "stop", "cut", "loss", "delay", "whole", "jump", "restart"}

// Fault is one fault. At is a true time in microseconds. Node, modulo the number of nodes, is the index of the node
// concerned, if any. Size is from 0 to 1.
type Fault struct {
	At   int64
	Kind Kind
	Node int
	Size float64
}

// String returns the fault on one line, with its time in milliseconds.
func (f Fault) String() string {
	return fmt.Sprintf("%d ms %s n%d %.2f", f.At/ms, kindNames[f.Kind], f.Node, f.Size)
}

// Plan is a fleet and the faults that are injected. Seed determines what the faults leave open: delays, which datagrams
// are lost, and the clocks.
type Plan struct {
	Nodes  int
	Seed   int64
	Key    uint64 // the only key in use: leases are requested for its slot alone
	Faults []Fault
}

// Failer is a test, or one run of a property test.
type Failer interface {
	// Fatalf reports a failure and ends the test, as testing.T does.
	Fatalf(format string, args ...any)
}

// FixSeed fixes the seed of rapid, so that each run of a test draws the same plans, unless -rapid.seed sets another one.
func FixSeed() {
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		seed.Value.Set("1")
	}
}

// Draw draws a plan of up to eight faults within the given time, in microseconds, on a fleet of three to seven nodes. Rapid
// shrinks a plan that makes a test fail to the fewest faults that still do, and keeps it under testdata.
func Draw(t *rapid.T, within int64) Plan {
	plan := Plan{
		Nodes: rapid.IntRange(minNodes, maxNodes).Draw(t, "nodes"),
		Seed:  rapid.Int64().Draw(t, "seed"),
		Key:   rapid.Uint64().Draw(t, "key"),
	}
	for range rapid.IntRange(0, maxFaults).Draw(t, "faults") {
		plan.Faults = append(plan.Faults, Fault{
			At:   rapid.Int64Range(0, within/StepDuration).Draw(t, "at") * StepDuration,
			Kind: Kind(rapid.IntRange(0, int(KindCount)-1).Draw(t, "kind")),
			Node: rapid.IntRange(0, maxNodes-1).Draw(t, "node"),
			Size: float64(rapid.IntRange(0, 100).Draw(t, "size")) / 100,
		})
	}
	slices.SortStableFunc(plan.Faults, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return plan
}
