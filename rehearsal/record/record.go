// Package record holds what happened in a rehearsal: every flow with its timeline, what nodes were told of hosts,
// service by the second. It is written while a run goes on and read by the rule checker, the reports and the tests.
package record

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Kind is what an event of a flow is. Times are microseconds from the start of the run throughout.
type Kind uint8

const (
	Asked      Kind = iota // the client has sent the last byte of its line
	Sent                   // the first byte of a connect has left the node
	Came                   // its last byte has come to the host
	Ran                    // the host has done the set-up's work
	Said                   // the host answered; Text is its word
	Refused                // the connection to the host never came up
	Stopped                // the node gave the connect up, or ended the connection
	Lost                   // the host's side of the connection is gone, or was broken
	Answered               // the client has the node's answer; Text is the line
	Cut                    // the client's connection ended without a MOVE
	Moved                  // the client was told to come again
	Left                   // the client has ended its connection
	Held                   // a line was held back by the node for Value microseconds
	Unended                // the host had ended the connection; the client heard of it Value microseconds later
	Nonsense               // the host can't use the line: Text
	NodeKilled             // the node that held it was killed
)

var kindNames = [...]string{"asked", "sent", "came", "ran", "said", "refused", "stopped", "lost", "answered", "cut", "moved",
	"left", "held", "unended", "nonsense", "node killed"}

func (k Kind) String() string { return kindNames[k] }

// Event is one step of a flow.
type Event struct {
	At    int64
	Kind  Kind
	Host  int // where it concerns a connect; -1 else
	Try   int // number of the connect
	Text  string
	Value int64
}

// Flow is one connection asked for.
type Flow struct {
	ID        string
	Key       string
	Type      int
	Group     string // empty without one
	Node      int
	Zone      int
	Timeout   int64 // how long its client waits
	Again     bool
	Stood     bool // at its host before the run
	Crossed   bool // the host it was established at is in another zone than its node
	Events    []Event
	Receipts  []string // that hosts gave for it
	Connects  int
	Host      int // established at; -1 else
	Load      float64
	LifeLeft  int64 // that its client wanted still
	Establish int64 // from Asked to Answered; 0 until then
}

// Add puts an event to the flow's timeline.
func (f *Flow) Add(e Event) { f.Events = append(f.Events, e) }

// Find is the first event of a kind, or nil.
func (f *Flow) Find(k Kind) *Event {
	for i := range f.Events {
		if f.Events[i].Kind == k {
			return &f.Events[i]
		}
	}
	return nil
}

// Answer is established, rejected, aborted or, where none came, what became of the flow.
func (f *Flow) Answer() (word string, at int64) {
	asked := false
	for _, e := range f.Events {
		switch e.Kind {
		case Asked:
			asked = true
		case Answered:
			switch {
			case strings.HasPrefix(e.Text, "UP "):
				return "established", e.At
			case strings.HasPrefix(e.Text, "BUSY"):
				return "rejected", e.At
			}
			return "aborted", e.At
		case Cut:
			if !asked {
				return "unreached", e.At // its node took no connection
			}
			return "cut", e.At
		case Left:
			return "left", e.At
		case NodeKilled:
			return "killed", e.At
		}
	}
	return "none", 0
}

