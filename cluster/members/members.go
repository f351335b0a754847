// Package members keeps track of which other nodes of a fleet are alive and how old their last message is, from the
// datagrams that arrive from each. It has no I/O and no clock, and its randomness comes from a seed. What it reports is an
// estimate: nothing that must never happen may depend on it.
//
// Each node sends heartbeats to each other directly, at an interval that grows with the size of the fleet. A message counts
// for as long as it can be shown to be recent, on the receiver's own clock and without a look at the sender's: it has to
// name a datagram that the receiver itself sent, and is then no older than that datagram. A message that was delayed on its
// way, replayed by anyone or meant for a process that has ended names none that is recent enough.
//
// All times and durations are in microseconds.
package members

import (
	"math/rand"

	"coursewinch/cluster/frame"
)

const (
	ms     = int64(1000) // microseconds
	second = 1000 * ms

	minSendInterval        = 200 * ms // between two heartbeats to one node
	sendIntervalPerNode    = 4 * ms   // times the nodes of the fleet, if that is longer: at most 250 datagrams a second at any size
	maxAgeIntervals        = 4        // send intervals for which a message counts
	maxAgeMargin           = 600 * ms // on top of these
	sentTimesKept          = 64       // datagrams to a node whose times of sending are remembered
	maxProcessesPerAddress = 3        // processes of one name at one address that are told apart
)

// SendInterval returns the interval between heartbeats to each other node, in microseconds, in a fleet of so many nodes.
func SendInterval(nodes int) int64 { return max(minSendInterval, sendIntervalPerNode*int64(nodes)) }

// MaxMessageAge returns the age up to which a message counts, in microseconds, in a fleet of so many nodes.
func MaxMessageAge(nodes int) int64 { return maxAgeIntervals*SendInterval(nodes) + maxAgeMargin }

// State is the membership state of another node, as far as this node knows.
type State uint8

const (
	Unknown State = iota // no recent message since this process started
	Linked               // datagrams arrive in both directions
	Lost                 // it was linked and is no longer
	Left                 // it announced that it ends
)

// String returns the name of a state.
func (s State) String() string { return [...]string{"unknown", "linked", "lost", "left"}[s] }

// Message is the last recent message of a process of another node.
type Message struct {
	Process   uint64 // random identifier of the process
	SentAfter int64  // the message is no older than this, on the own clock
	Late      bool   // the sender's own loop is late
	Payload   []byte
}

// peer is one address of the list of nodes.
type peer struct {
	seq        uint32               // of the last datagram to it
	sentAt     [sentTimesKept]int64 // by seq, modulo its length
	nextSendAt int64
	processes  []*remoteProcess // that sent from this address, the latest first
	state      State
}

// remoteProcess is one process that sent from an address.
type remoteProcess struct {
	Message
	seq        uint32 // of its last datagram
	nameHash   uint32
	receivedAt int64 // any datagram of it, recent or not
	left       bool  // it announced that it ends
}

// Members is one node's view of the other nodes.
type Members struct {
	nameHash      uint32
	process       uint64
	peers         []*peer
	rng           *rand.Rand
	sendInterval  int64
	maxMessageAge int64 // age up to which a message counts
	lastRunAt     int64 // last call that sent what was due
	late          bool
	leaving       bool

	Sent, Received, SentBytes, ReceivedBytes int64 // datagrams and their bytes
	Faults                                   [frame.FaultCount]int64
	Stale                                    int64 // valid and new datagrams that were too old to count
	StateChanges                             int64 // of any node
}

// New returns the view of a process of a node with so many other nodes. nameHash is the short hash of the node's name.
// process is above 0 and differs from that of any other process.
func New(nameHash uint32, process uint64, others int, seed int64) *Members {
	m := &Members{
		nameHash:      nameHash,
		process:       process,
		rng:           rand.New(rand.NewSource(seed)),
		sendInterval:  SendInterval(others + 1),
		maxMessageAge: MaxMessageAge(others + 1),
	}
	for range others {
		m.peers = append(m.peers, &peer{})
	}
	return m
}

// Start schedules the first heartbeat to each node.
func (m *Members) Start(now int64) {
	m.lastRunAt = now
	for _, p := range m.peers {
		p.nextSendAt = now + m.rng.Int63n(m.sendInterval/4+1)
	}
}

// SetLate sets whether this node's own loop is late. While it is, the node takes no other node for lost, and its
// datagrams say that it is late.
func (m *Members) SetLate(late bool) { m.late = late }

// IsLate reports whether this node's own loop is late.
func (m *Members) IsLate() bool { return m.late }

// Send sends a datagram to one node at once, besides the heartbeats.
func (m *Members) Send(now int64, to int, payload []byte, send func(to int, p []byte)) {
	p := m.peers[to]
	p.seq++
	p.sentAt[p.seq%sentTimesKept] = now
	header := frame.Header{NameHash: m.nameHash, Process: m.process, Seq: p.seq, Late: m.late, Leaving: m.leaving}
	if len(p.processes) > 0 {
		header.EchoProcess, header.EchoSeq = p.processes[0].Process, p.processes[0].seq
	}
	datagram := frame.Encode(header, payload)
	m.Sent++
	m.SentBytes += int64(len(datagram))
	send(to, datagram)
}

// NameHash returns the short hash of a node's name as given by its latest process; ok is false if no process of it is
// known.
func (m *Members) NameHash(node int) (name uint32, ok bool) {
	if processes := m.peers[node].processes; len(processes) > 0 {
		return processes[0].nameHash, true
	}
	return 0, false
}

// Leave makes the next datagrams announce that this node ends. They are due at once.
func (m *Members) Leave(now int64) {
	m.leaving = true
	for _, p := range m.peers {
		p.nextSendAt = now
	}
}

