package node

import (
	"fmt"
	"testing"

	"coursewinch/balance"
)

// recordingDecider is a Decider that records the probes and set-up times reported to it.
type recordingDecider struct {
	module
	probes []probeResult
	setups []int64
}

type probeResult struct {
	end  balance.Outcome
	took int64
}

func (d *recordingDecider) Probed(s *balance.Server, end balance.Outcome, took int64) {
	d.probes = append(d.probes, probeResult{end, took})
	d.module.Probed(s, end, took)
}

func (d *recordingDecider) Established(f *balance.Flow, took int64) {
	d.setups = append(d.setups, took)
	d.module.Established(f, took)
}

// newRecordingNode returns a node with a recording decider.
func newRecordingNode(t *testing.T) (*Node, *fakeNet, *recordingDecider) {
	t.Helper()
	n, net := newNode(2)
	d := &recordingDecider{module: n.decider.(module)}
	n.decider = d
	return n, net, d
}

// runLate runs a loop iteration whose events have waited for late, after an iteration that took before.
func (net *fakeNet) runLate(late, before int64, in func()) {
	net.node.ReportLateness(late, before)
	net.run(late+1, in)
}

// Probes are answered while the node itself is late. The module gets the time without the node's own lateness, and is
// informed that it is uncertain where the lateness is large.
func TestOwnLatenessInProbes(t *testing.T) {
	for _, c := range []struct {
		name   string
		before int64 // length of the iteration that sent PING
		late   int64 // how long PONG waited
		want   probeResult
	}{
		{"in time", 50, 0, probeResult{balance.Completed, 2*ms - 50}},
		{"PING left late", 20 * ms, 0, probeResult{balance.Recalled, 1}},
		{"PONG was read late", 0, 20 * ms, probeResult{balance.Recalled, 2 * ms}},
	} {
		n, net, d := newRecordingNode(t)
		s := n.hostList[0]
		net.runLate(0, 0, func() { n.Probe(&s.Server) })
		id := net.lastConn()
		net.up[id] = true
		net.runLate(0, 0, func() { n.Connected(id) })
		n.ReportLateness(0, 0)
		net.run(1, func() { net.in[id].Put([]byte("PONG\r\n")); n.Received(id) })
		d.probes = nil
		net.runLate(0, 0, func() { n.Probe(&s.Server) })
		n.ReportLateness(c.late, c.before)
		net.run(2*ms+c.late, func() { net.in[id].Put([]byte("PONG\r\n")); n.Received(id) })
		if len(d.probes) != 1 || d.probes[0] != c.want {
			t.Errorf("%s: module got %v, want %v", c.name, d.probes, c.want)
		}
	}
}

// The set-up time reported to the module contains the node's own lateness in neither of its two legs.
func TestOwnLatenessInSetUps(t *testing.T) {
	n, net, d := newRecordingNode(t)
	n.ReportLateness(0, 0)
	net.openClient(openLine)
	id := net.lastConn()
	net.up[id] = true
	n.ReportLateness(30*ms, 10*ms) // the connection was up long before the node noticed it
	net.run(41*ms, func() { n.Connected(id) })
	n.ReportLateness(5*ms, 2*ms)
	net.run(8*ms, func() { net.in[id].Put([]byte("UP 7\r\n")); n.Received(id) })
	if len(d.setups) != 1 || d.setups[0] > 3*ms {
		t.Errorf("a set-up of 2 ms with 47 ms of own lateness was reported as %v us", d.setups)
	}
}

// The event loop waits in short steps exactly while a connect or a probe is outstanding.
func TestMeasuring(t *testing.T) {
	n, net, _ := newRecordingNode(t)
	want := func(on bool, when string) {
		t.Helper()
		if n.Measuring() != on {
			t.Errorf("%s: Measuring is %t", when, !on)
		}
	}
	want(false, "idle")
	net.openClient(openLine)
	want(true, "a connect is out")
	id := net.connectLast()
	net.receive(id, "UP 7\r\n")
	want(false, "established")
	net.run(1, func() { n.Probe(&n.hostList[0].Server) })
	want(true, "a probe is out")
	net.run(second, func() {})
	want(false, "given up")
}

