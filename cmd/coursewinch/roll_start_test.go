package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"coursewinch/handover"
)

// rewriteConfig writes another configuration file without telling the process.
func (p *program) rewriteConfig(t *testing.T, config string) {
	t.Helper()
	if err := os.WriteFile(p.configPath, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
}

// configWithAdmin returns a configuration file with an admin address.
func configWithAdmin(d *fakeDiscovery, known string) string {
	return strings.Replace(configText(d, known, 400), "{", `{"admin":"127.0.0.1:0",`, 1)
}

// startFromFileOf starts a second process with the file of the first one, as a roll does.
func (p *program) startFromFileOf(t *testing.T, folder string) *program {
	t.Helper()
	return startProgram(t, p.prepareSecond(t, folder))
}

// prepareSecond prepares a second process with the file of the first one.
func (p *program) prepareSecond(t *testing.T, folder string) *program {
	t.Helper()
	second := prepareProgram(t, "")
	second.configPath = p.configPath
	second.cmd.Env = append(second.cmd.Env, "GW_CONFIG="+p.configPath, "TMPDIR="+folder)
	return second
}

// A SIGHUP reaches one of the two processes of a node, and both read the file again: the one that is left watches the discovery
// that the operators named, whichever process they told, before and after the take-over.
func TestReloadDuringRollReachesBothProcesses(t *testing.T) {
	for _, phase := range []string{"joining", "taken over"} {
		for _, called := range []string{"old", "new"} {
			t.Run(phase+"/"+called+" is told", func(t *testing.T) {
				t.Parallel()
				l, first := startHostsAndDiscovery(t)
				named := newDiscovery(t, l)
				folder := socketFolder(t)
				old := startNodeWithAdmin(t, first, l, 400, folder).waitReady(t)
				if phase == "joining" {
					old.rewriteConfig(t, configWithAdmin(silentDiscovery(t), l))
				}
				new := old.startFromFileOf(t, folder)
				if phase == "taken over" {
					old.waitFor(t, "msg=yielded")
				}
				old.rewriteConfig(t, configWithAdmin(named, l))
				told, left := old, new
				if called == "new" {
					told, left = new, old
				}
				told.cmd.Process.Signal(syscall.SIGHUP)
				left.waitFor(t, "msg=config_read discovery="+named.addr)
				told.kill(t)
				left.waitFor(t, "msg=watching discovery="+named.addr)
				left.waitFor(t, "msg=other_process_gone")
				left.openFlow(t, "").wantLine(t, "UP 1\r\n")
			})
		}
	}
}

// predecessor is a test in the place of the running process.
type predecessor struct {
	*handover.Listener
	clients int // descriptor of the clients' listener
	state   *handover.State
}

// newPredecessor listens in a folder for a new version of the node that tests start.
func newPredecessor(t *testing.T, folder string, d *fakeDiscovery) *predecessor {
	t.Helper()
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { clients.Close() })
	socket, err := clients.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	successors, err := handover.Listen(handover.SocketPath(folder, "n0", "127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { successors.Close() })
	return &predecessor{successors, int(socket.Fd()), &handover.State{Room: 200, From: d.addr}}
}

// acceptHello waits for the call of a new version.
func (p *predecessor) acceptHello(t *testing.T) *handover.Link {
	link, err := p.Accept()
	if err != nil {
		return nil // the test has ended
	}
	if m, _, err := link.Receive(); err != nil || m.Hello == nil {
		t.Error(m, err)
	}
	return link
}

// sendState sends the State and waits until the new version ends.
func (p *predecessor) sendState(t *testing.T, link *handover.Link) {
	parts, err := p.state.Split()
	if err != nil || len(parts) != 1 {
		t.Error(len(parts), err)
	}
	if err := link.SendBlocking(parts[0], p.clients); err != nil {
		t.Error(err)
	}
	link.Receive()
}

// A new version reads its file before it calls the running process. A file that changes in between, whose change only that
// process was told of, counts all the same.
func TestFileChangedWhileNewVersionStarts(t *testing.T) {
	l, first := startHostsAndDiscovery(t)
	named := newDiscovery(t, l)
	folder := socketFolder(t)
	running := prepareProgram(t, configWithAdmin(first, l))
	p := newPredecessor(t, folder, first)
	go func() {
		if link := p.acceptHello(t); link != nil {
			if err := os.WriteFile(running.configPath, []byte(configWithAdmin(named, l)), 0o600); err != nil {
				t.Error(err)
			}
			p.sendState(t, link)
		}
	}()
	running.startFromFileOf(t, folder).waitFor(t, "msg=watching discovery="+named.addr)
}

// A new version calls the running process again if that was held up over the time for an answer. Before the fix it started from
// nothing beside a process that was well, and so undrained.
func TestNewVersionCallsAgainAfterTimeout(t *testing.T) {
	l, d := startHostsAndDiscovery(t)
	folder := socketFolder(t)
	p := newPredecessor(t, folder, d)
	p.state.Command = handover.Command{Number: 1, Drained: true}
	go func() {
		if first := p.acceptHello(t); first == nil {
			return
		}
		if second := p.acceptHello(t); second != nil {
			p.sendState(t, second)
		}
	}()
	startNodeWithAdmin(t, d, l, 400, folder).waitFor(t, "msg=joining hosts=0 rev=0 ids=0 drained=true")
}

// A new process accepts no connections if it cannot tell the old one that it takes over.
func TestTakeOverNeedsTheLink(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.sock")
	listener, err := handover.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	link, err := handover.Dial(path, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	listener.Close()
	if p := (&peerProcess{&handoverManager{}, link}); p.TakeOver() { // without a loop, accepting would panic
		t.Fatal("took over")
	}
}
