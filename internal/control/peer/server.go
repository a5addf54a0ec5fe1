package peer

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/accept"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/logging"
)

const (
	handshakeTimeout   = 5 * time.Second
	writeTimeout       = 1 * time.Second
	idleTimeout        = 60 * time.Second
	maxConcurrentCalls = 64 // per connection
)

type handler func(ctx context.Context, body []byte) ([]byte, error)

// Server serves the calls of other daemons.
type Server struct {
	log      hclog.Logger
	key      string
	clock    *clock.System
	handlers map[Kind]handler
	group    *admission.ConnGroup // nil if nothing is counted

	handshakeLog logging.Limit

	mu    sync.Mutex
	conns map[net.Conn]struct{} // guarded by mu
}

// NewServer returns a server without handlers that only serves daemons that have the same
// key.
func NewServer(log hclog.Logger, key string) *Server {
	return &Server{log: log.Named("peer"), key: key, clock: clock.NewSystem(), handlers: make(map[Kind]handler), conns: make(map[net.Conn]struct{})}
}

// SetGroup makes the connections and their calls count in the group. It must be called before
// Serve.
func (s *Server) SetGroup(group *admission.ConnGroup) { s.group = group }

// Handle registers the handler of a kind of call. It must be called before Serve. The
// caller receives the text of an error that the handler returns.
func Handle[Req, Resp any](s *Server, kind Kind, handle func(context.Context, Req) (Resp, error)) {
	s.handlers[kind] = func(ctx context.Context, body []byte) ([]byte, error) {
		var request Req
		if err := decode(body, &request); err != nil {
			return nil, err
		}
		resp, err := handle(ctx, request)
		if err != nil {
			return nil, err
		}
		return encode(resp)
	}
}

// Serve accepts and serves connections until the listener is closed. It retries after
// network errors, and returns nil if the listener was closed or ctx has ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	listener = accept.Retrying(s.log, listener)
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept peer connection")
		}
		s.track(conn, true)
		go s.serveConn(ctx, conn)
	}
}

// CloseAll closes every open connection.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// track adds an open connection to conns, or removes a closed one.
func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = struct{}{}
		return
	}
	delete(s.conns, conn)
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.track(conn, false)
	defer func() { _ = conn.Close() }()
	calls := &connCalls{server: s, conn: conn, slots: make(chan struct{}, maxConcurrentCalls)}
	calls.holding = s.group.NewHolding(func(admission.Refusal) { _ = conn.Close() })
	if !calls.holding.Open(connBytes, s.clock.Now()) {
		return
	}
	defer calls.holding.Close()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := handshake(conn, s.key, roleServer, roleClient); err != nil {
		s.logHandshake(conn, err)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	for calls.serveNext(ctx) == nil {
	}
}

// logHandshake logs a failed handshake, unless one was logged a moment ago.
func (s *Server) logHandshake(conn net.Conn, err error) {
	if ok, suppressed := s.handshakeLog.Allow(s.clock.Now()); ok {
		s.log.Warn("peer handshake failed", "address", conn.RemoteAddr().String(), "error", err, "suppressed", suppressed)
	}
}

// callHandler returns an error if the handler panics: one call must not end the daemon.
func (s *Server) callHandler(ctx context.Context, kind Kind, handle handler, body []byte) (reply []byte, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			s.log.Error("handler of a peer call panicked", "kind", string(kind), "panic", recovered, "stack", string(debug.Stack()))
			err = errors.Errorf("the handler panicked: %v", recovered)
		}
	}()
	return handle(ctx, body)
}
