package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
)

// NodeConfig is the configuration of a node's process. JSON is the text of its configuration file, which contains the
// others.
type NodeConfig struct {
	Name       string
	Listen     string // address for clients
	Discovery  string // address of discovery
	KnownHosts string // last list of hosts, in the format of discovery
	Seed       uint64
	Settings   string // JSON text
	JSON       string
}

// nodeConfig returns the configuration for a new process of a node.
func (w *World) nodeConfig(n *nodeState) NodeConfig {
	c := NodeConfig{Name: n.name, Listen: n.name, Discovery: w.environment.Discovery(n.index, n.reloads%2),
		Seed: w.seed*0x9e3779b97f4a7c15 + uint64(n.index)*1000003 + uint64(n.starts)}
	if w.environment.Listen != nil {
		c.Listen = w.environment.Listen(n.index)
	}
	var known []hostEntry
	for _, e := range n.hostView {
		if e.state == "ready" || e.state == "draining" {
			known = append(known, e)
		}
	}
	c.KnownHosts = w.listJSON(n.index, n.revision, known, true)
	c.Settings = w.settingsJSON(n)
	admission := w.script.Node.Admission
	if w.limitsJSON() != "" {
		admission.Rate, admission.Burst = 0, 0
	}
	c.JSON = fmt.Sprintf(`{"name":%q,%s"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"admission":{"per_address":%d,"rate":%g,"burst":%g,"reserve":%d},"holding":{"buffers":%d,"idle_ms":%d,"stalled_ms":%d},"known":%s,"settings":%s}`,
		c.Name, w.adminJSON(n.index)+w.clusterJSON(n.index), c.Listen, c.Discovery, c.Seed>>1, w.script.Node.MemoryMB,
		w.script.Node.Sockets, admission.PerAddress, admission.Rate, admission.Burst, admission.Reserve,
		w.script.Node.Holding.Buffers, w.script.Node.Holding.Idle/1000, w.script.Node.Holding.Stalled/1000,
		c.KnownHosts, c.Settings)
	return c
}

// adminJSON returns the member for the admin address with a comma after it, or nothing if there is none.
func (w *World) adminJSON(index int) string {
	if w.environment.Admin == nil {
		return ""
	}
	return fmt.Sprintf(`"admin":%q,`, w.environment.Admin(index))
}

// clusterJSON returns the member for the cluster of nodes with a comma after it, or nothing if it is off.
func (w *World) clusterJSON(index int) string {
	if !w.script.Cluster.Enabled {
		return ""
	}
	if w.script.Cluster.Isolated || w.environment.ClusterLinks == nil || len(w.nodes) < 2 {
		return fmt.Sprintf(`"cluster":{"on":true%s},`, w.limitsJSON())
	}
	listen, others := w.environment.ClusterLinks(index)
	text, _ := json.Marshal(others)
	return fmt.Sprintf(`"cluster":{"on":true,"listen":%q,"nodes":%s%s},`, listen, text, w.limitsJSON())
}

// limitsJSON returns the member for the limits of the fleet with a comma before it, or nothing if there are none.
func (w *World) limitsJSON() string {
	var all []string
	for _, l := range w.script.FleetLimits() {
		all = append(all, fmt.Sprintf(`{"over":%q,"of":%q,"rate":%g,"burst":%g,"at_once":%d,"promise":%q}`, l.Over,
			l.Of, l.Rate, l.Burst, l.AtOnce, l.Promise))
	}
	if all == nil {
		return ""
	}
	return `,"limits":[` + strings.Join(all, ",") + "]"
}

// effectNames maps the effects of service types in scripts to those in the nodes' settings.
var effectNames = map[string]string{"repeatable": "safe", "referenced": "keyed", "once-only": "unsafe"}

// settingsJSON returns the settings of a node, under the platform's names.
func (w *World) settingsJSON(n *nodeState) string {
	s := w.script
	var types, messageAims []string
	for _, t := range s.Types {
		text := fmt.Sprintf(`{"Name":%q,"Benefit":%g,"Effect":%q,"SetupTargetMs":%g,"HardLimitMs":%g`, t.Name, t.Benefit,
			effectNames[t.Effect], float64(t.SetupTarget)/1000, float64(t.ConnectTimeout)/1000)
		if t.Effect == "referenced" {
			text += fmt.Sprintf(`,"Group":%q,"WindowMs":%g`, t.Scope, float64(t.Window)/1000)
		}
		types = append(types, text+"}")
		messageAims = append(messageAims, fmt.Sprintf("%g", float64(t.MessageTarget)/1000))
	}
	zones := make([]string, len(s.Zones))
	for i, z := range s.Zones {
		zones[i] = fmt.Sprintf("%q", z)
	}
	return fmt.Sprintf(`{"Balancers":%d,"Index":%d,"MyZone":%d,"Localities":[%s],"Discovery":"on_request",`+
		`"Limits":{"MaxConnects":%d,"MaxRetryAfterMs":%g,"Probing":%t,"RetryAfter":%t,"DialTimeoutMs":%g},`+
		`"Obligations":{"AskWithinMs":%d,"ColdFrom":%g,"ColdMs":%g,"FallMs":%g,"FallMultiple":%g},"ServiceTypes":[%s],"LoadReport":{"How":%q,"Names":["waiting","x0"]},`+
		`"Specifics":{"Groups":%t,"Mode":"proxy","MessageAimMs":[%s],"TellsDelay":false}}`,
		len(w.nodes), n.index, n.zone, strings.Join(zones, ","), s.Node.MaxConnects, float64(s.Node.MaxRetryAfter)/1000, s.Node.Probing,
		s.Node.MaxRetryAfter > 0, float64(s.Node.DialTimeout)/1000, askDiscoveryWithin/1000, s.Fleet.ColdFrom,
		float64(s.Fleet.ColdTime)/1000, float64(s.Fleet.FallAfter)/1000, s.Fleet.FallMultiple,
		strings.Join(types, ","), map[bool]string{false: "silent", true: "pull"}[s.Node.HostsReportLoad],
		s.Fleet.Groups > 0, strings.Join(messageAims, ","))
}
