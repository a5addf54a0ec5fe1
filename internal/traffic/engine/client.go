package engine

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

const chatPath = "/v1/chat/completions"

// Call is one attempt at one engine.
type Call struct {
	Address      string
	Version      string // model@version
	RequestID    string // of the request and the attempt
	ResumeOffset int    // tokens that the caller already has
}

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	transport http.RoundTripper
	maxAnswer int64
}

// NewClient returns a client that takes whole answers of at most maxAnswer bytes.
func NewClient(maxAnswer int64) *Client {
	return &Client{transport: backend.NewTransport(), maxAnswer: maxAnswer}
}

// Complete sends the request and returns the whole answer. Errors are *backend.Failure.
func (c *Client) Complete(ctx context.Context, call Call, r *Request) (*Response, error) {
	response, err := c.send(ctx, call, r) //nolint:bodyclose // ReadBody closes it.
	if err != nil {
		return nil, err
	}
	body, err := backend.ReadBody(response, c.maxAnswer)
	if err != nil {
		return nil, err
	}
	answer, err := parseAnswer(body)
	if err != nil {
		return nil, &backend.Failure{Kind: backend.Truncated, Detail: err.Error()}
	}
	return answer, nil
}

// OpenStream sends the request and returns its stream. Errors are *backend.Failure.
func (c *Client) OpenStream(ctx context.Context, call Call, r *Request) (*Stream, error) {
	response, err := c.send(ctx, call, r) //nolint:bodyclose // The stream's Close closes it.
	if err != nil {
		return nil, err
	}
	return newStream(response.Body), nil
}

func (c *Client) send(ctx context.Context, call Call, r *Request) (*http.Response, error) {
	body, err := r.bodyFor(call.Version)
	if err != nil {
		return nil, &backend.Failure{Kind: backend.NotSent, Detail: err.Error()}
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+call.Address+chatPath, bytes.NewReader(body))
	if err != nil {
		return nil, &backend.Failure{Kind: backend.NotSent, Detail: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if call.ResumeOffset > 0 {
		request.Header.Set(backend.HeaderResumeOffset, strconv.Itoa(call.ResumeOffset))
	}
	response, err := backend.RoundTrip(ctx, c.transport, request, call.RequestID)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		kind := backend.ServerError
		if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
			kind = backend.Refused
		}
		return nil, &backend.Failure{Kind: kind, Detail: response.Status}
	}
	return response, nil
}
