package simwire

import (
	"bytes"
	"fmt"
	"strconv"
)

// line is one message, cut into parts; take reads them in order.
type line struct {
	no    int
	name  []byte
	parts [][]byte
	next  int
	err   error
}

func (l *line) cut(raw []byte) {
	l.parts, l.next, l.err = l.parts[:0], 0, nil
	for {
		i := bytes.IndexByte(raw, '\t')
		if i < 0 {
			break
		}
		l.parts = append(l.parts, raw[:i])
		raw = raw[i+1:]
	}
	l.parts = append(l.parts, raw)
	l.name, l.parts = l.parts[0], l.parts[1:]
}

func (l *line) fail(field, what string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: field %s %s", l.no, l.name, field, what)
	}
}

func (l *line) take(field string) []byte {
	if l.next >= len(l.parts) {
		l.fail(field, "is missing")
		return nil
	}
	l.next++
	return l.parts[l.next-1]
}

// text takes a part that must be there.
func (l *line) text(field string) []byte {
	p := l.take(field)
	if l.err == nil && (len(p) == 0 || len(p) == 1 && p[0] == '-') {
		l.fail(field, "is absent")
	}
	return p
}

// end reports parts left over.
func (l *line) end() error {
	if l.err == nil && l.next < len(l.parts) {
		l.err = fmt.Errorf("line %d: %s: %d parts too many", l.no, l.name, len(l.parts)-l.next)
	}
	return l.err
}

// count takes a whole number from 0; an absent one is 0 where that is allowed.
func (l *line) count(field string, absent bool) int64 {
	p := l.take(field)
	if absent && len(p) == 1 && p[0] == '-' {
		return 0
	}
	n, err := strconv.ParseInt(string(p), 10, 64)
	if err != nil || n < 0 {
		l.fail(field, fmt.Sprintf("is no whole number: %q", p))
	}
	return n
}

// index takes a whole number below most.
func (l *line) index(field string, most int, absent bool) int {
	n := l.count(field, absent)
	if l.err == nil && n >= int64(most) {
		l.fail(field, fmt.Sprintf("is %d, out of %d", n, most))
	}
	return int(n)
}

func (l *line) flag(field string) bool { return l.index(field, 2, false) == 1 }

// number takes a plain number; an absent one is 0.
func (l *line) number(field string) float64 {
	p := l.take(field)
	if len(p) == 1 && p[0] == '-' {
		return 0
	}
	n, err := strconv.ParseFloat(string(p), 64)
	if err != nil || !(n > -1e15 && n < 1e15) {
		l.fail(field, fmt.Sprintf("is no number: %q", p))
	}
	return n
}

// time takes milliseconds and gives whole microseconds; an absent one is 0.
func (l *line) time(field string) int64 {
	p := l.take(field)
	if len(p) == 1 && p[0] == '-' {
		return 0
	}
	whole, frac, digits := int64(0), int64(0), 0
	i := 0
	for ; i < len(p) && p[i] >= '0' && p[i] <= '9' && i < 15; i++ {
		whole = whole*10 + int64(p[i]-'0')
	}
	plain := i > 0
	if i < len(p) && p[i] == '.' {
		for i++; i < len(p) && p[i] >= '0' && p[i] <= '9' && digits < 3; i++ {
			frac = frac*10 + int64(p[i]-'0')
			digits++
		}
		for ; digits < 3; digits++ {
			frac *= 10
		}
	}
	if plain && i == len(p) {
		return whole*1000 + frac
	}
	n, err := strconv.ParseFloat(string(p), 64)
	if err != nil || !(n > -1e12 && n < 1e12) {
		l.fail(field, fmt.Sprintf("is no time: %q", p))
	}
	return int64(n*1000 + 0.5)
}

func hash(p []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range p {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// key is the hash of a flow's key, 0 where it has none.
func key(p []byte) uint64 {
	if len(p) == 0 || len(p) == 1 && p[0] == '-' {
		return 0
	}
	return hash(p)
}
