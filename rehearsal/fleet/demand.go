package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"

	"coursewinch/rehearsal/scenario"
)

// scheduleDemand schedules the arrival of all clients.
func (w *World) scheduleDemand() {
	demand := w.script.Demand
	if demand.Flows != "" {
		for _, recorded := range w.script.RecordedClients {
			w.Schedule(recorded.At.Microseconds(), func() { w.startRecordedClient(recorded) })
		}
	} else if demand.Rate > 0 {
		w.Schedule(w.nextArrivalTime(0), w.handleArrival)
	}
	if demand.Standing > 0 {
		w.Schedule(-standingLeadTime, w.createStandingFlows)
	}
	for i, loop := range demand.Loops {
		address := netip.Addr{}
		if loop.OneAddress {
			address = clientAddress(lastClientNumber - uint64(i))
		}
		for range loop.Count {
			w.scheduleSpecialClient(loop.At.Microseconds(), loop.For.Microseconds(), loop.Type, loop.Zone, true, 0, address)
		}
	}
	for _, group := range demand.Bulk {
		for range group.Count {
			w.scheduleSpecialClient(group.At.Microseconds(), group.For.Microseconds(), group.Type, group.Zone, false, group.Window, netip.Addr{})
		}
	}
	for _, group := range demand.BadClients {
		w.Schedule(group.At.Microseconds(), func() { w.scheduleBadClients(group) })
	}
}

const (
	lastClientNumber       = 1<<23 - 1   // highest number that clientAddress maps to an address of its own
	standingLeadTime       = second      // time before the run at which clients with standing flows connect
	standingConnectTimeout = 30 * second // their connect timeout
)

// createStandingFlows starts the clients whose flows were established before the run. Each is at the host that holds its
// flow, and part of its life is over.
func (w *World) createStandingFlows() {
	demand, fleet := w.script.Demand, w.script.Fleet
	shares, lives := 0.0, 0.0
	for _, t := range w.script.Types {
		shares += t.Share
		lives += t.Share * t.Life
	}
	weights, total := make([]float64, len(w.hosts)), 0.0
	for i, h := range w.hosts {
		if h.state == hostRunning {
			weights[i] = h.capacity() * logNormal(w.demandRand, demand.StandingTilt)
		}
		total += weights[i]
	}
	for range int(demand.Standing*demand.Rate*w.rateMultiplier(0)*demand.Life.Seconds()*lives/shares + 0.5) {
		cl := w.drawClient(func(t scenario.ServiceType) float64 { return t.Share * t.Life })
		lengthBias := math.Exp(fleet.LifeSpread * fleet.LifeSpread) // a flow found at a random time is longer than the average
		cl.endsAt = int64(float64(cl.endsAt-w.now) * lengthBias * cl.profileRand.Float64())
		draw := w.demandRand.Float64() * total
		for i, h := range w.hosts {
			if draw -= weights[i]; draw < 0 {
				cl.initialHost = h
				break
			}
		}
		if cl.endsAt > 0 && cl.initialHost != nil {
			cl.start()
		}
	}
}

// rateMultiplier returns the factor of the arrival rate at a time, interpolated between the waves of the script.
func (w *World) rateMultiplier(at int64) float64 {
	waves := w.script.Demand.Waves
	if len(waves) == 0 {
		return 1
	}
	before := waves[0]
	if at <= before.At.Microseconds() {
		return before.RateMultiplier
	}
	for _, wave := range waves[1:] {
		if at < wave.At.Microseconds() {
			fraction := float64(at-before.At.Microseconds()) / float64(wave.At-before.At)
			return before.RateMultiplier + fraction*(wave.RateMultiplier-before.RateMultiplier)
		}
		before = wave
	}
	return before.RateMultiplier
}

// nextArrivalTime draws the next arrival of a Poisson process with a varying rate, by thinning one with the peak rate.
func (w *World) nextArrivalTime(from int64) int64 {
	peak := 0.0
	for _, wave := range w.script.Demand.Waves {
		peak = max(peak, wave.RateMultiplier)
	}
	if len(w.script.Demand.Waves) == 0 {
		peak = 1
	}
	if peak == 0 {
		return never
	}
	at := float64(from)
	for at < float64(w.run.Length) {
		at += w.demandRand.ExpFloat64() / (w.script.Demand.Rate * peak) * 1e6
		if w.demandRand.Float64()*peak < w.rateMultiplier(int64(at)) {
			return int64(at)
		}
	}
	return never
}

// handleArrival starts a client and schedules the next arrival.
func (w *World) handleArrival() {
	if w.now > w.run.Length {
		return
	}
	w.startDrawnClient()
	if next := w.nextArrivalTime(w.now); next != never {
		w.Schedule(next, w.handleArrival)
	}
}

