package balance

// second is one second. Times and durations are in microseconds, loads in microseconds of work a second.
const second = 1_000_000

const (
	never   = int64(1) << 62 // a time that does not come
	noLimit = 1e18           // a load that no server reaches
)

// Ranking: a server overtakes the one ranked before it only if its latency is lower by both margins.
const (
	rankMarginMicros = 20_000
	rankMarginShare  = 0.25 // of the latency of the server ranked before
)

// Sample counts. When a histogram or a mean holds this many samples, the old ones are halved in weight.
const (
	serverSamples = 32  // latencies of one server
	nodeSamples   = 256 // set-up times of all servers
	loadSamples   = 200 // measured loads of flows
)

// Load caps: the load that a server may hold is the factor times the mean load for its size, plus loadCapFlows times
// the load of the new flow.
const (
	loadCapFactor  = 1.25
	groupCapFactor = 2.5 // for a server that holds the flow's group already
	// unreportedCapFactor replaces groupCapFactor where nothing reports message delays. Flows also move off a server
	// that is over this cap there.
	unreportedCapFactor = 1.5
	returningCapFactor  = 1.6 // flows of returning clients move only above the cap for moves times this factor
	loadCapFlows        = 1.0
	// idleLoadShare is the share of the mean load for its size below which a server is idle. With few nodes, an idle
	// server takes flows of a group that no preferred server can take.
	idleLoadShare = 0.5
)

// Load estimates for flows.
const (
	initialFlowLoad = 30000 // load of a flow before any was measured, in microseconds of work a second
	maxHintFactor   = 100.0 // a client's hint counts up to this multiple of the mean load of the service type
	maxLoadsByKey   = 4096  // number of keys whose loads are kept
)

// Load limits of servers whose messages turned slow.
const (
	limitCutFactor         = 0.8        // a cut sets the limit to this share of the own load that the server holds
	limitFloorShare        = 0.5        // but not below this share of the mean load for its size
	limitCutInterval       = second / 2 // shortest time between two cuts
	limitGrowthPerSecond   = 0.03       // growth as a share of the limit, or of the mean load for its size if that is more
	roomyLimitGrowthFactor = 2.5        // the limit grows this much faster while the server reports room
	limitGrowthInterval    = second     // time between two increases
)

// Moving load off slow servers.
const (
	// slowServerMoveShare is the share of its load that leaves a slow server at once, times the message delay over the
	// shortest message target. That ratio counts up to maxMoveDelayFactor.
	slowServerMoveShare    = 0.12
	maxMoveDelayFactor     = 4
	slowServerMoveInterval = second / 2 // shortest time between two such moves
	displacedMoveInterval  = 2 * second // a displaced flow moves for certain only if none moved in this time
)

// Signs of overload.
const (
	avoidDuration       = 4_000_000  // time for which a server that broke flows is avoided, and for which a message delay counts
	flowBreakInterval   = second     // two flows broken within it are the server's fault, not the path's
	slowSetupFactor     = 2          // the time of a set-up beyond this multiple of the median counts as a message delay
	slowSetupMinSamples = 4          // number of set-up times needed for that median
	messageDelayHold    = second / 2 // time for which a fast set-up does not clear a message delay
)

// Reports of servers: their load over their capacity.
const (
	reportLifetime = 8 * second // time for which a report counts, and after which a placement is published again
	reportLag      = second     // age of a flow from which a report includes its load
	maxReportRise  = 0.3        // most that a report counts above the last one, or above maxSaturationThreshold if that is more
	// The saturation threshold is the mean report times saturationFactor, within the two bounds.
	saturationFactor       = 1.5
	minSaturationThreshold = 0.6 // a server of the own zone has room below it
	maxSaturationThreshold = 0.85
	// busyFleetReport is the mean report above which unused servers are not assumed to have room. The load limit of a
	// server whose own report is lower grows faster.
	busyFleetReport  = 0.7
	roomyFleetReport = 0.5 // mean report below which the fleet has room
	// maxReportPerLoad bounds, for each node, the rise of a report for each unit of own load. A server of one core is
	// fully loaded by 1e6 microseconds of work a second.
	maxReportPerLoad = 1e-6
	groupSharedWork  = 2.0 // work that a group shares on a server, in loads of a usual flow
	publishInterval  = second / 2
)

