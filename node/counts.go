package node

import (
	"fmt"
	"strings"

	"coursewinch/balance"
	"coursewinch/capture"
)

// Counters count what a node has done since its start. Answers are counted apart from them, by service type; see Tally.
type Counters struct {
	Accepted       int   // clients' connections
	Requests       int   // requests parsed
	Rejoined       int   // flows that rejoined the host of their earlier connection
	Connects       int   // connects dialled
	RequestsSent   int   // requests sent to hosts in full
	ClientsLeft    int   // clients that left before their answer
	BadLines       int   // clients' lines rejected, and clients that sent none in time
	NoDescriptor   int   // requests answered BUSY for want of descriptors
	Shed           int   // idle clients closed to free descriptors or buffers
	Completed      int   // flows that their host ended with BYE
	Severed        int   // flows that broke
	Moves          int   // clients asked to reconnect
	SilentHosts    int   // flows whose host answered a line with nothing for too long
	Probes         int   // probes sent
	ProbesFailed   int   // probes without a good answer
	Calls          int   // calls to discovery
	CallsFailed    int   // calls and watches that failed
	Lists          int   // lists received
	Reloads        int   // reloads of the configuration
	Panics         int   // panics confined to a connection
	Vanished       int   // clients that sent or read nothing for too long
	Refused        int   // connections refused by admission control or the event loop
	AdminCalls     int   // operators' calls answered
	AdminShed      int   // operators' connections closed without a complete request
	HandedOver     int   // clients and flows handed over to the successor process
	TakenOver      int   // clients and flows taken over from the predecessor process
	LateIterations int64 // loop iterations that ran late
	LateUs         int64 // microseconds by which they ran late
}

// Tally counts the answers to flows of one service type. An answer counts when it is put into the client's output ring.
type Tally struct {
	Success int // established flows
	Busy    int // flows rejected
	Failure int // flows aborted, and invalid requests
}

// countAnswer counts and captures a flow's answer. All answers are counted here, except ERR to an invalid request, which is
// counted where the request is rejected.
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
