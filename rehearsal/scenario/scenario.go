// Package scenario reads scripts of a rehearsal: a fleet, its clients and a timeline of faults, as TOML. It decides
// nothing and plays nothing; every fault of a script is told with its line and key.
package scenario

// Script is one rehearsal.
type Script struct {
	Name   string   `toml:"name"`
	About  string   `toml:"about"`
	Length Span     `toml:"length"` // until which clients come and benefit counts
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

	File     string     `toml:"-"` // where it was read
	Recorded []Recorded `toml:"-"` // the flows of the file that Demand.Flows names
}

// Recorded is one client of a capture.
type Recorded struct {
	At    Span
	Type  int
	Zone  int
	Group string // empty without one
	Key   string
	Loads []Step // the first holds from the start on
	Life  Span
}

// Step is a load from a moment of a client's life on.
type Step struct {
	After Span
	Load  float64
}

// Network is the ways between machines; one way each.
type Network struct {
	SameZone  Span    `toml:"same"`   // within a zone
	CrossZone Span    `toml:"cross"`  // between zones
	Client    Span    `toml:"client"` // from a client to its node
	Jitter    float64 `toml:"jitter"` // share by which each delay varies
}

// Fleet is what all hosts have in common.
type Fleet struct {
	PerCore       float64 `toml:"flows_per_core"` // flows of load 1 that fill a core of speed 1
	ConnectionCap float64 `toml:"cap"`            // connections held at most, as a multiple of what fills the host
	SetupWork     Span    `toml:"setup_work"`     // of a core of speed 1, for each set-up
	ProbeWork     Span    `toml:"probe_work"`     // for each probe
	SlotsPerCore  float64 `toml:"slots_per_core"` // set-ups in work at once
	QueuePerCore  float64 `toml:"queue_per_core"` // set-ups that wait
	ColdFrom      float64 `toml:"cold_from"`      // share of its capacity at which a host starts
	ColdTime      Span    `toml:"cold_time"`      // until it has all of it
	FallMultiple  float64 `toml:"fall_multiple"`  // sent more than this times what it can do ...
	FallAfter     Span    `toml:"fall_after"`     // ... for so long, a cold host falls over and stays down;
	FallRoots     float64 `toml:"fall_roots"`     // besides that much, so many times its root are put down to chance
	GroupCost     float64 `toml:"group_cost"`     // flows' loads that a group costs each host that holds any of it
	Groups        int     `toml:"groups"`         // how many groups there are; 0 for none
	ErrorRate     float64 `toml:"error_rate"`     // share of set-ups answered ERR
	DrainMode     string  `toml:"drain"`          // none, paced or at_once: how a draining host sends its clients away
	Buffer        Span    `toml:"buffer"`         // work of messages piled up at most
	Thrash        float64 `toml:"thrash"`         // share of its capacity that a host loses when its buffer is full
	ShedMode      string  `toml:"sheds"`          // none, newest or heaviest: whom a host drops when its buffer is full
	EchoMode      string  `toml:"echo"`           // at_once or in_turn: whether lines come back before their work is done
	SendsLoad     bool    `toml:"tells_load"`     // hosts send LOAD
	LoadSpread    float64 `toml:"load_spread"`    // sigma of flows' loads (log-normal)
	LoadSwing     float64 `toml:"swing"`          // sigma of its changes over a flow's life
	LoadChange    Span    `toml:"change"`         // a flow's load changes about so often
	LifeSpread    float64 `toml:"life_spread"`    // sigma of lives (log-normal)
}

// HostGroup are some hosts alike.
type HostGroup struct {
	Kind   string  `toml:"kind"`
	Count  int     `toml:"count"`
	Cores  float64 `toml:"cores"`
	Speed  float64 `toml:"speed"`
	Zone   string  `toml:"zone"` // empty: spread over all zones
	BootAt Span    `toml:"boot"` // when it starts; 0 for long ago
}

