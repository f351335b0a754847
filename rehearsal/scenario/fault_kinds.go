package scenario

import (
	"strings"
)

// faultTarget is what a kind of fault affects.
type faultTarget uint8

const (
	targetsNothing faultTarget = iota
	targetsHosts
	targetsNodes
	targetsZone
	targetsLinks // between nodes
)

// faultKind describes a kind of fault and its parameters.
type faultKind struct {
	target           faultTarget
	sizeMeaning      string // meaning of Fault.Size; empty if it has none
	minSize, maxSize float64
	needsDuration    bool // Fault.For has to be set
}

// faultKinds holds all kinds of faults. "The duration" is Fault.For. A fault that needs a duration lasts for it unless
// stated otherwise.
var faultKinds = map[string]faultKind{
	// Hosts.
	"crash":     {targetsHosts, "", 0, 0, false}, // the process dies; if there is a duration, it restarts cold after it
	"silent":    {targetsHosts, "", 0, 0, true},  // the machine does not respond for the duration, then restarts cold
	"pause":     {targetsHosts, "", 0, 0, true},  // does no work for the duration
	"slow":      {targetsHosts, "factor of the slowdown", 1, 1000, true},
	"neighbour": {targetsHosts, "share of the machine taken", 0.01, 0.99, true}, // by another program; alternates if Fault.Interval is set
	"errors":    {targetsHosts, "share of set-ups answered ERR", 0.001, 1, true},
	"drain":     {targetsHosts, "", 0, 0, true},  // drains for the duration, then stops
	"restart":   {targetsHosts, "", 0, 0, true},  // drains for the duration, then restarts cold; one host after another, Fault.Step apart
	"join":      {targetsHosts, "", 0, 0, false}, // a host that is not running starts
	"relist":    {targetsHosts, "", 0, 0, true},  // discovery publishes the unchanged hosts again at Fault.Interval

	// Nodes.
	"node_kill":   {targetsNodes, "", 0, 0, true},  // killed, and restarted after the duration
	"node_stop":   {targetsNodes, "", 0, 0, true},  // stopped by SIGTERM, restarted the duration after its time to end
	"node_reload": {targetsNodes, "", 0, 0, false}, // reads its configuration again
	"node_starve": {targetsNodes, "share of its core taken", 0.01, 0.999, true},
	"node_pause":  {targetsNodes, "", 0, 0, true},                                          // suspended, then continues with its old state
	"node_twin":   {targetsNodes, "", 0, 0, true},                                          // a second process of the same name, without clients
	"node_clock":  {targetsNodes, "seconds that its clock jumps by", -86400, 86400, false}, // in virtual time only
	"node_rate":   {targetsNodes, "factor of the speed of its clock", 0.5, 2, true},        // in virtual time only

	// The network between a zone and the others.
	"cut":    {targetsZone, "", 0, 0, true}, // nothing passes
	"delay":  {targetsZone, "", 0, 0, true}, // Fault.Delay is added
	"breaks": {targetsZone, "share of its connections broken", 0.001, 1, false},

	// Services and clients.
	"store_slow":   {targetsNothing, "factor of the slowdown", 1, 1000, true},
	"discovery":    {targetsNothing, "", 0, 0, true}, // down for the duration
	"discovery_no": {targetsNothing, "share of calls refused", 0.001, 1, true},
	"reconnect":    {targetsNothing, "share of clients that disconnect and connect again", 0.001, 1, true},
	"vanish":       {targetsNothing, "share of clients that vanish without a close and connect again", 0.001, 1, true},

	// Links between these nodes and the others, in both directions unless stated otherwise.
	"link_loss":  {targetsLinks, "share of datagrams lost", 0.001, 1, true},
	"link_delay": {targetsLinks, "share by which the delay varies", 0, 1, true},
	"link_twice": {targetsLinks, "share of datagrams duplicated", 0.001, 1, true},
	"link_mixed": {targetsLinks, "share of datagrams reordered", 0.001, 1, true},
	"link_bent":  {targetsLinks, "share of datagrams with a corrupted byte", 0.001, 1, true},
	"link_again": {targetsLinks, "share of datagrams on which an earlier one is replayed", 0.001, 1, true},
	"link_mute":  {targetsLinks, "", 0, 0, true},   // nothing that these nodes send arrives; they still receive
	"link_cut":   {targetsLinks, "", 0, 0, true},   // nothing passes between these nodes and the others
	"link_split": {targetsNothing, "", 0, 0, true}, // the links of the fleet are cut into Fault.Parts parts, by index of the node
	"link_liar":  {targetsLinks, "", 0, 0, true},   // these nodes report, in valid datagrams, nearly a thousand cores' load at every host
}

// FaultKinds returns the names of the kinds of faults, sorted and separated by commas.
func FaultKinds() string {
	var names []string
	for k := range faultKinds {
		names = append(names, k)
	}
	return strings.Join(sortNames(names), ", ")
}
