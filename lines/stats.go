package lines

import (
	"bytes"
	"strconv"
)

// Figures are the values of a host's load report, as their line has them.
type Figures [][]byte

// Stats reads the answer to a STATS probe, PONG with the values set apart by commas; ok is false for another line.
func Stats(line []byte) (f Figures, ok bool) {
	word, rest, more := bytes.Cut(Bare(line), []byte(" "))
	if string(word) != "PONG" || more && bytes.ContainsRune(rest, ' ') {
		return nil, false
	}
	if more {
		f = bytes.Split(rest, []byte(","))
	}
	return f, true
}

// At is the value at a place; ok is false where there is none that makes sense.
func (f Figures) At(no int) (v float64, ok bool) {
	if no < 0 || no >= len(f) {
		return 0, false
	}
	v, err := strconv.ParseFloat(string(f[no]), 64)
	return v, err == nil && v >= 0 && v < 1e12
}
