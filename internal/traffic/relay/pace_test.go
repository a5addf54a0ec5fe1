package relay

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// stating adds a pace to all responses of the server.
func stating(pace string, b behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerPace, pace)
		b(n, w, r)
	}
}

// TestPaceReachesThePlacement guards against a server's pace being read and not used, and
// against operators not seeing why a server was chosen: the line of a served request must
// have the speed at the choice, unless the pool's servers state no pace.
func TestPaceReachesThePlacement(t *testing.T) {
	cases := map[string]struct {
		server behaviour
		kind   string
		shown  bool
	}{
		"stated":     {stating("250", respond("ledger")), "valid", true},
		"malformed":  {stating("fast", respond("ledger")), "malformed", false},
		"not stated": {respond("ledger"), "", false},
		"by errors":  {stating("250", respondStatus(404)), "valid", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, routes(), c.server)
			var log bytes.Buffer
			f.relay.Log = hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})
			set := metrics.NewSet()
			f.relay.Metrics = NewMetrics(set)
			for range 2 {
				f.send(http.MethodGet, "/read/1")
			}
			f.front.Close() // waits for the log lines
			lines := strings.Split(strings.TrimSpace(log.String()), "\n")
			last := lines[len(lines)-1]
			assert.Assert(t, strings.Contains(last, `"served"`), last)
			assert.Equal(t, strings.Contains(last, `"server_speed":1,`), c.shown, last)
			assert.Equal(t, strings.Contains(last, `"server_pace_own":true`), c.shown, last)
			var text bytes.Buffer
			set.WritePrometheus(&text)
			counted := strings.Contains(text.String(), `gypsumpitch_relay_paces_total{kind="`+c.kind+`"} 2`)
			assert.Equal(t, counted, c.kind != "", text.String())
		})
	}
}
