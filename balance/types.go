package balance

import (
	"cmp"
	"math/rand"
)

// Effect says what a second run of a flow of this service type would do.
type Effect uint8

const (
	Repeatable Effect = iota // may run again
	Referenced               // a repeat is known by its mark within Scope and Window
	OnceOnly                 // must never run twice
)

// Scope is the set of servers that drops the repeats of a referenced flow.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Outcome is how a connect or a probe ended.
type Outcome uint8

const (
	Completed   Outcome = iota // ran to its end
	Errored                    // the server answered with an error
	Saturated                  // turned away unseen: full or draining
	Overdue                    // no answer in time
	Unreachable                // no connection could be opened
	Severed                    // the connection broke
	Recalled                   // called off
	Superseded                 // never sent
)

// hadNoEffect tells the outcomes that prove that the flow had no effect.
func (o Outcome) hadNoEffect() bool { return o == Saturated || o == Unreachable || o == Superseded }

// Times are in microseconds throughout.

type ServiceType struct {
	SetupTarget   int64
	MessageTarget int64
	Effect        Effect
	Scope         Scope
	Window        int64
}

type Settings struct {
	Types        []ServiceType
	Nodes, Index int // how many nodes there are, and which of them this is
	Zone         int // of this node
	MaxConnects  int
	Probing      bool
	Peers        bool  // nodes may tell each other things
	Untold       bool  // nobody tells how long messages take at a server
	OnRequest    bool  // the server list must be asked for
	AskWithin    int64 // unasked for so long, a node is deemed told
	AskMost      int64 // between a call that failed and the next; 0: by the size of the fleet
	AskSpread    int64 // within which all nodes of a fleet that starts ask; 0: by its size
	MaxWait      int64 // that clients obey when told to come again later; 0 where they are not told
	ColdFrom     float64
	ColdTime     int64
	FallMultiple float64
	FallTime     int64  // sent more than that in so long, a cold server falls; 0 where nothing is said
	Bounds       Bounds // nil: nothing bounds the module but what it sees itself
}

// RefusedMost is the most that passes between a call for the list that was refused and the next.
func (s *Settings) RefusedMost() int64 {
	return cmp.Or(s.AskMost, max(min(watchSpreadPerNode*int64(s.Nodes), maxWatchBackoff), second))
}

// Balancer is what one node knows; Round in balance.go is the way in.
type Balancer struct {
	settings *Settings
	bounds   Bounds
	rng      *rand.Rand
	writer   Writer
	now      int64
	started  int64

	servers               []*Server // as the list names them
	ranking               []*Server // ranked, best first; those of this node's share before the rest
	subsetStride          int       // each so many servers of the list are in this node's share
	largeFleet            bool      // the share is one of ten and more, or was and is one of eight still
	rankingStale          bool
	unranked              bool               // fewer than two servers have been measured
	setupTimes            []Hist             // by service type
	allSetupTimes         Hist               // set-ups of all service types
	typeLoads             []Mean             // told, by service type
	loadsByKey            map[uint64]float64 // loads of keys that may come again
	shortestMessageTarget int64              // the shortest message target
	flowsPerServer        float64            // own flows on a server, of late

	watching              bool
	watchRequested        bool
	nextWatchAt           int64
	watchBeganAt          int64 // when the watch began
	refusals              int   // calls in a row
	nextReviewAt          int64 // when the servers must next be gone through
	nextProbeAt           int64 // and when the first probe is due
	alarmAt               int64
	displacedAt           int64     // when a flow last left as a stray
	reportPerLoad         float64   // reported load for each unit of own load
	meanReport            float64   // mean of what servers report
	unpublishedReports    []*Server // whose reports the other nodes have not been told
	sameGroupFlows        Mean      // other own flows of the group of a flow
	meanReportByZone      float64   // mean report if each place had its own home for each group
	zoneCount             float64
	unpublishedPlacements []Home // that the other nodes have not been told
	nextPublishAt         int64  // when they may next be told
	rejectedGroupFlows    int    // away: flows of groups, if sparse
	nextLogAt             int64
}

