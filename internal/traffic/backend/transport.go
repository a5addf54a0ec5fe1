package backend

import (
	"net"
	"net/http"
	"time"
)

const (
	dialLimit        = 1 * time.Second
	idleConnsPerHost = 256
	idleLimit        = 30 * time.Second
)

// NewTransport returns a transport that keeps connections for calls that may
// be sent again.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,
	}
}

// NewSingleUseTransport returns a transport that makes a new connection for every
// call. The standard transport sends a call again by itself when a kept
// connection turns out to be dead, also one with an Idempotency-Key, so calls
// that may run only once must not use kept connections.
func NewSingleUseTransport() *http.Transport {
	t := NewTransport()
	t.DisableKeepAlives = true
	return t
}