// NodeGroup are the nodes of a zone.
type NodeGroup struct {
	Zone  string `toml:"zone"`
	Count int    `toml:"count"`
}

// Node is what each node has.
type Node struct {
	Sockets         int  `toml:"sockets"`
	MemoryMB        int  `toml:"memory_mb"`
	MaxConnects     int  `toml:"max_connects"`
	Probing         bool `toml:"probing"`
	HostsReportLoad bool `toml:"reports"` // hosts tell their load to probes
	DrainGrace      Span `toml:"drain_grace"`
	MaxRetryAfter   Span `toml:"max_wait"` // that clients obey when told to come again later; 0: they are not told
	DialTimeout     Span `toml:"dial_timeout"`
	Backlog         int  `toml:"backlog"` // connections that wait at the listener at the most

	Admission Admission `toml:"admission"`
	Holding   Holding   `toml:"holding"`

	// What the node's own core costs, for play in virtual time; all 0: it costs nothing.
	Turn   Span `toml:"turn_cost"`   // each turn of its loop
	Event  Span `toml:"event_cost"`  // each event taken in
	Socket Span `toml:"socket_cost"` // each connection opened, taken or closed
	KB     Span `toml:"kb_cost"`     // each 1024 bytes sent or received
}

// Cluster is whether nodes bound themselves by what all of them together may place, and whether they tell each other.
type Cluster struct {
	On     bool `toml:"on"`
	Strict bool `toml:"strict"` // a rate of node.admission is kept whatever fails; without, by who can be reached
	Alone  bool `toml:"alone"`  // each goes by its own eyes: none has another's address

	Limits []Limit `toml:"limits"` // kept by all nodes together
}

// Limit is one that the whole fleet keeps: a rate of new flows, or a number at once.
type Limit struct {
	Over    string  `toml:"over"` // address, type, group or host
	Of      string  `toml:"of"`   // one of these alone
	Promise string  `toml:"promise"`
	Rate    float64 `toml:"rate"`
	Burst   float64 `toml:"burst"`
	AtOnce  int     `toml:"at_once"`
}

// Admission is what a node allows each client address; 0: anything.
type Admission struct {
	PerAddress int     `toml:"per_address"` // connections at once
	Rate       float64 `toml:"rate"`        // new ones a second
	Burst      float64 `toml:"burst"`       // of these in hand
	Reserve    int     `toml:"reserve"`     // descriptors kept for known clients
}

// Holding is what a node may hold; 0: its own defaults, or no limit.
type Holding struct {
	Buffers int  `toml:"buffers"`
	Idle    Span `toml:"idle"`
	Stalled Span `toml:"stalled"`
}

// Discovery is the service that names the hosts.
type Discovery struct {
	NoticeDelay  Span    `toml:"notice"`  // until it knows of what changed
	UpdatePeriod Span    `toml:"period"`  // it tells changes so often
	CallRate     float64 `toml:"calls"`   // calls a second that it can take; 0: any number
	RefusalShare float64 `toml:"refuses"` // share of calls that it turns down
}

// FrontEnd deals clients out among the nodes of their zone.
type FrontEnd struct {
	NoticeDelay Span `toml:"notice"` // it goes on sending to a dead node for so long
}

// Store is a service that each set-up needs.
type Store struct {
	CallRate float64 `toml:"rate"` // calls a second that it can take; 0: there is none
	CallTime Span    `toml:"time"` // of a call
}

// Clients is what all clients have in common.
type Clients struct {
	Retries          int     `toml:"retries"`    // tries after the first
	RetryWait        string  `toml:"wait"`       // none, at_once, fixed or exponential
	RetryPause       Span    `toml:"pause"`      // the fixed wait, and the first of the exponential ones
	GivesUp          bool    `toml:"gives_up"`   // after these it is gone; else it comes again later, and waits ever longer
	HonourShare      float64 `toml:"honour"`     // share of clients that wait as told
	ReturnAfterBreak [2]Span `toml:"back"`       // after a break a client comes again within
	ReturnAfterMove  [2]Span `toml:"moved"`      // after MOVE
	LineInterval     Span    `toml:"line_every"` // a line of each established flow
}

