package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// dial opens a connection to the relay and sends the head of a request, with the version
// and the header lines, and a body of one byte.
func (f *fixture) dial(path, version string, lines ...string) (net.Conn, *bufio.Reader) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	f.sendRaw(conn, path, version, lines...)
	return conn, bufio.NewReader(conn)
}

func (f *fixture) sendRaw(conn net.Conn, path, version string, lines ...string) {
	f.t.Helper()
	head := append([]string{"POST " + path + " " + version, "Host: desk.example", headerID + ": request-1", "X-Key: key-1", headerModel + ": large", "Content-Length: 1"}, lines...)
	_, err := io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\nx")
	assert.NilError(f.t, err)
}

// largeEvents streams the number of events of 64 KB.
func largeEvents(count int) behaviour {
	piece := strings.Repeat("x", 64<<10)
	return func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "yes")
		for i := range count {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, piece); err != nil {
				return
			}
		}
	}
}

// largeBody returns a plain response of the size in bytes.
func largeBody(size int) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) { respond(strings.Repeat("x", size))(n, w, r) }
}

// TestCallerStopsReading has a caller that keeps its connection but reads nothing. Its
// exchange must end soon after the request's deadline.
func TestCallerStopsReading(t *testing.T) {
	cases := map[string]struct {
		path   string
		server behaviour
	}{
		"stream":         {"/draft/1", largeEvents(1600)},
		"plain response": {"/read/1", largeBody(100 << 20)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := routes()
			if strings.HasPrefix(c.path, "/draft") {
				table = streamRoutes()
			}
			f := newFixture(t, table, c.server)
			f.dial(c.path, "HTTP/1.1", headerRemaining+": 1000")
			waitFor(t, 5*time.Second, func() bool { return f.relay.InFlight() == 1 })
			waitFor(t, 1000*time.Millisecond+writeMargin.Duration()+500*time.Millisecond, func() bool { return f.relay.InFlight() == 0 })
		})
	}
}

// TestKeptConnectionAfterWriteDeadline sends two requests on one connection, the second one
// after the writes of the first have reached their limit. Both must be answered.
func TestKeptConnectionAfterWriteDeadline(t *testing.T) {
	f := newFixture(t, routes(), respond("ledger"))
	conn, reader := f.dial("/read/1", "HTTP/1.1", headerRemaining+": 500")
	for i := range 2 {
		if i > 0 {
			time.Sleep(500*time.Millisecond + writeMargin.Duration())
			f.sendRaw(conn, "/read/1", "HTTP/1.1")
		}
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(body), "ledger")
	}
}

// TestInterruptionShowsWithoutLength has a response without length to an HTTP/1.0 caller
// break off. It must not look complete, and one that is complete must not look interrupted.
func TestInterruptionShowsWithoutLength(t *testing.T) {
	cases := map[string]struct {
		server  behaviour
		want    string
		aborted bool
	}{
		"interrupted": {sendEvents(2, 5), events(1, 2), true},
		"complete":    {sendEvents(5, 5), events(1, 5), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, streamRoutes(), c.server)
			conn, reader := f.dial("/once/1", "HTTP/1.0")
			assert.NilError(t, conn.SetDeadline(time.Now().Add(8*time.Second)))
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, string(body), c.want)
			assert.Equal(t, errors.Is(err, syscall.ECONNRESET), c.aborted, "%v", err)
		})
	}
}

// waitFor waits until the condition holds, and fails the test after the time.
func waitFor(t testing.TB, within time.Duration, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(within); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "not within %s", within)
	}
}