// The lengths of past iterations are kept in a ring. A length must not be read for an older iteration at the same index.
func TestLatenessHistoryWraps(t *testing.T) {
	n, _ := newNode(1)
	n.ReportLateness(0, 0)
	m := n.startSpan()
	for i := range 2*keptIterations + 3 {
		n.ReportLateness(0, int64(i%2)*40*ms)
	}
	n.now += second
	if us, sure := n.elapsed(m); us != second || !sure {
		t.Errorf("a second over %d iterations: %d us, sure %t", 2*keptIterations+3, us, sure)
	}
}

// The clock jumps an hour ahead during a flow's set-up, and later back by a second. Every flow has its answer, nothing
// panics, and the next flow is served.
func TestClockJumps(t *testing.T) {
	n, net, _ := newRecordingNode(t)
	n.ReportLateness(0, 0)
	c := net.openClient(openLine)
	n.ReportLateness(3600*second, 0)
	net.run(3600*second, func() {})
	net.run(1, func() {})
	if net.sent[c] == "" || n.Count.Panics > 0 {
		t.Errorf("answered %q, %d panics", net.sent[c], n.Count.Panics)
	}
	n.ReportLateness(-second, -second)
	net.run(-second, func() {})
	net.run(2*second, func() {})
	if client, _ := net.establish(); net.sent[client] != "UP 7\r\n" || n.Count.Panics > 0 {
		t.Errorf("next flow answered %q, %d panics", net.sent[client], n.Count.Panics)
	}
}

// Clients that send nothing or read nothing for longer than the limits allow are closed, and no others.
func TestStalledClientsAreClosed(t *testing.T) {
	n, net, _ := newRecordingNode(t)
	n.limits.Idle, n.limits.Stalled = 10*second, 5*second
	quiet, _ := net.establish()
	stuck, host := net.establish()
	active, activeHost := net.establish()
	net.up[stuck] = false // the client reads nothing more
	net.receive(stuck, "say\r\n")
	net.receive(host, "say\r\n")
	for range 9 {
		net.run(second, func() {})
		net.receive(active, "say\r\n")
		net.receive(activeHost, "say\r\n")
		if net.ended[stuck] == "" {
			net.receive(stuck, "say\r\n")
			net.receive(host, "say\r\n")
		}
	}
	if net.ended[stuck] == "" || n.Count.Vanished != 1 {
		t.Errorf("stalled client ended %q, %d counted", net.ended[stuck], n.Count.Vanished)
	}
	for range 3 {
		net.run(second, func() {})
		net.receive(active, "say\r\n")
		net.receive(activeHost, "say\r\n")
	}
	if net.ended[quiet] == "" || net.ended[active] != "" || n.Count.Vanished != 2 {
		t.Errorf("silent client ended %q, active client %q, %d counted", net.ended[quiet], net.ended[active], n.Count.Vanished)
	}
}

// While a node gets little processor time, slow set-ups take no host out of use. Once it gets its core back, they do.
func TestStarvedNodeChargesNoHost(t *testing.T) {
	n, net, _ := newRecordingNode(t)
	number := 0
	serve := func(flows int, late, took int64) {
		for range flows {
			n.ReportLateness(late, 0)
			number++
			before := n.Count.Connects
			net.openClient(fmt.Sprintf("OPEN %d k%d c=chat,d=2000\r\n", number, number))
			if n.Count.Connects > before {
				id := net.connectLast()
				n.ReportLateness(late, 0)
				net.run(took, func() { net.in[id].Put([]byte("UP 7\r\n")); n.Received(id) })
			}
		}
	}
	serve(12, 0, 2*ms)
	before := n.Answers[0].Busy
	serve(20, 60*ms, 200*ms)
	if n.Answers[0].Busy > before {
		t.Errorf("%d flows rejected while the node was late itself", n.Answers[0].Busy-before)
	}
	net.run(5*second, func() {})
	serve(20, 0, 200*ms)
	if n.Answers[0].Busy == before {
		t.Error("no flow rejected, although set-ups are slow and the node is in time")
	}
}
