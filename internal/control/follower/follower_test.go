package follower

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// response is one response of a scriptedStore.
type response struct {
	page rowstore.Page
	err  error
}

// scriptedStore answers calls with its responses in order. The call after the last
// response closes done and blocks until its context ends.
type scriptedStore struct {
	mu        sync.Mutex
	responses []response
	calls     []string
	waits     []clock.Millis
	done      chan struct{}
}

func (s *scriptedStore) next(ctx context.Context, call string, wait clock.Millis) (rowstore.Page, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.waits = append(s.waits, wait)
	if len(s.responses) == 0 {
		s.mu.Unlock()
		close(s.done)
		<-ctx.Done()
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	current := s.responses[0]
	s.responses = s.responses[1:]
	s.mu.Unlock()
	return current.page, current.err
}

func (s *scriptedStore) List(ctx context.Context, _ string) (rowstore.Page, error) {
	return s.next(ctx, "list", 0)
}

func (s *scriptedStore) Changes(ctx context.Context, _ string, after rowstore.Position, wait clock.Millis) (rowstore.Page, error) {
	return s.next(ctx, "changes after "+string(rune('0'+after.Version)), wait)
}

func (s *scriptedStore) Commit(context.Context, ...rowstore.Write) (rowstore.Position, error) {
	return rowstore.Position{}, nil
}

// silentStore never answers a call for changes. The second such call closes again.
type silentStore struct {
	scriptedStore
	changes int
	again   chan struct{}
}

func (s *silentStore) Changes(ctx context.Context, _ string, _ rowstore.Position, _ clock.Millis) (rowstore.Page, error) {
	s.mu.Lock()
	s.changes++
	if s.changes == 2 {
		close(s.again)
	}
	s.mu.Unlock()
	<-ctx.Done()
	return rowstore.Page{}, rowstore.ErrUnavailable
}

// recorder is a Sink that records its calls.
type recorder struct{ events []string }

func (r *recorder) Replace(_ string, p rowstore.Page) { r.add("replace", p) }
func (r *recorder) Update(_ string, p rowstore.Page)  { r.add("update", p) }
func (r *recorder) SetAvailable(_ string, available bool) {
	if available {
		r.events = append(r.events, "available")
		return
	}
	r.events = append(r.events, "unavailable")
}

func (r *recorder) add(event string, p rowstore.Page) {
	for _, row := range p.Rows {
		event += " " + row.Key
	}
	r.events = append(r.events, event)
}

func page(version int64, keys ...string) rowstore.Page {
	p := rowstore.Page{Position: rowstore.Position{Version: version}}
	for _, k := range keys {
		p.Rows = append(p.Rows, rowstore.Row{Key: k})
	}
	return p
}

// TestUnansweredCallTimesOut checks that the follower abandons a call for changes that
// is never answered, and calls again. Guards against receiving no changes at all after
// a call was lost on a connection that looks healthy.
func TestUnansweredCallTimesOut(t *testing.T) {
	store := &silentStore{scriptedStore: scriptedStore{responses: []response{{page: page(1, "a")}}, done: make(chan struct{})}, again: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go New(hclog.NewNullLogger(), store, &recorder{}, "t", 1, 50).Run(ctx)
	select {
	case <-store.again:
	case <-time.After(10 * time.Second):
		t.Fatal("the follower did not call again")
	}
}

// TestRun checks the calls to the store and to the sink in normal operation, during
// outages of the store and after the store has compacted its history.
func TestRun(t *testing.T) {
	cases := map[string]struct {
		responses []response
		calls     []string
		events    []string
		waits     []bool // whether the call waits for changes
	}{
		"store available": {
			[]response{{page: page(1, "a")}, {page: page(2, "b")}, {page: page(2)}},
			[]string{"list", "changes after 1", "changes after 2", "changes after 2"},
			[]string{"available", "replace a", "available", "update b", "available", "update"},
			[]bool{false, true, true, true},
		},
		"store unavailable at the start": {
			[]response{{err: rowstore.ErrUnavailable}, {page: page(1, "a")}},
			[]string{"list", "list", "changes after 1"},
			[]string{"unavailable", "available", "replace a"},
			[]bool{false, false, true},
		},
		"store outage": {
			[]response{{page: page(1, "a")}, {err: rowstore.ErrUnavailable}, {page: page(3, "c")}},
			[]string{"list", "changes after 1", "changes after 1", "changes after 3"},
			[]string{"available", "replace a", "unavailable", "available", "update c"},
			[]bool{false, true, false, true},
		},
		"history compacted": {
			[]response{{page: page(1, "a")}, {err: rowstore.ErrCompacted}, {page: page(7, "b")}},
			[]string{"list", "changes after 1", "list", "changes after 7"},
			[]string{"available", "replace a", "available", "replace b"},
			[]bool{false, true, false, true},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := &scriptedStore{responses: c.responses, done: make(chan struct{})}
			sink := &recorder{}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				New(hclog.NewNullLogger(), store, sink, "t", 1, 5_000).Run(ctx)
			}()
			select {
			case <-store.done:
			case <-time.After(10 * time.Second):
				t.Fatal("the follower stopped calling")
			}
			cancel()
			<-ended
			assert.DeepEqual(t, store.calls, c.calls)
			assert.DeepEqual(t, sink.events, c.events)
			for i, waits := range c.waits {
				assert.Equal(t, store.waits[i] > 0, waits, "call %d", i)
			}
		})
	}
}
