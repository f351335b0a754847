package trial

import "testing"

// TestGoodputOfOverloadedFleet checks overload control: at five and ten times the demand, nodes with links reach 0.85 of
// their peak goodput and nodes without links 0.6. Without overload control they reach at most half of what linked nodes do.
// Linked nodes then make hardly more probes, and at most 1.1 connects a flow. No rule is broken.
func TestGoodputOfOverloadedFleet(t *testing.T) {
	play := func(changes ...string) []SweepResult {
		all, err := Sweep{Script: "fleet-overload", Changes: changes, DemandFactors: []float64{2, 5, 10}, Nodes: []int{4}, Seeds: 2}.Run()
		if err != nil {
			t.Fatal(err)
		}
		return all
	}
	linked, alone, off := play("cluster.on=true"), play("cluster.on=true", "cluster.alone=true"), play()
	peak := 0.0
	for _, l := range linked {
		peak = max(peak, l.Goodput)
	}
	// Probes a second: each of twelve nodes probes half of twelve hosts, at least four seconds apart, and a tenth more for
	// hosts that are skipped.
	const maxProbes = 1.1 * 12 * 6 / 4
	for i, share := range []float64{0, 0.85, 0.85} {
		factor := linked[i].DemandFactor
		if linked[i].Goodput < min(share*peak, 0.9*factor) || alone[i].Goodput < min(0.6*peak, 0.8*factor) {
			t.Errorf("%g times the demand: goodput %.2f with links, %.2f without, of a peak of %.2f", factor,
				linked[i].Goodput, alone[i].Goodput, peak)
		}
		if calm := linked[0].ProbesPerSecond; linked[i].ProbesPerSecond > min(1.1*calm, maxProbes) ||
			linked[i].ConnectsPerFlow > 1.1 || linked[i].Breaches+alone[i].Breaches > 0 {
			t.Errorf("%g times the demand: %.1f probes a second (%.1f at twice), %.2f connects a flow, %d rules broken",
				factor, linked[i].ProbesPerSecond, calm,
				linked[i].ConnectsPerFlow, linked[i].Breaches+alone[i].Breaches)
		}
	}
	if off[2].Goodput > 0.5*linked[2].Goodput {
		t.Errorf("goodput %.2f without overload control: the script is no overload", off[2].Goodput)
	}
}
