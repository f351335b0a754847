package fleet

import (
	"math/rand/v2"
	"slices"

	"coursewinch/rehearsal/scenario"
)

// The links between nodes carry datagrams, each independent of the others. What happens to them in the network is drawn
// from a random source of its own.

// linkFault is a fault of links in force.
type linkFault struct {
	*scenario.Fault
	fromNodes, toNodes []bool // by node; toNodes is nil if the fault is about the links with all other nodes
	parts              []int  // for a split, the part of each node
}

const (
	maxSeenDatagrams = 4096       // number of datagrams kept for replay
	maxReplayDelay   = 4 * second // until a replayed datagram arrives
	maxReorderDelay  = 2 * second // added to a datagram that others overtake
)

// seenDatagram is a datagram that the network did not lose, kept for replay.
type seenDatagram struct {
	from, to int
	payload  []byte
}

// affects reports whether a fault is about datagrams from one node to another.
func (f *linkFault) affects(from, to int) bool {
	switch {
	case f.parts != nil:
		return f.parts[from] != f.parts[to]
	case f.toNodes != nil:
		return f.fromNodes[from] && f.toNodes[to]
	case f.Kind == "link_mute", f.Kind == "link_liar":
		return f.fromNodes[from]
	case f.Kind == "link_cut":
		return f.fromNodes[from] != f.fromNodes[to]
	}
	return f.fromNodes[from] || f.fromNodes[to]
}

// injectLinkFault starts a fault of the links of some nodes, or of those between them and the nodes in to.
func (w *World) injectLinkFault(fault *scenario.Fault, nodes, to []int) {
	active := &linkFault{Fault: fault, fromNodes: make([]bool, len(w.nodes))}
	for _, n := range nodes {
		active.fromNodes[n] = true
	}
	if len(to) > 0 {
		active.toNodes = make([]bool, len(w.nodes))
		for _, n := range to {
			active.toNodes[n] = true
		}
	}
	if fault.Kind == "link_split" {
		for n := range w.nodes {
			active.parts = append(active.parts, n%fault.Parts)
		}
	}
	w.linkFaults = append(w.linkFaults, active)
	w.after(fault.For.Microseconds(), func() {
		w.linkFaults = slices.DeleteFunc(w.linkFaults, func(o *linkFault) bool { return o == active })
	})
}

// SendDatagram sends a datagram from a node to another. Faults may lose, delay, duplicate or change it.
func (w *World) SendDatagram(from, to int, payload []byte) {
	w.run.Counts.Datagrams++
	w.run.Counts.DatagramBytes += len(payload)
	random := w.linkRand
	fromZone, toZone := w.nodes[from].zone, w.nodes[to].zone
	if fromZone != toZone && (w.zoneLinks[fromZone].cuts > 0 || w.zoneLinks[toZone].cuts > 0) {
		return
	}
	base := w.script.Network.SameZone.Microseconds()
	if fromZone != toZone {
		base = w.script.Network.CrossZone.Microseconds() + w.zoneLinks[fromZone].addedDelay + w.zoneLinks[toZone].addedDelay
	}
	jitter := w.script.Network.Jitter
	copies, delay := 1, int64(float64(base)*(1-jitter+2*jitter*random.Float64()))
	for _, fault := range w.linkFaults {
		if !fault.affects(from, to) {
			continue
		}
		switch fault.Kind {
		case "link_cut", "link_mute", "link_split":
			return
		case "link_loss":
			if random.Float64() < fault.Size {
				return
			}
		case "link_delay":
			delay += int64(float64(fault.Delay.Microseconds()) * (1 - fault.Size + 2*fault.Size*random.Float64()))
		case "link_twice":
			if random.Float64() < fault.Size {
				copies++
			}
		case "link_mixed":
			if random.Float64() < fault.Size {
				delay += maxReorderDelay * int64(random.IntN(1000)) / 1000
			}
		case "link_bent":
			if random.Float64() < fault.Size {
				payload = slices.Clone(payload)
				payload[random.IntN(len(payload))] ^= byte(1 + random.IntN(255))
			}
		case "link_liar":
			payload = w.falseReport(payload)
		case "link_again":
			w.replayDatagram(fault, random)
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

// deliverDatagram delivers a datagram after a delay, if the receiving node runs then.
func (w *World) deliverDatagram(from, to int, payload []byte, delay int64) {
	w.after(max(delay, 1), func() {
		if w.nodes[to].running {
			w.player.ReceiveDatagram(to, from, payload)
		}
	})
}

// replayDatagram sends, with the probability of the fault's size, an earlier datagram once more to the same node.
func (w *World) replayDatagram(fault *linkFault, random *rand.Rand) {
	if len(w.seenDatagrams) > 0 && random.Float64() < fault.Size {
		datagram := w.seenDatagrams[random.IntN(len(w.seenDatagrams))]
		w.deliverDatagram(datagram.from, datagram.to, datagram.payload, random.Int64N(maxReplayDelay))
	}
}
