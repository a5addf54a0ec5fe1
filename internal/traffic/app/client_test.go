package app

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

// newFlakyServer starts a server that answers the first call. It reads each later call and
// closes the connection without a response, like a server that crashes while it has
// keep-alive connections.
func newFlakyServer(t *testing.T) (address string, runs *atomic.Int64) {
	runs = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), runs
}

// TestAtMostOnceCallIsNotResent guards against a call that runs twice (property P9): on a
// reused connection that is closed without a response, http.Transport retries a request
// with an Idempotency-Key by itself.
func TestAtMostOnceCallIsNotResent(t *testing.T) {
	address, runs := newFlakyServer(t)
	client := NewClient(1 << 20)
	call := Call{
		Address: address, RequestID: "r.1", Method: http.MethodPost, URL: &url.URL{Path: "/pay"},
		Header: http.Header{"Idempotency-Key": {"k"}}, AtMostOnce: true,
	}
	_, err := client.Send(t.Context(), call)
	assert.NilError(t, err)
	_, err = client.Send(t.Context(), call)
	assert.Equal(t, backend.AsFailure(err).Kind, backend.MayHaveRun)
	assert.Equal(t, runs.Load(), int64(2), "the second call must reach the server once")
}

// TestEndToEndHeaders guards against forwarding hop-by-hop headers, which are the standard
// ones and those named by the Connection header.
func TestEndToEndHeaders(t *testing.T) {
	forwarded := endToEndHeaders(http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"x"}, "Accept": {"*/*"}})
	assert.DeepEqual(t, forwarded, http.Header{"Accept": {"*/*"}})
}
