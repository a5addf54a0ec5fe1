// Package callerconn serves the connections of callers over HTTP/1.1.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
)

const (
	// defaultHeaderTime, defaultIdleTime and defaultHeaderBytes hold while no
	// configuration is known.
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = 30 * time.Second
	defaultHeaderBytes = 64 << 10
	// idleSlack is added to the idle time, so that a caller which uses it up doesn't
	// meet the closing of the connection.
	idleSlack = 2 * time.Second
)

// Server serves the connections of callers. The limits on time belong to a
// server of the library, so a change of limits starts another server, which gets
// the connections that come from then on.
type Server struct {
	handler  http.Handler
	listener net.Listener

	mu      sync.Mutex
	limits  catalog.Limits
	servers []*http.Server
	next    chan net.Conn // to the newest server
}

// NewServer returns a server on the listener.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	s := &Server{handler: handler, listener: listener}
	s.SetLimits(catalog.Limits{})
	return s
}

// SetLimits makes the limits hold for new connections.
func (s *Server) SetLimits(limits catalog.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.servers) > 0 && limits == s.limits {
		return
	}
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout.Duration(), defaultHeaderTime),
		IdleTimeout:       orDefault(limits.IdleTimeout.Duration(), defaultIdleTime) + idleSlack,
		MaxHeaderBytes:    defaultHeaderBytes,
	}
	if limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = limits.HeaderBytes
	}
	conns := make(chan net.Conn)
	s.limits, s.next, s.servers = limits, conns, append(s.servers, server)
	go func() {
		// It ends when the server is shut down.
		_ = server.Serve(&handedListener{conns: conns, address: s.listener.Addr(), closed: make(chan struct{})})
	}()
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) {
				// Out of descriptors, or the peer is gone already.
				time.Sleep(acceptPause)
				continue
			}
			return errors.Wrap(err, "accept caller")
		}
		s.mu.Lock()
		next := s.next
		s.mu.Unlock()
		next <- conn
	}
}

// acceptPause is the wait after an accept that failed.
const acceptPause = 20 * time.Millisecond

// Shutdown closes the listener and waits for the requests under way.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	var first error
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = errors.WithStack(err)
		}
	}
	return first
}

// handedListener hands out connections that were accepted elsewhere.
type handedListener struct {
	conns   chan net.Conn
	address net.Addr
	once    sync.Once
	closed  chan struct{}
}

// Accept returns the next connection.
func (l *handedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *handedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address at which callers connect.
func (l *handedListener) Addr() net.Addr { return l.address }
