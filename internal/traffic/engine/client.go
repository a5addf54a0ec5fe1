package engine

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

const chatPath = "/v1/chat/completions"

// Call describes one attempt to send a request to one engine.
type Call struct {
	Address      string
	Version      string // model@version
	RequestID    string // unique for each attempt
	ResumeOffset int    // number of tokens that the caller has already received
	// Holding counts the response, until its owner releases it.
	Holding *admission.Holding
}

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	transport        http.RoundTripper
	maxResponseBytes int64
}

// NewClient returns a client that rejects non-streamed responses of more than
// maxResponseBytes.
func NewClient(maxResponseBytes int64) *Client {
	return &Client{transport: backend.NewTransport(), maxResponseBytes: maxResponseBytes}
}

// Complete sends the request and returns the complete response. Errors are
// *backend.Failure.
func (c *Client) Complete(ctx context.Context, call Call, r *Request) (*Response, error) {
	response, err := c.send(ctx, call, r) //nolint:bodyclose // ReadBody closes it.
	if err != nil {
		return nil, err
	}
	body, err := backend.ReadBody(response, c.maxResponseBytes, call.Holding)
	if err != nil {
		return nil, err
	}
	parsed, err := parseResponse(body)
	if err != nil {
		return nil, &backend.Failure{Kind: backend.Truncated, Detail: err.Error()}
	}
	return parsed, nil
}

// OpenStream sends the request and returns the streamed response, which the caller must
// close. Errors are *backend.Failure.
func (c *Client) OpenStream(ctx context.Context, call Call, r *Request) (*Stream, error) {
	response, err := c.send(ctx, call, r) //nolint:bodyclose // Stream.Close closes it.
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, call.Holding), nil
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
	response, err := backend.RoundTrip(ctx, c.transport, request, call.RequestID, call.Holding)
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
