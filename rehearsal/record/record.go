// Package record holds what happened in a rehearsal: every flow with its timeline, what nodes learned of hosts, and the
// benefit served in each second. It is written during a run and read by the rule checker, the reports and the tests.
//
// Times are microseconds from the start of the run, durations microseconds.
package record

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// EventKind is the kind of an event of a flow.
type EventKind uint8

// Kinds of events.
const (
	RequestSent     EventKind = iota // the client has sent the last byte of its line
	ConnectSent                      // the first byte of a connect has left the node
	ConnectReceived                  // the last byte of a connect has reached the host
	SetupDone                        // the host has done the work of the set-up
	HostAnswered                     // the host has answered; Text is the first word
	ConnectRefused                   // the connection to the host was never established
	NodeClosed                       // the node has given up the connect, or closed its connection to the host
	HostClosed                       // the host has closed its connection to the node, or it broke
	Answered                         // the client has received the node's answer; Text is the line
	Disconnected                     // the client's connection was closed without a MOVE
	Moved                            // the client received a MOVE, so that it connects again
	ClientLeft                       // the client has closed its connection
	LineDelayed                      // the node delayed a line by Value microseconds
	CloseDelayed                     // the client saw the end of its connection Value microseconds after the host had closed it
	InvalidLine                      // the host cannot parse the line; Text says why
	NodeKilled                       // the node that held the flow was killed
)

var kindNames = [...]string{"asked", "sent", "came", "ran", "said", "refused", "stopped", "lost", "answered", "cut", "moved",
	"left", "held", "unended", "nonsense", "node killed"}

// String returns the name that timelines show.
func (k EventKind) String() string { return kindNames[k] }

// Event is one step of a flow.
type Event struct {
	At      int64
	Kind    EventKind
	Host    int // index of the host if it concerns a connect, otherwise -1
	Connect int // index of the connect within the flow
	Text    string
	Value   int64
}

// Flow is one request of a client for a connection.
type Flow struct {
	ID            string
	Key           string
	ServiceType   int    // index of its service type
	Group         string // empty without one
	Node          int    // index
	Zone          int    // index
	Timeout       int64  // how long its client waits for an answer
	Returning     bool   // its client was connected before
	Standing      bool   // it was established before the run began
	CrossesZones  bool   // the host where it was established is in another zone than its node
	Events        []Event
	Receipts      []string // receipts that hosts gave for it
	Connects      int
	Host          int // index of the host where it was established, otherwise -1
	Load          float64
	RemainingLife int64 // how much longer its client wanted the connection
	SetupTime     int64 // duration of the set-up, from the client's line to the answer; 0 until then
}

// AddEvent adds an event to the flow's timeline.
func (f *Flow) AddEvent(e Event) { f.Events = append(f.Events, e) }

// FirstEvent returns the first event of a kind, or nil.
func (f *Flow) FirstEvent(k EventKind) *Event {
	for i := range f.Events {
		if f.Events[i].Kind == k {
			return &f.Events[i]
		}
	}
	return nil
}

// Outcome returns the node's answer and its time: established, rejected or aborted. Without an answer it returns what
// happened instead: cut, left or killed, unreached if the node took no connection, or none.
func (f *Flow) Outcome() (outcome string, at int64) {
	asked := false
	for _, e := range f.Events {
		switch e.Kind {
		case RequestSent:
			asked = true
		case Answered:
			switch {
			case strings.HasPrefix(e.Text, "UP "):
				return "established", e.At
			case strings.HasPrefix(e.Text, "BUSY"):
				return "rejected", e.At
			}
			return "aborted", e.At
		case Disconnected:
			if !asked {
				return "unreached", e.At
			}
			return "cut", e.At
		case ClientLeft:
			return "left", e.At
		case NodeKilled:
			return "killed", e.At
		}
	}
	return "none", 0
}

