// Package objectstore is a client of the platform's object store. The store holds every
// configuration document that was in force, for the history and for rollbacks.
package objectstore

import (
	"context"
	"net/http"
	"net/url"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
)

// Client calls the object store over HTTP. It is safe for concurrent use.
type Client struct {
	rest *rest.Client
}

// NewClient returns a client of the store at the base URL. The timeout applies to each
// call, and unusually large responses count in the memory while they are read.
func NewClient(base string, timeout clock.Millis, memory *admission.MemoryBudget) *Client {
	return &Client{rest: rest.NewClient(base, timeout, memory)}
}

// Put stores the object. An object that already has the name must be equal to it.
func (c *Client) Put(ctx context.Context, name string, object []byte) error {
	return c.rest.Call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), object, nil)
}

// Get returns the object with the name.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.rest.CallRaw(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil)
}
