package h1

import (
	"sync"
	"time"
)

const (
	// defaultKeepAlive is how long an idle connection stays usable if the server
	// sends no Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveFraction of the timeout that a server states is used. The rest covers
	// network delay and imprecise timers of the server.
	keepAliveFraction = 0.6
	// maxFreshIdle is the longest idle time of a connection for a call that must run
	// at most once: a server that has just responded is unlikely to close it.
	maxFreshIdle = 500 * time.Millisecond
)

// pool holds the idle connections to one address.
type pool struct {
	mu   sync.Mutex
	idle []*conn // least recently used first
}

// get returns a usable idle connection for a call with the ID, or nil. With fresh, the
// connection was in use within the last maxFreshIdle.
func (p *pool) get(now time.Time, id string, fresh bool) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		usable := defaultKeepAlive
		if c.keepAlive > 0 {
			usable = time.Duration(float64(c.keepAlive) * keepAliveFraction)
		}
		idle := now.Sub(c.idleSince)
		if fresh && idle >= min(usable, maxFreshIdle) {
			// All others have been idle for longer.
			p.put(c, c.idleSince)
			return nil
		}
		if idle < usable && c.isReusable() && !c.hasCarried(id) {
			return c
		}
		p.discard(c)
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = now
	p.idle = append(p.idle, c)
}

func (p *pool) discard(c *conn) {
	// The connection is not used again, so a failure to close it has no effect.
	_ = c.Close()
}

// closeIdle closes the connections that have been idle for longer than maxIdle.
func (p *pool) closeIdle(now time.Time, maxIdle time.Duration) {
	for {
		p.mu.Lock()
		if len(p.idle) == 0 || now.Sub(p.idle[0].idleSince) <= maxIdle {
			p.mu.Unlock()
			return
		}
		c := p.idle[0]
		p.idle = append(p.idle[:0:0], p.idle[1:]...)
		p.mu.Unlock()
		p.discard(c)
	}
}
