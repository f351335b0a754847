package fleet

import (
	"math/rand/v2"
	"slices"

	"coursewinch/rehearsal/scenario"
)

// The links between nodes: datagrams, each on its own. What the network does to them is drawn from a source of its own.

// linkFault is one fault of links in force.
type linkFault struct {
	*scenario.Fault
	from, to []bool // by node; to is nil where both ways between those and the others are meant
	part     []int  // by node, for a split
}

const (
	maxSeenDatagrams = 4096 // datagrams kept to be sent again
	maxReplayDelay   = 4 * second
)

// seenDatagram is one that passed, for faults that send it again.
type seenDatagram struct {
	from, to int
	payload  []byte
}

// affects tells whether a fault is about what goes from one node to another.
func (f *linkFault) affects(from, to int) bool {
	switch {
	case f.part != nil:
		return f.part[from] != f.part[to]
	case f.to != nil:
		return f.from[from] && f.to[to]
	case f.Kind == "link_mute", f.Kind == "link_liar":
		return f.from[from]
	case f.Kind == "link_cut":
		return f.from[from] != f.from[to]
	}
	return f.from[from] || f.from[to]
}

// injectLinkFault begins a fault of links.
func (w *World) injectLinkFault(f *scenario.Fault, nodes, to []int) {
	fault := &linkFault{Fault: f, from: make([]bool, len(w.nodes))}
	for _, n := range nodes {
		fault.from[n] = true
	}
	if len(to) > 0 {
		fault.to = make([]bool, len(w.nodes))
		for _, n := range to {
			fault.to[n] = true
		}
	}
	if f.Kind == "link_split" {
		for n := range w.nodes {
			fault.part = append(fault.part, n%f.Parts)
		}
	}
	w.linkFaults = append(w.linkFaults, fault)
	w.after(f.For.Us(), func() {
		w.linkFaults = slices.DeleteFunc(w.linkFaults, func(o *linkFault) bool { return o == fault })
	})
}

// Told is a datagram that a node sends another. It comes, or does not, or comes as something else.
func (w *World) Told(from, to int, payload []byte) {
	w.run.Counts.Datagrams++
	w.run.Counts.DatagramBytes += len(payload)
	random := w.linkRand
	a, b := w.nodes[from].zone, w.nodes[to].zone
	if a != b && (w.zoneLinks[a].cuts > 0 || w.zoneLinks[b].cuts > 0) {
		return
	}
	base := w.script.Network.SameZone.Us()
	if a != b {
		base = w.script.Network.CrossZone.Us() + w.zoneLinks[a].addedDelay + w.zoneLinks[b].addedDelay
	}
	j := w.script.Network.Jitter
	copies, delay := 1, int64(float64(base)*(1-j+2*j*random.Float64()))
	for _, f := range w.linkFaults {
		if !f.affects(from, to) {
			continue
		}
		switch f.Kind {
		case "link_cut", "link_mute", "link_split":
			return
		case "link_loss":
			if random.Float64() < f.Size {
				return
			}
		case "link_delay":
			delay += int64(float64(f.Delay.Us()) * (1 - f.Size + 2*f.Size*random.Float64()))
		case "link_twice":
			if random.Float64() < f.Size {
				copies++
			}
		case "link_mixed":
			if random.Float64() < f.Size {
				delay += 2 * second * int64(random.IntN(1000)) / 1000
			}
		case "link_bent":
			if random.Float64() < f.Size {
				payload = slices.Clone(payload)
				payload[random.IntN(len(payload))] ^= byte(1 + random.IntN(255))
			}
		case "link_liar":
			payload = w.falseReport(payload)
		case "link_again":
			w.replayDatagram(f, random)
		}
	}
	if len(w.seenDatagrams) < maxSeenDatagrams {
		w.seenDatagrams = append(w.seenDatagrams, seenDatagram{from, to, payload})
	} else {
		w.seenDatagrams[random.IntN(maxSeenDatagrams)] = seenDatagram{from, to, payload}
	}
	for range copies {
		w.deliverDatagram(from, to, payload, delay)
	}
}

func (w *World) deliverDatagram(from, to int, payload []byte, delay int64) {
	w.after(max(delay, 1), func() {
		if w.nodes[to].running {
			w.player.Datagram(to, from, payload)
		}
	})
}

// replayDatagram sends something that passed before once more, to the node that it was for.
func (w *World) replayDatagram(f *linkFault, random *rand.Rand) {
	if len(w.seenDatagrams) > 0 && random.Float64() < f.Size {
		d := w.seenDatagrams[random.IntN(len(w.seenDatagrams))]
		w.deliverDatagram(d.from, d.to, d.payload, random.Int64N(maxReplayDelay))
	}
}
