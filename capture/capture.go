// Package capture writes and reads what a node recorded about its flows: arrival, service type, key, group, lifetime, lines
// and outcome. A capture is a text file with one record per line. Each line has a checksum, so that a line that is
// truncated or damaged is the only one lost.
package capture

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Answers to a flow.
const (
	Established = 'e'
	Rejected    = 'r'
	Aborted     = 'a'
	ClientLeft  = 'l' // the client closed the connection before it got an answer
)

// Ways in which an established flow ended.
const (
	Completed    = 'c' // the host sent BYE
	Severed      = 's' // the connection broke, or the host is gone
	Moved        = 'm'
	ClientClosed = 'g' // the client closed the connection
)

// Start is the first record of a capture.
type Start struct {
	Node string
	Zone int
	At   int64 // when the capture began, microseconds since 1970
}

// Flow is written when a flow has got its answer. Times are microseconds. In a capture, At is relative to its start.
type Flow struct {
	Number         uint64 // number of the flow, counted by the node
	At             int64  // when the client's line arrived
	Type           string // service type
	Key            string
	Group          string // empty without a group
	Returning      bool   // the client had connected before
	ConnectTimeout int64  // the client's connect timeout
	Answer         byte
	AnswerTime     int64 // time from arrival to answer
	Host           string
	Connects       int // connect attempts
}

// End is written when an established flow has ended. At is as in Flow.
type End struct {
	Number             uint64
	At                 int64
	Outcome            byte
	LinesUp, LinesDown int // lines sent to the host, and to the client
}

// Load is written when a host reports the load of a flow. At is as in Flow.
type Load struct {
	Number uint64
	At     int64
	Load   float64 // microseconds of work per second
}

// withChecksum returns the line of a record, with its checksum.
func withChecksum(record string) string {
	return fmt.Sprintf("%s *%04x\n", record, uint16(xxhash.Sum64String(record)))
}

// emptyToDash returns a text as a field of a record, which cannot be empty.
func emptyToDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (s Start) line() string {
	return withChecksum(fmt.Sprintf("C 1 %s %d %d", emptyToDash(s.Node), s.Zone, s.At))
}

func (f Flow) line() string {
	returning := 0
	if f.Returning {
		returning = 1
	}
	return withChecksum(fmt.Sprintf("F %d %d %s %s %s %d %d %c %d %s %d", f.Number, f.At, f.Type, f.Key,
		emptyToDash(f.Group), returning, f.ConnectTimeout,
		f.Answer, f.AnswerTime, emptyToDash(f.Host), f.Connects))
}

func (e End) line() string {
	return withChecksum(fmt.Sprintf("E %d %d %c %d %d", e.Number, e.At, e.Outcome, e.LinesUp, e.LinesDown))
}

func (l Load) line() string { return withChecksum(fmt.Sprintf("L %d %d %.0f", l.Number, l.At, l.Load)) }

// Writer writes records in a goroutine of its own, so that no flow waits for the disk.
type Writer struct {
	queue      chan string
	done       chan struct{}
	maxBytes   int64
	startedAt  int64        // microseconds since 1970
	Dropped    atomic.Int64 // records that were not written, because the disk was too slow or writing has stopped
	stopped    atomic.Bool  // the size limit was reached, or a write failed
	stopReason atomic.Value // of type string
}

const (
	queueCapacity    = 4096 // records
	initialLineBytes = 64 << 10
	maxLineBytes     = 1 << 20
)

// Create creates a capture file. At most maxBytes bytes are written; the records after that are dropped and counted.
func Create(path string, maxBytes int64, start Start) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return New(f, maxBytes, start), nil
}

// New is like Create for a file that is open already. Close closes it.
func New(out io.WriteCloser, maxBytes int64, start Start) *Writer {
	w := &Writer{
		queue:     make(chan string, queueCapacity),
		done:      make(chan struct{}),
		maxBytes:  maxBytes,
		startedAt: start.At,
	}
	go w.run(out, start.line())
	return w
}

// run writes the first record and then those from the queue, until the queue is closed.
func (w *Writer) run(out io.WriteCloser, first string) {
	defer close(w.done)
	defer out.Close()
	size := int64(0)
	writeLine := func(line string) {
		if w.stopped.Load() {
			w.Dropped.Add(1)
			return
		}
		size += int64(len(line))
		if size > w.maxBytes {
			w.halt("full")
			return
		}
		if _, err := io.WriteString(out, line); err != nil {
			w.halt(err.Error())
		}
	}
	writeLine(first)
	for line := range w.queue {
		writeLine(line)
	}
}

// halt stops writing for good. The line that was to be written counts as dropped.
func (w *Writer) halt(reason string) {
	w.stopReason.Store(reason)
	w.stopped.Store(true)
	w.Dropped.Add(1)
}

