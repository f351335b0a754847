package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// checkDuration requires a length of time to be from low to high.
func (p *problems) checkDuration(key string, value, low, high Duration) {
	if value < low || value > high {
		p.add(key, "%v is out of range: %v to %v", value, low, high)
	}
}

// checkNumber requires a number to be from low to high, which NaN is not.
func (p *problems) checkNumber(key string, value, low, high float64) {
	if !(value >= low && value <= high) {
		p.add(key, "%v is out of range: %v to %v", value, low, high)
	}
}

// checkWord requires a value to be one of words.
func (p *problems) checkWord(key, value string, words ...string) {
	if !slices.Contains(words, value) {
		p.add(key, "%q is unknown: one of %s", value, strings.Join(words, ", "))
	}
}

const (
	maxHosts = 4096
	maxNodes = 4096
	maxRate  = 100_000 // new flows per second
	hour     = 3600 * second
)

// check adds all problems of the script except those of its file of flows.
func (s *Script) check(p *problems) {
	if s.Name == "" {
		p.add("name", "is missing")
	}
	p.checkDuration("length", s.Length, second, hour)
	if slices.Contains(s.Zones, "") || len(slices.Compact(sortNames(slices.Clone(s.Zones)))) != len(s.Zones) {
		p.add("zones", "names must be unique and not empty")
	}
	s.checkNetwork(p)
	s.checkFleet(p)
	s.checkNodes(p)
	s.checkClients(p)
	s.checkLimits(p)
	s.checkDemand(p)
	for i := range s.Faults {
		s.checkFault(p, i)
	}
}

func (s *Script) checkNetwork(p *problems) {
	for _, delay := range []struct {
		key string
		v   Duration
	}{{"same", s.Network.SameZone}, {"cross", s.Network.CrossZone}, {"client", s.Network.Client}} {
		p.checkDuration("network."+delay.key, delay.v, 1, 10*second)
	}
	p.checkNumber("network.jitter", s.Network.Jitter, 0, 0.9)
	p.checkDuration("discovery.notice", s.Discovery.NoticeDelay, 0, hour)
	p.checkDuration("discovery.period", s.Discovery.UpdatePeriod, millisecond, 10*second)
	p.checkNumber("discovery.calls", s.Discovery.CallRate, 0, 1e6)
	p.checkNumber("discovery.refuses", s.Discovery.RefusalShare, 0, 1)
	p.checkDuration("front.notice", s.FrontEnd.NoticeDelay, 0, hour)
	p.checkNumber("store.rate", s.Store.CallRate, 0, 1e6)
	p.checkDuration("store.time", s.Store.CallTime, 0, 10*second)
}

func (s *Script) checkFleet(p *problems) {
	fleet := s.Fleet
	p.checkNumber("fleet.flows_per_core", fleet.FlowsPerCore, 0.1, 1e5)
	p.checkNumber("fleet.cap", fleet.ConnectionCap, 0.1, 1000)
	p.checkDuration("fleet.setup_work", fleet.SetupWork, 1, 10*second)
	p.checkDuration("fleet.probe_work", fleet.ProbeWork, 0, second)
	p.checkNumber("fleet.slots_per_core", fleet.SlotsPerCore, 0.1, 1e4)
	p.checkNumber("fleet.queue_per_core", fleet.QueuePerCore, 0, 1e6)
	p.checkNumber("fleet.cold_from", fleet.ColdFrom, 0.01, 1)
	p.checkDuration("fleet.cold_time", fleet.ColdTime, 0, hour)
	p.checkNumber("fleet.fall_multiple", fleet.FallMultiple, 1, 1000)
	p.checkNumber("fleet.fall_roots", fleet.FallRoots, 0, 10)
	p.checkDuration("fleet.fall_after", fleet.FallAfter, 100*millisecond, 60*second)
	p.checkNumber("fleet.group_cost", fleet.GroupCost, 0, 1000)
	p.checkNumber("fleet.groups", float64(fleet.Groups), 0, 1e6)
	p.checkNumber("fleet.error_rate", fleet.ErrorRate, 0, 1)
	p.checkWord("fleet.drain", fleet.DrainMode, "none", "paced", "at_once")
	p.checkDuration("fleet.buffer", fleet.Buffer, 0, 60*second)
	p.checkNumber("fleet.thrash", fleet.Thrash, 0, 0.95)
	p.checkWord("fleet.sheds", fleet.ShedMode, "none", "newest", "heaviest")
	p.checkWord("fleet.echo", fleet.EchoMode, "at_once", "in_turn")
	p.checkNumber("fleet.load_spread", fleet.LoadSpread, 0, 3)
	p.checkNumber("fleet.swing", fleet.LoadSwing, 0, 3)
	p.checkDuration("fleet.change", fleet.LoadChangeInterval, 100*millisecond, hour)
	p.checkNumber("fleet.life_spread", fleet.LifeSpread, 0, 3)
	total := 0
	for i, h := range s.Hosts {
		key := "hosts." + strconv.Itoa(i)
		p.checkNumber(key+".count", float64(h.Count), 1, maxHosts)
		p.checkNumber(key+".cores", h.Cores, 0.1, 1000)
		p.checkNumber(key+".speed", h.Speed, 0.01, 100)
		p.checkDuration(key+".boot", h.BootAt, 0, s.Length)
		s.checkZone(p, key+".zone", h.Zone, true)
		total += max(h.Count, 0)
	}
	if total < 1 || total > maxHosts {
		p.add("hosts", "%d hosts: 1 to %d", total, maxHosts)
	}
}

