package callerconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
)

// countedServer is a server whose connections count, and whose handler reads bodies of at most
// maxTestBody bytes.
type countedServer struct {
	t        *testing.T
	address  string
	budget   *admission.ConnBudget
	group    *admission.ConnGroup
	refusals chan admission.Refusal
}

const maxTestBody = 1 << 20

func newCountedServer(t *testing.T, memory int64, conns int, limits catalog.Limits, bodyTimeout time.Duration) *countedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &countedServer{t: t, address: listener.Addr().String(), budget: admission.NewConnBudget(memory), refusals: make(chan admission.Refusal, 100)}
	s.budget.OnRefused = func(r admission.Refusal) { s.refusals <- r }
	s.group = s.budget.NewGroup("callers", conns, false)
	server := NewServer(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, rejection := ReadBody(w, r, maxTestBody, bodyTimeout)
		if rejection != nil {
			w.WriteHeader(rejection.Code.HTTPStatus)
			return
		}
		if r.URL.Path == "/held" {
			_, _ = fmt.Fprint(w, s.budget.Used())
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}))
	server.SetLimits(limits)
	server.SetGroup(s.group)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { assert.NilError(t, server.Shutdown(context.Background())) })
	return s
}

// dial opens a connection and sends the text.
func (s *countedServer) dial(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	assert.NilError(s.t, err)
	return conn
}

// answer reads what arrives on the connection until it is closed.
func (s *countedServer) answer(conn net.Conn) string {
	s.t.Helper()
	assert.NilError(s.t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	text, _ := io.ReadAll(conn)
	return string(text)
}

// wantRefusal waits for a refusal.
func (s *countedServer) wantRefusal(reason admission.RefusalReason, phase admission.ConnPhase) {
	s.t.Helper()
	select {
	case r := <-s.refusals:
		assert.Equal(s.t, r.Reason, reason)
		assert.Equal(s.t, r.Phase, phase)
	case <-time.After(20 * time.Second):
		s.t.Fatal("nothing is refused")
	}
}

// awaitUsed waits until the connections hold at least the bytes, or nothing if bytes is 0.
func (s *countedServer) awaitUsed(bytes int64) {
	s.t.Helper()
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(10 * time.Millisecond) {
		if used := s.budget.Used(); (bytes == 0 && used == 0) || (bytes > 0 && used >= bytes) {
			return
		}
	}
	s.t.Fatalf("%d bytes are held", s.budget.Used())
}

const (
	post    = "POST / HTTP/1.1\r\nHost: a\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
)

// TestRefusedHeaderIsAnswered guards against headers over the limit that are read to their end, and
// against a close without an answer that says that nothing has run.
func TestRefusedHeaderIsAnswered(t *testing.T) {
	cases := map[string]string{
		"short lines": strings.Repeat("a:\r\n", 5<<10),
		"one line":    "X: " + strings.Repeat("x", 20<<10),
	}
	for name, header := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCountedServer(t, 0, 0, catalog.Limits{HeaderBytes: 8 << 10}, time.Minute)
			answer := s.answer(s.dial(post + header))
			assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 431 "), answer)
			assert.Assert(t, strings.Contains(answer, "X-Run: no\r\n") && strings.Contains(answer, "Connection: close\r\n"), answer)
			s.wantRefusal(admission.RefusedHeader, admission.ConnReading)
			s.awaitUsed(0)
		})
	}
}

// TestStalledRequestsGiveWay guards against requests that stop short and stay open, and so keep the
// memory from ordinary callers: they are answered that nothing has run.
func TestStalledRequestsGiveWay(t *testing.T) {
	const memory = 270 << 10
	cases := map[string]string{
		"header":               post + strings.Repeat("a:\r\n", 1000),
		"body in chunks":       post + chunked + "10000\r\n" + strings.Repeat("x", 64<<10-1),
		"body with length":     post + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 64<<10-1),
		"one byte of a length": post + "Content-Length: 65536\r\n\r\nx",
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCountedServer(t, memory, 0, catalog.Limits{}, time.Minute)
			stalled := s.dial(request)
			s.awaitUsed(connBytes + 30<<10)
			time.Sleep(100 * time.Millisecond)
			conn := s.dial(post + "Connection: close\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", 100<<10) + strings.Repeat("x", 100<<10))
			assert.Assert(t, strings.HasSuffix(s.answer(conn), fmt.Sprint(100<<10)))
			s.wantRefusal(admission.RefusedMemory, admission.ConnReading)
			assert.Assert(t, strings.HasPrefix(s.answer(stalled), "HTTP/1.1 503 "))
			s.awaitUsed(0)
		})
	}
}

// TestBodyTime guards against bodies that stop short of their end and so stay open for ever.
func TestBodyTime(t *testing.T) {
	s := newCountedServer(t, 0, 0, catalog.Limits{}, 200*time.Millisecond)
	answer := s.answer(s.dial(post + chunked + "1\r\nx\r\n"))
	assert.Assert(t, strings.HasPrefix(answer, "HTTP/1.1 408 "), answer)
	s.wantRefusal(admission.RefusedBodyTime, admission.ConnReading)
}

// TestTooLargeBodyIsAnswered guards against a connection that is closed while its caller still sends a
// body over the limit: many read the answer only then. None of the body is held.
func TestTooLargeBodyIsAnswered(t *testing.T) {
	const memory = 300 << 10
	s := newCountedServer(t, memory, 0, catalog.Limits{}, time.Minute)
	for range 20 {
		body := strings.NewReader(strings.Repeat("x", maxTestBody*5/4))
		response, err := http.Post("http://"+s.address, "", body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	}
	assert.Equal(t, len(s.refusals), 0)
}

// TestTooManyConnections guards against connections that take the place of ordinary callers: the one
// that was idle the longest is closed.
func TestTooManyConnections(t *testing.T) {
	s := newCountedServer(t, 0, 2, catalog.Limits{}, time.Minute)
	idle := s.dial("")
	time.Sleep(20 * time.Millisecond)
	stalled := s.dial(post)
	s.awaitUsed(2 * connBytes)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, strings.HasSuffix(s.answer(s.dial(post+"Connection: close\r\nContent-Length: 1\r\n\r\nx")), "1"))
	s.wantRefusal(admission.RefusedConnections, admission.ConnIdle)
	assert.Equal(t, s.answer(idle), "")
	_, err := io.WriteString(stalled, "Connection: close\r\nContent-Length: 1\r\n\r\nx")
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(s.answer(stalled), "1"))
}

// TestRequestIsCounted guards against memory that isn't counted while a request is served, and that
// isn't given back on a connection that is kept.
func TestRequestIsCounted(t *testing.T) {
	s := newCountedServer(t, 0, 0, catalog.Limits{}, time.Minute)
	conn := s.dial("")
	for range 2 {
		_, err := io.WriteString(conn, "POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000))
		assert.NilError(t, err)
		buffer := make([]byte, 1000)
		n, err := conn.Read(buffer)
		assert.NilError(t, err)
		var held int64
		_, err = fmt.Sscan(string(buffer[strings.LastIndex(string(buffer[:n]), "\n")+1:n]), &held)
		assert.NilError(t, err)
		assert.Assert(t, held >= 100_000+connBytes+servingBytes && held < 200_000+connBytes+servingBytes, "%d bytes", held)
		for start := time.Now(); s.budget.Used() != connBytes; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Since(start) < 20*time.Second, "%d bytes", s.budget.Used())
		}
	}
}
