// Package live plays a rehearsal against real node processes on addresses of 127.0.0.0/8: the same script and the same
// fleet model, behind real sockets and in real time. If the machine ran late, the run is void and shows nothing about the
// node.
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
	leadTime         = int64(3_000_000) // microseconds before the first client, for processes to start
	maxNodeHostPairs = 2048             // each pair of a node and a host has a listener

	// spinMicros is the time before an event, in microseconds, in which the player spins instead of sleeping. Timers of the
	// operating system are a millisecond late, and nodes judge hosts by shorter times.
	spinMicros = 1500
)

// A run that exceeds one of these limits is void.
const (
	maxDelayP99     = 10_000  // p99 of the delays of the fleet's events, microseconds
	maxDelay        = 400_000 // highest delay of an event of the fleet, microseconds
	maxLateShare    = 0.1     // share of all nodes' seconds in which they reported that their loop was late
	maxCPUWaitShare = 0.5     // share of all nodes' time in which they could have run and had no core
)

// Options are the settings of a run besides its script.
type Options struct {
	// Seed replaces the script's seed unless it is 0.
	Seed uint64
	// Program is the path of the node's program.
	Program string
	// Logs is the folder for the nodes' files and logs. If it is empty, a temporary one is used.
	Logs string
	// testHook is called by tests before the run begins, to make the machine late.
	testHook func(*player)
	// OnSecond is called every second in a goroutine of its own, with the time of the run in microseconds. The function
	// metrics reads the metrics of a node, and returns nil if the node does not answer.
	OnSecond func(at int64, metrics func(no int) map[string]float64)
	// Capture is the folder for captures. If it is empty, none are written.
	Capture string
	// MaxDelayP99 is the p99 of the delays of the fleet's events over which the run is void, in microseconds, for runs that
	// need a stricter limit than usual. 0 stands for the usual limit.
	MaxDelayP99 int64
	// MaxCPUWaitShare is the share of the nodes' time spent waiting for a core over which the run is void, for runs
	// that need a stricter limit than usual. 0 stands for the usual limit.
	MaxCPUWaitShare float64
}

// player implements fleet.NodePlayer with processes. All fields except tasks, lateReports and done belong to the goroutine
// that plays the world.
type player struct {
	world              *fleet.World
	options            Options
	folder             string
	nodes              []*process
	hostListeners      [][]*listener // by node, then host
	discoveryListeners [][2]*listener
	relays             [][]*relay  // by sender, then receiver; nil if nodes have no links
	tasks              chan func() // for the goroutine that plays the world
	startTime          time.Time
	delays             *hdrhistogram.Histogram
	lateReports        lateCounter
	scriptStarves      bool // the script itself starves nodes
	err                error
	done               chan struct{}
}

// Play plays a script to its end and returns the record of the run. It fails if the script is too large or needs
// virtual time, if an address, file or process cannot be had, or if not every node answers in time. If the machine ran
// late, the record says that the run is void.
func Play(s *scenario.Script, opt Options) (*record.Run, error) {
	if n := s.NodeCount() * s.HostCount(); n > maxNodeHostPairs {
		return nil, fmt.Errorf("%d nodes and %d hosts are too many for one machine: %d pairs at most", s.NodeCount(),
			s.HostCount(), maxNodeHostPairs)
	}
	for _, f := range s.Faults {
		if f.Kind == "node_clock" || f.Kind == "node_rate" {
			return nil, fmt.Errorf("%s: a process's own clock cannot be changed from outside; play it in virtual time", f.Kind)
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
	p.world = fleet.New(s, seed, p, fleet.Environment{
		Listen:    func(n int) string { return p.nodes[n].addr },
		Host:      func(n, h int) string { return p.hostListeners[n][h].addr },
		Discovery: func(n, which int) string { return p.discoveryListeners[n][which].addr },
		Admin:     p.adminFunc(), ClusterLinks: p.linksFunc(), Epoch: p.startTime.UnixMicro(), LeadTime: leadTime})
	p.serveAll()
	p.world.Begin()
	if opt.testHook != nil {
		opt.testHook(p)
	}
	p.startWatching()
	ready := p.playUntil(-100_000) && p.world.AllInRotation()
	if p.err == nil && !ready {
		p.err = errors.New("not every node answered PING in time: " + p.logTail())
	}
	if p.err == nil {
		p.playUntil(p.world.AnswerDeadline())
	}
	run := p.world.Record()
	for _, n := range p.nodes {
		run.NodeCPU = append(run.NodeCPU, n.cpuSeconds())
	}
	run.NodePanics = p.panicCount()
	p.checkMachine(run)
	return run, p.err
}

// prepare creates the folder and reserves addresses.
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
		addr, err := freePort(loopbackIP(nodeIP, n))
		if err != nil {
			return err
		}
		p.nodes = append(p.nodes, &process{player: p, index: n, addr: addr,
			configFile: filepath.Join(p.folder, fmt.Sprintf("n-%d.json", n)),
			logFile:    filepath.Join(p.folder, fmt.Sprintf("n-%d.log", n))})
		os.Remove(p.nodes[n].logFile)
		if p.options.OnSecond != nil {
			if p.nodes[n].adminAddr, err = freePort(loopbackIP(adminIP, n)); err != nil {
				return err
			}
		}
		var hosts []*listener
		for h := range s.HostCount() {
			l, err := newListener(p, n, loopbackIP(hostIP, h))
			if err != nil {
				return err
			}
			hosts = append(hosts, l)
		}
		p.hostListeners = append(p.hostListeners, hosts)
		var discovery [2]*listener
		for i := range discovery {
			if discovery[i], err = newListener(p, n, loopbackIP(discoveryIP, i)); err != nil {
				return err
			}
		}
		p.discoveryListeners = append(p.discoveryListeners, discovery)
	}
	if s.Cluster.Enabled && !s.Cluster.Isolated && s.NodeCount() > 1 {
		return p.openRelays()
	}
	return nil
}

