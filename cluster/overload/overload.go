// Package overload works out what a fleet under more demand than it can serve allows one of its nodes: how much each
// host has room for, which flows may be placed at all, how many connects may be tried again, how soon clients come back.
// It has no I/O and no clock, and its chance comes from a seed. It names no server for a flow: the decision module takes
// its figures as bounds.
//
// One rule serves a node that hears all others, some of them or nobody. Loads are those that are known: the own ones and
// what the others tell. The load at which a host was last seen to be full is learnt in the same units, so that a part of
// the fleet which hears itself alone learns a smaller figure for the same host, and all parts together stay below what
// it can do without a word between them.
package overload

import (
	"cmp"
	"math"
	"math/rand"
	"slices"

	"coursewinch/balance"
	"coursewinch/cluster/verdicts"
)

const (
	ms     = int64(1000)
	second = 1000 * ms

	// targetFill is the part of the load at which a host was full up to which it is filled. Near the knee messages wait although
	// cores are not yet idle; what was measured of other parts stands in docs/design/overload.md.
	targetFill = 0.60

	tickInterval               = 100 * ms
	minCutInterval             = 1500 * ms // between two cuts of one host: what was placed before has to show
	lateProbeMargin            = 1 * ms    // over the fastest probe, and a quarter of it: late
	lateProbeShare             = 0.25
	lateSetupFactorUnknownHost = 5.0 // times the calm set-up over all hosts, while that of the host is unknown
	lateSetupFactor            = 2.5 // times the calm set-up time, and
	lateSetupMargin            = 2 * ms
	cutEvidence                = 2.0         // evidence of a full host: two late signs with no good one between
	recentSigns                = 8           // own signs over all hosts, of which half late make one late sign at a host enough
	capacityGrowth             = 0.005       // by which a full load grows a second where the fleet is short of room and the host is well
	capacityRecovery           = 0.05        // below what the host bore before
	minCapacityGrowth          = 0.02        // of a usual flow's load a second
	minCapacity                = 0.25        // of a usual flow's load
	minCutShare                = 0.4         // of what a host bore well, below which lateness alone does not cut
	provenLoadDecay            = 0.01        // of that a second
	fillHorizon                = second      // within which the free room is given out
	demandSeconds              = 2.0         // seconds over which demand is counted
	admissionExponent          = 3           // how steeply odds fall with benefit for load
	reportHold                 = 8 * second  // a node that is not heard is taken to hold what it said last, and to go on placing;
	reportExpiry               = 30 * second // a lost node's last word counts ever less until then
	inUseWindow                = 10 * second // a host of which this node had a sign
	rejectionHold              = second      // a host that turned a flow away for want of room gets no further connect
	retryShare                 = 0.1         // of first connects
	maxRetryBudget             = 5.0
	benefitBuckets             = 32 // of benefit for load, half an octave each
	middleBucket               = 16
	unitLoad                   = 1e5 // microseconds of work a second: benefit 1 for this is in the middle
	minClientWait              = 250 * ms
	fewFlowsPerHost            = 4.0
	minScaleCutInterval        = second / 5 // between two cuts of the scale,
	scaleCutFactor             = 0.75       // to this part;
	scaleGrowthFactor          = 1.007      // it comes back by this with each good sign: level at one late sign in forty
	minScale                   = 0.02
	coldRateShare              = 0.35       // of what the rule lets all nodes send a cold host
	coldSlotLifetime           = second     // for which a flow due to it may be sent
	settleSeconds              = 1.5        // seconds
	maxReportedFactor          = 4.0        // times what fills a host, that one node is believed to hold there
	lateHostFill               = 0.7        // of that, while a host is slow
	usualLoadGain              = 0.02       // a tenth of a second
	maxRelativeFill            = 1.1        // times the mean fill, over which a host gets nothing new while the fleet is short
	maxRelativeLoad            = 1.25       // of the mean known load for its size that a host may hold, as the module has it for own load
	lateHostHold               = 6 * second // a host with a late sign gets nothing new, while fewer than half of them have one
	minWitnesses               = 2
)

// host is what is known of one server.
type host struct {
	server              *balance.Server
	hash                uint32
	coldSlotAt          int64   // when this node may next send it a flow while it is cold
	coldSlotStart       int64   // the start that this is about
	grantUntil          int64   // a grant for one flow to it, while it is cold, counts until then; 0: none
	allowedLoad         float64 // load that it may hold now; 0 while nothing says how much
	capacity            float64 // known load at which it is full; 0 while unknown
	provenLoad          float64 // the most that it bore well of late
	settledLoad         float64 // the same, of a second or two ago
	knownLoad           float64 // load there: own and told
	reportedLoad        float64 // the others' part of it
	lateEvidence        float64
	fastestProbe        int64 // probe
	baseline            setupBaseline
	observedAt          int64 // own, of any kind
	goodAt              int64
	lateAt              int64
	cutAt               int64
	rejectedAt          int64            // it turned a flow away
	index               int              // in order
	downAt              int64            // connects to it did not come up
	setupFailedAt       int64            // a set-up there failed
	setupGoodAt         int64            // one was good
	suspension          verdicts.Verdict // back from, by what others tell
	reportedSaturatedAt int64
	saturatedReports    int  // others that see it full
	rejectionReported   bool // one of the others was turned away: no further connect goes there, for first ones one word is not enough
	reported            bool // by others
	reportedCapacities  []float64
}

