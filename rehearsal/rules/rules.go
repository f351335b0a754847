// Package rules checks a rehearsal's record against the rules that a node must keep: the four of the design, and the
// protocol's own. It reads what happened and nothing that the node says of itself.
package rules

import (
	"fmt"
	"slices"
	"strings"

	"coursewinch/rehearsal/record"
)

// Rule is one that can be broken.
type Rule string

const (
	FinalAnswer    Rule = "one final answer"            // before the connect timeout, and nothing after it
	SingleEffect   Rule = "no effect twice"             // nor two connects of a flow at once
	DrainObserved  Rule = "drains kept"                 // nothing new to a host past the grace
	ColdHostSpared Rule = "no cold host pushed"         // by all nodes together
	NoDisconnect   Rule = "no cut without MOVE"         // of an established flow whose host still answers
	PromptLines    Rule = "no line held back"           // for over a second
	PromptClose    Rule = "ended flows end"             // within a second of their host's end, 7 s of its silence
	ValidLines     Rule = "hosts can read it"           // lines go on as they came
	BadClients     Rule = "bad clients are turned away" // with an error or a close, in time
	ProcessRuns    Rule = "the node goes on"            // no crash, no panic
)

// All are the rules, in the order in which breaches are told.
var All = []Rule{FinalAnswer, SingleEffect, DrainObserved, ColdHostSpared, NoDisconnect, PromptLines, PromptClose, ValidLines, BadClients, ProcessRuns}

// TimeTolerance is what a run on sockets has besides each time limit, microseconds.
const TimeTolerance = 50_000

// Breach is one rule broken once.
type Breach struct {
	Rule Rule
	Text string
	Flow *record.Flow // nil where it is none's
}

// Report tells a breach with the timeline of its flow.
func (b Breach) Report(r *record.Run) string {
	text := fmt.Sprintf("broken: %s: %s\n", b.Rule, b.Text)
	if b.Flow != nil {
		text += b.Flow.Timeline(r.Hosts)
	}
	return text
}

// checker gathers breaches.
type checker struct {
	run      *record.Run
	notices  map[[2]int][]record.Told // by node and host, in order
	breaches []Breach
}

// Check gives every breach of a run, by rule and then in the order of flows.
func Check(r *record.Run) []Breach {
	c := &checker{run: r, notices: map[[2]int][]record.Told{}}
	for _, t := range r.Told {
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
		if h.FellAt > 0 {
			c.add(ColdHostSpared, nil, "%s fell over at %.3f s", h.Name, float64(h.FellAt)/1e6)
		}
	}
	for _, text := range r.Strange {
		c.add(ValidLines, nil, "%s", text)
	}
	for _, b := range r.Bad {
		c.checkBadClient(b)
	}
	for _, text := range r.Notes {
		c.add(ProcessRuns, nil, "%s", text)
	}
	if r.NodePanics > 0 {
		c.add(ProcessRuns, nil, "%d panics", r.NodePanics)
	}
	slices.SortStableFunc(c.breaches, func(x, y Breach) int { return slices.Index(All, x.Rule) - slices.Index(All, y.Rule) })
	return c.breaches
}

func (c *checker) add(rule Rule, f *record.Flow, what string, args ...any) {
	c.breaches = append(c.breaches, Breach{rule, fmt.Sprintf(what, args...), f})
}

// wasPaused tells whether a node's process was stopped at some moment between two; a stopped process can do nothing in time.
func (c *checker) wasPaused(node int, from, to int64) bool {
	return slices.ContainsFunc(c.run.Stills, func(s record.Still) bool {
		return s.Node == node && s.From <= to && (s.To == 0 || s.To+TimeTolerance >= from)
	})
}

// answer: exactly one, in time. A flow whose client left first, or whose node was killed or stopped meanwhile, is excused.
func (c *checker) checkAnswer(f *record.Flow) {
	asked := f.Find(record.Asked)
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
		case record.Cut:
			if answers == 0 {
				c.add(FinalAnswer, f, "its connection ended with no answer")
				return
			}
		case record.Left:
			if answers == 0 {
				if e.At-asked.At >= f.Timeout && !c.wasPaused(f.Node, asked.At, e.At) {
					c.add(FinalAnswer, f, "no answer in %d ms", f.Timeout/1000)
				}
				return
			}
		}
	}
}

// connectState is one connect as it went.
type connectState struct {
	host             int
	sent, ended, ran int64
	open             bool
	mayHaveRun       bool // it may have run: the host has the whole line and did not turn it away
}

