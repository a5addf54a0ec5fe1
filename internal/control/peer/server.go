package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	handshakeLimit = 5 * time.Second
	writeLimit     = 1 * time.Second
	idleLimit      = 60 * time.Second
	callsAtOnce    = 64 // under way on one connection
)

type handler func(ctx context.Context, body []byte) ([]byte, error)

// Server answers the calls of other daemons.
type Server struct {
	log      hclog.Logger
	key      string
	handlers map[Kind]handler

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server without handlers that talks to holders of the key.
func NewServer(log hclog.Logger, key string) *Server {
	return &Server{log: log.Named("peer"), key: key, handlers: make(map[Kind]handler), conns: make(map[net.Conn]struct{})}
}

// Handle registers the function for a kind of call. It must be called before Serve.
func Handle[Request, Answer any](s *Server, kind Kind, answer func(context.Context, Request) (Answer, error)) {
	s.handlers[kind] = func(ctx context.Context, body []byte) ([]byte, error) {
		var request Request
		if err := decode(body, &request); err != nil {
			return nil, err
		}
		result, err := answer(ctx, request)
		if err != nil {
			return nil, err
		}
		return encode(result)
	}
}

// Serve answers connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept peer")
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
	_ = conn.SetDeadline(time.Now().Add(handshakeLimit))
	if err := shakeHands(conn, s.key, roleAnswerer, roleCaller); err != nil {
		s.log.Warn("refused a connection", "address", conn.RemoteAddr().String(), "error", err)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	var writing sync.Mutex
	slots := make(chan struct{}, callsAtOnce)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleLimit))
		var call envelope
		if err := readFrame(conn, &call); err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.answer(ctx, conn, &writing, call)
		}()
	}
}

func (s *Server) answer(ctx context.Context, conn net.Conn, writing *sync.Mutex, call envelope) {
	reply := envelope{ID: call.ID}
	handle, ok := s.handlers[call.Kind]
	if !ok {
		reply.Error = "unknown kind " + string(call.Kind)
	} else {
		body, err := handle(ctx, call.Body)
		reply.Body = body
		if err != nil {
			reply.Error = err.Error()
		}
	}
	writing.Lock()
	defer writing.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(writeLimit))
	if err := writeFrame(conn, reply); err != nil {
		_ = conn.Close()
	}
}
