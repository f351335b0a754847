package main

import (
	"fmt"
	"io"
	"testing"

	"coursewinch/handover"
)

// The link between two processes of a node breaks after each of its messages. The running process has to keep its listener
// and its flows, each client has to get one answer and the host one connect for each flow, and afterwards another new
// version has to be able to take over.
func TestLinkBrokenAfterEachMessage(t *testing.T) {
	h := newHost(t, "UP 1\r\n")
	l := listText(5, "ready", h)
	folder := t.TempDir()
	d := newDiscovery(t, l)
	p := startNodeWithAdmin(t, d, l, 400, folder)
	established := p.openFlow(t, "")
	established.wantLine(t, "UP 1\r\n")
	partial := p.dial(t)
	request := fmt.Sprintf("OPEN %d 7f3a c=chat,d=2000\r\n", flowIDs.Add(1))
	io.WriteString(partial, request[:9])
	flows := 1
	for completedSteps, lastStep := range []string{"connected", "hello", "a part of the state", "the state", "taken", "yielded"} {
		link, err := handover.Dial(handover.SocketPath(folder, "n0", "127.0.0.1:0"), stateTimeout)
		if err != nil {
			t.Fatal(lastStep, err)
		}
		link.SetTimeout(testTimeout)
		receive := func() *handover.Message {
			m, fds, err := link.Receive()
			if err != nil {
				t.Fatal(lastStep, err)
			}
			closeAll(fds)
			return m
		}
		if completedSteps >= 1 {
			if err := link.SendBlocking(&handover.Message{Hello: &handover.Hello{Name: "n0", Listen: "127.0.0.1:0"}}); err != nil {
				t.Fatal(lastStep, err)
			}
		}
		for part := 0; completedSteps >= 2; part++ {
			if m := receive(); m.State == nil {
				t.Fatalf("%s: %+v", lastStep, m)
			} else if m.State.No == m.State.Of || completedSteps == 2 {
				break
			}
		}
		if completedSteps >= 4 {
			if err := link.SendBlocking(&handover.Message{Take: true}); err != nil {
				t.Fatal(lastStep, err)
			}
		}
		if completedSteps >= 5 && receive().Yield == nil {
			t.Fatal("the message after taking over is not a yield")
		}
		link.Close()
		if completedSteps >= 1 {
			p.waitForCount(t, "msg=other_process_gone", completedSteps)
		}
		p.openFlow(t, "").wantLine(t, "UP 1\r\n") // at the listener, which had stopped accepting in two of these steps
		flows++
		io.WriteString(established, "M\r\n")
		established.wantLine(t, "M\r\n")
	}
	io.WriteString(partial, request[9:])
	partial.wantLine(t, "UP 1\r\n")
	flows++
	successor := startNodeWithAdmin(t, d, l, 400, folder).waitReady(t)
	successor.openFlow(t, "").wantLine(t, "UP 1\r\n")
	flows++
	if text := p.stop(t); metricValue(t, text, "moves") != 0 || metricValue(t, text, "handed_on") == 0 {
		t.Fatal(text)
	}
	io.WriteString(established, "M\r\n")
	established.wantLine(t, "M\r\n")
	if len(h.opens) != flows {
		t.Fatal(len(h.opens), "connects for", flows, "flows")
	}
}