// Preferred servers of groups. A group has a base number of them and a part that grows with the group. The base number is
// the number of servers over minSubsetSize, within minPreferredServers and maxBasePreferredServers.
const (
	minPreferredServers     = 2.0
	maxBasePreferredServers = 6.0
	sparsePreferredShare    = 0.35 // share of the growing part that counts in a sparse fleet, besides minPreferredServers
	assumedOtherFlows       = 20.0 // flows of others assumed to exist, so that a few flows do not make a group look large
	// With no more than fewHealthyShare of the servers in use healthy, a group keeps to fewHealthyPreferredShare of its
	// preferred servers; otherwise its flows may go to any server. In a sparse fleet it always keeps to its preferred
	// servers.
	fewHealthyShare          = 0.75
	fewHealthyPreferredShare = 0.6
	placementMinHealthy      = 0.6 // nodes that use a subset follow reported placements above this share of healthy servers
)

// Subsets: in a large fleet each node uses part of the list, so that it has flows enough to judge each server by.
const (
	minSubsetSize   = 5  // a subset has at least this many servers, and at least this many nodes share it
	sparseMinStride = 10 // number of subsets from which a fleet is sparse
	// subsetIndexFraction is the golden ratio less one. The fractional parts of its multiples are spread evenly, also
	// those of every n-th index.
	subsetIndexFraction = 0.618034
)

// Cold starts and recovery.
const (
	// coldBudgetFactor sets how many connects a server gets from all nodes during its warm-up: this factor times
	// FallMultiple times the flows of a usual server, scaled by its warm share.
	coldBudgetFactor      = 2.5
	coldBudgetKeptSeconds = 6.0                // time for which unused budget is kept
	flowsPerServerDecay   = 0.99               // factor by which flowsPerServer falls with each review
	rampDuration          = 10_000_000         // after a recovery, or when a server of unknown start time is added to the list
	rampStartShare        = 0.3                // share of its usual flows that a server gets at the start of the ramp
	hashMultiplier        = 0x9e3779b97f4a7c15 // maps consecutive numbers to hashes far apart
)

// Skips and probes.
const (
	failedSetupsToSkip  = 3          // a server is skipped after this many failed set-ups in a row
	goodProbesToRecover = 2          // and used again after this many successful probes in a row
	recentSetupTime     = 3 * second // a server counts as in use for this time after a set-up there succeeded or failed
	// probeInterval is the longest time between two probes of a server; the shortest is four fifths of it. Without
	// probing, a server is skipped for this time. The flow of a returning client stays at least this long, unless the
	// server drains.
	probeInterval = 5_000_000
	// skippedProbeInterval is the same for skipped servers of the subset. In a large fleet it is longer the more probes fail.
	skippedProbeInterval = 700_000
	lateProbeMicros      = 1_000 // a probe is late if it takes this and rankMarginShare longer than the fastest
	reviewInterval       = second / 10
	logInterval          = second
)

// Connects and retries.
const (
	repeatTransitTime    = 20_000 // the repeat window counts as shorter by this, so that the line of a retry arrives within it
	minRetryTime         = 2_000  // a flow with less time left before its deadline is not tried again
	timeoutMinSamples    = 8      // number of set-up times needed to shorten a connect timeout
	timeoutSetupQuantile = 0.9
	timeoutSetupFactor   = 16 // a shortened connect timeout is this multiple of that quantile of set-up times, at least the setup target
)

// Calls for the server list.
const (
	watchSpreadPerNode  = 50_000      // the nodes of a fleet spread their calls over this time for each node
	maxFirstWatchDelay  = 2500 * 1000 // longest delay of a starting node's first call, unless the settings give the spread
	stableWatchDuration = 3_000_000   // a watch that was open this long resets the backoff
	firstWatchBackoff   = 200_000     // after one failed call; it doubles with each further one
	maxWatchBackoff     = 3_800_000   // a change of the list has to be known within 6 s
)
