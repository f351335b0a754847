package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"

	"coursewinch/rehearsal/scenario"
)

// scheduleDemand sets all clients up, one after another as they come.
func (w *World) scheduleDemand() {
	d := w.script.Demand
	if d.Flows != "" {
		for _, f := range w.script.Recorded {
			w.At(f.At.Us(), func() { w.startRecordedClient(f) })
		}
	} else if d.Rate > 0 {
		w.At(w.nextArrivalTime(0), w.handleArrival)
	}
	if d.Standing > 0 {
		w.At(-standingLeadTime, w.createStandingFlows)
	}
	for i, l := range d.Loops {
		from := netip.Addr{}
		if l.OneAddress {
			from = clientAddress(1<<23 - 1 - uint64(i))
		}
		for range l.Count {
			w.scheduleSpecialClient(l.At.Us(), l.For.Us(), l.Type, l.Zone, true, 0, from)
		}
	}
	for _, b := range d.Bulk {
		for range b.Count {
			w.scheduleSpecialClient(b.At.Us(), b.For.Us(), b.Type, b.Zone, false, b.Window, netip.Addr{})
		}
	}
	for _, b := range d.BadClients {
		w.At(b.At.Us(), func() { w.scheduleBadClients(b) })
	}
}

const (
	standingLeadTime       = second      // the start: the flows that stood before come
	standingConnectTimeout = 30 * second // they wait for so long
)

// createStandingFlows brings the clients whose flows stood before the run: each at the host that holds it, and partly through.
func (w *World) createStandingFlows() {
	d, f := w.script.Demand, w.script.Fleet
	shares, lives := 0.0, 0.0
	for _, t := range w.script.Types {
		shares += t.Share
		lives += t.Share * t.Life
	}
	weights, total := make([]float64, len(w.hosts)), 0.0
	for i, h := range w.hosts {
		if h.state == hostRunning {
			weights[i] = h.capacity() * logNormal(w.demandRand, d.StandingTilt)
		}
		total += weights[i]
	}
	for range int(d.Standing*d.Rate*w.rateMultiplier(0)*d.Life.Seconds()*lives/shares + 0.5) {
		cl := w.drawClient(func(t scenario.ServiceType) float64 { return t.Share * t.Life })
		longer := math.Exp(f.LifeSpread * f.LifeSpread) // one met at some moment is a long one
		cl.endsAt = int64(float64(cl.endsAt-w.now) * longer * cl.profileRand.Float64())
		x := w.demandRand.Float64() * total
		for i, h := range w.hosts {
			if x -= weights[i]; x < 0 {
				cl.initialHost = h
				break
			}
		}
		if cl.endsAt > 0 && cl.initialHost != nil {
			cl.start()
		}
	}
}

// rateMultiplier is by how much the rate is multiplied at a moment.
func (w *World) rateMultiplier(at int64) float64 {
	waves := w.script.Demand.Waves
	if len(waves) == 0 {
		return 1
	}
	before := waves[0]
	if at <= before.At.Us() {
		return before.RateMultiplier
	}
	for _, v := range waves[1:] {
		if at < v.At.Us() {
			part := float64(at-before.At.Us()) / float64(v.At-before.At)
			return before.RateMultiplier + part*(v.RateMultiplier-before.RateMultiplier)
		}
		before = v
	}
	return before.RateMultiplier
}

// nextArrivalTime is the next moment of a Poisson process whose rate changes.
func (w *World) nextArrivalTime(from int64) int64 {
	top := 0.0
	for _, v := range w.script.Demand.Waves {
		top = max(top, v.RateMultiplier)
	}
	if len(w.script.Demand.Waves) == 0 {
		top = 1
	}
	if top == 0 {
		return never
	}
	at := float64(from)
	for at < float64(w.run.Length) {
		at += w.demandRand.ExpFloat64() / (w.script.Demand.Rate * top) * 1e6
		if w.demandRand.Float64()*top < w.rateMultiplier(int64(at)) {
			return int64(at)
		}
	}
	return never
}

func (w *World) handleArrival() {
	if w.now > w.run.Length {
		return
	}
	w.startDrawnClient()
	if next := w.nextArrivalTime(w.now); next != never {
		w.At(next, w.handleArrival)
	}
}

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

// clientAddress is that of a client: one each, of 127.128.0.0/9, so that live play can use them too.
func clientAddress(number uint64) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 128 | byte(number>>16&0x7f), byte(number >> 8), byte(number)})
}

// startDrawnClient is a new client.
func (w *World) startDrawnClient() {
	w.drawClient(func(t scenario.ServiceType) float64 { return t.Share }).start()
}

// drawClient makes a client by the script's figures; its type goes by weight.
func (w *World) drawClient(weight func(scenario.ServiceType) float64) *client {
	total, pick := 0.0, 0
	for _, t := range w.script.Types {
		total += weight(t)
	}
	for x := w.demandRand.Float64() * total; pick < len(w.script.Types)-1 && x >= weight(w.script.Types[pick]); pick++ {
		x -= weight(w.script.Types[pick])
	}
	cl := w.newClient(pick, w.drawZone())
	t, f := w.script.Types[pick], w.script.Fleet
	cl.baseLoad = t.Load * logNormal(cl.profileRand, f.LoadSpread)
	cl.endsAt = w.now + int64(float64(w.script.Demand.Life)*t.Life*logNormal(cl.profileRand, f.LifeSpread))
	cl.endedByHost = cl.profileRand.IntN(2) == 0
	if f.Groups > 0 {
		cl.group = fmt.Sprintf("g%d", int(float64(f.Groups)*math.Pow(cl.profileRand.Float64(), 1.6))) // some are larger than others
	}
	return cl
}

// startRecordedClient is a client of a capture: its load changes as it did then.
func (w *World) startRecordedClient(r scenario.Recorded) {
	cl := w.newClient(r.Type, r.Zone)
	cl.group, cl.baseLoad, cl.endsAt, cl.fromCapture = r.Group, r.Loads[0].Load, w.now+r.Life.Us(), true
	if r.Key != "" {
		cl.key = r.Key
	}
	cl.start()
	for _, l := range r.Loads[1:] {
		w.after(l.After.Us(), func() { cl.setLoad(l.Load) })
	}
}

// drawZone is by nodes' number and the script's weights.
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
	x := w.demandRand.Float64() * total
	for i := range w.script.Zones {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return w.nodes[0].zone
}

// logNormal draws a log-normal figure of mean 1.
func logNormal(random *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)
}

// scheduleSpecialClient is a client that loops, or sends in bulk.
func (w *World) scheduleSpecialClient(at, length int64, serviceType, zone string, loops bool, window int, from netip.Addr) {
	w.At(at, func() {
		zoneIndex := w.nodes[0].zone
		if zone != "" {
			zoneIndex = w.zoneIndex(zone)
		}
		cl := w.newClient(max(w.script.TypeNo(serviceType), 0), zoneIndex)
		cl.baseLoad, cl.endsAt, cl.looping, cl.bulkWindow = 0.01, w.now+length, loops, window
		if from.IsValid() {
			cl.address = from
		}
		if length == 0 {
			cl.endsAt = w.run.Length
		}
		cl.start()
	})
}