// report is the last word of one process of another node.
type report struct {
	from      int
	zone      uint32
	sentAfter int64
	late      bool
	demand    [benefitBuckets]float64
	typeLoads map[int]loadMean
	hosts     []hostEntry
}

type hostEntry struct {
	hash     uint32
	load     float64
	capacity float64
	flags    uint8
}

// Core is one node's.
type Core struct {
	rng          *rand.Rand
	settings     *balance.Settings
	nodes        int
	now          int64
	nextTick     int64
	late         bool
	clockJump    int64 // by which the clock has jumped, as far as is known
	maxReportAge int64 // for how long a word of others is as good as new

	hosts       map[*balance.Server]*host
	byHash      map[uint32]*host
	hostsByName []*host
	reports     map[uint64]*report
	processes   []uint64 // of these, in the order in which they were heard: sums come out the same every time
	nextHost    int      // where the next payload begins, when one does not hold all hosts

	fillScale       float64 // of what hosts are filled to, where few of the others are heard
	scaleCutAt      int64
	linkedShare     float64       // share of the others that are heard
	loadPerSize     float64       // known load for a unit of size
	sparseness      float64       // near 1 while this node has a flow or two a host, less the more it has
	mostHostsLate   bool          // half of the hosts in use and more
	ownLoad         float64       // own load
	unscaledLimit   float64       // the same without the scale
	totalLimit      float64       // that the own load may be by the scale; 0 while unknown
	baseline        setupBaseline // over all hosts
	recentLate      [recentSigns]bool
	signCount       int
	usualFlowLoad   float64                 // load of a flow
	ownDemand       [benefitBuckets]float64 // load asked for a second, own
	totalDemand     [benefitBuckets]float64 // and of all nodes heard
	threshold       float64                 // benefit for load at which odds are 1; 0: the fleet has room
	ownDemandShare  float64                 // part of all demand that is asked of this node
	usesGrants      func(*balance.Server) bool
	zone            uint32
	onSuspend       func(*balance.Server, verdicts.Verdict)
	draws           map[*balance.Flow]bool            // odds of flows that wait for a grant
	grantedServer   map[*balance.Flow]*balance.Server // whom they were granted
	capacityPerSize float64                           // load that fills a unit of size, by the hosts that showed it; kept when they leave
	meanFill        float64                           // known load over what hosts may hold
	meanFreeRoom    float64                           // mean free room of hosts with any
	ownTypeLoads    []loadMean                        // by service type, as seen here
	typeLoads       []float64                         // by service type, over all nodes heard
	meanFlowLoad    float64                           // load, over these
	clientWait      float64                           // microseconds, told to clients
	retryBudget     float64
	admittedLoad    float64 // load placed a second
	overloadedAt    int64

	Figures Figures
}

// Figures are for operators.
type Figures struct {
	Short              bool
	Bar                float64 // benefit for a unit of load, below which odds are under 1
	Free               float64 // load that the known hosts have room for
	Known              float64 // load on them
	Demand             float64 // load asked for a second, of all nodes heard
	Refused            int64   // flows, by odds
	Cuts               int64
	Retries            int64 // further connects allowed while short, and
	Withheld           int64 // refused
	Held               int   // hosts held back from by what others tell
	ReportingProcesses int   // whose words count
	InvalidReports     int64 // words with figures that can't be
}

// New makes the core of one node; others' words are as good as new for so long, microseconds.
func New(set *balance.Settings, nodes int, young, seed int64) *Core {
	return &Core{settings: set, nodes: nodes, fillScale: 1, rng: rand.New(rand.NewSource(seed)), maxReportAge: young, hosts: map[*balance.Server]*host{}, byHash: map[uint32]*host{},
		reports: map[uint64]*report{}, draws: map[*balance.Flow]bool{}, grantedServer: map[*balance.Flow]*balance.Server{}, retryBudget: maxRetryBudget, clientWait: float64(second)}
}

// List is told which servers there are now. What is known of one that stays is kept.
func (c *Core) List(servers []*balance.Server) {
	c.hostsByName = c.hostsByName[:0]
	clear(c.byHash)
	listed := map[*balance.Server]bool{}
	for _, s := range servers {
		listed[s] = true
		h := c.hosts[s]
		if h == nil {
			h = &host{server: s, hash: shortHash(s.Hash)}
			c.hosts[s] = h
		}
		if s.Started > c.now-c.clockJump && s.Started <= c.now {
			c.clockJump = c.now - s.Started // what it started after has passed: this process stood still
		}
		c.byHash[h.hash] = h
		c.hostsByName = append(c.hostsByName, h)
	}
	for s := range c.hosts {
		if !listed[s] {
			delete(c.hosts, s)
		}
	}
	slices.SortFunc(c.hostsByName, func(x, y *host) int { return cmp.Compare(x.server.Name, y.server.Name) })
	for no, h := range c.hostsByName {
		h.index = no
	}
}

