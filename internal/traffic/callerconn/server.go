// Package callerconn accepts the connections of callers and serves HTTP/1.1 on them.
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
	// The defaults apply to limits that are not configured, and to all limits until a
	// configuration is loaded.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderBytes   = 64 << 10
	// idleSlack is added to the idle timeout, so that a caller which sends its next
	// request at the end of the timeout does not find the connection closed.
	idleSlack = 2 * time.Second
)

// Server serves the connections of callers. An http.Server can't change its limits, so
// SetLimits starts another one for the connections that are accepted from then on. Safe
// for concurrent use.
type Server struct {
	handler  http.Handler
	listener net.Listener
	stop     sync.Once
	stopped  chan struct{} // closed by Shutdown

	mu      sync.Mutex // guards the fields below
	limits  catalog.Limits
	servers []*http.Server // one per change of limits, newest last
	conns   chan net.Conn  // of the newest HTTP server
}

// NewServer returns a server with default limits. Serve must be called to accept
// connections. The server closes the listener on Shutdown.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	s := &Server{handler: handler, listener: listener, stopped: make(chan struct{})}
	s.SetLimits(catalog.Limits{})
	return s
}

// SetLimits sets the limits of new connections; limits of 0 get their defaults. Open
// connections keep their limits.
func (s *Server) SetLimits(limits catalog.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.servers) > 0 && limits == s.limits {
		return
	}
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout.Duration(), defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout.Duration(), defaultIdleTimeout) + idleSlack,
		MaxHeaderBytes:    defaultHeaderBytes,
	}
	if limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = limits.HeaderBytes
	}
	conns := make(chan net.Conn)
	s.limits, s.conns, s.servers = limits, conns, append(s.servers, server)
	go func() {
		// Returns when the server is shut down.
		_ = server.Serve(&connListener{conns: conns, address: s.listener.Addr(), closed: make(chan struct{})})
	}()
}

func orDefault(d, defaultValue time.Duration) time.Duration {
	if d <= 0 {
		return defaultValue
	}
	return d
}

// Serve accepts connections until the listener is closed or fails.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept caller connection")
		}
		s.mu.Lock()
		conns := s.conns
		s.mu.Unlock()
		select {
		case conns <- conn:
		case <-s.stopped:
			// No HTTP server may take it any more. The caller sees that nothing was read.
			_ = conn.Close()
		}
	}
}

// Shutdown closes the listener and waits for in-flight requests until ctx ends. It returns
// the first error of an HTTP server.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	s.stop.Do(func() { close(s.stopped) })
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	var firstErr error
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.WithStack(err)
		}
	}
	return firstErr
}

// connListener is a listener whose connections were accepted by Server.Serve.
type connListener struct {
	conns     chan net.Conn
	address   net.Addr
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept returns the next connection from conns, or net.ErrClosed after Close.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed. It may be called more than once.
func (l *connListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the listener that accepts the connections.
func (l *connListener) Addr() net.Addr { return l.address }
