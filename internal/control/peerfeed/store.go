// Package peerfeed follows the tables of the row store through other daemons: in
// each data centre one daemon asks the store, and the others ask that one. The
// store's calls then grow with the data centres and not with the daemons.
//
// A daemon that hears nothing useful in time asks the store itself, so no daemon
// depends on another one for being up to date.
package peerfeed

import (
	"context"
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
	// leadWaitPart of the time in which a change must be in force is how long the
	// leading daemon's calls to the store are left open, and freshPart how old its
	// knowledge may be. What is left is for a member's own call to the store.
	leadWaitPart = 0.45
	freshPart    = 0.65
	// peerSlack is how much longer than its wait a call to the leading daemon may take.
	peerSlack = 500 * clock.Millis(1)
)

// Config is what a store works with.
type Config struct {
	Log      hclog.Logger
	Clock    clock.Clock
	RowStore rowstore.Store
	Peers    *peer.Client
	// SelfAddress is the address of this daemon.
	SelfAddress string
	// Leaders returns the addresses of the daemons that ask the store for those of
	// this data centre, the first one first; none where the daemons are too few.
	Leaders func() []string
	// ApplyTimeout is the time in which a change must be in force.
	ApplyTimeout clock.Millis
}

// Store is a rowstore.Store whose changes come from the leading daemon where
// there is one. It is safe for concurrent use.
type Store struct {
	Config
	breaker   *breaker
	heard     atomic.Int64 // answers of leading daemons that were of use
	mu        sync.Mutex
	histories map[string]*history
	passed    map[string]clock.Millis // until when a leader that was of no use is passed over
}

// New returns a store.
func New(c Config) *Store {
	return &Store{
		Config: c, breaker: newBreaker(c.Clock), histories: make(map[string]*history), passed: make(map[string]clock.Millis),
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

func (s *Store) part(share float64) clock.Millis {
	return clock.Millis(float64(s.ApplyTimeout) * share)
}

// List returns all rows of a table from the store.
func (s *Store) List(ctx context.Context, table string) (rowstore.Page, error) {
	page, err := s.call(ctx, func() (rowstore.Page, error) { return s.RowStore.List(ctx, table) })
	if err == nil {
		s.history(table).noteList(page, s.Clock.Now())
	}
	return page, err
}

// Commit writes to the store.
func (s *Store) Commit(ctx context.Context, writes ...rowstore.Write) (int64, error) {
	return s.RowStore.Commit(ctx, writes...)
}

// Changes waits for changes of the table, from the leading daemon if it is in
// touch with the store, else from the store.
func (s *Store) Changes(ctx context.Context, table string, after int64, wait clock.Millis) (rowstore.Page, error) {
	leaders, h := s.Leaders(), s.history(table)
	if len(leaders) > 0 {
		wait = min(wait, s.part(leadWaitPart))
	}
	for _, address := range leaders {
		if address == s.SelfAddress {
			// The others need to hear in time that nothing has changed.
			wait = max(wait-h.age(s.Clock.Now()), 0)
			break
		}
		if s.isPassedOver(address) {
			continue
		}
		page, err := s.askLeader(ctx, address, ChangesRequest{Table: table, After: after, MaxWait: wait})
		if err == nil {
			return page, nil
		}
		s.passOver(address, table, err)
	}
	page, err := s.call(ctx, func() (rowstore.Page, error) { return s.RowStore.Changes(ctx, table, after, wait) })
	if err == nil {
		h.noteChanges(after, page, s.Clock.Now())
	}
	return page, errors.WithStack(err)
}

// call makes a call to the store, unless it fails and another table's call is
// finding out whether it still does.
func (s *Store) call(ctx context.Context, read func() (rowstore.Page, error)) (rowstore.Page, error) {
	if err := s.breaker.enter(ctx); err != nil {
		return rowstore.Page{}, err
	}
	page, err := read()
	s.breaker.leave(err == nil || errors.Is(err, rowstore.ErrCompacted))
	return page, err
}

// passTime is for how long a leader that was of no use isn't asked again.
const passTime = 2_000 * clock.Millis(1)

func (s *Store) passOver(address, table string, why error) {
	s.Log.Info("leading daemon passed over", "address", address, "table", table, "error", why.Error(), "for_ms", int64(passTime))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passed[address] = s.Clock.Now() + passTime
}

// LeaderResponses returns how many answers of leading daemons took the place of a call to the
// store.
func (s *Store) LeaderResponses() int64 { return s.heard.Load() }

// errUseless says that the leading daemon is out of touch with the store, or doesn't
// remember what changed since.
var errUseless = errors.New("the leading daemon can't tell what changed")

func (s *Store) isPassedOver(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.passed[address]
	if ok && s.Clock.Now() >= until {
		delete(s.passed, address)
		ok = false
	}
	return ok
}

// askLeader returns what the leading daemon knows.
func (s *Store) askLeader(ctx context.Context, address string, ask ChangesRequest) (rowstore.Page, error) {
	callCtx, cancel := context.WithTimeout(ctx, (ask.MaxWait + peerSlack).Duration())
	defer cancel()
	answer, err := peer.Call[ChangesRequest, ChangesResponse](callCtx, s.Peers, address, peer.KindChanges, ask)
	if err != nil {
		return rowstore.Page{}, err
	}
	if answer.Unavailable {
		return rowstore.Page{}, errUseless
	}
	s.heard.Add(1)
	page := rowstore.Page{Version: answer.Version, Now: answer.Now, Shared: true}
	for _, r := range answer.Rows {
		page.Rows = append(page.Rows, r.decode(ask.Table))
	}
	s.history(ask.Table).noteChanges(ask.After, page, s.Clock.Now()-answer.Age)
	return page, nil
}

// Register makes the server answer other daemons.
func (s *Store) Register(server *peer.Server) {
	peer.Handle(server, peer.KindChanges, func(ctx context.Context, ask ChangesRequest) (ChangesResponse, error) {
		return s.answer(ctx, ask), nil
	})
}

// answer waits for changes, for the end of the wait, or until this daemon is out
// of touch with the store.
func (s *Store) answer(ctx context.Context, ask ChangesRequest) ChangesResponse {
	fresh := s.part(freshPart)
	until := s.Clock.Now() + ask.MaxWait
	h := s.history(ask.Table)
	for {
		now := s.Clock.Now()
		answer, changed := h.since(ask.After, now, fresh)
		if answer.Unavailable || len(answer.Rows) > 0 || now >= until || ctx.Err() != nil {
			return answer
		}
		timer := time.NewTimer(min(until-now, fresh-answer.Age+1).Duration())
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
