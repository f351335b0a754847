// Package live plays a rehearsal against real node processes on addresses of 127.0.0.0/8: the same script and the same
// fleet model, behind real sockets and in real time. It says when the machine ran late; such a run is void and says
// nothing of the node.
package live

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coursewinch/rehearsal/fleet"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/scenario"
)

const (
	leadTime         = int64(3_000_000) // for processes to start before the first client, microseconds
	maxNodeHostPairs = 2048             // of a node and a host: each has a listener
	maxDelayP99      = 10_000           // events of the fleet that ran later than this made the run void, microseconds
	maxDelay         = 400_000
	maxLateShare     = 0.1 // of all nodes' seconds, in which they were late by their own word: over this the run is void
	maxCPUWaitShare  = 0.5 // of all nodes' time, in which they could have run and had no core: the same
)

// Options are what a run may have besides its script.
type Options struct {
	Seed            uint64
	Program         string                                                  // of the node
	Logs            string                                                  // folder for the nodes' logs; empty: a temporary one
	testHook        func(*player)                                           // for tests: makes the machine late
	OnSecond        func(at int64, metrics func(no int) map[string]float64) // called every second in a goroutine of its own; metrics are a node's, nil while it doesn't answer
	Capture         string                                                  // folder for captures; empty: none are written
	MaxDelayP99     int64                                                   // at 99 % of the fleet's events, microseconds, where less than usual makes the run void; 0: lateP99
	MaxCPUWaitShare float64                                                 // of the nodes' time, for a core, where less than usual makes the run void; 0: waitsMost
}

// player is the Nodes of a run. Its fields but for in belong to the goroutine that plays the world.
type player struct {
	world              *fleet.World
	options            Options
	folder             string
	nodes              []*process
	hostListeners      [][]*listener // by node, then host
	discoveryListeners [][2]*listener
	relays             [][]*relay // by sender, then receiver; none where nodes have no links
	tasks              chan func()
	startTime          time.Time
	delays             *hdrhistogram.Histogram
	lateReports        lateCounter
	scriptStarves      bool // the script does so itself
	err                error
	done               chan struct{}
}

// Play plays a script to its end.
func Play(s *scenario.Script, opt Options) (*record.Run, error) {
	if n := s.NodeCount() * s.HostCount(); n > maxNodeHostPairs {
		return nil, fmt.Errorf("%d nodes and %d hosts are too many for one machine: %d pairs at most", s.NodeCount(),
			s.HostCount(), maxNodeHostPairs)
	}
	for _, f := range s.Faults {
		if f.Kind == "node_clock" || f.Kind == "node_rate" {
			return nil, fmt.Errorf("%s: a process's own clock can't be changed from outside; play it in virtual time", f.Kind)
		}
	}
	if _, err := os.Stat(opt.Program); err != nil {
		return nil, fmt.Errorf("the node's program: %w", err)
	}
	seed := opt.Seed
	if seed == 0 {
		seed = s.Seed
	}
	p := &player{options: opt, tasks: make(chan func(), 4096), done: make(chan struct{}),
		delays: hdrhistogram.New(1, 60_000_000, 3)}
	p.scriptStarves = slices.ContainsFunc(s.Faults, func(f scenario.Fault) bool { return f.Kind == "node_starve" })
	if err := p.prepare(s); err != nil {
		p.cleanUp()
		return nil, err
	}
	defer p.cleanUp()
	p.startTime = time.Now().Add(time.Duration(leadTime) * time.Microsecond)
	p.world = fleet.New(s, seed, p, fleet.Places{
		Listen:    func(n int) string { return p.nodes[n].addr },
		Host:      func(n, h int) string { return p.hostListeners[n][h].addr },
		Discovery: func(n, which int) string { return p.discoveryListeners[n][which].addr },
		Admin:     p.adminFunc(), Links: p.linksFunc(), Epoch: p.startTime.UnixMicro(), Lead: leadTime})
	p.serveAll()
	p.world.Begin()
	if opt.testHook != nil {
		opt.testHook(p)
	}
	p.startWatching()
	ready := p.playUntil(-100_000) && p.world.AllReady()
	if p.err == nil && !ready {
		p.err = errors.New("not every node answered PING in time: " + p.logTail())
	}
	if p.err == nil {
		p.playUntil(p.world.End())
	}
	run := p.world.Run()
	for _, n := range p.nodes {
		run.NodeCPU = append(run.NodeCPU, n.cpuSeconds())
	}
	run.NodePanics = p.panicCount()
	p.checkMachine(run)
	return run, p.err
}

// prepare makes the folder and reserves addresses.
func (p *player) prepare(s *scenario.Script) (err error) {
	if p.folder = p.options.Logs; p.folder == "" {
		p.folder, err = os.MkdirTemp("", "rehearse-")
	} else {
		err = os.MkdirAll(p.folder, 0o755)
	}
	if err != nil {
		return err
	}
	for n := range s.NodeCount() {
		addr, err := freePort(loopbackIP(0, n))
		if err != nil {
			return err
		}
		p.nodes = append(p.nodes, &process{player: p, index: n, addr: addr, configFile: filepath.Join(p.folder, fmt.Sprintf("n-%d.json", n)),
			logFile: filepath.Join(p.folder, fmt.Sprintf("n-%d.log", n))})
		os.Remove(p.nodes[n].logFile)
		if opt := p.options.OnSecond; opt != nil {
			if p.nodes[n].adminAddr, err = freePort(loopbackIP(7, n)); err != nil {
				return err
			}
		}
		var gates []*listener
		for h := range s.HostCount() {
			g, err := newListener(p, n, loopbackIP(1, h))
			if err != nil {
				return err
			}
			gates = append(gates, g)
		}
		p.hostListeners = append(p.hostListeners, gates)
		var both [2]*listener
		for i := range both {
			if both[i], err = newListener(p, n, loopbackIP(2, i)); err != nil {
				return err
			}
		}
		p.discoveryListeners = append(p.discoveryListeners, both)
	}
	if s.Cluster.On && !s.Cluster.Alone && s.NodeCount() > 1 {
		return p.openRelays()
	}
	return nil
}

