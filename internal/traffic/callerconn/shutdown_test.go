package callerconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stoppingServer is a server whose shutdown waits for a request, until release is closed.
type stoppingServer struct {
	*Server
	address string
	held    chan struct{} // closed when the request is being served
	release chan struct{}
	dropped atomic.Int64
}

func newStoppingServer(t *testing.T) *stoppingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &stoppingServer{address: listener.Addr().String(), held: make(chan struct{}), release: make(chan struct{})}
	f.Server = NewServer(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/held":
			close(f.held)
			<-f.release
		case "/late":
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	f.OnDropped = func(time.Duration) { f.dropped.Add(1) }
	go func() { _ = f.Serve() }()
	f.dial(t, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-f.held
	return f
}

// dial opens a connection and sends the text on it.
func (f *stoppingServer) dial(t *testing.T, text string) *callerOf {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &callerOf{Conn: conn, t: t, server: f.Server, reader: bufio.NewReader(conn)}
	c.write(text)
	return c
}

// TestShutdownAnswersRequests has requests arrive while the server shuts down. Guards against
// one that was read whole ending with its connection and without an answer: its caller doesn't
// learn what became of it, and may not repeat it.
func TestShutdownAnswersRequests(t *testing.T) {
	const late = "POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	cases := map[string]struct {
		kept          bool // a request was answered on the connection
		before, after string
	}{
		"new connection, request follows":    {after: late},
		"new connection, part of the header": {before: late[:10], after: late[10:]},
		"new connection, part of the body":   {before: late[:len(late)-2], after: late[len(late)-2:]},
		"kept connection, part of a header":  {kept: true, before: late[:10], after: late[10:]},
		"kept connection, part of a body":    {kept: true, before: late[:len(late)-2], after: late[len(late)-2:]},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStoppingServer(t)
			caller := f.dial(t, "")
			if c.kept {
				caller.write(small)
				caller.wantStatus(http.StatusOK)
			}
			caller.write(c.before)
			time.Sleep(50 * time.Millisecond) // until it is read
			ended := make(chan error, 1)
			go func() { ended <- f.Shutdown(context.Background()) }()
			time.Sleep(50 * time.Millisecond)
			caller.write(c.after)
			caller.wantStatus(http.StatusServiceUnavailable)
			close(f.release)
			assert.NilError(t, <-ended)
			assert.Equal(t, f.dropped.Load(), int64(0))
		})
	}
}

// TestShutdownClosesConnections shuts the server down while connections are open on which no
// whole request is under way. Guards against a stop that lasts as long as its callers stay
// connected, or as one of them takes for a header.
func TestShutdownClosesConnections(t *testing.T) {
	cases := map[string]struct {
		text     string
		answered bool
	}{
		"unused":                    {"", false},
		"kept":                      {small, true},
		"new, part of a header":     {small[:10], false},
		"kept, part of the next":    {small + small[:10], true},
		"kept, a line break behind": {small + "\r\n", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStoppingServer(t)
			caller := f.dial(t, c.text)
			if c.answered {
				caller.wantStatus(http.StatusOK)
			}
			time.Sleep(50 * time.Millisecond) // until it is read
			close(f.release)                  // the connection of this request becomes idle in the shutdown
			ctx, cancel := context.WithTimeout(context.Background(), 4*stopHeaderTime)
			defer cancel()
			assert.NilError(t, f.Shutdown(ctx))
			caller.wantClosed(time.Second)
		})
	}
}
