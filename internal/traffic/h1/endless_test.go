package h1

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// endlessLimit bounds the bytes that a server can send in vain, with what the sockets
	// hold.
	endlessLimit = 16 << 20
	// endlessTime bounds the time in which a call notices that the bytes have no end.
	endlessTime = 3 * time.Second
)

// writeEndlessly writes the text again and again until the connection is closed, and counts
// the bytes.
func writeEndlessly(conn net.Conn, text string, written *atomic.Int64) {
	block := strings.Repeat(text, 1+(16<<10)/len(text))
	for {
		n, err := io.WriteString(conn, block)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestBytesWithoutEndBeforeTheAnswer has a server send bytes until the connection is closed,
// none of which belong to an answer to the request. The call must fail soon, whatever they
// are, and read few of them.
func TestBytesWithoutEndBeforeTheAnswer(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct{ begin, repeat string }{
		"no status line":                  {"", "x"},
		"status line":                     {"HTTP/1.1 200 ", "x"},
		"lines that are no HTTP":          {"", "hello\r\n"},
		"header line":                     {statusLine + "A: ", "x"},
		"header lines":                    {statusLine, "A: x\r\n"},
		"continued header line":           {statusLine + "A: x\r\n", " x\r\n"},
		"informational responses":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"unrelated response by chunks":    {statusLine + headerID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"unrelated response of a length":  {statusLine + headerID + ": other\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"unrelated response, no length":   {statusLine + headerID + ": other\r\n\r\n", "x"},
		"unrelated response with trailer": {statusLine + headerID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			address, _ := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					write(conn, c.begin)
					writeEndlessly(conn, c.repeat, &written)
				}
			})
			request := newCall(address, "1")
			request.HeaderDeadline, request.Deadline = time.Now().Add(endlessTime), time.Now().Add(endlessTime)
			started := time.Now()
			_, err := call(t, newClient(), request)
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(started) < endlessTime/2, "%v: %v", time.Since(started), err)
			assert.Assert(t, written.Load() < endlessLimit, "%d bytes", written.Load())
		})
	}
}
