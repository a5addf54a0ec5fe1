// Package clock provides the time source of the daemon, in milliseconds, and a
// manual clock for tests.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is an instant or a duration in milliseconds. Instants count from an
// arbitrary origin of the process and can't be compared between hosts.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock returns the current instant.
type Clock interface {
	Now() Millis
}

// System is the monotonic clock, which keeps running while the process is stopped.
type System struct {
	origin time.Time
}

// NewSystem returns a clock whose origin is one day in the past, so that the zero
// instant is always long ago.
func NewSystem() *System { return &System{origin: time.Now().Add(-24 * time.Hour)} }

// Now returns the milliseconds since the clock's origin.
func (s *System) Now() Millis { return Millis(time.Since(s.origin).Milliseconds()) }

// Manual is a clock that tests advance explicitly. Safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock set to start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the instant that the clock was last advanced to.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves the clock forward by d milliseconds.
func (m *Manual) Advance(d Millis) { m.now.Add(int64(d)) }
