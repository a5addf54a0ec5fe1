// Package objectstore keeps every configuration document that was in force in
// the platform's object store, for history and for going back.
package objectstore

import (
	"context"
	"net/http"
	"net/url"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
)

// Client speaks to the object store over HTTP.
type Client struct {
	rest *rest.Client
}

// NewClient returns a client of the store at the base URL.
func NewClient(base string, limit clock.Millis) *Client {
	return &Client{rest: rest.NewClient(base, limit)}
}

// Put stores the object under the name, which must not be in use for other bytes.
func (c *Client) Put(ctx context.Context, name string, object []byte) error {
	return c.rest.Call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), object, nil)
}

// Get returns the object.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.rest.CallRaw(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil)
}
