// Package peerfeed distributes changes of the row store's tables among daemons. In
// each data centre, one daemon (the leader) polls the store and the others poll the
// leader, so that the number of store calls grows with the data centres and not with
// the daemons.
//
// A daemon that gets no usable response from a leader in time calls the store itself,
// so no daemon depends on another one to stay up to date.
package peerfeed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	// Shares of Config.ApplyTimeout: how long the leader's calls to the store may wait
	// for changes, and how old the leader's last confirmation by the store may be. The
	// remaining time is for a follower's own call to the store.
	leaderWaitShare = 0.45
	maxAgeShare     = 0.65
	// relistWaitShare is how long a daemon leaves reading a complete table to its leader.
	relistWaitShare = 0.3
	// leaderPollInterval is the interval between calls to leaders in that time.
	leaderPollInterval = 100 * clock.Millis(1)
	// peerCallMargin is how much longer than its MaxWait a call to the leader may take.
	peerCallMargin = 500 * clock.Millis(1)
)

// Config holds the settings and dependencies of a Store.
type Config struct {
	Log      hclog.Logger
	Clock    clock.Clock
	RowStore rowstore.Store
	Peers    *peer.Client
	// SelfAddress is the peer address of this daemon.
	SelfAddress string
	// Leaders returns the addresses of this data centre's leaders by descending
	// preference. It is empty if there are too few daemons to need a leader.
	Leaders func() []string
	// ApplyTimeout is the time within which every daemon must apply a change.
	ApplyTimeout clock.Millis
	// Recovery is the time after a store outage from which on changes must again be
	// applied in time.
	Recovery clock.Millis
}

// Store is a rowstore.Store that gets changes from a leader where there is one. Safe
// for concurrent use.
type Store struct {
	Config
	breaker         *breaker
	leaderResponses atomic.Int64
	mu              sync.Mutex              // guards the fields below
	histories       map[string]*history     // by table name
	skippedUntil    map[string]clock.Millis // by address; leaders whose last response was not usable
}

// New returns a store that calls c.RowStore where no leader responds.
func New(c Config) *Store {
	return &Store{
		Config: c, breaker: newBreaker(c.Clock, c.Recovery), histories: make(map[string]*history), skippedUntil: make(map[string]clock.Millis),
	}
}

func (s *Store) history(table string) *history {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.histories[table]
	if !ok {
		h = newHistory()
		s.histories[table] = h
	}
	return h
}

func (s *Store) timeShare(share float64) clock.Millis {
	return clock.Millis(float64(s.ApplyTimeout) * share)
}

// List returns all rows of a table, always from the store itself.
func (s *Store) List(ctx context.Context, table string) (rowstore.Page, error) {
	page, err := s.call(ctx, func() (rowstore.Page, error) { return s.RowStore.List(ctx, table) })
	if err == nil {
		s.history(table).applyList(page, s.Clock.Now())
	}
	return page, err
}

// Commit writes to the store.
func (s *Store) Commit(ctx context.Context, writes ...rowstore.Write) (rowstore.Position, error) {
	return s.RowStore.Commit(ctx, writes...)
}

// Changes waits for changes of the table. It polls the first usable leader, or the
// store if there is none or this daemon is the leader.
func (s *Store) Changes(ctx context.Context, table string, after rowstore.Position, wait clock.Millis) (rowstore.Page, error) {
	leaders, h := s.Leaders(), s.history(table)
	if len(leaders) > 0 {
		wait = min(wait, s.timeShare(leaderWaitShare))
	}
	for _, address := range leaders {
		if address == s.SelfAddress {
			// Followers need a recent confirmation even if nothing has changed.
			wait = max(wait-h.age(s.Clock.Now()), 0)
			break
		}
		if s.isSkipped(address) {
			continue
		}
		page, err := s.callLeader(ctx, address, ChangesRequest{Table: table, After: after.Version, Epoch: after.Epoch, MaxWait: wait})
		if err == nil {
			page.StoreFailedAt = s.breaker.lastFailure()
			return page, nil
		}
		s.skipLeader(address, table, err)
	}
	page, err := s.call(ctx, func() (rowstore.Page, error) {
		callCtx, cancel := context.WithTimeout(ctx, (wait + answerTimeout).Duration())
		defer cancel()
		return s.RowStore.Changes(callCtx, table, after, wait)
	})
	if errors.Is(err, rowstore.ErrEpochChanged) || errors.Is(err, rowstore.ErrCompacted) {
		if differences, ok := s.awaitLeader(ctx, leaders, table, after); ok {
			return differences, nil
		}
	}
	if err == nil {
		h.applyChanges(after, page, s.Clock.Now())
	}
	return page, errors.WithStack(err)
}

