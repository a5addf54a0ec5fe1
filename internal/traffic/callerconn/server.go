// Package callerconn accepts the connections of callers and serves HTTP/1.1 on them.
package callerconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// maxHeaderBytes is the largest request header that a configuration can allow, in bytes. Smaller
// limits are kept by the connections.
const maxHeaderBytes = 1 << 20

// defaultBodyTimeout is the time for a body that its handler sets no limit for.
const defaultBodyTimeout = 60 * time.Second

// Server serves the connections of callers. An http.Server can't change its limits, so they
// are kept by the connections instead. Safe for concurrent use.
type Server struct {
	// OnDropped is called for each request whose connection ends before the handler is called,
	// with the time since its first bytes arrived; its caller may not have sent all of it. It
	// must be set before Serve, and may be nil.
	OnDropped func(age time.Duration)

	handler  http.Handler
	listener *connListener
	http     *http.Server
	tls      *tls.Config                    // nil without TLS
	limits   atomic.Pointer[catalog.Limits] // of new connections
	group    *admission.ConnGroup           // nil if nothing is counted
	clock    *clock.System
	conns    connSet
	stopping atomic.Bool // idle connections are closed
}

// NewServer returns a server with default limits. Serve must be called to accept
// connections. The server closes the listener on Shutdown.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	s := &Server{handler: handler, clock: clock.NewSystem()}
	s.listener = &connListener{Listener: listener, server: s, closed: make(chan struct{})}
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.serveRequest),
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			accepted := underlying(c)
			// The HTTP server would end the context without the error of the read.
			ctx, fail := context.WithCancelCause(ctx)
			secured, _ := c.(*tls.Conn)
			accepted.attach(fail, secured)
			return context.WithValue(ctx, connKey{}, accepted)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateActive:
				underlying(c).requestBegan()
			case http.StateIdle:
				underlying(c).requestEnded()
			case http.StateNew, http.StateHijacked, http.StateClosed:
			}
		},
	}
	s.SetLimits(catalog.Limits{})
	return s
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// underlying returns the connection of the listener, below TLS.
func underlying(c net.Conn) *conn {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	accepted, _ := c.(*conn)
	return accepted
}

// SetTLS makes the server use TLS. It must be called before Serve.
func (s *Server) SetTLS(config *tls.Config) { s.tls = config }

// SetGroup makes the connections count in the group. It must be called before Serve.
func (s *Server) SetGroup(group *admission.ConnGroup) { s.group = group }

// now returns the time for the group.
func (s *Server) now() clock.Millis { return s.clock.Now() }

// SetBaseContext sets the context that those of all requests derive from. It must be called
// before Serve.
func (s *Server) SetBaseContext(ctx context.Context) {
	s.http.BaseContext = func(net.Listener) context.Context { return ctx }
}

// SetLimits sets the limits; limits of 0 get their defaults. An open connection keeps a
// limit that is lowered: its caller may have sent a request under the old one.
func (s *Server) SetLimits(limits catalog.Limits) {
	limits = withDefaults(limits)
	s.limits.Store(&limits)
}

func (s *Server) currentLimits() catalog.Limits { return *s.limits.Load() }

// serveRequest passes the request to the handler unless its header is too large or there is no
// memory for it.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*conn); ok {
		conn.handlerCalled()
		limit, size := conn.headerLimit(), headerBytes(r)
		if size > limit {
			s.group.Refuse(admission.RefusedHeader, admission.ConnReading, s.now())
			refuseRequest(w, result.New(result.HeaderTooLarge, "the header has %d bytes, more than %d", size, limit))
			return
		}
		if refused := conn.beginServing(r, size); refused != nil {
			refuseRequest(w, refused)
			return
		}
		if r.ContentLength != 0 {
			_ = conn.SetReadDeadline(time.Now().Add(defaultBodyTimeout)) // an error means that it is closed
			r.Body = &requestBody{r.Body, conn}
		}
	}
	s.handler.ServeHTTP(w, r)
}

// Serve accepts connections until the listener is closed or fails.
func (s *Server) Serve() error {
	var listener net.Listener = s.listener
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "accept caller connection")
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return errors.WithStack(s.http.Close()) }

// Shutdown closes the listener and the connections, once each is idle, and waits for that
// until ctx ends. Requests that arrive meanwhile reach the handler: http.Server.Shutdown would
// close their connections without an answer, though they have been read.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	s.stopping.Store(true)
	s.conns.each((*conn).applyLimits)
	return errors.WithStack(s.conns.awaitEmpty(ctx))
}

// connListener is a listener whose connections keep the limits.
type connListener struct {
	net.Listener
	server    *Server
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept returns the next connection that there is room for, or net.ErrClosed after Close. Others
// are closed unread, so that their callers can safely send their requests elsewhere.
func (l *connListener) Accept() (net.Conn, error) {
	for {
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
		}
		if accepted := newConn(c, l.server); accepted != nil {
			return accepted, nil
		}
		_ = c.Close()
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
