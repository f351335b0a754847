// Package lines parses the single lines of the client and host protocol and buffers bytes in rings.
package lines

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Open is the first line of a client that wants a connection.
type Open struct {
	ID     string
	Key    string
	Class  string
	Wait   int64 // how long the client will wait, microseconds
	Group  string
	Again  bool    // its client has come before
	At     string  // the host that holds the connection already
	Hint   float64 // work a second, microseconds
	text   string  // the line without its end
	dFrom  int     // where the value of d lies in it
	dUntil int
}

// What is wrong with a client's line. Few kinds, so that a flood of them can be counted.
var (
	ErrLong    = errors.New("line too long")
	ErrForm    = errors.New("not an OPEN line")
	ErrName    = errors.New("id, key, group or host is no name")
	ErrFigure  = errors.New("a figure without a name or value, or named twice")
	ErrWait    = errors.New("d is no time")
	ErrLoad    = errors.New("h is no load")
	ErrMissing = errors.New("c or d is missing")
)

const (
	longestName = 64
	mostWork    = 1e6 // milliseconds a second: no machine does so much
)

// Bare is the line without its end.
func Bare(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// isName tells whether hosts and logs can use a text as a name.
func isName(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case i > 0 && (c == '-' || c == '_' || c == '.' || c == ':'):
		default:
			return false
		}
	}
	return text != "" && len(text) <= longestName
}

func printable(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// ParseOpen reads OPEN ID KEY NAME=VALUE,... Guards hosts against what they can't use: they close on it, and would
// seem to fail. Figures of names that it does not know stay in the line.
func ParseOpen(line []byte) (*Open, error) {
	o := &Open{text: string(Bare(line))}
	if len(o.text) > Longest {
		return nil, ErrLong
	}
	parts := strings.Split(o.text, " ")
	if len(parts) != 4 || parts[0] != "OPEN" || !printable(o.text) {
		return nil, ErrForm
	}
	o.ID, o.Key = parts[1], parts[2]
	if !isName(o.ID) || !isName(o.Key) {
		return nil, ErrName
	}
	pos := len(o.text) - len(parts[3])
	seen := map[string]bool{}
	for _, pair := range strings.Split(parts[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || seen[name] || !isName(name) {
			return nil, ErrFigure
		}
		seen[name] = true
		switch name {
		case "c":
			o.Class = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms < 1e9) {
				return nil, ErrWait
			}
			o.Wait = int64(ms * 1000)
			o.dFrom, o.dUntil = pos+2, pos+len(pair)
		case "g":
			o.Group, ok = value, isName(value)
		case "r", "again":
			o.Again = o.Again || value == "1"
		case "at":
			o.At, ok = value, isName(value)
		case "h":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms <= mostWork) {
				return nil, ErrLoad
			}
			o.Hint = ms * 1000
		}
		if !ok {
			return nil, ErrName
		}
		pos += len(pair) + 1
	}
	if o.Class == "" || o.dFrom == 0 {
		return nil, ErrMissing
	}
	return o, nil
}

// Line is the line for a host: unchanged, but d tells how long this node will wait.
func (o *Open) Line(wait int64) []byte {
	b := append(make([]byte, 0, len(o.text)+12), o.text[:o.dFrom]...)
	b = strconv.AppendInt(b, max(wait/1000, 1), 10)
	b = append(b, o.text[o.dUntil:]...)
	return append(b, '\r', '\n')
}

// Word is what a host's line begins with.
type Word uint8

const (
	Other Word = iota
	Up
	Bye
	Move
	Err
	Busy
	Pong
	Load
)

// Answer reads a line of a host; load belongs to Load alone.
func Answer(line []byte) (w Word, load float64) {
	text := Bare(line)
	word, rest, more := bytes.Cut(text, []byte(" "))
	switch string(word) {
	case "UP":
		if more && len(rest) > 0 && !bytes.ContainsRune(rest, ' ') {
			return Up, 0
		}
	case "BYE":
		w = Bye
	case "MOVE":
		w = Move
	case "ERR":
		w = Err
	case "BUSY":
		return Busy, 0
	case "PONG":
		w = Pong
	case "LOAD":
		if n, err := strconv.ParseFloat(string(rest), 64); err == nil && n >= 0 && n < 1e12 {
			return Load, n
		}
	}
	if more {
		return Other, 0
	}
	return w, 0
}
