// Package rest makes HTTP calls to the platform's services.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

const (
	maxResponseBytes = 64 << 20
	// maxReportBytes bounds a server's report.
	maxReportBytes   = 1 << 20
	idleConnsPerHost = 16
)

// StatusError is a response with a status that means failure.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the text of the status and the body of the response.
func (e *StatusError) Error() string { return http.StatusText(e.Status) + ": " + e.Body }

// Client calls one service. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
	memory *admission.MemoryBudget // nil counts nothing
}

// NewClient returns a client of the service at the base URL. The timeout applies to each
// call, including the reading of the response. Unusually large ones count in the memory meanwhile.
func NewClient(base string, timeout clock.Millis, memory *admission.MemoryBudget) *Client {
	transport := h1.NewTransport(&http.Transport{MaxIdleConnsPerHost: idleConnsPerHost})
	return &Client{base: base, client: &http.Client{Transport: transport, Timeout: timeout.Duration()}, memory: memory}
}

// Call sends the body, which may be empty, and decodes the JSON response into out unless
// out is nil. It returns a StatusError if the service responds with a status of 400 or
// more.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, out any) error {
	content, err := c.CallRaw(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(content, out), "decode response")
}

// CallRaw is like Call, but returns the body of the response.
func (c *Client) CallRaw(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	// Without GetBody, the transport cannot retry a write on its own.
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	holding := admission.NewHolding(c.memory)
	defer holding.Release()
	content, err := readall.ReadAll(io.LimitReader(response.Body, maxResponseBytes), response.ContentLength, holding)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, &StatusError{Status: response.StatusCode, Body: string(content)}
	}
	return content, nil
}

// StatusOf returns the status if err wraps a StatusError, and 0 otherwise.
func StatusOf(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 0
}

// NotSent reports whether the call failed before a connection was made.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// DoJSON sends the request and decodes a server's JSON report into out. It returns a StatusError
// without a body if the status is not 200.
func DoJSON(client *http.Client, request *http.Request, out any) error {
	response, err := client.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode}
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(out), "decode response")
}