// checkZone requires a name to be that of a zone, or empty if mayBeEmpty.
func (s *Script) checkZone(p *problems, key, name string, mayBeEmpty bool) {
	if !(mayBeEmpty && name == "") && !slices.Contains(s.Zones, name) {
		p.add(key, "%q is not a zone: one of %s", name, strings.Join(s.Zones, ", "))
	}
}

func (s *Script) checkNodes(p *problems) {
	total := 0
	for i, node := range s.Nodes {
		key := "nodes." + strconv.Itoa(i)
		p.checkNumber(key+".count", float64(node.Count), 1, maxNodes)
		s.checkZone(p, key+".zone", node.Zone, len(s.Zones) == 1)
		total += max(node.Count, 0)
	}
	if total < 1 || total > maxNodes {
		p.add("nodes", "%d nodes: 1 to %d", total, maxNodes)
	}
	node := s.Node
	p.checkNumber("node.sockets", float64(node.Sockets), 32, 1e6)
	p.checkNumber("node.memory_mb", float64(node.MemoryMB), 16, 1e6)
	p.checkNumber("node.max_connects", float64(node.MaxConnects), 1, 100)
	p.checkDuration("node.drain_grace", node.DrainGrace, 0, 60*second)
	p.checkDuration("node.max_wait", node.MaxRetryAfter, 0, 60*second)
	p.checkNumber("node.backlog", float64(node.Backlog), 1, 1e6)
	p.checkDuration("node.dial_timeout", node.DialTimeout, millisecond, 60*second)
	p.checkNumber("node.holding.buffers", float64(node.Holding.Buffers), 0, 1e6)
	p.checkDuration("node.holding.idle", node.Holding.Idle, 0, hour)
	p.checkDuration("node.holding.stalled", node.Holding.Stalled, 0, hour)
	p.checkNumber("node.admission.per_address", float64(node.Admission.PerAddress), 0, 1e6)
	p.checkNumber("node.admission.rate", node.Admission.Rate, 0, 1e6)
	p.checkNumber("node.admission.burst", node.Admission.Burst, 0, 1e6)
	p.checkNumber("node.admission.reserve", float64(node.Admission.Reserve), 0, 1e6)
	for _, cost := range []struct {
		key string
		v   Duration
	}{{"turn_cost", node.IterationCost}, {"event_cost", node.EventCost}, {"socket_cost", node.SocketCost}, {"kb_cost", node.KilobyteCost}} {
		p.checkDuration("node."+cost.key, cost.v, 0, second)
	}
}