// Group is a set of flows that share work on a server. Hash is the same at every node.
type Group struct {
	Hash           uint64
	flowsOn        map[*Server]int
	flows          int               // flows of this node
	connects       int               // connects that it ever made for this group
	rejected       int               // flows of it that it turned away, if sparse
	crowdPerServer float64           // of it, in servers' flows, that comes to each home where all of it comes at once
	placements     map[*Server]int64 // where nodes said that they hold it, and when
}

// Home is a server that holds a group.
type Home struct {
	Group  *Group
	Server *Server
}

// Flow is one connection asked for by a client.
type Flow struct {
	Type     *ServiceType
	TypeNo   int
	Group    *Group // nil without one
	Hash     uint64 // of the flow's key; 0 without one
	Again    bool   // its client has come before: a retry, or after a break or a move
	Unsure   bool   // its node could not judge how long its set-up took
	Passed   bool   // its packets pass through and may land on another node
	Deadline int64  // the client's connect timeout
	Hint     float64
	Worth    float64 // benefit, where refusals weigh it; 0 counts as 1
	Tries    int     // connects made
	Ref      any     // the caller's own handle

	server        *Server // of the last connect
	connectAt     int64   // when it was made
	mayHaveRunOn  *Server // first server that may have run it
	mayHaveRunAt  int64
	failedServers []*Server
	open          bool
	moveRequested bool
	displaced     bool    // away from its group's homes, when flows were last to be moved
	load          float64 // work a second
	measured      bool
	index         int // in server.flows
}

// repeatTransitTime is kept back from the window in which repeats are known: the line of a further connect has to come within it.
const repeatTransitTime = 20_000

// SendBy is until when the line of a connect may be sent: a referenced flow that may have run goes on only while its
// repeats are known. Guards against a connect that was decided in time and comes up late.
func (f *Flow) SendBy() int64 {
	if f.mayHaveRunOn == nil || f.Type.Effect != Referenced {
		return never
	}
	return f.mayHaveRunAt + f.Type.Window - repeatTransitTime
}

// coldStartBudget are set-ups due from this node.
type coldStartBudget struct {
	accrued   float64
	nextSlot  float64 // the budget at which the next may be made
	updatedAt int64   // when it was worked out
}

// State is what the server list says.
type State uint8

const (
	Up State = iota
	Draining
	Removed
)

// Server is one entry of the server list and what this node has seen of it.
type Server struct {
	Zone, Cell int
	Hash       uint64
	State      State
	Size       float64
	Started    int64 // 0 for long ago
	Name       string
	Seen       bool // named by the list being read

	listed             bool
	inSubset           bool // in this node's share of the list
	latency            Hist
	rankLatency        int64 // latency the order goes by, refreshed as samples come
	flows              []*Flow
	load               float64 // own flows' work a second
	groupConnects      int     // connects ever made for flows with a group
	skipped            bool
	goodProbes         int // good probes in a row while skipped
	failedProbes       int // failed probes in a row
	failedSetups       int // failed set-ups in a row
	setupFailedAt      int64
	setupTriedAt       int64
	rampEnd            int64
	coldStart          coldStartBudget // set-ups due to it from this node while it is cold
	drawExponent       float64         // one over what it can bear by now, as large fleets draw groups' homes; 0 where they don't
	limitGrownAt       int64
	limitCutAt         int64
	loadLimit          float64 // own load it may hold, known once messages turn slow
	messageDelayAt     int64
	messageDelay       int64
	loadMovedAt        int64
	avoidedUntil       int64
	flowBrokeAt        int64 // when it broke an open flow last
	nextProbeAt        int64
	fastestProbe       int64 // probe of late
	probePending       bool
	reportedLoad       float64 // its load over what it can do, by its last report
	loadInReport       float64 // own load that is in it
	reportedAt         int64   // when that came; 0 for never
	unpublished        bool
	publishedSaturated bool // the other nodes heard last that it is full
}

// ListKind says what a list report is: List begins one, Entry follows for each server, then ListEnd.
type ListKind uint8

