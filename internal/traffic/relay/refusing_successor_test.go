package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentServerOutlivesRefusals has a server fall silent in the middle of a stream for longer
// than another one is waited for, and go on. All other servers are full. Guards against streams
// being cut in a full pool because their sound servers were given up for servers that refuse.
func TestSilentServerOutlivesRefusals(t *testing.T) {
	cases := map[string]struct {
		silence time.Duration
		other   behaviour
	}{
		"refused for 6 s":       {6 * time.Second, respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "yes")},
		"refused, silent twice": {2500 * time.Millisecond, respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "yes")},
		"no answer meanwhile":   {3 * time.Second, hang},
		"connection refused":    {6 * time.Second, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := func(n int, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerLastEventID) != "" {
					c.other(n, w, r)
					return
				}
				w.Header().Set(headerSigned, "yes")
				for from := 1; from <= 5; from += 2 {
					_, _ = w.Write([]byte(events(from, min(from+1, 5))))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(c.silence)
				}
			}
			routes := streamRoutes()
			routes[0].Timeout = 25_000
			f := newFixture(t, routes, silent, silent)
			if c.other == nil {
				c.other = respond("")
				e, _ := f.view.Server("s2")
				second := e.Server
				second.Address = "127.0.0.1:1"
				f.view = f.view.WithServer(second, 0)
			}
			got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, events(1, 5))
		})
	}
}
