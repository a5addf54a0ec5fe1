package callerconn

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateListener returns a connection that was accepted before Close only after it.
type lateListener struct {
	net.Listener
	accepting chan struct{}
	closed    chan struct{}
	conn      net.Conn
	accepted  bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	if l.accepted {
		return nil, net.ErrClosed
	}
	l.accepted = true
	close(l.accepting)
	<-l.closed
	time.Sleep(50 * time.Millisecond) // until the HTTP servers are shut down
	return l.conn, nil
}

func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestServeEndsAfterShutdown accepts a connection while the server is shut down. Serve
// must return and close the connection, which no HTTP server takes any more.
func TestServeEndsAfterShutdown(t *testing.T) {
	caller, conn := net.Pipe()
	listener := &lateListener{accepting: make(chan struct{}), closed: make(chan struct{}), conn: conn}
	s := NewServer(listener, http.NotFoundHandler())
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	<-listener.accepting
	assert.NilError(t, s.Shutdown(context.Background()))
	select {
	case err := <-served:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("Serve still blocks")
	}
	_, err := caller.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}
