// Package deploy holds files for operators. Its tests build and start the programs with the commands of balancer.toml.
package deploy

import (
	"bytes"
	"debug/elf"
	"encoding/json"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const settingsText = `{"Balancers":1,"Index":0,"MyZone":0,"Localities":["a"],"Discovery":"on_request",
"Limits":{"MaxConnects":3,"MaxRetryAfterMs":1000.0,"Probing":true,"RetryAfter":true,"DialTimeoutMs":250.0},
"Obligations":{"AskWithinMs":10000.0,"ColdFrom":0.1,"ColdMs":20000.0,"FallMultiple":3.0},
"ServiceTypes":[{"Name":"chat","Benefit":1.0,"Effect":"safe","SetupTargetMs":300.0,"HardLimitMs":2000.0}],
"Specifics":{"Groups":true,"Mode":"proxy","MessageAimMs":[60.0]}}`

// commands are the shell commands of balancer.toml.
type commands struct{ Build, Run, Sim string }

// buildFromFile reads balancer.toml and runs its build command in the module's root, as operators do.
func buildFromFile(t *testing.T) (root string, fileCommands commands) {
	t.Helper()
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(text, &fileCommands); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("/bin/sh", "-c", fileCommands.Build)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", fileCommands.Build, err, out)
	}
	return root, fileCommands
}

// shell returns a shell command that runs in the module's root.
func shell(root, line string) *exec.Cmd {
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = root
	return cmd
}

// The platform requires that libraries can be loaded into the node, that the run command becomes the node's process by
// exec, and that this process stops without an error.
func TestBuildAndRunCommands(t *testing.T) {
	root, fileCommands := buildFromFile(t)
	program, ok := strings.CutPrefix(fileCommands.Run, "exec ")
	if !ok {
		t.Fatalf("the run command %q does not begin with exec", fileCommands.Run)
	}
	e, err := elf.Open(filepath.Join(root, program))
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	if libs, err := e.ImportedLibraries(); err != nil || !strings.HasPrefix(strings.Join(libs, " ")+" ", "libc.so") {
		t.Fatalf("linked against %v, %v", libs, err)
	}
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
		"seed": "1", "known": json.RawMessage(`{"rev":1,"all":true,"targets":[{"uid":"s-0","endpoint":"127.0.0.1:1","az":"a","state":"ready"}]}`), "settings": json.RawMessage(settingsText)})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := shell(root, fileCommands.Run)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	timeout := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	defer timeout.Stop()
	var text []byte
	for buf := make([]byte, 4096); !bytes.Contains(text, []byte("msg=started")); {
		n, err := stderr.Read(buf)
		if text = append(text, buf[:n]...); err != nil {
			t.Fatalf("%v: %s", err, text)
		}
	}
	_, at, _ := strings.Cut(string(text), " listen=")
	at, _, _ = strings.Cut(at, " ")
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "PING\r\n")
	pong := make([]byte, 6)
	if _, err := io.ReadFull(c, pong); err != nil || string(pong) != "PONG\r\n" {
		t.Fatalf("%q, %v", pong, err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	rest, _ := io.ReadAll(stderr)
	if err := cmd.Wait(); err != nil || !bytes.Contains(rest, []byte("msg=stopped")) {
		t.Fatalf("%v: %s", err, rest)
	}
}

// The sim command starts the adapter, which answers an empty batch.
func TestAdapterCommand(t *testing.T) {
	root, fileCommands := buildFromFile(t)
	cmd := shell(root, fileCommands.Sim)
	cmd.Stdin = strings.NewReader("mark\t8412.25\nover_to_you\n")
	if out, err := cmd.Output(); err != nil || string(out) != "finished\n" {
		t.Fatalf("%q, %v", out, err)
	}
}
