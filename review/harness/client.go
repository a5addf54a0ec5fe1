package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has seen of a request.
type answer struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0 without an answer
	header   http.Header
	body     string
	complete bool // the framing says that the answer is whole
	err      error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// clientConn is a client's connection, which it keeps for further requests.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func connect(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// send sends one request and reads its answer.
func (c *clientConn) send(method, path, body string, timeout time.Duration, headers map[string]string) (a answer) {
	a = answer{id: newID(), sentAt: time.Now()}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, a.id, timeout.Milliseconds())
	for name, value := range headers {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	_ = c.SetDeadline(time.Now().Add(timeout + 500*time.Millisecond))
	defer func() { a.endedAt = time.Now() }()
	if _, a.err = io.WriteString(c, text.String()); a.err != nil {
		return a
	}
	var response *http.Response
	if response, a.err = http.ReadResponse(c.reader, &http.Request{Method: method}); a.err != nil {
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	content, err := io.ReadAll(response.Body)
	a.body, a.err, a.complete = string(content), err, err == nil
	return a
}

// request sends one request on a connection of its own.
func request(address, method, path, body string, timeout time.Duration, headers map[string]string) answer {
	c, err := connect(address)
	if err != nil {
		return answer{id: newID(), sentAt: time.Now(), endedAt: time.Now(), err: err}
	}
	defer func() { _ = c.Close() }()
	return c.send(method, path, body, timeout, headers)
}

// String describes what the client has seen.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("request %s: no answer (%v) after %d ms", a.id, a.err, a.endedAt.Sub(a.sentAt).Milliseconds())
	}
	return fmt.Sprintf("request %s: status %d, stamp %q, %d bytes, complete %v after %d ms", a.id, a.status, a.header.Get("Engine-Stamp"), len(a.body), a.complete, a.endedAt.Sub(a.sentAt).Milliseconds())
}

// configuration is the operator's configuration of the cases: one service for model engines and
// one for the app, and a route of each kind.
func configuration(version int, keys ...string) map[string]any {
	route := func(name, kind, service string, timeout, target int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "desk.example", "prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": timeout, "targetLatencyMs": target, "maxAttempts": 3, "priority": 1,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "streaming", "writers", 20000, 3000, map[string]any{"resumable": true, "gapAimMs": 1200}),
			route("post", "unsafe", "desk", 3000, 300, map[string]any{"maxAttempts": 1}),
			route("read", "safe", "desk", 800, 100, map[string]any{"maxAttempts": 2}),
		},
		"services": []any{
			map[string]any{"name": "writers", "healthPath": "/healthz", "maxConns": 360},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "smiths", "apiKeys": keys}},
	}
}

func bearer(key string) map[string]string { return map[string]string{"Authorization": "Bearer " + key} }
