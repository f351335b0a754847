package scenario

import (
	"fmt"
	"time"
)

// Span is a length of time, written as "250ms" or "12s". Whole microseconds.
type Span int64

func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as \"250ms\" or \"12s\"", text)
	}
	*s = Span(d.Microseconds())
	return nil
}

func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Seconds is the span in seconds.
func (s Span) Seconds() float64 { return float64(s) / 1e6 }

func (s Span) String() string { return (time.Duration(s) * time.Microsecond).String() }

// Us is the span in microseconds.
func (s Span) Us() int64 { return int64(s) }

const (
	millisecond = Span(1000)
	second      = 1000 * millisecond
)
