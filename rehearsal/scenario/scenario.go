// Package scenario reads the scripts of rehearsals. A script describes, in TOML, a fleet, its clients and a timeline of
// faults. The package only reads and checks scripts; every error names the line and the key.
package scenario

// Script describes one rehearsal.
type Script struct {
	Name   string   `toml:"name"`
	About  string   `toml:"about"`
	Length Duration `toml:"length"` // time in which clients arrive and benefit counts
	Seed   uint64   `toml:"seed"`
	Zones  []string `toml:"zones"`

	Network   Network       `toml:"network"`
	Fleet     Fleet         `toml:"fleet"`
	Hosts     []HostGroup   `toml:"hosts"`
	Nodes     []NodeGroup   `toml:"nodes"`
	Node      Node          `toml:"node"`
	Cluster   Cluster       `toml:"cluster"`
	Discovery Discovery     `toml:"discovery"`
	FrontEnd  FrontEnd      `toml:"front"`
	Store     Store         `toml:"store"`
	Clients   Clients       `toml:"clients"`
	Types     []ServiceType `toml:"types"`
	Demand    Demand        `toml:"demand"`
	Faults    []Fault       `toml:"faults"`

	File            string           `toml:"-"` // file that it was read from
	RecordedClients []RecordedClient `toml:"-"` // clients of the file that Demand.Flows names
}

// RecordedClient is one client of a capture.
type RecordedClient struct {
	At    Duration // arrival, from the start of the run
	Type  int      // index of the service type
	Zone  int      // index of the zone
	Group string   // empty without a group
	Key   string
	Loads []LoadStep // the first applies from the start
	Life  Duration   // how long the client wants a connection
}

// LoadStep is a load that applies from a time in a client's life on.
type LoadStep struct {
	After Duration
	Load  float64
}

// Network holds the one-way delays between machines.
type Network struct {
	SameZone  Duration `toml:"same"`
	CrossZone Duration `toml:"cross"`
	Client    Duration `toml:"client"` // between a client and its node
	Jitter    float64  `toml:"jitter"` // share by which each delay varies
}

// Fleet holds what all hosts have in common. Work is time of a core of speed 1.
type Fleet struct {
	FlowsPerCore  float64  `toml:"flows_per_core"` // flows of load 1 that saturate a core of speed 1
	ConnectionCap float64  `toml:"cap"`            // most connections of a host, as a multiple of its capacity
	SetupWork     Duration `toml:"setup_work"`     // work of a set-up
	ProbeWork     Duration `toml:"probe_work"`     // work of a probe
	SlotsPerCore  float64  `toml:"slots_per_core"` // set-ups that are worked on at once
	QueuePerCore  float64  `toml:"queue_per_core"` // set-ups that wait
	ColdFrom      float64  `toml:"cold_from"`      // share of its capacity that a host has at its start
	ColdTime      Duration `toml:"cold_time"`      // time from its start until it has its whole capacity
	// A cold host falls over and stays down if it receives more than fall_multiple times the connects that it can handle,
	// counted over fall_after. Besides, fall_roots times the square root of that limit is allowed, as random variation.
	FallMultiple       float64  `toml:"fall_multiple"`
	FallAfter          Duration `toml:"fall_after"`
	FallRoots          float64  `toml:"fall_roots"`
	GroupCost          float64  `toml:"group_cost"`  // load that a group costs each host with any of its flows
	Groups             int      `toml:"groups"`      // number of groups; 0: none
	ErrorRate          float64  `toml:"error_rate"`  // share of set-ups answered ERR
	DrainMode          string   `toml:"drain"`       // how a draining host sends its clients away: none, paced or at_once
	Buffer             Duration `toml:"buffer"`      // largest backlog of messages, as time of all cores
	Thrash             float64  `toml:"thrash"`      // share of its capacity that a host loses when its buffer is full
	ShedMode           string   `toml:"sheds"`       // flow that a host drops when its buffer is full: none, newest or heaviest
	EchoMode           string   `toml:"echo"`        // at_once: lines are echoed before their work is done; in_turn: after it
	SendsLoad          bool     `toml:"tells_load"`  // hosts send LOAD
	LoadSpread         float64  `toml:"load_spread"` // sigma of the flows' loads (log-normal)
	LoadSwing          float64  `toml:"swing"`       // sigma of the changes of a flow's load (log-normal)
	LoadChangeInterval Duration `toml:"change"`      // mean time between changes of a flow's load
	LifeSpread         float64  `toml:"life_spread"` // sigma of the lives of flows (log-normal)
}

