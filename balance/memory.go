package balance

import (
	"maps"
	"slices"
)

// What a balancer knows can go on to another process of the same node, which then doesn't begin cold. All times are on
// the clock that both go by.

const loadSamples = 200 // samples of loads

// ServerMemory is what is handed on of a server.
type ServerMemory struct {
	Started       int64
	Latency       [histBins]uint32
	Rank, Fastest int64
	Skipped       bool
	Limit         float64 // 0 for none
}

// Memory is what is handed on besides.
type Memory struct {
	Setups [][histBins]uint32 // by service type
	Every  [histBins]uint32
	Loads  [][2]float64 // sum and number, by service type
	Held   float64
	Known  map[uint64]float64 // loads of keys that may come again
	Fresh  float64            // of versions that paced set-ups: it has to be readable, and counts for nothing
}

// Memory gives what the balancer knows.
func (b *Balancer) Memory() Memory {
	m := Memory{Every: b.allSetupTimes.bins, Held: b.flowsPerServer, Known: maps.Clone(b.loadsByKey)}
	for i := range b.setupTimes {
		m.Setups = append(m.Setups, b.setupTimes[i].bins)
		m.Loads = append(m.Loads, [2]float64{b.typeLoads[i].sum, b.typeLoads[i].n})
	}
	return m
}

// MemoryOf gives what it knows of a server.
func (b *Balancer) MemoryOf(s *Server) ServerMemory {
	m := ServerMemory{Started: s.Started, Latency: s.latency.bins, Rank: s.rankLatency, Fastest: s.fastestProbe, Skipped: s.skipped}
	if s.loadLimit < noLimit {
		m.Limit = s.loadLimit
	}
	return m
}

// By gives what is handed on in the order of other service types, by their names. Of those that it doesn't know, nothing.
func (m Memory) By(old, names []string) Memory {
	setups, loads := m.Setups, m.Loads
	if m.Setups, m.Loads = nil, nil; len(setups) != len(old) || len(loads) != len(old) {
		return m
	}
	for _, name := range names {
		if i := slices.Index(old, name); i >= 0 {
			m.Setups, m.Loads = append(m.Setups, setups[i]), append(m.Loads, loads[i])
		} else {
			m.Setups, m.Loads = append(m.Setups, [histBins]uint32{}), append(m.Loads, [2]float64{})
		}
	}
	return m
}

// Recall takes over what another knew. What makes no sense, or was made for other service types, is left out.
func (b *Balancer) Recall(now int64, m Memory) {
	if len(m.Setups) != len(b.setupTimes) || len(m.Loads) != len(b.typeLoads) || !isPlausible(m.Held) {
		return
	}
	for _, l := range m.Loads {
		if !isPlausible(l[0]) || !isPlausible(l[1]) {
			return
		}
	}
	for i := range b.setupTimes {
		if m.Loads[i][1] < 1 {
			continue // nothing is known of this one
		}
		b.setupTimes[i].restore(m.Setups[i], nodeSamples)
		n := min(m.Loads[i][1], loadSamples)
		b.typeLoads[i] = Mean{m.Loads[i][0] / m.Loads[i][1] * n, n}
	}
	b.allSetupTimes.restore(m.Every, nodeSamples)
	for key, load := range m.Known {
		if isPlausible(load) && len(b.loadsByKey) < maxLoadsByKey {
			b.loadsByKey[key] = load
		}
	}
	b.flowsPerServer = m.Held
}

// RecallOf takes over what another knew of a server that the list names; of one that was started anew since, nothing.
func (b *Balancer) RecallOf(s *Server, m ServerMemory) {
	if m.Started != s.Started || !isPlausible(m.Limit) || m.Rank < 0 || m.Fastest < 0 {
		return
	}
	s.latency.restore(m.Latency, serverSamples)
	s.rankLatency, s.fastestProbe = m.Rank, m.Fastest
	if m.Limit > 0 {
		s.loadLimit = m.Limit
	}
	s.skipped = m.Skipped && b.settings.Probing // a skipped one comes back by probes alone
	b.rankingStale = true
}

func isPlausible(x float64) bool { return x >= 0 && x < noLimit }

// restore takes bins over, as long as they are no more samples than are ever held.
func (h *Hist) restore(bins [histBins]uint32, most uint32) {
	total := uint64(0)
	for _, n := range bins {
		total += uint64(n)
	}
	if total <= uint64(most) {
		h.bins, h.total = bins, uint32(total)
	}
}
