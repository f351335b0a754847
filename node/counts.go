package node

import (
	"fmt"
	"strings"

	"coursewinch/balance"
	"coursewinch/capture"
)

// Counters count what a node has done since its start. Answers are counted apart from them, by service type; see Tally.
type Counters struct {
	Accepted       int   // clients' connections accepted
	Requests       int   // valid requests for a known service type
	Rejoined       int   // requests to go back to the host of an earlier connection
	Connects       int   // connects dialled
	RequestsSent   int   // requests sent to hosts in full
	ClientsLeft    int   // clients that left before their answer
	BadLines       int   // clients' lines rejected, and clients that sent no whole line in time
	NoDescriptor   int   // requests answered BUSY for want of descriptors
	Shed           int   // connections without a flow closed to free descriptors or buffers
	Completed      int   // flows that their host ended with BYE
	Severed        int   // flows whose host went silent, or closed or broke the connection without BYE or MOVE
	Moves          int   // clients asked to reconnect
	SilentHosts    int   // flows whose host answered a line with nothing for too long
	Probes         int   // probes that the decider requested, sent or not
	ProbesFailed   int   // probes without a good answer
	Calls          int   // calls to discovery
	CallsFailed    int   // calls and watches that failed
	Lists          int   // complete lists and changes received
	Reloads        int   // reloads of the configuration
	Panics         int   // panics from which the node recovered
	Vanished       int   // clients that sent or read nothing for too long
	Refused        int   // connections refused by admission control or the event loop
	AdminCalls     int   // operators' calls answered
	AdminShed      int   // operators' connections without a complete request closed to make room for another
	HandedOver     int   // clients and flows handed over to the successor process
	TakenOver      int   // clients and flows taken over from the predecessor process
	LateIterations int64 // loop iterations that ran late
	LateUs         int64 // microseconds by which they ran late
}

// Tally counts the answers to flows of one service type. An answer counts when it is put into the client's output ring.
type Tally struct {
	Success int // established flows
	Busy    int // flows rejected
	Failure int // flows aborted, and requests rejected with ERR
}

// countAnswer counts and captures a flow's answer. All answers are counted here, except ERR to an invalid request or to data
// before the answer, which is counted where the request is rejected if its service type is known.
func (n *Node) countAnswer(f *flow, answer byte) {
	t := &n.Answers[f.TypeIndex]
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

// CountersText returns the counters as key=value pairs, with the answers summed over the service types.
func (n *Node) CountersText() string {
	counts, sum := n.Count, Tally{}
	for _, t := range n.Answers {
		sum = Tally{sum.Success + t.Success, sum.Busy + t.Busy, sum.Failure + t.Failure}
	}
	return fmt.Sprintf("accepted=%d taken=%d stood=%d connects=%d backend_calls=%d success=%d busy=%d failure=%d left=%d "+
		"bad=%d crowded=%d shed=%d completed=%d severed=%d moves=%d silent=%d probes=%d probes_failed=%d calls=%d "+
		"calls_failed=%d lists=%d reloads=%d panics=%d vanished=%d refused=%d admin_calls=%d admin_shed=%d "+
		"handed_on=%d taken_over=%d late_turns=%d late_us=%d",
		counts.Accepted, counts.Requests, counts.Rejoined, counts.Connects, counts.RequestsSent,
		sum.Success, sum.Busy, sum.Failure, counts.ClientsLeft,
		counts.BadLines, counts.NoDescriptor, counts.Shed, counts.Completed, counts.Severed, counts.Moves, counts.SilentHosts,
		counts.Probes, counts.ProbesFailed, counts.Calls,
		counts.CallsFailed, counts.Lists, counts.Reloads, counts.Panics, counts.Vanished, counts.Refused,
		counts.AdminCalls, counts.AdminShed,
		counts.HandedOver, counts.TakenOver, counts.LateIterations, counts.LateUs)
}

// metricsText returns the metrics that operators fetch, a line each.
func (n *Node) metricsText() string {
	names := n.typeNames()
	var text strings.Builder
	for typeIndex, t := range n.Answers {
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
	fmt.Fprintf(&text, "backend_calls=%d\ninflight=%d\nhosts_listed=%d\nhosts_down=%d\n", n.Count.RequestsSent, n.flows.count, listed, down)
	text.WriteString(n.clusterMetrics())
	return text.String()
}
