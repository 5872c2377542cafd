// Package clock gives the shells the time that they pass to the cores.
package clock

import "time"

// Clock measures the time since it was made by New.
type Clock struct {
	start time.Time
}

// New returns a clock that starts now.
func New() Clock { return Clock{start: time.Now()} }

// Now returns the time since the start: the larger of what the monotonic and
// the wall clock say. A VM that was suspended may have stopped the monotonic
// clock, and a lease must not seem younger for it.
func (c Clock) Now() time.Duration {
	now := time.Now()
	return max(now.Sub(c.start), now.Round(0).Sub(c.start.Round(0)))
}

// Epoch returns the wall-clock time of the start, in milliseconds since 1970.
func (c Clock) Epoch() int64 { return c.start.UnixMilli() }
