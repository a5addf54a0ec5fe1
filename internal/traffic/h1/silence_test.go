package h1

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestArrivedResponseUsedAfterStall has the process stall while it reads the header, for longer
// than it waits for it. The response that has arrived by then must be used.
func TestArrivedResponseUsedAfterStall(t *testing.T) {
	address, _ := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		write(conn, response("other", strings.Repeat("x", 3*readBufferBytes))+response(id, "mine"))
		time.Sleep(time.Second)
	})
	stalled := false
	client := NewClient(func(h http.Header) string {
		if !stalled {
			stalled = true
			time.Sleep(300 * time.Millisecond)
		}
		return h.Get(headerID)
	})
	request := newCall(address, "1")
	request.HeaderDeadline = time.Now().Add(100 * time.Millisecond)
	request.OnSilence = func() time.Duration { return 0 }
	body, err := call(t, client, request)
	assert.NilError(t, err)
	assert.Equal(t, body, "mine")
}

// TestAbandonedCallAsksOnce has a server pause between two header lines. OnSilence must not be
// called again once it has abandoned the call.
func TestAbandonedCallAsksOnce(t *testing.T) {
	for name, first := range map[string]string{
		"before the first byte": "", "after the status line": "HTTP/1.1 200 OK\r\n", "after a header line": "HTTP/1.1 200 OK\r\nA: b\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					write(conn, first)
					time.Sleep(time.Second)
				}
			})
			calls := 0
			request := newCall(address, "1")
			request.HeaderDeadline = time.Now().Add(100 * time.Millisecond)
			request.OnSilence = func() time.Duration { calls++; return 0 }
			_, err := call(t, newClient(), request)
			assert.Assert(t, isTimeout(err), "%v", err)
			assert.Equal(t, calls, 1)
		})
	}
}

// TestAbandonedHeaderIsNotParsed has OnSilence abandon a call within a header line. What
// follows must not be parsed as another line, even if a further call would wait on.
func TestAbandonedHeaderIsNotParsed(t *testing.T) {
	address, _ := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		write(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+id+"\r\nContent-Length: 4\r\nX-Seen: 08:1")
		time.Sleep(400 * time.Millisecond)
		write(conn, "5:30\r\n\r\nhiho")
		time.Sleep(time.Second)
	})
	calls := 0
	request := newCall(address, "1")
	request.HeaderDeadline = time.Now().Add(100 * time.Millisecond)
	request.OnSilence = func() time.Duration {
		if calls++; calls == 1 {
			return 0
		}
		return 250 * time.Millisecond
	}
	resp, err := newClient().Do(t.Context(), request)
	if err == nil {
		defer resp.Close()
		assert.Equal(t, resp.Header.Get("X-Seen"), "08:15:30")
	}
	assert.Check(t, err != nil, "the abandoned call got a response")
}
