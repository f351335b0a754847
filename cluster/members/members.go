// Package members keeps who of the other nodes of a fleet lives and how old its word is, from what comes of each. It has
// no I/O and no clock, and its chance comes from a seed. What it says is a belief: nothing that must never happen may
// rest on it.
//
// Each node tells each other directly, at a pace that falls with the size of the fleet. A word counts for as long as it
// can be shown to be young, on the receiver's own clock and without a look at the sender's: it has to name a datagram
// that the receiver itself sent, and is then no older than that. What was kept on its way, sent again by anyone, or
// meant for a process that is gone names none that is young enough.
package members

import (
	"math/rand"

	"coursewinch/cluster/frame"
)

const (
	ms     = int64(1000)
	second = 1000 * ms

	minSendInterval        = 200 * ms // between two datagrams to one node
	sendIntervalPerNode    = 4 * ms   // or this for each node of the fleet: 250 datagrams a second at most, whatever its size
	sentTimesKept          = 64       // datagrams to a node whose times are remembered
	maxAgeIntervals        = 4        // times that pace: an older word counts no more
	maxAgeMargin           = 600 * ms // and so much besides
	maxProcessesPerAddress = 3        // processes of one name at one address that are told apart
)

// Every is how often a node of a fleet of so many tells each other, in microseconds.
func Every(nodes int) int64 { return max(minSendInterval, sendIntervalPerNode*int64(nodes)) }

// Young is for how long a word counts in a fleet of so many nodes, in microseconds.
func Young(nodes int) int64 { return maxAgeIntervals*Every(nodes) + maxAgeMargin }

// Standing is what is believed of a node.
type Standing uint8

const (
	Unknown Standing = iota // nothing young came of it since this process started
	Linked                  // it is heard, and it hears this node
	Lost                    // it was, and is not any more
	Left                    // it said that it ends
)

func (s Standing) String() string { return [...]string{"unknown", "linked", "lost", "left"}[s] }

// Word is the last young one of a process of a node.
type Word struct {
	Process uint64
	At      int64 // no older than this, on the own clock
	Late    bool  // it said that it is late itself
	Payload []byte
}

// peer is one address of the list.
type peer struct {
	seq        uint32
	sentAt     [sentTimesKept]int64 // by seq
	nextSendAt int64
	processes  []*remoteProcess // of processes heard there, the latest first
	state      Standing
}

// remoteProcess is one process at an address.
type remoteProcess struct {
	Word
	seq        uint32
	nameHash   uint32
	receivedAt int64 // when anything of it came, young or not
	left       bool
}

// Members is one node's view.
type Members struct {
	nameHash     uint32
	process      uint64
	peers        []*peer
	rng          *rand.Rand
	sendInterval int64
	maxReportAge int64
	lastSendDue  int64
	late         bool
	leaving      bool

	Sent, Heard, SentBytes, ReceivedBytes int64
	Faults                                [frame.Faults]int64
	Stale                                 int64 // whole and new, but too old to count
	StateChanges                          int64 // of any node's standing
}

// New makes the view of a process of a node among so many others. Process is over 0 and differs from that of any other
// process.
func New(name uint32, process uint64, others int, seed int64) *Members {
	m := &Members{nameHash: name, process: process, rng: rand.New(rand.NewSource(seed)), sendInterval: Every(others + 1), maxReportAge: Young(others + 1)}
	for range others {
		m.peers = append(m.peers, &peer{})
	}
	return m
}

// Begin sets when each is told first.
func (m *Members) Begin(now int64) {
	m.lastSendDue = now
	for _, p := range m.peers {
		p.nextSendAt = now + m.rng.Int63n(m.sendInterval/4+1)
	}
}

// Late says whether this node's own loop is late. While it is, it finds nobody lost, and tells the others so.
func (m *Members) Late(late bool) { m.late = late }

// IsLate tells what Late was told last.
func (m *Members) IsLate() bool { return m.late }

// Send makes a datagram to one node that is sent at once, beside those that Due sends.
func (m *Members) Send(now int64, to int, payload []byte, send func(to int, p []byte)) {
	p := m.peers[to]
	p.seq++
	p.sentAt[p.seq%sentTimesKept] = now
	h := frame.Head{Name: m.nameHash, Process: m.process, Seq: p.seq, Late: m.late, Leaving: m.leaving}
	if len(p.processes) > 0 {
		h.Echo, h.EchoSeq = p.processes[0].Process, p.processes[0].seq
	}
	d := frame.Write(h, payload)
	m.Sent++
	m.SentBytes += int64(len(d))
	send(to, d)
}

// Name is the short hash of a node's name, as its latest process says; ok is false while nothing of it was heard.
func (m *Members) Name(no int) (name uint32, ok bool) {
	if w := m.peers[no].processes; len(w) > 0 {
		return w[0].nameHash, true
	}
	return 0, false
}

// Leave lets the next datagrams say that this node ends; they are due at once.
func (m *Members) Leave(now int64) {
	m.leaving = true
	for _, p := range m.peers {
		p.nextSendAt = now
	}
}

