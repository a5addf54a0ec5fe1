package app

import (
	"bufio"
	"net"
	"net/http"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTruncatedHead has a server close the connection after each prefix of its response head.
// Guards against an answer whose head broke off being taken for a complete one with an empty
// or a short body.
func TestTruncatedHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Last: b\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client := NewClient(1 << 20)
	for sent := range len(head) {
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = conn.Write([]byte(head[:sent]))
		}()
		response, err := client.Send(t.Context(), Call{
			Address: listener.Addr().String(), RequestID: "r", Method: http.MethodPost, URL: &url.URL{Path: "/pay"}, Header: http.Header{}, AtMostOnce: true,
		})
		assert.Assert(t, err != nil, "response %v after %q", response, head[:sent])
	}
}
