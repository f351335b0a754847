package balance

import (
	"cmp"
	"math/rand"
)

// All times and durations of this package are in microseconds.

// Effect says what a second run of a flow of a service type would do.
type Effect uint8

const (
	Repeatable Effect = iota // the flow may run again
	Referenced               // servers recognise a repeat by its reference, within Scope and Window
	OnceOnly                 // the flow must never run twice
)

// Scope is the set of servers that recognise and drop the repeats of a referenced flow.
type Scope uint8

const (
	ScopeAll  Scope = iota // all servers
	ScopeZone              // the servers of one zone
	ScopeCell              // the servers of one cell
)

// Outcome is how a connect, an established flow or a probe ended.
type Outcome uint8

const (
	Completed   Outcome = iota // ran to its end
	Errored                    // the server answered with an error
	Saturated                  // the server turned it away before running it: it is full or draining
	Overdue                    // no answer in time
	Unreachable                // no connection could be opened
	Severed                    // the connection broke
	Recalled                   // called off by the node; for a probe: answered, with only a minimum of the time known
	Superseded                 // never sent
)

// hadNoEffect reports whether the outcome proves that the flow had no effect on the server.
func (o Outcome) hadNoEffect() bool {
	return o == Saturated || o == Unreachable || o == Superseded
}

// ServiceType holds what the settings say about one service type.
type ServiceType struct {
	SetupTarget   int64  // within which a flow is to be set up
	MessageTarget int64  // within which a message is to be delivered
	Effect        Effect // of a repeated flow
	Scope         Scope  // of referenced flows
	Window        int64  // for which repeats of referenced flows are recognised
}

// Settings are the settings that the balancer decides by.
type Settings struct {
	Types           []ServiceType
	Nodes, Index    int     // number of nodes, and the index of this one among them
	Zone            int     // of this node
	MaxConnects     int     // connects that a flow may take
	Probing         bool    // servers may be probed
	PeerMessages    bool    // nodes may send each other messages
	NoDelayReports  bool    // nothing reports how long messages take at a server
	OnRequest       bool    // the server list has to be requested
	AskWithin       int64   // a node that has not requested the list counts as informed of a change after this long
	MaxWatchBackoff int64   // longest wait between a failed list call and the next; 0 derives it from the number of nodes
	WatchSpread     int64   // time over which the nodes of a starting fleet spread their first list calls; 0 derives it
	MaxRetryAfter   int64   // longest retry delay that clients obey; 0 where they are sent none
	ColdFrom        float64 // share of its size that a server can carry when it has just started
	ColdTime        int64   // time in which a started server warms up to its full size
	FallMultiple    float64 // a cold server falls when it is sent this multiple of what it can carry
	FallTime        int64   // time over which FallMultiple counts; 0 where nothing is said
	Bounds          Bounds  // limits set by all nodes together; nil for none
}

// WatchBackoffLimit is the longest wait between a refused list call and the next.
func (s *Settings) WatchBackoffLimit() int64 {
	return cmp.Or(s.MaxWatchBackoff, max(min(watchSpreadPerNode*int64(s.Nodes), maxWatchBackoff), second))
}

// Balancer holds what one node knows and decides by. All input goes through Round.
type Balancer struct {
	settings *Settings
	bounds   Bounds
	rng      *rand.Rand
	writer   Writer
	now      int64
	started  int64

	servers               []*Server // in the order of the list
	ranking               []*Server // best first; the servers of this node's subset before all others
	subsetStride          int       // every subsetStride-th server of the sorted list is in this node's subset
	largeFleet            bool      // the stride is sparseMinStride or more, or has been and is still four fifths of it
	rankingStale          bool
	unranked              bool               // fewer than two servers have latency samples
	setupTimes            []Hist             // by service type
	allSetupTimes         Hist               // set-ups of all service types
	typeLoads             []Mean             // measured loads of flows, by service type
	loadsByKey            map[uint64]float64 // loads of flows whose client may return, by the hash of their key
	shortestMessageTarget int64
	flowsPerServer        float64 // own flows per server: a maximum that decays with each review

	watching              bool // a watch of the server list is open
	watchRequested        bool
	nextWatchAt           int64 // when the list is requested next
	watchBeganAt          int64
	refusals              int       // refused list calls in a row
	nextReviewAt          int64     // when the servers are reviewed next
	nextProbeAt           int64     // when the first probe is due
	alarmAt               int64     // alarm that was asked for; never if none is outstanding
	displacedAt           int64     // when a displaced flow was last moved
	reportPerLoad         float64   // rise of reported load for each unit of own load
	meanReport            float64   // mean of the servers' reported loads
	unpublishedReports    []*Server // servers whose reports the other nodes have not received
	sameGroupFlows        Mean      // number of other own flows in the group of a flow
	meanReportByZone      float64   // estimated mean report if each zone had its own servers for each group
	zoneCount             float64
	unpublishedPlacements []GroupPlacement // placements that the other nodes have not received
	nextPublishAt         int64            // earliest time of the next message to the other nodes
	rejectedGroupFlows    int              // flows with a group that were rejected; counted in a sparse fleet only
	nextLogAt             int64            // earliest time of the next log line
}

