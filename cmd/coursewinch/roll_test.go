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

// loadClients is clients that come, talk and go, and some that stay; it counts what their flows came to.
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
				how := c.runFlow(lines)
				c.mu.Lock()
				c.outcomes[how]++
				c.mu.Unlock()
			}
		})
	}
	return c
}

// runFlow is one connection from its first line to its end.
func (c *loadClients) runFlow(lines int) string {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(conn)
	open := fmt.Sprintf("OPEN %d 7f3a c=chat,d=2000,g=5c0f\r\n", flowIDs.Add(1))
	io.WriteString(conn, open[:9]) // cut at any byte
	time.Sleep(time.Millisecond)
	io.WriteString(conn, open[9:])
	if line, err := r.ReadString('\n'); line != "UP 1\r\n" {
		return fmt.Sprintf("no UP but %q, %v", line, err)
	}
	for i := 0; i < lines && !c.stopped.Load(); i++ {
		time.Sleep(500 * time.Microsecond)
		sent := fmt.Sprintf("M %d %s\r\n", i, strings.Repeat("x", i%900))
		io.WriteString(conn, sent)
		if line, err := r.ReadString('\n'); line != sent {
			return fmt.Sprintf("no echo but %q, %v", line, err)
		}
	}
	return "up"
}

func startHostsAndDiscovery(t *testing.T) (l string, d *fakeDiscovery) {
	t.Helper()
	l = listText(5, "ready", newHost(t, "UP 1\r\n"), newHost(t, "UP 1\r\n"), newHost(t, "UP 1\r\n"))
	return l, newDiscovery(t, l)
}

// waitReady waits until a process says yes.
func (p *program) waitReady(t *testing.T) *program {
	t.Helper()
	for from := time.Now(); time.Since(from) < testTimeout; time.Sleep(5 * time.Millisecond) {
		if status, _ := p.callAdmin(t, "GET", "/-/ready"); status == 200 {
			return p
		}
	}
	t.Fatal("never ready")
	return nil
}

// stop tells a process to end, and gives what it said.
func (p *program) stop(t *testing.T) string {
	t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.waitExit(t); err != nil {
		t.Fatal(err)
	}
	return p.waitFor(t, "msg=stopped")
}

func metricValue(t *testing.T, text, name string) (v int) {
	t.Helper()
	_, rest, ok := strings.Cut("\n"+strings.ReplaceAll(text, " ", "\n"), "\n"+name+"=")
	if _, err := fmt.Sscan(rest, &v); !ok || err != nil {
		t.Fatalf("no %s in %s", name, text)
	}
	return v
}

