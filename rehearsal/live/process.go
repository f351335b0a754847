package live

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"coursewinch/rehearsal/fleet"
)

// process is the process of one node, with what the player keeps for its restarts.
type process struct {
	player       *player
	index        int
	addr         string
	configFile   string
	logFile      string
	cmd          *exec.Cmd
	generation   int           // of the process, counted at each start and kill
	starvedShare float64       // share of its time that is taken from it
	adminAddr    string        // for operators; empty if there is none
	linkAddr     string        // for datagrams of other nodes; empty if it has no links
	duplicate    *exec.Cmd     // a second process under its name
	stopStarving chan struct{} // ends the goroutine that starves it
	pastCPUWait  time.Duration // waiting for a core, of earlier generations

	exited chan struct{} // closed when the process has ended
}

// freePort finds a free TCP port at an IP address and returns both.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// fail keeps the first error of the run.
func (p *player) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

// Start writes a node's configuration file and starts its process.
func (p *player) Start(no int, conf fleet.NodeConfig) {
	n := p.nodes[no]
	if err := os.WriteFile(n.configFile, n.configText(conf), 0o600); err != nil {
		p.fail(err)
		return
	}
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		p.fail(err)
		return
	}
	defer out.Close()
	n.cmd = exec.Command(p.options.Program)
	n.cmd.Env = append(os.Environ(), "GW_CONFIG="+n.configFile, "GW_NAME="+conf.Name, "GW_LISTEN="+conf.Listen,
		"GW_DISCOVERY="+conf.Discovery)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		p.fail(err)
		return
	}
	n.generation++
	generation, cmd, exited := n.generation, n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		err := cmd.Wait()
		close(exited)
		p.post(func() {
			if n.generation == generation && n.cmd == cmd {
				n.cmd = nil
				p.world.NodeExited(no, fmt.Sprint(err))
			}
		})
	}()
	go n.awaitListening(exited, func() {
		p.post(func() {
			if n.generation == generation {
				p.world.NodeReady(no)
			}
		})
	})
	n.applyStarvation()
}

// configText returns the node's configuration file. Each generation has a capture file of its own.
func (n *process) configText(conf fleet.NodeConfig) []byte {
	if n.player.options.Capture == "" {
		return []byte(conf.JSON)
	}
	file := filepath.Join(n.player.options.Capture, fmt.Sprintf("n-%d.%d.capture", n.index, n.generation))
	return fmt.Appendf(nil, `%s,"capture":{"file":%q}}`, strings.TrimSuffix(conf.JSON, "}"), file)
}

// awaitListening waits until the process listens, and gives up if it exits.
func (n *process) awaitListening(exited chan struct{}, onListening func()) {
	for {
		c, err := net.DialTimeout("tcp", n.addr, time.Second)
		if err == nil {
			c.Close()
			onListening()
			return
		}
		select {
		case <-exited:
			return
		case <-n.player.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// signal sends a signal to the process if it runs.
func (n *process) signal(s os.Signal) {
	if n.cmd != nil && n.cmd.Process != nil {
		n.cmd.Process.Signal(s)
	}
}

// Kill kills the process of a node.
func (p *player) Kill(no int) { p.nodes[no].kill() }

// kill kills the process and waits for its end.
func (n *process) kill() {
	if n.cmd == nil {
		return
	}
	n.pastCPUWait += n.cpuWait()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.exited
	n.cmd = nil
	n.generation++
	n.applyStarvation()
}

// Stop asks a node to stop.
func (p *player) Stop(no int) { p.nodes[no].signal(syscall.SIGTERM) }

// Reload replaces a node's configuration file and lets the node read it.
func (p *player) Reload(no int, conf fleet.NodeConfig) {
	n := p.nodes[no]
	if err := os.WriteFile(n.configFile+".new", n.configText(conf), 0o600); err != nil {
		p.fail(err)
		return
	}
	if err := os.Rename(n.configFile+".new", n.configFile); err != nil {
		p.fail(err)
		return
	}
	n.signal(syscall.SIGHUP)
}

// starvePeriod is the period in which a starved process is stopped and continued once.
const starvePeriod = 20 * time.Millisecond

// SetStarvation takes a share of a node's time, by stopping its process for that share of each period.
func (p *player) SetStarvation(no int, share float64) {
	p.nodes[no].starvedShare = share
	p.nodes[no].applyStarvation()
}

// applyStarvation ends the goroutine that starves the process, and starts one for the present share and process.
func (n *process) applyStarvation() {
	if n.stopStarving != nil {
		close(n.stopStarving)
		n.stopStarving = nil
	}
	if n.starvedShare == 0 || n.cmd == nil {
		return
	}
	stop, proc, share := make(chan struct{}), n.cmd.Process, n.starvedShare
	n.stopStarving = stop
	go func() {
		pauseTime := time.Duration(share * float64(starvePeriod))
		for {
			proc.Signal(syscall.SIGSTOP)
			time.Sleep(pauseTime)
			proc.Signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(starvePeriod - pauseTime):
			}
		}
	}()
}

// cpuSeconds returns the CPU seconds that the process has used, or 0 if the operating system does not report them.
func (n *process) cpuSeconds() float64 {
	if n.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	const utime, stime, ticksPerSecond = 11, 12, 100
	if len(fields) <= stime {
		return 0
	}
	user, _ := strconv.Atoi(string(fields[utime]))
	system, _ := strconv.Atoi(string(fields[stime]))
	return float64(user+system) / ticksPerSecond
}

// cpuWait returns how long the threads of the process could have run and had no core, or 0 if the operating system does not
// report it. The time in which the process is stopped does not count.
func (n *process) cpuWait() (sum time.Duration) {
	if n.cmd == nil {
		return 0
	}
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", n.cmd.Process.Pid))
	for _, file := range threads {
		text, _ := os.ReadFile(file) // a thread that has ended meanwhile does not count
		var ran, waited int64
		if n, _ := fmt.Sscan(string(text), &ran, &waited); n == 2 {
			sum += time.Duration(waited)
		}
	}
	return sum
}

// panicsPattern matches the counter of panics in a log line.
var panicsPattern = regexp.MustCompile(`panics=(\d+)`)

// panicCount makes all nodes log their counters, and counts panics by them and crashes by a panic. A log without counters
// counts as no panics.
func (p *player) panicCount() (total int) {
	for _, n := range p.nodes {
		n.signal(syscall.SIGUSR1)
	}
	time.Sleep(100 * time.Millisecond)
	for _, n := range p.nodes {
		text, _ := os.ReadFile(n.logFile)
		last := 0
		for _, m := range panicsPattern.FindAllSubmatch(text, -1) {
			last, _ = strconv.Atoi(string(m[1]))
			total = max(total, last)
		}
		if bytes.Contains(text, []byte("\npanic:")) {
			total++
		}
	}
	return total
}

// logTail returns the last log line of the first node that wrote any, for error texts.
func (p *player) logTail() string {
	for _, n := range p.nodes {
		text, _ := os.ReadFile(n.logFile)
		if text = bytes.TrimSpace(text); len(text) > 0 {
			return string(text[bytes.LastIndexByte(text, '\n')+1:])
		}
	}
	return "no node wrote a line"
}
