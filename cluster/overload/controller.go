// Package overload computes what a fleet with more demand than capacity allows one of its nodes: how much room each host
// has, which flows may be placed at all, how many connects may be retried, and how soon clients come back. It has no I/O
// and no clock, and its randomness comes from a seed. It chooses no server for a flow: the decision module takes its
// figures as bounds.
//
// The same rule holds for a node that receives reports from all other nodes, from some of them or from none. Loads are
// those that are known: the own load and the load that the others report. The load at which a host was last seen to be
// saturated is learned in the same units, so that a part of the fleet that is cut off from the rest learns a smaller
// capacity for the same host, and all parts together stay below what it can do without any message between them.
//
// All times and durations are in microseconds; loads are in microseconds of work a second.
package overload

import (
	"cmp"
	"math"
	"math/rand"
	"slices"

	"coursewinch/balance"
	"coursewinch/cluster/health"
)

// Controller is the overload control of one node.
type Controller struct {
	rng          *rand.Rand
	settings     *balance.Settings
	nodes        int   // of the fleet, this one included
	now          int64 // time of the loop iteration
	nextTick     int64
	late         bool  // this node's own loop is late
	clockJump    int64 // by which the clock is known to have jumped
	maxReportAge int64 // up to this age a report is recent: all of its figures count

	hosts       map[*balance.Server]*host
	byHash      map[uint32]*host
	hostsByName []*host
	reports     map[uint64]*report // by process
	processes   []uint64           // keys of reports in the order in which they first arrived, so that sums are reproducible
	nextHost    int                // in hostsByName, where the next report begins if one report does not hold all hosts

	fillScale        float64 // factor on the hosts' fill while few of the other nodes are linked
	scaleCutAt       int64
	linkedShare      float64                  // share of the other nodes that are linked: whose reports are recent
	loadPerSize      float64                  // known load per unit of size
	sparseness       float64                  // near 1 while this node has a flow or two per host in use, less the more it has
	mostHostsLate    bool                     // half of the hosts in use, or more
	ownLoad          float64                  // load that this node holds
	unscaledLimit    float64                  // sum of the hosts' fill limits without the scale
	totalLimit       float64                  // sum of the hosts' fill limits, for the own load while no other node is linked; 0: unknown
	baseline         setupBaseline            // over all hosts
	recentLate       [recentObservations]bool // ring of the last own observations over all hosts
	observationCount int
	usualFlowLoad    float64                    // usual load of a flow on this node
	ownDemand        [benefitBuckets]float64    // demanded load of this node, by benefit per load, summed over demandSeconds
	totalDemand      [benefitBuckets]float64    // the same of all reporting nodes
	threshold        float64                    // benefit per load from which on all flows are admitted; 0: the fleet has room
	ownDemandShare   float64                    // this node's part of the total demand
	usesGrants       func(*balance.Server) bool // whether a cold server is served by grants of the fleet; nil: never
	zone             uint32                     // hash of the own zone, sent in reports
	onSuspend        func(*balance.Server, health.Suspension)
	draws            map[*balance.Flow]bool            // results of admission draws for flows that wait for a grant
	grantedServer    map[*balance.Flow]*balance.Server // servers to which flows have a grant
	capacityPerSize  float64                           // over the hosts of known capacity; kept when they leave
	meanFill         float64                           // known load over the sum of the fill limits
	meanFreeRoom     float64                           // over the hosts with free room
	ownTypeLoads     []loadMean                        // by service type, as seen on this node
	typeLoads        []float64                         // mean load by service type, over all reporting nodes
	meanFlowLoad     float64                           // mean load over all service types and reporting nodes
	clientWait       float64                           // microseconds, sent to clients of rejected flows
	retryBudget      float64                           // further connects that are left
	admittedLoad     float64                           // admitted load, summed over demandSeconds
	overloadedAt     int64                             // when the threshold was last above 0

	Stats Stats
}

