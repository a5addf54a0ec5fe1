package callerconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// callerOf is a caller with one connection to a server.
type callerOf struct {
	net.Conn
	t      *testing.T
	server *Server
	reader *bufio.Reader
}

// newCaller starts a server with the limits, whose handler answers once it has the body,
// or 3 s later if the path is /slow. The context of the request must not end until then.
func newCaller(t *testing.T, limits catalog.Limits) *callerOf {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/slow" {
			select {
			case <-time.After(3 * time.Second):
			case <-r.Context().Done():
				w.WriteHeader(http.StatusBadGateway)
			}
		}
	}))
	s.SetLimits(limits)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { assert.NilError(t, s.Shutdown(context.Background())) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &callerOf{Conn: conn, t: t, server: s, reader: bufio.NewReader(conn)}
}

func (c *callerOf) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// wantStatus reads a response.
func (c *callerOf) wantStatus(status int) http.Header {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, response.StatusCode, status)
	return response.Header
}

// wantClosed checks that the server closes the connection before the time has passed.
func (c *callerOf) wantClosed(within time.Duration) {
	c.t.Helper()
	assert.NilError(c.t, c.SetReadDeadline(time.Now().Add(within)))
	_, err := io.Copy(io.Discard, c.reader)
	assert.NilError(c.t, err)
}

const small = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// withHeader returns a request with a header of at least the size in bytes.
func withHeader(size int) string {
	return "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", size) + "\r\n\r\n"
}

// TestRaisedLimitsApplyToOpenConnections raises a limit while a caller keeps its
// connection. A request that the new limit allows must be answered: callers don't retry
// one that was refused, and take the new idle limit for granted.
func TestRaisedLimitsApplyToOpenConnections(t *testing.T) {
	cases := map[string]struct {
		old, raised catalog.Limits
		request     func(c *callerOf)
	}{
		"header bytes": {catalog.Limits{HeaderBytes: 2 << 10}, catalog.Limits{HeaderBytes: 32 << 10}, func(c *callerOf) {
			c.write(withHeader(16 << 10))
		}},
		"idle timeout": {catalog.Limits{IdleTimeout: 500}, catalog.Limits{IdleTimeout: 5_000}, func(c *callerOf) {
			time.Sleep(3 * time.Second)
			c.write(small)
		}},
		"header timeout": {catalog.Limits{HeaderTimeout: 300}, catalog.Limits{HeaderTimeout: 5_000}, func(c *callerOf) {
			c.write(small[:20])
			time.Sleep(time.Second)
			c.write(small[20:])
		}},
		"while a header arrives": {catalog.Limits{HeaderTimeout: 1_000}, catalog.Limits{HeaderTimeout: 5_000}, func(c *callerOf) {
			c.server.SetLimits(catalog.Limits{HeaderTimeout: 1_000})
			c.write(small[:20])
			time.Sleep(300 * time.Millisecond)
			c.server.SetLimits(catalog.Limits{HeaderTimeout: 5_000})
			time.Sleep(1500 * time.Millisecond)
			c.write(small[20:])
		}},
	}
	for name, limits := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCaller(t, limits.old)
			c.write(small)
			c.wantStatus(http.StatusOK)
			c.server.SetLimits(limits.raised)
			limits.request(c)
			c.wantStatus(http.StatusOK)
		})
	}
}

// TestLimitsInForce checks that callers are held to the limits.
func TestLimitsInForce(t *testing.T) {
	limits := catalog.Limits{HeaderBytes: 2 << 10, HeaderTimeout: 500, IdleTimeout: 500}
	cases := map[string]func(c *callerOf){
		"no first request": func(c *callerOf) { c.wantClosed(2 * time.Second) },
		"slow first header": func(c *callerOf) {
			c.write(small[:20])
			c.wantClosed(2 * time.Second)
		},
		"slow second header": func(c *callerOf) {
			c.write(small)
			c.wantStatus(http.StatusOK)
			c.write(small[:20])
			c.wantClosed(2 * time.Second)
		},
		"idle": func(c *callerOf) {
			c.write(small)
			c.wantStatus(http.StatusOK)
			c.wantClosed(limits.IdleTimeout.Duration() + idleSlack + 1500*time.Millisecond)
		},
		"large header": func(c *callerOf) {
			c.write(withHeader(4 << 10))
			h := c.wantStatus(http.StatusRequestHeaderFieldsTooLarge)
			assert.Equal(c.t, h.Get(result.HeaderCode), strconv.Itoa(result.HeaderTooLarge.Number))
			c.wantClosed(time.Second)
		},
		"large header, lowered for a new connection": func(c *callerOf) {
			c.server.SetLimits(catalog.Limits{HeaderBytes: 1 << 10})
			conn, err := net.Dial("tcp", c.RemoteAddr().String())
			assert.NilError(c.t, err)
			defer func() { _ = conn.Close() }()
			next := &callerOf{Conn: conn, t: c.t, server: c.server, reader: bufio.NewReader(conn)}
			next.write(withHeader(1500))
			next.wantStatus(http.StatusRequestHeaderFieldsTooLarge)
		},
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			request(newCaller(t, limits))
		})
	}
}

// TestServedBeyondLimits sends requests that no limit may end.
func TestServedBeyondLimits(t *testing.T) {
	limits := catalog.Limits{HeaderBytes: 2 << 10, HeaderTimeout: 300, IdleTimeout: 1}
	slow := strings.Replace(small, "/", "/slow", 1)
	cases := map[string]func(c *callerOf){
		"long response": func(c *callerOf) { c.write(slow) },
		"long responses, pipelined": func(c *callerOf) {
			c.write(slow + slow)
			c.wantStatus(http.StatusOK)
		},
		"slow body": func(c *callerOf) {
			c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n")
			time.Sleep(3 * time.Second)
			c.write("body")
		},
		"large body": func(c *callerOf) {
			c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8192\r\n\r\n" + strings.Repeat("x", 8192))
		},
		"large header, lowered for an open connection": func(c *callerOf) {
			c.write(small)
			c.wantStatus(http.StatusOK)
			c.server.SetLimits(catalog.Limits{HeaderBytes: 1 << 10})
			c.write(withHeader(1500))
		},
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCaller(t, limits)
			request(c)
			c.wantStatus(http.StatusOK)
		})
	}
}
