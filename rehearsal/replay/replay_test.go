package replay

import (
	"testing"

	"coursewinch/capture"
)

// TestClients combines the flows of a client that was rejected, then established, lost its connection, reconnected to
// another node and left. It also checks clients whose end is unknown, that were never established, or that return much
// later.
func TestClients(t *testing.T) {
	const s = 1_000_000
	one := &capture.Capture{Start: capture.Start{Node: "n-0", At: 100 * s}, LastRecordAt: 60 * s,
		Flows: []capture.Flow{
			{Number: 1, At: 1 * s, Type: "t", Key: "a", Answer: capture.Rejected, AnswerTime: 1000},
			{Number: 2, At: 2 * s, Type: "t", Key: "a", Answer: capture.Established, AnswerTime: 1000},
			{Number: 3, At: 3 * s, Type: "t", Key: "open", Answer: capture.Established, AnswerTime: 1000},
			{Number: 4, At: 4 * s, Type: "t", Key: "never", Answer: capture.Rejected, AnswerTime: 1000},
			{Number: 5, At: 40 * s, Type: "t", Key: "a", Answer: capture.Established, AnswerTime: 1000}},
		Ends: map[uint64]capture.End{2: {Number: 2, At: 5 * s, Outcome: capture.Severed},
			5: {Number: 5, At: 45 * s, Outcome: capture.ClientClosed}},
		Loads: map[uint64][]capture.Load{2: {{Number: 2, At: 2 * s, Load: 100}, {Number: 2, At: 4 * s, Load: 300}}}}
	two := &capture.Capture{Start: capture.Start{Node: "n-1", Zone: 1, At: 101 * s}, LastRecordAt: 60 * s,
		Flows: []capture.Flow{{Number: 1, At: 5 * s, Type: "t", Key: "a", Returning: true, Answer: capture.Established, AnswerTime: 1000}},
		Ends:  map[uint64]capture.End{1: {Number: 1, At: 9 * s, Outcome: capture.Completed}}}
	all := Clients([]*capture.Capture{one, two})
	if len(all) != 4 {
		t.Fatalf("%d clients: %+v", len(all), all)
	}
	combined, open, never, later := all[0], all[1], all[2], all[3]
	if combined.At != 1*s || combined.Life != 9*s || combined.Flows != 3 || combined.Zone != 0 ||
		len(combined.Loads) != 2 || combined.Loads[1].At != 3*s {
		t.Errorf("client with three flows: %+v", combined)
	}
	if open.Life != 58*s {
		t.Errorf("client whose end is not in the capture: %+v", open)
	}
	if want := (combined.Life + later.Life) / 2; never.Life != want {
		t.Errorf("client that was never established: life %d, mean of its type %d", never.Life, want)
	}
	if later.At != 40*s || later.Life != 5*s {
		t.Errorf("client with a known key, long after: %+v", later)
	}
}