// Next is when Due must be called at the latest.
func (m *Members) Next() int64 {
	next := int64(1) << 62
	for _, p := range m.peers {
		next = min(next, p.nextSendAt)
	}
	return next
}

// Due sends what is due and goes through who is still heard. The payload is asked for once, if anything is sent.
func (m *Members) Due(now int64, payload func() []byte, send func(to int, p []byte)) {
	// A process that did not run, or whose clock jumped, has heard nothing meanwhile and can blame nobody for that.
	if gap := now - m.lastSendDue; gap > 2*m.sendInterval || gap < 0 {
		for _, p := range m.peers {
			for _, h := range p.processes {
				h.At = min(h.At+gap, now)
			}
			p.sentAt = [sentTimesKept]int64{} // what comes now may be as old as the gap
		}
	}
	m.lastSendDue = now
	var body []byte
	for to, p := range m.peers {
		m.updateState(now, p)
		if now < p.nextSendAt {
			continue
		}
		if body == nil {
			body = payload()
		}
		m.Send(now, to, body, send)
		p.nextSendAt = now + m.sendInterval*9/10 + m.rng.Int63n(m.sendInterval/5+1)
	}
}

// updateState says what is believed of a node by now.
func (m *Members) updateState(now int64, p *peer) {
	was := p.state
	for i := len(p.processes) - 1; i >= 0; i-- {
		if h := p.processes[i]; now-h.receivedAt > 4*m.maxReportAge { // guards the memory against processes that are gone
			p.processes = append(p.processes[:i], p.processes[i+1:]...)
		}
	}
	linked, left := false, false
	for _, h := range p.processes {
		linked = linked || !h.left && h.At > 0 && now-h.At <= m.maxReportAge
		left = left || h.left
	}
	switch {
	case linked:
		p.state = Linked
	case left:
		p.state = Left
	case was == Linked && !m.late:
		p.state = Lost
	}
	if p.state != was {
		m.StateChanges++
	}
}

// Take takes a datagram of a node. ok is true where its word is young and new.
func (m *Members) Take(now int64, from int, d []byte) (w Word, ok bool) {
	h, payload, fault := frame.Read(d)
	m.Heard++
	m.ReceivedBytes += int64(len(d))
	if fault == frame.None && (from < 0 || from >= len(m.peers)) {
		fault = frame.Stranger
	}
	if fault == frame.None && (h.Process == m.process || h.Process == 0) {
		fault = frame.Replayed // its own, thrown back
	}
	if fault != frame.None {
		m.Faults[fault]++
		return w, false
	}
	p := m.peers[from]
	e := p.findProcess(h.Process)
	if e == nil {
		e = &remoteProcess{Word: Word{Process: h.Process}}
		if len(p.processes) >= maxProcessesPerAddress {
			p.processes = p.processes[:maxProcessesPerAddress-1]
		}
		p.processes = append([]*remoteProcess{e}, p.processes...)
	} else if int32(h.Seq-e.seq) <= 0 {
		m.Faults[frame.Replayed]++
		return w, false
	}
	e.seq, e.nameHash, e.receivedAt, e.left = h.Seq, h.Name, now, h.Leaving
	p.moveToFront(e)
	at := int64(0)
	if h.Echo == m.process && h.EchoSeq != 0 && p.seq-h.EchoSeq < sentTimesKept {
		at = p.sentAt[h.EchoSeq%sentTimesKept]
	}
	if at == 0 || now-at > m.maxReportAge {
		m.Stale++
		return w, false
	}
	e.At, e.Late = max(e.At, at), h.Late
	e.Payload = append(e.Payload[:0], payload...)
	m.updateState(now, p)
	return e.Word, true
}

// Bad counts a datagram whose figures can't be.
func (m *Members) Bad(f frame.Fault) { m.Faults[f]++ }

func (p *peer) findProcess(process uint64) *remoteProcess {
	for _, h := range p.processes {
		if h.Process == process {
			return h
		}
	}
	return nil
}

// moveToFront puts a process before the others of its address.
func (p *peer) moveToFront(e *remoteProcess) {
	for i, h := range p.processes {
		if h == e {
			copy(p.processes[1:i+1], p.processes[:i])
			p.processes[0] = e
			return
		}
	}
}

// Standing is what is believed of a node.
func (m *Members) Standing(no int) Standing { return m.peers[no].state }

// Linked counts the nodes that are.
func (m *Members) Linked() (n int) {
	for _, p := range m.peers {
		if p.state == Linked {
			n++
		}
	}
	return n
}

// Others is how many nodes there are besides this one.
func (m *Members) Others() int { return len(m.peers) }

// Oldest is the age of the oldest word that still counts, in microseconds; 0 where none does.
func (m *Members) Oldest(now int64) (age int64) {
	for _, p := range m.peers {
		for _, h := range p.processes {
			if p.state == Linked && !h.left && h.At > 0 && now-h.At <= m.maxReportAge {
				age = max(age, now-h.At)
			}
		}
	}
	return age
}

// YoungFor is for how long a word counts.
func (m *Members) YoungFor() int64 { return m.maxReportAge }