func shortHash(hash uint64) uint32 { return uint32(hash ^ hash>>32) }

// Late says whether this node's own loop is late. What it sees of hosts meanwhile says nothing of them.
func (c *Core) Late(late bool) { c.late = late }

// Setup is how long a set-up took, less the own lateness; unsure ones are not told.
func (c *Core) Setup(s *balance.Server, took int64) {
	h := c.hosts[s]
	if h == nil || c.late {
		return
	}
	usual, times := h.baseline.usual, lateSetupFactor
	if usual == 0 {
		usual, times = c.baseline.usual, lateSetupFactorUnknownHost // hosts are of unlike speed, and ways of unlike length
	}
	h.setupGoodAt = c.now
	h.baseline.add(took, hostBaselineSamples)
	c.baseline.add(took, fleetBaselineSamples)
	c.observe(h, usual > 0 && float64(took) > times*float64(usual)+float64(lateSetupMargin))
}

const (
	hostBaselineSamples  = 5 // set-ups on a host, and on all, whose lower quartile is a candidate for the calm time
	fleetBaselineSamples = 9
)

// setupBaseline is how long set-ups take while there is room: the lowest lower quartile of a few on end. Heavy ones and jitter
// don't count, and what is full from some moment on does not raise it.
type setupBaseline struct {
	usual   int64 // 0 while unknown
	samples []int64
}

func (k *setupBaseline) add(took int64, of int) {
	if k.samples = append(k.samples, took); len(k.samples) < of {
		return
	}
	slices.Sort(k.samples)
	if q := k.samples[of/4]; k.usual == 0 || q < k.usual {
		k.usual = q
	} else {
		k.usual += min(k.usual/200, q-k.usual) // it may have become slower for good
	}
	k.samples = k.samples[:0]
}

// Load is what a host told of the load of a flow of some service type.
func (c *Core) Load(kind int, load float64) {
	for len(c.ownTypeLoads) <= kind {
		c.ownTypeLoads = append(c.ownTypeLoads, loadMean{})
	}
	if kind >= maxServiceTypes || !(load > 0) {
		return
	}
	o := &c.ownTypeLoads[kind]
	o.samples = min(o.samples+1, maxMeanSamples)
	o.mean += (load - o.mean) / o.samples
}

// loadMean is the mean load of a service type, and over how many it was taken.
type loadMean struct{ mean, samples float64 }

const (
	maxServiceTypes = 32  // service types whose loads are told
	maxMeanSamples  = 200 // loads over which a mean goes
)

// Probe is how long a probe took, less the own lateness.
func (c *Core) Probe(s *balance.Server, took int64) {
	h := c.hosts[s]
	if h == nil || c.late {
		return
	}
	late := h.fastestProbe > 0 && float64(took) > (1+lateProbeShare)*float64(h.fastestProbe)+float64(lateProbeMargin)
	if h.fastestProbe == 0 || took < h.fastestProbe {
		h.fastestProbe = took
	} else if !late {
		h.fastestProbe += (took - h.fastestProbe) / 50
	}
	c.observe(h, late)
}

// Reported is a server's own word on its load over what it can do.
func (c *Core) Reported(s *balance.Server, busy float64) {
	h := c.hosts[s]
	if h == nil || c.late || !(busy > 0.05 && busy < 100) || h.knownLoad <= 0 {
		return
	}
	full := h.knownLoad / busy / c.warmShare(h)
	if h.capacity == 0 {
		h.capacity = full
	}
	h.capacity += (full - h.capacity) / 4
}

// TurnedAway is that a server had no room for a flow.
func (c *Core) TurnedAway(s *balance.Server) {
	if h := c.hosts[s]; h != nil {
		h.rejectedAt = c.now
		c.observe(h, true)
	}
}

// Down is that a connect or a probe to a server did not come up.
func (c *Core) Down(s *balance.Server) {
	if h := c.hosts[s]; h != nil && !c.late {
		h.downAt = c.now
	}
}

// Sick is that a server's connection came up and the set-up failed.
func (c *Core) Sick(s *balance.Server) {
	if h := c.hosts[s]; h != nil && !c.late {
		h.setupFailedAt = c.now
	}
}

// Tell names the zone that the others are told, and whom to tell of each verdict by hearsay that begins.
func (c *Core) Tell(zone uint32, onHeld func(*balance.Server, verdicts.Verdict)) {
	c.zone, c.onSuspend = zone, onHeld
}

// Held tells of each server that is held back from by hearsay.
func (c *Core) Held(each func(*balance.Server, verdicts.Verdict)) {
	for _, h := range c.hostsByName {
		if h.suspension.Of != 0 {
			each(h.server, h.suspension)
		}
	}
}

