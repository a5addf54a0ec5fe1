// Package clock provides the only source of time in the project, in milliseconds.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is an instant or a duration in milliseconds. Instants count from an
// arbitrary origin of the process, so they can't be compared between hosts.
type Millis int64

// Duration converts m to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock tells the current instant.
type Clock interface {
	Now() Millis
}

// System reads the process's monotonic clock, which goes on while the process is stopped.
type System struct {
	origin time.Time
}

// NewSystem returns a clock whose origin lies a day back, so that an instant
// of zero always reads as long ago.
func NewSystem() *System { return &System{origin: time.Now().Add(-24 * time.Hour)} }

// Now returns the milliseconds since the clock's origin.
func (s *System) Now() Millis { return Millis(time.Since(s.origin).Milliseconds()) }

// Manual is a clock that tests move by hand. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that stands at start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the instant that the clock was last moved to.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves the clock forward by d milliseconds.
func (m *Manual) Advance(d Millis) { m.now.Add(int64(d)) }