// Kinds of addresses on loopback.
const (
	nodeIP      = 0
	hostIP      = 1
	discoveryIP = 2
	linkIP      = 4 // nodes receive datagrams on it
	relayIP     = 5
	duplicateIP = 6
	adminIP     = 7
)

// loopbackIP returns the IP address of a kind and number. Runs of different processes have their own blocks of
// addresses, so that they do not take each other's ports.
func loopbackIP(kind, no int) string {
	return fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%250, kind*16+no/250, no%250+1)
}

// serveAll starts to accept connections at all addresses.
func (p *player) serveAll() {
	for n := range p.hostListeners {
		for _, l := range p.hostListeners[n] {
			l.serve()
		}
		for _, l := range p.discoveryListeners[n] {
			l.serve()
		}
	}
}

// linksFunc returns the function that gives a node its addresses for links, or nil if nodes have no links.
func (p *player) linksFunc() func(int) (string, []string) {
	if p.relays == nil {
		return nil
	}
	return p.linkAddresses
}

// now returns the time of the run in microseconds, below 0 before the first client.
func (p *player) now() int64 { return time.Since(p.startTime).Microseconds() }

// post lets the goroutine that plays the world run a task.
func (p *player) post(task func()) {
	select {
	case p.tasks <- task:
	case <-p.done:
	}
}

// playUntil plays the world until a time of the run. It returns false if an error ended the run before.
func (p *player) playUntil(until int64) bool {
	for p.err == nil {
		now := p.now()
		p.advance(now)
		if now >= until {
			return true
		}
		wait := until - now
		if next, ok := p.world.NextEventAt(); ok {
			wait = min(wait, max(next-p.now(), 0))
		}
		if task := p.nextTask(now + wait); task != nil {
			p.advance(p.now())
			task()
			for range len(p.tasks) {
				(<-p.tasks)()
			}
		}
	}
	return false
}

// nextTask waits until a time of the run and returns the first task that is posted, or nil if none is.
func (p *player) nextTask(until int64) func() {
	if left := until - p.now() - spinMicros; left > 0 {
		timer := time.NewTimer(time.Duration(left) * time.Microsecond)
		defer timer.Stop()
		select {
		case task := <-p.tasks:
			return task
		case <-timer.C:
		}
	}
	for {
		select {
		case task := <-p.tasks:
			return task
		default:
		}
		if p.now() >= until {
			return nil
		}
		runtime.Gosched()
	}
}

// advance plays the events that are due and records how late they are.
func (p *player) advance(now int64) {
	if next, ok := p.world.NextEventAt(); ok && next <= now && now > 0 {
		p.delays.RecordValue(max(now-next, 1))
	}
	p.world.Advance(now)
}

// checkMachine marks the run as void if the machine, and not the nodes, was late.
func (p *player) checkMachine(r *record.Run) {
	p99, highest, limit := p.delays.ValueAtQuantile(99), p.delays.Max(), cmp.Or(p.options.MaxDelayP99, maxDelayP99)
	r.CPUWaitShare = p.cpuWaitShare()
	r.LatenessText = fmt.Sprintf("the fleet's events ran late by %.2f ms at the median, %.2f at 99 %%, %.1f at worst; "+
		"nodes waited for a core for %.3f of their time",
		float64(p.delays.ValueAtQuantile(50))/1000, float64(p99)/1000, float64(highest)/1000, r.CPUWaitShare)
	if p99 > limit || highest > maxDelay {
		r.VoidReason = fmt.Sprintf("the machine ran late: 99%% of the fleet's events within %.1f ms, worst %d ms (%.1f and %d allowed)",
			float64(p99)/1000, highest/1000, float64(limit)/1000, maxDelay/1000)
	} else if share := p.lateReports.share(); share > maxLateShare && !p.scriptStarves {
		r.VoidReason = fmt.Sprintf("the machine starved the nodes: late by their own reports in %.2f of their seconds (%.2f allowed)",
			share, maxLateShare)
	} else if limit := cmp.Or(p.options.MaxCPUWaitShare, maxCPUWaitShare); r.CPUWaitShare > limit {
		r.VoidReason = fmt.Sprintf("the machine starved the nodes: they waited for a core for %.2f of their time (%.2f allowed)",
			r.CPUWaitShare, limit)
	}
}

// cpuWaitShare returns the share of all nodes' time in which they waited for a core. The delays of the fleet's events
// do not show it: the goroutine that plays the fleet keeps its core, and is in time on a machine on which the nodes are
// not.
func (p *player) cpuWaitShare() float64 {
	sum := time.Duration(0)
	for _, n := range p.nodes {
		sum += n.pastCPUWait + n.cpuWait()
	}
	begin := p.startTime.Add(-time.Duration(leadTime) * time.Microsecond)
	return sum.Seconds() / (float64(len(p.nodes)) * time.Since(begin).Seconds())
}

// cleanUp ends all processes, closes all sockets and removes a temporary folder.
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
		for _, l := range p.hostListeners[n] {
			l.close()
		}
	}
	for _, row := range p.relays {
		for _, r := range row {
			if r != nil {
				r.udp.Close()
			}
		}
	}
	for _, listeners := range p.discoveryListeners {
		for _, l := range listeners {
			if l != nil {
				l.close()
			}
		}
	}
	if p.options.Logs == "" {
		os.RemoveAll(p.folder)
	}
}
