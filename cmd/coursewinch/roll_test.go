package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"coursewinch/handover"
)

// loadClients are clients under load: transient ones send some lines and leave, persistent ones stay. They count how their
// flows ended. All say that they have connected before: off a host that holds more than its share by chance, the balancer
// moves such clients only after five seconds.
type loadClients struct {
	addr     string
	mu       sync.Mutex
	outcomes map[string]int
	stopped  atomic.Bool
	running  sync.WaitGroup
}

func startLoadClients(addr string, transient, persistent int) *loadClients {
	c := &loadClients{addr: addr, outcomes: map[string]int{}}
	for i := range transient + persistent {
		lines := 20
		if i >= transient {
			lines = 1 << 30
		}
		c.running.Go(func() {
			for !c.stopped.Load() {
				outcome := c.runFlow(lines)
				c.mu.Lock()
				c.outcomes[outcome]++
				c.mu.Unlock()
			}
		})
	}
	return c
}

// waitEnds waits until a number of flows more than now have ended.
func (c *loadClients) waitEnds(t *testing.T, more int) {
	t.Helper()
	ended := func() (n int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, count := range c.outcomes {
			n += count
		}
		return n
	}
	for from, first := time.Now(), ended(); ended() < first+more; time.Sleep(5 * time.Millisecond) {
		if time.Since(from) > testTimeout {
			t.Fatal("the clients' flows do not end")
		}
	}
}

// runFlow runs one flow from its connect to its end, and returns "up" or what went wrong.
func (c *loadClients) runFlow(lines int) string {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(conn)
	open := fmt.Sprintf("OPEN %d 7f3a c=chat,d=2000,g=5c0f,r=1\r\n", flowIDs.Add(1))
	io.WriteString(conn, open[:9]) // the line arrives in two pieces
	time.Sleep(time.Millisecond)
	io.WriteString(conn, open[9:])
	if line, err := r.ReadString('\n'); line != "UP 1\r\n" {
		return fmt.Sprintf("got %q, %v instead of UP", line, err)
	}
	for i := 0; i < lines && !c.stopped.Load(); i++ {
		time.Sleep(500 * time.Microsecond)
		sent := fmt.Sprintf("M %d %s\r\n", i, strings.Repeat("x", i%900))
		io.WriteString(conn, sent)
		if line, err := r.ReadString('\n'); line != sent {
			return fmt.Sprintf("got %q, %v instead of the echo", line, err)
		}
	}
	return "up"
}

// startHostsAndDiscovery starts three hosts and a discovery with their list.
func startHostsAndDiscovery(t *testing.T) (l string, d *fakeDiscovery) {
	t.Helper()
	l = listText(5, "ready", newHost(t, "UP 1\r\n"), newHost(t, "UP 1\r\n"), newHost(t, "UP 1\r\n"))
	return l, newDiscovery(t, l)
}

// calmSettings replaces what makes the balancer refuse or move flows where the machine is slow: late probes, set-ups and
// messages of hosts.
var calmSettings = map[string]string{
	`"Probing":true`:        `"Probing":false`,
	`"SetupTargetMs":300.0`: `"SetupTargetMs":2000.0`,
	`"MessageAimMs":[60.0]`: `"MessageAimMs":[60000.0]`,
}

// startCalmNode starts a node as startNodeWithAdmin does, with calmSettings.
func startCalmNode(t *testing.T, d *fakeDiscovery, known, folder string) *program {
	t.Helper()
	config := configText(d, known, 400)
	for usual, calm := range calmSettings {
		if !strings.Contains(config, usual) {
			t.Fatalf("no %s to replace in %s", usual, config)
		}
		config = strings.Replace(config, usual, calm, 1)
	}
	return startProgram(t, prepareWithAdmin(t, config, folder))
}

// waitReady waits until a process is ready for clients.
func (p *program) waitReady(t *testing.T) *program {
	t.Helper()
	for from := time.Now(); time.Since(from) < testTimeout; time.Sleep(5 * time.Millisecond) {
		if status, _ := p.callAdmin(t, "GET", "/-/ready"); status == 200 {
			return p
		}
	}
	t.Fatal("the process did not become ready")
	return nil
}

// waitMetric waits until a figure of the metrics page is at least as large as wanted.
func (p *program) waitMetric(t *testing.T, name string, want int) {
	t.Helper()
	var body string
	for from := time.Now(); time.Since(from) < testTimeout; time.Sleep(5 * time.Millisecond) {
		if _, body = p.callAdmin(t, "GET", "/-/metrics"); metricValue(t, body, name) >= want {
			return
		}
	}
	t.Fatalf("%s did not reach %d: %s", name, want, body)
}

