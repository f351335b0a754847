// Package virtual plays a rehearsal in virtual time: the real node core, with its real parsers, on an emulated network.
// The same script and seed give the same run on every machine.
package virtual

import (
	"slices"

	"coursewinch/lines"
	"coursewinch/node"
	"coursewinch/rehearsal/fleet"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
	"coursewinch/settings"
)

// Times of a run, in microseconds.
const (
	startTimeOfDay = int64(1_700_000_000_000_000) // time of day at the start of a run, since 1970
	leadTime       = int64(3_000_000)             // before the first client, as in live play: nodes probe idle hosts in it
	minIteration   = int64(1)                     // least duration of a loop iteration, so that time goes on if a node keeps asking for one
	timerStep      = int64(1000)                  // the loop waits for whole milliseconds
	never          = int64(1) << 62
)

// Sizes of a node's process.
const (
	maxCaptureBytes     = 1 << 30
	reservedDescriptors = 16 // descriptors for other things than sockets
)

// Options are the settings of a run besides its script.
type Options struct {
	// Seed replaces the script's seed unless it is 0.
	Seed uint64
	// Capture is the folder for captures. If it is empty, none are written.
	Capture string
	// NodeSeed changes the random sources of the nodes and nothing else.
	NodeSeed uint64
	// NewDecider makes the decider of a node from its settings and seed. If it is nil, the node's own balancer decides.
	NewDecider func(*settings.Settings, int64) node.Decider
	// OnSecond is called every virtual second, at a time in microseconds, with what each running node holds.
	OnSecond func(at int64, holdings map[int][]node.Holding)
	// Configure is called before a node is created and may change its configuration.
	Configure func(no int, set *settings.Settings, c *node.Config)
}

// player implements fleet.NodePlayer with nodes in virtual time.
type player struct {
	world      *fleet.World
	script     *scenario.Script
	options    Options
	nodes      []*emulatedNode
	duplicates map[int]*emulatedNode // second processes under a node's name
	err        error
	counters   node.Counters
}

// holdings returns what each running node holds now, by the node's number.
func (p *player) holdings() map[int][]node.Holding {
	all := map[int][]node.Holding{}
	for _, v := range p.nodes {
		if v.core != nil {
			all[v.index] = v.core.Holdings()
		}
	}
	return all
}

// Play plays a script to its end and returns the record of the run. It fails if a node's settings, list or capture file
// cannot be used.
func Play(s *scenario.Script, opt Options) (*record.Run, error) {
	seed := opt.Seed
	if seed == 0 {
		seed = s.Seed
	}
	p := &player{script: s, options: opt, duplicates: map[int]*emulatedNode{}}
	discovery := func(_, which int) string { return [2]string{"discovery-0", "discovery-1"}[which] }
	p.world = fleet.New(s, seed, p, fleet.Environment{Discovery: discovery, Epoch: startTimeOfDay, LeadTime: leadTime})
	for no := range s.NodeCount() {
		p.nodes = append(p.nodes, &emulatedNode{player: p, index: no, iterationAt: never})
	}
	p.world.Begin()
	for at := int64(0); p.err == nil && at < p.world.AnswerDeadline(); {
		at = min(at+1_000_000, p.world.AnswerDeadline())
		p.world.Advance(at)
		if opt.OnSecond != nil {
			opt.OnSecond(at, p.holdings())
		}
	}
	run := p.world.Record()
	for _, v := range p.nodes {
		v.collectCounters()
	}
	run.NodePanics = p.counters.Panics
	run.Counts.FailedConnects = p.counters.Connects - p.counters.RequestsSent
	return run, p.err
}

// fail keeps the first error of the run.
func (p *player) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

// inputKind is what happened to a socket.
type inputKind uint8

const (
	inputConnected inputKind = iota
	inputRefused
	inputBytes
	inputClosed
	inputReset
)

// input is an event of a socket that the node has not handled yet.
type input struct {
	socket *socket
	kind   inputKind
}

// socket is one connection as the node's machine has it.
type socket struct {
	id         uint64
	conn       *fleet.Conn
	node       *emulatedNode
	in, out    *lines.Ring // nil until the node accepts the connection
	generation int         // of the node, when the socket was opened
	dialing    bool
	closed     bool
	readClosed bool   // the node knows that the other side has closed
	queued     bool   // the inbox has an input for its bytes
	unread     []byte // received and not yet in the ring
}

// Start starts the process of a node.
func (p *player) Start(no int, conf fleet.NodeConfig) {
	p.nodes[no].start(conf)
	p.world.NodeReady(no)
}

// Kill ends the process of a node at once.
func (p *player) Kill(no int) { p.nodes[no].discardProcess() }

// SetListening does nothing: the emulated network knows which hosts listen.
func (p *player) SetListening(int, bool) {}

// Stop asks a node to stop, as SIGTERM does.
func (p *player) Stop(no int) {
	p.nodes[no].stopRequested = true
	p.nodes[no].scheduleNow()
}

// Reload gives a node its new configuration, of which only the address of discovery is read.
func (p *player) Reload(no int, conf fleet.NodeConfig) {
	p.nodes[no].newDiscovery = conf.Discovery
	p.nodes[no].scheduleNow()
}

// SetStarvation takes a share of a node's core.
func (p *player) SetStarvation(no int, share float64) { p.nodes[no].starvedShare = min(share, 0.999) }

// Accept puts a client's connection into the backlog of a node. It returns false if the backlog is full.
func (p *player) Accept(c *fleet.Conn) bool {
	v := p.nodes[c.Node]
	if len(v.backlog) >= p.script.Node.Backlog {
		return false // the operating system drops it
	}
	s := &socket{conn: c, node: v, generation: v.generation}
	c.PlayerState = s
	v.backlog = append(v.backlog, s)
	v.scheduleNow()
	return true
}

// enqueue adds an input for a connection. It does nothing if the node no longer has the connection.
func (p *player) enqueue(c *fleet.Conn, kind inputKind) {
	s, ok := c.PlayerState.(*socket)
	if !ok || s.closed || s.generation != s.node.generation {
		return
	}
	v := s.node
	v.inbox = append(v.inbox, input{s, kind})
	v.scheduleNow()
}

// Connected reports that a dialed connection is established.
func (p *player) Connected(c *fleet.Conn) { p.enqueue(c, inputConnected) }

// Refused reports that a dialed connection was refused.
func (p *player) Refused(c *fleet.Conn) { p.enqueue(c, inputRefused) }

// PeerClosed reports that the other side has closed a connection.
func (p *player) PeerClosed(c *fleet.Conn) { p.enqueue(c, inputClosed) }

// Reset reports that a connection was reset.
func (p *player) Reset(c *fleet.Conn) { p.enqueue(c, inputReset) }

// Receive delivers bytes of the other side.
func (p *player) Receive(c *fleet.Conn, b []byte) {
	s, ok := c.PlayerState.(*socket)
	if !ok || s.closed {
		return
	}
	s.unread = append(s.unread, b...)
	if !s.queued {
		s.queued = true
		p.enqueue(c, inputBytes)
	}
}

// hasUnreportedEnd tells whether the inbox has the end of a socket that the node does not know of yet.
func (v *emulatedNode) hasUnreportedEnd(s *socket) bool {
	return slices.ContainsFunc(v.inbox, func(i input) bool {
		return i.socket == s && (i.kind == inputClosed || i.kind == inputReset)
	})
}
