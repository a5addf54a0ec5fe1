// Package rating is a client of the platform's rating service.
package rating

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
)

// Answer is an answer of a model with the request that it belongs to.
type Answer struct {
	RequestID string `json:"request_id"`
	Route     string `json:"route"`
	Class     string `json:"class"`
	Version   string `json:"version"` // model@version
	Prompt    string `json:"prompt"`
	Text      string `json:"text"`
}

// Rating is the service's rating of one answer.
type Rating struct {
	Sequence  int64  `json:"sequence"`
	RequestID string `json:"request_id"`
	Good      bool   `json:"good"`
}

// Client calls the service over HTTP. It is safe for concurrent use.
type Client struct {
	rest *rest.Client
}

// NewClient returns a client of the service at the base URL. The timeout applies to each
// call, and unusually large responses count in the memory while they are read.
func NewClient(base string, timeout clock.Millis, memory *admission.MemoryBudget) *Client {
	return &Client{rest: rest.NewClient(base, timeout, memory)}
}

// Submit sends answers to be rated.
func (c *Client) Submit(ctx context.Context, answers []Answer) error {
	body, err := json.Marshal(answers)
	if err != nil {
		return errors.Wrap(err, "encode answers")
	}
	return c.rest.Call(ctx, http.MethodPost, "/v1/answers", body, nil)
}

// ListAfter returns the ratings with greater sequence numbers.
func (c *Client) ListAfter(ctx context.Context, sequence int64) ([]Rating, error) {
	var ratings []Rating
	err := c.rest.Call(ctx, http.MethodGet, "/v1/ratings?after="+strconv.FormatInt(sequence, 10), nil, &ratings)
	return ratings, err
}
