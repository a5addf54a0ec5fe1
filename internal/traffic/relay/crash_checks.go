package relay

import (
	"context"
	"sync"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
)

// maxCrashCheck is how long a retry waits for the check of the server that broke off.
const maxCrashCheck = 100 * time.Millisecond

// crashChecks are the checks of servers that may have crashed. A request whose server broke
// off waits for the check: it may be the cause, and its retry would crash the next server.
// Safe for concurrent use.
type crashChecks struct {
	mu      sync.Mutex
	pending map[quarantine.ServerStart]chan struct{} // closed at the end of the check
}

// run runs the check of the server.
func (c *crashChecks) run(server quarantine.ServerStart, check func()) {
	done := make(chan struct{})
	c.mu.Lock()
	if c.pending == nil {
		c.pending = make(map[quarantine.ServerStart]chan struct{})
	}
	c.pending[server] = done
	c.mu.Unlock()
	go func() {
		check()
		c.mu.Lock()
		delete(c.pending, server)
		c.mu.Unlock()
		close(done)
	}()
}

// wait returns after the check of the server, if there is one, or after maxCrashCheck.
func (c *crashChecks) wait(ctx context.Context, server quarantine.ServerStart) {
	c.mu.Lock()
	done, checking := c.pending[server]
	c.mu.Unlock()
	if !checking {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(maxCrashCheck):
	}
}