// ServiceType is a service type.
type ServiceType struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"`
	Load           float64 `toml:"load"`
	Life           float64 `toml:"life"`
	SetupTarget    Span    `toml:"setup_target"`
	ConnectTimeout Span    `toml:"connect_timeout"`
	MessageTarget  Span    `toml:"message_target"`
	Benefit        float64 `toml:"benefit"`
	Effect         string  `toml:"effect"` // repeatable, referenced or once-only
	Scope          string  `toml:"scope"`  // all or zone: hosts that know a referenced flow again
	Window         Span    `toml:"window"` // for so long
}

// Demand is who comes.
type Demand struct {
	Rate         float64            `toml:"rate"`          // new flows a second, over all zones
	Life         Span               `toml:"life"`          // of a flow of life 1, on average
	ZoneWeights  map[string]float64 `toml:"skew"`          // weight of a zone; 1 where none is given
	Standing     float64            `toml:"standing"`      // flows that stand at the start, as a share of the rate's mean number
	StandingTilt float64            `toml:"standing_tilt"` // sigma of their uneven spread over hosts (log-normal)
	Waves        []Wave             `toml:"waves"`
	Flows        string             `toml:"flows"` // a file of flows, in place of a rate
	Loops        []LoopingClients   `toml:"loops"`
	Bulk         []BulkClients      `toml:"bulk"`
	BadClients   []BadClients       `toml:"bad"`
}

// Wave says by how much the rate is multiplied from a moment on; in between it changes evenly.
type Wave struct {
	At             Span    `toml:"at"`
	RateMultiplier float64 `toml:"times"`
}

// LoopingClients is clients that open, and close as soon as they are established, again and again.
type LoopingClients struct {
	At    Span   `toml:"at"`
	For   Span   `toml:"for"`
	Count int    `toml:"count"`
	Type  string `toml:"type"`
	Zone  string `toml:"zone"`

	OneAddress bool `toml:"one_address"` // all come from one address
}

// BulkClients is clients that send lines as fast as they come back.
type BulkClients struct {
	At     Span   `toml:"at"`
	For    Span   `toml:"for"`
	Count  int    `toml:"count"`
	Type   string `toml:"type"`
	Zone   string `toml:"zone"`
	Window int    `toml:"window"` // bytes on their way at once
}

// BadClients is clients that keep no protocol, new ones so many a second.
type BadClients struct {
	At   Span    `toml:"at"`
	For  Span    `toml:"for"`
	Rate float64 `toml:"rate"`
	Kind string  `toml:"kind"`
	Zone string  `toml:"zone"`
}

// BadClientKinds are the ways to keep no protocol.
var BadClientKinds = []string{"garbage", "endless", "mute", "half", "no_type", "no_time", "many", "early", "huge"}

// Fault is one thing that happens.
type Fault struct {
	At       Span     `toml:"at"`
	Kind     string   `toml:"kind"`
	Hosts    []string `toml:"hosts"` // names, such as "h-3"; else Count or Share of them by chance
	Nodes    []string `toml:"nodes"`
	Zone     string   `toml:"zone"`
	Count    int      `toml:"count"`
	Share    float64  `toml:"share"`
	For      Span     `toml:"for"`
	Size     float64  `toml:"size"`  // see the kinds
	Delay    Span     `toml:"delay"` // added to a link
	Interval Span     `toml:"on"`    // a neighbour is on and off for so long; hosts are listed again so often
	Step     Span     `toml:"step"`  // between the members of a roll
	To       []string `toml:"to"`    // nodes at the other end; empty: all others
	Parts    int      `toml:"parts"` // into which a fleet is cut
}
