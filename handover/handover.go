// Package handover defines what two processes of one node send each other during a handover, while a new version is rolled
// out: the messages, with a strict decoder, and the link that carries them. The predecessor is the process that runs, the
// successor is the new one. The package makes no decisions.
package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"

	"coursewinch/balance"
	"coursewinch/discovery"
)

// Version is the version of the messages. Both processes have to use the same one.
const Version = 3

const (
	MaxMessageBytes = 96 << 10 // size of an encoded message
	maxPartBytes    = 32 << 10 // size of a part of a State, before it is encoded
	maxStateBytes   = 8 << 20  // size of a State as JSON
	maxPendingBytes = 8 << 10  // bytes in transit in one direction of a connection
	maxSockets      = 2        // sockets that come with a message
	maxNumber       = 1e15     // every number of a Flow has to be lower

	// MaxIDsPerMessage is how many request ids a process may send in one message: as decimal numbers they fit into it.
	MaxIDsPerMessage = 2000
)

// Message is one message. Exactly one field besides V is set, and says what the message is. Sockets that are sent along
// come in the order in which they are named here.
//
// Messages are encoded as JSON under the names of their fields. This holds for all structs below, so a field that is
// renamed needs a tag with its old name.
type Message struct {
	V       int     // the version of the messages
	Hello   *Hello  `json:",omitempty"` // from the successor: another version of this node starts
	Refused string  `json:",omitempty"` // from the predecessor: why there is no handover; after the State, the successor has to end
	State   *Part   `json:",omitempty"` // from the predecessor: a part of its state; the listening socket comes with the last part
	Take    bool    `json:",omitempty"` // from the successor: it accepts new connections from now on
	Yield   *Yield  `json:",omitempty"` // from the predecessor: it accepts no more connections
	Leave   bool    `json:",omitempty"` // from the predecessor: it had to stop before Take arrived, so the successor accepts connections now
	Drains  *Drains `json:",omitempty"` // from either: hosts that must not get new flows
	Client  *Client `json:",omitempty"` // from the predecessor: a client without a flow, with its socket
	Flow    *Flow   `json:",omitempty"` // from the predecessor: an established flow, with the client's socket and the host's

	Command   *Command `json:",omitempty"` // from either: the newest operators' command that it knows
	Confirmed uint64   `json:",omitempty"` // from either: it knows the operators' commands up to this number
	IDs       []uint64 `json:",omitempty"` // from either: hashes of request ids that clients used
	Reload    bool     `json:",omitempty"` // from either: it was told to read its configuration file again
}

// Command is an operators' command: a drain or a resume. Both processes of a node obey the one with the highest number,
// whichever of them was called.
type Command struct {
	Number  uint64 // when it was given, in microseconds since 1970, or one more than the newest one known then; 0: none was ever given
	Drained bool   // the node is drained; otherwise it serves
	Age     int64  // microseconds for which the node has been drained
}

// Supersedes reports whether a command replaces another one. Of two that were given in the same microsecond the drain does.
func (c Command) Supersedes(other Command) bool {
	return c.Number > other.Number || c.Number == other.Number && c.Drained && !other.Drained
}

// Hello identifies the node, so that no other node takes its place.
type Hello struct{ Name, Listen string }

// Part is a piece of an encoded State.
type Part struct {
	No, Of int    // number of this part, from 1, and number of all parts
	Sum    uint32 // CRC-32 of the whole encoded State
	Data   []byte
}

// State is what the successor starts with.
type State struct {
	Room    int     // descriptors that the successor may hold, besides those that come with flows
	Command Command // the newest operators' command
	From    string  // address of the discovery service that the list came from
	List    discovery.List
	IDs     []uint64 // hashes of the ids that clients used
	Types   []string // names of the service types, in the order that Node uses
	Node    balance.Memory
	Hosts   map[string]balance.ServerMemory // by UID
}

// Yield is what the predecessor no longer needs once the successor accepts connections.
type Yield struct {
	Room int // descriptors
}

// Drains is what a list of discovery said of hosts that must not get new flows.
type Drains struct {
	From string   // address of the discovery service
	Rev  int64    // revision of its list, or a later one
	UIDs []string // of the hosts
}

// Client is a connection of a client that has not asked for a flow yet.
type Client struct {
	In, Out []byte // bytes received from it and not processed; bytes not sent to it yet
	Front   bool   // it is a health check: it sent PING
	Age     int64  // microseconds since it connected, or since its incomplete line began
}

// Flow is an established flow.
type Flow struct {
	Type               string // name of its service type: the successor may have the types in another order, or not have this one
	Key, Group         uint64 // hashes
	Grouped, Again     bool   // it belongs to Group; its client had connected before
	Hint, Load         float64
	Age                int64  // microseconds since it was established
	Process            uint64 // random number by which other nodes know the predecessor; 0 if it belongs to no fleet, or Left has run out
	Left               int64  // microseconds for which the predecessor's permits for the flow remain valid
	Host               discovery.Entry
	ClientIn, HostIn   []byte // received from the client or the host, and not passed on yet
	ClientOut          []byte // not sent to the client yet
	HostOut            []byte // not sent to the host yet
	ClientMid, HostMid bool   // the last bytes sent to the client or the host do not end a line
}

