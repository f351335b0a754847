// Package scenario reads scripts of a rehearsal: a fleet, its clients and a timeline of faults, as TOML. It decides
// nothing and plays nothing; every fault of a script is told with its line and key.
package scenario

import (
	"fmt"
	"strings"
	"time"
)

// Span is a length of time, written as "250ms" or "12s". Whole microseconds.
type Span int64

func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as \"250ms\" or \"12s\"", text)
	}
	*s = Span(d.Microseconds())
	return nil
}

func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Seconds is the span in seconds.
func (s Span) Seconds() float64 { return float64(s) / 1e6 }
func (s Span) String() string   { return (time.Duration(s) * time.Microsecond).String() }

// Us is the span in microseconds.
func (s Span) Us() int64 { return int64(s) }

const (
	millisecond = Span(1000)
	second      = 1000 * millisecond
)

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

// faultTarget is what a kind of fault strikes.
type faultTarget uint8

const (
	targetsNothing faultTarget = iota
	targetsHosts
	targetsNodes
	targetsZone
	targetsLinks // between nodes
)

type faultKind struct {
	target           faultTarget
	sizeMeaning      string // what Size is; empty where it means nothing
	minSize, maxSize float64
	needsDuration    bool
}

// faultKinds are the faults there are.
var faultKinds = map[string]faultKind{
	"crash":        {targetsHosts, "", 0, 0, false}, // the process dies and, after for, comes back cold
	"silent":       {targetsHosts, "", 0, 0, true},  // the machine says nothing for so long, then comes back cold
	"pause":        {targetsHosts, "", 0, 0, true},  // stands still for so long
	"slow":         {targetsHosts, "times slower", 1, 1000, true},
	"neighbour":    {targetsHosts, "share of the machine taken", 0.01, 0.99, true},
	"errors":       {targetsHosts, "share of set-ups answered ERR", 0.001, 1, true},
	"drain":        {targetsHosts, "", 0, 0, true}, // drains for so long, then leaves
	"restart":      {targetsHosts, "", 0, 0, true}, // drains for so long, then comes back cold, one each step
	"join":         {targetsHosts, "", 0, 0, false},
	"node_kill":    {targetsNodes, "", 0, 0, true}, // down for so long
	"node_stop":    {targetsNodes, "", 0, 0, true}, // SIGTERM, down for so long after its end
	"node_reload":  {targetsNodes, "", 0, 0, false},
	"node_starve":  {targetsNodes, "share of its core taken", 0.01, 0.999, true},
	"cut":          {targetsZone, "", 0, 0, true}, // nothing passes between this zone and the others
	"delay":        {targetsZone, "", 0, 0, true}, // of what passes between this zone and the others
	"breaks":       {targetsZone, "share of its connections broken", 0.001, 1, false},
	"store_slow":   {targetsNothing, "times slower", 1, 1000, true},
	"discovery":    {targetsNothing, "", 0, 0, true}, // down for so long
	"reconnect":    {targetsNothing, "share of clients that drop and come again", 0.001, 1, true},
	"vanish":       {targetsNothing, "share of clients that vanish without a close and come again", 0.001, 1, true},
	"relist":       {targetsHosts, "", 0, 0, true}, // each on, discovery tells of them again, for so long
	"discovery_no": {targetsNothing, "share of calls refused", 0.001, 1, true},
	"node_pause":   {targetsNodes, "", 0, 0, true},                                          // stopped for so long; then it goes on with what it believed
	"node_twin":    {targetsNodes, "", 0, 0, true},                                          // a second process under the same name, for so long; it serves nobody
	"node_clock":   {targetsNodes, "seconds that its clock jumps by", -86400, 86400, false}, // in virtual time only
	"node_rate":    {targetsNodes, "times as fast that its clock runs", 0.5, 2, true},       // in virtual time only
	"link_loss":    {targetsLinks, "share of datagrams lost", 0.001, 1, true},               // between these nodes and the others, both ways
	"link_delay":   {targetsLinks, "share by which the delay varies", 0, 1, true},
	"link_twice":   {targetsLinks, "share of datagrams that come twice", 0.001, 1, true},
	"link_mixed":   {targetsLinks, "share of datagrams that are overtaken", 0.001, 1, true},
	"link_bent":    {targetsLinks, "share of datagrams with a byte changed", 0.001, 1, true},
	"link_again":   {targetsLinks, "share of datagrams sent again later, from what was seen before", 0.001, 1, true},
	"link_mute":    {targetsLinks, "", 0, 0, true},   // what these nodes send reaches nobody; they hear
	"link_cut":     {targetsLinks, "", 0, 0, true},   // nothing passes between these nodes and the others
	"link_split":   {targetsNothing, "", 0, 0, true}, // the fleet's links are cut into parts, by node number
	"link_liar":    {targetsLinks, "", 0, 0, true},   // what these nodes tell is whole, and nonsense: a million flows everywhere
}

// FaultKinds names them, in order.
func FaultKinds() string {
	var names []string
	for k := range faultKinds {
		names = append(names, k)
	}
	return strings.Join(sortNames(names), ", ")
}
