// Command review2 plays the cases of the second review: it starts the project's programs as separate processes, plays the
// clients, the hosts, discovery and the operators around them, and checks one rule. It exits with 1 if the rule was broken,
// with 0 if it held, and with 2 if the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const caseTimeout = 112 * time.Second

// cases are the cases by name. Each file of a case adds its own.
var cases = map[string]func(*bench){}

// bench is one run of a case.
type bench struct {
	root, temp string
	trouble    bool
	began      time.Time

	mu       sync.Mutex
	record   *os.File
	programs []*program
	ports    map[string]bool // given by freePort
}

// note writes a line to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the run with exit code 2.
func (b *bench) cannotRun(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.note("the case could not run: %s", text)
	fmt.Fprintln(os.Stderr, "the case could not run:", text)
	b.finish(2)
}

// finish ends all programs and the run.
func (b *bench) finish(code int) {
	b.note("exit code %d", code)
	b.mu.Lock()
	programs := b.programs
	b.mu.Unlock()
	for _, p := range programs {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range programs {
		<-p.ended
	}
	os.RemoveAll(b.temp)
	os.Exit(code)
}

// verdict ends the run: broken says whether the rule was broken.
func (b *bench) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if broken {
		b.note("BROKEN: %s", text)
		fmt.Println("broken:", text)
		b.finish(1)
	}
	b.note("held: %s", text)
	fmt.Println("held:", text)
	b.finish(0)
}

// program is a started program of the project.
type program struct {
	name     string
	bench    *bench
	cmd      *exec.Cmd
	ended    chan struct{}
	exitCode int
}

func (p *program) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		p.cmd.Process.Signal(s)
	}
}

// send sends a signal and records it.
func (p *program) send(s syscall.Signal) {
	p.bench.note("signal %s to %s", map[syscall.Signal]string{syscall.SIGTERM: "TERM", syscall.SIGSTOP: "STOP", syscall.SIGCONT: "CONT",
		syscall.SIGHUP: "HUP", syscall.SIGKILL: "KILL", syscall.SIGUSR1: "USR1"}[s], p.name)
	p.signal(s)
}

func (p *program) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// waitEnd waits for the end of a program and returns its exit code; -1 if it goes on running.
func (p *program) waitEnd(d time.Duration) int {
	select {
	case <-p.ended:
		return p.exitCode
	case <-time.After(d):
		return -1
	}
}

var runCommand = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startNode starts a node with the command of the deploy file.
func (b *bench) startNode(name, configPath string, environment ...string) *program {
	deploy, err := os.ReadFile(filepath.Join(b.root, "deploy/balancer.toml"))
	found := runCommand.FindSubmatch(deploy)
	if err != nil || found == nil {
		b.cannotRun("the deploy file has no command to run a node: %v", err)
	}
	p := &program{name: name, bench: b, ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", string(found[1]))
	p.cmd.Dir = b.root
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "GW_CONFIG=" + configPath}, environment...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	pipe, err := p.cmd.StderrPipe()
	if err != nil {
		b.cannotRun("%v", err)
	}
	if err := p.cmd.Start(); err != nil {
		b.cannotRun("start of %s: %v", name, err)
	}
	b.note("started %s", name)
	b.mu.Lock()
	b.programs = append(b.programs, p)
	b.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(pipe)
		lines.Buffer(make([]byte, 64<<10), 1<<20)
		for lines.Scan() {
			if text := lines.Text(); !strings.Contains(text, "msg=module") {
				b.note("log of %s: %s", name, strings.ReplaceAll(text, b.temp, "TEMP"))
			}
		}
		p.cmd.Wait()
		p.exitCode = p.cmd.ProcessState.ExitCode()
		b.note("%s has ended, exit code %d", name, p.exitCode)
		close(p.ended)
	}()
	return p
}

// freePort returns an address whose port is free for TCP and UDP. It is below the ports that the system gives to connections.
func (b *bench) freePort() string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.Intn(20_000))
		b.mu.Lock()
		taken := b.ports[addr]
		b.ports[addr] = true
		b.mu.Unlock()
		if taken {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		l.Close()
		if err == nil {
			u.Close()
			return addr
		}
	}
	b.cannotRun("no free port")
	return ""
}

