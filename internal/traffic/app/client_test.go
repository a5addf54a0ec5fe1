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

// newFlakyServer serves one call well, then reads each call and drops the
// connection, as a server does that dies on kept connections.
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

// TestCallThatRunsOnceIsNotResent: the standard transport sends a call with an
// Idempotency-Key again when a kept connection drops. P9.
func TestCallThatRunsOnceIsNotResent(t *testing.T) {
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

// TestPassHeaders drops what belongs to one connection.
func TestPassHeaders(t *testing.T) {
	passed := endToEndHeaders(http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"x"}, "Accept": {"*/*"}})
	assert.DeepEqual(t, passed, http.Header{"Accept": {"*/*"}})
}
