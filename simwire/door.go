// Package simwire is the door between the simulator's wire and the decision module: it turns lines into calls
// on package balance and answers into lines. Wire names end here.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"coursewinch/balance"
	"coursewinch/cluster/peers"
	"coursewinch/lines"
	"coursewinch/settings"
)

var outcomesByName = map[string]balance.Outcome{
	"completed": balance.Completed, "errored": balance.Errored, "saturated": balance.Saturated,
	"overdue": balance.Overdue, "refused_conn": balance.Unreachable, "severed": balance.Severed,
	"recalled": balance.Recalled, "superseded": balance.Superseded,
}

const alarmToken = 1

// flowState is what a flow carries for the door: its wire id, and where its connects went.
type flowState struct {
	id       string
	connects []*balance.Server
	pending  int // connects without an outcome
	finished bool
}

// instance is one instance: its module and the ids it knows.
type instance struct {
	balancer           *balance.Balancer
	settings           *settings.Settings
	flows              map[string]*balance.Flow
	servers            map[string]*balance.Server
	groups             map[string]*balance.Group
	serversByShortHash map[uint32]*balance.Server // by what peers call them
	groupsByShortHash  map[uint32]*balance.Group  // also those that peers alone have named
}

// Door reads batches and writes replies.
type Door struct {
	in        *bufio.Reader
	out       *bufio.Writer
	instances map[int64]*instance
	line      line
	longLine  []byte
	digits    []byte

	now        int64
	instanceID int64
	current    *instance
	repliedID  int64 // the instance that the reply names now
	err        error
}

func New(in io.Reader, out io.Writer) *Door {
	return &Door{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18),
		instances: map[int64]*instance{}}
}

// Run answers batches until the input ends.
func (d *Door) Run() error {
	for {
		if err := d.handleBatch(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		if err := d.out.Flush(); err != nil {
			return err
		}
	}
}

// readLine cuts the next line into its parts.
func (d *Door) readLine() error {
	raw, err := d.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		d.longLine = append(d.longLine[:0], raw...)
		for errors.Is(err, bufio.ErrBufferFull) {
			raw, err = d.in.ReadSlice('\n')
			d.longLine = append(d.longLine, raw...)
		}
		raw = d.longLine
	}
	if err != nil && len(raw) == 0 {
		return err
	}
	d.line.number++
	if err != nil {
		return fmt.Errorf("line %d: cut short", d.line.number)
	}
	d.line.split(raw[:len(raw)-1])
	return nil
}

func (d *Door) handleBatch() error {
	if err := d.readLine(); err != nil {
		return err
	}
	l := &d.line
	if string(l.name) != "mark" {
		return fmt.Errorf("line %d: a batch begins with mark, not %q", l.number, l.name)
	}
	d.now = l.takeMicros("TMs")
	if err := l.endOfLine(); err != nil {
		return err
	}
	d.repliedID, d.err = -1, nil
	more := true
	if err := d.nextLine(); err != nil {
		return err
	}
	for more {
		switch string(l.name) {
		case "over_to_you":
			more = false
			if err := l.endOfLine(); err != nil {
				return err
			}
		case "at":
			d.instanceID = l.takeCount("Node", false)
			if err := l.endOfLine(); err != nil {
				return err
			}
			d.current = d.instances[d.instanceID]
			if err := d.handleInstance(); err != nil {
				return err
			}
		default:
			return fmt.Errorf("line %d: %q comes before at", l.number, l.name)
		}
	}
	d.out.WriteString("finished\n")
	return nil
}

func (d *Door) nextLine() error {
	if err := d.readLine(); err != nil {
		return d.endWithinBatch(err)
	}
	return nil
}

func (d *Door) endWithinBatch(err error) error {
	if err == io.EOF {
		return fmt.Errorf("line %d: the input ends within a batch", d.line.number+1)
	}
	return err
}

// handleInstance plays the events of one instance; a panic in the module goes out with its cause.
func (d *Door) handleInstance() error {
	if err := d.nextLine(); err != nil {
		return err
	}
	for {
		for d.handleLifecycle() {
			if d.err != nil {
				return d.err
			}
			if err := d.nextLine(); err != nil {
				return err
			}
		}
		if d.err != nil {
			return d.err
		}
		if d.atBoundary() {
			return nil
		}
		if d.current == nil {
			return fmt.Errorf("line %d: %s for instance %d, which has no settings", d.line.number, d.line.name, d.instanceID)
		}
		d.runRound()
		if d.err != nil {
			return d.err
		}
		if d.atBoundary() {
			return nil
		}
	}
}

func (d *Door) atBoundary() bool {
	return string(d.line.name) == "at" || string(d.line.name) == "over_to_you"
}

