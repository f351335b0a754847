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
	p     *player
	no    int
	addr  string
	conf  string // its file
	log   string
	cmd   *exec.Cmd
	life  int // counted at each start
	share float64
	admin string        // where operators reach it; empty: nowhere
	links string        // where it hears other nodes; empty where it does not
	twin  *exec.Cmd     // a second process under its name
	pause chan struct{} // ends the thread that starves it
	waits time.Duration // for a core, in lives that have ended

	gone chan struct{} // closed when the process has ended
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
	if err := os.WriteFile(n.conf, n.text(conf), 0o600); err != nil {
		p.fail(err)
		return
	}
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		p.fail(err)
		return
	}
	defer out.Close()
	n.cmd = exec.Command(p.opt.Program)
	n.cmd.Env = append(os.Environ(), "GW_CONFIG="+n.conf, "GW_NAME="+conf.Name, "GW_LISTEN="+conf.Listen,
		"GW_DISCOVERY="+conf.Discovery)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		p.fail(err)
		return
	}
	n.life++
	life, cmd, gone := n.life, n.cmd, make(chan struct{})
	n.gone = gone
	go func() {
		err := cmd.Wait()
		close(gone)
		p.post(func() {
			if n.life == life && n.cmd == cmd {
				n.cmd = nil
				p.w.Exited(no, fmt.Sprint(err))
			}
		})
	}()
	go n.await(gone, func() {
		p.post(func() {
			if n.life == life {
				p.w.Ready(no)
			}
		})
	})
	n.starve()
}

// text is the node's file; each of its lives has a capture of its own.
func (n *process) text(conf fleet.Conf) []byte {
	if n.p.opt.Capture == "" {
		return []byte(conf.JSON)
	}
	file := filepath.Join(n.p.opt.Capture, fmt.Sprintf("n-%d.%d.capture", n.no, n.life))
	return fmt.Appendf(nil, `%s,"capture":{"file":%q}}`, strings.TrimSuffix(conf.JSON, "}"), file)
}

// await waits for the process to listen.
func (n *process) await(gone chan struct{}, then func()) {
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
		case <-n.p.done:
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

func (p *player) Kill(no int) { p.nodes[no].end() }

// end kills the process and waits for its end.
func (n *process) end() {
	if n.cmd == nil {
		return
	}
	n.waits += n.waited()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.gone
	n.cmd = nil
	n.life++
	n.starve()
}

func (p *player) Stop(no int) { p.nodes[no].signal(syscall.SIGTERM) }

func (p *player) Reload(no int, conf fleet.Conf) {
	n := p.nodes[no]
	if err := os.WriteFile(n.conf+".new", n.text(conf), 0o600); err != nil {
		p.fail(err)
		return
	}
	if err := os.Rename(n.conf+".new", n.conf); err != nil {
		p.fail(err)
		return
	}
	n.signal(syscall.SIGHUP)
}

const starveStep = 20 * time.Millisecond

// Starve takes a share of a node's time by stopping it for a part of each step.
func (p *player) Starve(no int, share float64) {
	p.nodes[no].share = share
	p.nodes[no].starve()
}

func (n *process) starve() {
	if n.pause != nil {
		close(n.pause)
		n.pause = nil
	}
	if n.share == 0 || n.cmd == nil {
		return
	}
	stop, proc, share := make(chan struct{}), n.cmd.Process, n.share
	n.pause = stop
	go func() {
		still := time.Duration(share * float64(starveStep))
		for {
			proc.Signal(syscall.SIGSTOP)
			time.Sleep(still)
			proc.Signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(starveStep - still):
			}
		}
	}()
}

// cpu is what the process has used, in seconds; 0 where the system doesn't tell.
func (n *process) cpu() float64 {
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

// waited is how long its threads could have run and had no core; 0 where the system doesn't tell. What a stopped process
// misses is not in it.
func (n *process) waited() (sum time.Duration) {
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

var panicsLine = regexp.MustCompile(`panics=(\d+)`)

// panics asks all nodes for their counters and sums their panics; a log that names none counts as none.
func (p *player) panics() (total int) {
	for _, n := range p.nodes {
		n.signal(syscall.SIGUSR1)
	}
	time.Sleep(100 * time.Millisecond)
	for _, n := range p.nodes {
		text, _ := os.ReadFile(n.log)
		last := 0
		for _, m := range panicsLine.FindAllSubmatch(text, -1) {
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
		text, _ := os.ReadFile(n.log)
		if text = bytes.TrimSpace(text); len(text) > 0 {
			return string(text[bytes.LastIndexByte(text, '\n')+1:])
		}
	}
	return "no node wrote a line"
}
