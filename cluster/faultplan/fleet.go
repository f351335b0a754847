// Package faultplan simulates a fleet of cluster cores in virtual time under a plan of faults: processes that are killed,
// paused or restarted, partitions, lost, delayed or duplicated datagrams, and clocks that drift or jump. It is for tests of
// cores that build on leases. The same plan always gives the same run.
package faultplan

import (
	"math/rand"

	"coursewinch/cluster/lease"
)

// Units of time, in microseconds.
const (
	ms     = int64(1000)
	second = 1000 * ms
)

const (
	// StepDuration is the true time that one step takes, in microseconds. Each running member has one tick in it.
	StepDuration = 10 * ms

	normalDelay = 5 * ms     // bound of the datagram delay without a fault
	minDelay    = int64(100) // microseconds
)

// Core is the core under test, which each member runs beside its leases.
type Core interface {
	// Tick is called once per step while the member runs, with the time of the member's own clock.
	Tick(now int64, send func(to int, p []byte))
	// Receive is called with each datagram that is not a message of the leases.
	Receive(from int, process uint64, p []byte, answer func(p []byte), send func(to int, p []byte))
}

// Fleet is a simulated fleet.
type Fleet struct {
	Now     int64 // true time in microseconds
	Members []*Member
	Key     uint64 // the only key in use

	rng       *rand.Rand
	faults    []Fault // those still to come, in order of time
	start     func(*Member) Core
	inFlight  []datagram
	partition []int   // by node: the part that it is in
	loss      float64 // probability that a datagram is lost
	maxDelay  int64   // bound of the datagram delay, in microseconds
	processes uint64  // processes started so far
}

// datagram is a datagram in flight.
type datagram struct {
	arrivesAt int64
	from, to  int
	process   uint64
	payload   []byte
}

// Member is one node of the fleet with its current process.
type Member struct {
	Number  int // index of the node
	Process uint64
	Core    Core
	Leases  *lease.Leases
	Dead    bool

	fleet       *Fleet
	clockRate   float64 // speed of its clock relative to true time
	clockBase   int64   // reading of its clock ...
	clockFrom   int64   // ... at this true time
	pausedUntil int64   // true time
	lastTick    int64   // reading of its clock at its last tick
}

// NewFleet returns the fleet of a plan. The start function makes the core of each process that starts.
func NewFleet(plan Plan, start func(*Member) Core) *Fleet {
	f := &Fleet{
		rng:       rand.New(rand.NewSource(plan.Seed)),
		Key:       plan.Key,
		faults:    plan.Faults,
		start:     start,
		maxDelay:  normalDelay,
		partition: make([]int, plan.Nodes),
	}
	for node := range plan.Nodes {
		f.Members = append(f.Members, &Member{
			fleet:     f,
			Number:    node,
			clockRate: 0.95 + 0.1*f.rng.Float64(),
			clockBase: f.rng.Int63n(1000 * second),
		})
	}
	for _, m := range f.Members {
		m.startProcess()
	}
	return f
}

// startProcess starts a new process on the member's node.
func (m *Member) startProcess() {
	m.fleet.processes++
	m.Process = m.fleet.processes
	m.Dead = false
	m.pausedUntil = 0
	m.Leases = lease.New(m.Process, m.Number, len(m.fleet.Members))
	m.Leases.Start(m.Clock())
	m.lastTick = m.Clock()
	m.Core = m.fleet.start(m)
}

// Clock returns the reading of the member's own clock in microseconds.
func (m *Member) Clock() int64 {
	return m.clockBase + int64(float64(m.fleet.Now-m.clockFrom)*m.clockRate)
}

// Running reports whether the member ticks now: it is neither dead nor paused.
func (m *Member) Running() bool { return !m.Dead && m.fleet.Now >= m.pausedUntil }

// OwnedHere reports whether the member owns the slot of a key, since when and until when on its own clock.
func (m *Member) OwnedHere(key uint64) (since, until int64, ok bool) {
	slot := int(key % lease.Slots)
	since, ok = m.Leases.Owned(slot)
	return since, m.Leases.ExpiresAt(slot), ok
}

// LikelyOwner returns the other node to ask for a key: the first that runs in the same part of the fleet, beginning
// with the slot's first node; -1 if there is none.
func (m *Member) LikelyOwner(key uint64) int {
	for offset := range m.fleet.Members {
		node := (int(key%lease.Slots) + offset) % len(m.fleet.Members)
		other := m.fleet.Members[node]
		if node != m.Number && other.Running() && m.fleet.partition[node] == m.fleet.partition[m.Number] {
			return node
		}
	}
	return -1
}

