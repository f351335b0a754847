package node

import "testing"

// Flows that came before a stop and whose clients would wait for longer than the process has left get their answer
// before the process is killed, at whatever stage their connect is.
func TestPendingFlowsAreAnsweredBeforeStop(t *testing.T) {
	for name, begin := range map[string]func(net *fakeNet){
		"not up yet": func(net *fakeNet) {}, "asked": func(net *fakeNet) { net.connectLast() },
	} {
		n, net := newNode(1)
		n.settings.MaxConnectTimeout, n.settings.DialTimeout = 4800*ms, 0
		c := net.openClient("OPEN 1 2 c=chat,d=4798\r\n")
		begin(net)
		net.run(second, func() { n.Stop() })
		for n.now < n.stopDeadline-moveMargin/2 {
			net.run(moveInterval, func() {})
		}
		if net.sent[c] != "BUSY\r\n" || n.flows.count != 0 {
			t.Errorf("%s: answered %q, %d flows left %d us before the end", name, net.sent[c], n.flows.count, n.stopDeadline-n.now)
		}
	}
}

// The platform kills the process 0.7 s after the longest connect timeout, which may be less than a second. The node has
// to be done before that.
func TestStopEndsBeforeKill(t *testing.T) {
	for _, longest := range []int64{300 * ms, 800 * ms, 2 * second, 9 * second} {
		n, net := newNode(1)
		n.settings.MaxConnectTimeout = longest
		c, _ := net.establish()
		net.run(1, func() { n.Stop() })
		for from := n.now; !n.Done(); {
			if n.now-from > min(longest, 3*second)+700*ms-100*ms {
				t.Fatal(longest, "not done before the process is killed")
			}
			net.run(moveInterval, func() {})
		}
		net.expect(t, c, "UP 7\r\nMOVE\r\n", "shut")
		if n.now-n.stopAt < 400*ms {
			t.Fatal(longest, "done while new connections may still arrive")
		}
	}
}