func (d *Door) runRound() {
	defer func() {
		if p := recover(); p != nil {
			d.writeCall("bail_out", fmt.Sprintf("panic: %v", p))
			d.endLine()
			d.err = d.skipInstance()
		}
	}()
	d.current.balancer.Round(d.now, d.handleEvents, d)
}

// skipInstance reads on to the end of the instance's events.
func (d *Door) skipInstance() error {
	for !d.atBoundary() {
		if err := d.nextLine(); err != nil {
			return err
		}
	}
	return nil
}

// handleLifecycle handles the lines that start and stop an instance.
func (d *Door) handleLifecycle() bool {
	l := &d.line
	switch string(l.name) {
	case "configure":
		seed := l.takeCount("Entropy", false)
		if l.err != nil {
			d.err = l.err
			return true
		}
		set, err := settings.Pairs(l.fields[l.next:])
		if err != nil {
			d.err = fmt.Errorf("line %d: configure: %w", l.number, err)
			return true
		}
		d.current = &instance{balancer: balance.New(&set.Settings, seed), settings: set, flows: map[string]*balance.Flow{},
			servers: map[string]*balance.Server{}, groups: map[string]*balance.Group{}, serversByShortHash: map[uint32]*balance.Server{}, groupsByShortHash: map[uint32]*balance.Group{}}
		d.instances[d.instanceID] = d.current
		return true
	case "stop":
		d.err = l.endOfLine()
		delete(d.instances, d.instanceID)
		d.current = nil
		return true
	}
	return false
}

// handleEvents makes the calls for the lines of one instance, up to the next boundary or a new start.
func (d *Door) handleEvents(b *balance.Balancer) {
	for !d.atBoundary() {
		if name := string(d.line.name); name == "configure" || name == "stop" {
			return
		}
		d.handleEvent(b)
		if d.err == nil {
			d.err = d.line.endOfLine()
		}
		if d.err == nil {
			d.err = d.nextLine()
		}
		if d.err != nil {
			return
		}
	}
}

func (d *Door) handleEvent(b *balance.Balancer) {
	l, n := &d.line, d.current
	switch string(l.name) {
	case "demand":
		id, flags := string(l.takeText("Ref")), l.takeCount("Flags", false)
		f := d.newFlow(id, l.takeIndex("Priority", len(n.settings.Types), false))
		l.takeCount("Team", true)
		f.Hash = keyHash(l.takeAny("Object"))
		f.Again = flags&(2|16) != 0
		f.Hint = loadHint(flags, l.takeNumber("PredictedMs"))
		f.Group = n.groupByName(l.takeAny("Channel"))
		left := l.takeMicros("LeftMs")
		if l.endOfLine() != nil {
			return
		}
		f.Deadline = d.now + left
		n.flows[id] = f
		b.Demand(f)
	case "handover":
		id := string(l.takeText("Ref"))
		l.takeMicros("LeftMs")
		s := d.serverByName(l.takeText("Host"))
		kind := l.takeIndex("Priority", len(n.settings.Types), false)
		predicted := l.takeNumber("PredictedMs")
		l.takeCount("Team", true)
		flags := l.takeCount("Flags", false)
		group, object := l.takeAny("Channel"), l.takeAny("Object")
		if l.endOfLine() != nil || d.err != nil {
			return
		}
		f := d.newFlow(id, kind)
		f.Hint, f.Group, f.Hash = loadHint(flags, predicted), n.groupByName(group), keyHash(object)
		r := f.Ref.(*flowState)
		r.connects, r.pending = append(r.connects, s), 1
		n.flows[id] = f
		b.Opened(f, s)
	case "established":
		f, _ := d.takeConnect()
		took := l.takeMicros("DelaySeenMs")
		l.takeText("Host")
		if f != nil && l.endOfLine() == nil {
			b.Established(f, took)
		}
	case "signal":
		f, _ := d.takeConnect()
		s := d.serverByName(l.takeText("Host"))
		topic, amount := l.takeCount("Topic", false), l.takeNumber("Amount")
		if l.endOfLine() != nil || d.err != nil {
			return
		}
		if topic == 1 && f != nil {
			b.Load(f, amount)
		} else if topic == 2 {
			b.Slow(s, int64(amount*1000))
		}
	case "response":
		d.handleResponse(b)
	case "expired":
		if id := l.takeText("Ref"); l.endOfLine() == nil {
			if f := n.flows[string(id)]; f != nil {
				r := f.Ref.(*flowState)
				r.finished = true
				if r.pending == 0 {
					delete(n.flows, r.id)
				}
			}
		}
	case "probed":
		s, end := d.serverByName(l.takeText("Host")), d.takeOutcome()
		took := l.takeMicros("DelaySeenMs")
		busy, told := d.loadReport()
		if l.endOfLine() == nil && d.err == nil {
			if told {
				b.Reported(s, busy, true)
			}
			b.Probed(s, end, took)
		}
	case "tick_due":
		l.takeCount("Ref", false)
		if l.endOfLine() == nil {
			b.Tick()
		}
	case "announce":
		d.handleAnnounce(b)
	case "whisper":
		l.takeCount("SrcPeer", false)
		told := l.takeAny("Payload")
		if l.endOfLine() == nil {
			n.handlePeerMessage(b, told)
		}
	default:
		d.err = fmt.Errorf("line %d: unknown message %q", l.number, l.name)
	}
}

