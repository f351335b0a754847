// Package lease assigns ownership of 64 slots to the processes of a fleet: each slot has at most one owner at any moment,
// whatever fails. The package does no I/O and reads no clock; all times are microseconds of the caller's clock.
//
// A slot is owned by the votes of a majority of all configured nodes. Who seems to be alive plays no part in it. A voter
// grants its vote for a fixed term and votes for no other process until that term has passed on its own clock. The owner
// counts its term from before it sent the request. Two simultaneous owners would need two majorities, and thus a voter
// that voted for both. Nothing is stored on disk: a process that starts has lost its votes, so it grants none until the
// longest of them must have expired. This is the diskless lease of "PaxosLease: Diskless Paxos for Leases" (Trencseni,
// Gazso, Reinhardt, 2012) without its proposals, because nothing but the lease itself is agreed on.
//
// Two clocks are assumed to drift apart by a tenth at most. When a clock jumps ahead, or a process was paused, the votes
// it granted last longer and its ownership ends sooner. When a clock jumps back, the process loses all ownership.
package lease

import (
	"encoding/binary"
	"math/bits"
)

// Units of time, in microseconds.
const (
	ms     = int64(1000)
	second = 1000 * ms
)

// Slots is the number of slots; a key belongs to the slot key % Slots.
const Slots = 64

// MaxNodes is the largest number of voting nodes. Each node is asked and answers in a datagram of its own, so the bound
// guards against a nonsensical configuration file.
const MaxNodes = 4096

// Terms and intervals, in microseconds.
const (
	VoteTerm      = 2 * second        // how long a vote binds its voter, on the voter's clock
	OwnerTerm     = VoteTerm * 8 / 10 // how long a majority makes an owner, on the owner's clock, from before it asked
	renewBefore   = OwnerTerm / 2     // an owner renews when less than this remains
	retryInterval = 150 * ms          // between two requests for the same slots
	maxTickGap    = 100 * ms          // a longer gap between two ticks counts as a clock jump or a pause
)

// Datagram kinds and sizes in bytes.
const (
	requestKind = 2
	voteKind    = 3
	requestSize = 1 + 4 + 8       // kind, round, slots
	voteSize    = requestSize + 8 // and the process voted for: a vote for an ended process must not count for its successor
)

// vote is the vote of this node for one slot.
type vote struct {
	process   uint64
	expiresAt int64
}

// slot is the state of this process as a candidate for one slot.
type slot struct {
	everOwned  bool     // whether this process has owned the slot before
	ownedUntil int64    // when the ownership expires
	ownedSince int64    // start of the uninterrupted ownership
	round      uint32   // of the last request
	votes      voterSet // votes received in that round
	ownerVotes voterSet // votes of the round that the ownership rests on
}

// voterSet is a set of nodes, one bit each, sized to its fleet.
type voterSet []uint64

func newVoterSet(nodes int) voterSet { return make(voterSet, (nodes+63)/64) }

func (v voterSet) add(node int) { v[node/64] |= 1 << (node % 64) }

func (v voterSet) count() (n int) {
	for _, word := range v {
		n += bits.OnesCount64(word)
	}
	return n
}

// voteRequest is a vote request that was sent.
type voteRequest struct {
	round  uint32
	sentAt int64
}

// Leases is the state of one process, both as a voter and as a candidate.
type Leases struct {
	process       uint64
	self          int // index of this node among all
	nodes         int
	noVotesBefore int64 // no vote is granted before this time
	now           int64
	votes         [Slots]vote
	slots         [Slots]slot
	round         uint32
	requests      [8]voteRequest // the last requests, by round
	nextRequestAt int64
}

// New returns the state of a process of the node with index self in a fleet of so many nodes. The process identifier must
// differ from that of any other process, past or present.
func New(process uint64, self, nodes int) *Leases {
	l := &Leases{process: process, self: self, nodes: nodes}
	l.reset()
	return l
}

// reset drops all ownership and forgets all requests.
func (l *Leases) reset() {
	for s := range l.slots {
		l.slots[s] = slot{votes: newVoterSet(l.nodes), ownerVotes: newVoterSet(l.nodes)}
	}
	clear(l.requests[:])
}

// Start sets the clock at the start of the process. Votes are withheld until those of an earlier process have expired.
func (l *Leases) Start(now int64) {
	l.now = now
	l.noVotesBefore = now + VoteTerm*11/10
}