// Stats are statistics for operators.
type Stats struct {
	Overloaded         bool    // the fleet is overloaded
	BenefitThreshold   float64 // benefit per unit of load below which a flow may be rejected; 0: none is
	FreeLoad           float64 // load that the known hosts have room for
	KnownLoad          float64 // load on the known hosts
	Demand             float64 // load demanded a second, over all reporting nodes
	Rejected           int64   // flows rejected by random admission
	CapacityCuts       int64   // reductions of a host's capacity estimate
	Retries            int64   // further connects allowed during overload
	RetriesDenied      int64   // further connects denied during overload
	SuspendedHosts     int     // hosts suspended because of other nodes' reports
	ReportingProcesses int     // processes with a recent report
	InvalidReports     int64   // reports dropped because they are malformed or have impossible figures
}

// New returns the overload control of one node in a fleet of so many nodes. Reports of other nodes are recent, so that
// all of their figures count, up to an age of maxReportAge microseconds.
func New(settings *balance.Settings, nodes int, maxReportAge, seed int64) *Controller {
	return &Controller{
		settings:      settings,
		nodes:         nodes,
		fillScale:     1,
		rng:           rand.New(rand.NewSource(seed)),
		maxReportAge:  maxReportAge,
		hosts:         map[*balance.Server]*host{},
		byHash:        map[uint32]*host{},
		reports:       map[uint64]*report{},
		draws:         map[*balance.Flow]bool{},
		grantedServer: map[*balance.Flow]*balance.Server{},
		retryBudget:   maxRetryBudget,
		clientWait:    float64(second),
	}
}

// SetServers replaces the list of servers. What is known of a server that stays is kept.
func (c *Controller) SetServers(servers []*balance.Server) {
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
			// The time up to the server's start has really passed: this process was stopped for that long.
			c.clockJump = c.now - s.Started
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
	for index, h := range c.hostsByName {
		h.index = index
	}
}

// shortHash is the part of a server's hash by which reports name it.
func shortHash(hash uint64) uint32 { return uint32(hash ^ hash>>32) }

// SetLate sets whether this node's own loop is late. While it is, its observations of hosts are ignored, except that a
// host rejected a flow.
func (c *Controller) SetLate(late bool) { c.late = late }

// Tick begins a loop iteration at the time now. Every tickInterval it updates all estimates.
func (c *Controller) Tick(now int64) {
	if now < c.now-second {
		c.clockWentBack(now)
	}
	if gap := now - c.now; c.now > 0 && max(gap, -gap) > second {
		c.clockJump += gap // the clock jumped or this process was stopped: hosts have not warmed up meanwhile
	}
	if c.now = now; now < c.nextTick && c.nextTick-now <= tickInterval {
		return
	}
	dt := float64(tickInterval) / float64(second)
	if c.nextTick > 0 {
		dt = min(max(float64(now-c.nextTick+tickInterval)/float64(second), 0), 1)
	}
	c.nextTick = now + tickInterval
	decay := math.Exp(-dt / demandSeconds)
	for b := range c.ownDemand {
		c.ownDemand[b] *= decay
	}
	c.admittedLoad *= decay
	c.gatherReports()
	c.updateSuspensions()
	c.updateTypeLoads()
	c.updateLoads(dt)
	c.updateCapacities(dt)
	c.updateThreshold()
}

// clockWentBack handles a clock that was set back: times that lie ahead of now are set to now. Otherwise the intervals that
// begin at them would be longer by the jump.
func (c *Controller) clockWentBack(now int64) {
	for _, h := range c.hostsByName {
		times := []*int64{
			&h.coldSlotAt, &h.observedAt, &h.goodAt, &h.lateAt, &h.cutAt, &h.downAt, &h.setupFailedAt, &h.setupGoodAt,
			&h.rejectedAt, &h.reportedSaturatedAt,
		}
		for _, at := range times {
			*at = min(*at, now)
		}
	}
	for _, r := range c.reports {
		r.sentAfter = min(r.sentAfter, now)
	}
	c.scaleCutAt = min(c.scaleCutAt, now)
	c.overloadedAt = min(c.overloadedAt, now)
	c.nextTick = now
}
