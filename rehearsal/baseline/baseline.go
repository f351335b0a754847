// Package baseline has simple policies to choose a server, for comparison in rehearsals only: random, round robin, least
// own connections, and the better of two random servers. They handle the list, the list watch and retries, and know nothing
// of rankings, warm-up, groups or loads.
package baseline

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"

	"coursewinch/balance"
	"coursewinch/node"
	"coursewinch/settings"
)

// Names are the names of all baselines.
var Names = []string{"random", "round-robin", "least-connections", "two-choices"}

// server is a server with the number of flows that this node has there.
type server struct {
	server *balance.Server
	flows  int
}

// decider implements node.Decider with one of the policies.
type decider struct {
	settings        *settings.Settings
	rng             *rand.Rand
	pick            func(d *decider, candidates []*server) *server
	writer          balance.Writer
	now             int64
	servers         []*server
	byServer        map[*balance.Server]*server
	lastIndex       int
	failed          map[*balance.Flow][]*balance.Server
	current         map[*balance.Flow]*server
	mayHaveRun      map[*balance.Flow]*balance.Server // first server that may have run the set-up
	nextCallAt      int64                             // time of the next list call, while there is no list
	listReceived    bool
	readingComplete bool // the list being read is complete
	alarmAt         int64
}

// New returns a function that makes deciders of the named baseline, from a node's settings and seed. It fails if there
// is no such baseline.
func New(name string) (func(*settings.Settings, int64) node.Decider, error) {
	pick, ok := map[string]func(*decider, []*server) *server{
		"random":            func(d *decider, candidates []*server) *server { return candidates[d.rng.Intn(len(candidates))] },
		"round-robin":       roundRobin,
		"least-connections": func(_ *decider, candidates []*server) *server { return slices.MinFunc(candidates, compareByFlows) },
		"two-choices":       twoChoices,
	}[name]
	if !ok {
		return nil, fmt.Errorf("baseline %q is unknown: one of %v", name, Names)
	}
	return func(set *settings.Settings, seed int64) node.Decider {
		return &decider{settings: set, rng: rand.New(rand.NewSource(seed)), pick: pick, byServer: map[*balance.Server]*server{},
			failed: map[*balance.Flow][]*balance.Server{}, current: map[*balance.Flow]*server{},
			mayHaveRun: map[*balance.Flow]*balance.Server{}}
	}, nil
}

// compareByFlows orders servers by their flows over their size, then by name.
func compareByFlows(x, y *server) int {
	return cmp.Or(cmp.Compare(float64(x.flows)/x.server.Size, float64(y.flows)/y.server.Size), cmp.Compare(x.server.Name, y.server.Name))
}

// roundRobin picks the servers in turn.
func roundRobin(d *decider, candidates []*server) *server {
	d.lastIndex++
	return candidates[d.lastIndex%len(candidates)]
}

// twoChoices picks the one of two random servers that has fewer flows for its size.
func twoChoices(d *decider, candidates []*server) *server {
	x, y := candidates[d.rng.Intn(len(candidates))], candidates[d.rng.Intn(len(candidates))]
	if compareByFlows(y, x) < 0 {
		return y
	}
	return x
}

// Round handles the input of a loop iteration, and asks for the list while there is none.
func (d *decider) Round(now int64, handleInput func(), writer balance.Writer) {
	d.now, d.writer = now, writer
	handleInput()
	if !d.listReceived && now >= d.nextCallAt {
		d.nextCallAt = now + d.settings.AskWithin/2
		writer.Watch()
	}
	if next := max(d.nextCallAt, now+1000); !d.listReceived && d.alarmAt != next {
		d.alarmAt = next
		writer.SetAlarm(next)
	}
}

// AlarmFired does nothing: Round handles what is due.
func (d *decider) AlarmFired() {}

// BeginList begins a list. After a refused list call the next one follows in half a second to a second.
func (d *decider) BeginList(kind balance.ListKind) {
	switch kind {
	case balance.ListRefused:
		d.listReceived = false
		d.nextCallAt = d.now + 500_000 + d.rng.Int63n(500_000)
		return
	case balance.ListRemembered:
	default:
		d.listReceived = true
	}
	if d.readingComplete = kind == balance.ListComplete; d.readingComplete {
		for _, v := range d.servers {
			v.server.SeenInList = false
		}
	}
}