// writeConfig writes a node's file and returns its path.
func (b *bench) writeConfig(name string, config map[string]any) string {
	text, err := json.MarshalIndent(config, "", " ")
	path := filepath.Join(b.temp, name+".json")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		b.cannotRun("%v", err)
	}
	return path
}

// settings returns the settings of a deployment, with the figures of the example on the wire page.
func settings(nodes, index int) map[string]any {
	serviceType := func(name string, benefit, target, limit float64) map[string]any {
		return map[string]any{"Name": name, "Benefit": benefit, "Effect": "safe", "Group": "all", "HardLimitMs": limit,
			"LateBenefit": 0.0, "SetupTargetMs": target, "Stream": true, "WindowMs": 5000.0}
	}
	return map[string]any{
		"Balancers": nodes, "Index": index, "MyZone": 0, "Stage": 0, "RoundMs": 4.0, "Discovery": "on_request",
		"KindOfService": "conn", "BenefitBy": "request", "ExcessBenefit": 0.1, "Weights": "nominal",
		"Callers":    map[string]any{"MarksRetry": true},
		"Localities": []string{"kgn-north"}, "Skus": []string{"mid-standard"}, "Tenants": []string{}, "Tiers": []string{"stream-fleet"},
		"Goal":       map[string]any{"Whole": 0.45, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.35},
		"LoadReport": map[string]any{"How": "silent", "Names": []string{}},
		"Limits": map[string]any{"Cancel": true, "ConnIdleMs": 30000.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000,
			"DialTimeoutMs": 250.0, "MaxConnects": 6, "MaxRetryAfterMs": 1500.0, "MostHeld": 1000000, "Peers": false,
			"Probing": true, "RetryAfter": false, "SecondCopies": false, "StreamsPerConn": 1048576},
		"Obligations": map[string]any{"AnswerSlackMs": 16.0, "AskWithinMs": 10000.0, "ColdFrom": 0.12, "ColdMs": 22000.0,
			"DrainGraceMs": 300.0, "FallMs": 3000.0, "FallMultiple": 3.0},
		"Specifics": map[string]any{"Groups": true, "MessageAimMs": []float64{60, 60, 50, 250}, "Mode": "proxy", "ParkMs": 0.0,
			"TellsDelay": true, "TellsLoad": true},
		"ServiceTypes": []any{serviceType("replay-view", 1, 800, 3200), serviceType("studio-feed", 3, 300, 1800),
			serviceType("highlight-reel", 2, 500, 2000), serviceType("live-clips", 3, 300, 1200)},
	}
}

// nodeConfig returns a node's file without a section for operators or a fleet.
func nodeConfig(name, listen string, d *discovery, nodes, index int) map[string]any {
	return map[string]any{"name": name, "listen": listen, "discovery": d.addr, "seed": fmt.Sprintf("8c1f30d27a5be96%d", index),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 1, "all": true, "targets": d.targets()}, "settings": settings(nodes, index)}
}

// host is a server: it accepts each flow and answers each line at once.
type host struct {
	uid, addr string
	bench     *bench
	onLine    func(h *host, c net.Conn, id, line string) bool // handles a flow's line instead of the answer; reports whether it did

	mu   sync.Mutex
	open map[string]string // service types of the flows that stand, by id
}

func (b *bench) startHost(uid string) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannotRun("%v", err)
	}
	h := &host{uid: uid, addr: l.Addr().String(), bench: b, open: map[string]string{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

// flowCount returns how many flows of a service type stand at the host.
func (h *host) flowCount(serviceType string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.open {
		if t == serviceType {
			n++
		}
	}
	return n
}

func (h *host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 1 && words[0] == "PING":
			io.WriteString(c, "PONG\r\n")
		case first && len(words) == 4 && words[0] == "OPEN":
			h.serveFlow(c, in, words)
			return
		default:
			io.WriteString(c, "SYNTAX\r\n")
			h.bench.note("%s got a line that no client sends: %q", h.uid, line)
			return
		}
	}
}

