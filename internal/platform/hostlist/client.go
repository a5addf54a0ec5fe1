// Package hostlist reads the platform's list of hosts. The list lags behind the actual
// state.
package hostlist

import (
	"context"
	"net/http"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rest"
)

// Host is an entry of the list.
type Host struct {
	Address string `json:"address"` // IP address, or IP address and port of one process
	Leaving bool   `json:"leaving"`
}

// Client reads the list over HTTP. It is safe for concurrent use.
type Client struct {
	rest *rest.Client
}

// NewClient returns a client of the service at the base URL. The timeout applies to each
// call, and unusually large responses count in the memory while they are read.
func NewClient(base string, timeout clock.Millis, memory *admission.MemoryBudget) *Client {
	return &Client{rest: rest.NewClient(base, timeout, memory)}
}

// Leaving returns the addresses of the hosts that are about to leave.
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