// loopbackIP is an address for a thing of some kind. Runs of different processes have blocks of their own, so that they
// never take each other's ports.
func loopbackIP(kind, no int) string {
	return fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%250, kind*16+no/250, no%250+1)
}

// serveAll starts to take connections at all addresses.
func (p *player) serveAll() {
	for n := range p.hostListeners {
		for _, g := range p.hostListeners[n] {
			g.serve()
		}
		for _, g := range p.discoveryListeners[n] {
			g.serve()
		}
	}
}

// linksFunc is nil where nodes have no links.
func (p *player) linksFunc() func(int) (string, []string) {
	if p.relays == nil {
		return nil
	}
	return p.linkAddresses
}

func (p *player) now() int64 { return time.Since(p.startTime).Microseconds() }

// post hands something to the goroutine that plays the world.
func (p *player) post(do func()) {
	select {
	case p.tasks <- do:
	case <-p.done:
	}
}

// playUntil goes on until a moment and tells whether it came there.
func (p *player) playUntil(until int64) bool {
	for p.err == nil {
		now := p.now()
		p.advance(now)
		if now >= until {
			return true
		}
		wait := until - now
		if next, ok := p.world.Next(); ok {
			wait = min(wait, max(next-p.now(), 0))
		}
		if do := p.nextTask(now + wait); do != nil {
			p.advance(p.now())
			do()
			for range len(p.tasks) {
				(<-p.tasks)()
			}
		}
	}
	return false
}

const spinMicros = 1500 // microseconds: timers of the system are a millisecond late, and a node judges hosts by less

// nextTask gives what came first, or nil when the moment has come.
func (p *player) nextTask(until int64) func() {
	if left := until - p.now() - spinMicros; left > 0 {
		timer := time.NewTimer(time.Duration(left) * time.Microsecond)
		defer timer.Stop()
		select {
		case do := <-p.tasks:
			return do
		case <-timer.C:
		}
	}
	for {
		select {
		case do := <-p.tasks:
			return do
		default:
		}
		if p.now() >= until {
			return nil
		}
		runtime.Gosched()
	}
}

// advance plays what is due and notes how late it is.
func (p *player) advance(now int64) {
	if next, ok := p.world.Next(); ok && next <= now && now > 0 {
		p.delays.RecordValue(max(now-next, 1))
	}
	p.world.Advance(now)
}

// checkMachine marks a run void on which the machine, not the node, was late.
func (p *player) checkMachine(r *record.Run) {
	p99, worst, most := p.delays.ValueAtQuantile(99), p.delays.Max(), cmp.Or(p.options.MaxDelayP99, maxDelayP99)
	r.Waited = p.cpuWaitShare()
	r.Late = fmt.Sprintf("the fleet's events ran late by %.2f ms at the median, %.2f at 99 %%, %.1f at worst; nodes waited for a core for %.3f of their time",
		float64(p.delays.ValueAtQuantile(50))/1000, float64(p99)/1000, float64(worst)/1000, r.Waited)
	if p99 > most || worst > maxDelay {
		r.Void = fmt.Sprintf("the machine ran late: 99%% of the fleet's events within %.1f ms, worst %d ms (%.1f and %d allowed)",
			float64(p99)/1000, worst/1000, float64(most)/1000, maxDelay/1000)
	} else if share := p.lateReports.share(); share > maxLateShare && !p.scriptStarves {
		r.Void = fmt.Sprintf("the machine starved the nodes: late by their own word in %.2f of their seconds (%.2f allowed)", share, maxLateShare)
	} else if most := cmp.Or(p.options.MaxCPUWaitShare, maxCPUWaitShare); r.Waited > most {
		r.Void = fmt.Sprintf("the machine starved the nodes: they waited for a core for %.2f of their time (%.2f allowed)", r.Waited, most)
	}
}

// cpuWaitShare is the share of all nodes' time for which they waited for a core. What plays the fleet never lets go of its own
// one, and is in time on a machine where they are not.
func (p *player) cpuWaitShare() float64 {
	sum := time.Duration(0)
	for _, n := range p.nodes {
		sum += n.pastCPUWait + n.cpuWait()
	}
	return sum.Seconds() / (float64(len(p.nodes)) * time.Since(p.startTime.Add(-time.Duration(leadTime)*time.Microsecond)).Seconds())
}

func (p *player) cleanUp() {
	close(p.done)
	for _, n := range p.nodes {
		n.kill()
		if n.duplicate != nil {
			n.duplicate.Process.Kill()
			n.duplicate.Wait()
		}
	}
	for n := range p.hostListeners {
		for _, g := range p.hostListeners[n] {
			g.close()
		}
	}
	for _, row := range p.relays {
		for _, r := range row {
			if r != nil {
				r.udp.Close()
			}
		}
	}
	for _, both := range p.discoveryListeners {
		for _, g := range both {
			if g != nil {
				g.close()
			}
		}
	}
	if p.options.Logs == "" {
		os.RemoveAll(p.folder)
	}
}
