package admission

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

const (
	// startupTime is the time after its start within which a daemon usually has read the
	// tables that it routes by. Later, a missing table means that the store is away.
	startupTime = 1_000 * clock.Millis(1)
	// startupHoldShare is the share of its timeout that a request may wait.
	startupHoldShare = 0.25
)

// StartupHold returns until when a request may wait for the daemon to read its tables
// after a start. A timeout of 0 is unknown.
//
// Load pattern: all daemons restart at once, and their callers come back within some
// hundred milliseconds, before the tables have been read. A rejected caller would come
// back to another daemon that has just started, and has few retries.
func StartupHold(startedAt, receivedAt, timeout clock.Millis) clock.Millis {
	until := startedAt + startupTime
	if timeout > 0 {
		until = min(until, receivedAt+clock.Millis(startupHoldShare*float64(timeout)))
	}
	return until
}
