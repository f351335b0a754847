// Package node implements one node of the balancer without its sockets and its clock. The event loop passes in received
// bytes, closed connections and the current time. The node keeps flows, connections, probes and the discovery watch, and
// carries out the decisions of package balance.
//
// All times and durations are in microseconds unless a name or comment says otherwise.
package node

import (
	"cmp"
	"container/list"
	"fmt"
	"math/rand"
	"net/netip"

	"coursewinch/admission"
	"coursewinch/balance"
	"coursewinch/capture"
	"coursewinch/discovery"
	"coursewinch/lines"
	"coursewinch/settings"
)

// Net is the socket layer that a node uses. No method calls back into the node before it returns.
type Net interface {
	// Dial opens a connection to an address and sends and receives through the two rings.
	Dial(id uint64, to string, in, out *lines.Ring)
	// RingsChanged reports that the rings have changed: there may be bytes to send and room to read.
	RingsChanged(id uint64)
	// CloseWrite sends what the output ring holds and then closes the sending side.
	CloseWrite(id uint64)
	// Close closes the connection at once.
	Close(id uint64)
	// Reset aborts the connection so that the other side sees an error.
	Reset(id uint64)
	// CloseDetached sends what the output ring holds and closes the connection in order without involving the node, which
	// forgets the id.
	CloseDetached(id uint64)
	// PeerClosed reports whether the other side has closed the connection, even if Ended has not been called for it yet.
	PeerClosed(id uint64) bool
	// Room returns how many more connections may be opened.
	Room() int
}

// Units of time, in microseconds.
const (
	ms     = int64(1000)
	second = 1000 * ms
)

// Timeouts, margins and intervals.
const (
	answerMargin        = 5 * ms      // kept back from a client's connect timeout for the answer's way to the client
	firstLineTimeout    = 2500 * ms   // for a new client to send its first line, and for a started line to be completed
	lingerTimeout       = 2 * second  // for the other side to read the last bytes
	hostSilenceTimeout  = 5 * second  // a host that answers a line with nothing for this long has lost its flow
	defaultAskWithin    = 10 * second // Settings.AskWithin where lists are pushed, for which the settings give none
	messageTimeInterval = second      // between two reports of message times to the decision module
	rejoinInterval      = 300 * ms    // between two connects of a rejoining flow
	shedAfterSilence    = 100 * ms    // a client that has sent no whole line, or been sent its last one, may be shed after this time
	shedAfterPing       = second      // a client that has sent nothing since its PING may be shed after this time
)

// Limits and defaults of counts.
const (
	maxPingsPerRead     = 16       // PING lines answered in one read
	maxDrainedBytes     = 64 << 10 // bytes discarded from a connection that has been sent its last line; with more it is closed
	reservedDescriptors = 8        // descriptors kept free besides those owed to flows and probes
	defaultMaxGroups    = 4096     // where Limits.Groups is 0
	defaultMaxIDs       = 8192     // where Limits.IDs is 0
	maxLogKinds         = 64       // kinds of throttled log lines
	maxRedials          = 3        // of one connection; shedding does not help where other processes hold all descriptors
)

// Config configures a node besides its settings.
type Config struct {
	Discovery  string                                  // address of discovery
	Seed       int64                                   // of all random sources of the node
	NewDecider func(*settings.Settings, int64) Decider // makes the decider; nil selects the decision module
	Capture    Capture                                 // records flows; nil records nothing
	Admission  admission.Limits                        // zero accepts every connection
	Limits     Limits
	Broadcast  func([]byte) // sends a datagram to all other nodes; nil where they receive nothing
	Cluster    Cluster
}

// Capture records the outcomes of flows. Its methods must not block.
type Capture interface {
	Flow(capture.Flow) // a request and its answer
	End(capture.End)   // the end of an established flow
	Load(capture.Load) // a flow's load as reported by its host
}