// updateSuspensions takes together what the others tell of hosts: their verdicts.
func (c *Core) updateSuspensions() {
	var all []verdicts.Witness
	for _, id := range c.processes {
		o := c.reports[id]
		if c.now-o.sentAfter > c.maxReportAge {
			continue
		}
		w := verdicts.Witness{Late: o.late, Zone: o.zone}
		for _, e := range o.hosts {
			if h := c.byHash[e.hash]; h != nil {
				w.Hosts = append(w.Hosts, verdicts.HostReport{Host: h.index, Reasons: e.reasons()})
			}
		}
		all = append(all, w)
	}
	v := verdicts.View{Hosts: len(c.hostsByName), Linked: c.Figures.ReportingProcesses, Others: c.nodes - 1, Zone: c.zone,
		SameZone: func(no int) bool { return c.hostsByName[no].server.Zone == c.settings.Zone }}
	v.Contradicts = func(no int, of verdicts.Kind) bool {
		h := c.hostsByName[no]
		switch of {
		case verdicts.Down:
			return h.goodAt > h.downAt && c.now-h.goodAt < failureWindow
		case verdicts.SetupFails:
			return h.setupGoodAt > h.setupFailedAt && c.now-h.setupGoodAt < failureWindow
		case verdicts.Cold:
			return c.warmShare(h) < 1 // it has its budget here
		}
		return false
	}
	held := v.Suspended(all)
	c.Figures.Held = len(held)
	for _, h := range c.hostsByName {
		was := h.suspension
		if h.suspension = held[h.index]; was.Of == 0 && h.suspension.Of != 0 && c.onSuspend != nil {
			c.onSuspend(h.server, h.suspension)
		}
	}
}

// reasons is what a witness tells of a host.
func (e hostEntry) reasons() (k verdicts.Kind) {
	for _, is := range [...]struct {
		flag uint8
		of   verdicts.Kind
	}{{flagDown, verdicts.Down}, {flagSetupFails, verdicts.SetupFails}, {flagCold, verdicts.Cold}, {flagDraining, verdicts.Draining}} {
		if e.flags&is.flag != 0 {
			k |= is.of
		}
	}
	return k
}

// observe takes in one own observation of a server.
func (c *Core) observe(h *host, bad bool) {
	if c.warmShare(h) < 1 {
		return // a cold host is slow whatever it holds; the module sees to what it gets
	}
	c.recentLate[c.signCount%recentSigns] = bad
	c.signCount++
	h.observedAt = c.now
	if !bad {
		h.lateEvidence, h.goodAt = h.lateEvidence/2, c.now
		c.fillScale = min(c.fillScale*scaleGrowthFactor, 1)
		h.provenLoad = max(h.provenLoad, h.settledLoad)
		if h.capacity > 0 && h.settledLoad > h.capacity {
			h.capacity = h.settledLoad
		}
		return
	}
	h.lateAt = c.now
	h.lateEvidence++
	bads := 0
	for _, b := range c.recentLate {
		if b {
			bads++
		}
	}
	if c.now-c.scaleCutAt > minScaleCutInterval {
		// Guards a fleet of many nodes with a flow or two each on a host: what one holds there says nothing of the host.
		c.fillScale, c.scaleCutAt = max(c.fillScale*scaleCutFactor, minScale), c.now
		if c.unscaledLimit > 0 && 4*bads >= recentSigns {
			c.fillScale = max(min(c.fillScale, c.ownLoad/c.unscaledLimit), minScale)
		}
	}
	if h.lateEvidence >= cutEvidence || 2*bads >= recentSigns {
		c.cutCapacity(h)
	}
}

// cutCapacity takes the known load of a host for what fills it. Guards against cuts without end where lateness has another cause
// than load: below a part of what it bore well only failures count, and these the module sees.
func (c *Core) cutCapacity(h *host) {
	if c.now-h.cutAt < minCutInterval {
		return
	}
	h.cutAt, h.lateEvidence = c.now, cutEvidence/2
	full := max(h.settledLoad, minCutShare*h.provenLoad, minCapacity*c.usualFlowLoad)
	if h.capacity == 0 || full < h.capacity {
		h.capacity = full
		c.Figures.Cuts++
	}
}

// Turn begins a turn of the loop.
func (c *Core) Turn(now int64) {
	if now < c.now-second {
		c.clockWentBack(now)
	}
	if gap := now - c.now; c.now > 0 && max(gap, -gap) > second {
		c.clockJump += gap // the clock jumped, or this process stood still: hosts are no warmer for it
	}
	if c.now = now; now < c.nextTick && c.nextTick-now <= tickInterval {
		return
	}
	dt := float64(tickInterval) / float64(second)
	if c.nextTick > 0 {
		dt = min(max(float64(now-c.nextTick+tickInterval)/float64(second), 0), 1)
	}
	c.nextTick = now + tickInterval
	keep := math.Exp(-dt / demandSeconds)
	for b := range c.ownDemand {
		c.ownDemand[b] *= keep
	}
	c.admittedLoad *= keep
	c.gatherReports()
	c.updateSuspensions()
	c.updateTypeLoads()
	c.updateLoads(dt)
	c.updateCapacities(dt)
	c.updateThreshold()
}

