package balance

// second is one second. Times and durations are in microseconds, loads in microseconds of work a second.
const second = 1_000_000

// never is a time that does not come, noLimit a load that no server reaches.
const (
	never   = int64(1) << 62
	noLimit = 1e18
)

// Ranking: a server overtakes the one ranked before it only if its latency is lower by both margins.
const (
	rankMarginMicros = 20_000
	rankMarginShare  = 0.25 // of the latency of the server ranked before
)

// Sample counts after which old samples are halved in weight.
const (
	serverSamples = 32 // of one server
	nodeSamples   = 256
	loadSamples   = 200
)

// Load caps: the load that a server may hold is the factor times the mean load for its size, plus loadCapFlows times
// the load of the new flow.
const (
	loadCapFactor       = 1.25
	groupCapFactor      = 2.5 // where the server holds the group already
	unreportedCapFactor = 1.5 // in its place where nothing reports message delays; there also the cap above which flows move
	returningCapFactor  = 1.6 // times that cap, above which flows of returning clients move as well
	loadCapFlows        = 1.0
	idleLoadShare       = 0.5 // of the mean load, below which a server stands in for the preferred servers of a group
)

// Load estimates for flows.
const (
	initialFlowLoad = 30000 // until a load is measured, microseconds of work a second
	maxHintFactor   = 100.0 // times the mean load of the service type: the most that a client's hint counts
	maxLoadsByKey   = 4096  // keys whose loads are kept
)

// Load limits of servers whose messages turned slow.
const (
	limitCutFactor         = 0.8        // of the own load at the cut
	limitFloorShare        = 0.5        // of the mean load for its size, which a cut limit does not go below
	limitCutInterval       = second / 2 // between cuts
	limitGrowthPerSecond   = 0.03       // of the limit, or of the mean load for its size if that is more
	roomyLimitGrowthFactor = 2.5        // times as fast where the server reports room
	limitGrowthInterval    = second     // between increases
	slowServerMoveShare    = 0.12       // of a slow server's load, that is moved off it at once
	slowServerMoveInterval = second / 2 // between such moves
	maxMoveDelayFactor     = 4          // times the shortest message target: longer delays move no more load
	avoidDuration          = 4_000_000  // for which a breaking server is avoided, and a slow one stays marked
	flowBreakInterval      = second     // two broken flows within it mark the server, not the path
	displacedMoveInterval  = 2 * second // between displaced flows that are moved for certain
	slowSetupFactor        = 2          // times the usual set-up time, above which a set-up counts as slow
	slowSetupMinSamples    = 4          // set-up times needed for that
	messageDelayHold       = second / 2 // for which a fast set-up does not clear a reported message delay
)

// Reports of servers: their load over their capacity.
const (
	reportLifetime         = 8 * second // for which a report or a placement counts
	reportLag              = second     // age of a flow from which a report includes its load
	maxReportRise          = 0.3        // of a report over the last one, or over maxSaturationThreshold if that is more
	saturationFactor       = 1.5        // times the mean report: the saturation threshold, within the two bounds below
	minSaturationThreshold = 0.6
	maxSaturationThreshold = 0.85
	busyFleetReport        = 0.7  // mean report above which unused servers are not taken to have room; limits grow faster below it
	roomyFleetReport       = 0.5  // mean report up to which servers are taken to have room
	maxReportPerLoad       = 1e-6 // for each node: a server of one core is fully loaded by 1e6 microseconds of work a second
	groupSharedWork        = 2.0  // shared work of a group on a server, in usual flows
	publishInterval        = second / 2
)

// Preferred servers of groups.
const (
	minPreferredServers      = 2.0
	maxBasePreferredServers  = 6.0  // besides the part that grows with the group; in between, servers over minSubsetSize
	sparsePreferredShare     = 0.35 // of the part that grows with the group, in a sparse fleet
	assumedOtherFlows        = 20.0 // flows of others assumed to exist, so that a few flows do not make a group look large
	fewHealthyShare          = 0.75 // of the servers in use; with no more of them healthy, a group uses only its preferred servers
	fewHealthyPreferredShare = 0.6  // of its preferred servers, that it uses then
	placementMinHealthy      = 0.6  // share of healthy servers above which reported placements are followed
)

// Subsets: in a large fleet each node uses part of the list, so that it has flows enough to judge each server by.
const (
	minSubsetSize       = 5        // least number of servers in a subset, and of nodes that share a server
	sparseMinStride     = 10       // subsets of the list from which a fleet is sparse
	subsetIndexFraction = 0.618034 // golden ratio: its multiples are spread evenly, also those of every n-th index
)

// Cold starts and recovery.
const (
	coldBudgetFactor      = 2.5                // times the flows of a usual server times FallMultiple: connects during a warm-up
	coldBudgetKeptSeconds = 6.0                // for which unused budget is kept
	flowsPerServerDecay   = 0.99               // of flowsPerServer per review
	rampDuration          = 10_000_000         // after a recovery, or a start of unknown time
	rampStartShare        = 0.3                // of the usual flows at its start
	hashMultiplier        = 0x9e3779b97f4a7c15 // spreads consecutive numbers over all bits
)

// Skips and probes.
const (
	failedSetupsToSkip   = 3          // failed set-ups in a row that skip a server
	goodProbesToRecover  = 2          // successful probes in a row that bring it back
	recentSetupTime      = 3 * second // for which a tried server counts as in use
	probeInterval        = 5_000_000  // at most; at least four fifths of it
	skippedProbeInterval = 700_000    // of skipped servers, while few probes have failed
	lateProbeMicros      = 1_000      // over the fastest probe, besides rankMarginShare of it: a late probe
	reviewInterval       = second / 10
	logInterval          = second
)

// Connects and retries.
const (
	repeatTransitTime    = 20_000 // kept back from the repeat window: the line of a further connect has to arrive within it
	minRetryTime         = 2_000  // left before the deadline, without which a flow is not tried again
	timeoutMinSamples    = 8      // set-up times needed to shorten a connect timeout
	timeoutSetupQuantile = 0.9
	timeoutSetupFactor   = 16 // times that quantile of set-up times
)

// Calls for the server list.
const (
	watchSpreadPerNode  = 50_000      // over which the nodes of a fleet spread their calls, for each node
	maxFirstWatchDelay  = 2500 * 1000 // of a starting node
	stableWatchDuration = 3_000_000   // a watch that was open this long resets the backoff
	firstWatchBackoff   = 200_000     // after one failed call; it doubles with each further one
	maxWatchBackoff     = 3_800_000   // keeps the time to learn of a change within 6 s
)