// NextSendAt returns when the next heartbeat is due.
func (m *Members) NextSendAt() int64 {
	next := int64(1) << 62
	for _, p := range m.peers {
		next = min(next, p.nextSendAt)
	}
	return next
}

// SendDue sends the heartbeats that are due and updates the state of each node. payload is called at most once, if
// anything is sent.
func (m *Members) SendDue(now int64, payload func() []byte, send func(to int, p []byte)) {
	// A process that was stopped, or whose clock jumped, could receive nothing meanwhile: other nodes are not lost for
	// that.
	if gap := now - m.lastRunAt; gap > 2*m.sendInterval || gap < 0 {
		for _, p := range m.peers {
			for _, r := range p.processes {
				r.SentAfter = min(r.SentAfter+gap, now)
			}
			p.sentAt = [sentTimesKept]int64{} // a datagram that names one of these may be as old as the gap
		}
	}
	m.lastRunAt = now
	var message []byte
	for to, p := range m.peers {
		m.updateState(now, p)
		if now < p.nextSendAt {
			continue
		}
		if message == nil {
			message = payload()
		}
		m.Send(now, to, message, send)
		p.nextSendAt = now + m.sendInterval*9/10 + m.rng.Int63n(m.sendInterval/5+1)
	}
}

// updateState updates the state of a node and removes processes that have sent nothing for long.
func (m *Members) updateState(now int64, p *peer) {
	previous := p.state
	for i := len(p.processes) - 1; i >= 0; i-- {
		if r := p.processes[i]; now-r.receivedAt > 4*m.maxMessageAge { // bounds the memory for processes that have ended
			p.processes = append(p.processes[:i], p.processes[i+1:]...)
		}
	}
	linked, left := false, false
	for _, r := range p.processes {
		linked = linked || !r.left && r.SentAfter > 0 && now-r.SentAfter <= m.maxMessageAge
		left = left || r.left
	}
	switch {
	case linked:
		p.state = Linked
	case left:
		p.state = Left
	case previous == Linked && !m.late:
		p.state = Lost
	}
	if p.state != previous {
		m.StateChanges++
	}
}

// HandleDatagram takes a datagram from node number from; a negative number is an address that is not on the list. ok is
// true if its message is recent and new.
func (m *Members) HandleDatagram(now int64, from int, datagram []byte) (message Message, ok bool) {
	header, payload, fault := frame.Decode(datagram)
	m.Received++
	m.ReceivedBytes += int64(len(datagram))
	if fault == frame.NoFault && (from < 0 || from >= len(m.peers)) {
		fault = frame.UnknownSender
	}
	if fault == frame.NoFault && (header.Process == m.process || header.Process == 0) {
		fault = frame.Replayed // this node's own datagram, sent back
	}
	if fault != frame.NoFault {
		m.Faults[fault]++
		return message, false
	}
	p := m.peers[from]
	r := p.findProcess(header.Process)
	if r == nil {
		r = &remoteProcess{Message: Message{Process: header.Process}}
		if len(p.processes) >= maxProcessesPerAddress {
			p.processes = p.processes[:maxProcessesPerAddress-1]
		}
		p.processes = append([]*remoteProcess{r}, p.processes...)
	} else if int32(header.Seq-r.seq) <= 0 {
		m.Faults[frame.Replayed]++
		return message, false
	}
	r.seq, r.nameHash, r.receivedAt, r.left = header.Seq, header.NameHash, now, header.Leaving
	p.moveToFront(r)
	sentAfter := int64(0)
	if header.EchoProcess == m.process && header.EchoSeq != 0 && p.seq-header.EchoSeq < sentTimesKept {
		sentAfter = p.sentAt[header.EchoSeq%sentTimesKept]
	}
	if sentAfter == 0 || now-sentAfter > m.maxMessageAge {
		m.Stale++
		return message, false
	}
	r.SentAfter, r.Late = max(r.SentAfter, sentAfter), header.Late
	r.Payload = append(r.Payload[:0], payload...)
	m.updateState(now, p)
	return r.Message, true
}

// CountFault counts a fault that the caller found in the payload of a datagram.
func (m *Members) CountFault(f frame.Fault) { m.Faults[f]++ }

// findProcess returns a process that sent from the address, or nil.
func (p *peer) findProcess(process uint64) *remoteProcess {
	for _, r := range p.processes {
		if r.Process == process {
			return r
		}
	}
	return nil
}

// moveToFront puts a process before the others at its address.
func (p *peer) moveToFront(r *remoteProcess) {
	for i, other := range p.processes {
		if other == r {
			copy(p.processes[1:i+1], p.processes[:i])
			p.processes[0] = r
			return
		}
	}
}

// State returns the state of a node.
func (m *Members) State(node int) State { return m.peers[node].state }

// LinkedCount returns the number of nodes that are linked.
func (m *Members) LinkedCount() (n int) {
	for _, p := range m.peers {
		if p.state == Linked {
			n++
		}
	}
	return n
}

// OtherCount returns the number of nodes besides this one.
func (m *Members) OtherCount() int { return len(m.peers) }

// OldestMessageAge returns the age of the oldest message that still counts, in microseconds; 0 if none does.
func (m *Members) OldestMessageAge(now int64) (age int64) {
	for _, p := range m.peers {
		for _, r := range p.processes {
			if p.state == Linked && !r.left && r.SentAfter > 0 && now-r.SentAfter <= m.maxMessageAge {
				age = max(age, now-r.SentAfter)
			}
		}
	}
	return age
}

// MaxMessageAge returns the age up to which a message counts, in microseconds.
func (m *Members) MaxMessageAge() int64 { return m.maxMessageAge }
