package logging

import (
	"sync/atomic"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// limitPeriod is the least time between two log lines of a kind.
const limitPeriod = 1_000 * clock.Millis(1)

// Limit bounds the number of log lines of one kind. The zero value allows the first one. It is
// safe for concurrent use.
type Limit struct {
	lastAt     atomic.Int64 // in clock ms
	suppressed atomic.Int64
}

// Allow reports whether a line may be logged at the time, and how many were not since the
// last one.
func (l *Limit) Allow(now clock.Millis) (ok bool, suppressed int64) {
	last := l.lastAt.Load()
	if (last != 0 && int64(now)-last < int64(limitPeriod)) || !l.lastAt.CompareAndSwap(last, int64(now)) {
		l.suppressed.Add(1)
		return false, 0
	}
	return true, l.suppressed.Swap(0)
}

// maxTextBytes bounds a text in a log line that a caller has chosen.
const maxTextBytes = 64

// Text returns the beginning of a text that a caller has chosen: a line with all of it may be too
// long for the Writer.
func Text(text string) string { return text[:min(len(text), maxTextBytes)] }