// Decider receives what happens at the node and writes its decisions to a balance.Writer, as package balance does. Other
// implementations exist only for comparison in rehearsals.
type Decider interface {
	// Round runs in, which reports the events of a loop iteration by the other methods. Decisions are written to out while
	// in runs and after it.
	Round(now int64, in func(), out balance.Writer)
	// BeginList begins a report about the list of servers. Its kind may also be that a call for the list has failed.
	BeginList(balance.ListKind)
	// ListEntry reports a server of the list. started is when the server started; 0 if that is not known.
	ListEntry(s *balance.Server, state balance.State, size float64, started int64)
	// EndList ends the report that BeginList began. Servers that a complete list does not name are removed.
	EndList(balance.ListKind)
	// PlaceFlow reports a new flow, which needs a connection.
	PlaceFlow(*balance.Flow)
	// AdoptFlow reports an established flow that this decider has not placed: it has rejoined its server, or the
	// predecessor process has handed it over.
	AdoptFlow(*balance.Flow, *balance.Server)
	// Established reports that a flow's connect has succeeded.
	Established(f *balance.Flow, took int64)
	// Ended reports the end of a connect, or of an established flow. over is true if the flow has ended with it.
	Ended(f *balance.Flow, s *balance.Server, end balance.Outcome, took int64, over bool)
	// Expired reports that the node has ended a flow before it was established: its client has left or broken the
	// protocol, its time is over, or it has no permit any more. The flow may not have been placed yet. Where a connect is in
	// progress Ended follows, otherwise Expired may be called again.
	Expired(*balance.Flow)
	// LoadReported reports a server's load over its capacity. own is false if another node has passed the report on.
	LoadReported(s *balance.Server, busy float64, own bool)
	// PlacementReported reports that another node holds flows of a group at a server.
	PlacementReported(*balance.Group, *balance.Server)
	// LoadMeasured reports a flow's load in microseconds of work per second.
	LoadMeasured(f *balance.Flow, perSecond float64)
	// DelayMeasured reports how long messages take at a server, in microseconds.
	DelayMeasured(s *balance.Server, us int64)
	// Probed reports the end of a probe and how long it took.
	Probed(s *balance.Server, end balance.Outcome, took int64)
	// AlarmFired reports that the time has come that was set with the writer's SetAlarm.
	AlarmFired()
}

// module adapts the decision module to Decider.
type module struct{ *balance.Balancer }

// Round runs one round of the decision module.
func (m module) Round(now int64, in func(), out balance.Writer) {
	m.Balancer.Round(now, func(*balance.Balancer) { in() }, out)
}

// Expired does nothing: the module keeps no state for a flow whose client has left.
func (module) Expired(*balance.Flow) {}

// host is one server of the list and this node's probe connection to it.
type host struct {
	balance.Server
	uid           string
	addr          string
	zoneName      string // as named in the list
	flowCount     int    // flows with a connection to it
	probe         *conn  // kept open between probes
	probeSpan     span   // measures the outstanding probe
	probeSentAt   int64  // when the outstanding probe was sent; 0 for none
	probeDeadline deadline
	probeUnsent   bool    // the outstanding probe was not sent because no descriptor was free
	messageTimes  []int64 // measured since the last report
	reported      messageReports
	pendingAges   []int64 // ages of lines still without an answer
	slowReported  bool    // the last report to the decision module was over the threshold
}

// group is a group of flows as this node knows it.
type group struct {
	balance.Group
	flowCount   int
	established bool // one of its flows has been established
}

// role says what a connection is used for.
type role uint8

const (
	roleNew      role = iota // a client that has not sent its request
	roleClient               // the client of a flow
	roleUpstream             // the connection of a flow to its host
	roleProbe
	roleWatch    // the watch on discovery, or a call to it
	roleClosing  // closed once the other side has the last bytes
	roleOperator // a call on the admin address
)

// conn is one connection, opened by either side.
type conn struct {
	id              uint64
	role            role
	in, out         lines.Ring
	flow            *flow
	host            *host
	up              bool // the connection is open; false while it is being dialled
	midLine         bool // the last byte put into out does not end a line
	inputEnded      bool // the other side sends no more; its last bytes may still be in the ring
	err             error
	timer           deadline
	shedQueue       *list.List // the queue of connections that may be shed; nil when in none
	queueElement    *list.Element
	queuedAt        int64 // when it was put into shedQueue
	drainedBytes    int
	redials         int
	reader          discovery.Reader
	discoveryAddr   string
	receivedAt      int64        // when the other side last sent something
	sentAt          int64        // when the other side last read something
	limitPrefix     netip.Prefix // client address as counted by fleet limits; invalid where none needs it
	admissionPrefix netip.Prefix // client address as counted by admission control; invalid where it is not counted
	requestedRev    int64        // list version that a call to discovery asks to continue from; -1 for the whole list
	stale           bool         // a watch that missed a line
	awaitedCommand  uint64       // number of the operators' command whose confirmation a call waits for; 0 for none
}

