// Package lease decides which node of a fleet owns what for a while: for each of 64 slots at most one process at any
// moment, whatever fails. It has no I/O and no clock.
//
// A slot is owned by the votes of a majority of all nodes named in the files, never by a belief in who lives. A voter
// gives its vote for a stated time and to nobody else until that is over on its own clock; the owner counts its time
// from before it asked. Two owners at once would need two majorities, and so a voter that voted for both. Nothing is
// kept on disk: a process that starts has forgotten its votes and gives none until the longest of them is over. This is
// the diskless lease of "PaxosLease: Diskless Paxos for Leases" (Trencseni, Gazso, Reinhardt, 2012), without its
// proposals: nothing but the lease itself is agreed on.
//
// Assumed is that two clocks run apart by a tenth at most. A clock that jumps ahead, or a process that stood still, has
// its votes last longer and its ownership end sooner; one that jumps back loses all it owned.
package lease

import (
	"encoding/binary"
	"math/bits"
)

const (
	ms     = int64(1000)
	second = 1000 * ms

	Slots         = 64
	VoteTerm      = 2 * second        // a vote lasts so long on its voter's clock
	OwnerTerm     = VoteTerm * 8 / 10 // and makes its owner so for so long on the owner's, from before it asked
	renewBefore   = OwnerTerm / 2     // before its end an owner asks again
	retryInterval = 150 * ms          // between two askings for the same slots
	maxTickGap    = 100 * ms          // between two turns: more of it is taken for a jump or a standstill

	requestKind = 2
	voteKind    = 3
	requestSize = 1 + 4 + 8
	voteSize    = requestSize + 8 // and the process that it is for: a vote for one that is gone counts for none after it
)

// vote is what this node gave for a slot.
type vote struct {
	process   uint64
	expiresAt int64
}

// slot is what this process has of one.
type slot struct {
	everOwned  bool     // it was owned once
	ownedUntil int64    // it owns it until then
	ownedSince int64    // without a break
	round      uint32   // of the last asking
	votes      voterSet // of that
	ownerVotes voterSet // of the asking that the ownership rests on
}

// voterSet is a set of nodes, a bit each, as large as its fleet.
type voterSet []uint64

func newVoterSet(nodes int) voterSet { return make(voterSet, (nodes+63)/64) }

func (v voterSet) add(node int) { v[node/64] |= 1 << (node % 64) }

func (v voterSet) count() (n int) {
	for _, word := range v {
		n += bits.OnesCount64(word)
	}
	return n
}

// Leases is one process's part.
type Leases struct {
	process       uint64
	self          int // number of this node among all
	nodes         int
	noVotesBefore int64 // it votes for nobody before
	now           int64
	votes         [Slots]vote
	slots         [Slots]slot
	round         uint32
	requests      [8]struct { // the last askings
		round uint32
		at    int64
	}
	nextRequestAt int64
}

// New makes the part of a process of node self, one of so many. Process must differ from that of any other process.
func New(process uint64, self, nodes int) *Leases {
	l := &Leases{process: process, self: self, nodes: nodes}
	l.reset()
	return l
}

// reset forgets all that this process asked for and was given.
func (l *Leases) reset() {
	for s := range l.slots {
		l.slots[s] = slot{votes: newVoterSet(l.nodes), ownerVotes: newVoterSet(l.nodes)}
	}
	clear(l.requests[:])
}

// Begin is the first turn.
func (l *Leases) Begin(now int64) { l.now, l.noVotesBefore = now, now+VoteTerm*11/10 }

// Turn begins a turn of the loop: every 50 ms at least.
func (l *Leases) Turn(now int64) {
	gap := now - l.now
	l.now = now
	if gap >= 0 && gap <= maxTickGap {
		return
	}
	// Votes given last as if no time had passed; what is owned ends as if all had, or at once.
	l.noVotesBefore += gap
	for s := range l.votes {
		l.votes[s].expiresAt += gap
	}
	if gap < 0 {
		l.reset()
		l.nextRequestAt = now
	}
}

// Owned tells whether this process owns a slot now, and since when without a break.
func (l *Leases) Owned(s int) (since int64, ok bool) {
	return l.slots[s].ownedSince, l.slots[s].everOwned && l.now < l.slots[s].ownedUntil
}

