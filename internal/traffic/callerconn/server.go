// Package callerconn accepts the connections of callers and serves HTTP/1.1 on them.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// maxHeaderBytes is the largest request header that a configuration can allow, in bytes.
const maxHeaderBytes = 1 << 20

// Server serves the connections of callers. An http.Server can't change its limits, so they
// are kept by the connections instead. Safe for concurrent use.
type Server struct {
	handler  http.Handler
	listener *connListener
	http     *http.Server
	limits   atomic.Pointer[catalog.Limits] // of new connections
}

// NewServer returns a server with default limits. Serve must be called to accept
// connections. The server closes the listener on Shutdown.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	s := &Server{handler: handler}
	s.listener = &connListener{Listener: listener, limits: s.currentLimits, closed: make(chan struct{})}
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.serveRequest),
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			ctx = context.WithValue(ctx, connKey{}, c)
			if conn, ok := c.(*conn); ok {
				// The HTTP server would end the context without the error of the read.
				ctx, conn.fail = context.WithCancelCause(ctx)
			}
			return ctx
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			conn, ok := c.(*conn)
			switch {
			case !ok:
			case state == http.StateActive:
				conn.requestBegan()
			case state == http.StateIdle:
				conn.requestEnded()
			}
		},
	}
	s.SetLimits(catalog.Limits{})
	return s
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// SetLimits sets the limits; limits of 0 get their defaults. An open connection keeps a
// limit that is lowered: its caller may have sent a request under the old one.
func (s *Server) SetLimits(limits catalog.Limits) {
	limits = withDefaults(limits)
	s.limits.Store(&limits)
}

func (s *Server) currentLimits() catalog.Limits { return *s.limits.Load() }

// serveRequest passes the request to the handler unless its header is too large.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*conn); ok {
		limit := conn.headerLimit()
		if size := headerBytes(r); size > limit {
			w.Header().Set("Connection", "close")
			result.Write(w, result.New(result.HeaderTooLarge, "the header has %d bytes, more than %d", size, limit), "")
			return
		}
	}
	s.handler.ServeHTTP(w, r)
}

// headerBytes returns the least size in which the header of the request can be sent, in
// bytes: optional white space is not counted.
func headerBytes(r *http.Request) int {
	const separators = len(":\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// Serve accepts connections until the listener is closed or fails.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "accept caller connection")
}

// Shutdown closes the listener and waits for in-flight requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	return errors.WithStack(s.http.Shutdown(ctx))
}

// connListener is a listener whose connections keep the limits.
type connListener struct {
	net.Listener
	limits    func() catalog.Limits
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case <-l.closed:
		// The HTTP server no longer serves it. The caller sees that nothing was read.
		_ = c.Close()
		return nil, net.ErrClosed
	default:
		return newConn(c, l.limits), nil
	}
}

// Close makes Accept return net.ErrClosed. It may be called more than once.
func (l *connListener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err
}