// flow is one client's request for a connection and, once established, that connection.
type flow struct {
	balance.Flow
	id              uint64
	request         *lines.Open // nil once established
	client          *conn
	upstream        *conn // to the host
	host            *host
	group           *group
	connectAt       int64 // when the current connect was made
	setupSpan       span
	connectTimeout  int64 // of the current connect
	stage           Stage
	rejoins         bool // its connection was open before: it goes back to its host without a decision
	ended           bool
	awaitsList      bool             // waits for the first list
	movePending     bool             // is moved as soon as its client can be sent the MOVE line
	lastAnswer      lines.AnswerKind // BYE or MOVE once the host has sent it
	unansweredSince int64            // when the oldest line without an answer was passed to the host; 0 for none
	unansweredSpan  span             // measures that line
	timer           deadline
	establishedAt   int64
	reportedLoad    float64        // its load as last reported by its host
	record          *captureRecord // nil without a capture
	nextLimit       int            // index of the next fleet limit that it has to pass
	pendingKey      uint64         // key of the fleet limit whose answer it waits for
	permits         []permit

	coldRequests int // grants for cold hosts that it has requested
}

// Node is one node of the balancer. Its methods must be called from one goroutine.
type Node struct {
	settings         *settings.Settings
	config           Config
	net              Net
	decider          Decider
	rng              *rand.Rand
	now              int64
	conns            slots[conn]
	ringBudget       *lines.Budget
	flows            slots[flow]
	hosts            map[string]*host
	hostsByShortHash map[uint32]*host  // by the short hash that datagrams of other nodes use
	peerHeldGroups   map[uint32]*host  // hosts that hold groups for other nodes, by the group's short hash
	groupHashes      map[uint32]uint64 // full hashes of known groups, by short hash
	hostList         []*host           // in the order in which they were first listed
	recentIDs        recentIDs         // request ids given by clients
	groups           map[uint64]*group
	upstreamCount    int // connections of flows to hosts
	deadlines        deadlines
	dueNow           []*deadline
	alarm            deadline
	messageTimeTimer deadline

	frontConn        *conn     // of the open connections, the first that sent PING
	silentConns      list.List // clients without a whole line
	pingedConns      list.List // clients that have been sent PONG and asked for nothing else
	closingConns     list.List // clients that have been sent their last line
	roomTimer        deadline
	logKinds         map[string]*logKind
	lateness         lateness
	acceptQuota      acceptQuota
	limits           Limits
	admission        *admission.Controller // nil accepts every connection
	activeProbes     int
	establishedCount int
	capturedFlows    uint64

	pendingCall *conn // a call to discovery that has not brought a list yet
	callRefused bool  // discovery refused a call since the last list
	watch       *conn // the connection that brings lists
	listAddr    string
	listRev     int64   // version of the current list, valid for listAddr only
	heldFlows   []*flow // waiting for the first list
	heldTimer   deadline
	startedAt   int64

	slowMessageTime  int64 // longer message times are reported to the decision module
	hostsReportTimes bool  // a host has reported a message time

	stopAt          int64 // when Stop was called; 0 before
	stopDeadline    int64 // when a stopping node is done at the latest
	drainAt         int64 // when Drain was called; 0 while not drained
	moveTimer       deadline
	stopAcceptTimer deadline // next check whether accepting can stop
	acceptStoppedAt int64    // since when no connection is accepted; 0 before
	operatorCalls   operatorQueues
	commands        operatorCommands
	peerDrains      map[string]*peerDrain // by UID of the host
	peerDrainTimer  deadline
	handover        handoverState
	cluster         *cluster // nil where the node works alone

	Count   Counters
	Answers []Tally // answers by service type
}

