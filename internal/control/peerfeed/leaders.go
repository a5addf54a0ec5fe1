package peerfeed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	// Shares of Config.ApplyTimeout after the last confirmation by the store at which the
	// next source of changes is called, whatever became of the earlier ones: the second
	// leader, each further one, and after them the store. A leader confirms each
	// leaderWaitShare.
	secondSourceShare = 0.55
	sourceShareStep   = 0.1
	// relistWaitShare is how long a daemon leaves reading a complete table to its leaders.
	relistWaitShare = 0.3
	// leaderPollInterval is the interval between calls to a leader in that time.
	leaderPollInterval = 100 * clock.Millis(1)
	// skipTime is how long a leader is not called again after a failed or unusable
	// response.
	skipTime = 2_000 * clock.Millis(1)
)

// errLeaderOutdated means that the leader has not noticed the store's return from an
// older copy.
var errLeaderOutdated = errors.New("leader is in an earlier epoch of the store")

// errLeaderUnavailable corresponds to ChangesResponse.Unavailable.
var errLeaderUnavailable = errors.New("leader is disconnected from the store or its history is too short")

// errLeaderLate means that the leader had not responded when the next source was due.
var errLeaderLate = errors.New("leader did not confirm the table in time")

// leaderResult is the outcome of a call to a leader.
type leaderResult struct {
	address     string
	page        rowstore.Page
	confirmedAt clock.Millis // when the store confirmed the page
	err         error
}

// sourceDue returns when the source with the index is called at the latest, if the store last
// confirmed the table at confirmedAt. The sources are the leaders and after them the store.
func (s *Store) sourceDue(index int, confirmedAt clock.Millis) clock.Millis {
	return confirmedAt + s.timeShare(secondSourceShare+sourceShareStep*float64(index-1))
}

// pollLeaders returns the first page that one of the leaders has. A leader is called when it
// is due or all earlier ones have failed. It returns false when the store is due, however
// many of the leaders have been called: the time since the last confirmation bounds all calls
// together, so that several unresponsive leaders delay a change no longer than one.
func (s *Store) pollLeaders(ctx context.Context, leaders []string, table string, after rowstore.Position) (rowstore.Page, bool) {
	confirmedAt := s.history(table).confirmationTime()
	storeDue := s.sourceDue(len(leaders), confirmedAt)
	ctx, cancel := context.WithTimeout(ctx, (storeDue - s.Clock.Now()).Duration())
	defer cancel()
	results := make(chan leaderResult, len(leaders))
	pending := make(map[string]bool)
	for next := 0; ctx.Err() == nil; {
		now := s.Clock.Now()
		for next < len(leaders) && (len(pending) == 0 || now >= s.sourceDue(next, confirmedAt)) {
			address := leaders[next]
			next++
			if s.isSkipped(address) {
				continue
			}
			pending[address] = true
			request := ChangesRequest{Table: table, After: after.Version, Epoch: after.Epoch, MaxWait: storeDue - now, KnownAge: now - confirmedAt}
			go func() { results <- s.callLeader(ctx, address, request) }()
		}
		if len(pending) == 0 {
			return rowstore.Page{}, false
		}
		var nextDue <-chan time.Time
		if next < len(leaders) {
			nextDue = time.After((s.sourceDue(next, confirmedAt) - now).Duration())
		}
		select {
		case result := <-results:
			delete(pending, result.address)
			if result.err == nil {
				s.skipLate(pending, table, confirmedAt)
				return s.acceptPage(table, after, result), true
			}
			if ctx.Err() == nil {
				s.skipLeader(result.address, table, result.err)
			}
		case <-nextDue:
		case <-ctx.Done():
		}
	}
	s.skipLate(pending, table, confirmedAt)
	return rowstore.Page{}, false
}

// skipLate skips the leaders that have not responded although the second source was due.
func (s *Store) skipLate(pending map[string]bool, table string, confirmedAt clock.Millis) {
	if s.Clock.Now() < s.sourceDue(1, confirmedAt) {
		return
	}
	for address := range pending {
		s.skipLeader(address, table, errLeaderLate)
	}
}

// awaitLeader polls the leaders until one has the differences between the position and a
// later state, for a share of ApplyTimeout. Otherwise all daemons would read the complete
// table when the store returns with an older copy.
func (s *Store) awaitLeader(ctx context.Context, leaders []string, table string, after rowstore.Position) (rowstore.Page, bool) {
	if len(leaders) == 0 {
		return rowstore.Page{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeShare(relistWaitShare).Duration())
	defer cancel()
	results := make(chan leaderResult, len(leaders))
	for _, address := range leaders {
		go func() {
			for ctx.Err() == nil {
				result := s.callLeader(ctx, address, ChangesRequest{Table: table, After: after.Version, Epoch: after.Epoch})
				if result.err == nil && result.page.Compare(after) > 0 {
					results <- result
					return
				}
				clock.Sleep(ctx, leaderPollInterval)
			}
		}()
	}
	select {
	case result := <-results:
		return s.acceptPage(table, after, result), true
	case <-ctx.Done():
		return rowstore.Page{}, false
	}
}

// callLeader requests the changes from the leader until ctx is done.
func (s *Store) callLeader(ctx context.Context, address string, request ChangesRequest) leaderResult {
	startedAt := s.Clock.Now()
	response, err := s.callPeer(ctx, address, request)
	switch {
	case err != nil:
		return leaderResult{address: address, err: err}
	case response.Unavailable:
		return leaderResult{address: address, err: errLeaderUnavailable}
	case response.Epoch < request.Epoch:
		return leaderResult{address: address, err: errLeaderOutdated}
	}
	page := rowstore.Page{Position: rowstore.Position{Epoch: response.Epoch, Version: response.Version}, StoreTime: response.Now, FromPeer: true}
	for _, r := range response.Rows {
		page.Rows = append(page.Rows, r.decode(request.Table))
	}
	// Counted from the start of the call, since the response may have been delayed on its way.
	return leaderResult{address: address, page: page, confirmedAt: startedAt + response.Held - response.Age}
}

// acceptPage adds a leader's page to the history and returns it.
func (s *Store) acceptPage(table string, after rowstore.Position, result leaderResult) rowstore.Page {
	s.leaderResponses.Add(1)
	s.history(table).applyChanges(after, result.page, result.confirmedAt)
	result.page.StoreFailedAt = s.breaker.lastFailure()
	return result.page
}

// LeaderResponses returns the number of leader responses that replaced a call to the
// store.
func (s *Store) LeaderResponses() int64 { return s.leaderResponses.Load() }

func (s *Store) skipLeader(address, table string, cause error) {
	s.Log.Info("leader skipped after a failed request", "address", address, "table", table, "error", cause.Error(), "for_ms", int64(skipTime))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skippedUntil[address] = s.Clock.Now() + skipTime
}

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