// ListEntry handles an entry of the list.
func (d *decider) ListEntry(s *balance.Server, state balance.State, size float64, started int64) {
	s.State, s.Size, s.Started, s.SeenInList = state, size, started, true
	if d.byServer[s] == nil && state != balance.Removed {
		d.byServer[s] = &server{server: s}
		d.servers = append(d.servers, d.byServer[s])
	}
	if state == balance.Removed {
		d.remove(s)
	}
}

// remove forgets a server.
func (d *decider) remove(s *balance.Server) {
	s.State = balance.Removed
	delete(d.byServer, s)
	d.servers = slices.DeleteFunc(d.servers, func(v *server) bool { return v.server == s })
}

// EndList ends a list. Servers that a complete list does not name are removed.
func (d *decider) EndList(balance.ListKind) {
	if !d.readingComplete {
		return
	}
	d.readingComplete = false
	for _, v := range slices.Clone(d.servers) {
		if !v.server.SeenInList {
			d.remove(v.server)
		}
	}
}

// PlaceFlow connects a flow to a server that has not failed it yet, or rejects or aborts the flow.
func (d *decider) PlaceFlow(f *balance.Flow) {
	var candidates []*server
	for _, candidate := range d.servers {
		if candidate.server.State == balance.Up && !slices.Contains(d.failed[f], candidate.server) {
			candidates = append(candidates, candidate)
		}
	}
	firstRun := d.mayHaveRun[f]
	// Baselines keep the rules too: a set-up that may have run is repeated only where a repeat is harmless.
	mayRepeat := firstRun == nil || f.Type.Effect == balance.Repeatable ||
		f.Type.Effect == balance.Referenced && f.Type.Scope == balance.ScopeAll
	if len(candidates) == 0 || f.Connects >= d.settings.MaxConnects || f.Deadline <= d.now || !mayRepeat {
		d.forgetFlow(f)
		if mayRepeat {
			d.writer.Reject(f, d.settings.MaxRetryAfter/2)
		} else {
			d.writer.Abort(f)
		}
		return
	}
	chosen := d.pick(d, candidates)
	chosen.flows++
	d.current[f] = chosen
	f.Connects++
	timeout := f.Deadline - d.now
	if f.Connects < d.settings.MaxConnects {
		timeout = min(timeout, max(f.Type.SetupTarget, timeout/3))
	}
	d.writer.Connect(f, chosen.server, timeout)
}

// forgetFlow drops what is kept for the connects of a flow.
func (d *decider) forgetFlow(f *balance.Flow) {
	delete(d.failed, f)
	delete(d.mayHaveRun, f)
}

// AdoptFlow adopts a flow that is established already.
func (d *decider) AdoptFlow(f *balance.Flow, s *balance.Server) {
	if v := d.byServer[s]; v != nil {
		v.flows++
		d.current[f] = v
	}
}

// Established ends the connects of a flow.
func (d *decider) Established(f *balance.Flow, _ int64) { d.forgetFlow(f) }

// Ended handles the end of a connect or of an established flow. Unless the flow is finished, it is connected again.
func (d *decider) Ended(f *balance.Flow, s *balance.Server, outcome balance.Outcome, _ int64, finished bool) {
	if v := d.current[f]; v != nil {
		v.flows--
		delete(d.current, f)
	}
	if finished {
		d.forgetFlow(f)
		return
	}
	if outcome != balance.Saturated && outcome != balance.Unreachable && outcome != balance.Superseded && d.mayHaveRun[f] == nil {
		d.mayHaveRun[f] = s
	}
	d.failed[f] = append(d.failed[f], s)
	d.PlaceFlow(f)
}

// Expired drops a flow whose deadline has passed.
func (d *decider) Expired(f *balance.Flow) { d.forgetFlow(f) }

// LoadMeasured does nothing: baselines do not use the loads of flows.
func (d *decider) LoadMeasured(*balance.Flow, float64) {}

// LoadReported does nothing: baselines do not use load reports.
func (d *decider) LoadReported(*balance.Server, float64, bool) {}

// PlacementReported does nothing: baselines do not use groups.
func (d *decider) PlacementReported(*balance.Group, *balance.Server) {}

// DelayMeasured does nothing: baselines do not use message delays.
func (d *decider) DelayMeasured(*balance.Server, int64) {}

// Probed does nothing: baselines do not use probes.
func (d *decider) Probed(*balance.Server, balance.Outcome, int64) {}
