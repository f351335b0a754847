// Package discovery parses the responses of the discovery service: HTTP/1.1 responses, chunked or plain, whose body is a
// sequence of JSON lists of hosts, each ended by a line end.
package discovery

import (
	"errors"
	"fmt"
	"strconv"
)

const (
	maxNesting = 20   // depth of values that are skipped
	maxNumber  = 1e15 // magnitude that is still exact as an integer in a float64
)

// Entry is one host of a list. It is encoded as JSON under its field names when a process hands its list over.
type Entry struct {
	UID, Endpoint, Zone string  // Endpoint is the host's address and port
	Cell                int     // the host's cell ("pod_group"); hosts of one cell may recognise repeats of each other's flows
	State               string  // ready, draining or gone
	Size                float64 // capacity relative to other hosts ("capacity_hint"); 1 if the list does not say
	BootMs              int64   // when the host started ("boot_ms"), milliseconds since 1970
}

// List is a whole list of hosts (All), or the entries that changed. Like Entry, it is encoded under its field names.
type List struct {
	Rev     int64 // revision of the list, from which a watch can continue
	All     bool
	Entries []Entry
}

// ParseList parses one list. Unknown JSON fields are skipped.
func ParseList(p []byte) (List, error) {
	s := &scanner{input: p}
	var l List
	hasRev := false
	s.parseObject(func(name string) {
		switch name {
		case "rev":
			l.Rev = int64(s.parseNumber())
			hasRev = true
		case "all":
			l.All = s.parseBool()
		case "targets":
			s.parseArray(func() { l.Entries = append(l.Entries, s.parseEntry()) })
		default:
			s.skipValue(0)
		}
	})
	if s.skipSpace(); s.err == nil && s.offset < len(p) {
		s.fail("unexpected text after the list")
	}
	if s.err == nil && !hasRev {
		s.fail("missing rev")
	}
	return l, s.err
}

func (s *scanner) parseEntry() Entry {
	e := Entry{Size: 1}
	s.parseObject(func(name string) {
		switch name {
		case "uid":
			e.UID = s.parseString()
		case "endpoint":
			e.Endpoint = s.parseString()
		case "az":
			e.Zone = s.parseString()
		case "pod_group":
			e.Cell = int(s.parseNumber())
		case "state":
			e.State = s.parseString()
		case "capacity_hint":
			e.Size = s.parseNumber()
		case "boot_ms":
			e.BootMs = int64(s.parseNumber())
		default:
			s.skipValue(0)
		}
	})
	if s.err == nil && (e.UID == "" || e.State != "ready" && e.State != "draining" && e.State != "gone") {
		s.fail("entry without uid or with an unknown state")
	}
	return e
}

var errTruncated = errors.New("discovery: list is truncated")

// scanner parses JSON text and keeps the first error. After an error its methods return zero values.
type scanner struct {
	input  []byte
	offset int
	err    error
}

func (s *scanner) fail(problem string) {
	if s.err == nil {
		s.err = fmt.Errorf("discovery: %s at byte %d", problem, s.offset)
	}
}

func (s *scanner) skipSpace() {
	for s.offset < len(s.input) {
		switch s.input[s.offset] {
		case ' ', '\t', '\r', '\n':
			s.offset++
		default:
			return
		}
	}
}

// peek returns the next byte that is not white space, or 0 at the end and after an error. It does not consume the byte.
func (s *scanner) peek() byte {
	if s.err != nil {
		return 0
	}
	if s.skipSpace(); s.offset >= len(s.input) {
		s.err = errTruncated
		return 0
	}
	return s.input[s.offset]
}

// expect consumes the next byte that is not white space, which has to be c.
func (s *scanner) expect(c byte) {
	if got := s.peek(); got != c && s.err == nil {
		s.fail(fmt.Sprintf("found %q, expected %q", got, c))
	}
	s.offset++
}

// parseItems calls parseItem for every item of a comma-separated sequence in brackets.
func (s *scanner) parseItems(open, end byte, parseItem func()) {
	s.expect(open)
	if s.peek() == end {
		s.offset++
		return
	}
	for s.err == nil {
		parseItem()
		if s.peek() != ',' {
			s.expect(end)
			return
		}
		s.offset++
	}
}

// parseObject calls parseField with the name of every field of a JSON object. parseField parses the value.
func (s *scanner) parseObject(parseField func(name string)) {
	s.parseItems('{', '}', func() {
		name := s.parseString()
		s.expect(':')
		if s.err == nil {
			parseField(name)
		}
	})
}

// parseArray calls parseItem for every item of a JSON array.
func (s *scanner) parseArray(parseItem func()) { s.parseItems('[', ']', parseItem) }

func (s *scanner) parseString() string {
	s.expect('"')
	start := s.offset
	for ; s.err == nil && s.offset < len(s.input); s.offset++ {
		switch s.input[s.offset] {
		case '"':
			s.offset++
			if text, err := strconv.Unquote(string(s.input[start-1 : s.offset])); err == nil {
				return text
			}
			s.fail("invalid string")
			return ""
		case '\\':
			s.offset++
		}
	}
	if s.err == nil {
		s.err = errTruncated
	}
	return ""
}

// parseLiteral returns the text of a number, of true, false or null, or "" if there is none.
func (s *scanner) parseLiteral() string {
	s.peek()
	start := s.offset
	for s.err == nil && s.offset < len(s.input) {
		if !isLiteralByte(s.input[s.offset]) {
			break
		}
		s.offset++
	}
	if s.err != nil {
		return ""
	}
	return string(s.input[start:s.offset])
}

func isLiteralByte(c byte) bool {
	return c == '-' || c == '+' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c == 'E'
}

func (s *scanner) parseNumber() float64 {
	n, err := strconv.ParseFloat(s.parseLiteral(), 64)
	if err != nil || !(n > -maxNumber && n < maxNumber) {
		s.fail("invalid number")
	}
	return n
}

func (s *scanner) parseBool() bool {
	literal := s.parseLiteral()
	if literal != "true" && literal != "false" {
		s.fail("value is neither true nor false")
	}
	return literal == "true"
}

// skipValue skips a value of any type at a depth of nested values.
func (s *scanner) skipValue(depth int) {
	if depth > maxNesting {
		s.fail("values are nested too deeply")
	}
	switch s.peek() {
	case '{':
		s.parseObject(func(string) { s.skipValue(depth + 1) })
	case '[':
		s.parseArray(func() { s.skipValue(depth + 1) })
	case '"':
		s.parseString()
	default:
		if s.parseLiteral() == "" {
			s.fail("missing value")
		}
	}
}
