package lines

import (
	"bytes"
	"strconv"
)

// LoadReport holds the values of a host's load report, as texts.
type LoadReport [][]byte

// ParseStats parses the answer to a STATS probe: PONG and the values, separated by commas. ok is false for any other line.
func ParseStats(line []byte) (report LoadReport, ok bool) {
	word, rest, hasRest := bytes.Cut(TrimLineEnd(line), []byte(" "))
	if string(word) != "PONG" || hasRest && bytes.ContainsRune(rest, ' ') {
		return nil, false
	}
	if hasRest {
		report = bytes.Split(rest, []byte(","))
	}
	return report, true
}

// Value returns the value at an index. ok is false if there is no value there, or no valid one.
func (r LoadReport) Value(index int) (value float64, ok bool) {
	if index < 0 || index >= len(r) {
		return 0, false
	}
	value, err := strconv.ParseFloat(string(r[index]), 64)
	return value, err == nil && value >= 0 && value < maxReportValue
}