// stop sends SIGTERM, waits for the exit, and returns the output.
func (p *program) stop(t *testing.T) string {
	t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.waitExit(t); err != nil {
		t.Fatal(err)
	}
	return p.waitFor(t, "msg=stopped")
}

// metricValue returns a figure from a metrics page or a log line.
func metricValue(t *testing.T, text, name string) (v int) {
	t.Helper()
	_, rest, ok := strings.Cut("\n"+strings.ReplaceAll(text, " ", "\n"), "\n"+name+"=")
	if _, err := fmt.Sscan(rest, &v); !ok || err != nil {
		t.Fatalf("no %s in %s", name, text)
	}
	return v
}

// A version is rolled and rolled back under load, where the balancer has no reason of its own to refuse or move a flow. No
// client may be refused, moved or cut off, and the counters of all three processes have to add up to what the clients saw. A
// drain at the end moves the flows that remain, and the node stays drained over a reload of its configuration.
func TestRollUnderLoad(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	folder := t.TempDir()
	running := startCalmNode(t, d, l, folder)
	c := startLoadClients(running.addr, 12, 8)
	success, handed := 0, 0
	for range 2 {
		c.waitEnds(t, 25)
		next := startCalmNode(t, d, l, folder).waitReady(t)
		if next.addr != running.addr {
			t.Fatal("the new process has another address:", next.addr)
		}
		text := running.stop(t)
		success += metricValue(t, text, "success")
		handed += metricValue(t, text, "handed_on")
		running = next
	}
	running.waitMetric(t, "inflight", 8) // what the old process has sent before its exit may not be read yet
	c.stopped.Store(true)
	c.running.Wait()
	_, body := running.callAdmin(t, "GET", "/-/metrics")
	if success += metricValue(t, body, "success.chat"); success != c.outcomes["up"] || len(c.outcomes) != 1 || success < 50 || handed < 16 {
		t.Fatal(success, "counted by the nodes, by the clients", c.outcomes, handed, "handed over")
	}
	held := running.openFlow(t, "")
	held.wantLine(t, "UP 1\r\n")
	if status, body := running.callAdmin(t, "PUT", "/-/drain"); status != 200 || body != "drained\n" {
		t.Fatal(status, body)
	}
	running.cmd.Process.Signal(syscall.SIGHUP) // a reload does not end the drain
	running.waitFor(t, "msg=config_read")
	held.wantLine(t, "MOVE\r\n")
	held.wantLine(t, "")
	if status, body := running.callAdmin(t, "GET", "/-/ready"); status != 503 || body != "drained\n" {
		t.Fatal(status, body)
	}
	if status, _ := running.callAdmin(t, "PUT", "/-/resume"); status != 200 {
		t.Fatal(status)
	}
	running.waitReady(t).openFlow(t, "").wantLine(t, "UP 1\r\n")
}

// One of the two processes is killed or hangs at each step of a handover. The other one has to serve clients.
func TestHandoverProcessKilledAtEachStep(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	silent := silentDiscovery(t) // the new process stays joining
	folder := t.TempDir()
	start := func(d *fakeDiscovery) *program { return startNodeWithAdmin(t, d, l, 400, folder) }
	serves := func(p *program) { p.openFlow(t, "").wantLine(t, "UP 1\r\n") }
	old := start(d)
	held := old.openFlow(t, "")
	held.wantLine(t, "UP 1\r\n")
	t.Log("new process killed before it accepts")
	start(silent).cmd.Process.Kill()
	old.waitFor(t, "msg=other_process_gone yielded=false")
	serves(old)
	t.Log("new process killed after it accepted")
	start(d).waitReady(t).cmd.Process.Kill()
	old.waitFor(t, "msg=other_process_gone yielded=true")
	serves(old)
	t.Log("new process hangs before it accepts, and is killed")
	hung := start(silent)
	hung.cmd.Process.Signal(syscall.SIGSTOP)
	old.waitFor(t, "msg=handover_failed")
	serves(old)
	hung.cmd.Process.Kill()
	t.Log("old process stopped before the new one accepts")
	successor := start(silent)
	old.stop(t)
	serves(successor)
	io.WriteString(held, "M 1\r\n")
	held.wantLine(t, "M 1\r\n")
	t.Log("old process killed after the new one accepted")
	next := start(d).waitReady(t)
	successor.cmd.Process.Kill()
	next.waitFor(t, "msg=other_process_gone")
	serves(next)
	t.Log("no process left, but the socket's path")
	next.cmd.Process.Kill()
	<-next.exited
	serves(start(d))
}

