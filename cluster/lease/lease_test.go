package lease

import "testing"

// newFleet returns the processes of one fleet, all long past their start.
func newFleet(nodes int) (all []*Leases) {
	for node := range nodes {
		l := New(uint64(node+1), node, nodes)
		l.Start(0)
		l.Tick(2 * VoteTerm)
		l.noVotesBefore = 0
		all = append(all, l)
	}
	return all
}

// requestVotes lets a node request votes for a slot. Only the nodes with an index below reached receive the request, and
// each of their votes arrives in so many copies.
func requestVotes(all []*Leases, node, slot, reached, copies int) {
	l := all[node]
	l.RequestVotes(func(s int) bool { return s == slot }, func(payload []byte) {
		for other := range reached {
			if other == node {
				continue
			}
			all[other].HandleMessage(node, l.process, payload, func(answer []byte) {
				for range copies {
					l.HandleMessage(other, all[other].process, answer, nil)
				}
			})
		}
	})
}

// TestMajorityInLargeFleets guards against two owners of a slot in fleets with more nodes than one 64-bit word has bits.
// Half of the votes are no majority, however often each arrives; one more is, and no other node gets a majority meanwhile.
func TestMajorityInLargeFleets(t *testing.T) {
	for _, nodes := range []int{3, 64, 65, 350, 1024, MaxNodes} {
		all := newFleet(nodes)
		requestVotes(all, 0, 7, nodes/2, 3)
		if _, ok := all[0].Owned(7); ok {
			t.Errorf("%d nodes: slot is owned with %d votes", nodes, nodes/2)
		}
		requestVotes(all, nodes-1, 8, nodes/2, 3) // its own vote makes the majority
		if _, ok := all[nodes-1].Owned(8); !ok || all[nodes-1].VoterCount(8) != nodes/2+1 {
			t.Errorf("%d nodes: slot is not owned with %d votes, want %d", nodes, all[nodes-1].VoterCount(8), nodes/2+1)
		}
		requestVotes(all, 1, 8, nodes, 1)
		if _, ok := all[1].Owned(8); ok {
			t.Errorf("%d nodes: slot has two owners", nodes)
		}
		if _, ok := all[nodes-1].Owned(7); ok {
			t.Errorf("%d nodes: node owns a slot that it never requested", nodes)
		}
	}
}

// TestVotesOfUnknownNodes guards the voter set against indexes that no node of the fleet has.
func TestVotesOfUnknownNodes(t *testing.T) {
	all := newFleet(65)
	l := all[0]
	l.RequestVotes(func(s int) bool { return s == 7 }, func(payload []byte) {
		for other := 1; other < 33; other++ {
			all[other].HandleMessage(0, l.process, payload, func(answer []byte) {
				l.HandleMessage(other, all[other].process, answer, nil)
				for _, unknown := range []int{-1, 65, 1 << 20} {
					l.HandleMessage(unknown, all[other].process, answer, nil)
				}
			})
		}
	})
	if _, ok := l.Owned(7); !ok || l.VoterCount(7) != 33 {
		t.Errorf("slot owned: %t, with %d votes; want 33", ok, l.VoterCount(7))
	}
}

// TestOneOwnerWhileVoterIsRolled guards against two owners of a slot when a voter is replaced by a new process of its node: the
// old process votes until the new one takes its address over, long after the new one started.
func TestOneOwnerWhileVoterIsRolled(t *testing.T) {
	all := newFleet(3)
	const rolled, first, second, slot = 0, 1, 2, 7
	successor := New(9, rolled, 3)
	successor.Start(2 * VoteTerm)
	advance := func(until int64) {
		for _, l := range append([]*Leases{successor}, all...) {
			for l.now < until {
				l.Tick(min(l.now+maxTickGap, until))
			}
		}
	}
	start := int64(2 * VoteTerm)
	advance(start + VoteTerm*12/10)
	requestVotes(all[:second], first, slot, second, 1) // with the vote of the old process
	if _, ok := all[first].Owned(slot); !ok {
		t.Fatal("no owner with two of three votes")
	}
	successor.Restart(successor.now) // it has bound the address
	all[rolled] = successor
	for now := successor.now; now < start+3*VoteTerm; now += retryInterval {
		advance(now)
		requestVotes([]*Leases{successor, nil, all[second]}, second, slot, first, 1)
		_, one := all[first].Owned(slot)
		if _, two := all[second].Owned(slot); one && two {
			t.Fatal("two owners", now-start, "us after the new process started")
		}
	}
	if _, ok := all[second].Owned(slot); !ok {
		t.Fatal("the new process never votes")
	}
}
