// Package node is one node of the balancer without its sockets and its clock: it is given bytes, ends and times,
// keeps flows, connections, probes and the watch on discovery, and carries out what package balance decides.
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
	"coursewinch/cluster/peers"
	"coursewinch/discovery"
	"coursewinch/lines"
	"coursewinch/settings"
)

// Net is what a node asks of the sockets. Nothing is told back within a call.
type Net interface {
	Dial(id uint64, to string, in, out *lines.Ring)
	Touch(id uint64) // the rings have changed: send, and read on
	Shut(id uint64)  // send what the ring holds, then end the sending
	Close(id uint64)
	Reset(id uint64)
	Part(id uint64)      // send what the ring holds and end in order, without the node: it forgets the id
	Gone(id uint64) bool // whether the other side has ended, also where that has not been told yet
	Room() int           // connections that may still be opened
}

const (
	ms                  = int64(1000)
	second              = 1000 * ms
	answerMargin        = 5 * ms      // kept back from a client's time, for the way to it
	firstLineTimeout    = 2500 * ms   // for a new connection to say what it wants, and for a line to come to its end
	maxPingsPerRead     = 16          // lines of one read that are answered before a flow
	lingerTimeout       = 2 * second  // for the other side to take the last bytes
	maxDrainedBytes     = 64 << 10    // bytes that a connection which has its last line may still send
	hostSilenceTimeout  = 5 * second  // a host that brings no line back for so long has lost its flow
	defaultAskWithin    = 10 * second // where the settings state no time
	messageTimeInterval = second      // how long messages take is told so often
	rejoinInterval      = 300 * ms    // a connection that stood before is tried so often
	reservedDescriptors = 8           // descriptors kept besides those that are owed to hosts
	shedAfterSilence    = 100 * ms    // a connection that has said nothing for so long may be shed
	shedAfterPing       = second      // one that asked PING and then nothing for so long
	defaultMaxGroups    = 4096        // where the limits say nothing
	defaultMaxIDs       = 8192
	maxLogKinds         = 64 // of log lines
	maxRedials          = 3  // where no descriptor was left: what others of the machine hold is not to be had by letting go
)

// Config is what a node is told at its start, besides the settings.
type Config struct {
	Discovery string
	Seed      int64
	Decide    func(*settings.Settings, int64) Decider // nil: the decision module
	Capture   Capture                                 // nil: none
	Admission admission.Limits                        // zero: every connection is taken
	Limits    Limits
	Tell      func([]byte) // sends a datagram to all other nodes; nil where they hear nothing
	Cluster   Cluster
}

// Capture takes what became of flows; it must not wait for anything.
type Capture interface {
	Flow(capture.Flow)
	End(capture.End)
	Load(capture.Load)
}

// Decider takes what comes in and writes its decisions to the writer given to Round, as package balance does. Another
// than the module serves comparison in rehearsals and nothing else.
type Decider interface {
	Round(now int64, in func(), out balance.Writer)
	List(balance.ListKind)
	Entry(s *balance.Server, state balance.State, size float64, started int64)
	ListEnd(balance.ListKind)
	Demand(*balance.Flow)
	Opened(*balance.Flow, *balance.Server)
	Established(f *balance.Flow, took int64)
	Ended(f *balance.Flow, s *balance.Server, end balance.Outcome, took int64, over bool)
	Expired(*balance.Flow)
	Reported(s *balance.Server, busy float64, own bool)
	Held(*balance.Group, *balance.Server)
	Load(f *balance.Flow, perSecond float64)
	Slow(s *balance.Server, us int64)
	Probed(s *balance.Server, end balance.Outcome, took int64)
	Tick()
}

// module is the decision module.
type module struct{ *balance.Balancer }

func (m module) Round(now int64, in func(), out balance.Writer) {
	m.Balancer.Round(now, func(*balance.Balancer) { in() }, out)
}

// Expired: the module keeps nothing for a flow whose client left.
func (module) Expired(*balance.Flow) {}