const (
	Changes ListKind = iota
	Whole
	Remembered
	Refused
)

// Writer takes the decisions of a round, in order.
type Writer interface {
	Connect(f *Flow, s *Server, timeout int64)
	Reject(f *Flow, wait int64)
	Abort(f *Flow)
	Move(f *Flow)
	Probe(s *Server)
	Tell(servers []*Server, homes []Home) // the other nodes, the servers' Busy and where groups are held
	Watch()
	Alarm(at int64)
	Trace(line string)
}

func (s *Server) add(f *Flow) {
	f.index = len(s.flows)
	s.flows = append(s.flows, f)
	s.load += f.load
	if f.Group != nil {
		if f.Group.flowsOn == nil {
			f.Group.flowsOn = map[*Server]int{}
		}
		f.Group.flowsOn[s]++
		f.Group.flows++
		f.Group.connects++
		s.groupConnects++
	}
}

func (s *Server) remove(f *Flow) {
	last := s.flows[len(s.flows)-1]
	s.flows[f.index] = last
	last.index = f.index
	s.flows = s.flows[:len(s.flows)-1]
	s.load = max(s.load-f.load, 0)
	if f.Group != nil {
		f.Group.flows--
		if f.Group.flowsOn[s]--; f.Group.flowsOn[s] <= 0 {
			delete(f.Group.flowsOn, s)
		}
	}
}

const hashMultiplier = 0x9e3779b97f4a7c15 // sets numbers that follow each other far apart

// hashFraction spreads the bits of a hash and gives a number from 0 to 1.
func hashFraction(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return float64((x^x>>33)>>11) / (1 << 53)
}

// Avoided tells whether a server gets no new flows for its own sake: it drains, is skipped, or is left out for a while.
func (s *Server) Avoided(now int64) bool {
	return s.State == Draining || s.skipped || now < s.avoidedUntil
}

// Busy is its load over what it can do, by its last report.
func (s *Server) Busy() float64 { return s.reportedLoad }

// Load is the load that its node counts for a flow, microseconds of work a second.
func (f *Flow) Load() float64 { return f.load }

// Held is the own load on a server, that of connects under way included.
func (s *Server) Held() float64 { return s.load }

// Flows is how many own flows are on a server, connects under way included.
func (s *Server) Flows() int { return len(s.flows) }

// WarmShare is the share of its size that a server can bear by now.
func (b *Balancer) WarmShare(s *Server) float64 { return b.warmShare(s) }

// benefit is what a flow's benefit counts for.
func (f *Flow) benefit() float64 { return cmp.Or(f.Worth, 1) }

// Bounds is what all nodes together allow this one. They say how much; which server takes a flow, whether it is tried
// again and what is refused is decided here, within them.
type Bounds interface {
	Odds(f *Flow) float64               // of a new flow to be placed at all
	Room(s *Server, f *Flow) float64    // the odds of a server to have room for a flow
	Retry(f *Flow, last *Server) bool   // whether the budget of further connects has one
	Excess(s *Server) float64           // own load that has to leave a server within a tenth of a second
	Wait(f *Flow, usual int64) int64    // after which the client of a refused flow is to come again; 0 for nothing said
	SlowProbes() bool                   // whether slow probes count as a sign of load there, and skip nobody here
	ProbeEvery(usual, most int64) int64 // how often a skipped server may be probed
	Granted(s *Server) bool             // whether a cold server may be sent a flow by the fleet's word, in place of its budget
}

// unbounded bounds nothing.
type unbounded struct{}

func (unbounded) Odds(*Flow) float64                 { return 1 }
func (unbounded) Room(*Server, *Flow) float64        { return 1 }
func (unbounded) Retry(*Flow, *Server) bool          { return true }
func (unbounded) Excess(*Server) float64             { return 0 }
func (unbounded) Wait(_ *Flow, usual int64) int64    { return usual }
func (unbounded) SlowProbes() bool                   { return false }
func (unbounded) ProbeEvery(usual, most int64) int64 { return usual }
func (unbounded) Granted(*Server) bool               { return false }
