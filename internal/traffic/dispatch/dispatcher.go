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

// tryPeriod is how often a waiter looks again without being woken, since room
// also comes from peers and from new snapshots.
const tryPeriod = 20 * time.Millisecond

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	clock     clock.Clock
	snapshots func() *controlstate.Snapshot
	counters  *placement.InFlightCounters
	policy    placement.Policy
	queueFor  clock.Millis
	count     atomic.Uint64

	mu     sync.Mutex
	queues map[string]*admission.Queue
}

// NewDispatcher returns a dispatcher whose requests wait at most queueFor.
func NewDispatcher(c clock.Clock, snapshots func() *controlstate.Snapshot, counters *placement.InFlightCounters, policy placement.Policy, queueFor clock.Millis) *Dispatcher {
	return &Dispatcher{
		clock:     c,
		snapshots: snapshots,
		counters:  counters,
		policy:    policy,
		queueFor:  queueFor,
		queues:    make(map[string]*admission.Queue),
	}
}

// Waiting returns the number of requests that wait, by pool.
func (d *Dispatcher) Waiting() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[string]int, len(d.queues))
	for pool, q := range d.queues {
		waiting[pool] = q.Len()
	}
	return waiting
}

// Acquire returns a server that may take the request now. The snapshot that it
// decides by is the newest of the moment, also after a wait. Every error is a
// *result.Error with run "no".
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Grant, error) {
	grant, found, err := d.try(r)
	if err != nil || grant != nil {
		return grant, err
	}
	queue := d.queue(r.Pool)
	if err := d.checkWait(queue, r, found); err != nil {
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

// checkWait refuses at once what can't be served before its deadline.
func (d *Dispatcher) checkWait(queue *admission.Queue, r Request, candidates int) error {
	expected := queue.ExpectedWait(r.Account, r.Weight, r.Priority, d.capacity(r.Pool))
	left := r.Deadline - d.clock.Now()
	if expected > left {
		return result.New(result.DeadlineTooShort, "expected wait %d ms, time left %d ms", expected, left)
	}
	if expected > d.queueFor {
		return result.New(result.Overloaded, "expected wait %d ms, longest wait %d ms", expected, d.queueFor)
	}
	if candidates == 0 && d.queueFor == 0 {
		return result.New(result.NoServer, "no backend server of pool %s is in service for %s", r.Pool, tables.JoinVersion(r.Model, r.Version))
	}
	return nil
}

func (d *Dispatcher) capacity(pool string) int {
	s := d.snapshots()
	slots := 0
	for name := range s.Document.Pools[pool].Servers {
		slots += s.ConcurrencyLimit(placement.ServerKey{Pool: pool, Server: name})
	}
	return max(slots/max(len(s.LivePeers)+1, 1), 1)
}

func (d *Dispatcher) wait(ctx context.Context, waiter *admission.Waiter, r Request) (*Grant, error) {
	until := min(d.clock.Now()+d.queueFor, r.Deadline)
	ticker := time.NewTicker(tryPeriod)
	defer ticker.Stop()
	found := 0
	for d.clock.Now() < until {
		select {
		case <-ctx.Done():
			return nil, result.New(result.DeadlineTooShort, "given up while waiting: %v", ctx.Err())
		case <-waiter.Wake:
		case <-ticker.C:
		}
		grant, n, err := d.try(r)
		if err != nil || grant != nil {
			return grant, err
		}
		found = n
	}
	if found == 0 {
		return nil, result.New(result.NoServer, "no backend server of pool %s is in service for %s", r.Pool, tables.JoinVersion(r.Model, r.Version))
	}
	return nil, result.New(result.Overloaded, "all %d backend servers of pool %s are full", found, r.Pool)
}

// try takes the best server with room. It also returns how many servers could
// serve the request if they had room.
func (d *Dispatcher) try(r Request) (*Grant, int, error) {
	now := d.clock.Now()
	s := d.snapshots()
	if err := CheckAllowed(s, r, now); err != nil {
		return nil, 0, err
	}
	candidates := d.candidates(s, r, now)
	for _, c := range d.policy.Order(candidates, d.count.Add(1)) {
		if d.counters.TryAdd(c.Key, c.MaxInFlight) {
			return &Grant{dispatcher: d, Key: c.Key, Address: c.Address, began: now}, len(candidates), nil
		}
	}
	return nil, len(candidates), nil
}

// CheckAllowed makes sure that the daemon may hand the request over.
func CheckAllowed(s *controlstate.Snapshot, r Request, now clock.Millis) error {
	if !s.Confirmed(now) {
		return result.New(result.NotConfirmed, "the configuration was last confirmed %d ms ago", now-s.ConfirmedUntil)
	}
	if r.Model != "" && !s.MayRun(r.Account, r.Model, r.Version) {
		return result.New(result.VersionWithdrawn, "%s may not run now", tables.JoinVersion(r.Model, r.Version))
	}
	return nil
}

// candidates looks among this daemon's subset of the pool, and at the whole pool
// only where no server of the subset can serve the request.
func (d *Dispatcher) candidates(s *controlstate.Snapshot, r Request, now clock.Millis) []placement.Candidate {
	found := d.usable(s, r, s.PreferredServers[r.Pool], now)
	if len(found) == 0 {
		found = d.usable(s, r, slices.Sorted(maps.Keys(s.Document.Pools[r.Pool].Servers)), now)
	}
	return withAffinity(found, r.AffinityKey)
}

// usable returns those of the named servers that can serve the request; ones
// already tried count only where there are no others.
func (d *Dispatcher) usable(s *controlstate.Snapshot, r Request, names []string, now clock.Millis) []placement.Candidate {
	pool := s.Document.Pools[r.Pool]
	wanted := tables.JoinVersion(r.Model, r.Version)
	var fresh, tried []placement.Candidate
	for _, name := range names {
		server, ok := pool.Servers[name]
		key := placement.ServerKey{Pool: r.Pool, Server: name}
		if !ok || !s.Available(key, now) || !holds(s, key, server, r.Model, wanted) {
			continue
		}
		c := placement.Candidate{
			Key:            key,
			Address:        server.Address,
			MaxInFlight:    d.limit(s, key, server),
			Load:           s.LoadPerSlot(key, d.counters.Get(key)),
			SameDataCentre: server.DataCentre == s.DataCentre,
		}
		if r.Tried[key] {
			tried = append(tried, c)
			continue
		}
		fresh = append(fresh, c)
	}
	if len(fresh) == 0 {
		return tried
	}
	return fresh
}

// holds goes by the server's own report where there is one, since models are
// loaded and unloaded under traffic.
func holds(s *controlstate.Snapshot, key placement.ServerKey, server tables.BackendServer, model, wanted string) bool {
	if model == "" {
		return true
	}
	if state := s.Servers[key]; state.Reported && state.Load.Holds != nil {
		return slices.Contains(state.Load.Holds, wanted)
	}
	return slices.Contains(server.Holds, wanted)
}

// limit leaves room for what peers have under way at a warm server, but never
// less than this daemon's part of it.
func (d *Dispatcher) limit(s *controlstate.Snapshot, key placement.ServerKey, server tables.BackendServer) int {
	limit := s.ConcurrencyLimit(key)
	state := s.Servers[key]
	if state.Cold || !state.Reported {
		return limit
	}
	slots := state.Capacity.Bound(server.Slots)
	part := (slots + len(s.LivePeers)) / (len(s.LivePeers) + 1)
	return max(limit-state.PeerInFlight, part)
}

// affinityRanks is how many servers a prompt prefix may settle on.
var affinityRanks = []float64{1, 0.6}

// withAffinity gives requests that share a prefix the same servers, by
// rendezvous hash, so that every daemon finds the same cached prefix without
// a message.
func withAffinity(candidates []placement.Candidate, prefix string) []placement.Candidate {
	if prefix == "" {
		return candidates
	}
	ordered := container.Rendezvous(prefix, candidates, func(c placement.Candidate) string { return c.Key.Server })
	for i := range min(len(ordered), len(affinityRanks)) {
		ordered[i].Affinity = affinityRanks[i]
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
