package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// run is one run of a case: its record, the processes that it started, and its temporary folder.
type run struct {
	root    string // of the repository
	folder  string // temporary
	trouble bool
	began   time.Time
	mu      sync.Mutex
	record  *os.File
	nodes   []*node
	clients []net.Conn // kept, because the runtime closes what nobody refers to
	broken  []string
}

// errSetup ends a run that could not take place.
type errSetup struct{ error }

// fail ends the run because something that the case needs did not happen.
func (r *run) fail(format string, args ...any) { panic(errSetup{fmt.Errorf(format, args...)}) }

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// node is one process of the project's node program.
type node struct {
	run         *run
	label       string
	configPath  string
	admin       string
	cmd         *exec.Cmd
	mu          sync.Mutex
	output      strings.Builder
	exited      chan struct{}
	exitedState string
}

// Write takes the process's log.
func (n *node) Write(p []byte) (int, error) {
	n.mu.Lock()
	n.output.Write(p)
	n.mu.Unlock()
	for line := range strings.Lines(string(p)) {
		n.run.note("log of %s: %s", n.label, strings.TrimSpace(line))
	}
	return len(p), nil
}

// writeConfig writes the configuration file of a node.
func (n *node) writeConfig(config map[string]any) {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		n.run.fail("%v", err)
	}
	temp := n.configPath + ".new"
	if err := errors.Join(os.WriteFile(temp, text, 0o600), os.Rename(temp, n.configPath)); err != nil {
		n.run.fail("%v", err)
	}
}

// startNode starts a node with the run command of the deploy file.
func (r *run) startNode(label string, config map[string]any) *node {
	n := &node{run: r, label: label, configPath: filepath.Join(r.folder, label+".json"), exited: make(chan struct{})}
	n.admin, _ = config["admin"].(string)
	n.writeConfig(config)
	n.cmd = exec.Command("/bin/sh", "-c", "exec bin/coursewinch")
	n.cmd.Dir = r.root
	n.cmd.Env = append(os.Environ(), "GW_CONFIG="+n.configPath, "TMPDIR="+r.folder, "GW_ADMIN=")
	n.cmd.Stdout, n.cmd.Stderr = n, n
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		r.fail("start of %s: %v", label, err)
	}
	r.note("started %s, process %d", label, n.cmd.Process.Pid)
	go func() {
		err := n.cmd.Wait()
		n.exitedState = fmt.Sprint(n.cmd.ProcessState, err)
		r.note("%s ended: %s", label, n.cmd.ProcessState)
		close(n.exited)
	}()
	r.nodes = append(r.nodes, n)
	return n
}

// signal sends a signal to the node.
func (n *node) signal(s syscall.Signal) {
	n.run.note("signal %v to %s", s, n.label)
	n.cmd.Process.Signal(s)
}

// hasLogged reports whether the log of the node holds a text.
func (n *node) hasLogged(text string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Contains(n.output.String(), text)
}

// waitLog waits until the log of the node holds a text.
func (n *node) waitLog(text string, timeout time.Duration) {
	n.run.waitFor(n.label+" logs "+text, timeout, func() bool { return n.hasLogged(text) })
}

// waitExit waits until the process has ended.
func (n *node) waitExit(timeout time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// waitFor waits until a condition holds.
func (r *run) waitFor(what string, timeout time.Duration, ok func() bool) {
	for end := time.Now().Add(timeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.fail("waited %v in vain: %s", timeout, what)
		}
	}
}

// call makes an operator's call.
func (n *node) call(method, path string) (status int, body string) {
	request, _ := http.NewRequest(method, "http://"+n.admin+path, nil)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text))
}

// waitReady waits until the node says to operators that it is ready.
func (n *node) waitReady(timeout time.Duration) {
	n.run.waitFor(n.label+" is ready", timeout, func() bool {
		status, _ := n.call("GET", "/-/ready")
		return status == 200
	})
	n.run.note("%s says that it is ready", n.label)
}

// endAll kills the processes that are left.
func (r *run) endAll() {
	for _, n := range r.nodes {
		n.cmd.Process.Kill()
		n.waitExit(5 * time.Second)
	}
}

