package scenario

import (
	"fmt"
	"time"
)

// Duration is a length of time in microseconds. In scripts it is written as a time.Duration, such as "250ms" or "12s".
type Duration int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"12s\"", text)
	}
	*d = Duration(parsed.Microseconds())
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return float64(d) / 1e6 }

// String formats the duration as a time.Duration.
func (d Duration) String() string { return (time.Duration(d) * time.Microsecond).String() }

// Microseconds returns the duration in microseconds.
func (d Duration) Microseconds() int64 { return int64(d) }

const (
	millisecond = Duration(1000)
	second      = 1000 * millisecond
)
