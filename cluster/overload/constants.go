package overload

const (
	ms     = int64(1000) // microseconds
	second = 1000 * ms
)

// Fill of hosts.
const (
	// Share of its capacity up to which a host is filled. Nearer the knee messages wait although the cores still have idle
	// time, see docs/design/overload.md.
	targetFill = 0.60

	lateHostFill    = 0.7         // of the usual fill limit of a late or saturated host: the rest works off its backlog
	maxRelativeFill = 1.1         // times the mean fill; fuller hosts get no new flows during overload
	maxRelativeLoad = 1.25        // times the mean known load per unit of size; the decision module uses the same limit for own load
	lateHostHold    = 6 * second  // a late host gets no new flows for this long, while fewer than half of those in use are late
	rejectionHold   = second      // a host that rejected a flow for want of room gets no flow of this node for this long
	fillHorizon     = second      // the free room is given out over this time
	inUseWindow     = 10 * second // a host counts as in use for this long after an observation of this node
)

// Late observations of hosts.
const (
	lateProbeShare             = 0.25   // a probe is late if it exceeds the fastest one by this share of it
	lateProbeMargin            = 1 * ms // and this margin on top
	lateSetupFactor            = 2.5    // a set-up is late if it exceeds this multiple of the host's baseline
	lateSetupFactorUnknownHost = 5.0    // the same multiple of the baseline over all hosts, while that of the host is unknown
	lateSetupMargin            = 2 * ms // and this margin on top
	hostBaselineSamples        = 5      // set-ups on one host, whose lower quartile is a candidate for its baseline
	fleetBaselineSamples       = 9      // the same over all hosts
	recentObservations         = 8      // over all hosts; if half of them are late, one late observation cuts a host's capacity
)

// Estimates of hosts' capacity.
const (
	tickInterval      = 100 * ms  // between two updates of all estimates
	minCutInterval    = 1500 * ms // between two cuts of one host's capacity, so that the effect of earlier placements shows first
	cutEvidence       = 2.0       // late observations without a good one between them that cut the capacity
	minCutShare       = 0.4       // of the proven load; lateness alone does not cut the capacity below it
	provenLoadDecay   = 0.01      // of the proven load, a second
	capacityGrowth    = 0.005     // of the capacity, a second, while the fleet is overloaded and the host is well
	capacityRecovery  = 0.05      // the same below the proven load
	minCapacityGrowth = 0.02      // of a usual flow's load, a second
	minCapacity       = 0.25      // of a usual flow's load
	settleSeconds     = 1.5       // time constant with which the settled load follows an increase of the known load
	usualLoadGain     = 0.02      // weight of the latest mean in the usual load of a flow, each tick
)

// Scale of the fill while few of the other nodes are linked.
const (
	fewFlowsPerHost     = 4.0        // own flows per host in use at which the scale counts half
	minScaleCutInterval = second / 5 // between two cuts of the scale
	scaleCutFactor      = 0.75       // by which a late observation cuts the scale
	scaleGrowthFactor   = 1.007      // by which a good observation raises it; it stays level at one late observation in forty
	minScale            = 0.02       // lower bound of the scale
)

// Demand and random admission.
const (
	demandSeconds     = 2.0      // time constant over which demand is counted
	benefitBuckets    = 32       // buckets of benefit per load, half an octave each
	middleBucket      = 16       // the bucket of benefit 1 for unitLoad
	unitLoad          = 1e5      // microseconds of work a second
	admissionExponent = 3        // how steeply the probability of admission falls with benefit per load
	minClientWait     = 250 * ms // lower bound of the wait of clients of rejected flows, before it is spread at random
)

// Budget of further connects during overload.
const (
	retryShare     = 0.1 // of first connects
	maxRetryBudget = 5.0 // connects
)

// Flows to cold hosts.
const (
	coldRateShare    = 0.35   // of the rate at which the cold-start rule lets all nodes send flows to a host, see ColdRate
	coldSlotLifetime = second // for which a cold-start slot may be used
)

// Load that leaves overloaded hosts.
const (
	excessSlack    = 1.1        // times the fill limit, up to which established flows may stay
	excessWindow   = 5 * second // after the last sign that the host is saturated
	excessMoveRate = 0.2        // of the excess, each tenth of a second
)

// Reports of other nodes.
const (
	// reportHold is how long the load that a node last reported counts in full, if the maximum age of reports is not longer.
	// A node whose reports stop is taken to go on placing flows, so that new ones replace those that end.
	reportHold = 8 * second

	reportExpiry      = 30 * second // after reportHold the load that a lost node last reported counts less and less, until this age
	maxReportedFactor = 4.0         // times a host's capacity; no single node is believed to hold more load there
	minWitnesses      = 2           // processes of other nodes that have to report a host saturated
	failureWindow     = 2 * second  // for which a late observation or a failure is reported, and a good one contradicts reports
	maxProcesses      = 1024        // processes whose reports are kept
	maxServiceTypes   = 32          // service types whose loads are reported
	maxMeanSamples    = 200         // loads that the mean load of a service type covers
)