// New returns a node for the given settings, which it copies.
func New(given *settings.Settings, conf Config, net Net) *Node {
	nodeSettings := ownSettings(given, conf)
	n := &Node{
		settings:         nodeSettings,
		config:           conf,
		net:              net,
		rng:              rand.New(rand.NewSource(conf.Seed + 1)),
		hosts:            map[string]*host{},
		hostsByShortHash: map[uint32]*host{},
		peerHeldGroups:   map[uint32]*host{},
		groupHashes:      map[uint32]uint64{},
		groups:           map[uint64]*group{},
		logKinds:         map[string]*logKind{},
		listAddr:         conf.Discovery,
	}
	n.Answers = make([]Tally, len(nodeSettings.Types))
	n.limits = conf.Limits
	n.limits.Hosts = cmp.Or(n.limits.Hosts, defaultMaxHosts)
	n.limits.Groups = cmp.Or(n.limits.Groups, defaultMaxGroups)
	n.limits.IDs = cmp.Or(n.limits.IDs, defaultMaxIDs)
	n.recentIDs.limit = n.limits.IDs
	n.ringBudget = lines.NewBudget(n.limits.Wide)
	if conf.Admission.Enabled() {
		n.admission = admission.New(conf.Admission)
	}
	n.newCluster()
	n.decider = module{balance.New(&nodeSettings.Settings, conf.Seed)}
	if conf.NewDecider != nil {
		n.decider = conf.NewDecider(nodeSettings, conf.Seed)
	}
	n.slowMessageTime = nodeSettings.Types[0].MessageTarget / 3
	for _, t := range nodeSettings.Types {
		n.slowMessageTime = min(n.slowMessageTime, t.MessageTarget/3)
	}
	n.alarm.run = n.decider.AlarmFired
	n.messageTimeTimer.run = n.reportMessageTimes
	n.moveTimer.run = n.moveDueFlows
	n.stopAcceptTimer.run = n.stopAccepting
	n.heldTimer.run = n.releaseHeldFlows
	n.roomTimer.run = n.retryShedding
	n.handover.timer.run = n.handoverDue
	n.peerDrainTimer.run = n.endPeerDrains
	n.handover.updates.retry.run = func() {} // the iteration that it causes sends the updates at its end
	return n
}

// ownSettings returns a copy of the settings, adjusted to what the wire protocol can carry.
func ownSettings(given *settings.Settings, conf Config) *settings.Settings {
	copied := *given
	s := &copied
	if !s.OnRequest {
		// Over HTTP a list that is pushed has to be requested as well. A change counts as known at once.
		s.ListsPushed = true
		s.OnRequest = true
		s.AskWithin = defaultAskWithin
		s.WatchSpread = 1
		s.MaxWatchBackoff = max(s.DrainGrace/2, 10*ms)
	}
	s.PeerMessages = s.PeerMessages && conf.Broadcast != nil
	s.NoDelayReports = true // no line of the protocol carries message times
	return s
}

// Begin runs the first loop iteration. known is the list that the node last had; a successor process starts from the
// state handed over instead.
func (n *Node) Begin(now int64, known discovery.List) {
	n.startedAt = now
	n.RunIteration(now, func() {
		if n.handover.inherited != nil {
			n.restoreState()
		} else {
			n.listRev = known.Rev
			n.applyList(balance.ListRemembered, known)
		}
		n.deadlines.set(&n.messageTimeTimer, now+messageTimeInterval)
		if cluster := n.cluster; cluster != nil {
			if cluster.members != nil {
				cluster.members.Start(now)
			}
			if cluster.leases != nil {
				cluster.leases.Start(now)
			}
			n.deadlines.set(&cluster.timer, now+clusterInterval)
		}
	})
}

// RunIteration runs one loop iteration: in delivers the events that have arrived, then due deadlines run, and the
// module decides. Consequences of its decisions reach the module in the next iteration, never within its own call.
func (n *Node) RunIteration(now int64, in func()) {
	n.now = now
	defer n.recoverPanic(nil)
	n.dueNow = n.deadlines.takeDue(now, n.dueNow[:0])
	n.updateCluster()
	n.decider.Round(now, func() {
		in()
		for _, d := range n.dueNow {
			if d.position == positionTaken { // neither cancelled nor set again meanwhile
				d.position = 0
				n.runDeadline(d)
			}
		}
	}, n)
	n.sendUpdates()
}

func (n *Node) runDeadline(d *deadline) {
	defer n.recoverPanic(nil)
	d.run()
}

// recoverPanic is deferred around the handling of one event. It confines a panic to the connection that caused it, which it
// closes; c is nil where no connection is involved.
func (n *Node) recoverPanic(c *conn) {
	p := recover()
	if p == nil {
		return
	}
	n.Count.Panics++
	n.logThrottled("panic", fmt.Sprint(p))
	if c == nil {
		return
	}
	defer func() { recover() }() // the panic may have left inconsistent state
	if f := c.flow; f != nil {
		n.endFlow(f, balance.Severed)
	}
	n.close(c)
}

// NextDeadline returns the time of the earliest deadline, when the next iteration must run at the latest. ok is false
// when there is none.
func (n *Node) NextDeadline() (at int64, ok bool) { return n.deadlines.next() }

// register adds a connection to the table and counts its rings against this node's budget. It returns the id.
func (n *Node) register(c *conn) uint64 {
	c.in.SetBudget(n.ringBudget)
	c.out.SetBudget(n.ringBudget)
	return n.conns.add(c)
}

// hash returns the FNV-1a hash of a name. All nodes must compute the same one.
func hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}
