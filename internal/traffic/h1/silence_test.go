package h1

import (
	"bufio"
	"io"
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

// TestLongBodyReadLate has a sound server pause before it reads a long body: at first it
// doesn't read at all, or it answers first and reads on later. Its answer must arrive.
func TestLongBodyReadLate(t *testing.T) {
	cases := map[string]struct {
		size  int
		pause time.Duration
		early bool
	}{
		"64 KB, 2.5 s":               {64 << 10, 2500 * time.Millisecond, false},
		"72 KB, 2.5 s":               {72 << 10, 2500 * time.Millisecond, false},
		"90 KB, 2.5 s":               {90 << 10, 2500 * time.Millisecond, false},
		"130 KB, 2.5 s":              {130 << 10, 2500 * time.Millisecond, false},
		"200 KB, 2.5 s":              {200 << 10, 2500 * time.Millisecond, false},
		"300 KB, 2.5 s":              {300 << 10, 2500 * time.Millisecond, false},
		"4 MB, 1.2 s":                {4 << 20, 1200 * time.Millisecond, false},
		"4 MB, 2.5 s":                {4 << 20, 2500 * time.Millisecond, false},
		"4 MB, answers first, 2.5 s": {4 << 20, 2500 * time.Millisecond, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				id := request.Header.Get(headerID)
				if c.early {
					write(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+id+"\r\nContent-Length: 4\r\n\r\nhi")
					time.Sleep(c.pause)
					write(conn, "ho")
					time.Sleep(time.Second)
					return
				}
				time.Sleep(c.pause)
				_, _ = io.Copy(io.Discard, request.Body)
				write(conn, response(id, "hiho"))
			})
			request := newCall(address, "1")
			request.Body = []byte(strings.Repeat("x", c.size))
			body, err := call(t, newClient(), request)
			assert.NilError(t, err)
			assert.Equal(t, body, "hiho")
		})
	}
}

// TestDeadlineEndsBusyBody has a server send without a pause beyond the call's deadline. The
// reads must end there.
func TestDeadlineEndsBusyBody(t *testing.T) {
	address, _ := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		write(conn, "HTTP/1.1 200 OK\r\n"+headerID+": "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
			if _, err := io.WriteString(conn, "1\r\nx\r\n"); err != nil {
				return
			}
		}
	})
	request := newCall(address, "1")
	request.Deadline = time.Now().Add(300 * time.Millisecond)
	request.OnSilence = func() time.Duration { return time.Second }
	resp, err := newClient().Do(t.Context(), request)
	assert.NilError(t, err)
	defer resp.Close()
	resp.LimitSilence(100 * time.Millisecond)
	_, err = io.Copy(io.Discard, resp)
	assert.Assert(t, isTimeout(err), "%v", err)
	assert.Assert(t, time.Since(request.Deadline) < 500*time.Millisecond)
}

// TestInformationalResponses has a server send several informational responses before the
// final one, which must be returned.
func TestInformationalResponses(t *testing.T) {
	address, _ := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if id, err := readRequest(r); err == nil {
			write(conn, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 5)+response(id, "final"))
		}
	})
	body, err := call(t, newClient(), newCall(address, "1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "final")
}
