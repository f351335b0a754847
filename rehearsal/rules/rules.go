// Package rules checks the record of a rehearsal against the rules that a node must keep: the four of the design and those
// of the protocol. It uses only what happened, and nothing that nodes report of themselves.
package rules

import (
	"fmt"
	"slices"
	"strings"

	"coursewinch/rehearsal/record"
)

// Rule is a rule that a node must keep. The text is shown in reports.
type Rule string

// The rules that Check knows.
const (
	// FinalAnswer: a flow has exactly one answer, before the connect timeout.
	FinalAnswer Rule = "one final answer"
	// SingleEffect: no set-up runs twice that must not, and no flow has two open connects.
	SingleEffect Rule = "no effect twice"
	// DrainObserved: a draining host gets no new flows after the grace period.
	DrainObserved Rule = "drains kept"
	// ColdHostSpared: no cold host is overloaded by all nodes together.
	ColdHostSpared Rule = "no cold host pushed"
	// NoDisconnect: no established flow whose host still answers is closed without a MOVE.
	NoDisconnect Rule = "no cut without MOVE"
	// PromptLines: no line is delayed for over a second.
	PromptLines Rule = "no line held back"
	// PromptClose: a flow is closed within a second after its host has closed it, and 7 s after the host fell silent.
	PromptClose Rule = "ended flows end"
	// ValidLines: lines reach hosts as clients sent them.
	ValidLines Rule = "hosts can read it"
	// BadClients: clients that violate the protocol get an error or a close in time.
	BadClients Rule = "bad clients are turned away"
	// ProcessRuns: the node neither crashes nor panics.
	ProcessRuns Rule = "the node goes on"
)

// All are the rules in the order of reports.
var All = []Rule{FinalAnswer, SingleEffect, DrainObserved, ColdHostSpared, NoDisconnect, PromptLines, PromptClose, ValidLines,
	BadClients, ProcessRuns}

// TimeTolerance is added to each time limit, for runs on real sockets, in microseconds.
const TimeTolerance = 50_000

// Breach is one breach of a rule.
type Breach struct {
	Rule Rule
	Text string       // what happened
	Flow *record.Flow // nil if it concerns no flow
}

// Report returns a breach as text, with the timeline of its flow.
func (b Breach) Report(r *record.Run) string {
	text := fmt.Sprintf("broken: %s: %s\n", b.Rule, b.Text)
	if b.Flow != nil {
		text += b.Flow.Timeline(r.Hosts)
	}
	return text
}

// checker collects the breaches of a run.
type checker struct {
	run      *record.Run
	notices  map[[2]int][]record.HostNotice // by node and host, in order of time
	breaches []Breach
}

// Check returns every breach of a run, by rule and then in the order of flows.
func Check(r *record.Run) []Breach {
	c := &checker{run: r, notices: map[[2]int][]record.HostNotice{}}
	for _, t := range r.Notices {
		at := [2]int{t.Node, t.Host}
		c.notices[at] = append(c.notices[at], t)
	}
	for _, f := range r.Flows {
		c.checkAnswer(f)
		c.checkEffect(f)
		c.checkDrain(f)
		c.checkProtocol(f)
	}
	for _, h := range r.Hosts {
		if h.CollapsedAt > 0 {
			c.add(ColdHostSpared, nil, "%s fell over at %.3f s", h.Name, float64(h.CollapsedAt)/1e6)
		}
	}
	for _, text := range r.UnknownLines {
		c.add(ValidLines, nil, "%s", text)
	}
	for _, b := range r.BadClients {
		c.checkBadClient(b)
	}
	for _, text := range r.NodeExits {
		c.add(ProcessRuns, nil, "%s", text)
	}
	if r.NodePanics > 0 {
		c.add(ProcessRuns, nil, "%d panics", r.NodePanics)
	}
	slices.SortStableFunc(c.breaches, func(x, y Breach) int { return slices.Index(All, x.Rule) - slices.Index(All, y.Rule) })
	return c.breaches
}

