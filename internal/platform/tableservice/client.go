package tableservice

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
)

// Client is a Service that is called over HTTP.
type Client struct {
	rest *rest.Client
}

// NewClient returns a client of the service at the base URL. The timeout applies to each
// call, and unusually large responses count in the memory while they are read.
func NewClient(base string, timeout clock.Millis, memory *admission.MemoryBudget) *Client {
	return &Client{rest: rest.NewClient(base, timeout, memory)}
}

// Get implements Service.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var row Row
	path := "/v1/row?table=" + url.QueryEscape(table) + "&key=" + url.QueryEscape(key)
	err := c.rest.Call(ctx, http.MethodGet, path, nil, &row)
	if rest.StatusOf(err) == http.StatusNotFound {
		return Row{}, ErrNotFound
	}
	if err != nil {
		return Row{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return row, nil
}

// Scan implements Service.
func (c *Client) Scan(ctx context.Context, table, after string, limit int) ([]Row, error) {
	var rows []Row
	path := "/v1/rows?table=" + url.QueryEscape(table) + "&after=" + url.QueryEscape(after) + "&limit=" + strconv.Itoa(limit)
	if err := c.rest.Call(ctx, http.MethodGet, path, nil, &rows); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return rows, nil
}

// Commit implements Service. It returns ErrUnavailable only if no connection was made or
// the service answered with status 503, since nothing was written in these cases.
func (c *Client) Commit(ctx context.Context, batch Batch) ([]WriteResult, error) {
	body, err := json.Marshal(batch)
	if err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	var results []WriteResult
	err = c.rest.Call(ctx, http.MethodPost, "/v1/commit", body, &results)
	switch {
	case err == nil:
		return results, nil
	case rest.NotSent(err) || rest.StatusOf(err) == http.StatusServiceUnavailable:
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	default:
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
}
