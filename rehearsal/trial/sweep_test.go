package trial

import "testing"

// TestGoodputOfOverloadedFleet holds what the bounds are for: at five and ten times its demand a fleet that talks does 0.85 of its
// peak, one without a word 0.6, and one that nothing bounds little.
func TestGoodputOfOverloadedFleet(t *testing.T) {
	play := func(changes ...string) []SweepResult {
		all, err := Sweep{Script: "fleet-overload", Changes: changes, Times: []float64{2, 5, 10}, Nodes: []int{4}, Seeds: 2}.Run()
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
	// A second: twelve nodes, each half of twelve hosts, four seconds apart at least, and a tenth for hosts that are skipped.
	const mostProbes = 1.1 * 12 * 6 / 4
	for i, part := range []float64{0, 0.85, 0.85} {
		asked := linked[i].DemandFactor
		if linked[i].Goodput < min(part*peak, 0.9*asked) || alone[i].Goodput < min(0.6*peak, 0.8*asked) {
			t.Errorf("%g times: %.2f with links, %.2f alone, of a peak of %.2f", asked, linked[i].Goodput, alone[i].Goodput, peak)
		}
		if calm := linked[0].ProbesPerSecond; linked[i].ProbesPerSecond > min(1.1*calm, mostProbes) || linked[i].ConnectsPerFlow > 1.1 || linked[i].Breaches+alone[i].Breaches > 0 {
			t.Errorf("%g times: %.1f probes a second (calm %.1f), %.2f connects a flow, %d rules broken", asked, linked[i].ProbesPerSecond, calm,
				linked[i].ConnectsPerFlow, linked[i].Breaches+alone[i].Breaches)
		}
	}
	if off[2].Goodput > 0.5*linked[2].Goodput {
		t.Errorf("%.2f with nothing bounded: the script is no overload", off[2].Goodput)
	}
}
