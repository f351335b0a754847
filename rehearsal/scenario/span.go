package scenario

import (
	"fmt"
	"time"
)

// Span is a length of time in microseconds. In scripts it is written as a time.Duration, such as "250ms" or "12s".
type Span int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"12s\"", text)
	}
	*s = Span(d.Microseconds())
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Seconds returns the span in seconds.
func (s Span) Seconds() float64 { return float64(s) / 1e6 }

// String formats the span as a time.Duration.
func (s Span) String() string { return (time.Duration(s) * time.Microsecond).String() }

// Us returns the span in microseconds.
func (s Span) Us() int64 { return int64(s) }

const (
	millisecond = Span(1000)
	second      = 1000 * millisecond
)
