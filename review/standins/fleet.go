package main

import (
	"net"
	"sync/atomic"
)

// link passes datagrams between two nodes of a fleet, both ways, until it is cut. Each node knows the other one under
// the address of its own end.
type link struct {
	cut  atomic.Bool
	ends [2]net.PacketConn
}

// startLink returns a link between two nodes that receive datagrams at the given addresses.
func (r *run) startLink(first, second string) *link {
	l := &link{}
	for i := range l.ends {
		p, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			r.fail("%v", err)
		}
		l.ends[i] = p
	}
	for i, to := range []string{second, first} {
		address, err := net.ResolveUDPAddr("udp", to)
		if err != nil {
			r.fail("%v", err)
		}
		go func() {
			buffer := make([]byte, 64<<10)
			for {
				n, _, err := l.ends[i].ReadFrom(buffer)
				if err != nil {
					return
				}
				if !l.cut.Load() {
					l.ends[1-i].WriteTo(buffer[:n], address)
				}
			}
		}()
	}
	return l
}

// fleet is three nodes that keep one limit together. Its links are between nodes 0 and 1, 0 and 2, 1 and 2.
type fleet struct {
	run     *run
	nodes   [3]*node
	configs [3]map[string]any
	listen  [3]string
	links   [3]*link
}

// startFleet starts three nodes with a limit of the fleet.
func (r *run) startFleet(d *discovery, set, limit map[string]any) *fleet {
	f := &fleet{run: r}
	var datagrams [3]string
	for i := range 3 {
		datagrams[i] = r.freeAddress()
	}
	pairs := [3][2]int{{0, 1}, {0, 2}, {1, 2}}
	var others [3][]string
	for i, pair := range pairs {
		f.links[i] = r.startLink(datagrams[pair[0]], datagrams[pair[1]])
		for side, node := range pair {
			others[node] = append(others[node], f.links[i].ends[side].LocalAddr().String())
		}
	}
	for i := range 3 {
		name := []string{"n1", "n2", "n3"}[i]
		f.listen[i] = r.freeAddress()
		f.configs[i] = nodeConfig(name, f.listen[i], r.freeAddress(), d, set)
		f.configs[i]["cluster"] = map[string]any{"on": true, "listen": datagrams[i], "nodes": others[i], "limits": []any{limit}}
		f.nodes[i] = r.startNode(name, f.configs[i])
	}
	return f
}

// setLimit gives a node a new file with other figures of the limit.
func (f *fleet) setLimit(i int, limit map[string]any) {
	f.configs[i]["cluster"].(map[string]any)["limits"] = []any{limit}
	f.nodes[i].writeConfig(f.configs[i])
}
