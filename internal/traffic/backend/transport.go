package backend

import (
	"net"
	"net/http"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

const (
	dialTimeout      = 1 * time.Second
	idleConnsPerHost = 256
	idleTimeout      = 30 * time.Second
)

// NewTransport returns a transport that reuses connections, for calls that may be retried.
func NewTransport() http.RoundTripper { return newTransport(true) }

// NewSingleUseTransport returns a transport that opens a new connection for every call, for
// calls that must run at most once. On a reused connection that turns out to be closed,
// http.Transport retries a call by itself, even a POST with an Idempotency-Key.
func NewSingleUseTransport() http.RoundTripper { return newTransport(false) }

func newTransport(reuseConns bool) http.RoundTripper {
	return h1.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   !reuseConns,
	})
}
