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
	// callPeer calls the peer at the address; tests replace the network.
	callPeer     func(ctx context.Context, address string, request ChangesRequest) (ChangesResponse, error)
	mu           sync.Mutex              // guards the fields below
	histories    map[string]*history     // by table name
	skippedUntil map[string]clock.Millis // by address; leaders whose last response was not usable
}

// New returns a store that calls c.RowStore where no leader responds.
func New(c Config) *Store {
	s := &Store{
		Config: c, breaker: newBreaker(c.Clock, c.Recovery), histories: make(map[string]*history), skippedUntil: make(map[string]clock.Millis),
	}
	s.callPeer = func(ctx context.Context, address string, request ChangesRequest) (ChangesResponse, error) {
		return peer.Call[ChangesRequest, ChangesResponse](ctx, s.Peers, address, peer.KindChanges, request)
	}
	return s
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

// Changes waits for changes of the table. It polls the leaders before this daemon, and the
// store if there are none or none of them confirms the table in time.
func (s *Store) Changes(ctx context.Context, table string, after rowstore.Position, wait clock.Millis) (rowstore.Page, error) {
	leaders, h := s.Leaders(), s.history(table)
	if len(leaders) > 0 {
		wait = min(wait, s.timeShare(leaderWaitShare))
	}
	if self := slices.Index(leaders, s.SelfAddress); self >= 0 {
		leaders = leaders[:self]
		// Followers need a recent confirmation even if nothing has changed.
		wait = max(wait-h.age(s.Clock.Now()), 0)
	}
	if page, ok := s.pollLeaders(ctx, leaders, table, after); ok {
		return page, nil
	}
	startedAt := s.Clock.Now()
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
		h.applyChanges(after, page, whenConfirmed(page, startedAt, s.Clock.Now(), wait))
	}
	return page, errors.WithStack(err)
}

// whenConfirmed returns when the store confirmed the page of a call that was started at
// startedAt. The response may have been delayed on its way.
func whenConfirmed(page rowstore.Page, startedAt, now, wait clock.Millis) clock.Millis {
	if len(page.Rows) > 0 {
		return now
	}
	return min(startedAt+wait, now)
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

// Register adds the handler of other daemons' ChangesRequests to the server.
func (s *Store) Register(server *peer.Server) {
	peer.Handle(server, peer.KindChanges, func(ctx context.Context, request ChangesRequest) (ChangesResponse, error) {
		return s.serveChanges(ctx, request), nil
	})
}

// minAgeGain is how much newer than the follower's a confirmation must be for a response
// without changes.
const minAgeGain = 100 * clock.Millis(1)

// serveChanges returns as soon as there are changes or a newer confirmation by the store,
// MaxWait is over, the response becomes Unavailable, or ctx is done.
func (s *Store) serveChanges(ctx context.Context, request ChangesRequest) ChangesResponse {
	maxAge := s.timeShare(maxAgeShare)
	startedAt := s.Clock.Now()
	until, knownAt := startedAt+request.MaxWait, startedAt-request.KnownAge
	h := s.history(request.Table)
	after := rowstore.Position{Epoch: request.Epoch, Version: request.After}
	for {
		now := s.Clock.Now()
		response, updated := h.since(after, now, maxAge)
		response.Held = now - startedAt
		isFresher := now-response.Age >= knownAt+minAgeGain
		if response.Unavailable || len(response.Rows) > 0 || response.Epoch != after.Epoch || isFresher || now >= until || ctx.Err() != nil {
			return response
		}
		timer := time.NewTimer(min(until-now, maxAge-response.Age+1).Duration())
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