// clockWentBack is that the clock went back: what was is taken to be just now. Guards against holds that last as long as the jump.
func (c *Core) clockWentBack(now int64) {
	for _, h := range c.hostsByName {
		for _, at := range []*int64{&h.coldSlotAt, &h.observedAt, &h.goodAt, &h.lateAt, &h.cutAt, &h.downAt, &h.setupFailedAt, &h.setupGoodAt, &h.rejectedAt, &h.reportedSaturatedAt} {
			*at = min(*at, now)
		}
	}
	for _, o := range c.reports {
		o.sentAfter = min(o.sentAfter, now)
	}
	c.scaleCutAt, c.overloadedAt, c.nextTick = min(c.scaleCutAt, now), min(c.overloadedAt, now), now
}

// gatherReports takes together what the others told of each host.
func (c *Core) gatherReports() {
	for _, h := range c.hostsByName {
		h.reportedLoad, h.saturatedReports, h.rejectionReported, h.reported, h.reportedCapacities = 0, 0, false, false, h.reportedCapacities[:0]
	}
	c.totalDemand = c.ownDemand
	var gone []uint64
	c.Figures.ReportingProcesses = 0
	for _, id := range c.processes {
		o := c.reports[id]
		age := c.now - o.sentAfter
		if age > reportExpiry {
			gone = append(gone, id)
			continue
		}
		// The flows of a node that is not heard stand all the same, for a while.
		weight := 1.0
		if age > max(reportHold, c.maxReportAge) {
			weight = float64(reportExpiry-age) / float64(reportExpiry-max(reportHold, c.maxReportAge))
		}
		young := age <= c.maxReportAge
		if young {
			c.Figures.ReportingProcesses++
			for b, d := range o.demand {
				c.totalDemand[b] += d
			}
		}
		for _, e := range o.hosts {
			h := c.byHash[e.hash]
			if h == nil {
				continue
			}
			load := e.load
			if h.capacity > 0 {
				load = min(load, maxReportedFactor*h.capacity) // one node alone holds no more, whatever it says
			}
			h.reportedLoad += weight * load
			if young {
				h.reported = true
				if e.capacity > 0 {
					h.reportedCapacities = append(h.reportedCapacities, e.capacity)
				}
				if e.flags&flagSaturated != 0 && !o.late {
					h.reportedSaturatedAt = c.now
					h.saturatedReports++
				}
				h.rejectionReported = h.rejectionReported || e.flags&flagRejected != 0
			}
		}
	}
	if c.nodes > 1 {
		c.linkedShare = min(float64(c.Figures.ReportingProcesses)/float64(c.nodes-1), 1)
	}
	for _, id := range gone {
		c.RemoveProcess(id)
	}
}

// updateTypeLoads works out what a flow of each service type is, over all nodes heard.
func (c *Core) updateTypeLoads() {
	c.typeLoads = c.typeLoads[:0]
	load, flows := 0.0, 0.0
	for k := range maxServiceTypes {
		sum, n := 0.0, 0.0
		if k < len(c.ownTypeLoads) {
			sum, n = c.ownTypeLoads[k].mean*c.ownTypeLoads[k].samples, c.ownTypeLoads[k].samples
		}
		for _, id := range c.processes {
			if o := c.reports[id]; c.now-o.sentAfter <= c.maxReportAge {
				sum, n = sum+o.typeLoads[k].mean*o.typeLoads[k].samples, n+o.typeLoads[k].samples
			}
		}
		if n == 0 && k >= len(c.ownTypeLoads) {
			break
		}
		c.typeLoads = append(c.typeLoads, sum/max(n, 1))
		load, flows = load+sum, flows+n
	}
	c.meanFlowLoad = load / max(flows, 1)
}

// updateLoads adds what is held here to what the others told.
func (c *Core) updateLoads(dt float64) {
	flows, load, used := 0, 0.0, 0
	for _, h := range c.hostsByName {
		if h.server.Flows() > 0 {
			used++
		}
		flows, load = flows+h.server.Flows(), load+h.server.Held()
		if h.knownLoad = h.server.Held() + h.reportedLoad; h.knownLoad < h.settledLoad {
			h.settledLoad = h.knownLoad
		} else {
			h.settledLoad += (h.knownLoad - h.settledLoad) * dt / settleSeconds // what was placed just now does not show yet
		}
	}
	c.ownLoad = load
	level, sizes := 0.0, 0.0
	for _, h := range c.hostsByName {
		if h.server.State == balance.Up && !h.server.Avoided(c.now) {
			level, sizes = level+h.knownLoad, sizes+h.server.Size
		}
	}
	c.sparseness = 1 / (1 + float64(flows)/float64(max(used, 1))/fewFlowsPerHost)
	c.loadPerSize = level / max(sizes, 1e-9)
	if flows > 0 && c.usualFlowLoad == 0 {
		c.usualFlowLoad = load / float64(flows)
	} else if flows > 0 {
		c.usualFlowLoad += (load/float64(flows) - c.usualFlowLoad) * usualLoadGain
	}
}

