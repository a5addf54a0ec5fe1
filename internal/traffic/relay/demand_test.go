package relay

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
)

// Guards against requests that the ledger doesn't see, or that stay in it after they ended
// by an error.
func TestDemandIsRecorded(t *testing.T) {
	route := catalog.Route{
		Name: "calls", Host: "desk.example", Prefix: "/", Pools: []catalog.WeightedPool{{Pool: "text", Weight: 1}},
		RetryPolicy: catalog.Idempotent, MaxAttempts: 2, Priority: 3, Timeout: 5_000, LatencyTarget: 1_000,
	}
	tests := map[string]struct {
		servers []behaviour
		status  int
	}{
		"answered":       {[]behaviour{respond("answer")}, http.StatusOK},
		"not answered":   {[]behaviour{closeConn, closeConn}, http.StatusBadGateway},
		"retried":        {[]behaviour{closeConn, respond("answer")}, http.StatusOK},
		"turned away":    {[]behaviour{respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "yes")}, http.StatusServiceUnavailable},
		"no such server": {nil, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := demand.NewLedger()
			var during []demand.Count
			var servers []behaviour
			for _, b := range test.servers {
				servers = append(servers, func(n int, w http.ResponseWriter, r *http.Request) {
					during = ledger.Counts()
					b(n, w, r)
				})
			}
			f := newFixture(t, []catalog.Route{route}, servers...)
			f.relay.Demand = ledger
			assert.Equal(t, f.send(http.MethodGet, "/").status, test.status)
			if len(servers) > 0 {
				assert.DeepEqual(t, during, []demand.Count{{Pool: "text", Urgency: 3, Running: 1}})
			}
			usage := ledger.Usage(f.relay.Clock.Now())
			assert.Equal(t, usage[0].Accounts[0].Name, "smiths")
			assert.Equal(t, len(usage[0].Accounts[0].Classes), 0, "%+v", usage)
		})
	}
}
