package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// retryInterval is how often a queued request checks for a free server without
// being woken: slots are also freed by peers and by new snapshots.
const retryInterval = 20 * time.Millisecond

// Dispatcher assigns requests to backend servers. Safe for concurrent use.
type Dispatcher struct {
	clock        clock.Clock
	snapshot     func() *controlstate.Snapshot
	counters     *placement.InFlightCounters
	policy       placement.Policy
	maxQueueTime clock.Millis
	policySeed   atomic.Uint64

	mu     sync.Mutex
	queues map[string]*admission.Queue // by pool; guarded by mu
}

// NewDispatcher returns a dispatcher that queues a request for at most
// maxQueueTime. snapshot returns the current snapshot and must be safe for
// concurrent use.
func NewDispatcher(c clock.Clock, snapshot func() *controlstate.Snapshot, counters *placement.InFlightCounters, policy placement.Policy, maxQueueTime clock.Millis) *Dispatcher {
	return &Dispatcher{
		clock:        c,
		snapshot:     snapshot,
		counters:     counters,
		policy:       policy,
		maxQueueTime: maxQueueTime,
		queues:       make(map[string]*admission.Queue),
	}
}

// Waiting returns the number of queued requests by pool.
func (d *Dispatcher) Waiting() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[string]int, len(d.queues))
	for pool, q := range d.queues {
		waiting[pool] = q.Len()
	}
	return waiting
}

// Acquire reserves a slot at a backend server, queueing the request if all servers
// are full. The server is chosen by the snapshot that is current when the slot is
// reserved, also after a wait. The caller must release the grant. Every error is a
// *result.Error with run "no".
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Grant, error) {
	grant, candidates, err := d.tryAcquire(r)
	if err != nil || grant != nil {
		return grant, err
	}
	queue := d.queue(r.Pool)
	if err := d.checkWait(queue, r, candidates); err != nil {
		return nil, err
	}
	waiter := queue.Enqueue(r.Account, r.Weight, r.Priority)
	grant, err = d.wait(ctx, waiter, r)
	queue.Remove(waiter, grant != nil)
	if grant == nil {
		queue.WakeNext()
	}
	return grant, err
}

// checkWait rejects a request that is not expected to get a server before its
// deadline or within maxQueueTime.
func (d *Dispatcher) checkWait(queue *admission.Queue, r Request, candidates int) error {
	expected := queue.ExpectedWait(r.Account, r.Weight, r.Priority, d.capacity(r.Pool))
	remaining := r.Deadline - d.clock.Now()
	if expected > remaining {
		return result.New(result.DeadlineTooShort, "expected wait is %d ms, but the deadline is in %d ms", expected, remaining)
	}
	if expected > d.maxQueueTime {
		return result.New(result.Overloaded, "expected wait is %d ms, more than the limit of %d ms", expected, d.maxQueueTime)
	}
	if candidates == 0 && d.maxQueueTime == 0 {
		return result.New(result.NoServer, "no backend server of pool %s is in service for %s", r.Pool, tables.JoinVersion(r.Model, r.Version))
	}
	return nil
}

// capacity returns this daemon's share of the pool's slots, at least 1.
func (d *Dispatcher) capacity(pool string) int {
	s := d.snapshot()
	slots := 0
	for name := range s.Document.Pools[pool].Servers {
		slots += s.ConcurrencyLimit(placement.ServerKey{Pool: pool, Server: name})
	}
	return max(slots/max(len(s.LivePeers)+1, 1), 1)
}

func (d *Dispatcher) wait(ctx context.Context, waiter *admission.Waiter, r Request) (*Grant, error) {
	until := min(d.clock.Now()+d.maxQueueTime, r.Deadline)
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	candidates := 0
	for d.clock.Now() < until {
		select {
		case <-ctx.Done():
			return nil, result.New(result.DeadlineTooShort, "cancelled while queued: %v", ctx.Err())
		case <-waiter.Wake:
		case <-ticker.C:
		}
		grant, n, err := d.tryAcquire(r)
		if err != nil || grant != nil {
			return grant, err
		}
		candidates = n
	}
	if candidates == 0 {
		return nil, result.New(result.NoServer, "no backend server of pool %s is in service for %s", r.Pool, tables.JoinVersion(r.Model, r.Version))
	}
	return nil, result.New(result.Overloaded, "all %d backend servers of pool %s are full", candidates, r.Pool)
}

// tryAcquire reserves a slot at the best server that has one free. It also returns
// how many servers can serve the request, full or not.
func (d *Dispatcher) tryAcquire(r Request) (*Grant, int, error) {
	now := d.clock.Now()
	s := d.snapshot()
	if err := CheckAllowed(s, r, now); err != nil {
		return nil, 0, err
	}
	candidates := d.candidates(s, r, now)
	for _, c := range d.policy.Order(candidates, d.policySeed.Add(1)) {
		if d.counters.TryAdd(c.Key, c.MaxInFlight) {
			return &Grant{dispatcher: d, Key: c.Key, Address: c.Address, acquiredAt: now}, len(candidates), nil
		}
	}
	return nil, len(candidates), nil
}

