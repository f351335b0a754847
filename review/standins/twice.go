package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["1"] = busyAfterRun }

// vanishingHost is a host whose machine can vanish: from then on its open connections are silent, and new ones never come up.
type vanishingHost struct {
	*host
	fd       int
	vanished chan struct{}
}

// startVanishingHost starts a host whose listener is at hand.
func (r *run) startVanishingHost(name string, serve func(h *host, c net.Conn, in *bufio.Reader, open string)) *vanishingHost {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 128)
	}
	if err != nil {
		r.fail("%v", err)
	}
	file := os.NewFile(uintptr(fd), name)
	l, err := net.FileListener(file)
	if err != nil {
		r.fail("%v", err)
	}
	v := &vanishingHost{host: &host{name: name, listener: l, serve: serve}, fd: fd, vanished: make(chan struct{})}
	go func() {
		defer file.Close()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			select {
			case <-v.vanished:
				r.mu.Lock()
				r.clients = append(r.clients, c)
				r.mu.Unlock()
				select {} // the queue stays full
			default:
				go v.handle(c)
			}
		}
	}()
	return v
}

// vanish lets new connections wait for ever: the listener's queue is full.
func (v *vanishingHost) vanish(r *run) {
	close(v.vanished)
	syscall.Listen(v.fd, 0)
	for range 3 {
		if c, err := net.DialTimeout("tcp", v.listener.Addr().String(), 20*time.Millisecond); err == nil {
			r.mu.Lock()
			r.clients = append(r.clients, c)
			r.mu.Unlock()
		}
	}
	r.note("%s has vanished", v.name)
}

// request is what became of one request of a client.
type request struct{ id, key, answer string }

// busyAfterRun lowers a limit while flows that may have run wait for their second connect.
func busyAfterRun(r *run) {
	const flows, before = 16, 16
	var mu sync.Mutex
	ran := map[string][]string{} // by key, the cells that ran it
	ranID := map[string]string{} // by id, the host that ran it
	silent := 0                  // flows at the hosts that vanish
	cells := map[string]int{"h0": 1, "h1": 1, "h2": 1, "h3": 2, "h4": 2}
	reset := make(chan struct{})
	serve := func(h *host, c net.Conn, in *bufio.Reader, open string) {
		words := strings.Fields(open)
		id, key := words[1], words[2]
		r.note("%s: %s", h.name, open)
		begin := func() {
			mu.Lock()
			defer mu.Unlock()
			cell := fmt.Sprint("cell ", cells[h.name])
			ranID[id] = h.name
			for _, other := range ran[key] {
				if other == cell {
					r.note("%s: %s: repeat of %s, recognised", h.name, id, key)
					return
				}
			}
			ran[key] = append(ran[key], cell)
			r.note("%s: %s: %s runs", h.name, id, key)
		}
		if cells[h.name] == 1 && r.trouble {
			begin()
			if h.name != "h0" {
				mu.Lock()
				silent++
				mu.Unlock()
			}
			<-reset
			if h.name == "h0" {
				r.note("%s: %s: reset", h.name, id)
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			select {} // vanished
		}
		begin()
		fmt.Fprintf(c, "UP r%s\r\n", id)
		echo(c, in)
	}
	var hosts []*vanishingHost
	var list []entry
	for i := range 5 {
		name := fmt.Sprintf("h%d", i)
		hosts = append(hosts, r.startVanishingHost(name, serve))
		list = append(list, hosts[i].entry(cells[name]))
	}
	d := r.startDiscovery(list)
	set := settings(map[string]any{"Name": "replay-view", "Benefit": 1.0, "Effect": "keyed", "Group": "cell", "WindowMs": 5000.0,
		"SetupTargetMs": 800.0, "HardLimitMs": 3200.0})
	limit := func(n int) map[string]any {
		return map[string]any{"over": "type", "at_once": n, "promise": "strict"}
	}
	f := r.startFleet(d, set, limit(before))
	for _, n := range f.nodes {
		n.waitReady(10 * time.Second)
	}
	time.Sleep(10 * time.Second) // numbers at once are refused for 9 s after a start
	ask := func(id, key string, retry bool) *request {
		q := &request{id: id, key: key}
		c := r.dial(f.listen[0])
		line := fmt.Sprintf("OPEN %s %s c=replay-view,d=3000", id, key)
		if retry {
			line += ",r=1"
		}
		fmt.Fprint(c, line+"\r\n")
		c.SetReadDeadline(time.Now().Add(4 * time.Second))
		answer, err := bufio.NewReader(c).ReadString('\n')
		if q.answer = strings.TrimSpace(answer); err != nil {
			q.answer = err.Error()
		}
		r.note("client: %s -> %s", line, q.answer)
		if !strings.HasPrefix(q.answer, "UP ") {
			c.Close()
		}
		return q
	}
	var all sync.WaitGroup
	answers := make(chan *request, 1000)
	for i := range flows {
		all.Go(func() {
			key := fmt.Sprintf("key%d", i)
			q := ask(fmt.Sprintf("first%d", i), key, false)
			answers <- q
			for try := 0; try < 2 && strings.HasPrefix(q.answer, "BUSY"); try++ {
				time.Sleep(1500 * time.Millisecond)
				q = ask(fmt.Sprintf("retry%d-%d", i, try), key, true)
				answers <- q
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if r.trouble {
		hosts[1].vanish(r)
		hosts[2].vanish(r)
		mu.Lock()
		after := max(silent, 1) // room for the flows that the vanished hosts have, and for no others
		mu.Unlock()
		r.note("the limit is lowered from %d to %d", before, after)
		close(reset)
		for i := 2; i >= 0; i-- {
			f.setLimit(i, limit(after))
			f.nodes[i].signal(syscall.SIGHUP)
			if i == 1 {
				time.Sleep(30 * time.Millisecond)
			}
		}
	}
	all.Wait()
	close(answers)
	for q := range answers {
		mu.Lock()
		if h := ranID[q.id]; h != "" && strings.HasPrefix(q.answer, "BUSY") {
			r.breaks("%s (%s) was answered %q, although %s had taken it and its answer was never BUSY", q.id, q.key, q.answer, h)
		}
		mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	for key, where := range ran {
		if len(where) > 1 {
			r.breaks("%s ran more than once: in %v", key, where)
		}
	}
}