// updateCapacities moves what hosts are taken to bear.
func (c *Core) updateCapacities(dt float64) {
	for _, h := range c.hostsByName {
		h.provenLoad -= h.provenLoad * provenLoadDecay * dt
		if h.saturatedReports >= minWitnesses && c.warmShare(h) == 1 && !c.late && c.now-h.goodAt > second {
			c.cutCapacity(h)
		}
		if n := len(h.reportedCapacities); n > 0 {
			slices.Sort(h.reportedCapacities)
			mid := h.reportedCapacities[n/2]
			switch {
			case h.capacity == 0:
				h.capacity = mid
			case n+1 >= 3:
				h.capacity += (mid - h.capacity) * min(2*dt, 1) // all go by one figure, so that clients of two nodes have like chances
			}
		}
		if h.capacity == 0 {
			continue
		}
		if h.goodAt > h.lateAt && c.now-h.goodAt < inUseWindow && c.Short() && h.knownLoad > 0.9*targetFill*h.capacity {
			rate := capacityGrowth
			if h.capacity < h.provenLoad {
				rate = capacityRecovery
			}
			h.capacity += dt * max(rate*h.capacity, minCapacityGrowth*c.usualFlowLoad)
		}
		h.capacity = max(h.capacity, minCapacity*c.usualFlowLoad)
	}
}

// fillLimit is the load up to which a host is filled; ok is false while nothing says how much that is.
func (c *Core) fillLimit(h *host) (load float64, ok bool) {
	load = targetFill * c.effectiveScale() * h.capacity * c.warmShare(h)
	if c.isLate(h) || h.saturatedReports >= minWitnesses {
		load *= lateHostFill // what has piled up is worked off with what is left of it
	}
	return load, h.capacity > 0
}

// warmShare is the share of what it can do that a host has by now.
func (c *Core) warmShare(h *host) float64 {
	at := c.now - c.clockJump
	if end := h.server.Started + c.settings.ColdTime; h.server.Started > 0 && at < end {
		return max(1-(1-c.settings.ColdFrom)*float64(end-at)/float64(c.settings.ColdTime), 0.01)
	}
	return 1
}

// effectiveScale is the scale, by how few of the others are heard.
func (c *Core) effectiveScale() float64 { return 1 - (1-c.fillScale)*(1-c.linkedShare)*c.sparseness }

// updateThreshold sets the bar at which the demand that is let pass fills the free room within the horizon.
func (c *Core) updateThreshold() {
	free, some, known, unknown := 0.0, 0, 0.0, 0
	open := 0.0
	capAll, inUseNow, badNow := 0.0, 0, 0
	unit, units := 0.0, 0.0 // of full load, for a unit of size
	for _, h := range c.hostsByName {
		if h.capacity > 0 && h.server.Size > 0 {
			unit, units = unit+h.capacity, units+h.server.Size
		}
	}
	if units > 0 {
		c.capacityPerSize = unit / units
	}
	for _, h := range c.hostsByName {
		used := c.now-h.observedAt < inUseWindow && h.observedAt > 0 || h.server.Flows() > 0 || h.reported
		if !used || h.server.State != balance.Up || h.server.Avoided(c.now) {
			continue
		}
		h.allowedLoad = 0
		room, ok := c.fillLimit(h)
		if !ok {
			if c.capacityPerSize == 0 {
				unknown++
				continue
			}
			room = targetFill * c.effectiveScale() * c.capacityPerSize * h.server.Size * c.warmShare(h) // as others of its size until it shows its own
		}
		h.allowedLoad = room
		capAll += room
		room -= h.knownLoad
		free, known = free+room, known+h.knownLoad
		if inUseNow++; c.isLate(h) {
			badNow++
		}
		if room > 0 {
			open, some = open+room, some+1
		}
	}
	total := 0.0
	for b := range c.totalDemand {
		total += c.totalDemand[b] / demandSeconds
	}
	own := 0.0
	for _, d := range c.ownDemand {
		own += d / demandSeconds
	}
	c.ownDemandShare = 1 / float64(max(c.nodes, 1))
	if total > 0 {
		c.ownDemandShare += c.linkedShare * (own/total - c.ownDemandShare)
	}
	c.Figures.Free, c.Figures.Known, c.Figures.Demand = free, known, total
	c.unscaledLimit = capAll / c.effectiveScale()
	c.totalLimit, c.mostHostsLate = capAll, 2*badNow >= inUseNow
	c.meanFill = known / max(capAll, 1)
	c.meanFreeRoom = open / float64(max(some, 1))
	c.threshold = 0
	if unknown == 0 {
		c.threshold = c.thresholdFor(max(free, 0))
	}
	if c.threshold > 0 {
		c.overloadedAt = c.now
	}
	c.Figures.Bar, c.Figures.Short = c.threshold, c.Short()
	c.updateClientWait(total)
}

