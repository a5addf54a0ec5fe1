package callerconn

import (
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
