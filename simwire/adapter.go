// Package simwire connects the simulator's line protocol to package balance: it turns the simulator's lines into calls of a
// Balancer, and the decisions of the Balancer into lines. The protocol's names are used nowhere else.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"coursewinch/balance"
	"coursewinch/settings"
)

const (
	readBufferSize  = 1 << 20 // bytes
	writeBufferSize = 1 << 18 // bytes
)

// outcomesByName maps the protocol's dispositions to outcomes.
var outcomesByName = map[string]balance.Outcome{
	"completed": balance.Completed, "errored": balance.Errored, "saturated": balance.Saturated,
	"overdue": balance.Overdue, "refused_conn": balance.Unreachable, "severed": balance.Severed,
	"recalled": balance.Recalled, "superseded": balance.Superseded,
}

// flowState is the adapter's data of one flow.
type flowState struct {
	id       string            // in the protocol
	connects []*balance.Server // where each connect went
	pending  int               // connects without an outcome
	finished bool
}

// instance is one emulated node: its Balancer and the objects that the protocol names.
type instance struct {
	balancer           *balance.Balancer
	settings           *settings.Settings
	flows              map[string]*balance.Flow
	servers            map[string]*balance.Server
	groups             map[string]*balance.Group
	serversByShortHash map[uint32]*balance.Server // by the hash that peer messages use
	groupsByShortHash  map[uint32]*balance.Group  // includes groups that only peer messages have named
}

// Adapter reads batches of lines and writes the replies. It implements balance.Writer for the instance whose events it
// handles.
type Adapter struct {
	in        *bufio.Reader
	out       *bufio.Writer
	instances map[int64]*instance
	line      line
	longLine  []byte // buffer for a line longer than the reader's buffer
	digits    []byte // buffer for formatting numbers

	now        int64     // simulated time of the batch, in microseconds
	instanceID int64     // of the events being handled
	current    *instance // nil if it is not configured
	repliedID  int64     // instance that the reply has named last
	err        error     // first error while events are handled
}

// New returns an adapter that reads batches from in and writes replies to out.
func New(in io.Reader, out io.Writer) *Adapter {
	return &Adapter{in: bufio.NewReaderSize(in, readBufferSize), out: bufio.NewWriterSize(out, writeBufferSize),
		instances: map[int64]*instance{}}
}

// Run answers batches until the input ends. It returns an error with the line number for input that breaks the protocol.
func (d *Adapter) Run() error {
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

// readLine reads the next line and splits it into its fields.
func (d *Adapter) readLine() error {
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
		return fmt.Errorf("line %d: truncated", d.line.number)
	}
	d.line.split(raw[:len(raw)-1])
	return nil
}

// handleBatch handles one batch, from its mark line to over_to_you, and writes the reply.
func (d *Adapter) handleBatch() error {
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

// nextLine reads the next line of a batch.
func (d *Adapter) nextLine() error {
	if err := d.readLine(); err != nil {
		return d.endWithinBatch(err)
	}
	return nil
}

// endWithinBatch replaces the end of the input, which is an error within a batch.
func (d *Adapter) endWithinBatch(err error) error {
	if err == io.EOF {
		return fmt.Errorf("line %d: the input ends within a batch", d.line.number+1)
	}
	return err
}

// handleInstance handles the lines of one instance, up to the next at or over_to_you.
func (d *Adapter) handleInstance() error {
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

// atBoundary reports whether the current line ends the events of an instance.
func (d *Adapter) atBoundary() bool {
	return string(d.line.name) == "at" || string(d.line.name) == "over_to_you"
}

// runRound runs a round of the Balancer with the events that follow. A panic is reported to the simulator with its
// cause, and the rest of the events is skipped.
func (d *Adapter) runRound() {
	defer func() {
		if p := recover(); p != nil {
			d.writeCall("bail_out", fmt.Sprintf("panic: %v", p))
			d.endLine()
			d.err = d.skipInstance()
		}
	}()
	d.current.balancer.Round(d.now, d.handleEvents, d)
}

// skipInstance skips the rest of the instance's events.
func (d *Adapter) skipInstance() error {
	for !d.atBoundary() {
		if err := d.nextLine(); err != nil {
			return err
		}
	}
	return nil
}

// handleLifecycle handles the lines that start and stop an instance. It returns false for other lines.
func (d *Adapter) handleLifecycle() bool {
	l := &d.line
	switch string(l.name) {
	case "configure":
		seed := l.takeCount("Entropy", false)
		if l.err != nil {
			d.err = l.err
			return true
		}
		set, err := settings.ParsePairs(l.fields[l.next:])
		if err != nil {
			d.err = fmt.Errorf("line %d: configure: %w", l.number, err)
			return true
		}
		d.current = &instance{
			balancer:           balance.New(&set.Settings, seed),
			settings:           set,
			flows:              map[string]*balance.Flow{},
			servers:            map[string]*balance.Server{},
			groups:             map[string]*balance.Group{},
			serversByShortHash: map[uint32]*balance.Server{},
			groupsByShortHash:  map[uint32]*balance.Group{},
		}
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

// handleEvents makes the calls for the lines of one instance, up to the next boundary or lifecycle line.
func (d *Adapter) handleEvents(b *balance.Balancer) {
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
