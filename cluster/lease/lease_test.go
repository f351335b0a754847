package lease

import "testing"

// newFleet are so many processes of one fleet, all long past their start.
func newFleet(nodes int) (all []*Leases) {
	for node := range nodes {
		l := New(uint64(node+1), node, nodes)
		l.Begin(0)
		l.Turn(2 * VoteTerm)
		l.noVotesBefore = 0
		all = append(all, l)
	}
	return all
}

// requestVotes has one ask for a slot; such of the others as come before a number hear it, and it hears each of their votes so often.
func requestVotes(all []*Leases, node, slot, reached, copies int) {
	l := all[node]
	l.Ask(func(s int) bool { return s == slot }, func(payload []byte) {
		for other := range reached {
			if other == node {
				continue
			}
			all[other].Take(node, l.process, payload, func(answer []byte) {
				for range copies {
					l.Take(other, all[other].process, answer, nil)
				}
			})
		}
	})
}

// Guards one owner a slot in fleets that no single word has bits enough for: half of the votes are none, however often each
// comes, one more is, and no other gets a majority meanwhile.
func TestMajorityInLargeFleets(t *testing.T) {
	for _, nodes := range []int{3, 64, 65, 350, 1024, MostNodes} {
		all := newFleet(nodes)
		requestVotes(all, 0, 7, nodes/2, 3)
		if _, ok := all[0].Owned(7); ok {
			t.Errorf("%d nodes: owned by %d votes", nodes, nodes/2)
		}
		requestVotes(all, nodes-1, 8, nodes/2, 3) // its own is one more
		if _, ok := all[nodes-1].Owned(8); !ok || all[nodes-1].Voters(8) != nodes/2+1 {
			t.Errorf("%d nodes: not owned by %d votes of %d", nodes, all[nodes-1].Voters(8), nodes/2+1)
		}
		requestVotes(all, 1, 8, nodes, 1)
		if _, ok := all[1].Owned(8); ok {
			t.Errorf("%d nodes: two own one slot", nodes)
		}
		if _, ok := all[nodes-1].Owned(7); ok {
			t.Errorf("%d nodes: owns what it never asked for", nodes)
		}
	}
}

// Guards the set against a number that no node of the fleet has.
func TestVotesOfUnknownNodes(t *testing.T) {
	all := newFleet(65)
	l := all[0]
	l.Ask(func(s int) bool { return s == 7 }, func(p []byte) {
		for other := 1; other < 33; other++ {
			all[other].Take(0, l.process, p, func(answer []byte) {
				l.Take(other, all[other].process, answer, nil)
				for _, nobody := range []int{-1, 65, 1 << 20} {
					l.Take(nobody, all[other].process, answer, nil)
				}
			})
		}
	})
	if _, ok := l.Owned(7); !ok || l.Voters(7) != 33 {
		t.Error("votes", l.Voters(7))
	}
}
