// Package rawhttp has servers of tests that answer byte for byte, also with what HTTP forbids.
package rawhttp

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Serve starts a server that reads the head of one request on each connection, lets answer write to
// the connection and closes it. It returns the address.
func Serve(t testing.TB, answer func(conn net.Conn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, answer)
		}
	}()
	return listener.Addr().String()
}

func serveConn(conn net.Conn, answer func(conn net.Conn, r *http.Request)) {
	defer func() { _ = conn.Close() }()
	if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		answer(conn, request)
	}
}

// StatusOK is the status line of an answer.
const StatusOK = "HTTP/1.1 200 OK\r\n"

// WithLength returns an answer of the header lines and the body.
func WithLength(lines, body string) string {
	return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", StatusOK, lines, len(body), body)
}

// WithTrailer returns an answer of the header lines, the body in a chunk, and the lines of a trailer.
func WithTrailer(lines, body, trailer string) string {
	return fmt.Sprintf("%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", StatusOK, lines, len(body), body, trailer)
}

// BrokenNames are header lines whose names HTTP forbids.
var BrokenNames = map[string]string{
	"blank in a name":           "X Y: 1\r\n",
	"blank behind a name":       "X-Y : 1\r\n",
	"tab in a name":             "X\tY: 1\r\n",
	"control byte in a name":    "X\x01Y: 1\r\n",
	"zero byte in a name":       "X\x00Y: 1\r\n",
	"delete byte in a name":     "X\x7fY: 1\r\n",
	"line without a name":       ": 1\r\n",
	"line without a colon":      "X-Y\r\n",
	"carriage return in a name": "X\rY: 1\r\n",
}

// BrokenAnswers returns answers that break the rules of HTTP but for that would be complete: the
// given header lines, those of idHeader among them, and the body.
func BrokenAnswers(idHeader, lines, body string) map[string]string {
	answers := map[string]string{
		"status 000":                     fmt.Sprintf("HTTP/1.1 000 \r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body),
		"status 000, no length":          "HTTP/1.1 000 Trouble\r\n" + lines + "\r\n" + body,
		"status 099":                     fmt.Sprintf("HTTP/1.1 099 \r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body),
		"status of two digits":           fmt.Sprintf("HTTP/1.1 20 OK\r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body),
		"negative status":                fmt.Sprintf("HTTP/1.1 -20 OK\r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body),
		"blank behind the framing":       fmt.Sprintf("%s%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", StatusOK, lines, len(body), body),
		"blank behind the length":        fmt.Sprintf("%s%sContent-Length : %d\r\n\r\n%s", StatusOK, lines, 2*len(body), body),
		"second ID, blank behind its":    WithLength(lines+idHeader+" : other\r\n", body),
		"status 000 behind a proper 1xx": "HTTP/1.1 103 Early Hints\r\n\r\n" + fmt.Sprintf("HTTP/1.1 000 \r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body),
	}
	for name, line := range BrokenNames {
		answers[name] = WithLength(lines+line, body)
		answers[name+", no length"] = StatusOK + lines + line + "\r\n" + body
		answers[name+", 1xx"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + WithLength(lines, body)
		answers[name+", trailer"] = WithTrailer(lines, body, line)
	}
	return answers
}
