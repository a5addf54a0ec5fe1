package h1

import (
	"sync"
	"time"
)

const (
	// keepIdle is how long an idle connection is used again where the server
	// doesn't say how long it keeps one.
	keepIdle = 4 * time.Second
	// keepShare of the time that a server states is taken as safe: the rest
	// covers the way and the server's own slack.
	keepShare = 0.6
	// freshIdle is how lately a connection must have been used for a call that
	// may run only once: a server that just answered is unlikely to close.
	freshIdle = 500 * time.Millisecond
)

// pool holds the connections to one address.
type pool struct {
	mu   sync.Mutex
	idle []*conn // used longest ago first
}

// take returns an idle connection that is fit for use, or nil.
func (p *pool) take(now time.Time, atMostOnce bool) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		keep := keepIdle
		if c.keep > 0 {
			keep = time.Duration(float64(c.keep) * keepShare)
		}
		idle := now.Sub(c.idleAt)
		if atMostOnce && idle >= min(keep, freshIdle) {
			// Those below were used longer ago.
			p.put(c, c.idleAt)
			return nil
		}
		if idle < keep && c.isQuiet() {
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
	c.idleAt = now
	p.idle = append(p.idle, c)
}

func (p *pool) discard(c *conn) {
	// Whatever is wrong with the connection, nothing more is wanted of it.
	_ = c.Close()
}

// closeOlder closes the connections that have been idle for longer than age.
func (p *pool) closeOlder(now time.Time, age time.Duration) {
	for {
		p.mu.Lock()
		if len(p.idle) == 0 || now.Sub(p.idle[0].idleAt) <= age {
			p.mu.Unlock()
			return
		}
		c := p.idle[0]
		p.idle = append(p.idle[:0:0], p.idle[1:]...)
		p.mu.Unlock()
		p.discard(c)
	}
}
