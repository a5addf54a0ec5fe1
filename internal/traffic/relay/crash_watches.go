package relay

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// crashWatches are the servers that are watched for a crash, and until when. Safe for
// concurrent use.
type crashWatches struct {
	mu    sync.Mutex
	until map[quarantine.ServerStart]clock.Millis
}

// extend prolongs the watch of the server. It reports whether the caller must begin it.
func (c *crashWatches) extend(server quarantine.ServerStart, until clock.Millis) (begin bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until == nil {
		c.until = make(map[quarantine.ServerStart]clock.Millis)
	}
	current, watched := c.until[server]
	c.until[server] = max(current, until)
	return !watched
}

// goesOn reports whether the watch isn't over, and ends it otherwise.
func (c *crashWatches) goesOn(server quarantine.ServerStart, now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, watched := c.until[server]
	if !watched || now >= until {
		delete(c.until, server)
		return false
	}
	return true
}

// end ends the watch of the server.
func (c *crashWatches) end(server quarantine.ServerStart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.until, server)
}
