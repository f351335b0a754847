package fleet

import (
	"math"

	"coursewinch/rehearsal/scenario"
)

// Best is the benefit a second that a fleet of warm, sound hosts serves at most when so many flows of each service type
// want a connection and someone who knows everything deals them out: loads are those of the types, flows are whole and
// stand for ever. It counts neither set-ups nor probes nor shared work of groups, so nothing that is played reaches it.
func Best(s *scenario.Script, wanted []float64) float64 {
	type place struct {
		rate, cores float64 // work a second of a core; cores
		load        float64
		held        []float64
	}
	var places []*place
	for _, g := range s.Hosts {
		for range g.Count {
			places = append(places, &place{rate: coreWorkPerSecond * g.Speed, cores: g.Cores, held: make([]float64, len(s.Types))})
		}
	}
	usual := coreWorkPerSecond / s.Fleet.PerCore
	message := usual * float64(s.Clients.LineInterval) / 1e6 / messagesPerLine
	worth := func(p *place, more int) (total float64) {
		load, held := p.load, 0.0
		if more >= 0 {
			load += s.Types[more].Load * usual
		}
		for t, k := range s.Types {
			if held = p.held[t]; t == more {
				held++
			}
			if held > 0 {
				free := 1 - min(load/(p.rate*p.cores), 0.999)
				total += held * k.Benefit * (1 - math.Exp(-float64(k.MessageTarget.Us())/1e6*free*p.rate/message))
			}
		}
		return total
	}
	left, total := append([]float64(nil), wanted...), 0.0
	for {
		var at *place
		kind, most := -1, 0.0
		for t, k := range s.Types {
			if left[t] < 1 {
				continue
			}
			for _, p := range places {
				if gain := (worth(p, t) - worth(p, -1)) / k.Load; gain > most {
					at, kind, most = p, t, gain
				}
			}
		}
		if at == nil {
			return total
		}
		total += most * s.Types[kind].Load
		at.load += s.Types[kind].Load * usual
		at.held[kind]++
		left[kind]--
	}
}
