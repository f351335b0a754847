package rules_test

import (
	"strings"
	"testing"

	"coursewinch/rehearsal/fleet"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/rules"
	"coursewinch/rehearsal/scenario"
)

// faultyNode is a small node that keeps all rules except the one that its mode breaks.
type faultyNode struct {
	world   *fleet.World
	mode    string
	pairs   map[*fleet.Conn]*pair // by the connection of either side
	crashed bool
}

// pair is a client's connection with the connection to a host.
type pair struct {
	client, host *fleet.Conn
	line         string
	established  bool
	connects     int
}

const script = `name = "planted"
length = "10s"
zones = ["a"]
[fleet]
swing = 0.0
[[hosts]]
count = 3
[[nodes]]
count = 1
[clients]
wait = "none"
line_every = "300ms"
[demand]
rate = 4.0
life = "4s"
[[types]]
name = "t"
setup_target = "300ms"
connect_timeout = "1s"
message_target = "60ms"
`

func (r *faultyNode) Start(no int, _ fleet.NodeConfig)         { r.world.NodeReady(no) }
func (r *faultyNode) Kill(int)                                 {}
func (r *faultyNode) Stop(int)                                 {}
func (r *faultyNode) Reload(int, fleet.NodeConfig)             {}
func (r *faultyNode) SetStarvation(int, float64)               {}
func (r *faultyNode) SetListening(int, bool)                   {}
func (r *faultyNode) ReceiveDatagram(int, int, []byte)         {}
func (r *faultyNode) SetPaused(int, bool)                      {}
func (r *faultyNode) SetDuplicate(int, fleet.NodeConfig, bool) {}
func (r *faultyNode) AdjustClock(int, int64, float64)          {}
func (r *faultyNode) Refused(c *fleet.Conn)                    { r.finish(c) }
func (r *faultyNode) Accept(c *fleet.Conn) bool                { r.pairs[c] = &pair{client: c}; return true }
func (r *faultyNode) after(us int64, do func())                { r.world.Schedule(r.world.Now()+us, do) }

func (r *faultyNode) Receive(c *fleet.Conn, b []byte) {
	p := r.pairs[c]
	if p == nil {
		return
	}
	if c == p.host {
		r.handleHostBytes(p, b)
		return
	}
	text := string(b)
	switch {
	case p.established && r.mode == "delayed line":
		r.after(1_200_000, func() { r.world.Write(p.host, b) })
	case p.established:
		r.world.Write(p.host, b)
	case text == "PING\r\n":
		r.world.Write(c, []byte("PONG\r\n"))
	case strings.HasPrefix(text, "OPEN ") && strings.Count(text, "\n") == 1 && strings.Contains(text, "c=t,"):
		p.line = text
		r.open(p)
	case r.mode != "bad client ignored" && strings.Contains(text, "\n"):
		r.world.Write(c, []byte("ERR\r\n"))
		r.world.Close(c)
	}
}

// open handles a client's line according to the mode.
func (r *faultyNode) open(p *pair) {
	switch r.mode {
	case "no answer":
		return
	case "closed without answer":
		r.world.Close(p.client)
		return
	case "forged receipt":
		r.world.Write(p.client, []byte("UP h-0.0.77\r\n"))
		return
	case "two answers":
		r.world.Write(p.client, []byte("BUSY\r\n"))
		r.after(100, func() { r.world.Write(p.client, []byte("UP h-0.0.1\r\n")) })
		return
	case "changed line":
		p.line = strings.Replace(p.line, " ", " x", 1)
	case "invented line":
		p.line = "HELLO\r\n"
	}
	r.dial(p, "host-0")
	if r.mode == "two open connects" {
		r.dial(p, "host-1")
	}
}

// dial connects a pair to a host.
func (r *faultyNode) dial(p *pair, to string) {
	p.host = r.world.Dial(0, to, nil)
	r.pairs[p.host] = p
	p.connects++
}

func (r *faultyNode) Connected(c *fleet.Conn) {
	if p := r.pairs[c]; p != nil {
		r.world.Write(c, []byte(p.line))
	}
}

// handleHostBytes handles the answer of a host.
func (r *faultyNode) handleHostBytes(p *pair, b []byte) {
	if !p.established && r.mode == "run twice" && p.connects == 1 { // the set-up has run, and is sent to another host
		r.world.Close(p.host)
		r.after(100_000, func() { r.dial(p, "host-1") })
		return
	}
	if !p.established && r.mode == "rejected after the set-up ran" {
		r.world.Close(p.host)
		r.world.Write(p.client, []byte("BUSY\r\n"))
		return
	}
	up := !p.established && strings.HasPrefix(string(b), "UP ")
	p.established = p.established || up
	r.world.Write(p.client, b)
	if up && r.mode == "disconnect" {
		r.after(500_000, func() {
			r.world.Close(p.client)
			r.world.Close(p.host)
		})
	}
	if up && r.mode == "crash" && !r.crashed {
		r.crashed = true
		r.after(1000, func() { r.world.NodeExited(0, "exit status 2") })
	}
}