// host is one server and what is connected to it besides flows.
type host struct {
	balance.Server
	uid           string
	addr          string
	zoneName      string // as its list names it
	flowCount     int    // with a connection to it
	probe         *conn
	probeSpan     span     // of the probe that is out
	probeSentAt   int64    // when the probe that is out was sent; 0 when none is
	probeDeadline deadline // when it is given up
	probeUnsent   bool     // for want of a descriptor
	messageTimes  []int64  // by messages, since they were last told
	reported      messageReports
	pendingAges   []int64
	slowReported  bool
}

type group struct {
	balance.Group
	flowCount   int
	established bool // one of its flows was established
}

type role uint8

const (
	roleNew      role = iota // a client that has not said what it wants
	roleClient               // of a flow
	roleUpstream             // to the host of a flow
	roleProbe
	roleWatch
	roleClosing  // closed once the other side has the last bytes
	roleOperator // calls on the admin address
)

// conn is one connection, whichever side opened it.
type conn struct {
	id            uint64
	role          role
	in, out       lines.Ring
	flow          *flow
	host          *host
	up            bool
	midLine       bool // the last byte put into out does not end a line
	inputEnded    bool // the other side sends no more, and what it sent last may still be held here
	err           error
	timer         deadline
	shedQueue     *list.List // among those that may be shed
	queueElement  *list.Element
	queuedAt      int64 // when it came into that
	drainedBytes  int
	redials       int
	reader        discovery.Reader
	discoveryAddr string       // the address of discovery
	receivedAt    int64        // when it last sent something
	sentAt        int64        // when it last took something of what waits for it
	limitPrefix   netip.Prefix // its address, as limits of the fleet count it; invalid without one
	gatePrefix    netip.Prefix // its address, as the gate counts it; invalid without one
	requestedRev  int64        // told by it last
	stale         bool         // a watch that has missed a line
}

// flow is one client's wish for a connection.
type flow struct {
	balance.Flow
	id              uint64
	request         *lines.Open // until it is established
	client          *conn
	upstream        *conn // to the host
	host            *host
	group           *group
	connectAt       int64 // when the connect was made
	setupSpan       span
	connectTimeout  int64 // how long it may take
	stage           Stage
	rejoins         bool // came with its connection open: it goes to its host and through no choice
	ended           bool
	awaitsList      bool       // waits for the first list
	movePending     bool       // is to be moved as soon as a word of the node's own can go to its client
	lastWord        lines.Word // the host's word of parting
	unansweredSince int64      // the first line passed to the host that nothing came back for; 0 for none
	unansweredSpan  span       // of the first line that nothing came back for
	timer           deadline
	establishedAt   int64          // when it was established
	reportedLoad    float64        // its load by its host's last word
	record          *captureRecord // for the capture; nil without one
	nextLimit       int            // of the fleet's limits, that it has to pass next
	pendingKey      uint64         // the key of that limit for which it waits
	permits         []permit

	coldRequests int // grants for cold hosts that it has asked for
}

// Node is one node.
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
	hostsByShortHash map[uint32]*host  // by what peers call them
	peerHeldGroups   map[uint32]*host  // where others hold groups, by what they call these
	groupHashes      map[uint32]uint64 // groups met, by what peers call them
	hostList         []*host           // in the order in which they were first named
	recentIDs        recentIDs         // that clients gave
	groups           map[uint64]*group
	upstreamCount    int // connections to hosts for flows
	deadlines        deadlines
	dueNow           []*deadline
	tickAlarm        deadline
	messageTimeTimer deadline

	frontConn                              *conn     // the first that asked PING, of those that are here
	silentConns, pingedConns, closingConns list.List // clients that ask nothing: without a whole line, after PONG, after the last line
	roomTimer                              deadline
	logKinds                               map[string]*logKind
	lateness                               lateness
	acceptQuota                            acceptQuota
	limits                                 Limits
	admissionGate                          *admission.Gate // nil: every connection is taken
	activeProbes                           int             // probes out
	establishedCount                       int             // established flows
	capturedFlows                          uint64          // flows, for the capture

	pendingCall *conn // a call to discovery without a list yet
	callRefused bool  // a call was, since the last list
	watch       *conn // brings lists
	listAddr    string
	listRev     int64   // of the list held, as this address counts
	heldFlows   []*flow // that wait for the first list
	heldTimer   deadline
	startedAt   int64

	slowMessageTime  int64 // messages that take longer are told
	hostsReportTimes bool  // a host told how long messages take

	stopAt          int64 // when the node was told to stop; 0 before
	stopDeadline    int64
	drainAt         int64 // when it was told to drain; 0 when it isn't
	moveTimer       deadline
	stopAcceptTimer deadline // when it is next looked whether the door can be shut
	acceptStoppedAt int64    // when it was shut: nothing new is taken any more; 0 before
	operatorCalls   operatorQueues
	handover        handoverState
	cluster         *cluster // nil where the node goes by itself

	Count Counters
	Types []Tally // by service type
}