func (s *Script) checkClients(p *problems) {
	clients := s.Clients
	p.checkNumber("clients.retries", float64(clients.Retries), 0, 1000)
	p.checkWord("clients.wait", clients.RetryWait, "none", "at_once", "fixed", "exponential")
	p.checkDuration("clients.pause", clients.RetryPause, millisecond, 60*second)
	p.checkNumber("clients.honour", clients.HonourShare, 0, 1)
	for _, pair := range []struct {
		key string
		v   [2]Duration
	}{{"back", clients.ReturnAfterBreak}, {"moved", clients.ReturnAfterMove}} {
		if pair.v[0] < 0 || pair.v[1] < pair.v[0] || pair.v[1] > hour {
			p.add("clients."+pair.key, "%v to %v is out of range: two times, the shorter first", pair.v[0], pair.v[1])
		}
	}
	p.checkDuration("clients.line_every", clients.LineInterval, millisecond, 60*second)
	if len(s.Types) == 0 {
		p.add("types", "there are no service types")
	}
	names := map[string]bool{}
	for i, t := range s.Types {
		key := "types." + strconv.Itoa(i)
		if t.Name == "" || strings.ContainsAny(t.Name, " ,=\t\r\n") || names[t.Name] {
			p.add(key+".name", "%q: names must be unique, not empty and without spaces, commas and equals signs", t.Name)
		}
		names[t.Name] = true
		p.checkNumber(key+".share", t.Share, 0.0001, 1e6)
		p.checkNumber(key+".load", t.Load, 0.001, 1000)
		p.checkNumber(key+".life", t.Life, 0.001, 1000)
		p.checkNumber(key+".benefit", t.Benefit, 0.001, 1000)
		p.checkDuration(key+".setup_target", t.SetupTarget, millisecond, 60*second)
		p.checkDuration(key+".message_target", t.MessageTarget, millisecond, 60*second)
		p.checkDuration(key+".connect_timeout", t.ConnectTimeout, t.SetupTarget, 600*second)
		p.checkWord(key+".effect", t.Effect, "repeatable", "referenced", "once-only")
		p.checkWord(key+".scope", t.Scope, "all", "zone")
		if t.Effect == "referenced" {
			p.checkDuration(key+".window", t.Window, millisecond, hour)
		}
	}
}

func (s *Script) checkLimits(p *problems) {
	for i, l := range s.Cluster.Limits {
		key := fmt.Sprintf("cluster.limits.%d", i)
		p.checkWord(key+".over", l.Over, "address", "type", "group", "host", "cold")
		p.checkWord(key+".promise", l.Promise, "strict", "available")
		if !s.Cluster.Enabled {
			p.add(key+".over", "cluster.on is false")
		}
		if l.AtOnce != 0 {
			p.checkNumber(key+".at_once", float64(l.AtOnce), 1, 65535)
			p.checkNumber(key+".rate", l.Rate, 0, 0)
			continue
		}
		if l.Over == "cold" {
			continue
		}
		p.checkNumber(key+".rate", l.Rate, 0.001, 1e6)
		p.checkNumber(key+".burst", l.Burst, 1, 1e6)
	}
}

func (s *Script) checkDemand(p *problems) {
	demand := s.Demand
	p.checkNumber("demand.rate", demand.Rate, 0, maxRate)
	p.checkNumber("demand.standing", demand.Standing, 0, 10)
	p.checkNumber("demand.standing_tilt", demand.StandingTilt, 0, 3)
	p.checkDuration("demand.life", demand.Life, 100*millisecond, hour)
	if demand.Rate == 0 && demand.Flows == "" && len(demand.Loops)+len(demand.Bulk) == 0 {
		p.add("demand.rate", "no clients arrive: set a rate, flows, loops or bulk")
	}
	for name, v := range demand.ZoneWeights {
		s.checkZone(p, "demand.skew."+name, name, false)
		p.checkNumber("demand.skew."+name, v, 0, 1000)
	}
	for i, w := range demand.Waves {
		key := "demand.waves." + strconv.Itoa(i)
		p.checkNumber(key+".times", w.RateMultiplier, 0, 1000)
		p.checkDuration(key+".at", w.At, 0, s.Length)
		if i > 0 && w.At < demand.Waves[i-1].At {
			p.add(key+".at", "%v is before the preceding wave", w.At)
		}
	}
	for i, l := range demand.Loops {
		s.checkClientGroup(p, fmt.Sprintf("demand.loops.%d", i), l.At, l.For, l.Count, l.Type, l.Zone)
	}
	for i, b := range demand.Bulk {
		key := fmt.Sprintf("demand.bulk.%d", i)
		s.checkClientGroup(p, key, b.At, b.For, b.Count, b.Type, b.Zone)
		p.checkNumber(key+".window", float64(b.Window), 128, 1<<20)
	}
	for i, b := range demand.BadClients {
		key := fmt.Sprintf("demand.bad.%d", i)
		p.checkDuration(key+".at", b.At, 0, s.Length)
		p.checkNumber(key+".rate", b.Rate, 0.01, 10_000)
		p.checkWord(key+".kind", b.Kind, BadClientKinds...)
		s.checkZone(p, key+".zone", b.Zone, true)
	}
}