// finish closes both connections of a pair when one side has ended.
func (r *faultyNode) finish(c *fleet.Conn) {
	p := r.pairs[c]
	if p == nil {
		return
	}
	end := func() {
		r.world.Close(p.client)
		if p.host != nil {
			r.world.Close(p.host)
		}
	}
	if r.mode == "late close" && c == p.host {
		r.after(1_500_000, end)
		return
	}
	if c == p.host && !p.established {
		r.world.Write(p.client, []byte("ERR\r\n"))
	}
	end()
}

func (r *faultyNode) PeerClosed(c *fleet.Conn) { r.finish(c) }
func (r *faultyNode) Reset(c *fleet.Conn)      { r.finish(c) }

// play plays the script against a faultyNode, with one text of the script replaced and another appended.
func play(t *testing.T, mode, more string, from, to string) *record.Run {
	t.Helper()
	s, err := scenario.Parse("planted.toml", []byte(strings.Replace(script, from, to, 1)+more))
	if err != nil {
		t.Fatal(err)
	}
	r := &faultyNode{mode: mode, pairs: map[*fleet.Conn]*pair{}}
	r.world = fleet.New(s, 1, r, fleet.Environment{Discovery: func(_, n int) string { return "discovery" }, LeadTime: 100_000})
	r.world.Begin()
	r.world.Advance(r.world.AnswerDeadline())
	return r.world.Record()
}

// TestEachRuleFindsItsBreach breaks each rule with a node that does nothing else wrong, and checks that the breach is
// reported.
func TestEachRuleFindsItsBreach(t *testing.T) {
	const crash = "\n[[faults]]\nat = \"2s\"\nkind = \"crash\"\nhosts = [\"h-0\"]\n"
	for _, c := range []struct {
		mode     string
		rule     rules.Rule
		more     string
		from, to string
	}{
		{mode: "no answer", rule: rules.FinalAnswer},
		{mode: "closed without answer", rule: rules.FinalAnswer},
		{mode: "forged receipt", rule: rules.FinalAnswer},
		{mode: "two answers", rule: rules.FinalAnswer},
		{mode: "two open connects", rule: rules.SingleEffect},
		{mode: "run twice", rule: rules.SingleEffect, from: "name = \"t\"", to: "name = \"t\"\neffect = \"once-only\""},
		{mode: "run twice", rule: rules.SingleEffect, from: "name = \"t\"", to: "name = \"t\"\neffect = \"referenced\"\nwindow = \"1ms\""},
		{mode: "rejected after the set-up ran", rule: rules.SingleEffect, from: "name = \"t\"", to: "name = \"t\"\neffect = \"once-only\""},
		{mode: "to a drained host", rule: rules.DrainObserved,
			more: "\n[[faults]]\nat = \"2s\"\nkind = \"drain\"\nhosts = [\"h-0\"]\nfor = \"30s\"\n"},
		{mode: "to a cold host", rule: rules.ColdHostSpared, from: "rate = 4.0", to: "rate = 40.0",
			more: "\n[[faults]]\nat = \"2s\"\nkind = \"crash\"\nhosts = [\"h-0\"]\nfor = \"500ms\"\n"},
		{mode: "disconnect", rule: rules.NoDisconnect},
		{mode: "delayed line", rule: rules.PromptLines},
		{mode: "late close", rule: rules.PromptClose, more: crash},
		{mode: "changed line", rule: rules.ValidLines},
		{mode: "invented line", rule: rules.ValidLines},
		{mode: "bad client ignored", rule: rules.BadClients,
			more: "\n[[demand.bad]]\nat = \"1s\"\nfor = \"2s\"\nrate = 5.0\nkind = \"garbage\"\n"},
		{mode: "crash", rule: rules.ProcessRuns},
	} {
		r := play(t, c.mode, c.more, c.from, c.to)
		broken := rules.Check(r)
		found := false
		for _, b := range broken {
			if b.Rule == c.rule {
				found = true
				if b.Flow != nil && !strings.Contains(b.Report(r), b.Flow.ID) {
					t.Errorf("%s: the report does not show the flow's timeline", c.mode)
				}
			}
		}
		if !found {
			t.Errorf("%s: no breach of %q is reported; %d other breaches", c.mode, c.rule, len(broken))
		}
	}
}

// TestNoBreachOfCorrectNode guards against a checker that reports breaches of a node that keeps all rules.
func TestNoBreachOfCorrectNode(t *testing.T) {
	r := play(t, "honest", "\n[[demand.bad]]\nat = \"1s\"\nfor = \"2s\"\nrate = 5.0\nkind = \"garbage\"\n", "", "")
	for _, b := range rules.Check(r) {
		t.Error(b.Report(r))
	}
	if n := r.Summarize().Answers["established"]; n < 20 {
		t.Errorf("%d flows established", n)
	}
}
