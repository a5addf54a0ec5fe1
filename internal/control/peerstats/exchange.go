package peerstats

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

const (
	// reportPeriod is short because half of the time limit for finding a canary bad is
	// spent on collecting answers, which leaves little for the exchange.
	reportPeriod = 400 * clock.Millis(1)
	// reportTimeout bounds one report, so that an unresponsive peer delays no others.
	reportTimeout = 600 * time.Millisecond
	// skipTime is how long a host that didn't respond is skipped as a leader.
	skipTime = 3_000 * clock.Millis(1)
)

// Exchange reports this daemon's snapshot to its peers and records their replies.
type Exchange struct {
	log        hclog.Logger
	clock      clock.Clock
	host       string
	dataCentre string
	aggregator *Aggregator
	peers      *peer.Client
	hosts      func() map[string]fleet.Host
	refresh    func()

	mu           sync.Mutex
	skippedUntil map[string]clock.Millis // by host; guarded by mu
	overBudget   bool                    // a report or a reply exceeded its budget; guarded by mu
}

// Config holds the dependencies of an Exchange.
type Config struct {
	Log        hclog.Logger
	Clock      clock.Clock
	Host       string
	DataCentre string
	Aggregator *Aggregator
	Peers      *peer.Client
	Hosts      func() map[string]fleet.Host
	Refresh    func() // called before each report; updates the aggregator's own snapshot
}

// NewExchange returns an exchange that does nothing until Register and Run.
func NewExchange(c Config) *Exchange {
	return &Exchange{
		log: c.Log, clock: c.Clock, host: c.Host, dataCentre: c.DataCentre, aggregator: c.Aggregator, peers: c.Peers,
		hosts: c.Hosts, refresh: c.Refresh, skippedUntil: make(map[string]clock.Millis),
	}
}

// Register adds the handler of peer reports to the server.
func (e *Exchange) Register(s *peer.Server) {
	peer.Handle(s, peer.KindReport, func(_ context.Context, r Report) (Snapshot, error) {
		return e.aggregator.HandleReport(r), nil
	})
}

// Run reports periodically until the context ends: a leader to the leaders of the other
// data centres, any other daemon to its leader.
func (e *Exchange) Run(ctx context.Context) {
	clock.Every(ctx, reportPeriod, func() {
		e.refresh()
		hosts := e.hosts()
		e.aggregator.SetDaemons(len(hosts))
		dataCentres := make(map[string]int)
		for _, h := range hosts {
			dataCentres[h.DataCentre]++
		}
		if leader := e.leader(e.dataCentre, hosts); leader != e.host && leader != "" {
			go e.reportHost(ctx, leader, hosts[leader].Address)
			return
		}
		for dataCentre := range dataCentres {
			if dataCentre == e.dataCentre {
				continue
			}
			if leader := e.leader(dataCentre, hosts); leader != "" {
				go e.reportDataCentre(ctx, dataCentre, leader, hosts[leader].Address)
			}
		}
	})
}

// leader returns the host to which the others of the data centre report; empty if it has
// no responsive host.
func (e *Exchange) leader(dataCentre string, hosts map[string]fleet.Host) string {
	if candidates := e.candidates(dataCentre, hosts); len(candidates) > 0 {
		return candidates[0]
	}
	return ""
}

// candidates returns the responsive hosts of the data centre in the order in which they
// become its leader, which is the same on all daemons. Hosts with the fastest links come
// first, since a leader sends to all others.
func (e *Exchange) candidates(dataCentre string, hosts map[string]fleet.Host) []string {
	var names []string
	for name, h := range hosts {
		if h.DataCentre == dataCentre {
			names = append(names, name)
		}
	}
	order := container.Rendezvous(dataCentre, names, func(n string) string { return n })
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(hosts[b].LinkMbps, hosts[a].LinkMbps) })
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(order, func(name string) bool { return name != e.host && e.skippedUntil[name] > now })
}

const (
	// minFollowers is the number of followers that a leader needs to save calls to the
	// store: the leader itself calls it about twice as often.
	minFollowers = 3
	// maxLeaders is how many leaders are tried in turn if the first one fails.
	maxLeaders = 2
)

// Leaders returns the addresses of the leaders of this data centre, in the order in which
// to try them; none if the data centre has too few daemons to need a leader.
func (e *Exchange) Leaders() []string {
	hosts := e.hosts()
	members := 0
	for _, h := range hosts {
		if h.DataCentre == e.dataCentre {
			members++
		}
	}
	if members <= minFollowers {
		return nil
	}
	var addresses []string
	for _, name := range e.candidates(e.dataCentre, hosts) {
		if addresses = append(addresses, hosts[name].Address); len(addresses) == maxLeaders {
			break
		}
	}
	return addresses
}

// reportHost reports this daemon's snapshot to its leader.
func (e *Exchange) reportHost(ctx context.Context, host, address string) {
	own := e.aggregator.ownReport()
	reply, err := e.send(ctx, host, address, Report{From: e.host, Snapshot: own})
	if err != nil {
		e.aggregator.restartReports()
		return
	}
	e.aggregator.SetPeerTotal(reply)
	e.logBudget(own.KeepSlow || reply.KeepSlow)
}

// logBudget logs when the budget of the reports begins to bind. Messages with all parts come
// in between, so it doesn't log the end.
func (e *Exchange) logBudget(binds bool) {
	e.mu.Lock()
	first := binds && !e.overBudget
	e.overBudget = e.overBudget || binds
	e.mu.Unlock()
	if first {
		e.log.Warn("reports exceed their budget; speeds, prefixes and limit members are sent less often, small accounts unnamed")
	}
}

// reportDataCentre reports the total of this data centre to the leader of another.
func (e *Exchange) reportDataCentre(ctx context.Context, dataCentre, host, address string) {
	reply, err := e.send(ctx, host, address, Report{From: e.dataCentre, IsDataCentre: true, Snapshot: e.aggregator.DataCentreTotal()})
	if err == nil {
		e.aggregator.SetDataCentreTotal(dataCentre, reply)
	}
}

func (e *Exchange) send(ctx context.Context, host, address string, r Report) (Snapshot, error) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := peer.Call[Report, Snapshot](callCtx, e.peers, address, peer.KindReport, r)
	if ctx.Err() == nil {
		e.recordCall(host, err)
	}
	return reply, err
}

// recordCall skips a host that didn't respond and logs when a host becomes unreachable
// or reachable again.
func (e *Exchange) recordCall(host string, err error) {
	e.mu.Lock()
	_, failedBefore := e.skippedUntil[host]
	if err != nil {
		e.skippedUntil[host] = e.clock.Now() + skipTime
	} else {
		delete(e.skippedUntil, host)
	}
	e.mu.Unlock()
	switch {
	case err != nil && !failedBefore:
		e.log.Warn("peer unreachable", "peer", host, "error", err.Error())
	case err == nil && failedBefore:
		e.log.Info("peer reachable again", "peer", host)
	}
}