func (h *host) serveFlow(c net.Conn, in *bufio.Reader, words []string) {
	id, serviceType := words[1], ""
	for _, pair := range strings.Split(words[3], ",") {
		if strings.HasPrefix(pair, "c=") {
			serviceType = pair[2:]
		}
	}
	h.mu.Lock()
	h.open[id] = serviceType
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.open, id)
		h.mu.Unlock()
	}()
	io.WriteString(c, "UP "+h.uid+"-"+id+"\r\n")
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if h.onLine != nil && h.onLine(h, c, id, line) {
			continue
		}
		if _, err := io.WriteString(c, "re "+line+"\r\n"); err != nil {
			return
		}
	}
}

// discovery is the platform's list of hosts. It tells each watch the whole list, then an empty line each 2 s.
type discovery struct {
	addr  string
	hosts []*host
}

func (d *discovery) targets() (all []any) {
	for i, h := range d.hosts {
		all = append(all, map[string]any{"uid": h.uid, "endpoint": h.addr, "az": "kgn-north", "model": "mid-standard",
			"pod_group": i, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0})
	}
	return all
}

func (b *bench) startDiscovery(hosts ...*host) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannotRun("%v", err)
	}
	d := &discovery{addr: l.Addr().String(), hosts: hosts}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list, _ := json.Marshal(map[string]any{"rev": 1, "all": true, "targets": d.targets()})
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, "%s\n", list)
		for r.URL.Query().Get("watch") == "1" {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				io.WriteString(w, "\n")
			}
		}
	}))
	return d
}

// call makes an operators' call and returns the status and the body; 0 if there was no answer in time.
func call(method, admin, path string) (int, string) {
	request, err := http.NewRequest(method, "http://"+admin+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	request.Close = true
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(body))
}

// waitReady waits until a node's operators' address says yes.
func (b *bench) waitReady(admin string, d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(20 * time.Millisecond) {
		if status, _ := call("GET", admin, "/-/ready"); status == 200 {
			return
		}
		if time.Now().After(end) {
			b.cannotRun("no node is ready at an operators' address within %s", d)
		}
	}
}

var nextID struct {
	sync.Mutex
	n int
}

// newID returns an id that no other flow has.
func newID() string {
	nextID.Lock()
	defer nextID.Unlock()
	nextID.n++
	return fmt.Sprintf("%08x%08x", uint32(os.Getpid()), nextID.n)
}

// client is a client's connection.
type client struct {
	net.Conn
	in *bufio.Reader
	id string
}

// connect connects to a node.
func connect(listen string) (*client, error) {
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, in: bufio.NewReader(c), id: newID()}, nil
}

// readLine reads a line without its end.
func (c *client) readLine(d time.Duration) (string, error) {
	c.SetReadDeadline(time.Now().Add(d))
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// openFlow connects and asks for a flow. The client is nil if the flow is not served.
func openFlow(listen, serviceType string, timeoutMs int) (*client, string) {
	c, err := connect(listen)
	if err != nil {
		return nil, err.Error()
	}
	fmt.Fprintf(c, "OPEN %s key%s c=%s,d=%d\r\n", c.id, c.id, serviceType, timeoutMs)
	answer, err := c.readLine(time.Duration(timeoutMs)*time.Millisecond + time.Second)
	if err == nil && strings.HasPrefix(answer, "UP ") {
		return c, answer
	}
	c.Close()
	if err != nil {
		return nil, "no answer: " + err.Error()
	}
	return nil, answer
}

func main() {
	runtime.LockOSThread() // programs end with the thread that started them
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), ports: map[string]bool{}}
	var err error
	if b.root, err = os.Getwd(); err == nil {
		if b.temp, err = os.MkdirTemp("", "review2-"); err == nil {
			b.record, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
		}
	}
	play := cases[os.Args[1]]
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", os.Args[1], err)
		os.Exit(2)
	}
	b.note("case %s, trouble %t", os.Args[1], b.trouble)
	watchdog := time.AfterFunc(caseTimeout, func() { b.cannotRun("it took longer than %s", caseTimeout) })
	play(b)
	watchdog.Stop()
	b.cannotRun("no verdict")
}
