// Package app passes plain HTTP calls to app servers.
package app

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Call is one attempt at one app server.
type Call struct {
	Address string
	ID      string // of the request and the attempt
	Method  string
	URL     *url.URL
	Header  http.Header
	Body    []byte
	Once    bool // never sent twice, on a connection of its own
}

// Answer is a whole answer of an app server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends calls to app servers. It is safe for concurrent use.
type Client struct {
	kept      http.RoundTripper
	fresh     http.RoundTripper
	maxAnswer int64
}

// NewClient returns a client that takes answers of at most maxAnswer bytes.
func NewClient(maxAnswer int64) *Client {
	return &Client{kept: backend.NewTransport(), fresh: backend.NewFreshTransport(), maxAnswer: maxAnswer}
}

// Send sends the call and returns the whole answer. Errors are *backend.Failure.
func (c *Client) Send(ctx context.Context, call Call) (*Answer, error) {
	target := *call.URL
	target.Scheme, target.Host = "http", call.Address
	request, err := http.NewRequest(call.Method, target.String(), c.body(call))
	if err != nil {
		return nil, &backend.Failure{Kind: backend.NotSent, Detail: err.Error()}
	}
	request.ContentLength = int64(len(call.Body))
	request.Header = PassHeaders(call.Header)
	response, err := backend.Exchange(ctx, c.transport(call), request, call.ID) //nolint:bodyclose // ReadWhole closes it.
	if err != nil {
		return nil, err
	}
	body, err := backend.ReadWhole(response, c.maxAnswer)
	if err != nil {
		return nil, err
	}
	header := PassHeaders(response.Header)
	header.Del("Content-Length")
	header.Del(backend.HeaderRequestID)
	return &Answer{Status: response.StatusCode, Header: header, Body: body}, nil
}

// body can be read once where the call may be sent only once.
func (c *Client) body(call Call) io.Reader {
	if len(call.Body) == 0 {
		return http.NoBody
	}
	if call.Once {
		return io.NopCloser(bytes.NewReader(call.Body))
	}
	return bytes.NewReader(call.Body)
}

func (c *Client) transport(call Call) http.RoundTripper {
	if call.Once {
		return c.fresh
	}
	return c.kept
}

// PassHeaders returns the headers without those that belong to one connection.
func PassHeaders(h http.Header) http.Header {
	passed := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}