// freeAddress returns an address on loopback with a free TCP and UDP port.
func (r *run) freeAddress() string {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.fail("%v", err)
		}
		address := l.Addr().String()
		p, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			p.Close()
			return address
		}
	}
	r.fail("no free port")
	return ""
}

// entry is a host in a list of discovery.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// discovery is a stand-in for discovery. It answers one call at a time and keeps watches open.
type discovery struct {
	address string
	run     *run
	mu      sync.Mutex
	rev     int
	hosts   []entry
	delay   atomic.Int64 // milliseconds that a call waits for its turn
	changed chan struct{}
}

func (r *run) startDiscovery(hosts []entry) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("%v", err)
	}
	d := &discovery{address: l.Addr().String(), run: r, rev: 5, hosts: hosts, changed: make(chan struct{})}
	go http.Serve(l, d)
	return d
}

func listText(rev int, hosts []entry) string {
	text, _ := json.Marshal(map[string]any{"rev": rev, "all": true, "targets": hosts})
	return string(text)
}

// set changes the list.
func (d *discovery) set(change func(hosts []entry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.hosts)
	d.rev++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	wait := time.Duration(d.delay.Load()) * time.Millisecond
	d.run.note("discovery: call %s, answered after %v", request.URL, wait)
	select {
	case <-time.After(wait):
	case <-request.Context().Done():
		return
	}
	for sent := 0; ; {
		d.mu.Lock()
		rev, text, changed := d.rev, listText(d.rev, d.hosts), d.changed
		d.mu.Unlock()
		if rev == sent {
			text = ""
		}
		sent = rev
		if _, err := io.WriteString(w, text+"\n"); err != nil || request.URL.Query().Get("watch") == "" {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-request.Context().Done():
			return
		}
	}
}

// host is a stand-in for a host: it answers probes by itself and leaves flows to a function.
type host struct {
	name     string
	listener net.Listener
	serve    func(h *host, c net.Conn, in *bufio.Reader, open string)
}

func (r *run) startHost(name string, serve func(h *host, c net.Conn, in *bufio.Reader, open string)) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("%v", err)
	}
	h := &host{name: name, listener: l, serve: serve}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.handle(c)
		}
	}()
	return h
}

func (h *host) entry(cell int) entry {
	return entry{UID: h.name, Endpoint: h.listener.Addr().String(), Zone: "kgn-north", Model: "mid-standard", Cell: cell, State: "ready", Size: 1}
}

// handle serves one connection: probes, or one flow.
func (h *host) handle(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "OPEN ") {
			h.serve(h, c, in, strings.TrimSpace(line))
			return
		}
		answer := "SYNTAX\r\n"
		if line == "PING\r\n" {
			answer = "PONG\r\n"
		}
		io.WriteString(c, answer)
	}
}

// echo answers each line with the same line, until the connection ends.
func echo(c net.Conn, in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		io.WriteString(c, line)
	}
}

// settings returns settings with the figures of kingston-replay, one node and one service type.
func settings(serviceType map[string]any) map[string]any {
	return map[string]any{
		"Balancers": 1, "Index": 0, "MyZone": 0, "Localities": []string{"kgn-north", "kgn-port"}, "Discovery": "on_request",
		"Limits": map[string]any{"MaxConnects": 6, "MaxRetryAfterMs": 1500.0, "Probing": true, "RetryAfter": true,
			"DialTimeoutMs": 250.0},
		"Obligations": map[string]any{"AskWithinMs": 10000.0, "ColdFrom": 0.12, "ColdMs": 22000.0, "DrainGraceMs": 300.0,
			"FallMs": 3000.0, "FallMultiple": 3.0},
		"ServiceTypes": []any{serviceType},
		"Specifics":    map[string]any{"Groups": false, "Mode": "proxy", "MessageAimMs": []float64{60}, "TellsDelay": false},
	}
}

// nodeConfig returns the configuration of a node.
func nodeConfig(name, listen, admin string, d *discovery, set map[string]any) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "admin": admin, "discovery": d.address, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 1024},
		"known":    json.RawMessage(listText(d.rev, d.hosts)),
		"settings": set,
	}
}

// dial connects as a client.
func (r *run) dial(address string) net.Conn {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		r.fail("connect to %s: %v", address, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients = append(r.clients, c)
	return c
}