// add adds a breach. The flow may be nil.
func (c *checker) add(rule Rule, f *record.Flow, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{rule, fmt.Sprintf(format, args...), f})
}

// wasPaused tells whether a node's process was suspended at some time in an interval. A suspended process can do nothing
// in time.
func (c *checker) wasPaused(node int, from, to int64) bool {
	return slices.ContainsFunc(c.run.Pauses, func(s record.NodePause) bool {
		return s.Node == node && s.From <= to && (s.To == 0 || s.To+TimeTolerance >= from)
	})
}

// checkAnswer checks that a flow has exactly one answer, in time. A flow is excused if its client left first, or if its
// node was killed or suspended meanwhile.
func (c *checker) checkAnswer(f *record.Flow) {
	asked := f.FirstEvent(record.RequestSent)
	if asked == nil {
		return // its line never left the client
	}
	answers := 0
	for _, e := range f.Events {
		switch e.Kind {
		case record.NodeKilled:
			if answers == 0 {
				return
			}
		case record.Answered:
			if answers++; answers > 1 {
				c.add(FinalAnswer, f, "a second answer %q", e.Text)
			}
			if receipt, up := strings.CutPrefix(e.Text, "UP "); up && !slices.Contains(f.Receipts, receipt) {
				c.add(FinalAnswer, f, "served with %q, which no host gave", e.Text)
			}
			if late := e.At - asked.At - f.Timeout; late > TimeTolerance && !c.wasPaused(f.Node, asked.At, e.At) {
				c.add(FinalAnswer, f, "answered %d ms late", late/1000)
			}
		case record.Disconnected:
			if answers == 0 {
				c.add(FinalAnswer, f, "its connection ended with no answer")
				return
			}
		case record.ClientLeft:
			if answers == 0 {
				if e.At-asked.At >= f.Timeout && !c.wasPaused(f.Node, asked.At, e.At) {
					c.add(FinalAnswer, f, "no answer in %d ms", f.Timeout/1000)
				}
				return
			}
		}
	}
}

// connectState is the state of one connect.
type connectState struct {
	host             int
	sent, ended, ran int64
	open             bool
	mayHaveRun       bool // the host has the whole line and did not reject it
}

// checkEffect checks that a flow never has two open connects, and that no set-up runs twice that must not.
func (c *checker) checkEffect(f *record.Flow) {
	var connects []connectState
	connectOf := func(e record.Event) *connectState {
		for len(connects) <= e.Connect {
			connects = append(connects, connectState{host: e.Host})
		}
		return &connects[e.Connect]
	}
	runs := 0
	var first *connectState
	t := c.run.Types[f.ServiceType]
	for _, e := range f.Events {
		switch e.Kind {
		case record.ConnectSent:
			for i, other := range connects {
				if other.open && i != e.Connect {
					c.add(SingleEffect, f, "connect %d is sent while connect %d is out", e.Connect, i)
				}
			}
			n := connectOf(e)
			n.sent, n.open, n.host = e.At, true, e.Host
		case record.NodeClosed, record.HostClosed:
			n := connectOf(e)
			n.open, n.ended = false, e.At
		case record.HostAnswered:
			if e.Text == "BUSY" {
				connectOf(e).mayHaveRun = false
			}
		case record.ConnectReceived:
			connectOf(e).mayHaveRun = true
		case record.SetupDone:
			n := connectOf(e)
			n.ran = e.At
			if runs++; runs == 1 {
				first = &connectState{host: e.Host, ran: e.At, sent: n.sent}
				continue
			}
			c.checkSecondRun(f, t, *first, *n)
		case record.Answered:
			once := t.Effect == "once-only" || t.Effect == "referenced" && t.Scope != "all"
			if strings.HasPrefix(e.Text, "BUSY") && runs > 0 && once {
				c.add(SingleEffect, f, "rejected though it ran: its client may do it twice")
			}
		}
	}
}

