package callerconn

import (
	"time"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// The defaults apply to limits that are not configured, and to all limits until a
	// configuration is loaded.
	defaultHeaderTimeout = 5_000 * clock.Millis(1)
	defaultIdleTimeout   = 30_000 * clock.Millis(1)
	defaultHeaderBytes   = 64 << 10
	// idleSlack is added to the idle timeout, so that a caller which sends its next
	// request at the end of the timeout does not find the connection closed.
	idleSlack = 2 * time.Second
)

// withDefaults returns the limits with defaults in place of those that are not configured.
func withDefaults(limits catalog.Limits) catalog.Limits {
	limits.HeaderTimeout = orDefault(limits.HeaderTimeout, defaultHeaderTimeout)
	limits.IdleTimeout = orDefault(limits.IdleTimeout, defaultIdleTimeout)
	limits.HeaderBytes = orDefault(limits.HeaderBytes, defaultHeaderBytes)
	return limits
}

func orDefault[T int | clock.Millis](value, defaultValue T) T {
	if value <= 0 {
		return defaultValue
	}
	return value
}

// larger returns the larger of each of the limits of a connection.
func larger(a, b catalog.Limits) catalog.Limits {
	a.HeaderTimeout = max(a.HeaderTimeout, b.HeaderTimeout)
	a.IdleTimeout = max(a.IdleTimeout, b.IdleTimeout)
	a.HeaderBytes = max(a.HeaderBytes, b.HeaderBytes)
	return a
}
