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
func (a *Adapter) Run() error {
	for {
		if err := a.handleBatch(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		if err := a.out.Flush(); err != nil {
			return err
		}
	}
}

// readLine reads the next line and splits it into its fields.
func (a *Adapter) readLine() error {
	raw, err := a.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		a.longLine = append(a.longLine[:0], raw...)
		for errors.Is(err, bufio.ErrBufferFull) {
			raw, err = a.in.ReadSlice('\n')
			a.longLine = append(a.longLine, raw...)
		}
		raw = a.longLine
	}
	if err != nil && len(raw) == 0 {
		return err
	}
	a.line.number++
	if err != nil {
		return fmt.Errorf("line %d: truncated", a.line.number)
	}
	a.line.split(raw[:len(raw)-1])
	return nil
}

// handleBatch handles one batch, from its mark line to over_to_you, and writes the reply.
func (a *Adapter) handleBatch() error {
	if err := a.readLine(); err != nil {
		return err
	}
	l := &a.line
	if string(l.name) != "mark" {
		return fmt.Errorf("line %d: a batch begins with mark, not %q", l.number, l.name)
	}
	a.now = l.takeMicros("TMs")
	if err := l.endOfLine(); err != nil {
		return err
	}
	a.repliedID, a.err = -1, nil
	more := true
	if err := a.nextLine(); err != nil {
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
			a.instanceID = l.takeCount("Node", false)
			if err := l.endOfLine(); err != nil {
				return err
			}
			a.current = a.instances[a.instanceID]
			if err := a.handleInstance(); err != nil {
				return err
			}
		default:
			return fmt.Errorf("line %d: %q comes before at", l.number, l.name)
		}
	}
	a.out.WriteString("finished\n")
	return nil
}

// nextLine reads the next line of a batch.
func (a *Adapter) nextLine() error {
	if err := a.readLine(); err != nil {
		return a.endWithinBatch(err)
	}
	return nil
}

// endWithinBatch replaces the end of the input, which is an error within a batch.
func (a *Adapter) endWithinBatch(err error) error {
	if err == io.EOF {
		return fmt.Errorf("line %d: the input ends within a batch", a.line.number+1)
	}
	return err
}

// handleInstance handles the lines of one instance, up to the next at or over_to_you.
func (a *Adapter) handleInstance() error {
	if err := a.nextLine(); err != nil {
		return err
	}
	for {
		for a.handleLifecycle() {
			if a.err != nil {
				return a.err
			}
			if err := a.nextLine(); err != nil {
				return err
			}
		}
		if a.err != nil {
			return a.err
		}
		if a.atBoundary() {
			return nil
		}
		if a.current == nil {
			return fmt.Errorf("line %d: %s for instance %d, which has no settings", a.line.number, a.line.name, a.instanceID)
		}
		a.runRound()
		if a.err != nil {
			return a.err
		}
		if a.atBoundary() {
			return nil
		}
	}
}

// atBoundary reports whether the current line ends the events of an instance.
func (a *Adapter) atBoundary() bool {
	return string(a.line.name) == "at" || string(a.line.name) == "over_to_you"
}

// runRound runs a round of the Balancer with the events that follow. A panic is reported to the simulator with its
// cause, and the rest of the events is skipped.
func (a *Adapter) runRound() {
	defer func() {
		if p := recover(); p != nil {
			a.writeCall("bail_out", fmt.Sprintf("panic: %v", p))
			a.endLine()
			a.err = a.skipInstance()
		}
	}()
	a.current.balancer.Round(a.now, a.handleEvents, a)
}

// skipInstance skips the rest of the instance's events.
func (a *Adapter) skipInstance() error {
	for !a.atBoundary() {
		if err := a.nextLine(); err != nil {
			return err
		}
	}
	return nil
}

// handleLifecycle handles the lines that start and stop an instance. It returns false for other lines.
func (a *Adapter) handleLifecycle() bool {
	l := &a.line
	switch string(l.name) {
	case "configure":
		seed := l.takeCount("Entropy", false)
		if l.err != nil {
			a.err = l.err
			return true
		}
		set, err := settings.ParsePairs(l.fields[l.next:])
		if err != nil {
			a.err = fmt.Errorf("line %d: configure: %w", l.number, err)
			return true
		}
		a.current = &instance{
			balancer:           balance.New(&set.Settings, seed),
			settings:           set,
			flows:              map[string]*balance.Flow{},
			servers:            map[string]*balance.Server{},
			groups:             map[string]*balance.Group{},
			serversByShortHash: map[uint32]*balance.Server{},
			groupsByShortHash:  map[uint32]*balance.Group{},
		}
		a.instances[a.instanceID] = a.current
		return true
	case "stop":
		a.err = l.endOfLine()
		delete(a.instances, a.instanceID)
		a.current = nil
		return true
	}
	return false
}

// handleEvents makes the calls for the lines of one instance, up to the next boundary or lifecycle line.
func (a *Adapter) handleEvents(b *balance.Balancer) {
	for !a.atBoundary() {
		if name := string(a.line.name); name == "configure" || name == "stop" {
			return
		}
		a.handleEvent(b)
		if a.err == nil {
			a.err = a.line.endOfLine()
		}
		if a.err == nil {
			a.err = a.nextLine()
		}
		if a.err != nil {
			return
		}
	}
}
