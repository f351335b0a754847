// Package lines parses the line protocol of clients and hosts, and buffers the bytes of connections in ring buffers.
package lines

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

const (
	maxNameBytes       = 64
	maxTimeoutMs       = 1e9
	maxLoadMsPerSecond = 1e6  // no machine does that much work
	maxReportValue     = 1e12 // of the values that hosts report
)

// Open is the first line of a client that asks for a flow.
type Open struct {
	ID             string
	Key            string
	ServiceType    string // its name
	ConnectTimeout int64  // the client's connect timeout, microseconds
	Group          string
	Returning      bool    // this client has connected before
	CurrentHost    string  // the host that already holds the connection
	LoadHint       float64 // expected load, microseconds of work per second
	text           string  // the line without its line end
	timeoutStart   int     // byte offsets in text of the value of d
	timeoutEnd     int
}

// Errors of ParseOpen. They are few and carry no details, so that a flood of invalid lines can be counted by error. The
// lengths of their texts count in the memory that a node reports as held for log lines.
var (
	ErrTooLong          = errors.New("line too long")
	ErrNotOpen          = errors.New("not an OPEN line")
	ErrInvalidName      = errors.New("id, key, group or host is invalid")
	ErrInvalidParameter = errors.New("a parameter without name or value or given twice")
	ErrInvalidTimeout   = errors.New("d is invalid")
	ErrInvalidLoad      = errors.New("h is invalid")
	ErrMissingParameter = errors.New("c or d is missing")
)

// TrimLineEnd returns a line without its line end.
func TrimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// isName reports whether a text is safe as a name for hosts and in logs.
func isName(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case i > 0 && (c == '-' || c == '_' || c == '.' || c == ':'):
		default:
			return false
		}
	}
	return text != "" && len(text) <= maxNameBytes
}

// isPrintable reports whether a text has only printable ASCII characters.
func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// ParseOpen parses a line of the form OPEN ID KEY NAME=VALUE,... It is strict, because a host closes the connection on an
// invalid line and would seem to have failed. Parameters with unknown names stay in the line. The error is one of the
// Err variables of this package.
func ParseOpen(line []byte) (*Open, error) {
	o := &Open{text: string(TrimLineEnd(line))}
	if len(o.text) > MaxLineBytes {
		return nil, ErrTooLong
	}
	parts := strings.Split(o.text, " ")
	if len(parts) != 4 || parts[0] != "OPEN" || !isPrintable(o.text) {
		return nil, ErrNotOpen
	}
	o.ID, o.Key = parts[1], parts[2]
	if !isName(o.ID) || !isName(o.Key) {
		return nil, ErrInvalidName
	}
	pos := len(o.text) - len(parts[3]) // byte offset of pair in the line
	seen := map[string]bool{}
	for _, pair := range strings.Split(parts[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || seen[name] || !isName(name) {
			return nil, ErrInvalidParameter
		}
		seen[name] = true
		switch name {
		case "c":
			o.ServiceType = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms < maxTimeoutMs) {
				return nil, ErrInvalidTimeout
			}
			o.ConnectTimeout = int64(ms * 1000)
			o.timeoutStart, o.timeoutEnd = pos+len("d="), pos+len(pair)
		case "g":
			o.Group, ok = value, isName(value)
		case "r", "again":
			o.Returning = o.Returning || value == "1"
		case "at":
			o.CurrentHost, ok = value, isName(value)
		case "h":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms <= maxLoadMsPerSecond) {
				return nil, ErrInvalidLoad
			}
			o.LoadHint = ms * 1000
		}
		if !ok {
			return nil, ErrInvalidName
		}
		pos += len(pair) + 1
	}
	if o.ServiceType == "" || o.timeoutStart == 0 {
		return nil, ErrMissingParameter
	}
	return o, nil
}

// HostLine returns the line to send to a host: the client's line, with d replaced by timeout (microseconds), the time that
// this node will wait for the host.
func (o *Open) HostLine(timeout int64) []byte {
	b := append(make([]byte, 0, len(o.text)+12), o.text[:o.timeoutStart]...)
	b = strconv.AppendInt(b, max(timeout/1000, 1), 10)
	b = append(b, o.text[o.timeoutEnd:]...)
	return append(b, '\r', '\n')
}

// AnswerKind is the keyword of a line from a host.
type AnswerKind uint8

// The keywords. Other stands for any line that is not valid.
const (
	Other AnswerKind = iota
	Up
	Bye
	Move
	Err
	Busy
	Pong
	Load
)

// ParseAnswer parses a line from a host. load is set for Load only.
func ParseAnswer(line []byte) (kind AnswerKind, load float64) {
	text := TrimLineEnd(line)
	word, rest, hasRest := bytes.Cut(text, []byte(" "))
	switch string(word) {
	case "UP":
		if hasRest && len(rest) > 0 && !bytes.ContainsRune(rest, ' ') {
			return Up, 0
		}
	case "BYE":
		kind = Bye
	case "MOVE":
		kind = Move
	case "ERR":
		kind = Err
	case "BUSY":
		return Busy, 0
	case "PONG":
		kind = Pong
	case "LOAD":
		if n, err := strconv.ParseFloat(string(rest), 64); err == nil && n >= 0 && n < maxReportValue {
			return Load, n
		}
	}
	if hasRest {
		return Other, 0
	}
	return kind, 0
}