// Timeline returns the flow's events as text, one a line.
func (f *Flow) Timeline(hosts []Host) string {
	var b strings.Builder
	fmt.Fprintf(&b, "flow %s type %d node n-%d key %s, waits %d ms\n", f.ID, f.ServiceType, f.Node, f.Key, f.Timeout/1000)
	for _, e := range f.Events {
		fmt.Fprintf(&b, "  %12.6f s  %-11v", float64(e.At)/1e6, e.Kind)
		if e.Host >= 0 && e.Host < len(hosts) {
			fmt.Fprintf(&b, " %s connect %d", hosts[e.Host].Name, e.Connect)
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

// Host is what happened to a host.
type Host struct {
	Name         string
	Zone         int
	CollapsedAt  int64   // when it was overloaded while cold; 0 if it was not
	PeakColdLoad float64 // its worst interval while cold, as a multiple of what it can do

	ColdConnects int       // connects that it got while it was cold
	ColdAllowed  float64   // connects that the rule would have allowed since its last start
	Load         []float64 // load over capacity, by second
}

// HostNotice says that a node has learned that a host drains or is gone, or that it is up again.
type HostNotice struct {
	Node, Host  int
	At          int64
	Up          bool
	InitialList bool // by the list that the node started with
}

// NodePause is an interval in which a node's process was stopped. To is 0 until it goes on.
type NodePause struct {
	Node     int
	From, To int64
}

// BadClient is a client that violates the protocol, with what it was given.
type BadClient struct {
	Kind         string
	Node         int
	At           int64 // when it connected
	AnswerWithin int64 // the node has to send an error or close within this duration
	AnsweredAt   int64 // when it did or the connection broke; 0 if neither
	Excused      bool  // its node was not running at AnsweredAt
	Served       bool  // it was given what only a flow is given
}

// ServiceType is a service type with its requirements.
type ServiceType struct {
	Name                                       string
	SetupTarget, ConnectTimeout, MessageTarget int64
	Benefit                                    float64
	Effect, Scope                              string
	Window                                     int64
}

// Second holds the benefit requested and served in one second of a run, by service type.
type Second struct {
	Requested, Served []float64
}

// Counts are the counts of a whole run.
type Counts struct {
	Clients        int // connections that clients wanted
	Flows          int // their requests, with retries
	Connects       int
	Probes         int
	Moves          int
	Disconnects    int // established flows that were closed without a MOVE
	Crossings      int // flows established in another zone than that of their node
	WastedSetups   int // set-ups whose connect had been given up
	Collapses      int // cold hosts that were overloaded
	Events         uint64
	FailedConnects int     // connects that failed before they were sent; in virtual time only
	Datagrams      int     // between nodes
	DatagramBytes  int     // between nodes
	Work           float64 // of hosts, core-microseconds
	WastedWork     float64 // of hosts, on wasted set-ups, core-microseconds
}

// Run is the record of one rehearsal.
type Run struct {
	Script           string
	Seed             uint64
	Length           int64
	CollapseMultiple float64 // load that overloads a cold host, as a multiple of what it can do
	DrainGrace       int64   // time in which a node may still use a host after learning that it drains
	Types            []ServiceType
	Hosts            []Host
	Flows            []*Flow
	Notices          []HostNotice
	BadClients       []BadClient
	Pauses           []NodePause
	Seconds          []Second
	Counts           Counts
	VoidReason       string    // why a live run is void; empty if it is valid
	NodeExits        []string  // unexpected ends of nodes
	LatenessText     string    // how late the machine was; live runs only
	CPUWaitShare     float64   // share of the nodes' time in which they waited for a core; live runs only
	NodePanics       int       // panics that nodes counted or died of
	NodeCPU          []float64 // CPU seconds of each node's last process; live runs only
	UnknownLines     []string  // lines that hosts received and no client sent
}

// WriteAnswers writes the final answers, one flow a line in the order of the requests: id, service type, node, time of the
// request, connects with host, outcome and duration, answer, time of the answer. Times are milliseconds.
func (r *Run) WriteAnswers(w io.Writer) error {
	b := bufio.NewWriter(w)
	for _, f := range r.Flows {
		asked := int64(0)
		if e := f.FirstEvent(RequestSent); e != nil {
			asked = e.At
		}
		fmt.Fprintf(b, "%s %s n-%d %.3f", f.ID, r.Types[f.ServiceType].Name, f.Node, float64(asked)/1000)
		for _, c := range f.attempts() {
			fmt.Fprintf(b, " %s:%s:%.3f", r.Hosts[c.host].Name, c.outcome, float64(c.duration)/1000)
		}
		outcome, at := f.Outcome()
		fmt.Fprintf(b, " %s %.3f\n", outcome, float64(at)/1000)
	}
	return b.Flush()
}

// attempt is one connect of a flow. Its duration is from sentAt to its outcome.
type attempt struct {
	host     int
	outcome  string
	sentAt   int64
	duration int64
}

// attempts returns the connects in order. The first event that decides a connect is its outcome; it is open before.
func (f *Flow) attempts() []attempt {
	var all []attempt
	settled := map[int]bool{}
	for _, e := range f.Events {
		if e.Kind == ConnectSent || e.Kind == ConnectRefused && e.Connect >= len(all) {
			for len(all) <= e.Connect {
				all = append(all, attempt{host: e.Host, outcome: "open", sentAt: e.At})
			}
		}
		if e.Connect >= len(all) || e.Host < 0 || settled[e.Connect] {
			continue
		}
		outcome := ""
		switch e.Kind {
		case HostAnswered:
			outcome = strings.ToLower(e.Text)
		case ConnectRefused:
			outcome = "refused"
		case NodeClosed:
			outcome = "given-up"
		case HostClosed:
			outcome = "reset"
		}
		if outcome != "" {
			settled[e.Connect] = true
			all[e.Connect].outcome, all[e.Connect].duration = outcome, e.At-all[e.Connect].sentAt
		}
	}
	return all
}

// Summary is the summary of a run.
type Summary struct {
	Service          float64        // benefit served over benefit requested
	Worst10          float64        // lowest service of any ten seconds in a row
	WorstType        float64        // lowest service of a service type
	ByType           []float64      // service by service type
	Answers          map[string]int // flows by their outcome
	SetupTimes       [][]int64      // sorted durations from the client's line to UP, by service type
	LateShare        []float64      // share of the set-ups that took longer than the target, by service type
	ConnectsPerFlow  float64        // connects a flow
	ProbesPerFlow    float64        // probes a flow
	CrossingsPerFlow float64        // crossings between zones a flow
	MovesPerFlow     float64        // moves a flow
}

// Summarize computes the summary of a run.
func (r *Run) Summarize() Summary {
	s := Summary{Answers: map[string]int{}, SetupTimes: make([][]int64, len(r.Types)), LateShare: make([]float64, len(r.Types))}
	wanted, served := make([]float64, len(r.Types)), make([]float64, len(r.Types))
	for _, sec := range r.Seconds {
		for t := range r.Types {
			wanted[t] += sec.Requested[t]
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
	const window = 10 // seconds
	if len(r.Seconds) < window {
		s.Worst10 = s.Service
	}
	for i := 0; i+window <= len(r.Seconds); i++ {
		w, v := 0.0, 0.0
		for _, sec := range r.Seconds[i : i+window] {
			w, v = w+sum(sec.Requested), v+sum(sec.Served)
		}
		s.Worst10 = min(s.Worst10, ratio(v, w))
	}
	for _, f := range r.Flows {
		outcome, _ := f.Outcome()
		s.Answers[outcome]++
		if outcome == "established" && !f.Standing {
			s.SetupTimes[f.ServiceType] = append(s.SetupTimes[f.ServiceType], f.SetupTime)
			if f.SetupTime > r.Types[f.ServiceType].SetupTarget {
				s.LateShare[f.ServiceType]++
			}
		}
	}
	for t := range s.SetupTimes {
		slices.Sort(s.SetupTimes[t])
		s.LateShare[t] = ratio(s.LateShare[t], float64(len(s.SetupTimes[t])))
	}
	n := max(float64(len(r.Flows)), 1)
	s.ConnectsPerFlow, s.ProbesPerFlow = float64(r.Counts.Connects)/n, float64(r.Counts.Probes)/n
	s.CrossingsPerFlow, s.MovesPerFlow = float64(r.Counts.Crossings)/n, float64(r.Counts.Moves)/n
	return s
}

// Quantile returns a quantile of sorted values, or 0 if there are none.
func Quantile[T cmp.Ordered](sorted []T, q float64) (v T) {
	if len(sorted) == 0 {
		return v
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// ratio returns the share of a part in a whole, or 1 if the whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

func sum(all []float64) (total float64) {
	for _, v := range all {
		total += v
	}
	return total
}
