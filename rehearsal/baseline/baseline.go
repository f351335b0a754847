// Package baseline has simple ways to choose a server, for comparison in rehearsals and nothing else: random, round
// robin, least own connections, best of two. They keep the list, the watch and the retries that any of them needs, and
// know nothing of rankings, warm-up, groups or loads.
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

// Names are the baselines there are.
var Names = []string{"random", "round-robin", "least-connections", "two-choices"}

// server is what a baseline keeps of one.
type server struct {
	server *balance.Server
	flows  int
}

// decider is a node.Decider.
type decider struct {
	settings        *settings.Settings
	rng             *rand.Rand
	pick            func(d *decider, from []*server) *server
	writer          balance.Writer
	now             int64
	servers         []*server
	byServer        map[*balance.Server]*server
	lastIndex       int
	failed          map[*balance.Flow][]*balance.Server
	current         map[*balance.Flow]*server
	mayHaveRun      map[*balance.Flow]*balance.Server // that may have run it first
	nextCallAt      int64
	listReceived    bool
	readingComplete bool // the list being read is a whole one
	alarmAt         int64
}

// New gives the maker of a baseline's deciders.
func New(name string) (func(*settings.Settings, int64) node.Decider, error) {
	pick, ok := map[string]func(*decider, []*server) *server{
		"random":            func(d *decider, from []*server) *server { return from[d.rng.Intn(len(from))] },
		"round-robin":       roundRobin,
		"least-connections": func(_ *decider, from []*server) *server { return slices.MinFunc(from, compareByFlows) },
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

func compareByFlows(x, y *server) int {
	return cmp.Or(cmp.Compare(float64(x.flows)/x.server.Size, float64(y.flows)/y.server.Size), cmp.Compare(x.server.Name, y.server.Name))
}

func roundRobin(d *decider, from []*server) *server {
	d.lastIndex++
	return from[d.lastIndex%len(from)]
}

func twoChoices(d *decider, from []*server) *server {
	x, y := from[d.rng.Intn(len(from))], from[d.rng.Intn(len(from))]
	if compareByFlows(y, x) < 0 {
		return y
	}
	return x
}

func (d *decider) Round(now int64, in func(), out balance.Writer) {
	d.now, d.writer = now, out
	in()
	if !d.listReceived && now >= d.nextCallAt {
		d.nextCallAt = now + d.settings.AskWithin/2
		out.Watch()
	}
	if next := max(d.nextCallAt, now+1000); !d.listReceived && d.alarmAt != next {
		d.alarmAt = next
		out.Alarm(next)
	}
}

func (d *decider) Tick() {}

func (d *decider) List(kind balance.ListKind) {
	switch kind {
	case balance.Refused:
		d.listReceived = false
		d.nextCallAt = d.now + 500_000 + d.rng.Int63n(500_000)
		return
	case balance.Remembered:
	default:
		d.listReceived = true
	}
	if d.readingComplete = kind == balance.Whole; d.readingComplete {
		for _, v := range d.servers {
			v.server.Seen = false
		}
	}
}

func (d *decider) Entry(s *balance.Server, state balance.State, size float64, started int64) {
	s.State, s.Size, s.Started, s.Seen = state, size, started, true
	if d.byServer[s] == nil && state != balance.Removed {
		d.byServer[s] = &server{server: s}
		d.servers = append(d.servers, d.byServer[s])
	}
	if state == balance.Removed {
		d.remove(s)
	}
}

func (d *decider) remove(s *balance.Server) {
	s.State = balance.Removed
	delete(d.byServer, s)
	d.servers = slices.DeleteFunc(d.servers, func(v *server) bool { return v.server == s })
}

func (d *decider) ListEnd(balance.ListKind) {
	if !d.readingComplete {
		return
	}
	d.readingComplete = false
	for _, v := range slices.Clone(d.servers) {
		if !v.server.Seen {
			d.remove(v.server)
		}
	}
}

func (d *decider) Demand(f *balance.Flow) {
	var from []*server
	for _, v := range d.servers {
		if v.server.State == balance.Up && !slices.Contains(d.failed[f], v.server) {
			from = append(from, v)
		}
	}
	ran := d.mayHaveRun[f]
	// Rules are kept by baselines too: what may have run goes on only where a repeat is harmless.
	again := ran == nil || f.Type.Effect == balance.Repeatable ||
		f.Type.Effect == balance.Referenced && f.Type.Scope == balance.ScopeAll
	if len(from) == 0 || f.Tries >= d.settings.MaxConnects || f.Deadline <= d.now || !again {
		d.forgetFlow(f)
		if again {
			d.writer.Reject(f, d.settings.MaxWait/2)
		} else {
			d.writer.Abort(f)
		}
		return
	}
	v := d.pick(d, from)
	v.flows++
	d.current[f] = v
	f.Tries++
	left := f.Deadline - d.now
	if f.Tries < d.settings.MaxConnects {
		left = min(left, max(f.Type.SetupTarget, left/3))
	}
	d.writer.Connect(f, v.server, left)
}

func (d *decider) forgetFlow(f *balance.Flow) {
	delete(d.failed, f)
	delete(d.mayHaveRun, f)
}

func (d *decider) Opened(f *balance.Flow, s *balance.Server) {
	if v := d.byServer[s]; v != nil {
		v.flows++
		d.current[f] = v
	}
}

func (d *decider) Established(f *balance.Flow, _ int64) { d.forgetFlow(f) }

func (d *decider) Ended(f *balance.Flow, s *balance.Server, end balance.Outcome, _ int64, over bool) {
	if v := d.current[f]; v != nil {
		v.flows--
		delete(d.current, f)
	}
	if over {
		d.forgetFlow(f)
		return
	}
	if end != balance.Saturated && end != balance.Unreachable && end != balance.Superseded && d.mayHaveRun[f] == nil {
		d.mayHaveRun[f] = s
	}
	d.failed[f] = append(d.failed[f], s)
	d.Demand(f)
}

func (d *decider) Expired(f *balance.Flow) { d.forgetFlow(f) }

func (d *decider) Load(*balance.Flow, float64)                    {}
func (d *decider) Reported(*balance.Server, float64, bool)        {}
func (d *decider) Held(*balance.Group, *balance.Server)           {}
func (d *decider) Slow(*balance.Server, int64)                    {}
func (d *decider) Probed(*balance.Server, balance.Outcome, int64) {}
