package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnCanBeReset has a handler reset its connection, as it does with a response that
// must not look complete.
func TestConnCanBeReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		controller := http.NewResponseController(w)
		_, _ = io.WriteString(w, "part")
		assert.Check(t, controller.Flush())
		conn, _, err := controller.Hijack()
		assert.Check(t, err)
		linger, ok := conn.(interface{ SetLinger(sec int) error })
		assert.Check(t, ok)
		assert.Check(t, linger.SetLinger(0))
		assert.Check(t, conn.Close())
	}))
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestCauseOfReadFailure ends a caller's connection under its request. Guards against all such
// ends looking alike: the context of the request must tell the error of the read.
func TestCauseOfReadFailure(t *testing.T) {
	cases := map[string]struct {
		linger int // of the caller's close; negative for a close in order
		want   error
	}{
		"closed in order": {-1, io.EOF},
		"reset":           {0, syscall.ECONNRESET},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			begun, causes := make(chan struct{}), make(chan error, 1)
			s := NewServer(listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(begun)
				<-r.Context().Done()
				causes <- context.Cause(r.Context())
			}))
			go func() { _ = s.Serve() }()
			t.Cleanup(func() { assert.NilError(t, s.Shutdown(context.Background())) })
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n")
			assert.NilError(t, err)
			<-begun
			assert.NilError(t, conn.(*net.TCPConn).SetLinger(c.linger))
			assert.NilError(t, conn.Close())
			assert.ErrorIs(t, <-causes, c.want)
		})
	}
}
