package entry

import (
	"fmt"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/demand"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
)

func newDemandLedger(c clock.Clock, s settings.Settings, manager *viewstate.Manager) *demand.Ledger {
	l := demand.NewLedger()
	l.SetHost(s.Host)
	l.SetBeginning(c.Now())
	l.SetHostCount(func() int { return len(manager.View().Hosts) })
	return l
}

// demandFeed passes the demand for pools between the ledger and the peers, and shows it to
// operators, while the daemons share the capacity of pools.
type demandFeed struct {
	log      hclog.Logger
	clock    clock.Clock
	manager  *viewstate.Manager
	stats    *peerstats.Aggregator
	balancer *loadbalance.Balancer
	ledger   *demand.Ledger
	gauges   demandGauges
}

func newDemandFeed(
	log hclog.Logger, c clock.Clock, manager *viewstate.Manager, stats *peerstats.Aggregator, balancer *loadbalance.Balancer,
	ledger *demand.Ledger, set *metrics.Set,
) *demandFeed {
	return &demandFeed{
		log: log, clock: c, manager: manager, stats: stats, balancer: balancer, ledger: ledger,
		gauges: demandGauges{set: set, registered: make(map[string]*metrics.Gauge)},
	}
}

// refresh is called before each report to the peers. It isn't safe for concurrent use.
func (f *demandFeed) refresh() {
	if !f.balancer.Features().SharedCapacity {
		f.stats.RemoveOwnDemand()
		f.gauges.replace(nil)
		return
	}
	now := f.clock.Now()
	f.stats.SetOwnDemand(f.ledger.Usage(now))
	f.ledger.SetPeerTotal(f.stats.PeerDemand(), len(f.manager.View().Hosts), now)
	f.gauges.replace(demandValues(f.ledger.Counts(), f.ledger.Shares(now)))
	for _, s := range f.ledger.Changes(now) {
		message := "client account within its share"
		if s.Over {
			message = "client account over its share"
		}
		f.log.Info(message, "pool", s.Pool, "account", s.Account, "used", s.Share.Measured, "fair", s.Share.Fair, "age_ms", int64(s.Share.Age))
	}
}

// demandValues returns the values of the gauges by name. Labels come from the
// configuration and bounded sets, so the number of series is bounded.
func demandValues(counts []demand.Count, shares []demand.AccountShare) map[string]float64 {
	values := make(map[string]float64)
	for _, c := range counts {
		class := "within_share"
		if c.Over {
			class = "over_share"
		}
		name := func(state string) string {
			return fmt.Sprintf(`gypsumpitch_demand_requests{pool=%q,class=%q,urgency=%q,state=%q}`, c.Pool, class, strconv.Itoa(c.Urgency), state)
		}
		values[name("running")] += float64(c.Running)
		values[name("waiting")] += float64(c.Waiting)
	}
	for _, s := range shares {
		labels := fmt.Sprintf(`{pool=%q,account=%q}`, s.Pool, s.Account)
		values["gypsumpitch_demand_share_used"+labels] = s.Share.Measured
		values["gypsumpitch_demand_share_fair"+labels] = s.Share.Fair
	}
	return values
}

// demandGauges are gauges whose labels change with the demand.
type demandGauges struct {
	set        *metrics.Set
	registered map[string]*metrics.Gauge // by name with labels
}

// replace sets the gauges to the values, and removes those without one.
func (g *demandGauges) replace(values map[string]float64) {
	for name := range g.registered {
		if _, ok := values[name]; !ok {
			g.set.UnregisterMetric(name)
			delete(g.registered, name)
		}
	}
	for name, value := range values {
		gauge, ok := g.registered[name]
		if !ok {
			gauge = g.set.GetOrCreateGauge(name, nil)
			g.registered[name] = gauge
		}
		gauge.Set(value)
	}
}