// HostGroup describes hosts that are alike.
type HostGroup struct {
	Kind   string   `toml:"kind"`
	Count  int      `toml:"count"`
	Cores  float64  `toml:"cores"`
	Speed  float64  `toml:"speed"`
	Zone   string   `toml:"zone"` // empty: spread over all zones
	BootAt Duration `toml:"boot"` // when the hosts start; 0: long before the run
}

// NodeGroup describes the nodes of a zone.
type NodeGroup struct {
	Zone  string `toml:"zone"`
	Count int    `toml:"count"`
}

// Node holds the settings and resources of each node.
type Node struct {
	Sockets         int      `toml:"sockets"`
	MemoryMB        int      `toml:"memory_mb"`
	MaxConnects     int      `toml:"max_connects"` // connects for one flow
	Probing         bool     `toml:"probing"`
	HostsReportLoad bool     `toml:"reports"` // hosts report their load to probes
	DrainGrace      Duration `toml:"drain_grace"`
	MaxRetryAfter   Duration `toml:"max_wait"` // longest wait that clients are asked for in a rejection; 0: they are not asked to wait
	DialTimeout     Duration `toml:"dial_timeout"`
	Backlog         int      `toml:"backlog"` // most connections that wait at the listener

	Admission Admission `toml:"admission"`
	Holding   Holding   `toml:"holding"`

	// Cost of the node's own core, for play in virtual time. If all are 0 it costs nothing.
	IterationCost Duration `toml:"turn_cost"`   // each loop iteration
	EventCost     Duration `toml:"event_cost"`  // each event handled
	SocketCost    Duration `toml:"socket_cost"` // each connection opened, accepted or closed
	KilobyteCost  Duration `toml:"kb_cost"`     // each 1024 bytes sent or received
}

// Cluster says whether nodes are bounded by what all of them together may place, and whether they report to each other.
type Cluster struct {
	Enabled  bool `toml:"on"`
	Strict   bool `toml:"strict"` // a rate of node.admission is kept whatever fails; otherwise among the nodes that reach each other
	Isolated bool `toml:"alone"`  // no node has another's address: each goes by its own observations

	Limits []Limit `toml:"limits"` // kept by all nodes together
}

// Limit is a limit that the whole fleet keeps: a rate of new flows, or a number at once.
type Limit struct {
	Over    string  `toml:"over"`    // what is limited: address, type, group, host or cold
	Of      string  `toml:"of"`      // the only one of these that is limited; empty: each
	Promise string  `toml:"promise"` // strict or available
	Rate    float64 `toml:"rate"`    // new flows per second
	Burst   float64 `toml:"burst"`
	AtOnce  int     `toml:"at_once"`
}

// Admission is what a node allows each client address. 0 means no limit.
type Admission struct {
	PerAddress int     `toml:"per_address"` // connections at once
	Rate       float64 `toml:"rate"`        // new connections per second
	Burst      float64 `toml:"burst"`       // new connections that may come at once
	Reserve    int     `toml:"reserve"`     // descriptors reserved for known clients
}

// Holding is what a node may hold. 0 means the node's default or no limit.
type Holding struct {
	Buffers int      `toml:"buffers"`
	Idle    Duration `toml:"idle"`
	Stalled Duration `toml:"stalled"`
}

// Discovery describes the service that publishes the hosts.
type Discovery struct {
	NoticeDelay  Duration `toml:"notice"`  // time until it notices a change
	UpdatePeriod Duration `toml:"period"`  // time between updates
	CallRate     float64  `toml:"calls"`   // calls per second that it can handle; 0: any number
	RefusalShare float64  `toml:"refuses"` // share of calls that it refuses
}

// FrontEnd describes the front-end load balancer, which distributes clients over the nodes of their zone.
type FrontEnd struct {
	NoticeDelay Duration `toml:"notice"` // time for which it keeps sending clients to a dead node
}

// Store describes a service that each set-up calls.
type Store struct {
	CallRate float64  `toml:"rate"` // calls per second that it can handle; 0: there is no store
	CallTime Duration `toml:"time"` // duration of a call
}