// New makes a node that knows the list it had last.
func New(given *settings.Settings, conf Config, net Net) *Node {
	copied := *given
	nodeSettings := &copied      // what is changed here belongs to this node
	if !nodeSettings.OnRequest { // over HTTP a list that is pushed on the wire must be asked for as well, and counts as told at once
		nodeSettings.Pushed, nodeSettings.OnRequest, nodeSettings.AskWithin, nodeSettings.AskSpread = true, true, defaultAskWithin, 1
		nodeSettings.AskMost = max(nodeSettings.Grace/2, 10*ms)
	}
	nodeSettings.Peers = nodeSettings.Peers && conf.Tell != nil
	nodeSettings.Untold = true // no line of the protocol tells how long messages take
	n := &Node{settings: nodeSettings, config: conf, net: net,
		rng: rand.New(rand.NewSource(conf.Seed + 1)), hosts: map[string]*host{}, hostsByShortHash: map[uint32]*host{}, peerHeldGroups: map[uint32]*host{}, groupHashes: map[uint32]uint64{}, groups: map[uint64]*group{},
		logKinds: map[string]*logKind{}, listAddr: conf.Discovery}
	n.Types = make([]Tally, len(nodeSettings.Types))
	n.limits = conf.Limits
	n.limits.Hosts, n.limits.Groups, n.limits.IDs = cmp.Or(n.limits.Hosts, defaultMaxHosts), cmp.Or(n.limits.Groups, defaultMaxGroups), cmp.Or(n.limits.IDs, defaultMaxIDs)
	n.recentIDs.limit = n.limits.IDs
	n.ringBudget = lines.NewBudget(n.limits.Wide)
	if conf.Admission.On() {
		n.admissionGate = admission.New(conf.Admission)
	}
	n.newCluster()
	if n.decider = (module{balance.New(&nodeSettings.Settings, conf.Seed)}); conf.Decide != nil {
		n.decider = conf.Decide(nodeSettings, conf.Seed)
	}
	n.slowMessageTime = nodeSettings.Types[0].MessageTarget / 3
	for _, t := range nodeSettings.Types {
		n.slowMessageTime = min(n.slowMessageTime, t.MessageTarget/3)
	}
	n.tickAlarm.run = n.decider.Tick
	n.messageTimeTimer.run = n.reportMessageTimes
	n.moveTimer.run = n.moveDueFlows
	n.stopAcceptTimer.run = n.stopAccepting
	n.heldTimer.run = n.releaseHeldFlows
	n.roomTimer.run = n.retryShedding
	n.handover.timer.run = n.handoverDue
	return n
}

// Begin is the first turn.
func (n *Node) Begin(now int64, known discovery.List) {
	n.startedAt = now
	n.Turn(now, func() {
		if n.handover.inherited != nil {
			n.restoreState()
		} else {
			n.listRev = known.Rev
			n.applyList(balance.Remembered, known)
		}
		n.deadlines.set(&n.messageTimeTimer, now+messageTimeInterval)
		if cluster := n.cluster; cluster != nil {
			if cluster.members != nil {
				cluster.members.Begin(now)
			}
			if cluster.leases != nil {
				cluster.leases.Begin(now)
			}
			n.deadlines.set(&cluster.timer, now+clusterInterval)
		}
	})
}

