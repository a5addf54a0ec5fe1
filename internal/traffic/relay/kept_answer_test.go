package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
)

// pausedEvents sends the first of two events, and the second after the pause.
func pausedEvents(pause time.Duration) behaviour {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerSigned, "yes")
		_, _ = fmt.Fprint(w, "id: 1\ndata: slow\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(pause):
		}
		_, _ = fmt.Fprint(w, "id: 2\ndata: end\n\n")
	}
}

// TestKeptAnswer guards against a request that fails or is late although a small model had
// answered it: the largest model's server is silent, breaks off, or refuses.
func TestKeptAnswer(t *testing.T) {
	const small, large = "id: 1\ndata: small\n\n", "id: 1\ndata: large\n\n"
	answer := withConfidence("20", respond(small))
	cases := map[string]struct {
		off          bool
		small, large behaviour
		want         string
	}{
		"in time":                {small: answer, large: withConfidence("90", respond(large)), want: large},
		"silent":                 {small: answer, large: hang, want: small},
		"broken off":             {small: answer, large: closeConn, want: small},
		"failed":                 {small: answer, large: respondStatus(http.StatusInternalServerError, headerSigned, "yes"), want: small},
		"refused":                {small: answer, large: respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "1"), want: small},
		"small answer is long":   {small: withConfidence("20", pausedEvents(3*time.Second)), large: withConfidence("90", respond(large)), want: large},
		"small answer broke off": {small: withConfidence("20", sendEvents(1, 2)), large: withConfidence("90", respond(large)), want: large},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := byModel(map[string]behaviour{"small": c.small, "large": c.large})
			f := newFixture(t, streamRoutes(), server, server, server)
			f.relay.Balancer.SetFeatures(loadfeatures.Features{SharedCapacity: !c.off})
			startedAt := f.relay.Clock.Now()
			got := f.send(http.MethodPost, "/draft/1", headerModel, "*")
			elapsed := f.relay.Clock.Now() - startedAt
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, c.want)
			assert.Check(t, elapsed < streamRoutes()[0].LatencyTarget, "the first event came after %d ms", elapsed)
		})
	}
}

// TestNoKeptAnswerWithoutFeature guards against a change for deployments that don't call for
// the feature.
func TestNoKeptAnswerWithoutFeature(t *testing.T) {
	server := byModel(map[string]behaviour{"small": withConfidence("20", respond("id: 1\ndata: small\n\n")), "large": closeConn})
	f := newFixture(t, streamRoutes(), server, server, server)
	got := f.send(http.MethodPost, "/draft/1", headerModel, "*")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
}
