// Package drawn plays a fleet of cluster cores in virtual time, under a plan of faults: kills, stops, restarts, cuts, loss,
// delay, doubled datagrams, clocks that run apart and jump. It is for tests of cores that stand on leases. The same plan
// gives the same run.
package drawn

import (
	"fmt"
	"math/rand"

	"coursewinch/cluster/lease"
)

const (
	ms     = int64(1000)
	second = 1000 * ms

	StepDuration = 10 * ms // of true time: each that runs has a turn
	normalDelay  = 5 * ms  // within which a datagram is there, where nothing delays it
)

// Kind is of a fault.
type Kind uint8

const (
	Kill      Kind = iota // a process ends
	Pause                 // it stands still for Size times 4 s
	Partition             // the fleet falls into as many as three parts, by Size and node
	Loss                  // of half of the datagrams, times Size
	Delay                 // of up to Size times 2 s
	Heal                  // links are well again
	ClockJump             // a clock goes an hour ahead; back where Size is under a half
	Restart               // who was killed comes again, with nothing known
	KindCount
)

var kindNames = [KindCount]string{"kill", "stop", "cut", "loss", "delay", "whole", "jump", "restart"}

// Fault is one, at a moment of true time, at a node where it is about one; Size is from 0 to 1.
type Fault struct {
	At   int64
	Kind Kind
	Node int
	Size float64
}

func (f Fault) String() string {
	return fmt.Sprintf("%d ms %s n%d %.2f", f.At/ms, kindNames[f.Kind], f.Node, f.Size)
}

// Plan is a fleet and what befalls it. Seed decides what the faults leave open: delays, which datagrams are lost, clocks.
type Plan struct {
	Nodes  int
	Seed   int64
	Key    uint64 // the one thing that all is about: its slot's leases are played
	Faults []Fault
}

// Core is what is played beside each member's leases.
type Core interface {
	Tick(now int64, send func(to int, p []byte))
	Receive(from int, process uint64, p []byte, answer func(p []byte), send func(to int, p []byte))
}

// Fleet is a fleet.
type Fleet struct {
	Now     int64 // true time
	Members []*Member
	Key     uint64

	rng       *rand.Rand
	faults    []Fault
	start     func(*Member) Core
	inFlight  []datagram
	partition []int
	loss      float64
	maxDelay  int64
	processes uint64
}

type datagram struct {
	arrivesAt int64
	from, to  int
	process   uint64
	payload   []byte
}

// Member is one node's process.
type Member struct {
	Number  int
	Process uint64
	Core    Core
	Leases  *lease.Leases
	Dead    bool

	fleet       *Fleet
	clockRate   float64 // of its clock
	clockBase   int64   // its clock showed this ...
	clockFrom   int64   // ... at this true time
	pausedUntil int64   // stopped until
	lastTick    int64   // what its clock showed in its last turn
}

// NewFleet lays a fleet; start makes the core of a process that begins.
func NewFleet(plan Plan, start func(*Member) Core) *Fleet {
	f := &Fleet{rng: rand.New(rand.NewSource(plan.Seed)), Key: plan.Key, faults: plan.Faults, start: start, maxDelay: normalDelay, partition: make([]int, plan.Nodes)}
	for node := range plan.Nodes {
		f.Members = append(f.Members, &Member{fleet: f, Number: node, clockRate: 0.95 + 0.1*f.rng.Float64(), clockBase: f.rng.Int63n(1000 * second)})
	}
	for _, m := range f.Members {
		m.startProcess()
	}
	return f
}

func (m *Member) startProcess() {
	m.fleet.processes++
	m.Process, m.Dead, m.pausedUntil = m.fleet.processes, false, 0
	m.Leases = lease.New(m.Process, m.Number, len(m.fleet.Members))
	m.Leases.Begin(m.Clock())
	m.lastTick = m.Clock()
	m.Core = m.fleet.start(m)
}

// Clock is what the member's own clock shows.
func (m *Member) Clock() int64 {
	return m.clockBase + int64(float64(m.fleet.Now-m.clockFrom)*m.clockRate)
}

// Running tells whether the member has a turn now.
func (m *Member) Running() bool { return !m.Dead && m.fleet.Now >= m.pausedUntil }

// Mine and Who are the owner of keys for a core: whom to ask is whoever is up, beginning with the slot's first node.
func (m *Member) Mine(key uint64) (since, until int64, ok bool) {
	slot := int(key % lease.Slots)
	since, ok = m.Leases.Owned(slot)
	return since, m.Leases.Until(slot), ok
}

func (m *Member) Who(key uint64) int {
	for offset := range m.fleet.Members {
		node := (int(key%lease.Slots) + offset) % len(m.fleet.Members)
		if other := m.fleet.Members[node]; node != m.Number && other.Running() && m.fleet.partition[node] == m.fleet.partition[m.Number] {
			return node
		}
	}
	return -1
}

func (m *Member) shouldOwn(slot int) bool {
	if slot != int(m.fleet.Key%lease.Slots) {
		return false
	}
	nodes := len(m.fleet.Members)
	distance := func(node int) int { return (node - slot%nodes + nodes) % nodes }
	likely := m.Who(uint64(slot))
	return likely < 0 || distance(m.Number) < distance(likely)
}

// Owners is how many would act as owner of the key now, also of those that stand still: their clocks go on. One whose
// clock went back has its turn first, and owns nothing.
func (f *Fleet) Owners() (n int) {
	slot := int(f.Key % lease.Slots)
	for _, m := range f.Members {
		if _, ok := m.Leases.Owned(slot); ok && !m.Dead && m.Clock() >= m.lastTick && m.Clock() < m.Leases.Until(slot) {
			n++
		}
	}
	return n
}

func (f *Fleet) send(from *Member, to int, payload []byte) {
	if f.partition[from.Number] != f.partition[to] || f.rng.Float64() < f.loss {
		return
	}
	for range 1 + f.rng.Intn(2) {
		f.inFlight = append(f.inFlight, datagram{f.Now + 100 + f.rng.Int63n(f.maxDelay), from.Number, to, from.Process, payload})
		if f.rng.Float64() < 0.8 {
			return
		}
	}
}

// Step lets a step of true time pass: faults that are due, and a turn of each member that runs; then is called after
// each member's turn.
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

func (m *Member) tick() {
	fleet := m.fleet
	send := func(to int, p []byte) { fleet.send(m, to, p) }
	m.lastTick = m.Clock()
	m.Leases.Turn(m.lastTick)
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
		answer := func(p []byte) { fleet.send(m, d.from, p) }
		if !m.Leases.Take(d.from, d.process, d.payload, answer) {
			m.Core.Receive(d.from, d.process, d.payload, answer, send)
		}
	}
	m.Leases.Ask(m.shouldOwn, func(p []byte) {
		for to := range fleet.Members {
			if to != m.Number {
				send(to, p)
			}
		}
	})
}

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
		f.loss, f.maxDelay = 0, normalDelay
	case ClockJump:
		jump := 3600 * second
		if fault.Size < 0.5 {
			jump = -jump
		}
		m.clockBase, m.clockFrom = m.Clock()+jump, f.Now
	case Restart:
		if m.Dead {
			m.startProcess()
		}
	}
}