var (
	errMalformed = errors.New("handover: invalid message")
	errTooLong   = errors.New("handover: message too long")
)

// Encode sets the version of a message and encodes it. It fails if the message is longer than MaxMessageBytes.
func (m *Message) Encode() ([]byte, error) {
	m.V = Version
	p, err := json.Marshal(m)
	if err == nil && len(p) > MaxMessageBytes {
		err = errTooLong
	}
	return p, err
}

// Decode decodes a message that came with a number of sockets. It is strict: it rejects other versions, unknown fields,
// values out of range, and any number of sockets but the one that the message needs.
func Decode(p []byte, sockets int) (*Message, error) {
	var m Message
	d := json.NewDecoder(bytes.NewReader(p))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if m.V != Version {
		return nil, fmt.Errorf("handover: message has version %d, want %d", m.V, Version)
	}
	wantSockets, ok := m.check()
	if !ok || d.InputOffset() != int64(len(p)) || sockets != wantSockets {
		return nil, errMalformed
	}
	return &m, nil
}

// check returns the number of sockets that come with a message, and whether the message is valid.
func (m *Message) check() (wantSockets int, ok bool) {
	kinds := 0
	for _, present := range []bool{m.Hello != nil, m.Refused != "", m.State != nil, m.Take, m.Yield != nil, m.Leave,
		m.Drains != nil, m.Client != nil, m.Flow != nil, m.Command != nil, m.Confirmed != 0, m.IDs != nil, m.Reload} {
		if present {
			kinds++
		}
	}
	ok = kinds == 1
	switch {
	case m.State != nil:
		if m.State.No == m.State.Of {
			wantSockets = 1
		}
		ok = ok && m.State.No > 0 && m.State.No <= m.State.Of && m.State.Of <= maxStateBytes/maxPartBytes+1
	case m.Yield != nil:
		ok = ok && m.Yield.Room >= 0
	case m.Command != nil:
		ok = ok && m.Command.Number > 0 && m.Command.Age >= 0
	case m.Client != nil:
		wantSockets = 1
		c := m.Client
		ok = ok && len(c.In) <= maxPendingBytes && len(c.Out) <= maxPendingBytes && c.Age >= 0
	case m.Flow != nil:
		wantSockets = 2
		ok = ok && m.Flow.isValid()
	}
	return wantSockets, ok
}

func (f *Flow) isValid() bool {
	inRange := func(x float64) bool { return x >= 0 && x < maxNumber }
	return f.Type != "" && f.Age >= 0 && inRange(f.Hint) && inRange(f.Load) && f.Host.UID != "" &&
		max(len(f.ClientIn), len(f.ClientOut), len(f.HostIn), len(f.HostOut)) <= maxPendingBytes
}

// Split encodes a state and splits it into messages. It fails if the state is longer than 8 MiB.
func (s *State) Split() ([]*Message, error) {
	p, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(p) > maxStateBytes {
		return nil, errTooLong
	}
	count := (len(p) + maxPartBytes - 1) / maxPartBytes
	sum := crc32.ChecksumIEEE(p)
	var messages []*Message
	for no := 1; no <= count; no++ {
		n := min(maxPartBytes, len(p))
		messages = append(messages, &Message{State: &Part{No: no, Of: count, Sum: sum, Data: p[:n]}})
		p = p[n:]
	}
	return messages, nil
}

// StateAssembler puts the parts of a State together.
type StateAssembler struct {
	received []byte // data of all parts so far
	lastPart int    // number of the last part added
}

// Add adds the next part. The State is nil until the last part is added. Add fails if a part is missing or repeated, or if
// the State is damaged or invalid.
func (a *StateAssembler) Add(p *Part) (*State, error) {
	a.lastPart++
	if p.No != a.lastPart || len(p.Data) > maxPartBytes {
		return nil, errMalformed
	}
	a.received = append(a.received, p.Data...)
	if p.No < p.Of {
		return nil, nil
	}
	if crc32.ChecksumIEEE(a.received) != p.Sum {
		return nil, errors.New("handover: checksum of the state does not match")
	}
	var s State
	d := json.NewDecoder(bytes.NewReader(a.received))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if s.Room < 0 || s.Room > math.MaxInt32 || s.Command.Age < 0 || s.Command.Drained && s.Command.Number == 0 {
		return nil, errMalformed
	}
	for _, e := range s.List.Entries {
		if e.UID == "" || e.State != "ready" && e.State != "draining" && e.State != "gone" {
			return nil, errMalformed
		}
	}
	return &s, nil
}