// CheckAllowed returns NotConfirmed if the snapshot's configuration may be out of
// date at now, and VersionWithdrawn if the account may not run the model version.
func CheckAllowed(s *controlstate.Snapshot, r Request, now clock.Millis) error {
	if !s.Confirmed(now) {
		return result.New(result.NotConfirmed, "the confirmation of the configuration expired %d ms ago", now-s.ConfirmedUntil)
	}
	if r.Model != "" && !s.MayRun(r.Account, r.Model, r.Version) {
		return result.New(result.VersionWithdrawn, "%s is not available to the client account", tables.JoinVersion(r.Model, r.Version))
	}
	return nil
}

// candidates returns the servers of this daemon's preferred subset of the pool that
// can serve the request, or those of the whole pool if the subset has none.
func (d *Dispatcher) candidates(s *controlstate.Snapshot, r Request, now clock.Millis) []placement.Candidate {
	candidates := d.filterServers(s, r, s.PreferredServers[r.Pool], now)
	if len(candidates) == 0 {
		candidates = d.filterServers(s, r, slices.Sorted(maps.Keys(s.Document.Pools[r.Pool].Servers)), now)
	}
	return withAffinity(candidates, r.AffinityKey)
}

// filterServers returns the named servers that can serve the request. Servers that
// were already tried are returned only if there are no others.
func (d *Dispatcher) filterServers(s *controlstate.Snapshot, r Request, names []string, now clock.Millis) []placement.Candidate {
	pool := s.Document.Pools[r.Pool]
	modelVersion := tables.JoinVersion(r.Model, r.Version)
	var untried, tried []placement.Candidate
	for _, name := range names {
		server, ok := pool.Servers[name]
		key := placement.ServerKey{Pool: r.Pool, Server: name}
		if !ok || !s.Available(key, now) || !holdsVersion(s, key, server, r.Model, modelVersion) {
			continue
		}
		c := placement.Candidate{
			Key:            key,
			Address:        server.Address,
			MaxInFlight:    d.maxInFlight(s, key, server),
			Load:           s.LoadPerSlot(key, d.counters.Get(key)),
			SameDataCentre: server.DataCentre == s.DataCentre,
		}
		if r.Tried[key] {
			tried = append(tried, c)
			continue
		}
		untried = append(untried, c)
	}
	if len(untried) == 0 {
		return tried
	}
	return untried
}

// holdsVersion reports whether the server holds the model version. The server's own
// report overrides the configuration, since models are loaded and unloaded under
// traffic.
func holdsVersion(s *controlstate.Snapshot, key placement.ServerKey, server tables.BackendServer, model, modelVersion string) bool {
	if model == "" {
		return true
	}
	if state := s.Servers[key]; state.Reported && state.Load.Holds != nil {
		return slices.Contains(state.Load.Holds, modelVersion)
	}
	return slices.Contains(server.Holds, modelVersion)
}

// maxInFlight returns how many requests this daemon may have in flight at the
// server. At a warm server the in-flight requests of peers are subtracted, but this
// daemon's share of the slots always remains.
func (d *Dispatcher) maxInFlight(s *controlstate.Snapshot, key placement.ServerKey, server tables.BackendServer) int {
	limit := s.ConcurrencyLimit(key)
	state := s.Servers[key]
	if state.Cold || !state.Reported {
		return limit
	}
	slots := state.Capacity.Bound(server.Slots)
	share := (slots + len(s.LivePeers)) / (len(s.LivePeers) + 1)
	return max(limit-state.PeerInFlight, share)
}

// affinityScores are the affinities of the first servers in the rendezvous order of an
// affinity key. All others have affinity 0.
var affinityScores = []float64{1, 0.6}

// withAffinity sets the affinity of the candidates by rendezvous hashing of the key,
// so that all daemons send requests with the same prompt prefix to the servers that
// have it cached, without exchanging messages.
func withAffinity(candidates []placement.Candidate, affinityKey string) []placement.Candidate {
	if affinityKey == "" {
		return candidates
	}
	ordered := container.Rendezvous(affinityKey, candidates, func(c placement.Candidate) string { return c.Key.Server })
	for i := range min(len(ordered), len(affinityScores)) {
		ordered[i].Affinity = affinityScores[i]
	}
	return ordered
}

func (d *Dispatcher) queue(pool string) *admission.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.queues[pool]
	if !ok {
		q = admission.NewQueue()
		d.queues[pool] = q
	}
	return q
}
