package scenario

import (
	"fmt"
	"time"
)

// Duration is a length of time in microseconds. In scripts it is written as a time.Duration, such as "250ms" or "12s".
type Duration int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"12s\"", text)
	}
	*s = Duration(d.Microseconds())
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Duration) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Seconds returns the span in seconds.
func (s Duration) Seconds() float64 { return float64(s) / 1e6 }

// String formats the span as a time.Duration.
func (s Duration) String() string { return (time.Duration(s) * time.Microsecond).String() }

// Microseconds returns the span in microseconds.
func (s Duration) Microseconds() int64 { return int64(s) }

const (
	millisecond = Duration(1000)
	second      = 1000 * millisecond
)
