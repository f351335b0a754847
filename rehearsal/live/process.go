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

// process is one node's.
type process struct {
	player       *player
	index        int
	addr         string
	configFile   string // its file
	logFile      string
	cmd          *exec.Cmd
	generation   int // counted at each start
	starvedShare float64
	adminAddr    string        // where operators reach it; empty: nowhere
	linkAddr     string        // where it hears other nodes; empty where it does not
	duplicate    *exec.Cmd     // a second process under its name
	stopStarving chan struct{} // ends the thread that starves it
	pastCPUWait  time.Duration // for a core, in lives that have ended

	exited chan struct{} // closed when the process has ended
}

// freePort finds a port at an address that nothing uses.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (p *player) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

// Start writes a node's file and starts its process.
func (p *player) Start(no int, conf fleet.Conf) {
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
	life, cmd, gone := n.generation, n.cmd, make(chan struct{})
	n.exited = gone
	go func() {
		err := cmd.Wait()
		close(gone)
		p.post(func() {
			if n.generation == life && n.cmd == cmd {
				n.cmd = nil
				p.world.Exited(no, fmt.Sprint(err))
			}
		})
	}()
	go n.awaitListening(gone, func() {
		p.post(func() {
			if n.generation == life {
				p.world.Ready(no)
			}
		})
	})
	n.applyStarvation()
}

// configText is the node's file; each of its lives has a capture of its own.
func (n *process) configText(conf fleet.Conf) []byte {
	if n.player.options.Capture == "" {
		return []byte(conf.JSON)
	}
	file := filepath.Join(n.player.options.Capture, fmt.Sprintf("n-%d.%d.capture", n.index, n.generation))
	return fmt.Appendf(nil, `%s,"capture":{"file":%q}}`, strings.TrimSuffix(conf.JSON, "}"), file)
}

// awaitListening waits for the process to listen.
func (n *process) awaitListening(gone chan struct{}, then func()) {
	for {
		c, err := net.DialTimeout("tcp", n.addr, time.Second)
		if err == nil {
			c.Close()
			then()
			return
		}
		select {
		case <-gone:
			return
		case <-n.player.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (n *process) signal(s os.Signal) {
	if n.cmd != nil && n.cmd.Process != nil {
		n.cmd.Process.Signal(s)
	}
}

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

func (p *player) Stop(no int) { p.nodes[no].signal(syscall.SIGTERM) }

func (p *player) Reload(no int, conf fleet.Conf) {
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

const starvePeriod = 20 * time.Millisecond

// Starve takes a share of a node's time by stopping it for a part of each step.
func (p *player) Starve(no int, share float64) {
	p.nodes[no].starvedShare = share
	p.nodes[no].applyStarvation()
}

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
		still := time.Duration(share * float64(starvePeriod))
		for {
			proc.Signal(syscall.SIGSTOP)
			time.Sleep(still)
			proc.Signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(starvePeriod - still):
			}
		}
	}()
}

// cpuSeconds is what the process has used, in seconds; 0 where the system doesn't tell.
func (n *process) cpuSeconds() float64 {
	if n.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	const utime, stime, perSecond = 11, 12, 100
	if len(fields) <= stime {
		return 0
	}
	user, _ := strconv.Atoi(string(fields[utime]))
	system, _ := strconv.Atoi(string(fields[stime]))
	return float64(user+system) / perSecond
}

// cpuWait is how long its threads could have run and had no core; 0 where the system doesn't tell. What a stopped process
// misses is not in it.
func (n *process) cpuWait() (sum time.Duration) {
	if n.cmd == nil {
		return 0
	}
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", n.cmd.Process.Pid))
	for _, file := range threads {
		text, _ := os.ReadFile(file) // a thread that has ended meanwhile counts for nothing
		var ran, waited int64
		if n, _ := fmt.Sscan(string(text), &ran, &waited); n == 2 {
			sum += time.Duration(waited)
		}
	}
	return sum
}

var panicsPattern = regexp.MustCompile(`panics=(\d+)`)

// panicCount asks all nodes for their counters and sums their panics; a log that names none counts as none.
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

// logTail is the last line of the first node that wrote one, for an error's text.
func (p *player) logTail() string {
	for _, n := range p.nodes {
		text, _ := os.ReadFile(n.logFile)
		if text = bytes.TrimSpace(text); len(text) > 0 {
			return string(text[bytes.LastIndexByte(text, '\n')+1:])
		}
	}
	return "no node wrote a line"
}