// checkSecondRun checks whether the set-up of a flow was allowed to run a second time.
func (c *checker) checkSecondRun(f *record.Flow, t record.ServiceType, first, second connectState) {
	switch t.Effect {
	case "once-only":
		c.add(SingleEffect, f, "ran at %s and again at %s", c.run.Hosts[first.host].Name, c.run.Hosts[second.host].Name)
	case "referenced":
		if t.Scope == "zone" && c.run.Hosts[first.host].Zone != c.run.Hosts[second.host].Zone {
			c.add(SingleEffect, f, "ran again in another zone, where the repeat is not recognised")
		} else if second.ran-first.ran > t.Window+TimeTolerance {
			c.add(SingleEffect, f, "ran again %d ms later, after the repeat window", (second.ran-first.ran)/1000)
		}
	}
}

// checkDrain checks that nothing new goes to a host later than the grace period after its node has learned of the drain.
func (c *checker) checkDrain(f *record.Flow) {
	for _, e := range f.Events {
		if e.Kind != record.ConnectSent {
			continue
		}
		since := int64(-1) // when the node learned that the host leaves; below 0 if the host is up
		for _, notice := range c.notices[[2]int{f.Node, e.Host}] {
			switch {
			case notice.At > e.At:
			case notice.Up:
				since = -1
			case since < 0 || notice.InitialList:
				since = notice.At
				for _, s := range c.run.Pauses {
					if s.Node == f.Node && s.From <= since && since < s.To {
						since = s.To // the node was suspended and could not know before
					}
				}
			}
		}
		if since >= 0 && e.At-since > c.run.DrainGrace+TimeTolerance {
			c.add(DrainObserved, f, "connect %d goes to %s %d ms after the node learned that the host leaves", e.Connect,
				c.run.Hosts[e.Host].Name, (e.At-since)/1000)
		}
	}
}

// checkProtocol checks the other rules of the protocol: closes, delays and the form of lines.
func (c *checker) checkProtocol(f *record.Flow) {
	established := false
	ended := false // by its host or its client, by a MOVE, or with its node
	for _, e := range f.Events {
		switch e.Kind {
		case record.Answered:
			established = established || strings.HasPrefix(e.Text, "UP ")
		case record.HostClosed, record.ClientLeft, record.NodeKilled, record.Moved:
			ended = true
		case record.Disconnected:
			if established && !ended {
				c.add(NoDisconnect, f, "closed without a MOVE while its host still served it")
			}
		case record.LineDelayed:
			if c.wasPaused(f.Node, e.At-e.Value, e.At) {
				continue
			}
			c.add(PromptLines, f, "a line %s was held for %d ms", e.Text, e.Value/1000)
		case record.CloseDelayed:
			if c.wasPaused(f.Node, e.At-e.Value, e.At) {
				continue
			}
			if e.Text == "silent" {
				c.add(PromptClose, f, "nothing has come back for %d ms and it was not moved", e.Value/1000)
			} else {
				c.add(PromptClose, f, "ended %d ms after its host's end", e.Value/1000)
			}
		case record.InvalidLine:
			c.add(ValidLines, f, "%s", e.Text)
		}
	}
}

// checkBadClient checks what a client got that violated the protocol.
func (c *checker) checkBadClient(b record.BadClient) {
	switch {
	case b.Served:
		c.add(BadClients, nil, "one of kind %s was served", b.Kind)
	case b.Excused:
	case b.AnsweredAt == 0 && c.run.Length-b.At > b.AnswerWithin:
		c.add(BadClients, nil, "one of kind %s at n-%d had neither an error nor a close", b.Kind, b.Node)
	case b.AnsweredAt-b.At > b.AnswerWithin+TimeTolerance:
		c.add(BadClients, nil, "one of kind %s at n-%d waited %d ms", b.Kind, b.Node, (b.AnsweredAt-b.At)/1000)
	}
}
