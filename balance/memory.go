package balance

import (
	"maps"
	"slices"
)

// A node hands what its balancer has learned on to its successor, the process of the next version, which then does not
// start cold. All times are on the clock that both processes share. Memory and ServerMemory are encoded under the names
// of their fields.

// ServerMemory is what is handed on of one server.
type ServerMemory struct {
	Started       int64
	Latency       [histBins]uint32
	Rank, Fastest int64 // median latency, shortest probe
	Skipped       bool
	Limit         float64 // load limit; 0 for none
}

// Memory is what is handed on besides the servers.
type Memory struct {
	Setups [][histBins]uint32 // set-up times by service type
	Every  [histBins]uint32   // set-up times of all service types
	Loads  [][2]float64       // sum and number of measured loads, by service type
	Held   float64            // own flows per server
	Known  map[uint64]float64 // loads of keys that may return
	Fresh  float64            // written by versions that paced set-ups; not used, but the strict decoder has to accept it
}

// Memory returns what the balancer has learned.
func (b *Balancer) Memory() Memory {
	m := Memory{Every: b.allSetupTimes.bins, Held: b.flowsPerServer, Known: maps.Clone(b.loadsByKey)}
	for i := range b.setupTimes {
		m.Setups = append(m.Setups, b.setupTimes[i].bins)
		m.Loads = append(m.Loads, [2]float64{b.typeLoads[i].sum, b.typeLoads[i].n})
	}
	return m
}

// ServerMemory returns what the balancer has learned of a server.
func (b *Balancer) ServerMemory(s *Server) ServerMemory {
	m := ServerMemory{
		Started: s.Started,
		Latency: s.latency.bins,
		Rank:    s.rankLatency,
		Fastest: s.fastestProbe,
		Skipped: s.skipped,
	}
	if s.loadLimit < noLimit {
		m.Limit = s.loadLimit
	}
	return m
}

// ForTypes returns the memory with its service types, which are named old, in the order of names. A type that is not in old
// gets empty values. If old does not fit the memory, nothing is kept by type.
func (m Memory) ForTypes(old, names []string) Memory {
	setups, loads := m.Setups, m.Loads
	m.Setups, m.Loads = nil, nil
	if len(setups) != len(old) || len(loads) != len(old) {
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

// Restore takes over the memory of another process. Implausible values, and a memory made for another number of service
// types, are ignored.
func (b *Balancer) Restore(now int64, m Memory) {
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
			continue // nothing is known of this type
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

// RestoreServer takes over the memory of a server that the list names. If the server has been started anew since,
// nothing is taken over.
func (b *Balancer) RestoreServer(s *Server, m ServerMemory) {
	if m.Started != s.Started || !isPlausible(m.Limit) || m.Rank < 0 || m.Fastest < 0 {
		return
	}
	s.latency.restore(m.Latency, serverSamples)
	s.rankLatency, s.fastestProbe = m.Rank, m.Fastest
	if m.Limit > 0 {
		s.loadLimit = m.Limit
	}
	s.skipped = m.Skipped && b.settings.Probing // without probes nothing would end the skip
	b.rankingStale = true
}

// isPlausible reports whether x is a finite number from 0 up to noLimit.
func isPlausible(x float64) bool { return x >= 0 && x < noLimit }