// StopReason returns why writing has stopped, or "" if it has not.
func (w *Writer) StopReason() string {
	reason, _ := w.stopReason.Load().(string)
	return reason
}

// enqueue adds a line to the queue. If the queue is full, the line is dropped, so that no flow waits for a slow disk.
func (w *Writer) enqueue(line string) {
	select {
	case w.queue <- line:
	default:
		w.Dropped.Add(1)
	}
}

// Flow writes a record. Its At has to be in microseconds since 1970.
func (w *Writer) Flow(f Flow) {
	f.At -= w.startedAt
	w.enqueue(f.line())
}

// End writes a record. Its At has to be in microseconds since 1970.
func (w *Writer) End(e End) {
	e.At -= w.startedAt
	w.enqueue(e.line())
}

// Load writes a record. Its At has to be in microseconds since 1970.
func (w *Writer) Load(l Load) {
	l.At -= w.startedAt
	w.enqueue(l.line())
}

// Close writes the queued records and closes the file.
func (w *Writer) Close() {
	close(w.queue)
	<-w.done
}

// Capture is the content of a capture file.
type Capture struct {
	Start
	Flows        []Flow
	Ends         map[uint64]End    // by number of the flow
	Loads        map[uint64][]Load // by number of the flow
	LastRecordAt int64             // time of the last event, microseconds since the start
	DamagedLines int               // truncated or damaged lines, which are left out
}

// Read reads a capture. It leaves out damaged lines and counts them. It fails if the first record is missing or damaged.
func Read(in io.Reader) (*Capture, error) {
	c := &Capture{Ends: map[uint64]End{}, Loads: map[uint64][]Load{}}
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	started := false
	for s.Scan() {
		record, sum, ok := strings.Cut(s.Text(), " *")
		if !ok || withChecksum(record) != record+" *"+sum+"\n" {
			c.DamagedLines++
			continue
		}
		if !c.addRecord(strings.Fields(record), &started) {
			c.DamagedLines++
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	if !started {
		return nil, fmt.Errorf("no capture: its first record is missing or damaged (%d damaged lines)", c.DamagedLines)
	}
	return c, nil
}

// integerParser parses integers and remembers whether one of them failed.
type integerParser struct{ failed bool }

func (p *integerParser) parse(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	p.failed = p.failed || err != nil
	return n
}

// addRecord adds the record with the given fields. It reports whether the record is valid. started says whether the first
// record was read.
func (c *Capture) addRecord(fields []string, started *bool) bool {
	var parser integerParser
	switch {
	case len(fields) == 5 && fields[0] == "C" && fields[1] == "1" && !*started:
		c.Start = Start{fields[2], int(parser.parse(fields[3])), parser.parse(fields[4])}
		*started = !parser.failed
	case len(fields) == 12 && fields[0] == "F" && len(fields[8]) == 1:
		f := Flow{
			Number:         uint64(parser.parse(fields[1])),
			At:             parser.parse(fields[2]),
			Type:           fields[3],
			Key:            fields[4],
			Group:          dashToEmpty(fields[5]),
			Returning:      fields[6] == "1",
			ConnectTimeout: parser.parse(fields[7]),
			Answer:         fields[8][0],
			AnswerTime:     parser.parse(fields[9]),
			Host:           dashToEmpty(fields[10]),
			Connects:       int(parser.parse(fields[11])),
		}
		if !parser.failed {
			c.Flows = append(c.Flows, f)
			c.LastRecordAt = max(c.LastRecordAt, f.At+f.AnswerTime)
		}
	case len(fields) == 4 && fields[0] == "L":
		l := Load{
			Number: uint64(parser.parse(fields[1])),
			At:     parser.parse(fields[2]),
			Load:   float64(parser.parse(fields[3])),
		}
		if !parser.failed {
			c.Loads[l.Number] = append(c.Loads[l.Number], l)
			c.LastRecordAt = max(c.LastRecordAt, l.At)
		}
	case len(fields) == 6 && fields[0] == "E" && len(fields[3]) == 1:
		e := End{
			Number:    uint64(parser.parse(fields[1])),
			At:        parser.parse(fields[2]),
			Outcome:   fields[3][0],
			LinesUp:   int(parser.parse(fields[4])),
			LinesDown: int(parser.parse(fields[5])),
		}
		if !parser.failed {
			c.Ends[e.Number] = e
			c.LastRecordAt = max(c.LastRecordAt, e.At)
		}
	default:
		return false
	}
	return !parser.failed
}

// dashToEmpty is the inverse of emptyToDash.
func dashToEmpty(text string) string {
	if text == "-" {
		return ""
	}
	return text
}
