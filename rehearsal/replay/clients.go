// Package replay turns captures of nodes into the demand of a script. It combines the flows of each client over its
// retries, disconnects and moves.
package replay

import (
	"cmp"
	"slices"

	"coursewinch/capture"
)

// Client is one client as the captures of all nodes show it, over its retries, disconnects and moves.
type Client struct {
	At    int64 // start, in microseconds since the start of the earliest capture
	Type  string
	Zone  int // zone of the node that it connected to first
	Group string
	Key   string
	Loads []capture.Load // its reported loads, in microseconds after its start
	Life  int64          // how long it wanted a connection, in microseconds
	Flows int            // number of its flows
}

// sameClientWithin is the time in microseconds within which a key that comes again belongs to the same client.
const sameClientWithin = 10_000_000

// clientPart is one flow of a client, in times since the start of the earliest capture.
type clientPart struct {
	flow  capture.Flow
	zone  int
	from  int64
	to    int64 // when the client no longer had the connection
	open  bool  // its end is not in the capture
	loads []capture.Load
	shift int64 // start of its capture
	done  bool  // the client closed it, or the host said BYE
}

// Clients returns the clients of captures, whose flows are combined by key, in the order of their starts. A client that
// was never established gets the mean life of its service type. A client whose end is not in the captures stays until
// their end.
func Clients(all []*capture.Capture) []Client {
	if len(all) == 0 {
		return nil
	}
	keys, byKey, last := partsByKey(all)
	var clients []Client
	var lifeKnown []bool          // by client
	lives := map[string][]int64{} // by service type, of clients whose end was seen
	for _, key := range keys {
		parts := byKey[key]
		slices.SortStableFunc(parts, func(x, y clientPart) int { return cmp.Compare(x.from, y.from) })
		for len(parts) > 0 {
			c, known, done := combineParts(key, parts, last)
			parts = parts[c.Flows:]
			if done {
				lives[c.Type] = append(lives[c.Type], c.Life)
			}
			lifeKnown = append(lifeKnown, known)
			clients = append(clients, c)
		}
	}
	for i := range clients {
		if seen := lives[clients[i].Type]; !lifeKnown[i] && len(seen) > 0 {
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

// partsByKey returns all flows by the key of their client, the keys in the order in which they are found, and the time of
// the last record.
func partsByKey(all []*capture.Capture) (keys []string, byKey map[string][]clientPart, last int64) {
	begin := all[0].At
	for _, c := range all {
		begin = min(begin, c.At)
	}
	byKey = map[string][]clientPart{}
	for _, c := range all {
		shift := c.At - begin
		last = max(last, c.LastRecordAt+shift)
		for _, f := range c.Flows {
			p := clientPart{flow: f, zone: c.Zone, from: f.At + shift, to: f.At + f.AnswerTime + shift}
			if f.Answer == capture.Established {
				e, ended := c.Ends[f.Number]
				p.open = !ended
				if ended {
					p.to = e.At + shift
					p.done = e.Outcome == capture.Completed || e.Outcome == capture.ClientClosed
				}
			}
			p.loads, p.shift = c.Loads[f.Number], shift
			if byKey[f.Key] == nil {
				keys = append(keys, f.Key)
			}
			byKey[f.Key] = append(byKey[f.Key], p)
		}
	}
	return keys, byKey, last
}

// combineParts returns the client of the first parts of a key, as many as belong to the same client. Its life is known
// unless it was never established, and it is done if its end was seen.
func combineParts(key string, parts []clientPart, last int64) (c Client, known, done bool) {
	first := parts[0]
	c = Client{At: first.from, Type: first.flow.Type, Zone: first.zone, Group: first.flow.Group, Key: key}
	end, established, open := first.to, false, false
	for _, p := range parts {
		if c.Flows > 0 && (p.from-end >= sameClientWithin || done) {
			break
		}
		c.Flows++
		end, open, done = max(end, p.to), p.open, p.done
		established = established || p.flow.Answer == capture.Established
		for _, l := range p.loads {
			c.Loads = append(c.Loads, capture.Load{At: max(l.At+p.shift-c.At, 0), Load: l.Load})
		}
	}
	if open {
		end = last
	}
	c.Life = end - c.At
	return c, done || open || established, done
}
