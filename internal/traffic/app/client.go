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
	Address    string
	RequestID  string // of the request and the attempt
	Method     string
	URL        *url.URL
	Header     http.Header
	Body       []byte
	AtMostOnce bool // never sent twice, on a connection of its own
}

// Response is a whole answer of an app server.
type Response struct {
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
	return &Client{kept: backend.NewTransport(), fresh: backend.NewSingleUseTransport(), maxAnswer: maxAnswer}
}

// Send sends the call and returns the whole answer. Errors are *backend.Failure.
func (c *Client) Send(ctx context.Context, call Call) (*Response, error) {
	target := *call.URL
	target.Scheme, target.Host = "http", call.Address
	request, err := http.NewRequest(call.Method, target.String(), c.body(call))
	if err != nil {
		return nil, &backend.Failure{Kind: backend.NotSent, Detail: err.Error()}
	}
	request.ContentLength = int64(len(call.Body))
	request.Header = endToEndHeaders(call.Header)
	response, err := backend.RoundTrip(ctx, c.transport(call), request, call.RequestID) //nolint:bodyclose // ReadBody closes it.
	if err != nil {
		return nil, err
	}
	body, err := backend.ReadBody(response, c.maxAnswer)
	if err != nil {
		return nil, err
	}
	header := endToEndHeaders(response.Header)
	header.Del("Content-Length")
	header.Del(backend.HeaderRequestID)
	return &Response{Status: response.StatusCode, Header: header, Body: body}, nil
}

// body can be read once where the call may be sent only once.
func (c *Client) body(call Call) io.Reader {
	if len(call.Body) == 0 {
		return http.NoBody
	}
	if call.AtMostOnce {
		return io.NopCloser(bytes.NewReader(call.Body))
	}
	return bytes.NewReader(call.Body)
}

func (c *Client) transport(call Call) http.RoundTripper {
	if call.AtMostOnce {
		return c.fresh
	}
	return c.kept
}

// endToEndHeaders returns the headers without those that belong to one connection.
func endToEndHeaders(h http.Header) http.Header {
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