// Guards clients of a node whose version is rolled and rolled back under load: none is refused, moved or cut off, and
// the figures of all three processes together are what the clients saw. Drained at the end, it moves all that stay.
func TestRollUnderLoad(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	folder := t.TempDir()
	running := startNodeWithAdmin(t, d, l, 400, folder)
	c := startLoadClients(running.addr, 12, 8)
	success, handed := 0, 0
	for range 2 {
		time.Sleep(200 * time.Millisecond) // load, not proof
		next := startNodeWithAdmin(t, d, l, 400, folder).waitReady(t)
		if next.addr != running.addr {
			t.Fatal("another listener:", next.addr)
		}
		text := running.stop(t)
		success += metricValue(t, text, "success")
		handed += metricValue(t, text, "handed_on")
		running = next
	}
	if _, body := running.callAdmin(t, "GET", "/-/metrics"); metricValue(t, body, "inflight") < 8 {
		t.Fatal(body)
	}
	c.stopped.Store(true)
	c.running.Wait()
	_, body := running.callAdmin(t, "GET", "/-/metrics")
	if success += metricValue(t, body, "success.chat"); success != c.outcomes["up"] || len(c.outcomes) != 1 || success < 50 || handed < 16 {
		t.Fatal(success, "told, seen", c.outcomes, handed, "handed on")
	}
	held := running.openFlow(t, "")
	held.wantLine(t, "UP 1\r\n")
	if status, body := running.callAdmin(t, "PUT", "/-/drain"); status != 200 || body != "drained\n" {
		t.Fatal(status, body)
	}
	running.cmd.Process.Signal(syscall.SIGHUP) // the node stays drained
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

// Each step of a hand-over, with the one or the other process killed or hung at it.
func TestHandoverProcessKilledAtEachStep(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	silentListener, err := net.Listen("tcp", "127.0.0.1:0") // discovery that says nothing: the new process goes on joining
	if err != nil {
		t.Fatal(err)
	}
	defer silentListener.Close()
	silentDiscovery := &fakeDiscovery{addr: silentListener.Addr().String()}
	folder := t.TempDir()
	begin := func(d *fakeDiscovery) *program { return startNodeWithAdmin(t, d, l, 400, folder) }
	serves := func(p *program) { p.openFlow(t, "").wantLine(t, "UP 1\r\n") }
	old := begin(d)
	held := old.openFlow(t, "")
	held.wantLine(t, "UP 1\r\n")
	t.Log("new killed before it takes")
	begin(silentDiscovery).cmd.Process.Kill()
	old.waitFor(t, "msg=other_process_gone yielded=false")
	serves(old)
	t.Log("new killed after it took")
	begin(d).waitReady(t).cmd.Process.Kill()
	old.waitFor(t, "msg=other_process_gone yielded=true")
	serves(old)
	t.Log("new hangs before it takes, and is killed")
	hung := begin(silentDiscovery)
	hung.cmd.Process.Signal(syscall.SIGSTOP)
	old.waitFor(t, "msg=handover_failed")
	serves(old)
	hung.cmd.Process.Kill()
	t.Log("old told to end before the new has taken")
	successor := begin(silentDiscovery)
	old.stop(t)
	serves(successor)
	io.WriteString(held, "M 1\r\n")
	held.wantLine(t, "M 1\r\n")
	t.Log("old killed after the new took")
	next := begin(d).waitReady(t)
	successor.cmd.Process.Kill()
	next.waitFor(t, "msg=other_process_gone")
	serves(next)
	t.Log("none left but the name")
	next.cmd.Process.Kill()
	<-next.exited
	serves(begin(d))
}

// Guards a start against a folder that can't be used: it serves, and says once that nothing is handed over.
func TestUnusableHandoverFolders(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	taken := t.TempDir()
	if err := os.WriteFile(handover.Path(taken, "n0", "127.0.0.1:0"), []byte("another's"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, folder := range []string{"", filepath.Join(t.TempDir(), "missing"), taken} {
		p := startNodeWithAdmin(t, d, l, 400, folder)
		p.openFlow(t, "").wantLine(t, "UP 1\r\n")
		if n := strings.Count(p.waitFor(t, "msg=handover_off"), "msg=handover_"); n != 1 {
			t.Errorf("%q: said %d times", folder, n)
		}
	}
}

// A node of a fleet that keeps a limit has its address for links alone: a new version waits until the old one has handed
// over, and a process that nobody hands anything to ends with one line.
func TestRollWithExclusiveClusterAddress(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := free.LocalAddr().String()
	free.Close()
	fleet := fmt.Sprintf(`{"cluster":{"on":true,"listen":%q,"nodes":["127.0.0.1:9"],"limits":[{"over":"address","rate":50,"burst":50,"promise":"available"}]},`, at)
	config := strings.Replace(configText(d, l, 400), "{", fleet, 1)
	folder := t.TempDir()
	begin := func() *program {
		p := prepareProgram(t, strings.Replace(config, "{", `{"admin":"127.0.0.1:0",`, 1))
		p.cmd.Env = append(p.cmd.Env, "TMPDIR="+folder)
		return startProgram(t, p)
	}
	old := begin().waitReady(t)
	old.waitFor(t, "cluster="+at)
	unrelated := prepareProgram(t, config)
	if err := unrelated.cmd.Run(); err == nil || strings.Count(unrelated.output.String(), "\n") != 1 || !strings.Contains(unrelated.output.String(), "another process has it") {
		t.Errorf("a second process at %s: %v, %q", at, err, unrelated.output.String())
	}
	next := begin()
	next.waitFor(t, "msg=cluster listen="+at)
	next.waitReady(t).openFlow(t, "").wantLine(t, "UP 1\r\n") // the other node is away: the own part
	if _, body := next.callAdmin(t, "GET", "/-/metrics"); metricValue(t, body, "limit.address.rate.alone") != 1 || metricValue(t, body, "cluster_linked") != 0 {
		t.Error(body)
	}
	old.stop(t)
}
