package lines

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Open is the first line of a client that wants a connection.
type Open struct {
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

// Bare is the line without its end.
func Bare(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// ParseOpen reads OPEN ID KEY NAME=VALUE,...
func ParseOpen(line []byte) (*Open, error) {
	o := &Open{text: string(Bare(line))}
	if len(o.text) > Longest {
		return nil, fmt.Errorf("line of %d bytes", len(o.text))
	}
	parts := strings.Split(o.text, " ")
	if len(parts) != 4 || parts[0] != "OPEN" || parts[1] == "" || parts[2] == "" {
		return nil, fmt.Errorf("not an OPEN line: %.40q", o.text)
	}
	o.Key = parts[2]
	pos := len(o.text) - len(parts[3])
	for _, pair := range strings.Split(parts[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("no value in %.40q", pair)
		}
		switch name {
		case "c":
			o.Class = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms < 1e9) {
				return nil, fmt.Errorf("d is no time: %.40q", value)
			}
			o.Wait = int64(ms * 1000)
			o.dFrom, o.dUntil = pos+2, pos+len(pair)
		case "g":
			o.Group = value
		case "r", "again":
			o.Again = o.Again || value == "1"
		case "at":
			o.At = value
		case "h":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms < 1e12) {
				return nil, fmt.Errorf("h is no load: %.40q", value)
			}
			o.Hint = ms * 1000
		}
		pos += len(pair) + 1
	}
	if o.Class == "" || o.dFrom == 0 {
		return nil, fmt.Errorf("c or d is missing: %.40q", o.text)
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