// Voters is how many nodes' votes an ownership rests on, the own one included: while it lasts each of them votes for no
// other, and knows that it gave this one (Lent).
func (l *Leases) Voters(s int) int {
	if _, ok := l.Owned(s); !ok {
		return 0
	}
	return l.slots[s].ownerVotes.count()
}

// Lent tells whether a vote of this node, by this process or by one before it, may still count for an owner of a slot.
func (l *Leases) Lent(s int) bool { return l.now < l.noVotesBefore || l.now < l.votes[s].expiresAt }

// Until is when the ownership ends if it isn't renewed.
func (l *Leases) Until(s int) int64 { return l.slots[s].ownedUntil }

// Ask asks all nodes for the slots that this one should own, where they are due; send gives it to each other node. mine
// tells whether a slot should be: a belief, and only good for that one asks and not all.
func (l *Leases) Ask(wanted func(s int) bool, send func(payload []byte)) {
	if l.now < l.nextRequestAt {
		return
	}
	mask := uint64(0)
	for s := range l.slots {
		if wanted(s) && (!l.slots[s].everOwned || l.slots[s].ownedUntil-l.now < renewBefore) {
			mask |= 1 << s
		}
	}
	if mask == 0 {
		return
	}
	l.nextRequestAt = l.now + retryInterval
	l.round++
	request := &l.requests[l.round%uint32(len(l.requests))]
	request.round, request.at = l.round, l.now
	payload := binary.LittleEndian.AppendUint32([]byte{requestKind}, l.round)
	send(binary.LittleEndian.AppendUint64(payload, mask))
	l.countVotes(l.self, l.round, l.grantVotes(l.process, mask))
}

// grantVotes votes for a process on such of the slots as it may.
func (l *Leases) grantVotes(process uint64, mask uint64) (granted uint64) {
	if l.now < l.noVotesBefore {
		return 0
	}
	for s := range l.votes {
		v := &l.votes[s]
		if mask&(1<<s) != 0 && (v.process == process || l.now >= v.expiresAt) {
			*v = vote{process, l.now + VoteTerm}
			granted |= 1 << s
		}
	}
	return granted
}

// countVotes takes in votes.
func (l *Leases) countVotes(voter int, round uint32, granted uint64) {
	request := l.requests[round%uint32(len(l.requests))]
	if request.round != round || round == 0 || voter < 0 || voter >= l.nodes {
		return
	}
	for s := range l.slots {
		if granted&(1<<s) == 0 {
			continue
		}
		owned := &l.slots[s]
		if owned.round != round {
			if int32(round-owned.round) < 0 {
				continue // a later asking is under way
			}
			owned.round = round
			clear(owned.votes)
		}
		owned.votes.add(voter)
		if until := request.at + OwnerTerm; 2*owned.votes.count() > l.nodes && (until > owned.ownedUntil || !owned.everOwned) && l.now < until {
			if l.now >= owned.ownedUntil || !owned.everOwned {
				owned.ownedSince = l.now
			}
			owned.everOwned, owned.ownedUntil = true, until
		}
		if owned.everOwned && request.at+OwnerTerm == owned.ownedUntil {
			copy(owned.ownerVotes, owned.votes)
		}
	}
}

// Take takes a message of a process of another node; answer goes back to it. False for what is none of these, or wrong.
func (l *Leases) Take(from int, process uint64, payload []byte, answer func(payload []byte)) bool {
	if !(len(payload) == requestSize && payload[0] == requestKind || len(payload) == voteSize && payload[0] == voteKind) {
		return false
	}
	round, mask := binary.LittleEndian.Uint32(payload[1:]), binary.LittleEndian.Uint64(payload[5:])
	if payload[0] == voteKind {
		if binary.LittleEndian.Uint64(payload[requestSize:]) == l.process {
			l.countVotes(from, round, mask)
		}
		return true
	}
	if granted := l.grantVotes(process, mask); granted != 0 {
		reply := binary.LittleEndian.AppendUint32([]byte{voteKind}, round)
		reply = binary.LittleEndian.AppendUint64(reply, granted)
		answer(binary.LittleEndian.AppendUint64(reply, process))
	}
	return true
}

// MostNodes can vote. Each is asked and answers in a datagram of its own; guards against a file without sense.
const MostNodes = 4096