// Turn is one turn of the loop: in brings what came, then what is due is done, and the module decides. What its
// decisions lead to reaches it in the next turn, never within its own call.
func (n *Node) Turn(now int64, in func()) {
	n.now = now
	defer n.recoverPanic(nil)
	n.dueNow = n.deadlines.takeDue(now, n.dueNow[:0])
	n.updateCluster()
	n.decider.Round(now, func() {
		in()
		for _, d := range n.dueNow {
			if d.position == positionTaken { // neither called off nor set anew meanwhile
				d.position = 0
				n.runDeadline(d)
			}
		}
	}, n)
}

func (n *Node) runDeadline(d *deadline) {
	defer n.recoverPanic(nil)
	d.run()
}

// recoverPanic ends a panic at the connection that met it.
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
	defer func() { recover() }() // what the panic left behind may not be sound
	if f := c.flow; f != nil {
		n.endFlow(f, balance.Severed)
	}
	n.close(c)
}

// Next is when the next turn is due at the latest; ok is false when only events matter.
func (n *Node) Next() (at int64, ok bool) { return n.deadlines.next() }

// applyList takes in a list of hosts.
func (n *Node) applyList(kind balance.ListKind, update discovery.List) {
	n.decider.List(kind)
	for _, entry := range update.Entries {
		h := n.hosts[entry.UID]
		if h == nil && len(n.hosts) >= n.limits.Hosts {
			n.logThrottled("list_cut", "more hosts than are kept")
			continue
		}
		if h == nil {
			h = &host{uid: entry.UID, Server: balance.Server{Name: entry.UID, Hash: hash(entry.UID)}}
			h.probeDeadline.run = func() {
				if h.probeUnsent {
					n.probeFailed(h, balance.Saturated) // says nothing of the host
					return
				}
				n.probeFailed(h, balance.Overdue)
			}
			n.hosts[entry.UID] = h
			n.hostsByShortHash[peers.Short(h.Hash)] = h
			n.hostList = append(n.hostList, h)
		}
		if entry.Endpoint != "" && entry.Endpoint != h.addr {
			h.addr = entry.Endpoint
			n.closeProbe(h)
		}
		h.zoneName, h.Zone, h.Cell = entry.Zone, n.zoneNumber(entry.Zone), entry.Cell
		size := entry.Size
		if size <= 0 {
			size = 1
		}
		states := map[string]balance.State{"ready": balance.Up, "draining": balance.Draining}
		state, ok := states[entry.State]
		if !ok {
			state = balance.Removed
		}
		n.decider.Entry(&h.Server, state, size, entry.BootMs*ms)
	}
	n.decider.ListEnd(kind)
	n.forgetRemovedHosts()
	n.updateClusterHosts()
}

// register puts a connection into the table; its rings count as this node's.
func (n *Node) register(c *conn) uint64 {
	c.in.Of(n.ringBudget)
	c.out.Of(n.ringBudget)
	return n.conns.add(c)
}

// zoneNumber is the number of a zone. Those that the settings don't name are told apart as well, under 0: a repeat that is known
// within a zone only must not go to another of these.
func (n *Node) zoneNumber(name string) int {
	if no, ok := n.settings.Zones[name]; ok {
		return no
	}
	return -1 - int(hash(name)>>2)
}

// forgetRemovedHosts forgets hosts that have left the list and hold nothing of this node.
func (n *Node) forgetRemovedHosts() {
	kept := n.hostList[:0]
	for _, h := range n.hostList {
		if h.State == balance.Removed && h.flowCount == 0 && h.probeSentAt == 0 {
			n.closeProbe(h)
			delete(n.hosts, h.uid)
			continue
		}
		kept = append(kept, h)
	}
	clear(n.hostList[len(kept):])
	n.hostList = kept
}

// hash is FNV-1a, of what is named alike at every node.
func hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}
