// Package capture writes and reads what a node saw of its flows: arrival, type, key, group, life, lines, outcome. A
// capture is text, a record a line, each with a checksum, so that one cut off or damaged loses that line alone.
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

// Answer is what a flow was given. Ends are how an established one ended.
const (
	Established = 'e'
	Rejected    = 'r'
	Aborted     = 'a'
	Left        = 'l' // its client went before an answer

	Completed = 'c' // the host's BYE
	Severed   = 's' // broken, or its host gone
	Moved     = 'm'
	Gone      = 'g' // its client ended it
)

// Start is the first record of a capture: which node, and when it began. Microseconds since 1970.
type Start struct {
	Node string
	Zone int
	At   int64
}

// Flow is written when a flow has its answer. Times are microseconds since the capture's start.
type Flow struct {
	No       uint64 // counted by the node
	At       int64  // when its line came
	Type     string
	Key      string
	Group    string // empty without one
	Again    bool   // its client had come before
	Wait     int64  // how long its client waits
	Answer   byte
	Took     int64 // until the answer
	Host     string
	Connects int
}

// End is written when an established flow has ended.
type End struct {
	No       uint64
	At       int64
	How      byte
	Up, Down int // lines to the host, and to the client
}

// Load is written when a host tells what a flow's load is.
type Load struct {
	No   uint64
	At   int64
	Load float64 // microseconds of work a second
}

// seal puts a checksum behind a record.
func seal(record string) string {
	return fmt.Sprintf("%s *%04x\n", record, uint16(xxhash.Sum64String(record)))
}

func or(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (s Start) line() string { return seal(fmt.Sprintf("C 1 %s %d %d", or(s.Node), s.Zone, s.At)) }

func (f Flow) line() string {
	again := 0
	if f.Again {
		again = 1
	}
	return seal(fmt.Sprintf("F %d %d %s %s %s %d %d %c %d %s %d", f.No, f.At, f.Type, f.Key, or(f.Group), again, f.Wait,
		f.Answer, f.Took, or(f.Host), f.Connects))
}

func (e End) line() string {
	return seal(fmt.Sprintf("E %d %d %c %d %d", e.No, e.At, e.How, e.Up, e.Down))
}

func (l Load) line() string { return seal(fmt.Sprintf("L %d %d %.0f", l.No, l.At, l.Load)) }

// Writer takes records and writes them from a goroutine of its own: whatever the disk does, no flow waits for it.
type Writer struct {
	in      chan string
	done    chan struct{}
	most    int64
	start   int64
	Dropped atomic.Int64 // records that the disk was too slow or too full for
	stop    atomic.Bool  // the file is full, or a write failed
	why     atomic.Value // string
}

const waiting = 4096 // records on their way to the disk

// Create begins a capture. It holds no more than most bytes; what comes after is dropped and counted.
func Create(path string, most int64, s Start) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return New(f, most, s), nil
}

// New writes to something that is open already, and closes it at the end.
func New(to io.WriteCloser, most int64, s Start) *Writer {
	w := &Writer{in: make(chan string, waiting), done: make(chan struct{}), most: most, start: s.At}
	go w.write(to, s.line())
	return w
}

func (w *Writer) write(to io.WriteCloser, first string) {
	defer close(w.done)
	defer to.Close()
	size := int64(0)
	put := func(line string) {
		if w.stop.Load() {
			w.Dropped.Add(1)
			return
		}
		if size += int64(len(line)); size > w.most {
			w.halt("full")
			return
		}
		if _, err := io.WriteString(to, line); err != nil {
			w.halt(err.Error())
		}
	}
	put(first)
	for line := range w.in {
		put(line)
	}
}

func (w *Writer) halt(why string) {
	w.why.Store(why)
	w.stop.Store(true)
	w.Dropped.Add(1)
}

// Why is the reason for which nothing more is written; empty while it goes on.
func (w *Writer) Why() string {
	why, _ := w.why.Load().(string)
	return why
}

func (w *Writer) put(line string) {
	select {
	case w.in <- line:
	default:
		w.Dropped.Add(1) // guards flows against a slow disk
	}
}

// Flow takes a record; At is in microseconds since 1970.
func (w *Writer) Flow(f Flow) {
	f.At -= w.start
	w.put(f.line())
}

// End takes a record; At is in microseconds since 1970.
func (w *Writer) End(e End) {
	e.At -= w.start
	w.put(e.line())
}

// Load takes a record; At is in microseconds since 1970.
func (w *Writer) Load(l Load) {
	l.At -= w.start
	w.put(l.line())
}

// Close writes what is on its way and ends the capture.
func (w *Writer) Close() {
	close(w.in)
	<-w.done
}

// Capture is one that was read.
type Capture struct {
	Start
	Flows []Flow
	Ends  map[uint64]End
	Loads map[uint64][]Load
	Last  int64 // the time of the last record
	Torn  int   // lines that were cut off or damaged, and left out
}

// Read reads a capture. Damaged lines are counted and left out; one without its first record can't be used.
func Read(from io.Reader) (*Capture, error) {
	c := &Capture{Ends: map[uint64]End{}, Loads: map[uint64][]Load{}}
	s := bufio.NewScanner(from)
	s.Buffer(make([]byte, 64<<10), 1<<20)
	begun := false
	for s.Scan() {
		record, sum, ok := strings.Cut(s.Text(), " *")
		if !ok || seal(record) != record+" *"+sum+"\n" {
			c.Torn++
			continue
		}
		if !c.take(strings.Fields(record), &begun) {
			c.Torn++
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	if !begun {
		return nil, fmt.Errorf("no capture: its first record is missing or damaged (%d damaged lines)", c.Torn)
	}
	return c, nil
}

// figures reads whole numbers and keeps in mind whether all were.
type figures struct{ bad bool }

func (f *figures) whole(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	f.bad = f.bad || err != nil
	return n
}

func (c *Capture) take(p []string, begun *bool) bool {
	var n figures
	switch {
	case len(p) == 5 && p[0] == "C" && p[1] == "1" && !*begun:
		c.Start = Start{p[2], int(n.whole(p[3])), n.whole(p[4])}
		*begun = !n.bad
	case len(p) == 12 && p[0] == "F" && len(p[8]) == 1:
		f := Flow{No: uint64(n.whole(p[1])), At: n.whole(p[2]), Type: p[3], Key: p[4], Group: bare(p[5]), Again: p[6] == "1",
			Wait: n.whole(p[7]), Answer: p[8][0], Took: n.whole(p[9]), Host: bare(p[10]), Connects: int(n.whole(p[11]))}
		if !n.bad {
			c.Flows = append(c.Flows, f)
			c.Last = max(c.Last, f.At+f.Took)
		}
	case len(p) == 4 && p[0] == "L":
		l := Load{No: uint64(n.whole(p[1])), At: n.whole(p[2]), Load: float64(n.whole(p[3]))}
		if !n.bad {
			c.Loads[l.No] = append(c.Loads[l.No], l)
			c.Last = max(c.Last, l.At)
		}
	case len(p) == 6 && p[0] == "E" && len(p[3]) == 1:
		e := End{No: uint64(n.whole(p[1])), At: n.whole(p[2]), How: p[3][0], Up: int(n.whole(p[4])), Down: int(n.whole(p[5]))}
		if !n.bad {
			c.Ends[e.No] = e
			c.Last = max(c.Last, e.At)
		}
	default:
		return false
	}
	return !n.bad
}

func bare(text string) string {
	if text == "-" {
		return ""
	}
	return text
}
