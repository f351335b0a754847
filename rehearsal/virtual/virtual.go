// Package virtual plays a rehearsal in virtual time: the real node core, with its real parsers, over an emulated Net.
// The same script and seed give the same run on every machine.
package virtual

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"

	"coursewinch/admission"
	"coursewinch/capture"
	"coursewinch/discovery"
	"coursewinch/lines"
	"coursewinch/node"
	"coursewinch/rehearsal/fleet"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
	"coursewinch/settings"
)

const (
	startTimeOfDay      = int64(1_700_000_000_000_000) // the time of day at the start of a run, microseconds
	leadTime            = int64(3_000_000)             // before the first client, as in live play: nodes have probed idle hosts by then
	minIteration        = int64(1)                     // of a turn: guards against a node that asks for now, again and again
	timerStep           = int64(1000)                  // the loop's waits are whole milliseconds
	maxCaptureBytes     = 1 << 30
	reservedDescriptors = 16 // descriptors of a process besides its sockets
)

// Options are what a run may have besides its script.
type Options struct {
	Seed      uint64                                               // 0: the script's
	Capture   string                                               // folder for captures; empty: none are written
	NodeSeed  uint64                                               // changes the nodes' own chance and nothing else
	Decide    func(*settings.Settings, int64) node.Decider         // nil: the decision module
	Watch     func(at int64, holdings map[int][]node.Hold)         // called every virtual second
	Configure func(no int, set *settings.Settings, c *node.Config) // before a node is made
}

// player is the Nodes of a run.
type player struct {
	world      *fleet.World
	script     *scenario.Script
	options    Options
	nodes      []*vnode
	duplicates map[int]*vnode // second processes under a node's name
	err        error
	counters   node.Counters
}

// Holdings are what each running node holds now, by its number.
func (p *player) holdings() map[int][]node.Hold {
	all := map[int][]node.Hold{}
	for _, v := range p.nodes {
		if v.core != nil {
			all[v.index] = v.core.Holdings()
		}
	}
	return all
}

// Play plays a script to its end.
func Play(s *scenario.Script, opt Options) (*record.Run, error) {
	seed := opt.Seed
	if seed == 0 {
		seed = s.Seed
	}
	p := &player{script: s, options: opt, duplicates: map[int]*vnode{}}
	p.world = fleet.New(s, seed, p, fleet.Places{Discovery: func(_, which int) string { return [2]string{"discovery-0", "discovery-1"}[which] }, Epoch: startTimeOfDay, Lead: leadTime})
	for no := range s.NodeCount() {
		p.nodes = append(p.nodes, &vnode{player: p, index: no, iterationAt: never})
	}
	p.world.Begin()
	for at := int64(0); p.err == nil && at < p.world.End(); {
		at = min(at+1_000_000, p.world.End())
		p.world.Advance(at)
		if opt.Watch != nil {
			opt.Watch(at, p.holdings())
		}
	}
	run := p.world.Run()
	for _, v := range p.nodes {
		v.collectCounters()
	}
	run.NodePanics = p.counters.Panics
	run.Counts.Unsent = p.counters.Connects - p.counters.Asked
	return run, p.err
}

const never = int64(1) << 62

// vnode is one node with its sockets.
type vnode struct {
	player        *player
	index         int
	core          *node.Node
	generation    int // counted at each start
	clock         clock
	paused        bool
	pausedAt      int64 // when it was stopped; 0 when it has made a turn since
	sockets       []*socket
	openSockets   int // sockets open
	backlog       []*socket
	inbox         []input
	datagrams     []datagram
	iterationAt   int64
	busyUntil     int64   // its core is, until then
	lastCost      int64   // of the last turn
	starvedShare  float64 // share of its core that others take
	cost          float64 // of this turn so far
	stopRequested bool
	newDiscovery  string
	capture       *capture.Writer
}

type inputKind uint8

const (
	inputConnected inputKind = iota
	inputRefused
	inputBytes
	inputClosed
	inputReset
)

// input is something that came to a socket.
type input struct {
	socket *socket
	kind   inputKind
}

// socket is one connection as the node's machine has it.
type socket struct {
	id         uint64
	conn       *fleet.Conn
	node       *vnode
	in, out    *lines.Ring
	generation int
	dialing    bool
	closed     bool
	readClosed bool
	queued     bool   // in the inbox for its bytes
	unread     []byte // come and not read
}

// What reaches the nodes.