// newClient creates a client with its own random sources, key and address.
func (w *World) newClient(serviceType, zone int) *client {
	w.clientCount++
	number := w.clientCount
	cl := &client{world: w, number: number, serviceType: serviceType, zone: zone, startedAt: w.now,
		eventRand:   rand.New(rand.NewPCG(w.seed, uint64(randClients)+2*number)),
		profileRand: rand.New(rand.NewPCG(w.seed, uint64(randClients)+2*number+1))}
	cl.key = fmt.Sprintf("%016x", cl.profileRand.Uint64())
	cl.address = clientAddress(number)
	return cl
}

// clientAddress returns the address of a client. Each client has its own one in 127.128.0.0/9, so that runs on sockets can
// use them, too.
func clientAddress(number uint64) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 128 | byte(number>>16&0x7f), byte(number >> 8), byte(number)})
}

// startDrawnClient starts a client whose service type is drawn by share.
func (w *World) startDrawnClient() {
	w.drawClient(func(t scenario.ServiceType) float64 { return t.Share }).start()
}

// drawClient creates a client as the script describes them. Its service type is drawn by weight.
func (w *World) drawClient(weight func(scenario.ServiceType) float64) *client {
	total, typeIndex := 0.0, 0
	for _, serviceType := range w.script.Types {
		total += weight(serviceType)
	}
	for draw := w.demandRand.Float64() * total; typeIndex < len(w.script.Types)-1 && draw >= weight(w.script.Types[typeIndex]); typeIndex++ {
		draw -= weight(w.script.Types[typeIndex])
	}
	cl := w.newClient(typeIndex, w.drawZone())
	serviceType, fleet := w.script.Types[typeIndex], w.script.Fleet
	cl.baseLoad = serviceType.Load * logNormal(cl.profileRand, fleet.LoadSpread)
	cl.endsAt = w.now + int64(float64(w.script.Demand.Life)*serviceType.Life*logNormal(cl.profileRand, fleet.LifeSpread))
	cl.endedByHost = cl.profileRand.IntN(2) == 0
	if fleet.Groups > 0 {
		cl.group = fmt.Sprintf("g%d", int(float64(fleet.Groups)*math.Pow(cl.profileRand.Float64(), 1.6))) // groups differ in size
	}
	return cl
}

// startRecordedClient starts a client of a capture, whose load changes as recorded.
func (w *World) startRecordedClient(recorded scenario.RecordedClient) {
	cl := w.newClient(recorded.Type, recorded.Zone)
	cl.group, cl.baseLoad, cl.endsAt, cl.fromCapture = recorded.Group, recorded.Loads[0].Load, w.now+recorded.Life.Microseconds(), true
	if recorded.Key != "" {
		cl.key = recorded.Key
	}
	cl.start()
	for _, step := range recorded.Loads[1:] {
		w.after(step.After.Microseconds(), func() { cl.setLoad(step.Load) })
	}
}

// drawZone draws the zone of a client by the weights of the script. A zone has weight 1 if the script gives none,
// and weight 0 if it has no nodes.
func (w *World) drawZone() int {
	total := 0.0
	weight := func(i int) float64 {
		if len(w.nodesByZone[i]) == 0 {
			return 0
		}
		if v, ok := w.script.Demand.ZoneWeights[w.script.Zones[i]]; ok {
			return v
		}
		return 1
	}
	for i := range w.script.Zones {
		total += weight(i)
	}
	draw := w.demandRand.Float64() * total
	for i := range w.script.Zones {
		if draw -= weight(i); draw < 0 {
			return i
		}
	}
	return w.nodes[0].zone
}

// logNormal draws a value of a log-normal distribution with mean 1.
func logNormal(random *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)
}

// specialClientLoad is the load of looping and bulk clients: next to nothing.
const specialClientLoad = 0.01

// scheduleSpecialClient schedules a client that loops or sends in bulk. A duration of 0 means until the end of the run; an
// invalid address means one of its own.
func (w *World) scheduleSpecialClient(at, duration int64, serviceType, zone string, loops bool, bulkWindow int, address netip.Addr) {
	w.Schedule(at, func() {
		zoneIndex := w.nodes[0].zone
		if zone != "" {
			zoneIndex = w.zoneIndex(zone)
		}
		cl := w.newClient(max(w.script.TypeIndex(serviceType), 0), zoneIndex)
		cl.baseLoad, cl.endsAt, cl.looping, cl.bulkWindow = specialClientLoad, w.now+duration, loops, bulkWindow
		if address.IsValid() {
			cl.address = address
		}
		if duration == 0 {
			cl.endsAt = w.run.Length
		}
		cl.start()
	})
}
