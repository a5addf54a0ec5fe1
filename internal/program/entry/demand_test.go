package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Guards against a flood that operators can't see, log lines that repeat, and demand that
// deployments without shared capacity report.
func TestDemandFeed(t *testing.T) {
	c := clock.NewManual(100_000)
	var lines bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &lines})
	stats, balancer, ledger, set := peerstats.New(c), loadbalance.NewBalancer(), demand.NewLedger(), metrics.NewSet()
	feed := newDemandFeed(log, c, viewstate.New(log, c, 1_000), stats, balancer, ledger, set)
	exposed := func() string {
		var b bytes.Buffer
		set.WritePrometheus(&b)
		return b.String()
	}
	request := func(account string) *demand.Request {
		class := demand.Class{Pool: "text", Account: account, Urgency: 2}
		r := ledger.Arrive(class, 100, c.Now())
		_ = ledger.Share(class, 2, c.Now())
		return r
	}
	var quiet, flood []*demand.Request
	for range 5 {
		quiet = append(quiet, request("quiet"))
	}
	for range 100 {
		flood = append(flood, request("flood"))
	}
	feed.refresh()
	assert.Equal(t, stats.Own().DemandDaemons, 0, "the feature is off")
	assert.Equal(t, exposed(), "")

	balancer.SetFeatures(loadfeatures.Features{SharedCapacity: true})
	c.Advance(50)
	for range 5 {
		feed.refresh()
		c.Advance(400)
	}
	assert.Equal(t, stats.Own().DemandDaemons, 1)
	assert.Equal(t, strings.Count(lines.String(), "client account over its share: pool=text account=flood"), 1, "%s", lines.String())
	for _, line := range []string{
		`gypsumpitch_demand_requests{pool="text",class="over_share",urgency="2",state="waiting"} 100`,
		`gypsumpitch_demand_requests{pool="text",class="within_share",urgency="2",state="waiting"} 5`,
		`gypsumpitch_demand_share_used{pool="text",account="flood"} 0`,
	} {
		assert.Assert(t, strings.Contains(exposed(), line), "%s not in\n%s", line, exposed())
	}

	for _, r := range append(quiet, flood...) {
		r.End(c.Now())
	}
	for range 50 {
		c.Advance(400)
		feed.refresh()
	}
	assert.Equal(t, strings.Count(lines.String(), "client account within its share: pool=text account=flood"), 1, "%s", lines.String())
	balancer.SetFeatures(loadfeatures.Features{})
	feed.refresh()
	assert.Equal(t, exposed(), "")
}
