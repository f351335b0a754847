// Package discovery reads what the discovery service sends: HTTP/1.1 answers, chunked or plain, that hold one list
// of hosts a line.
package discovery

import (
	"errors"
	"fmt"
	"strconv"
)

// Entry is one host of a list.
type Entry struct {
	UID, Endpoint, Zone string
	Cell                int
	State               string
	Size                float64
	BootMs              int64
}

// List is a whole list, or the entries that changed.
type List struct {
	Rev     int64
	All     bool
	Entries []Entry
}

// ParseList reads one list. Names it does not know are skipped.
func ParseList(p []byte) (List, error) {
	s := &scan{p: p}
	var l List
	seen := false
	s.object(func(name string) {
		switch name {
		case "rev":
			l.Rev = int64(s.number())
			seen = true
		case "all":
			l.All = s.flag()
		case "targets":
			s.array(func() { l.Entries = append(l.Entries, s.entry()) })
		default:
			s.skip(0)
		}
	})
	if s.space(); s.err == nil && s.i < len(p) {
		s.fail("text after the list")
	}
	if s.err == nil && !seen {
		s.fail("no rev")
	}
	return l, s.err
}

func (s *scan) entry() Entry {
	e := Entry{Size: 1}
	s.object(func(name string) {
		switch name {
		case "uid":
			e.UID = s.text()
		case "endpoint":
			e.Endpoint = s.text()
		case "az":
			e.Zone = s.text()
		case "pod_group":
			e.Cell = int(s.number())
		case "state":
			e.State = s.text()
		case "capacity_hint":
			e.Size = s.number()
		case "boot_ms":
			e.BootMs = int64(s.number())
		default:
			s.skip(0)
		}
	})
	if s.err == nil && (e.UID == "" || e.State != "ready" && e.State != "draining" && e.State != "gone") {
		s.fail("an entry without uid or with an unknown state")
	}
	return e
}

var errCut = errors.New("discovery: list cut short")

// scan goes through JSON text and keeps the first fault.
type scan struct {
	p   []byte
	i   int
	err error
}

func (s *scan) fail(what string) {
	if s.err == nil {
		s.err = fmt.Errorf("discovery: %s at byte %d", what, s.i)
	}
}

func (s *scan) space() {
	for s.i < len(s.p) && (s.p[s.i] == ' ' || s.p[s.i] == '\t' || s.p[s.i] == '\r' || s.p[s.i] == '\n') {
		s.i++
	}
}

// next is the next byte that is no space, 0 at the end or after a fault.
func (s *scan) next() byte {
	if s.err != nil {
		return 0
	}
	if s.space(); s.i >= len(s.p) {
		s.err = errCut
		return 0
	}
	return s.p[s.i]
}

func (s *scan) want(c byte) {
	if got := s.next(); got != c && s.err == nil {
		s.fail(fmt.Sprintf("%q where %q is due", got, c))
	}
	s.i++
}

// items calls each for every item between two brackets.
func (s *scan) items(open, end byte, each func()) {
	s.want(open)
	if s.next() == end {
		s.i++
		return
	}
	for s.err == nil {
		each()
		if s.next() != ',' {
			s.want(end)
			return
		}
		s.i++
	}
}

func (s *scan) object(field func(name string)) {
	s.items('{', '}', func() {
		name := s.text()
		s.want(':')
		if s.err == nil {
			field(name)
		}
	})
}

func (s *scan) array(each func()) { s.items('[', ']', each) }

func (s *scan) text() string {
	s.want('"')
	from := s.i
	for ; s.err == nil && s.i < len(s.p); s.i++ {
		switch s.p[s.i] {
		case '"':
			s.i++
			if text, err := strconv.Unquote(string(s.p[from-1 : s.i])); err == nil {
				return text
			}
			s.fail("a text that can't be read")
			return ""
		case '\\':
			s.i++
		}
	}
	if s.err == nil {
		s.err = errCut
	}
	return ""
}

// bare is a number or a word.
func (s *scan) bare() string {
	s.next()
	from := s.i
	for s.err == nil && s.i < len(s.p) {
		if c := s.p[s.i]; c != '-' && c != '+' && c != '.' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && c != 'E' {
			break
		}
		s.i++
	}
	if s.err != nil {
		return ""
	}
	return string(s.p[from:s.i])
}

func (s *scan) number() float64 {
	n, err := strconv.ParseFloat(s.bare(), 64)
	if err != nil || !(n > -1e15 && n < 1e15) {
		s.fail("no number")
	}
	return n
}

func (s *scan) flag() bool {
	word := s.bare()
	if word != "true" && word != "false" {
		s.fail("neither true nor false")
	}
	return word == "true"
}

func (s *scan) skip(depth int) {
	if depth > 20 {
		s.fail("nested too deep")
	}
	switch s.next() {
	case '{':
		s.object(func(string) { s.skip(depth + 1) })
	case '[':
		s.array(func() { s.skip(depth + 1) })
	case '"':
		s.text()
	default:
		if s.bare() == "" {
			s.fail("no value")
		}
	}
}