// Group is a set of flows that share work on a server. Its hash is the same at every node.
type Group struct {
	Hash           uint64
	flowsOn        map[*Server]int   // own flows by server
	flows          int               // own flows
	connects       int               // connects ever made for this group by this node
	rejected       int               // flows of this group that this node rejected; counted in a sparse fleet only
	burstPerServer float64           // flows at each preferred server if all of the group arrive at once, over a server's usual flows
	placements     map[*Server]int64 // servers that nodes reported to hold the group, and when they did
}

// GroupPlacement says that a server holds flows of a group.
type GroupPlacement struct {
	Group  *Group
	Server *Server
}

// Flow is one connection requested by a client.
type Flow struct {
	Type            *ServiceType
	TypeIndex       int     // index of Type in Settings.Types
	Group           *Group  // nil without one
	Hash            uint64  // of the flow's key; 0 without one
	Returning       bool    // the client has come before: a retry, or a return after a break or a move
	SetupTimeUnsure bool    // the node could not measure reliably how long the set-up took
	Passthrough     bool    // its packets pass through this node and may reach another node later
	Deadline        int64   // when the client's connect timeout ends
	LoadHint        float64 // load that the client announced; 0 for none
	Benefit         float64 // benefit, where rejections are weighed by it; 0 counts as 1
	Connects        int     // connects made
	Ref             any     // the caller's own handle

	server        *Server   // of the last connect
	connectAt     int64     // when the last connect was made
	mayHaveRunOn  *Server   // first server that may have run the flow
	mayHaveRunAt  int64     // when that connect was made
	failedServers []*Server // not tried again
	open          bool
	moveRequested bool
	displaced     bool    // was away from the preferred servers of its group at the last call of moveLoad
	load          float64 // microseconds of work a second
	measured      bool    // load was measured, not estimated
	index         int     // in server.flows
}

// SendBy is the time until which the line of a connect may be sent. A referenced flow that may have run can be tried
// again only while its repeats are recognised. This guards against a connect that was decided in time and opens late.
func (f *Flow) SendBy() int64 {
	if f.mayHaveRunOn == nil || f.Type.Effect != Referenced {
		return never
	}
	return f.mayHaveRunAt + f.Type.Window - repeatTransitTime
}

// Load is the load that this node counts for the flow, in microseconds of work a second.
func (f *Flow) Load() float64 { return f.load }

// benefit is the flow's benefit, 1 if none is set.
func (f *Flow) benefit() float64 { return cmp.Or(f.Benefit, 1) }

// coldStartBudget paces the connects of this node to one cold server.
type coldStartBudget struct {
	accrued   float64 // connects allowed so far
	nextSlot  float64 // value of accrued from which the next connect may be made
	updatedAt int64   // when accrued was last updated
}

// State is what the server list says of a server.
type State uint8

const (
	Up       State = iota // takes flows
	Draining              // takes no new flows
	Removed               // no longer in the list
)

// Server is one entry of the server list and what this node has observed of it.
type Server struct {
	Zone, Cell int
	Hash       uint64
	State      State
	Size       float64 // capacity relative to other servers
	Started    int64   // 0 if it started long ago
	Name       string
	SeenInList bool // named by the list that is being read

	listed             bool
	inSubset           bool  // in this node's subset of the list
	latency            Hist  // of set-ups and probes
	rankLatency        int64 // median latency, by which the ranking is ordered
	flows              []*Flow
	load               float64 // load of own flows, in microseconds of work a second
	groupConnects      int     // connects ever made for flows with a group
	skipped            bool    // gets no flows until enough probes in a row succeed
	goodProbes         int     // successful probes in a row
	failedProbes       int     // failed probes in a row
	failedSetups       int     // failed set-ups in a row
	setupFailedAt      int64
	setupTriedAt       int64           // when a set-up last succeeded or failed
	rampEnd            int64           // when the ramp after a recovery ends
	coldStart          coldStartBudget // connects from this node while the server is cold
	drawExponent       float64         // for hashAffinity: in a sparse fleet one over its present capacity, otherwise 1; 0 if not set yet
	limitGrownAt       int64
	limitCutAt         int64
	loadLimit          float64 // own load that it may hold; set once messages turn slow
	messageDelayAt     int64   // when messages last turned out slow
	messageDelay       int64   // time that messages take there while they are slow; 0 otherwise
	loadMovedAt        int64   // when load was last moved off it because of slow messages
	avoidedUntil       int64
	flowBrokeAt        int64 // when an open flow on it last broke
	nextProbeAt        int64
	fastestProbe       int64 // shortest recent probe; rises slowly
	probePending       bool
	reportedLoad       float64 // load over capacity, by its last report
	loadInReport       float64 // own load that this report includes
	reportedAt         int64   // when the report came; 0 for never
	unpublished        bool    // its report is to be published
	publishedSaturated bool    // the last published report said that it is saturated
}

// Avoided reports whether a server gets no new flows because of its own state: it is draining, skipped or avoided for a
// while.
func (s *Server) Avoided(now int64) bool {
	return s.State == Draining || s.skipped || now < s.avoidedUntil
}

