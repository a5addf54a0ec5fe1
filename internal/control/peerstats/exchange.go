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
	// period of reports: half of the time in which a version on trial must be
	// found bad at the latest goes into counting, not into telling.
	period = 400 * clock.Millis(1)
	// callLimit bounds one report, so that a frozen peer delays none.
	callLimit = 600 * time.Millisecond
	// silentTime is for how long a host that didn't answer is passed over.
	silentTime = 3_000 * clock.Millis(1)
)

// Exchange keeps this daemon's board up with those of the others.
type Exchange struct {
	log        hclog.Logger
	clock      clock.Clock
	host       string
	dataCentre string
	board      *Aggregator
	peers      *peer.Client
	hosts      func() map[string]fleet.Host
	refresh    func()

	mu     sync.Mutex
	silent map[string]clock.Millis // until when a host is passed over
}

// Config is what an exchange works with.
type Config struct {
	Log        hclog.Logger
	Clock      clock.Clock
	Host       string
	DataCentre string
	Aggregator *Aggregator
	Peers      *peer.Client
	Hosts      func() map[string]fleet.Host
	Refresh    func() // is called before each period
}

// NewExchange returns an exchange.
func NewExchange(c Config) *Exchange {
	return &Exchange{
		log: c.Log, clock: c.Clock, host: c.Host, dataCentre: c.DataCentre, board: c.Aggregator, peers: c.Peers,
		hosts: c.Hosts, refresh: c.Refresh, silent: make(map[string]clock.Millis),
	}
}

// Register makes the server take reports.
func (e *Exchange) Register(s *peer.Server) {
	peer.Handle(s, peer.KindReport, func(_ context.Context, r Report) (Snapshot, error) {
		return e.board.HandleReport(r), nil
	})
}

// Run reports until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	clock.Every(ctx, period, func() {
		e.refresh()
		hosts := e.hosts()
		centres := make(map[string]int)
		for _, h := range hosts {
			centres[h.DataCentre]++
		}
		if first := e.first(e.dataCentre, hosts); first != e.host && first != "" {
			go e.reportHost(ctx, first, hosts[first].Address)
			return
		}
		for centre := range centres {
			if centre == e.dataCentre {
				continue
			}
			if first := e.first(centre, hosts); first != "" {
				go e.reportDataCentre(ctx, centre, first, hosts[first].Address)
			}
		}
	})
}

// first returns the host of the data centre to which its others report: the
// first that answers, in an order on which all daemons agree.
func (e *Exchange) first(centre string, hosts map[string]fleet.Host) string {
	if order := e.answering(centre, hosts); len(order) > 0 {
		return order[0]
	}
	return ""
}

// answering returns the hosts of the data centre that answer, in the order in which
// they speak for it. Those with the fastest links come first, since they send to all
// others.
func (e *Exchange) answering(centre string, hosts map[string]fleet.Host) []string {
	var names []string
	for name, h := range hosts {
		if h.DataCentre == centre {
			names = append(names, name)
		}
	}
	order := container.Rendezvous(centre, names, func(n string) string { return n })
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(hosts[b].LinkMbps, hosts[a].LinkMbps) })
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(order, func(name string) bool { return name != e.host && e.silent[name] > now })
}

const (
	// leastFollowers is how many daemons of a data centre must follow one for that to
	// spare the store's calls: the one that leads asks about twice as often.
	leastFollowers = 3
	// mostLeaders is how many are asked in turn where the first is of no use.
	mostLeaders = 2
)

// Leaders returns the addresses of the hosts that lead this data centre, the first
// one first; none where its daemons are too few to need one.
func (e *Exchange) Leaders() []string {
	hosts := e.hosts()
	members := 0
	for _, h := range hosts {
		if h.DataCentre == e.dataCentre {
			members++
		}
	}
	if members <= leastFollowers {
		return nil
	}
	var addresses []string
	for _, name := range e.answering(e.dataCentre, hosts) {
		if addresses = append(addresses, hosts[name].Address); len(addresses) == mostLeaders {
			break
		}
	}
	return addresses
}

func (e *Exchange) reportHost(ctx context.Context, host, address string) {
	answer, err := e.call(ctx, host, address, Report{From: e.host, Snapshot: e.board.Own()})
	if err == nil {
		e.board.SetPeerTotal(answer)
	}
}

func (e *Exchange) reportDataCentre(ctx context.Context, centre, host, address string) {
	answer, err := e.call(ctx, host, address, Report{From: e.dataCentre, IsDataCentre: true, Snapshot: e.board.DataCentreTotal()})
	if err == nil {
		e.board.SetDataCentreTotal(centre, answer)
	}
}

func (e *Exchange) call(ctx context.Context, host, address string, r Report) (Snapshot, error) {
	callCtx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	answer, err := peer.Call[Report, Snapshot](callCtx, e.peers, address, peer.KindReport, r)
	if ctx.Err() == nil {
		e.note(host, err)
	}
	return answer, err
}

// note remembers whether a host answers, and writes a line when that changes.
func (e *Exchange) note(host string, err error) {
	e.mu.Lock()
	_, was := e.silent[host]
	if err != nil {
		e.silent[host] = e.clock.Now() + silentTime
	} else {
		delete(e.silent, host)
	}
	e.mu.Unlock()
	switch {
	case err != nil && !was:
		e.log.Warn("peer lost", "peer", host, "error", err.Error())
	case err == nil && was:
		e.log.Info("peer regained", "peer", host)
	}
}
