package node

import "testing"

// Guards flows that came before the word to end, and whose clients would wait for longer than the process has left,
// against the kill: each has its answer by then, at whatever stage its connect is.
func TestFlowsInHandAreAnsweredBeforeTheEnd(t *testing.T) {
	for name, begin := range map[string]func(w *fakeNet){
		"not up yet": func(w *fakeNet) {}, "asked": func(w *fakeNet) { w.connectLast() },
	} {
		n, w := newNode(1)
		n.settings.Longest, n.settings.Dial = 4800*ms, 0
		c := w.openClient("OPEN 1 2 c=chat,d=4798\r\n")
		begin(w)
		w.run(second, func() { n.Stop() })
		for n.now < n.stopDeadline-moveMargin/2 {
			w.run(moveInterval, func() {})
		}
		if w.sent[c] != "BUSY\r\n" || n.flows.count != 0 {
			t.Errorf("%s: told %q, %d flows in hand %d us before the end", name, w.sent[c], n.flows.count, n.stopDeadline-n.now)
		}
	}
}

// Guards a deployment whose clients wait for less than a second: the platform kills 0.7 s after the longest of these.
func TestTheEndComesBeforeTheKill(t *testing.T) {
	for _, longest := range []int64{300 * ms, 800 * ms, 2 * second, 9 * second} {
		n, w := newNode(1)
		n.settings.Longest = longest
		c, _ := w.establish()
		w.run(1, func() { n.Stop() })
		for from := n.now; !n.Done(); {
			if n.now-from > min(longest, 3*second)+700*ms-100*ms {
				t.Fatal(longest, "killed")
			}
			w.run(moveInterval, func() {})
		}
		w.expect(t, c, "UP 7\r\nMOVE\r\n", "shut")
		if n.now-n.stopAt < 400*ms {
			t.Fatal(longest, "ends while connections go on coming")
		}
	}
}