// shouldOwn reports whether the member is the one to request a slot: no other node in reach comes before it.
func (m *Member) shouldOwn(slot int) bool {
	if slot != int(m.fleet.Key%lease.Slots) {
		return false
	}
	nodes := len(m.fleet.Members)
	distance := func(node int) int { return (node - slot%nodes + nodes) % nodes }
	likely := m.LikelyOwner(uint64(slot))
	return likely < 0 || distance(m.Number) < distance(likely)
}

// Owners returns how many members would act as owner of the key now. It counts paused members, because their clocks go on.
// It does not count a member whose clock went back: its next tick comes before it acts, and ends its ownership.
func (f *Fleet) Owners() (n int) {
	slot := int(f.Key % lease.Slots)
	for _, m := range f.Members {
		if _, ok := m.Leases.Owned(slot); ok && !m.Dead && m.Clock() >= m.lastTick && m.Clock() < m.Leases.ExpiresAt(slot) {
			n++
		}
	}
	return n
}

// send puts a datagram in flight, perhaps twice, unless the partition or a random draw drops it.
func (f *Fleet) send(from *Member, to int, payload []byte) {
	if f.partition[from.Number] != f.partition[to] || f.rng.Float64() < f.loss {
		return
	}
	for range 1 + f.rng.Intn(2) {
		arrivesAt := f.Now + minDelay + f.rng.Int63n(f.maxDelay)
		f.inFlight = append(f.inFlight, datagram{arrivesAt, from.Number, to, from.Process, payload})
		if f.rng.Float64() < 0.8 {
			return
		}
	}
}

// Step advances the true time by one step: it injects the faults that are due and gives each running member a tick. The
// afterTick function is called after each of these ticks.
func (f *Fleet) Step(afterTick func(m *Member, send func(to int, payload []byte))) {
	f.Now += StepDuration
	for len(f.faults) > 0 && f.faults[0].At <= f.Now {
		f.inject(f.faults[0])
		f.faults = f.faults[1:]
	}
	for _, m := range f.Members {
		if !m.Running() {
			continue
		}
		m.tick()
		afterTick(m, func(to int, payload []byte) { f.send(m, to, payload) })
	}
}

// tick runs one loop iteration of the member: its leases and its core tick, take the datagrams that arrived, and vote
// requests are sent.
func (m *Member) tick() {
	fleet := m.fleet
	send := func(to int, payload []byte) { fleet.send(m, to, payload) }
	m.lastTick = m.Clock()
	m.Leases.Tick(m.lastTick)
	m.Core.Tick(m.lastTick, send)
	var remaining, arrived []datagram
	for _, d := range fleet.inFlight {
		if d.to != m.Number || d.arrivesAt > fleet.Now {
			remaining = append(remaining, d)
		} else {
			arrived = append(arrived, d)
		}
	}
	fleet.inFlight = remaining
	for _, d := range arrived {
		answer := func(payload []byte) { fleet.send(m, d.from, payload) }
		if !m.Leases.HandleMessage(d.from, d.process, d.payload, answer) {
			m.Core.Receive(d.from, d.process, d.payload, answer, send)
		}
	}
	m.Leases.RequestVotes(m.shouldOwn, func(payload []byte) {
		for to := range fleet.Members {
			if to != m.Number {
				send(to, payload)
			}
		}
	})
}

// inject puts a fault into effect.
func (f *Fleet) inject(fault Fault) {
	m := f.Members[fault.Node%len(f.Members)]
	switch fault.Kind {
	case Kill:
		m.Dead = true
	case Pause:
		m.pausedUntil = f.Now + int64(fault.Size*float64(4*second))
	case Partition:
		parts := 1 + fault.Node%3
		for node := range f.partition {
			f.partition[node] = f.rng.Intn(parts)
		}
	case Loss:
		f.loss = fault.Size / 2
	case Delay:
		f.maxDelay = normalDelay + int64(fault.Size*float64(2*second))
	case Heal:
		clear(f.partition)
		f.loss = 0
		f.maxDelay = normalDelay
	case ClockJump:
		jump := 3600 * second
		if fault.Size < 0.5 {
			jump = -jump
		}
		m.clockBase = m.Clock() + jump
		m.clockFrom = f.Now
	case Restart:
		if m.Dead {
			m.startProcess()
		}
	}
}