// checkClientGroup checks a group of looping or bulk clients.
func (s *Script) checkClientGroup(p *problems, key string, from, length Duration, count int, kind, zone string) {
	p.checkDuration(key+".at", from, 0, s.Length)
	p.checkDuration(key+".for", length, 0, s.Length)
	p.checkNumber(key+".count", float64(count), 1, 10_000)
	s.checkZone(p, key+".zone", zone, true)
	if s.TypeIndex(kind) < 0 && kind != "" {
		p.add(key+".type", "%q is not a service type", kind)
	}
}

func (s *Script) checkFault(p *problems, index int) {
	fault := s.Faults[index]
	key := "faults." + strconv.Itoa(index)
	kind, ok := faultKinds[fault.Kind]
	if !ok {
		p.add(key+".kind", "%q is unknown: one of %s", fault.Kind, FaultKinds())
		return
	}
	p.checkDuration(key+".at", fault.At, 0, s.Length)
	p.checkDuration(key+".for", fault.For, 0, hour)
	p.checkDuration(key+".step", fault.Step, 0, s.Length)
	if kind.needsDuration && fault.For == 0 {
		p.add(key+".for", "is missing: the fault needs a duration")
	}
	if kind.sizeMeaning != "" && !(fault.Size >= kind.minSize && fault.Size <= kind.maxSize) {
		p.add(key+".size", "%v is out of range: %s, %v to %v", fault.Size, kind.sizeMeaning, kind.minSize, kind.maxSize)
	} else if kind.sizeMeaning == "" && fault.Size != 0 {
		p.add(key+".size", "has no meaning for %s", fault.Kind)
	}
	if fault.Kind == "link_split" {
		p.checkNumber(key+".parts", float64(fault.Parts), 2, float64(max(s.NodeCount(), 2)))
	} else if fault.Parts != 0 {
		p.add(key+".parts", "has no meaning for %s", fault.Kind)
	}
	if strings.HasPrefix(fault.Kind, "link_") && (!s.Cluster.Enabled || s.Cluster.Isolated) {
		p.add(key+".kind", "nodes have no links: cluster.on is false or cluster.alone is true")
	}
	if fault.Kind == "delay" || fault.Kind == "link_delay" {
		p.checkDuration(key+".delay", fault.Delay, 1, 60*second)
	}
	switch kind.target {
	case targetsHosts:
		s.checkMembers(p, key+".hosts", fault.Hosts, "h", s.HostCount(), fault)
	case targetsNodes, targetsLinks:
		if len(fault.To) > 0 {
			s.checkMembers(p, key+".to", fault.To, "n", s.NodeCount(), Fault{Share: 1})
		}
		s.checkMembers(p, key+".nodes", fault.Nodes, "n", s.NodeCount(), fault)
	case targetsZone:
		s.checkZone(p, key+".zone", fault.Zone, false)
		if len(s.Zones) < 2 {
			p.add(key+".zone", "there is only one zone")
		}
	}
}

// checkMembers checks the members that a fault names, or the count or share that it draws. Names are letter-0 to
// letter-(total-1).
func (s *Script) checkMembers(p *problems, key string, names []string, letter string, total int, fault Fault) {
	for _, name := range names {
		index, err := strconv.Atoi(strings.TrimPrefix(name, letter+"-"))
		if err != nil || name != fmt.Sprintf("%s-%d", letter, index) || index < 0 || index >= total {
			p.add(key, "%q is not one of %s-0 to %s-%d", name, letter, letter, total-1)
		}
	}
	if len(names) == 0 && fault.Count == 0 && fault.Share == 0 {
		p.add(key, "set names, a count or a share")
	}
	p.checkNumber(strings.TrimSuffix(key, "s")+"s", float64(fault.Count), 0, float64(total))
	p.checkNumber(key[:strings.LastIndexByte(key, '.')]+".share", fault.Share, 0, 1)
}

// HostCount returns the number of hosts.
func (s *Script) HostCount() (n int) {
	for _, g := range s.Hosts {
		n += g.Count
	}
	return n
}

// NodeCount returns the number of nodes.
func (s *Script) NodeCount() (n int) {
	for _, g := range s.Nodes {
		n += g.Count
	}
	return n
}

// TypeIndex returns the index of a service type, or -1 if there is none of that name.
func (s *Script) TypeIndex(name string) int {
	return slices.IndexFunc(s.Types, func(t ServiceType) bool { return t.Name == name })
}
