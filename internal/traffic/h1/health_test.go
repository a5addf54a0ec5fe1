package h1

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestCheckHealth guards against a server that is exiting counting as one that goes on, because its
// listener is closed after the connection of an answer, and against one that is busy counting as
// one that exits.
func TestCheckHealth(t *testing.T) {
	answer := func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Server: s1\r\n\r\n")
	}
	cases := map[string]struct {
		serve          func(net.Conn) // before the connection is closed; nil doesn't listen
		path           string
		sent, timedOut bool
		server         string
	}{
		"doesn't listen":         {nil, "/health", false, false, ""},
		"answers":                {answer, "/health", true, false, "s1"},
		"busy":                   {func(net.Conn) { time.Sleep(time.Second) }, "/health", true, true, ""},
		"busy, no health path":   {func(net.Conn) { time.Sleep(time.Second) }, "", true, true, ""},
		"exits a bit late":       {func(net.Conn) { time.Sleep(10 * time.Millisecond) }, "/health", true, false, ""},
		"exits late, no path":    {func(net.Conn) { time.Sleep(10 * time.Millisecond) }, "", true, false, ""},
		"ends within its answer": {func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Ser") }, "/health", true, false, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			if c.serve == nil {
				assert.NilError(t, listener.Close())
			}
			go func() {
				conn, err := listener.Accept()
				if err == nil {
					c.serve(conn)
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			}()
			client := NewClient(func(http.Header) string { return "" })
			header, err := client.CheckHealth(t.Context(), listener.Addr().String(), c.path, time.Now().Add(500*time.Millisecond))
			if c.server != "" {
				assert.NilError(t, err)
				assert.Equal(t, header.Get("X-Server"), c.server)
				return
			}
			var callErr *CallError
			assert.Assert(t, errors.As(err, &callErr))
			assert.Equal(t, callErr.Sent, c.sent)
			assert.Equal(t, callErr.TimedOut, c.timedOut)
		})
	}
}

// TestCheckHealthWithoutConnection has an address take no connection, as with a host that is gone.
// Guards against a server that can't be reached counting as one that keeps its connection open.
func TestCheckHealthWithoutConnection(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}).String()
	for range 2 { // as many as the queue of the listener takes
		if conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	client := NewClient(func(http.Header) string { return "" })
	_, err = client.CheckHealth(t.Context(), address, "/health", time.Now().Add(time.Second))
	var callErr *CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Assert(t, !callErr.Sent, "%v", err)
}
