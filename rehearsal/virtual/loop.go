package virtual

import (
	"fmt"
	"path/filepath"
	"syscall"

	"coursewinch/admission"
	"coursewinch/capture"
	"coursewinch/discovery"
	"coursewinch/node"
	"coursewinch/rehearsal/fleet"
	"coursewinch/settings"
)

// emulatedNode is one node with its sockets and its event loop. It implements node.Net.
type emulatedNode struct {
	player        *player
	index         int
	core          *node.Node // nil while no process runs
	generation    int        // of the process, counted at each start
	clock         clock
	paused        bool
	pausedAt      int64 // when the process was stopped; 0 once it has run an iteration after it
	sockets       []*socket
	openSockets   int
	backlog       []*socket // connections that are not accepted yet
	inbox         []input
	datagrams     []datagram // of other nodes
	iterationAt   int64      // time of the scheduled loop iteration, or never
	busyUntil     int64      // until then the core works on the last iteration
	lastCost      int64      // of the last iteration, microseconds
	starvedShare  float64    // share of its core that others take
	cost          float64    // of this iteration so far, microseconds of a whole core
	stopRequested bool
	newDiscovery  string // address of discovery after a reload
	capture       *capture.Writer
}

// start starts a process.
func (v *emulatedNode) start(conf fleet.NodeConfig) {
	p, no := v.player, v.index
	set, err := settings.ParseJSON([]byte(conf.Settings))
	if err != nil {
		p.fail(fmt.Errorf("settings of node n-%d: %w", no, err))
		return
	}
	known, err := discovery.ParseList([]byte(conf.KnownHosts))
	if err != nil {
		p.fail(fmt.Errorf("list of node n-%d: %w", no, err))
		return
	}
	v.discardProcess()
	conf.Seed ^= p.options.NodeSeed * 0x9e3779b97f4a7c15
	c := node.Config{Discovery: conf.Discovery, Seed: int64(conf.Seed >> 1), NewDecider: p.options.NewDecider}
	a := p.script.Node.Admission
	c.Admission = admission.Limits{PerAddress: a.PerAddress, Rate: a.Rate, Burst: a.Burst, Reserve: a.Reserve}
	// The buffers of the script belong to the process, not to the node core.
	c.Limits = node.Limits{Idle: p.script.Node.Holding.Idle.Microseconds(), Stalled: p.script.Node.Holding.Stalled.Microseconds()}
	if p.options.Capture != "" {
		file := filepath.Join(p.options.Capture, fmt.Sprintf("n-%d.%d.capture", no, v.generation))
		w, err := capture.Create(file, maxCaptureBytes,
			capture.Start{Node: conf.Name, Zone: set.Zone, At: startTimeOfDay + p.world.Now()})
		if err != nil {
			p.fail(err)
			return
		}
		v.capture, c.Capture = w, w
	}
	c.Cluster.Name = conf.Name
	v.configureCluster(&c, conf.Seed)
	if len(c.Cluster.Limits) > 0 {
		c.Admission.Rate, c.Admission.Burst = 0, 0 // the nodes enforce them together
	}
	if p.options.Configure != nil {
		p.options.Configure(no, set, &c)
	}
	v.core = node.New(set, c, v)
	v.core.Begin(v.now(), known)
	v.scheduleNext()
}

// discardProcess ends the process and everything that it holds.
func (v *emulatedNode) discardProcess() {
	v.collectCounters()
	v.generation++
	v.core, v.sockets, v.openSockets, v.backlog = nil, nil, 0, nil
	v.inbox, v.datagrams = nil, nil
	v.iterationAt, v.stopRequested, v.newDiscovery = never, false, ""
	v.busyUntil, v.lastCost = v.player.world.Now(), 0
}

// collectCounters closes the capture and adds the process's counters to those of the run.
func (v *emulatedNode) collectCounters() {
	if v.capture != nil {
		v.capture.Close()
		v.capture = nil
	}
	if v.core != nil {
		v.player.counters.Panics += v.core.Count.Panics
		v.player.counters.Connects += v.core.Count.Connects
		v.player.counters.RequestsSent += v.core.Count.RequestsSent
	}
}

// scheduleNow schedules an iteration as soon as the core is free.
func (v *emulatedNode) scheduleNow() { v.schedule(max(v.player.world.Now(), v.busyUntil)) }

// schedule schedules a loop iteration. Only the earliest that was asked for takes place.
func (v *emulatedNode) schedule(at int64) {
	if v.core == nil || at >= v.iterationAt {
		return
	}
	v.iterationAt = at
	v.player.world.Schedule(at, func() {
		if v.iterationAt == at {
			v.iterationAt = never
			if v.paused {
				return
			}
			v.runIteration()
		}
	})
}

