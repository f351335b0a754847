package node

import (
	"fmt"
	"testing"

	"coursewinch/balance"
)

// recordingDecider is a Decider that notes what it is told of probes and set-ups.
type recordingDecider struct {
	module
	probes []probeResult
	setups []int64
}

type probeResult struct {
	end  balance.Outcome
	took int64
}

func (h *recordingDecider) Probed(s *balance.Server, end balance.Outcome, took int64) {
	h.probes = append(h.probes, probeResult{end, took})
	h.module.Probed(s, end, took)
}

func (h *recordingDecider) Established(f *balance.Flow, took int64) {
	h.setups = append(h.setups, took)
	h.module.Established(f, took)
}

// newRecordingNode is a node whose module is listened to.
func newRecordingNode(t *testing.T) (*Node, *fakeNet, *recordingDecider) {
	t.Helper()
	n, net := newNode(2)
	h := &recordingDecider{module: n.decider.(module)}
	n.decider = h
	return n, net, h
}

// runLate plays a turn after a turn that took before, in which what came had waited for late.
func (net *fakeNet) runLate(late, before int64, in func()) {
	net.node.Late(late, before)
	net.run(late+1, in)
}

// TestOwnLatenessInProbes answers probes while the node itself is late: what is taught is what is left without it.
func TestOwnLatenessInProbes(t *testing.T) {
	for _, c := range []struct {
		name   string
		before int64 // how long the turn took in which PING was sent
		late   int64 // how long PONG had waited
		want   probeResult
	}{
		{"in time", 50, 0, probeResult{balance.Completed, 2*ms - 50}},
		{"PING left late", 20 * ms, 0, probeResult{balance.Recalled, 1}},
		{"PONG was read late", 0, 20 * ms, probeResult{balance.Recalled, 2 * ms}},
	} {
		n, net, h := newRecordingNode(t)
		s := n.hostList[0]
		net.runLate(0, 0, func() { n.Probe(&s.Server) })
		id := net.lastConn()
		net.up[id] = true
		net.runLate(0, 0, func() { n.Connected(id) })
		n.Late(0, 0)
		net.run(1, func() { net.in[id].Put([]byte("PONG\r\n")); n.Received(id) })
		h.probes = nil
		net.runLate(0, 0, func() { n.Probe(&s.Server) })
		n.Late(c.late, c.before)
		net.run(2*ms+c.late, func() { net.in[id].Put([]byte("PONG\r\n")); n.Received(id) })
		if len(h.probes) != 1 || h.probes[0] != c.want {
			t.Errorf("%s: told %v, not %v", c.name, h.probes, c.want)
		}
	}
}

// TestOwnLatenessInSetUps wants both legs of a set-up without the node's own part.
func TestOwnLatenessInSetUps(t *testing.T) {
	n, net, h := newRecordingNode(t)
	n.Late(0, 0)
	net.openClient(openLine)
	id := net.lastConn()
	net.up[id] = true
	n.Late(30*ms, 10*ms) // the connection was up long before the node came to see it
	net.run(41*ms, func() { n.Connected(id) })
	n.Late(5*ms, 2*ms)
	net.run(8*ms, func() { net.in[id].Put([]byte("UP 7\r\n")); n.Received(id) })
	if len(h.setups) != 1 || h.setups[0] > 3*ms {
		t.Errorf("of a set-up of 2 ms beside 47 ms of the node's own the module is told %v", h.setups)
	}
}

func TestMeasuring(t *testing.T) {
	n, net, _ := newRecordingNode(t)
	want := func(on bool, when string) {
		t.Helper()
		if n.Measuring() != on {
			t.Errorf("%s: measuring %t", when, !on)
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

// TestLatenessHistoryWraps reads no turn's length for another's whose place it has.
func TestLatenessHistoryWraps(t *testing.T) {
	n, _ := newNode(1)
	n.Late(0, 0)
	m := n.startSpan()
	for i := range 2*keptIterations + 3 {
		n.Late(0, int64(i%2)*40*ms)
	}
	n.now += second
	if us, sure := n.elapsed(m); us != second || !sure {
		t.Errorf("a second over %d turns: %d us, sure %t", 2*keptIterations+3, us, sure)
	}
}

// TestClockJumps lets an hour pass within a flow's set-up, and then a second go back: every flow has its answer, nothing
// breaks, and the next is served.
func TestClockJumps(t *testing.T) {
	n, net, _ := newRecordingNode(t)
	n.Late(0, 0)
	c := net.openClient(openLine)
	n.Late(3600*second, 0)
	net.run(3600*second, func() {})
	net.run(1, func() {})
	if net.sent[c] == "" || n.Count.Panics > 0 {
		t.Errorf("answered %q, %d panics", net.sent[c], n.Count.Panics)
	}
	n.Late(-second, -second)
	net.run(-second, func() {})
	net.run(2*second, func() {})
	if client, _ := net.establish(); net.sent[client] != "UP 7\r\n" || n.Count.Panics > 0 {
		t.Errorf("after it answered %q, %d panics", net.sent[client], n.Count.Panics)
	}
}

// TestStalledClientsAreClosed ends clients that say nothing, and those that take nothing, for longer than is allowed, and no others.
func TestStalledClientsAreClosed(t *testing.T) {
	n, net, _ := newRecordingNode(t)
	n.limits.Idle, n.limits.Stalled = 10*second, 5*second
	quiet, _ := net.establish()
	stuck, host := net.establish()
	active, activeHost := net.establish()
	net.up[stuck] = false // takes nothing more
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
		t.Errorf("the stalled one ended %q, %d vanished", net.ended[stuck], n.Count.Vanished)
	}
	for range 3 {
		net.run(second, func() {})
		net.receive(active, "say\r\n")
		net.receive(activeHost, "say\r\n")
	}
	if net.ended[quiet] == "" || net.ended[active] != "" || n.Count.Vanished != 2 {
		t.Errorf("the silent one ended %q, the sound one %q, %d vanished", net.ended[quiet], net.ended[active], n.Count.Vanished)
	}
}

// TestStarvedNodeBlamesNobody: while the node gets little of its core, set-ups that take long put no host aside; given
// its core back, it takes them for what they are.
func TestStarvedNodeBlamesNoHost(t *testing.T) {
	n, net, _ := newRecordingNode(t)
	number := 0
	serve := func(flows int, late, took int64) {
		for range flows {
			n.Late(late, 0)
			number++
			before := n.Count.Connects
			net.openClient(fmt.Sprintf("OPEN %d k%d c=chat,d=2000\r\n", number, number))
			if n.Count.Connects > before {
				id := net.connectLast()
				n.Late(late, 0)
				net.run(took, func() { net.in[id].Put([]byte("UP 7\r\n")); n.Received(id) })
			}
		}
	}
	serve(12, 0, 2*ms)
	before := n.Types[0].Busy
	serve(20, 60*ms, 200*ms)
	if n.Types[0].Busy > before {
		t.Errorf("%d flows rejected by a node that is late itself", n.Types[0].Busy-before)
	}
	net.run(5*second, func() {})
	serve(20, 0, 200*ms)
	if n.Types[0].Busy == before {
		t.Error("slow set-ups mean nothing to a node that is in time")
	}
}