// Restart gives up all ownership and withholds votes as at the start of a process. It is called when another process of this
// node may have voted until now.
func (l *Leases) Restart(now int64) {
	l.reset()
	l.Start(now)
	l.nextRequestAt = now
}

// Tick advances the clock. It has to be called in each loop iteration, every 50 ms at least.
func (l *Leases) Tick(now int64) {
	gap := now - l.now
	l.now = now
	if gap >= 0 && gap <= maxTickGap {
		return
	}
	// Votes granted are extended as if no time had passed. Ownership expires as if all of it had; after a jump back it
	// ends at once.
	l.noVotesBefore += gap
	for s := range l.votes {
		l.votes[s].expiresAt += gap
	}
	if gap < 0 {
		l.reset()
		l.nextRequestAt = now
	}
}

// Owned reports whether this process owns a slot now, and since when without interruption.
func (l *Leases) Owned(s int) (since int64, ok bool) {
	return l.slots[s].ownedSince, l.slots[s].everOwned && l.now < l.slots[s].ownedUntil
}

// VoterCount returns the number of nodes whose votes the ownership of a slot rests on, including this node; 0 if this
// process does not own the slot. While the ownership lasts, each of these nodes votes for no other process and knows
// that its vote is outstanding.
func (l *Leases) VoterCount(s int) int {
	if _, ok := l.Owned(s); !ok {
		return 0
	}
	return l.slots[s].ownerVotes.count()
}

// VoteOutstanding reports whether a vote of this node for the slot may still count, whether granted by this process or
// by an earlier one.
func (l *Leases) VoteOutstanding(s int) bool {
	return l.now < l.noVotesBefore || l.now < l.votes[s].expiresAt
}

// ExpiresAt returns when the ownership of a slot expires unless it is renewed.
func (l *Leases) ExpiresAt(s int) int64 { return l.slots[s].ownedUntil }

// RequestVotes requests votes for the wanted slots that are not owned, or are due for renewal. The send function transmits
// the payload to each other node. The wanted function says whether this process should own a slot; it is only a guess,
// so that usually one node asks rather than all.
func (l *Leases) RequestVotes(wanted func(s int) bool, send func(payload []byte)) {
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
	request.round = l.round
	request.sentAt = l.now
	payload := binary.LittleEndian.AppendUint32([]byte{requestKind}, l.round)
	send(binary.LittleEndian.AppendUint64(payload, mask))
	l.countVotes(l.self, l.round, l.grantVotes(l.process, mask))
}

// grantVotes votes for a process on those slots of the mask that are free, and returns the mask of the votes granted.
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

// countVotes counts the votes of a node in a round and takes ownership of the slots that reach a majority.
func (l *Leases) countVotes(voter int, round uint32, granted uint64) {
	request := l.requests[round%uint32(len(l.requests))]
	if request.round != round || round == 0 || voter < 0 || voter >= l.nodes {
		return
	}
	for s := range l.slots {
		if granted&(1<<s) == 0 {
			continue
		}
		candidacy := &l.slots[s]
		if candidacy.round != round {
			if int32(round-candidacy.round) < 0 {
				continue // a later request is under way
			}
			candidacy.round = round
			clear(candidacy.votes)
		}
		candidacy.votes.add(voter)
		until := request.sentAt + OwnerTerm
		if 2*candidacy.votes.count() > l.nodes && (until > candidacy.ownedUntil || !candidacy.everOwned) && l.now < until {
			if l.now >= candidacy.ownedUntil || !candidacy.everOwned {
				candidacy.ownedSince = l.now
			}
			candidacy.everOwned = true
			candidacy.ownedUntil = until
		}
		if candidacy.everOwned && until == candidacy.ownedUntil {
			copy(candidacy.ownerVotes, candidacy.votes)
		}
	}
}

// HandleMessage handles a message of a process of another node. A vote that is granted is sent back by the answer
// function. It returns false if the payload is neither a request nor a vote, or is malformed.
func (l *Leases) HandleMessage(from int, process uint64, payload []byte, answer func(payload []byte)) bool {
	isRequest := len(payload) == requestSize && payload[0] == requestKind
	isVote := len(payload) == voteSize && payload[0] == voteKind
	if !isRequest && !isVote {
		return false
	}
	round := binary.LittleEndian.Uint32(payload[1:])
	mask := binary.LittleEndian.Uint64(payload[5:])
	if isVote {
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