// awaitLeader polls the leaders before this daemon until one has the differences between
// the position and a later state, for a share of ApplyTimeout. Otherwise all daemons
// would read the complete table when the store returns with an older copy.
func (s *Store) awaitLeader(ctx context.Context, leaders []string, table string, after rowstore.Position) (rowstore.Page, bool) {
	if self := slices.Index(leaders, s.SelfAddress); self >= 0 {
		leaders = leaders[:self]
	}
	until := s.Clock.Now() + s.timeShare(relistWaitShare)
	for len(leaders) > 0 && ctx.Err() == nil && s.Clock.Now() < until {
		for _, address := range leaders {
			page, err := s.callLeader(ctx, address, ChangesRequest{Table: table, After: after.Version, Epoch: after.Epoch})
			if err == nil && page.Compare(after) > 0 {
				page.StoreFailedAt = s.breaker.lastFailure()
				return page, true
			}
		}
		clock.Sleep(ctx, leaderPollInterval)
	}
	return rowstore.Page{}, false
}

// call makes a call to the store. While the store fails, calls wait for their turn as
// a probe or for another table's probe to succeed.
func (s *Store) call(ctx context.Context, read func() (rowstore.Page, error)) (rowstore.Page, error) {
	if err := s.breaker.acquire(ctx); err != nil {
		return rowstore.Page{}, err
	}
	startedAt := s.Clock.Now()
	page, err := read()
	answered := err == nil || errors.Is(err, rowstore.ErrCompacted) || errors.Is(err, rowstore.ErrEpochChanged)
	s.breaker.release(answered, startedAt)
	page.StoreFailedAt = s.breaker.lastFailure()
	return page, err
}

// skipTime is how long a leader is not called again after a failed or unusable
// response.
const skipTime = 2_000 * clock.Millis(1)

func (s *Store) skipLeader(address, table string, cause error) {
	s.Log.Info("leader skipped after a failed request", "address", address, "table", table, "error", cause.Error(), "for_ms", int64(skipTime))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skippedUntil[address] = s.Clock.Now() + skipTime
}

// LeaderResponses returns the number of leader responses that replaced a call to the
// store.
func (s *Store) LeaderResponses() int64 { return s.leaderResponses.Load() }

// errLeaderOutdated means that the leader has not noticed the store's return from an
// older copy.
var errLeaderOutdated = errors.New("leader is in an earlier epoch of the store")

// errLeaderUnavailable corresponds to ChangesResponse.Unavailable.
var errLeaderUnavailable = errors.New("leader is disconnected from the store or its history is too short")

func (s *Store) isSkipped(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.skippedUntil[address]
	if ok && s.Clock.Now() >= until {
		delete(s.skippedUntil, address)
		ok = false
	}
	return ok
}

// callLeader requests the changes from the leader and adds them to the history.
func (s *Store) callLeader(ctx context.Context, address string, request ChangesRequest) (rowstore.Page, error) {
	callCtx, cancel := context.WithTimeout(ctx, (request.MaxWait + peerCallMargin).Duration())
	defer cancel()
	response, err := peer.Call[ChangesRequest, ChangesResponse](callCtx, s.Peers, address, peer.KindChanges, request)
	if err != nil {
		return rowstore.Page{}, err
	}
	if response.Unavailable {
		return rowstore.Page{}, errLeaderUnavailable
	}
	after := rowstore.Position{Epoch: request.Epoch, Version: request.After}
	if response.Epoch < after.Epoch {
		return rowstore.Page{}, errLeaderOutdated
	}
	s.leaderResponses.Add(1)
	page := rowstore.Page{Position: rowstore.Position{Epoch: response.Epoch, Version: response.Version}, StoreTime: response.Now, FromPeer: true}
	for _, r := range response.Rows {
		page.Rows = append(page.Rows, r.decode(request.Table))
	}
	s.history(request.Table).applyChanges(after, page, s.Clock.Now()-response.Age)
	return page, nil
}

// Register adds the handler of other daemons' ChangesRequests to the server.
func (s *Store) Register(server *peer.Server) {
	peer.Handle(server, peer.KindChanges, func(ctx context.Context, request ChangesRequest) (ChangesResponse, error) {
		return s.serveChanges(ctx, request), nil
	})
}

// serveChanges returns as soon as there are changes, MaxWait is over, the response becomes
// Unavailable, or ctx is done.
func (s *Store) serveChanges(ctx context.Context, request ChangesRequest) ChangesResponse {
	maxAge := s.timeShare(maxAgeShare)
	until := s.Clock.Now() + request.MaxWait
	h := s.history(request.Table)
	after := rowstore.Position{Epoch: request.Epoch, Version: request.After}
	for {
		now := s.Clock.Now()
		response, changed := h.since(after, now, maxAge)
		if response.Unavailable || len(response.Rows) > 0 || response.Epoch != after.Epoch || now >= until || ctx.Err() != nil {
			return response
		}
		timer := time.NewTimer(min(until-now, maxAge-response.Age+1).Duration())
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
