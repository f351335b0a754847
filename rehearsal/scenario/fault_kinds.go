package scenario

import (
	"strings"
)

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