func (p *player) Start(no int, conf fleet.Conf) {
	p.nodes[no].start(conf)
	p.world.Ready(no)
}

// start begins a process.
func (v *vnode) start(conf fleet.Conf) {
	p, no := v.player, v.index
	set, err := settings.JSON([]byte(conf.Settings))
	if err != nil {
		p.fail(fmt.Errorf("settings of node n-%d: %w", no, err))
		return
	}
	known, err := discovery.ParseList([]byte(conf.Known))
	if err != nil {
		p.fail(fmt.Errorf("list of node n-%d: %w", no, err))
		return
	}
	v.discardProcess()
	conf.Seed ^= p.options.NodeSeed * 0x9e3779b97f4a7c15
	c := node.Config{Discovery: conf.Discovery, Seed: int64(conf.Seed >> 1), Decide: p.options.Decide}
	a := p.script.Node.Admission
	c.Admission = admission.Limits{PerAddress: a.PerAddress, Rate: a.Rate, Burst: a.Burst, Reserve: a.Reserve}
	c.Limits = node.Limits{Idle: p.script.Node.Holding.Idle.Us(), Stalled: p.script.Node.Holding.Stalled.Us()} // buffers are the process's
	if p.options.Capture != "" {
		file := filepath.Join(p.options.Capture, fmt.Sprintf("n-%d.%d.capture", no, v.generation))
		w, err := capture.Create(file, maxCaptureBytes, capture.Start{Node: conf.Name, Zone: set.Zone, At: startTimeOfDay + p.world.Now()})
		if err != nil {
			p.fail(err)
			return
		}
		v.capture, c.Capture = w, w
	}
	c.Cluster.Name = conf.Name
	v.configureCluster(&c, conf.Seed)
	if len(c.Cluster.Limits) > 0 {
		c.Admission.Rate, c.Admission.Burst = 0, 0 // the fleet keeps them
	}
	if p.options.Configure != nil {
		p.options.Configure(no, set, &c)
	}
	v.core = node.New(set, c, v)
	v.core.Begin(v.now(), known)
	v.scheduleNext()
}

func (p *player) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *player) Kill(no int)         { p.nodes[no].discardProcess() }
func (p *player) Listening(int, bool) {}

func (p *player) Stop(no int) {
	p.nodes[no].stopRequested = true
	p.nodes[no].scheduleNow()
}

func (p *player) Reload(no int, conf fleet.Conf) {
	p.nodes[no].newDiscovery = conf.Discovery
	p.nodes[no].scheduleNow()
}

func (p *player) Starve(no int, share float64) { p.nodes[no].starvedShare = min(share, 0.999) }

func (p *player) Arrive(c *fleet.Conn) bool {
	v := p.nodes[c.Node]
	if len(v.backlog) >= p.script.Node.Backlog {
		return false // the system drops it
	}
	s := &socket{conn: c, node: v, generation: v.generation}
	c.Ref = s
	v.backlog = append(v.backlog, s)
	v.scheduleNow()
	return true
}

// enqueue notes what came for a socket; nil when the node doesn't have it any more.
func (p *player) enqueue(c *fleet.Conn, w inputKind) *socket {
	s, ok := c.Ref.(*socket)
	if !ok || s.closed || s.generation != s.node.generation {
		return nil
	}
	v := s.node
	v.inbox = append(v.inbox, input{s, w})
	v.scheduleNow()
	return s
}

func (p *player) Up(c *fleet.Conn)      { p.enqueue(c, inputConnected) }
func (p *player) Refused(c *fleet.Conn) { p.enqueue(c, inputRefused) }
func (p *player) End(c *fleet.Conn)     { p.enqueue(c, inputClosed) }
func (p *player) Broken(c *fleet.Conn)  { p.enqueue(c, inputReset) }

func (p *player) Bytes(c *fleet.Conn, b []byte) {
	s, ok := c.Ref.(*socket)
	if !ok || s.closed {
		return
	}
	s.unread = append(s.unread, b...)
	if !s.queued {
		s.queued = true
		p.enqueue(c, inputBytes)
	}
}

// The loop.

func (v *vnode) discardProcess() {
	v.collectCounters()
	v.generation++
	v.core, v.sockets, v.openSockets, v.backlog, v.inbox, v.datagrams, v.iterationAt, v.stopRequested, v.newDiscovery = nil, nil, 0, nil, nil, nil, never, false, ""
	v.busyUntil, v.lastCost = v.player.world.Now(), 0
}

