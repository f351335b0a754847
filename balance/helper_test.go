package balance

import (
	"math/rand"
	"strings"
	"testing"
)

// recorder is a Writer that records the decisions of a balancer as short texts.
type recorder struct{ lines []string }

func (w *recorder) record(parts ...string)                    { w.lines = append(w.lines, strings.Join(parts, " ")) }
func (w *recorder) Connect(f *Flow, s *Server, timeout int64) { w.record("connect", s.Name) }
func (w *recorder) Reject(f *Flow, wait int64)                { w.record("reject") }
func (w *recorder) Abort(f *Flow)                             { w.record("abort") }
func (w *recorder) Move(f *Flow)                              { w.record("move") }
func (w *recorder) Probe(s *Server)                           { w.record("probe", s.Name) }
func (w *recorder) Publish([]*Server, []GroupPlacement)       {}
func (w *recorder) Watch()                                    { w.record("watch") }
func (w *recorder) SetAlarm(at int64)                         {}
func (w *recorder) Log(line string)                           {}

func (w *recorder) count(prefix string) int {
	n := 0
	for _, s := range w.lines {
		if strings.HasPrefix(s, prefix) {
			n++
		}
	}
	return n
}

func (w *recorder) want(t *testing.T, lines ...string) {
	t.Helper()
	if got, want := strings.Join(w.lines, ", "), strings.Join(lines, ", "); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// newTestBalancer returns a balancer at the time of one minute, with n servers a, b, c... that have latency samples, are
// up, of equal size and warm, each in a zone and a cell of its own.
func newTestBalancer(n int, effect Effect, scope Scope) (*Balancer, *recorder) {
	set := &Settings{Types: []ServiceType{{SetupTarget: 300_000, MessageTarget: 60_000, Effect: effect,
		Scope: scope, Window: 5 * second}}, MaxConnects: 4, Probing: true, AskWithin: 10 * second,
		ColdFrom: 0.2, ColdTime: 20 * second, FallMultiple: 3}
	w := &recorder{}
	b := New(set, 1)
	b.now, b.writer, b.started = 60*second, w, 0
	for i := range n {
		s := &Server{Name: string(rune('a' + i)), Hash: uint64(i + 1), Size: 1, Zone: i, Cell: i,
			loadLimit: noLimit, listed: true, nextProbeAt: never}
		s.latency.Add(10_000, serverSamples)
		s.rankLatency = 10_000
		b.servers = append(b.servers, s)
	}
	b.rng = rand.New(rand.NewSource(1))
	b.updateRanking()
	return b, w
}

func (b *Balancer) newTestFlow() *Flow {
	return &Flow{Type: &b.settings.Types[0], Deadline: b.now + 2*second, load: initialFlowLoad}
}

// addOpenFlows gives the server n open flows of this load each.
func (b *Balancer) addOpenFlows(s *Server, n int, load float64) {
	for range n {
		f := b.newTestFlow()
		f.server, f.open, f.load, f.Connects = s, true, load, 1
		s.add(f)
	}
}

// newLargeFleetBalancer returns the balancer of one of 40 nodes with 20 servers in two zones. A node's subset is every
// fourth server.
func newLargeFleetBalancer() (*Balancer, *recorder) {
	b, w := newTestBalancer(20, Repeatable, ScopeAll)
	for i, s := range b.servers {
		s.Zone = i % 2
	}
	b.settings.Nodes, b.rankingStale = 40, true
	b.updateRanking()
	return b, w
}

// placeGroupFlow places a flow of a new group and returns it.
func (b *Balancer) placeGroupFlow() *Flow {
	f := b.newTestFlow()
	f.Group = &Group{Hash: 5}
	b.chooseServer(f)
	return f
}
