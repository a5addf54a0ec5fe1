// Package rest makes the plain HTTP calls that the platform's services take.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	maxAnswerBytes   = 64 << 20
	idleConnsPerHost = 16
)

// StatusError is an answer with a status other than success.
type StatusError struct {
	Status int
	Body   string
}

// Error gives the status and the answer's text.
func (e *StatusError) Error() string { return http.StatusText(e.Status) + ": " + e.Body }

// Client calls one service with JSON bodies.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client of the service at the base URL whose calls take
// at most limit.
func NewClient(base string, limit clock.Millis) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost}
	return &Client{base: base, client: &http.Client{Transport: transport, Timeout: limit.Duration()}}
}

// Call sends the body, if any, and decodes the answer into out, if not nil.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, out any) error {
	text, err := c.CallRaw(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(text, out), "decode answer")
}

// CallRaw sends the body, if any, and returns the answer's bytes.
func (c *Client) CallRaw(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport can't resend a write on its own.
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, &StatusError{Status: response.StatusCode, Body: string(text)}
	}
	return text, nil
}

// StatusOf returns the status of a StatusError, else 0.
func StatusOf(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 0
}

// NotSent tells whether the call failed before a connection was made.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// DoJSON sends the request and decodes a successful answer into out.
func DoJSON(client *http.Client, request *http.Request, out any) error {
	response, err := client.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode}
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(out), "decode answer")
}