// With a handover folder that cannot be used, the node serves clients and logs once that the handover is off.
func TestUnusableHandoverFolders(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	taken := t.TempDir()
	if err := os.WriteFile(handover.SocketPath(taken, "n0", "127.0.0.1:0"), []byte("another's"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, folder := range []string{"", filepath.Join(t.TempDir(), "missing"), taken} {
		p := startNodeWithAdmin(t, d, l, 400, folder)
		p.openFlow(t, "").wantLine(t, "UP 1\r\n")
		if n := strings.Count(p.waitFor(t, "msg=handover_off"), "msg=handover_"); n != 1 {
			t.Errorf("%q: logged %d times", folder, n)
		}
	}
}

// Only one process of a node may be bound to its cluster address if the fleet keeps a limit. A new version waits until the
// old one has handed over. A process that gets nothing handed over ends with an error and one line.
func TestRollWithExclusiveClusterAddress(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	config, at := fleetConfig(t, d, l, `{"over":"address","rate":50,"burst":50,"promise":"available"}`)
	folder := t.TempDir()
	start := func() *program { return startFleetNode(t, config, folder) }
	old := start().waitReady(t)
	old.waitFor(t, "cluster="+at)
	unrelated := prepareProgram(t, config)
	if err := unrelated.cmd.Run(); err == nil || strings.Count(unrelated.output.String(), "\n") != 1 ||
		!strings.Contains(unrelated.output.String(), "another process has it") {
		t.Errorf("a second process at %s: %v, %q", at, err, unrelated.output.String())
	}
	next := start()
	next.waitFor(t, "msg=cluster listen="+at)
	next.waitReady(t).openFlow(t, "").wantLine(t, "UP 1\r\n") // the other node is unreachable, so this node grants its own share
	if _, body := next.callAdmin(t, "GET", "/-/metrics"); metricValue(t, body, "limit.address.rate.alone") != 1 ||
		metricValue(t, body, "cluster_linked") != 0 {
		t.Error(body)
	}
	old.stop(t)
}

// fleetConfig returns the configuration of a node in a fleet that keeps a limit, and its cluster address. The other node can't be
// reached.
func fleetConfig(t *testing.T, d *fakeDiscovery, known, limit string) (config, clusterAddr string) {
	t.Helper()
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clusterAddr = free.LocalAddr().String()
	free.Close()
	fleet := fmt.Sprintf(`{"cluster":{"on":true,"listen":%q,"nodes":["127.0.0.1:9"],"limits":[%s]},`, clusterAddr, limit)
	return strings.Replace(configText(d, known, 400), "{", fleet, 1), clusterAddr
}

// startFleetNode starts a node with an admin address and a folder for the handover socket.
func startFleetNode(t *testing.T, config, folder string) *program {
	t.Helper()
	p := prepareProgram(t, strings.Replace(config, "{", `{"admin":"127.0.0.1:0",`, 1))
	p.cmd.Env = append(p.cmd.Env, "TMPDIR="+folder)
	return startProgram(t, p)
}

// The old process binds the fleet's address again and admits flows under a limit if the new one dies after it took over. Before
// the fix it answered BUSY to every flow, and said that it was ready.
func TestLimitsServeAfterNewProcessDied(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	config, at := fleetConfig(t, d, l, `{"over":"type","at_once":20,"promise":"available"}`)
	folder := t.TempDir()
	old := startFleetNode(t, config, folder).waitReady(t)
	old.openFlow(t, "").wantLine(t, "UP 1\r\n")
	next := startFleetNode(t, config, folder).waitReady(t)
	next.waitFor(t, "msg=cluster listen="+at)
	next.kill(t)
	old.waitFor(t, "msg=cluster listen="+at)
	for from := time.Now(); ; { // a flow may be refused while the other node is asked in vain
		line, err := old.openFlow(t, "").reader.ReadString('\n')
		if line == "UP 1\r\n" {
			break
		}
		if time.Since(from) > testTimeout {
			t.Fatalf("no flow is admitted: %q, %v", line, err)
		}
	}
	old.stop(t)
}

// A process that started with limits leaves the cluster address to its successor, also if a reload has removed the limits since.
// Before the fix the new process could not bind it until the old one had ended.
func TestClusterAddressLeftAfterLimitsWereRemoved(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	config, at := fleetConfig(t, d, l, `{"over":"type","at_once":20,"promise":"available"}`)
	without := strings.Replace(config, `{"over":"type","at_once":20,"promise":"available"}`, "", 1)
	folder := t.TempDir()
	old := startFleetNode(t, config, folder).waitReady(t)
	old.replaceConfig(t, strings.Replace(without, "{", `{"admin":"127.0.0.1:0",`, 1))
	old.waitFor(t, "msg=config_read")
	next := startFleetNode(t, without, folder).waitReady(t)
	next.waitFor(t, "msg=cluster listen="+at)
	old.stop(t)
	next.openFlow(t, "").wantLine(t, "UP 1\r\n")
}
