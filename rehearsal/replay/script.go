package replay

import (
	"fmt"
	"strings"

	"coursewinch/capture"
	"coursewinch/rehearsal/scenario"
)

// RecordedDemand turns captures into the demand of a script, whose fleet, client behaviour and faults stay. The demand
// begins at a time of the captures, in microseconds after the start of the first one. It also returns what was omitted
// and why, one line each.
func RecordedDemand(all []*capture.Capture, s *scenario.Script, begin int64) (recorded []scenario.RecordedClient, omitted []string) {
	loadUnit := 1e6 / s.Fleet.FlowsPerCore // reported load of one usual flow
	unknown := map[string]int{}            // flows by service types that the script does not have
	before := 0
	for _, c := range Clients(all) {
		typeIndex := s.TypeIndex(c.Type)
		if typeIndex < 0 {
			unknown[c.Type]++
			continue
		}
		if c.At+c.Life <= begin {
			before++
			continue
		}
		skipped := max(begin-c.At, 0) // of its life, before the demand begins
		r := scenario.RecordedClient{At: scenario.Duration(max(c.At-begin, 0)), Type: typeIndex, Zone: min(c.Zone, len(s.Zones)-1),
			Group: c.Group, Key: c.Key, Life: scenario.Duration(c.Life - skipped)}
		for _, l := range c.Loads {
			step := scenario.LoadStep{After: scenario.Duration(max(l.At-skipped, 0)), Load: max(l.Load/loadUnit, 0.001)}
			if len(r.Loads) == 0 || step.After == 0 {
				step.After, r.Loads = 0, r.Loads[:0]
			}
			r.Loads = append(r.Loads, step)
		}
		if len(r.Loads) == 0 {
			r.Loads = []scenario.LoadStep{{Load: s.Types[typeIndex].Load}}
		}
		recorded = append(recorded, r)
	}
	for _, c := range all {
		if c.DamagedLines > 0 {
			omitted = append(omitted, fmt.Sprintf("%s: %d damaged lines", c.Node, c.DamagedLines))
		}
	}
	if before > 0 {
		omitted = append(omitted, fmt.Sprintf("%d clients that had gone before the script begins", before))
	}
	for name, n := range unknown {
		omitted = append(omitted, fmt.Sprintf("%d flows of type %s, which the script does not have", n, name))
	}
	return recorded, omitted
}

// NodeNames returns the names of the captures' nodes, separated by commas.
func NodeNames(all []*capture.Capture) string {
	var names []string
	for _, c := range all {
		names = append(names, c.Node)
	}
	return strings.Join(names, ", ")
}
