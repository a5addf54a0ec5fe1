// Package app forwards plain HTTP calls to app servers.
package app

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Call describes one attempt to send a call to one app server.
type Call struct {
	Address    string
	RequestID  string // unique for each attempt
	Method     string
	URL        *url.URL
	Header     http.Header
	Body       []byte
	AtMostOnce bool // sent on a new connection, so that the transport does not retry it
	// Holding counts the response, until its owner releases it.
	Holding *admission.Holding
}

// Response is a complete response of an app server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends calls to app servers. It is safe for concurrent use.
type Client struct {
	pooled           http.RoundTripper
	singleUse        http.RoundTripper
	maxResponseBytes int64
}

// NewClient returns a client that rejects responses of more than maxResponseBytes.
func NewClient(maxResponseBytes int64) *Client {
	return &Client{pooled: backend.NewTransport(), singleUse: backend.NewSingleUseTransport(), maxResponseBytes: maxResponseBytes}
}

// Send sends the call and returns the complete response. Errors are *backend.Failure.
func (c *Client) Send(ctx context.Context, call Call) (*Response, error) {
	target := *call.URL
	target.Scheme, target.Host = "http", call.Address
	request, err := http.NewRequest(call.Method, target.String(), c.body(call))
	if err != nil {
		return nil, &backend.Failure{Kind: backend.NotSent, Detail: err.Error()}
	}
	request.ContentLength = int64(len(call.Body))
	request.Header = endToEndHeaders(call.Header)
	response, err := backend.RoundTrip(ctx, c.transport(call), request, call.RequestID, call.Holding) //nolint:bodyclose // ReadBody closes it.
	if err != nil {
		return nil, err
	}
	body, err := backend.ReadBody(response, c.maxResponseBytes, call.Holding)
	if err != nil {
		return nil, err
	}
	header := endToEndHeaders(response.Header)
	header.Del("Content-Length")
	header.Del(backend.HeaderRequestID)
	return &Response{Status: response.StatusCode, Header: header, Body: body}, nil
}

// body returns a reader that the transport can't rewind for a retry if the call must be
// sent at most once.
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
		return c.singleUse
	}
	return c.pooled
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
