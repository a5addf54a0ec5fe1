// Package hostlist reads the platform's lagging list of live and leaving hosts.
package hostlist

import (
	"context"
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
)

// Host is one line of the list.
type Host struct {
	Address string `json:"address"` // an IP number, or IP and port of one process
	Leaving bool   `json:"leaving"`
}

// Client reads the list over HTTP.
type Client struct {
	rest *rest.Client
}

// NewClient returns a client of the service at the base URL.
func NewClient(base string, limit clock.Millis) *Client {
	return &Client{rest: rest.NewClient(base, limit)}
}

// Leaving returns the addresses of the hosts that are leaving.
func (c *Client) Leaving(ctx context.Context) ([]string, error) {
	var hosts []Host
	if err := c.rest.Call(ctx, http.MethodGet, "/v1/hosts", nil, &hosts); err != nil {
		return nil, err
	}
	var leaving []string
	for _, h := range hosts {
		if h.Leaving {
			leaving = append(leaving, h.Address)
		}
	}
	return leaving, nil
}