// Timeline is the flow's story, a line an event.
func (f *Flow) Timeline(hosts []Host) string {
	var b strings.Builder
	fmt.Fprintf(&b, "flow %s type %d node n-%d key %s, waits %d ms\n", f.ID, f.Type, f.Node, f.Key, f.Timeout/1000)
	for _, e := range f.Events {
		fmt.Fprintf(&b, "  %12.6f s  %-11v", float64(e.At)/1e6, e.Kind)
		if e.Host >= 0 && e.Host < len(hosts) {
			fmt.Fprintf(&b, " %s connect %d", hosts[e.Host].Name, e.Try)
		}
		if e.Text != "" {
			fmt.Fprintf(&b, " %q", e.Text)
		}
		if e.Value != 0 {
			fmt.Fprintf(&b, " %.3f ms", float64(e.Value)/1000)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// Host is what became of a host.
type Host struct {
	Name   string
	Zone   int
	FellAt int64 // 0: it did not fall over
	Most   float64

	ColdSent int       // connects that came to it while it was cold, and
	ColdMay  float64   // what the rule would have let pass since its last start
	Load     []float64 // over capacity, by second
}

// Told is that a node was told that a host drains or is gone, or that it is up again.
type Told struct {
	Node, Host int
	At         int64
	Up         bool
	Restart    bool // told by the list it started with
}

// Still is that a node's process was stopped for a while and then went on; To is 0 while it has not.
type Still struct {
	Node     int
	From, To int64
}

// BadClient is one that keeps no protocol, and what it was given.
type BadClient struct {
	Kind       string
	Node       int
	At         int64 // when it connected
	Within     int64 // it is owed an error or a close
	AnsweredAt int64 // 0: neither
	Excused    bool  // its node died, or the run ended before
	Served     bool  // it was given what only a flow is given
}

// Type is what a service type asks for.
type Type struct {
	Name                     string
	Target, Timeout, Message int64
	Benefit                  float64
	Effect, Scope            string
	Window                   int64
}

// Second is service in one second of a run, by type: benefit asked for and served.
type Second struct {
	Wanted, Served []float64
}

// Counts are of a whole run.
type Counts struct {
	Wishes, Tries, Connects, Probes, Moves, Breaks, Crossings, Wasted, Falls int
	Events                                                                   uint64
	Unsent                                                                   int     // connects of nodes that never came up; in virtual time only
	Datagrams, DatagramBytes                                                 int     // between nodes
	Work, WorkWasted                                                         float64 // of hosts, core-microseconds
}

// Run is one rehearsal.
type Run struct {
	Script     string
	Seed       uint64
	Length     int64
	Multiple   float64 // of what it can do, that pushes a cold host over
	Grace      int64
	Types      []Type
	Hosts      []Host
	Flows      []*Flow
	Told       []Told
	Bad        []BadClient
	Stills     []Still
	Seconds    []Second
	Counts     Counts
	Void       string // why a live run says nothing; empty where it does
	Notes      []string
	Late       string  // how late the machine was; live runs only
	Waited     float64 // of the nodes' time, for a core; live runs only
	NodePanics int
	NodeCPU    []float64 // seconds that each node's last process has used; live runs only
	Strange    []string  // what hosts were sent that no client sent
}

// Answers writes the final answers, a line a flow in the order of asking: id, type, node, connects with host, outcome
// and milliseconds, answer, when it came.
func (r *Run) Answers(w io.Writer) error {
	b := bufio.NewWriter(w)
	for _, f := range r.Flows {
		asked := int64(0)
		if e := f.Find(Asked); e != nil {
			asked = e.At
		}
		fmt.Fprintf(b, "%s %s n-%d %.3f", f.ID, r.Types[f.Type].Name, f.Node, float64(asked)/1000)
		for _, c := range f.attempts() {
			fmt.Fprintf(b, " %s:%s:%.3f", r.Hosts[c.host].Name, c.outcome, float64(c.duration)/1000)
		}
		word, at := f.Answer()
		fmt.Fprintf(b, " %s %.3f\n", word, float64(at)/1000)
	}
	return b.Flush()
}

type attempt struct {
	host     int
	outcome  string
	sentAt   int64
	duration int64
}

// attempts are the connects with how each came out: the first thing that settled it.
func (f *Flow) attempts() []attempt {
	var all []attempt
	settled := map[int]bool{}
	for _, e := range f.Events {
		if e.Kind == Sent || e.Kind == Refused && e.Try >= len(all) {
			for len(all) <= e.Try {
				all = append(all, attempt{host: e.Host, outcome: "open", sentAt: e.At})
			}
		}
		if e.Try >= len(all) || e.Host < 0 || settled[e.Try] {
			continue
		}
		outcome := ""
		switch e.Kind {
		case Said:
			outcome = strings.ToLower(e.Text)
		case Refused:
			outcome = "refused"
		case Stopped:
			outcome = "given-up"
		case Lost:
			outcome = "reset"
		}
		if outcome != "" {
			settled[e.Try] = true
			all[e.Try].outcome, all[e.Try].duration = outcome, e.At-all[e.Try].sentAt
		}
	}
	return all
}

// Figures sum a run up.
type Figures struct {
	Service    float64 // benefit served over benefit asked for
	Worst10    float64 // of any ten seconds on end
	WorstType  float64
	ByType     []float64
	Answers    map[string]int
	Setups     [][]int64 // by type, sorted: microseconds from the line to UP
	LateShare  []float64 // by type: set up after the target, of those set up
	PerFlow    float64   // connects a flow
	ProbesFlow float64
	Crossings  float64 // a flow
	Moves      float64 // a flow
}

// Sum computes a run's figures.
func (r *Run) Sum() Figures {
	s := Figures{Answers: map[string]int{}, Setups: make([][]int64, len(r.Types)), LateShare: make([]float64, len(r.Types))}
	wanted, served := make([]float64, len(r.Types)), make([]float64, len(r.Types))
	for _, sec := range r.Seconds {
		for t := range r.Types {
			wanted[t] += sec.Wanted[t]
			served[t] += sec.Served[t]
		}
	}
	s.WorstType, s.Worst10 = 1, 1
	for t := range r.Types {
		v := ratio(served[t], wanted[t])
		s.ByType = append(s.ByType, v)
		s.WorstType = min(s.WorstType, v)
	}
	s.Service = ratio(sum(served), sum(wanted))
	const window = 10
	if len(r.Seconds) < window {
		s.Worst10 = s.Service
	}
	for i := 0; i+window <= len(r.Seconds); i++ {
		w, v := 0.0, 0.0
		for _, sec := range r.Seconds[i : i+window] {
			w, v = w+sum(sec.Wanted), v+sum(sec.Served)
		}
		s.Worst10 = min(s.Worst10, ratio(v, w))
	}
	for _, f := range r.Flows {
		word, _ := f.Answer()
		s.Answers[word]++
		if word == "established" && !f.Stood {
			s.Setups[f.Type] = append(s.Setups[f.Type], f.Establish)
			if f.Establish > r.Types[f.Type].Target {
				s.LateShare[f.Type]++
			}
		}
	}
	for t := range s.Setups {
		slices.Sort(s.Setups[t])
		s.LateShare[t] = ratio(s.LateShare[t], float64(len(s.Setups[t])))
	}
	n := max(float64(len(r.Flows)), 1)
	s.PerFlow, s.ProbesFlow = float64(r.Counts.Connects)/n, float64(r.Counts.Probes)/n
	s.Crossings, s.Moves = float64(r.Counts.Crossings)/n, float64(r.Counts.Moves)/n
	return s
}

// Quantile is of sorted values; 0 where there are none.
func Quantile[T cmp.Ordered](sorted []T, q float64) (v T) {
	if len(sorted) == 0 {
		return v
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func ratio(x, of float64) float64 {
	if of == 0 {
		return 1
	}
	return x / of
}

func sum(all []float64) (total float64) {
	for _, v := range all {
		total += v
	}
	return total
}
