package scenario

const defaultBulkWindow = 16 << 10 // bytes

// defaults returns a script with the values that apply where a script sets none.
func defaults() *Script {
	return &Script{
		Length:  60 * second,
		Network: Network{SameZone: 200, CrossZone: 2 * millisecond, Client: 500, Jitter: 0.2},
		Fleet: Fleet{FlowsPerCore: 16, ConnectionCap: 2.5, SetupWork: 8 * millisecond, ProbeWork: 250, SlotsPerCore: 4,
			QueuePerCore: 16, ColdFrom: 0.12,
			ColdTime: 22 * second, FallMultiple: 3, FallAfter: 3 * second, DrainMode: "none", Buffer: second, ShedMode: "none",
			EchoMode: "at_once", SendsLoad: true, LoadSpread: 0.6, LoadSwing: 0.3, LoadChangeInterval: 8 * second, LifeSpread: 0.8},
		Node: Node{Sockets: 1024, MemoryMB: 192, MaxConnects: 6, Probing: true, DrainGrace: 300 * millisecond,
			DialTimeout: 250 * millisecond, Backlog: 1024},
		Discovery: Discovery{NoticeDelay: 1500 * millisecond, UpdatePeriod: 400 * millisecond},
		FrontEnd:  FrontEnd{NoticeDelay: 2 * second},
		Clients: Clients{Retries: 2, RetryWait: "fixed", RetryPause: 100 * millisecond, HonourShare: 1,
			ReturnAfterBreak: [2]Duration{120 * millisecond, 1200 * millisecond},
			ReturnAfterMove:  [2]Duration{120 * millisecond, 1200 * millisecond}, LineInterval: 2 * second},
		Demand: Demand{Life: 40 * second},
	}
}

// fillDefaults sets the defaults of list members and those that depend on other values.
func (s *Script) fillDefaults() {
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	if s.Seed == 0 {
		s.Seed = 1
	}
	for i := range s.Types {
		t := &s.Types[i]
		if t.Share == 0 {
			t.Share = 1
		}
		if t.Load == 0 {
			t.Load = 1
		}
		if t.Life == 0 {
			t.Life = 1
		}
		if t.Benefit == 0 {
			t.Benefit = 1
		}
		if t.Effect == "" {
			t.Effect = "repeatable"
		}
		if t.Scope == "" {
			t.Scope = "all"
		}
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if h.Cores == 0 {
			h.Cores = 2
		}
		if h.Speed == 0 {
			h.Speed = 1
		}
	}
	for i := range s.Demand.Bulk {
		if s.Demand.Bulk[i].Window == 0 {
			s.Demand.Bulk[i].Window = defaultBulkWindow
		}
	}
}