// loadReport takes a load report's figure for the load. A report that makes no sense is left out, as other nodes' words are.
func (d *Door) loadReport() (load float64, reported bool) {
	return lines.Figures(bytes.Split(d.line.takeAny("Usage"), []byte(","))).At(d.current.settings.Report)
}

// handlePeerMessage takes what another node tells; what makes no sense is dropped.
func (n *instance) handlePeerMessage(b *balance.Balancer, payload []byte) {
	raw, err := base64.StdEncoding.DecodeString(string(payload))
	if err != nil {
		return
	}
	peers.Read(raw, func(hash uint32, load float64) {
		if s := n.serversByShortHash[hash]; s != nil {
			b.Reported(s, load, false)
		}
	}, func(group, hash uint32) {
		if s := n.serversByShortHash[hash]; s != nil {
			b.Held(n.groupByShortHash(group), s)
		}
	})
}

func loadHint(flags int64, ms float64) float64 {
	if flags&1 == 0 {
		return 0
	}
	return ms * 1000
}

func (d *Door) newFlow(id string, kind int) *balance.Flow {
	kind = min(max(kind, 0), len(d.current.settings.Types)-1)
	return &balance.Flow{Type: &d.current.settings.Types[kind], TypeNo: kind, Passed: d.current.settings.Passes, Ref: &flowState{id: id}}
}

// groupByShortHash is the group that peers call so, a new one where nobody has named it yet.
func (n *instance) groupByShortHash(short uint32) *balance.Group {
	if n.groupsByShortHash[short] == nil {
		n.groupsByShortHash[short] = &balance.Group{Hash: uint64(short)}
	}
	return n.groupsByShortHash[short]
}

func (n *instance) groupByName(p []byte) *balance.Group {
	if len(p) == 0 || len(p) == 1 && p[0] == '-' {
		return nil
	}
	g := n.groups[string(p)]
	if g == nil {
		h := hashOf(p)
		g = n.groupByShortHash(peers.Short(h))
		g.Hash, n.groups[string(p)] = h, g
	}
	return g
}

func (d *Door) serverByName(p []byte) *balance.Server {
	s := d.current.servers[string(p)]
	if s == nil {
		if d.line.err == nil {
			d.line.fail("Host", fmt.Sprintf("is not on any list: %q", p))
		}
		d.err = d.line.err
	}
	return s
}

func (d *Door) takeOutcome() balance.Outcome {
	p := d.line.takeText("Disposition")
	outcome, ok := outcomesByName[string(p)]
	if !ok {
		d.line.fail("Disposition", fmt.Sprintf("is no outcome: %q", p))
	}
	return outcome
}

// takeConnect takes the id and number of a connect; the flow is nil when its id has been dropped.
func (d *Door) takeConnect() (*balance.Flow, *balance.Server) {
	l := &d.line
	id, index := l.takeText("Ref"), l.takeCount("Shot", false)
	f := d.current.flows[string(id)]
	if f == nil || l.err != nil {
		return nil, nil
	}
	connects := f.Ref.(*flowState).connects
	if index >= int64(len(connects)) {
		l.fail("Shot", fmt.Sprintf("is %d of %d connects made", index, len(connects)))
		return nil, nil
	}
	return f, connects[index]
}

func (d *Door) handleResponse(b *balance.Balancer) {
	l := &d.line
	f, s := d.takeConnect()
	l.takeText("Host")
	outcome, took, finished := d.takeOutcome(), l.takeMicros("DelaySeenMs"), l.takeFlag("Over")
	load, reported := d.loadReport()
	if f == nil || l.endOfLine() != nil {
		return
	}
	if reported {
		b.Reported(s, load, true)
	}
	state := f.Ref.(*flowState)
	state.pending--
	state.finished = state.finished || finished
	b.Ended(f, s, outcome, took, state.finished)
	if state.finished && state.pending == 0 {
		delete(d.current.flows, state.id)
	}
}

