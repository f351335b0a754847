package simwire

import (
	"bytes"
	"fmt"
	"strconv"
)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// line is one message, split into its fields. The methods that begin with take read the fields in order; the first error is
// kept in err.
type line struct {
	number int
	name   []byte
	fields [][]byte // after the name
	next   int      // index of the next field
	err    error
}

// split reads a line without its line end.
func (l *line) split(raw []byte) {
	l.fields, l.next, l.err = l.fields[:0], 0, nil
	for {
		i := bytes.IndexByte(raw, '\t')
		if i < 0 {
			break
		}
		l.fields = append(l.fields, raw[:i])
		raw = raw[i+1:]
	}
	l.fields = append(l.fields, raw)
	l.name, l.fields = l.fields[0], l.fields[1:]
}

// fail records an error of a field, unless there is an earlier one.
func (l *line) fail(field, what string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: field %s %s", l.number, l.name, field, what)
	}
}

// isAbsent reports whether a field has no value.
func isAbsent(p []byte) bool { return len(p) == 0 || len(p) == 1 && p[0] == '-' }

// takeAny takes a field that may be absent.
func (l *line) takeAny(field string) []byte {
	if l.next >= len(l.fields) {
		l.fail(field, "is missing")
		return nil
	}
	l.next++
	return l.fields[l.next-1]
}

// takeText takes a field that must not be absent.
func (l *line) takeText(field string) []byte {
	p := l.takeAny(field)
	if l.err == nil && isAbsent(p) {
		l.fail(field, "is absent")
	}
	return p
}

// endOfLine returns the first error of the line. Fields that were not taken are an error.
func (l *line) endOfLine() error {
	if l.err == nil && l.next < len(l.fields) {
		l.err = fmt.Errorf("line %d: %s: %d extra fields", l.number, l.name, len(l.fields)-l.next)
	}
	return l.err
}

// takeCount takes a whole number that is not negative. An absent one is 0 if it is optional, and an error otherwise.
func (l *line) takeCount(field string, optional bool) int64 {
	p := l.takeAny(field)
	if optional && len(p) == 1 && p[0] == '-' {
		return 0
	}
	n, err := strconv.ParseInt(string(p), 10, 64)
	if err != nil || n < 0 {
		l.fail(field, fmt.Sprintf("is not a whole number: %q", p))
	}
	return n
}

// takeIndex takes a whole number below limit.
func (l *line) takeIndex(field string, limit int, optional bool) int {
	n := l.takeCount(field, optional)
	if l.err == nil && n >= int64(limit) {
		l.fail(field, fmt.Sprintf("is %d, want less than %d", n, limit))
	}
	return int(n)
}

// takeFlag takes 0 for false or 1 for true.
func (l *line) takeFlag(field string) bool { return l.takeIndex(field, 2, false) == 1 }

// takeNumber takes a finite number. An absent one is 0.
func (l *line) takeNumber(field string) float64 {
	p := l.takeAny(field)
	if len(p) == 1 && p[0] == '-' {
		return 0
	}
	n, err := strconv.ParseFloat(string(p), 64)
	if err != nil || !(n > -1e15 && n < 1e15) {
		l.fail(field, fmt.Sprintf("is not a number: %q", p))
	}
	return n
}

// takeMicros takes a time in milliseconds and returns whole microseconds. An absent one is 0. Times of digits with up
// to three decimals are parsed without floating point.
func (l *line) takeMicros(field string) int64 {
	p := l.takeAny(field)
	if len(p) == 1 && p[0] == '-' {
		return 0
	}
	whole, thousandths, digits := int64(0), int64(0), 0
	i := 0
	for ; i < len(p) && p[i] >= '0' && p[i] <= '9' && i < 15; i++ {
		whole = whole*10 + int64(p[i]-'0')
	}
	hasDigits := i > 0
	if i < len(p) && p[i] == '.' {
		for i++; i < len(p) && p[i] >= '0' && p[i] <= '9' && digits < 3; i++ {
			thousandths = thousandths*10 + int64(p[i]-'0')
			digits++
		}
		for ; digits < 3; digits++ {
			thousandths *= 10
		}
	}
	if hasDigits && i == len(p) {
		return whole*1000 + thousandths
	}
	n, err := strconv.ParseFloat(string(p), 64)
	if err != nil || !(n > -1e12 && n < 1e12) {
		l.fail(field, fmt.Sprintf("is not a time: %q", p))
	}
	return int64(n*1000 + 0.5)
}

// hashOf is the 64-bit FNV-1a hash.
func hashOf(p []byte) uint64 {
	h := uint64(fnvOffset)
	for _, c := range p {
		h = (h ^ uint64(c)) * fnvPrime
	}
	return h
}

// keyHash returns the hash of a flow's key, 0 if it has none.
func keyHash(p []byte) uint64 {
	if isAbsent(p) {
		return 0
	}
	return hashOf(p)
}