// Clients holds what all clients have in common.
type Clients struct {
	Retries          int         `toml:"retries"`    // attempts after the first
	RetryWait        string      `toml:"wait"`       // none, at_once, fixed or exponential
	RetryPause       Duration    `toml:"pause"`      // the fixed wait, or the first of the exponential ones
	GivesUp          bool        `toml:"gives_up"`   // after these a client gives up; otherwise it starts over, after ever longer waits
	HonourShare      float64     `toml:"honour"`     // share of requested waits that clients observe
	ReturnAfterBreak [2]Duration `toml:"back"`       // shortest and longest time after which a client connects again after a break
	ReturnAfterMove  [2]Duration `toml:"moved"`      // the same after MOVE
	LineInterval     Duration    `toml:"line_every"` // mean time between lines of an established flow
}

// ServiceType describes a service type.
type ServiceType struct {
	Name           string   `toml:"name"`
	Share          float64  `toml:"share"` // of new flows, relative to the other types
	Load           float64  `toml:"load"`
	Life           float64  `toml:"life"` // mean life of a flow, as a multiple of demand.life
	SetupTarget    Duration `toml:"setup_target"`
	ConnectTimeout Duration `toml:"connect_timeout"`
	MessageTarget  Duration `toml:"message_target"`
	Benefit        float64  `toml:"benefit"`
	Effect         string   `toml:"effect"` // repeatable, referenced or once-only
	Scope          string   `toml:"scope"`  // all or zone: hosts that recognize a referenced flow
	Window         Duration `toml:"window"` // time for which they do
}

// Demand describes the clients that arrive.
type Demand struct {
	Rate         float64            `toml:"rate"`          // new flows per second, over all zones
	Life         Duration           `toml:"life"`          // mean life of a flow of life 1
	ZoneWeights  map[string]float64 `toml:"skew"`          // weight of each zone; 1 for zones without one
	Standing     float64            `toml:"standing"`      // flows established at the start, as a share of the mean number that the rate gives
	StandingTilt float64            `toml:"standing_tilt"` // sigma of their distribution over hosts (log-normal)
	Waves        []Wave             `toml:"waves"`
	Flows        string             `toml:"flows"` // file of flows that replaces the rate
	Loops        []LoopingClients   `toml:"loops"`
	Bulk         []BulkClients      `toml:"bulk"`
	BadClients   []BadClients       `toml:"bad"`
}

// Wave is a factor of the rate that applies at a time. Between waves it is interpolated.
type Wave struct {
	At             Duration `toml:"at"`
	RateMultiplier float64  `toml:"times"`
}

// LoopingClients are clients that connect, disconnect as soon as they are established, and connect again.
type LoopingClients struct {
	At    Duration `toml:"at"`
	For   Duration `toml:"for"` // 0: until the end
	Count int      `toml:"count"`
	Type  string   `toml:"type"`
	Zone  string   `toml:"zone"`

	OneAddress bool `toml:"one_address"` // all connect from the same address
}

// BulkClients are clients that send lines as fast as these are echoed.
type BulkClients struct {
	At     Duration `toml:"at"`
	For    Duration `toml:"for"` // 0: until the end
	Count  int      `toml:"count"`
	Type   string   `toml:"type"`
	Zone   string   `toml:"zone"`
	Window int      `toml:"window"` // bytes in flight
}

// BadClients are clients that violate the protocol. New ones arrive at a rate.
type BadClients struct {
	At   Duration `toml:"at"`
	For  Duration `toml:"for"`  // 0: until the end
	Rate float64  `toml:"rate"` // new clients per second
	Kind string   `toml:"kind"` // one of BadClientKinds
	Zone string   `toml:"zone"` // empty: random
}

// BadClientKinds are the ways in which clients violate the protocol.
var BadClientKinds = []string{"garbage", "endless", "mute", "half", "no_type", "no_time", "many", "early", "huge"}

// Fault is one fault of the timeline.
type Fault struct {
	At       Duration `toml:"at"`
	Kind     string   `toml:"kind"`
	Hosts    []string `toml:"hosts"` // names, such as "h-3"; without names, Count or Share of them at random
	Nodes    []string `toml:"nodes"` // names, such as "n-3"; likewise
	Zone     string   `toml:"zone"`
	Count    int      `toml:"count"`
	Share    float64  `toml:"share"`
	For      Duration `toml:"for"`
	Size     float64  `toml:"size"`  // its meaning depends on the kind
	Delay    Duration `toml:"delay"` // added to the delay of a network link
	Interval Duration `toml:"on"`    // a neighbour alternates, and hosts are published again, at this interval
	Step     Duration `toml:"step"`  // time between one member and the next
	To       []string `toml:"to"`    // nodes at the other end of links; empty: all others
	Parts    int      `toml:"parts"` // number of parts into which the fleet is split
}