func (v *vnode) collectCounters() {
	if v.capture != nil {
		v.capture.Close()
		v.capture = nil
	}
	if v.core != nil {
		v.player.counters.Panics += v.core.Count.Panics
		v.player.counters.Connects += v.core.Count.Connects
		v.player.counters.Asked += v.core.Count.Asked
	}
}

func (v *vnode) scheduleNow() { v.schedule(max(v.player.world.Now(), v.busyUntil)) }

// schedule asks for a turn at a moment; only the earliest that was asked for is held.
func (v *vnode) schedule(at int64) {
	if v.core == nil || at >= v.iterationAt {
		return
	}
	v.iterationAt = at
	v.player.world.At(at, func() {
		if v.iterationAt == at {
			v.iterationAt = never
			if v.paused {
				return
			}
			v.runIteration()
		}
	})
}

// scheduleNext asks for the turn at the node's next deadline.
func (v *vnode) scheduleNext() {
	if len(v.inbox) > 0 || len(v.backlog) > 0 && v.hasRoom() {
		v.scheduleNow()
	}
	next, ok := v.core.Next()
	if !ok {
		return
	}
	now := v.player.world.Now()
	wait := v.clock.durationUntil(now, next-startTimeOfDay)
	v.schedule(max(now+(wait+timerStep-1)/timerStep*timerStep, v.busyUntil))
}

func (v *vnode) hasRoom() bool { return v.Room() > 0 }

func (v *vnode) runIteration() {
	now := v.player.world.Now()
	node := &v.player.script.Node
	v.cost = float64(node.Turn)
	late := int64(0)
	if now <= v.busyUntil+minIteration {
		late = v.lastCost // what came meanwhile has waited so long at the most
	}
	if v.pausedAt > 0 {
		late, v.pausedAt = now-v.pausedAt, 0
	}
	v.core.Late(late, v.lastCost)
	v.core.Turn(v.now(), v.dispatch)
	cost := int64(v.cost / (1 - v.starvedShare))
	v.busyUntil, v.lastCost = now+max(cost, minIteration), cost
	if v.core.Done() {
		life := v.generation
		v.player.world.At(v.busyUntil, func() {
			if v.generation == life {
				v.discardProcess()
				v.player.world.Exited(v.index, "stopped")
			}
		})
		return
	}
	v.scheduleNext()
}

func (v *vnode) dispatch() {
	if v.stopRequested {
		v.stopRequested = false
		v.core.Stop()
	}
	if v.newDiscovery != "" {
		v.core.Follow(v.newDiscovery)
		v.newDiscovery = ""
	}
	inbox := v.inbox
	v.inbox = nil
	told := v.datagrams
	v.datagrams = nil
	for _, d := range told {
		v.cost += float64(v.player.script.Node.Event)
		v.core.HeardFrom(peerIndex(v.index, d.from), d.payload)
	}
	for _, i := range inbox {
		if !i.socket.closed && i.socket.in != nil {
			v.cost += float64(v.player.script.Node.Event)
			v.deliver(i)
		} else if !i.socket.closed {
			v.inbox = append(v.inbox, i) // not accepted yet
		}
	}
	v.accept()
}

func (v *vnode) accept() {
	take, refuse := v.core.Quota()
	for i := 0; len(v.backlog) > 0 && i < take+refuse; i++ {
		if i >= take {
			s := v.backlog[0]
			v.backlog = v.backlog[1:]
			v.cost += float64(v.player.script.Node.Socket)
			v.rejectConnection(s)
			v.core.Refused()
			continue
		}
		if !v.core.Spare() || v.Room() < 1 {
			return
		}
		s := v.backlog[0]
		v.backlog = v.backlog[1:]
		v.cost += float64(v.player.script.Node.Socket + v.player.script.Node.Event)
		var ok bool
		if s.id, s.in, s.out, ok = v.core.Accept(s.conn.From); !ok {
			v.rejectConnection(s)
			continue
		}
		v.addSocket(s)
	}
}

// rejectConnection turns a connection away as the loop does.
func (v *vnode) rejectConnection(s *socket) {
	s.closed = true
	v.afterCost(func() {
		v.player.world.Wrote(s.conn, []byte("BUSY\r\n"))
		v.player.world.Closed(s.conn)
	})
}

func (v *vnode) addSocket(s *socket) {
	no := int(uint32(s.id))
	for len(v.sockets) <= no {
		v.sockets = append(v.sockets, nil)
	}
	v.sockets[no] = s
	v.openSockets++
}

