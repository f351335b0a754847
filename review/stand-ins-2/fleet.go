package main

import (
	"fmt"
	"syscall"
	"time"
)

// fleetNode is a node of a small fleet that can be rolled.
type fleetNode struct {
	bench          *bench
	listen, admin  string // the address of the newest process's operators
	clusterAddress string
	others         []string // cluster addresses of the other nodes
	config         map[string]any
	program        *program // the newest process
}

// newFleet returns the nodes of a fleet, none of which is started yet.
func (b *bench) newFleet(d *discovery, count int) (all []*fleetNode) {
	for i := range count {
		n := &fleetNode{bench: b, listen: b.freePort(), clusterAddress: b.freePort()}
		n.config = nodeConfig(fmt.Sprintf("n%d", i+1), n.listen, d, count, i)
		all = append(all, n)
	}
	for _, n := range all {
		for _, other := range all {
			if other != n {
				n.others = append(n.others, other.clusterAddress)
			}
		}
	}
	return all
}

// start starts a process of the node. Without a limit its file has no section for the fleet.
func (n *fleetNode) start(name string, limit map[string]any) {
	config := map[string]any{}
	for key, value := range n.config {
		config[key] = value
	}
	n.admin = n.bench.freePort()
	config["admin"] = n.admin
	if limit != nil {
		config["cluster"] = map[string]any{"on": true, "listen": n.clusterAddress, "nodes": n.others, "limits": []any{limit}}
	}
	n.program = n.bench.startNode(name, n.bench.writeConfig(name, config), "TMPDIR="+n.bench.temp)
}

// stop tells a process to end, and waits for it.
func (b *bench) stop(p *program) {
	p.send(syscall.SIGTERM)
	if code := p.waitEnd(5 * time.Second); code != 0 {
		b.cannotRun("%s did not end in order: exit code %d", p.name, code)
	}
}

// addClient starts a client of a node that stays: it comes again after a refusal, a move or a break.
func (b *bench) addClient(listen, serviceType string) {
	go func() {
		for refusals := 0; ; {
			c, answer := openFlow(listen, serviceType, 1500)
			if c == nil {
				if refusals++; refusals <= 3 {
					b.note("a client at %s is refused: %s", listen, answer)
				}
				time.Sleep(300 * time.Millisecond)
				continue
			}
			refusals = 0
			b.note("client %s at %s is up", c.id, listen)
			go func() {
				for {
					if _, err := fmt.Fprintf(c, "line\r\n"); err != nil {
						return
					}
					time.Sleep(2 * time.Second)
				}
			}()
			last, err := "", error(nil)
			for err == nil {
				var line string
				if line, err = c.readLine(10 * time.Second); err == nil {
					last = line
				}
			}
			b.note("client %s has ended after %q: %v", c.id, last, err)
			c.Close()
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// mostFlows records for a while how many flows of a service type stand at the hosts, and returns the most.
func (b *bench) mostFlows(serviceType string, d time.Duration, hosts ...*host) (most int) {
	last := -1
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		count := 0
		for _, h := range hosts {
			count += h.flowCount(serviceType)
		}
		if count != last {
			b.note("flows of %s that stand at the hosts: %d", serviceType, count)
			last = count
		}
		most = max(most, count)
	}
	return most
}