func (d *Door) handleAnnounce(b *balance.Balancer) {
	l, n := &d.line, d.current
	kinds := []string{"changes", "all", "remembered", "refused"}
	word := l.takeText("Scope")
	kind := balance.ListKind(max(slices.Index(kinds, string(word)), 0))
	if l.err == nil && !slices.Contains(kinds, string(word)) {
		l.fail("Scope", fmt.Sprintf("is no kind of list: %q", word))
	}
	l.takeCount("Rev", true)
	items := l.takeCount("Records", true)
	if l.endOfLine() != nil {
		return
	}
	b.List(kind)
	for range items {
		if d.err = d.nextLine(); d.err != nil {
			return
		}
		if string(l.name) != "item" {
			d.err = fmt.Errorf("line %d: %s where an item of announce is due", l.number, l.name)
			return
		}
		host := l.takeText("Host")
		zone, _, cell := l.takeCount("Site", false), l.takeCount("Sku", false), l.takeCount("Cohort", false)
		states := []string{"up", "draining", "removed"}
		word := l.takeText("Availability")
		state := balance.State(max(slices.Index(states, string(word)), 0))
		if l.err == nil && !slices.Contains(states, string(word)) {
			l.fail("Availability", fmt.Sprintf("is no state: %q", word))
		}
		size, ready := l.takeNumber("Scale"), l.takeMicros("ReadyAtMs")
		if d.err = l.endOfLine(); d.err != nil {
			return
		}
		s := n.servers[string(host)]
		if s == nil {
			s = &balance.Server{Name: string(host), Hash: hashOf(host)}
			n.servers[s.Name] = s
			n.serversByShortHash[peers.Short(s.Hash)] = s
		}
		s.Zone, s.Cell = int(zone), int(cell)
		if size <= 0 {
			size = 1
		}
		b.Entry(s, state, size, ready)
	}
	b.ListEnd(kind)
}

// The Writer of the module.

func (d *Door) writeCall(name string, parts ...string) {
	if d.repliedID != d.instanceID {
		d.repliedID = d.instanceID
		d.out.WriteString("as\t")
		d.writeInt(d.instanceID)
		d.endLine()
	}
	d.out.WriteString(name)
	for _, p := range parts {
		d.out.WriteByte('\t')
		d.out.WriteString(p)
	}
}

func (d *Door) endLine() { d.out.WriteByte('\n') }

func (d *Door) writeInt(n int64) {
	d.digits = strconv.AppendInt(d.digits[:0], n, 10)
	d.out.Write(d.digits)
}

// writeMillis writes a time as milliseconds.
func (d *Door) writeMillis(us int64) {
	d.digits = append(d.digits[:0], '\t')
	d.digits = strconv.AppendInt(d.digits, us/1000, 10)
	if rest := us % 1000; rest != 0 {
		d.digits = append(d.digits, '.', byte('0'+rest/100), byte('0'+rest/10%10), byte('0'+rest%10))
	}
	d.out.Write(d.digits)
}

func (d *Door) Connect(f *balance.Flow, s *balance.Server, timeout int64) {
	state := f.Ref.(*flowState)
	state.connects = append(state.connects, s)
	state.pending++
	d.writeCall("issue", state.id, s.Name)
	d.writeMillis(timeout)
	d.endLine()
}

func (d *Door) Reject(f *balance.Flow, retryAfter int64) {
	state := f.Ref.(*flowState)
	d.writeCall("overload_reply", state.id)
	d.writeMillis(retryAfter)
	d.endLine()
	d.finish(state)
}

func (d *Door) Abort(f *balance.Flow) {
	state := f.Ref.(*flowState)
	d.writeCall("abort", state.id)
	d.endLine()
	d.finish(state)
}

func (d *Door) finish(state *flowState) {
	state.finished = true
	if state.pending == 0 {
		delete(d.current.flows, state.id)
	}
}

func (d *Door) Move(f *balance.Flow) {
	state := f.Ref.(*flowState)
	state.finished = true
	d.writeCall("transfer", state.id)
	d.endLine()
}

func (d *Door) Probe(s *balance.Server) {
	d.writeCall("ping", s.Name)
	d.endLine()
}

func (d *Door) Tell(servers []*balance.Server, placements []balance.Home) {
	peers.Write(servers, placements, func(message []byte) {
		d.writeCall("memo_to", "*", base64.StdEncoding.EncodeToString(message))
		d.endLine()
	})
}

func (d *Door) Watch() {
	d.writeCall("tail", "1")
	d.endLine()
}

func (d *Door) Alarm(at int64) {
	d.writeCall("set_alarm", strconv.Itoa(alarmToken))
	d.writeMillis(at)
	d.endLine()
}

func (d *Door) Trace(text string) {
	d.writeCall("trace", text)
	d.endLine()
}