// scheduleNext schedules an iteration at the node's next deadline, or at once if there is work.
func (v *emulatedNode) scheduleNext() {
	if len(v.inbox) > 0 || len(v.backlog) > 0 && v.hasRoom() {
		v.scheduleNow()
	}
	next, ok := v.core.NextDeadline()
	if !ok {
		return
	}
	now := v.player.world.Now()
	wait := v.clock.durationUntil(now, next-startTimeOfDay)
	v.schedule(max(now+(wait+timerStep-1)/timerStep*timerStep, v.busyUntil))
}

// hasRoom tells whether the process may open one more socket.
func (v *emulatedNode) hasRoom() bool { return v.Room() > 0 }

// runIteration runs one iteration of the node's event loop and accounts for its cost.
func (v *emulatedNode) runIteration() {
	now := v.player.world.Now()
	v.cost = float64(v.player.script.Node.IterationCost)
	late := int64(0)
	if now <= v.busyUntil+minIteration {
		late = v.lastCost // what came meanwhile has waited at most so long
	}
	if v.pausedAt > 0 {
		late, v.pausedAt = now-v.pausedAt, 0
	}
	v.core.ReportLateness(late, v.lastCost)
	v.core.RunIteration(v.now(), v.dispatch)
	cost := int64(v.cost / (1 - v.starvedShare))
	v.busyUntil, v.lastCost = now+max(cost, minIteration), cost
	if v.core.Done() {
		generation := v.generation
		v.player.world.Schedule(v.busyUntil, func() {
			if v.generation == generation {
				v.discardProcess()
				v.player.world.NodeExited(v.index, "stopped")
			}
		})
		return
	}
	v.scheduleNext()
}

// dispatch gives the node all that has come since the last iteration.
func (v *emulatedNode) dispatch() {
	if v.stopRequested {
		v.stopRequested = false
		v.core.Stop()
	}
	if v.newDiscovery != "" {
		v.core.SetDiscovery(v.newDiscovery)
		v.newDiscovery = ""
	}
	inbox := v.inbox
	v.inbox = nil
	datagrams := v.datagrams
	v.datagrams = nil
	for _, d := range datagrams {
		v.cost += float64(v.player.script.Node.EventCost)
		v.core.ReceiveClusterDatagram(peerIndex(v.index, d.from), d.payload)
	}
	for _, i := range inbox {
		if !i.socket.closed && i.socket.in != nil {
			v.cost += float64(v.player.script.Node.EventCost)
			v.deliver(i)
		} else if !i.socket.closed {
			v.inbox = append(v.inbox, i) // not accepted yet
		}
	}
	v.accept()
}

// accept accepts and rejects connections of the backlog, as many as the node allows in one iteration.
func (v *emulatedNode) accept() {
	take, refuse := v.core.AcceptQuota()
	for i := 0; len(v.backlog) > 0 && i < take+refuse; i++ {
		if i >= take {
			s := v.backlog[0]
			v.backlog = v.backlog[1:]
			v.cost += float64(v.player.script.Node.SocketCost)
			v.rejectConnection(s)
			v.core.CountRefused()
			continue
		}
		if !v.core.CanAccept() || v.Room() < 1 {
			return
		}
		s := v.backlog[0]
		v.backlog = v.backlog[1:]
		v.cost += float64(v.player.script.Node.SocketCost + v.player.script.Node.EventCost)
		var ok bool
		if s.id, s.in, s.out, ok = v.core.Accept(s.conn.ClientAddress); !ok {
			v.rejectConnection(s)
			continue
		}
		v.addSocket(s)
	}
}

// rejectConnection answers BUSY and closes a connection, as the event loop of a process does.
func (v *emulatedNode) rejectConnection(s *socket) {
	s.closed = true
	v.afterCost(func() {
		v.player.world.Write(s.conn, []byte("BUSY\r\n"))
		v.player.world.Close(s.conn)
	})
}

// deliver gives the node one input.
func (v *emulatedNode) deliver(i input) {
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
		if len(s.unread) > 0 { // the node reads what came before the end first
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

// receive moves received bytes into the socket's ring, as many as fit, and tells the node.
func (v *emulatedNode) receive(s *socket) {
	got := 0
	for len(s.unread) > 0 {
		space := s.in.WriteSpace()
		n := copy(space, s.unread)
		if n == 0 {
			break
		}
		s.in.Commit(n)
		s.unread = s.unread[n:]
		got += n
	}
	s.in.Discard(0)
	v.cost += float64(v.player.script.Node.KilobyteCost) * float64(got) / 1024
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

// afterCost does something when the core has worked off the cost of this iteration so far.
func (v *emulatedNode) afterCost(do func()) {
	cost := int64(v.cost / (1 - v.starvedShare))
	if cost == 0 {
		do()
		return
	}
	generation := v.generation
	v.player.world.Schedule(v.player.world.Now()+cost, func() {
		if v.generation == generation {
			do()
		}
	})
}
