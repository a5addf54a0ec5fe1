package tableservice

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
)

// Client is a Table over HTTP.
type Client struct {
	rest *rest.Client
}

// NewClient returns a client of the service at the base URL.
func NewClient(base string, limit clock.Millis) *Client {
	return &Client{rest: rest.NewClient(base, limit)}
}

// Get returns the row, or ErrNotFound, or ErrUnavailable.
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

// Scan returns up to limit rows in the order of their keys, after the given key.
func (c *Client) Scan(ctx context.Context, table, after string, limit int) ([]Row, error) {
	var rows []Row
	path := "/v1/rows?table=" + url.QueryEscape(table) + "&after=" + url.QueryEscape(after) + "&limit=" + strconv.Itoa(limit)
	if err := c.rest.Call(ctx, http.MethodGet, path, nil, &rows); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return rows, nil
}

// Commit applies the batch. A refusal by the service itself, or a connection
// that was never made, means that nothing was written.
func (c *Client) Commit(ctx context.Context, batch Batch) ([]WriteResult, error) {
	body, err := json.Marshal(batch)
	if err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	var applied []WriteResult
	err = c.rest.Call(ctx, http.MethodPost, "/v1/commit", body, &applied)
	switch {
	case err == nil:
		return applied, nil
	case rest.NotSent(err) || rest.StatusOf(err) == http.StatusServiceUnavailable:
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	default:
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
}
