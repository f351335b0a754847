package node

import (
	"fmt"
	"strings"

	"coursewinch/balance"
	"coursewinch/capture"
)

// Counters are what a node has done since its start, besides its answers, which are in Types.
type Counters struct {
	Accepted, Taken, Stood, Connects, Asked, Left, Bad, Crowded, Shed                  int
	Completed, Severed, Moves, Silent, Probes, ProbesFailed, Calls, CallsFailed, Lists int
	Reloads, Panics                                                                    int
	Vanished                                                                           int   // clients that said or took nothing for too long
	Refused                                                                            int   // connections, by the gate
	AdminCalls, AdminShed                                                              int   // operators' calls answered; callers let go with nothing whole
	HandedOn, TakenOver                                                                int   // connections and flows, to and from another process
	LateTurns, LateUs                                                                  int64 // the node's own
}

// Tally counts the answers to flows of one service type, each when it is given to the client's connection.
type Tally struct{ Success, Busy, Failure int }

// countAnswer counts a flow's one answer and captures it. Nothing else counts answers.
func (n *Node) countAnswer(f *flow, answer byte) {
	t := &n.Types[f.TypeNo]
	switch answer {
	case capture.Established:
		t.Success++
	case capture.Rejected:
		t.Busy++
	default:
		t.Failure++
	}
	n.captureAnswer(f, answer)
}

// CountersText is the counters as key=value, the answers summed over the service types.
func (n *Node) CountersText() string {
	counts, sum := n.Count, Tally{}
	for _, t := range n.Types {
		sum = Tally{sum.Success + t.Success, sum.Busy + t.Busy, sum.Failure + t.Failure}
	}
	return fmt.Sprintf("accepted=%d taken=%d stood=%d connects=%d backend_calls=%d success=%d busy=%d failure=%d left=%d "+
		"bad=%d crowded=%d shed=%d completed=%d severed=%d moves=%d silent=%d probes=%d probes_failed=%d calls=%d "+
		"calls_failed=%d lists=%d reloads=%d panics=%d vanished=%d refused=%d admin_calls=%d admin_shed=%d "+
		"handed_on=%d taken_over=%d late_turns=%d late_us=%d", counts.Accepted, counts.Taken, counts.Stood, counts.Connects, counts.Asked, sum.Success, sum.Busy, sum.Failure,
		counts.Left, counts.Bad, counts.Crowded, counts.Shed, counts.Completed, counts.Severed, counts.Moves, counts.Silent, counts.Probes, counts.ProbesFailed,
		counts.Calls, counts.CallsFailed, counts.Lists, counts.Reloads, counts.Panics, counts.Vanished, counts.Refused, counts.AdminCalls, counts.AdminShed, counts.HandedOn, counts.TakenOver,
		counts.LateTurns, counts.LateUs)
}

// metricsText is the figures that operators fetch, a line each.
func (n *Node) metricsText() string {
	names := n.typeNames()
	var text strings.Builder
	for typeIndex, t := range n.Types {
		fmt.Fprintf(&text, "success.%s=%d\nbusy.%s=%d\nfailure.%s=%d\n", names[typeIndex], t.Success, names[typeIndex], t.Busy,
			names[typeIndex], t.Failure)
	}
	listed, down := 0, 0
	for _, h := range n.hostList {
		if h.State == balance.Removed {
			continue
		}
		listed++
		if h.Avoided(n.now) {
			down++
		}
	}
	fmt.Fprintf(&text, "backend_calls=%d\ninflight=%d\nhosts_listed=%d\nhosts_down=%d\n", n.Count.Asked, n.flows.count, listed, down)
	text.WriteString(n.clusterMetrics())
	return text.String()
}
