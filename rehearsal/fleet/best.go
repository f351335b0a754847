package fleet

import (
	"math"

	"coursewinch/rehearsal/scenario"
)

// MaxBenefitRate returns an upper bound of the benefit per second that the hosts of a script can serve when wanted[t]
// flows of each service type t want a connection. It assumes that all hosts are warm and healthy and that flows are
// placed with complete knowledge; a flow has the load of its type, is not divided and never ends. It ignores set-ups,
// probes and the shared work of groups, so no run reaches it.
func MaxBenefitRate(s *scenario.Script, wanted []float64) float64 {
	type loadedHost struct {
		rate, cores float64 // work per second of a core; number of cores
		load        float64
		flows       []float64 // by service type
	}
	var hosts []*loadedHost
	for _, g := range s.Hosts {
		for range g.Count {
			hosts = append(hosts, &loadedHost{rate: coreWorkPerSecond * g.Speed, cores: g.Cores, flows: make([]float64, len(s.Types))})
		}
	}
	// Work per second of a flow of load 1, and work of one of its messages.
	unitRate := coreWorkPerSecond / s.Fleet.FlowsPerCore
	messageWork := unitRate * float64(s.Clients.LineInterval) / 1e6 / messagesPerLine
	// benefitRate returns the benefit per second of a host with one flow of type added, or as it is if added is -1.
	benefitRate := func(h *loadedHost, added int) (total float64) {
		load, held := h.load, 0.0
		if added >= 0 {
			load += s.Types[added].Load * unitRate
		}
		for t, serviceType := range s.Types {
			if held = h.flows[t]; t == added {
				held++
			}
			if held > 0 {
				free := 1 - min(load/(h.rate*h.cores), maxMessageLoad)
				total += held * serviceType.Benefit * (1 - math.Exp(-float64(serviceType.MessageTarget.Microseconds())/1e6*free*h.rate/messageWork))
			}
		}
		return total
	}
	remaining, total := append([]float64(nil), wanted...), 0.0
	for { // place the flow with the highest gain per load
		var bestHost *loadedHost
		bestType, bestGain := -1, 0.0
		for t, serviceType := range s.Types {
			if remaining[t] < 1 {
				continue
			}
			for _, h := range hosts {
				if gain := (benefitRate(h, t) - benefitRate(h, -1)) / serviceType.Load; gain > bestGain {
					bestHost, bestType, bestGain = h, t, gain
				}
			}
		}
		if bestHost == nil {
			return total
		}
		total += bestGain * s.Types[bestType].Load
		bestHost.load += s.Types[bestType].Load * unitRate
		bestHost.flows[bestType]++
		remaining[bestType]--
	}
}