// effect: no two connects out at once; nothing run twice that must not be.
func (c *checker) checkEffect(f *record.Flow) {
	var all []connectState
	at := func(e record.Event) *connectState {
		for len(all) <= e.Try {
			all = append(all, connectState{host: e.Host})
		}
		return &all[e.Try]
	}
	runs := 0
	var first *connectState
	t := c.run.Types[f.Type]
	for _, e := range f.Events {
		switch e.Kind {
		case record.Sent:
			for i, o := range all {
				if o.open && i != e.Try {
					c.add(SingleEffect, f, "connect %d is sent while connect %d is out", e.Try, i)
				}
			}
			n := at(e)
			n.sent, n.open, n.host = e.At, true, e.Host
		case record.Stopped, record.Lost:
			n := at(e)
			n.open, n.ended = false, e.At
		case record.Said:
			if e.Text == "BUSY" {
				at(e).mayHaveRun = false
			}
		case record.Came:
			at(e).mayHaveRun = true
		case record.Ran:
			n := at(e)
			n.ran = e.At
			if runs++; runs == 1 {
				first = &connectState{host: e.Host, ran: e.At, sent: n.sent}
				continue
			}
			c.checkSecondRun(f, t, *first, *n)
		case record.Answered:
			if strings.HasPrefix(e.Text, "BUSY") && runs > 0 && (t.Effect == "once-only" || t.Effect == "referenced" && t.Scope != "all") {
				c.add(SingleEffect, f, "rejected though it ran: its client may do it twice")
			}
		}
	}
}

// checkSecondRun judges a second run.
func (c *checker) checkSecondRun(f *record.Flow, t record.Type, first, n connectState) {
	switch t.Effect {
	case "once-only":
		c.add(SingleEffect, f, "ran at %s and again at %s", c.run.Hosts[first.host].Name, c.run.Hosts[n.host].Name)
	case "referenced":
		if t.Scope == "zone" && c.run.Hosts[first.host].Zone != c.run.Hosts[n.host].Zone {
			c.add(SingleEffect, f, "ran again in another zone than that which knows it")
		} else if n.ran-first.ran > t.Window+TimeTolerance {
			c.add(SingleEffect, f, "ran again %d ms after, when nobody remembers", (n.ran-first.ran)/1000)
		}
	}
}

// drain: nothing new to a host later than the grace after its node was told.
func (c *checker) checkDrain(f *record.Flow) {
	for _, e := range f.Events {
		if e.Kind != record.Sent {
			continue
		}
		told := c.notices[[2]int{f.Node, e.Host}]
		since := int64(-1)
		for _, t := range told {
			switch {
			case t.At > e.At:
			case t.Up:
				since = -1
			case since < 0 || t.Restart:
				since = t.At
				for _, s := range c.run.Stills {
					if s.Node == f.Node && s.From <= since && since < s.To {
						since = s.To // it was told while stopped
					}
				}
			}
		}
		if since >= 0 && e.At-since > c.run.Grace+TimeTolerance {
			c.add(DrainObserved, f, "connect %d goes to %s %d ms after the node was told that it leaves", e.Try,
				c.run.Hosts[e.Host].Name, (e.At-since)/1000)
		}
	}
}

// protocol: what the sockets ask besides.
func (c *checker) checkProtocol(f *record.Flow) {
	up, away := false, false // established; its host or its client has ended it, or its node died
	for _, e := range f.Events {
		switch e.Kind {
		case record.Answered:
			up = up || strings.HasPrefix(e.Text, "UP ")
		case record.Lost, record.Left, record.NodeKilled, record.Moved:
			away = true
		case record.Cut:
			if up && !away {
				c.add(NoDisconnect, f, "cut off while its host still stood")
			}
		case record.Held:
			if c.wasPaused(f.Node, e.At-e.Value, e.At) {
				continue
			}
			c.add(PromptLines, f, "a line %s was held for %d ms", e.Text, e.Value/1000)
		case record.Unended:
			if c.wasPaused(f.Node, e.At-e.Value, e.At) {
				continue
			}
			if e.Text == "silent" {
				c.add(PromptClose, f, "nothing has come back for %d ms and it was not moved", e.Value/1000)
			} else {
				c.add(PromptClose, f, "ended %d ms after its host's end", e.Value/1000)
			}
		case record.Nonsense:
			c.add(ValidLines, f, "%s", e.Text)
		}
	}
}

func (c *checker) checkBadClient(b record.BadClient) {
	switch {
	case b.Served:
		c.add(BadClients, nil, "one of kind %s was served", b.Kind)
	case b.Excused:
	case b.AnsweredAt == 0 && c.run.Length-b.At > b.Within:
		c.add(BadClients, nil, "one of kind %s at n-%d had neither an error nor a close", b.Kind, b.Node)
	case b.AnsweredAt-b.At > b.Within+TimeTolerance:
		c.add(BadClients, nil, "one of kind %s at n-%d waited %d ms", b.Kind, b.Node, (b.AnsweredAt-b.At)/1000)
	}
}