// thresholdFor finds the benefit for load from which on flows are let pass, those below by ever smaller odds, so that they take
// so much room within the horizon; 0 where all have room.
func (c *Core) thresholdFor(room float64) float64 {
	const over = float64(fillHorizon) / float64(second) / demandSeconds
	asked := func(bar float64) (load float64) {
		for b, d := range c.totalDemand {
			load += d * over * admitProbability(bucketValue(b), bar)
		}
		return load
	}
	if asked(0) <= room {
		return 0
	}
	low, high := bucketValue(0)/8, bucketValue(benefitBuckets-1)*64
	for range 40 {
		if mid := math.Sqrt(low * high); asked(mid) > room {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// admitProbability of a flow whose benefit for load is v to be let pass.
func admitProbability(v, bar float64) float64 {
	if v >= bar {
		return 1
	}
	return math.Pow(v/bar, admissionExponent)
}

// bucketValue is the benefit for load in the middle of a bucket.
func bucketValue(b int) float64 { return math.Exp2((float64(b-middleBucket) + 0.5) / 2) }

func bucketOf(v float64) int {
	return min(max(int(math.Floor(2*math.Log2(v)))+middleBucket, 0), benefitBuckets-1)
}

// updateClientWait sets what clients are told to wait: so long that those who wait come back about twice as often as there is room.
func (c *Core) updateClientWait(asked float64) {
	if c.threshold == 0 {
		c.clientWait += (float64(second) - c.clientWait) * 0.02
		return
	}
	part := asked / max(2*c.admittedLoad/demandSeconds, asked/64, 1e-9)
	c.clientWait = min(max(c.clientWait*(1+0.05*(min(max(part, 0.25), 4)-1)), float64(minClientWait)), float64(60*second))
}

// Short tells whether the fleet had too little room for what is asked of it within the last second.
func (c *Core) Short() bool { return c.overloadedAt > 0 && c.now-c.overloadedAt < second }

// The bounds that the module reads.

var _ balance.Bounds = (*Core)(nil)

func (c *Core) benefitPerLoad(f *balance.Flow) float64 {
	load := f.Load()
	if k := f.TypeNo; !f.Again && k < len(c.typeLoads) && c.typeLoads[k] > 0 {
		load = c.typeLoads[k] // as all nodes have seen it: a few own flows would give each node a bar of its own
	}
	return cmp.Or(f.Worth, 1) * unitLoad / max(load, 1)
}

// Odds of a new flow to be placed at all.
func (c *Core) Odds(f *balance.Flow) float64 {
	if yes, ok := c.draws[f]; ok {
		if delete(c.draws, f); yes {
			return 1
		}
		return 0
	}
	v := c.benefitPerLoad(f)
	c.ownDemand[bucketOf(v)] += f.Load()
	o := admitProbability(v, c.threshold)
	if o >= 1 || c.rng.Float64() < o {
		c.admittedLoad += f.Load()
		c.retryBudget = min(c.retryBudget+retryShare, maxRetryBudget)
		return 1
	}
	c.Figures.Refused++
	return 0
}

// Room gives the odds of a server to have room for a flow. While the fleet is short, servers with less room than others
// are taken less often: guards the one that looks emptiest to all nodes at once.
func (c *Core) Room(s *balance.Server, f *balance.Flow) float64 {
	h := c.hosts[s]
	if h == nil {
		return 1
	}
	if at := c.grantedServer[f]; at != nil && at != s && f.Tries == 0 && c.Granted(at) && c.Takes(at, f) {
		return 0 // it has been granted a place where there is room
	}
	if h.suspension.Of != 0 || h.rejectionReported && f.Tries > 0 || h.rejectedAt > 0 && c.now-h.rejectedAt < rejectionHold || c.isLate(h) && !c.mostHostsLate {
		return 0
	}
	if c.linkedShare > 0 && h.reportedLoad+s.Held()+f.Load() > maxRelativeLoad*c.loadPerSize*s.Size+f.Load() {
		return 0
	}
	if c.warmShare(h) < 1 && !c.coldSlotDue(h) {
		return 0
	}
	if h.allowedLoad == 0 {
		return 1
	}
	most := h.allowedLoad
	if c.Short() && c.linkedShare > 0 {
		most = min(most, maxRelativeFill*c.meanFill*most+f.Load()) // guards hosts that every node ranks last against standing idle
	}
	room := most - h.reportedLoad - s.Held()
	if room <= 0 {
		return 0
	}
	if o := room / max(f.Load(), 1); o < 1 {
		return o
	}
	if c.Short() && c.meanFreeRoom > 0 {
		return min(room/c.meanFreeRoom, 1)
	}
	return 1
}

// coldSlotDue tells whether this node may send a cold host a flow now. Guards cold hosts in overload: how many flows hosts hold
// then is more than what fills them, so that what the module takes for a fill is too much. Of what the rule allows all
// nodes, a part is dealt out by who asks for how much, at random moments; what is not used at once lapses.
func (c *Core) coldSlotDue(h *host) bool {
	if c.usesGrants != nil && c.usesGrants(h.server) && c.ColdRate(h.server) > 0 {
		return c.now < h.grantUntil
	}
	if h.allowedLoad == 0 || h.coldSlotStart != h.server.Started {
		h.coldSlotStart = h.server.Started
		h.coldSlotAt = c.drawColdSlot(h)
	}
	if c.now > h.coldSlotAt+coldSlotLifetime {
		h.coldSlotAt = c.drawColdSlot(h)
	}
	return c.now >= h.coldSlotAt
}

// drawColdSlot draws when the next flow may go to a cold host.
func (c *Core) drawColdSlot(h *host) int64 {
	full := h.allowedLoad / targetFill // for the share that it is warm
	if full <= 0 || c.usualFlowLoad <= 0 {
		return c.now + c.rng.Int63n(coldSlotLifetime) + coldSlotLifetime // the module's budget alone
	}
	part := c.ownDemandShare
	if c.usesGrants != nil {
		part = 1 / float64(max(c.nodes, 1)) // what others may be granted leaves room for no more
	}
	rate := coldRateShare * c.settings.FallMultiple * full / c.usualFlowLoad / (float64(max(c.settings.ColdTime, second)) / float64(second)) * part
	return c.now + int64(min(c.rng.ExpFloat64()/max(rate, 1e-6), 1e4)*float64(second))
}

// ColdRate is how many flows a second all nodes together may send a server by the rule, while it is cold, as this node knows
// it; 0 where it does not.
func (c *Core) ColdRate(s *balance.Server) float64 {
	h := c.hosts[s]
	if h == nil || c.meanFlowLoad <= 0 || c.warmShare(h) == 1 {
		return 0
	}
	full := h.capacity
	if full == 0 {
		full = c.capacityPerSize * s.Size
	}
	return c.settings.FallMultiple * full * c.warmShare(h) / c.meanFlowLoad / (float64(max(c.settings.ColdTime, second)) / float64(second))
}

// ColdByGrant makes flows to cold servers wait for grants of the fleet, in place of a part that is guessed, while granted
// says so of a server.
func (c *Core) ColdByGrant(granted func(*balance.Server) bool) { c.usesGrants = granted }

// Takes tells whether a cold server has room for a flow, were it granted.
func (c *Core) Takes(s *balance.Server, f *balance.Flow) bool {
	h := c.hosts[s]
	return h != nil && h.suspension.Of == 0 && (h.allowedLoad == 0 || h.allowedLoad-h.reportedLoad-s.Held() >= f.Load())
}

// Draw draws whether a flow is placed at all, before a grant is asked for it, and how many know; Odds says the same then.
func (c *Core) Draw(f *balance.Flow) bool {
	yes := c.Odds(f) == 1
	c.draws[f] = yes
	return yes
}

// Grant lets one flow go to a cold server until some time: a flow that was drawn, while the fleet is short; else any.
func (c *Core) Grant(s *balance.Server, f *balance.Flow, until int64) {
	if h := c.hosts[s]; h != nil {
		if h.grantUntil = until; c.Short() {
			c.grantedServer[f] = s
		}
	}
}

// Forget is that a flow is over, or has its place.
func (c *Core) Forget(f *balance.Flow) {
	delete(c.draws, f)
	delete(c.grantedServer, f)
}

// Granted tells whether a flow may go to a cold server by the fleet's word.
func (c *Core) Granted(s *balance.Server) bool {
	h := c.hosts[s]
	return h != nil && c.usesGrants != nil && c.now < h.grantUntil
}

// Placed is told of each connect that goes to a server.
func (c *Core) Placed(s *balance.Server) {
	if h := c.hosts[s]; h != nil && c.warmShare(h) < 1 {
		h.coldSlotAt, h.grantUntil = c.drawColdSlot(h), 0
	}
}

// isLate tells whether the last sign of a host was late and is recent.
func (c *Core) isLate(h *host) bool { return h.lateAt > h.goodAt && c.now-h.lateAt < lateHostHold }

// Retry draws on the budget of further connects, a tenth of the first ones.
func (c *Core) Retry(*balance.Flow, *balance.Server) bool {
	if !c.Short() {
		return true
	}
	if c.retryBudget < 1 {
		c.Figures.Withheld++
		return false
	}
	c.retryBudget--
	c.Figures.Retries++
	return true
}

// Excess is the own load that has to leave a server within a tenth of a second: of what is over, the own part, so that it
// falls by two thirds a second whatever the number of nodes.
func (c *Core) Excess(s *balance.Server) float64 {
	h := c.hosts[s]
	if h == nil || s.Held() <= 0 {
		return 0
	}
	if all := c.ownLoad - excessSlack*c.totalLimit; c.linkedShare == 0 && c.fillScale < 1 && c.totalLimit > 0 {
		return max(all, 0) * s.Held() / c.ownLoad * excessMoveRate
	}
	most, ok := c.fillLimit(h)
	known := h.reportedLoad + s.Held()
	if over := known - most*excessSlack; ok && over > 0 && c.now-max(h.lateAt, h.reportedSaturatedAt) < excessWindow {
		return over * s.Held() / known * excessMoveRate
	}
	return 0
}

const (
	excessSlack    = 1.1        // over the cap, up to which what stands may stay
	excessWindow   = 5 * second // after the last sign that it is full
	excessMoveRate = 0.2        // of what is over that, each tenth of a second
)

// Wait is what the client of a refused flow is told, spread by half.
func (c *Core) Wait(_ *balance.Flow, usual int64) int64 {
	if usual <= 0 || !c.Short() {
		return usual
	}
	return min(int64(c.clientWait*(0.5+c.rng.Float64())), 2*usual)
}

// SlowProbes are a sign of load here, and skip nobody.
func (c *Core) SlowProbes() bool { return true }

// ProbeEvery lets skipped servers be probed no more often than others while the fleet is short.
func (c *Core) ProbeEvery(usual, most int64) int64 {
	if c.Short() {
		return most
	}
	return usual
}
