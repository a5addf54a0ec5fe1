// Package rating hands answers to the platform's rating service and reads its ratings.
package rating

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
)

// Answer is what the service is asked to rate.
type Answer struct {
	RequestID string `json:"request_id"`
	Route     string `json:"route"`
	Class     string `json:"class"`
	Version   string `json:"version"` // model@version
	Prompt    string `json:"prompt"`
	Text      string `json:"text"`
}

// Rating is the service's word on one answer.
type Rating struct {
	Sequence  int64  `json:"sequence"`
	RequestID string `json:"request_id"`
	Good      bool   `json:"good"`
}

// Client speaks to the service over HTTP.
type Client struct {
	rest *rest.Client
}

// NewClient returns a client of the service at the base URL.
func NewClient(base string, limit clock.Millis) *Client {
	return &Client{rest: rest.NewClient(base, limit)}
}

// Submit hands answers in to be rated.
func (c *Client) Submit(ctx context.Context, answers []Answer) error {
	body, err := json.Marshal(answers)
	if err != nil {
		return errors.Wrap(err, "encode answers")
	}
	return c.rest.Call(ctx, http.MethodPost, "/v1/answers", body, nil)
}

// ListAfter returns the ratings that follow the sequence number.
func (c *Client) ListAfter(ctx context.Context, sequence int64) ([]Rating, error) {
	var ratings []Rating
	err := c.rest.Call(ctx, http.MethodGet, "/v1/ratings?after="+strconv.FormatInt(sequence, 10), nil, &ratings)
	return ratings, err
}
