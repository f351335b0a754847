package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"testing"
)

// relay copies bytes between its clients and one host on one core, for comparison with the node. It uses one goroutine
// and a buffer of 32 KiB for each direction.
func relay(to string) {
	runtime.GOMAXPROCS(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(os.Stderr, "msg=started listen=%s discovery=\n", l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			h, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				return
			}
			copyAll := func(to, from net.Conn) {
				b := make([]byte, 32<<10)
				for {
					n, err := from.Read(b)
					if n > 0 {
						if _, err := to.Write(b[:n]); err != nil {
							break
						}
					}
					if err != nil {
						break
					}
				}
				to.Close()
				from.Close()
			}
			go copyAll(h, c)
			copyAll(c, h)
		}()
	}
}

const (
	bulkChunkBytes = 64 << 10
	bulkLineBytes  = 128
	bulkFlows      = 8
)

// startSink starts a host that receives bulk data and sends a line after each MiB. It calls received with the number of
// bytes of each read.
func startSink(b *testing.B, received func(int)) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReaderSize(c, 256<<10)
				for {
					line, err := r.ReadString('\n')
					if err != nil || strings.HasPrefix(line, "OPEN ") {
						break
					}
					io.WriteString(c, "PONG\r\n")
				}
				io.WriteString(c, "UP 1\r\n")
				buf, since := make([]byte, 256<<10), 0
				for {
					n, err := r.Read(buf)
					if n > 0 {
						received(n)
						if since += n; since > 1<<20 {
							io.WriteString(c, "ok\r\n")
							since = 0
						}
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return l
}

// startBenchNode starts a node with one host and returns its address.
func startBenchNode(b *testing.B, host string) (addr string) {
	d := newDiscoveryFor(b, `{"rev":1,"all":true,"targets":[{"uid":"s-0","endpoint":"`+host+
		`","az":"a","model":"m","pod_group":1,"state":"ready","capacity_hint":1.0,"boot_ms":0}]}`)
	dir := b.TempDir()
	path := dir + "/config.json"
	if err := os.WriteFile(path, []byte(configText(d, d.firstList, 1024)), 0o600); err != nil {
		b.Fatal(err)
	}
	return startRole(b, "COURSEWINCH_MAIN=1", "GW_CONFIG="+path)
}

// startRole starts this binary in another role and returns the address that it listens at.
func startRole(b *testing.B, env ...string) string {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), env...)
	out, err := c.StderrPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	lastPID = c.Process.Pid
	b.Cleanup(func() { c.Process.Kill(); c.Wait() })
	r := bufio.NewReader(out)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		if _, rest, ok := strings.Cut(line, " listen="); ok {
			addr, _, _ := strings.Cut(rest, " ")
			go io.Copy(io.Discard, r)
			return addr
		}
	}
}

// BenchmarkPassed measures bulk data in lines of 128 bytes over eight flows, through the node and through the relay.
func BenchmarkPassed(b *testing.B) {
	for _, who := range []string{"node", "relay"} {
		b.Run(who, func(b *testing.B) {
			var mu sync.Mutex
			total, want, done := 0, bulkChunkBytes*b.N, make(chan struct{})
			host := startSink(b, func(n int) {
				mu.Lock()
				defer mu.Unlock()
				if total += n; total >= want && total-n < want {
					close(done)
				}
			}).Addr().String()
			var addr string
			if who == "node" {
				addr = startBenchNode(b, host)
			} else {
				addr = startRole(b, "COURSEWINCH_RELAY="+host)
			}
			chunk := bytes.Repeat([]byte(strings.Repeat("x", bulkLineBytes-2)+"\r\n"), bulkChunkBytes/bulkLineBytes)
			var conns []net.Conn
			for i := range bulkFlows {
				conns = append(conns, openFlow(b, addr, i))
			}
			work := make(chan struct{}, b.N)
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			b.SetBytes(bulkChunkBytes)
			b.ResetTimer()
			for _, c := range conns {
				go io.Copy(io.Discard, c)
				go func() {
					for range work {
						c.Write(chunk)
					}
				}()
			}
			<-done
			b.StopTimer()
			for _, c := range conns {
				c.Close()
			}
		})
	}
}

// openFlow opens one flow and waits until it is established. It retries, because a host may have to be probed first.
func openFlow(b *testing.B, addr string, no int) net.Conn {
	for try := 0; ; try++ {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		fmt.Fprintf(c, "OPEN b%d.%d k%d c=chat,d=2000\r\n", no, try, no)
		line, err := bufio.NewReader(c).ReadString('\n')
		if strings.HasPrefix(line, "UP ") {
			return c
		}
		if try == 20 {
			b.Fatalf("%q %v", line, err)
		}
		c.Close()
	}
}

// BenchmarkSetUps measures flows that are opened and closed at once, from 64 clients.
func BenchmarkSetUps(b *testing.B) {
	for _, who := range []string{"node", "relay"} {
		b.Run(who, func(b *testing.B) {
			host := startSink(b, func(int) {}).Addr().String()
			var addr string
			if who == "node" {
				addr = startBenchNode(b, host)
			} else {
				addr = startRole(b, "COURSEWINCH_RELAY="+host)
			}
			work, refused := make(chan int, b.N), 0
			for i := range b.N {
				work <- i
			}
			close(work)
			var wg sync.WaitGroup
			var mu sync.Mutex
			b.ResetTimer()
			for range 64 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := range work {
						c, err := net.Dial("tcp", addr)
						if err != nil {
							continue
						}
						fmt.Fprintf(c, "OPEN s%d k%d c=chat,d=2000\r\n", i, i)
						if line, _ := bufio.NewReaderSize(c, 64).ReadString('\n'); !strings.HasPrefix(line, "UP ") {
							mu.Lock()
							refused++
							mu.Unlock()
						}
						c.Close()
					}
				}()
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "flows/s")
			b.ReportMetric(float64(refused)/float64(b.N), "refused")
		})
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Skip(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb := 0
	fmt.Sscanf(rest, "%d", &kb)
	return kb << 10
}

// BenchmarkIdleFlow measures the memory of an established flow that sends nothing, with 450 flows, which 1,024 descriptors
// allow.
func BenchmarkIdleFlow(b *testing.B) {
	const flows = 450
	host := startSink(b, func(int) {}).Addr().String()
	addr := startBenchNode(b, host)
	var before int
	for i := range flows + 50 {
		if i == 50 { // the first flows are not measured: they warm the program up
			before = residentBytes(b, lastPID)
		}
		c := openFlow(b, addr, i)
		defer c.Close()
	}
	b.ReportMetric(float64(residentBytes(b, lastPID)-before)/flows, "B/flow")
	b.ReportMetric(0, "ns/op")
}

var lastPID int // of the process that startRole has started last