// ReportedLoad is the server's load over its capacity, by its last report.
func (s *Server) ReportedLoad() float64 { return s.reportedLoad }

// OwnLoad is the load of this node's flows on a server, including connects in progress.
func (s *Server) OwnLoad() float64 { return s.load }

// OwnFlows is the number of this node's flows on a server, including connects in progress.
func (s *Server) OwnFlows() int { return len(s.flows) }

func (s *Server) add(f *Flow) {
	f.index = len(s.flows)
	s.flows = append(s.flows, f)
	s.load += f.load
	if f.Group == nil {
		return
	}
	if f.Group.flowsOn == nil {
		f.Group.flowsOn = map[*Server]int{}
	}
	f.Group.flowsOn[s]++
	f.Group.flows++
	f.Group.connects++
	s.groupConnects++
}

func (s *Server) remove(f *Flow) {
	last := s.flows[len(s.flows)-1]
	s.flows[f.index] = last
	last.index = f.index
	s.flows = s.flows[:len(s.flows)-1]
	s.load = max(s.load-f.load, 0)
	if f.Group == nil {
		return
	}
	f.Group.flows--
	f.Group.flowsOn[s]--
	if f.Group.flowsOn[s] <= 0 {
		delete(f.Group.flowsOn, s)
	}
}

// ListKind says what a report of the server list is. The balancer takes a report as a beginning, one entry for each
// server that it names, and an end.
type ListKind uint8

const (
	ListChanges    ListKind = iota // names the servers that changed
	ListComplete                   // names all servers; others are removed
	ListRemembered                 // known from before a restart or from the predecessor
	ListRefused                    // no list: the call failed
)

// Writer takes the decisions of a round, in order.
type Writer interface {
	// Connect opens a connection for the flow to the server and gives up after the timeout.
	Connect(f *Flow, s *Server, timeout int64)
	// Reject refuses the flow; its client may come again after wait, 0 leaves that open. Trying again is harmless.
	Reject(f *Flow, wait int64)
	// Abort refuses a flow that may have run and must not run again.
	Abort(f *Flow)
	// Move asks to move an open flow off its server.
	Move(f *Flow)
	// Probe sends a probe to the server.
	Probe(s *Server)
	// Publish publishes to the other nodes the reported loads of servers, and where groups are placed.
	Publish(servers []*Server, placements []GroupPlacement)
	// Watch requests the server list and its changes.
	Watch()
	// SetAlarm requests a round at this time; it replaces an alarm that was set before.
	SetAlarm(at int64)
	// Log logs one line.
	Log(line string)
}

// Bounds limits what one node may do by what all nodes together allow. It says how much; which server takes a flow,
// whether a flow is tried again and which flow is rejected is decided in this package, within those limits.
type Bounds interface {
	// AdmitProbability is the probability with which a new flow may be placed at all.
	AdmitProbability(f *Flow) float64
	// RoomProbability is the probability that the server has room for the flow.
	RoomProbability(s *Server, f *Flow) float64
	// AllowRetry reports whether the retry budget allows one more connect; last is the server of the connect before.
	AllowRetry(f *Flow, last *Server) bool
	// ExcessLoad is the own load that has to leave the server within a tenth of a second.
	ExcessLoad(s *Server) float64
	// RetryDelay is the delay after which the client of a rejected flow is to come again; 0 to say nothing.
	RetryDelay(f *Flow, usual int64) int64
	// SlowProbesShowLoad reports whether slow probes are taken as a sign of load there, and skip no server here.
	SlowProbesShowLoad() bool
	// ProbeInterval is the interval at which a skipped server may be probed.
	ProbeInterval(usual, most int64) int64
	// HasColdGrant reports whether the fleet grants a connect to a cold server, in place of this node's cold-start budget.
	HasColdGrant(s *Server) bool
}

// unbounded is the Bounds that limits nothing.
type unbounded struct{}

// AdmitProbability returns 1: every flow may be placed.
func (unbounded) AdmitProbability(*Flow) float64 { return 1 }

// RoomProbability returns 1: every server has room.
func (unbounded) RoomProbability(*Server, *Flow) float64 { return 1 }

// AllowRetry returns true: there is no retry budget.
func (unbounded) AllowRetry(*Flow, *Server) bool { return true }

// ExcessLoad returns 0: no load has to leave a server.
func (unbounded) ExcessLoad(*Server) float64 { return 0 }

// RetryDelay returns the usual delay.
func (unbounded) RetryDelay(_ *Flow, usual int64) int64 { return usual }

// SlowProbesShowLoad returns false: slow probes may skip a server.
func (unbounded) SlowProbesShowLoad() bool { return false }

// ProbeInterval returns the usual interval.
func (unbounded) ProbeInterval(usual, most int64) int64 { return usual }

// HasColdGrant returns false: the node's own cold-start budget applies.
func (unbounded) HasColdGrant(*Server) bool { return false }

// hashFraction mixes the bits of a hash and maps it to a number from 0 to 1.
func hashFraction(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return float64((x^x>>33)>>11) / (1 << 53)
}
