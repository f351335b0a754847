// Package replay turns captures of nodes into the demand of a script: clients put together over their retries, breaks
// and moves.
package replay

import (
	"cmp"
	"slices"

	"coursewinch/capture"
)

// Client is one client as captures of all nodes show it, over its retries, breaks and moves: what it wanted, from when
// to when.
type Client struct {
	At    int64 // microseconds since the earliest capture's start
	Type  string
	Zone  int // of the node it came to first
	Group string
	Key   string
	Loads []capture.Load // as told, microseconds after its start
	Life  int64          // how long it wanted its connection
	Flows int
}

const sameClientWithin = 10_000_000 // a key that comes again so soon is the same client's

// Clients puts the flows of captures together by key. Where a client never stood, or its end is not in the capture, it
// is given the mean life of its type, or stays until the capture's end, whichever it shows.
func Clients(all []*capture.Capture) []Client {
	type part struct {
		flow  capture.Flow
		zone  int
		from  int64
		to    int64 // when its client had no more of it
		open  bool  // it had not ended
		loads []capture.Load
		shift int64
		stay  bool // its client left of itself, or the host said BYE
	}
	if len(all) == 0 {
		return nil
	}
	begin := all[0].At
	for _, c := range all {
		begin = min(begin, c.At)
	}
	byKey := map[string][]part{}
	var keys []string
	last := int64(0)
	for _, c := range all {
		shift := c.At - begin
		last = max(last, c.Last+shift)
		for _, f := range c.Flows {
			p := part{flow: f, zone: c.Zone, from: f.At + shift, to: f.At + f.Took + shift}
			if f.Answer == capture.Established {
				e, ended := c.Ends[f.No]
				p.open = !ended
				if ended {
					p.to = e.At + shift
					p.stay = e.How == capture.Completed || e.How == capture.Gone
				}
			}
			p.loads, p.shift = c.Loads[f.No], shift
			if byKey[f.Key] == nil {
				keys = append(keys, f.Key)
			}
			byKey[f.Key] = append(byKey[f.Key], p)
		}
	}
	var clients []Client
	known := map[int]bool{} // by client, whether its life was seen
	lives := map[string][]int64{}
	for _, key := range keys {
		parts := byKey[key]
		slices.SortStableFunc(parts, func(x, y part) int { return cmp.Compare(x.from, y.from) })
		for i := 0; i < len(parts); {
			p := parts[i]
			c := Client{At: p.from, Type: p.flow.Type, Zone: p.zone, Group: p.flow.Group, Key: key}
			end, stood, open, stay := p.to, false, false, false
			for ; i < len(parts) && (c.Flows == 0 || parts[i].from-end < sameClientWithin && !stay); i++ {
				q := parts[i]
				c.Flows++
				end, open, stay = max(end, q.to), q.open, q.stay
				stood = stood || q.flow.Answer == capture.Established
				for _, l := range q.loads {
					c.Loads = append(c.Loads, capture.Load{At: max(l.At+q.shift-c.At, 0), Load: l.Load})
				}
			}
			if open {
				end = last
			}
			c.Life = end - c.At
			if known[len(clients)] = stay; stay {
				lives[c.Type] = append(lives[c.Type], c.Life)
			}
			known[len(clients)] = stay || open || stood
			clients = append(clients, c)
		}
	}
	for i := range clients {
		if seen := lives[clients[i].Type]; !known[i] && len(seen) > 0 {
			total := int64(0)
			for _, l := range seen {
				total += l
			}
			clients[i].Life = total / int64(len(seen))
		}
	}
	slices.SortStableFunc(clients, func(x, y Client) int { return cmp.Compare(x.At, y.At) })
	return clients
}
