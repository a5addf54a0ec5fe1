package callerconn

import (
	"context"
	"sync"
	"time"
)

// connSet holds the open connections of a server. Safe for concurrent use.
type connSet struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

func (s *connSet) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// each calls f for each connection. f must not add or remove one.
func (s *connSet) each(f func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		f(c)
	}
}

func (s *connSet) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// emptyPollPeriod is how often awaitEmpty looks.
const emptyPollPeriod = 10 * time.Millisecond

// awaitEmpty waits until there is no connection. It returns the error of ctx if that ends before.
func (s *connSet) awaitEmpty(ctx context.Context) error {
	ticker := time.NewTicker(emptyPollPeriod)
	defer ticker.Stop()
	for !s.isEmpty() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