func (v *vnode) socketByID(id uint64) *socket {
	if no := int(uint32(id)); no < len(v.sockets) && v.sockets[no] != nil && v.sockets[no].id == id {
		return v.sockets[no]
	}
	return nil
}

func (v *vnode) deliver(i input) {
	s := i.socket
	switch i.kind {
	case inputConnected:
		s.dialing = false
		v.core.Connected(s.id)
	case inputRefused:
		v.core.Ended(s.id, syscall.ECONNREFUSED)
	case inputBytes:
		v.receive(s)
	case inputClosed:
		if len(s.unread) > 0 { // after what came before it
			v.receive(s)
			if !s.closed && len(s.unread) > 0 {
				v.inbox = append(v.inbox, i)
				return
			}
		}
		if !s.closed {
			s.readClosed = true
			v.core.Ended(s.id, nil)
		}
	case inputReset:
		v.core.Ended(s.id, syscall.ECONNRESET)
	}
}

// receive moves what has come into the ring, as much as it takes, and tells the node.
func (v *vnode) receive(s *socket) {
	got := 0
	for len(s.unread) > 0 {
		space := s.in.Space()
		n := copy(space, s.unread)
		if n == 0 {
			break
		}
		s.in.Grow(n)
		s.unread = s.unread[n:]
		got += n
	}
	s.in.Drop(0)
	v.cost += float64(v.player.script.Node.KB) * float64(got) / 1024
	if got > 0 {
		v.core.Received(s.id)
	}
	s.queued = len(s.unread) > 0 && !s.closed
	if s.queued {
		v.inbox = append(v.inbox, input{s, inputBytes})
	} else {
		s.unread = nil
	}
}

// afterCost lets something go out when the turn has come so far.
func (v *vnode) afterCost(do func()) {
	cost := int64(v.cost / (1 - v.starvedShare))
	if cost == 0 {
		do()
		return
	}
	life := v.generation
	v.player.world.At(v.player.world.Now()+cost, func() {
		if v.generation == life {
			do()
		}
	})
}

// The node's Net.

func (v *vnode) Room() int { return v.player.script.Node.Sockets - reservedDescriptors - v.openSockets }

func (v *vnode) Dial(id uint64, to string, in, out *lines.Ring) {
	s := &socket{id: id, node: v, in: in, out: out, dialing: true, generation: v.generation}
	if v.Room() < 1 {
		v.addSocket(s)
		v.inbox = append(v.inbox, input{s, inputRefused})
		return
	}
	v.addSocket(s)
	v.cost += float64(v.player.script.Node.Socket)
	v.afterCost(func() {
		if !s.closed {
			s.conn = v.player.world.Dialed(v.index, to, s)
		}
	})
}

func (v *vnode) Touch(id uint64) {
	s := v.socketByID(id)
	if s == nil || s.dialing || s.out.Len() == 0 {
		return
	}
	b := append([]byte(nil), s.out.Peek(s.out.Len())...)
	s.out.Drop(len(b))
	v.cost += float64(v.player.script.Node.KB) * float64(len(b)) / 1024
	v.afterCost(func() { v.player.world.Wrote(s.conn, b) })
}

func (v *vnode) Shut(id uint64) {
	if s := v.socketByID(id); s != nil && !s.dialing {
		v.Touch(id)
		v.afterCost(func() { v.player.world.Shut(s.conn) })
	}
}

func (v *vnode) Close(id uint64) { v.closeSocket(id, v.player.world.Closed) }
func (v *vnode) Reset(id uint64) { v.closeSocket(id, v.player.world.Broke) }

// Part ends a connection in order. The emulated net loses nothing that was written before a close.
func (v *vnode) Part(id uint64) {
	v.Touch(id)
	v.Close(id)
}

// Gone tells whether an end waits to be told.
func (v *vnode) Gone(id uint64) bool {
	s := v.socketByID(id)
	return s == nil || s.readClosed || slices.ContainsFunc(v.inbox, func(i input) bool {
		return i.socket == s && (i.kind == inputClosed || i.kind == inputReset)
	})
}

func (v *vnode) closeSocket(id uint64, how func(*fleet.Conn)) {
	s := v.socketByID(id)
	if s == nil {
		return
	}
	s.closed = true
	v.sockets[uint32(id)] = nil
	v.openSockets--
	v.cost += float64(v.player.script.Node.Socket)
	v.afterCost(func() {
		if s.conn != nil {
			how(s.conn)
		}
	})
}
