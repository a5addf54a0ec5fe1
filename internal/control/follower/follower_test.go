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

// step is one answer of the scripted store.
type step struct {
	page rowstore.Page
	err  error
}

// scriptedStore answers calls in the order of its steps, and holds the call after
// the last one until the test ends.
type scriptedStore struct {
	mu    sync.Mutex
	steps []step
	calls []string
	waits []clock.Millis
	done  chan struct{}
}

func (s *scriptedStore) next(ctx context.Context, call string, wait clock.Millis) (rowstore.Page, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	s.waits = append(s.waits, wait)
	if len(s.steps) == 0 {
		s.mu.Unlock()
		close(s.done)
		<-ctx.Done()
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	current := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	return current.page, current.err
}

func (s *scriptedStore) List(ctx context.Context, _ string) (rowstore.Page, error) {
	return s.next(ctx, "list", 0)
}

func (s *scriptedStore) Changes(ctx context.Context, _ string, after int64, wait clock.Millis) (rowstore.Page, error) {
	return s.next(ctx, "changes after "+string(rune('0'+after)), wait)
}

func (s *scriptedStore) Commit(context.Context, ...rowstore.Write) (int64, error) { return 0, nil }

// silentStore answers no call for changes, and tells of the second one.
type silentStore struct {
	scriptedStore
	changes int
	again   chan struct{}
}

func (s *silentStore) Changes(ctx context.Context, _ string, _ int64, _ clock.Millis) (rowstore.Page, error) {
	s.mu.Lock()
	s.changes++
	if s.changes == 2 {
		close(s.again)
	}
	s.mu.Unlock()
	<-ctx.Done()
	return rowstore.Page{}, rowstore.ErrUnavailable
}

// record is a sink that writes down what it gets.
type record struct{ events []string }

func (r *record) Replace(_ string, p rowstore.Page) { r.add("replace", p) }
func (r *record) Update(_ string, p rowstore.Page)  { r.add("change", p) }
func (r *record) SetAvailable(_ string, well bool) {
	if well {
		r.events = append(r.events, "well")
		return
	}
	r.events = append(r.events, "lost")
}

func (r *record) add(what string, p rowstore.Page) {
	for _, row := range p.Rows {
		what += " " + row.Key
	}
	r.events = append(r.events, what)
}

func page(version int64, keys ...string) rowstore.Page {
	p := rowstore.Page{Version: version}
	for _, k := range keys {
		p.Rows = append(p.Rows, rowstore.Row{Key: k})
	}
	return p
}

// TestSilentCall has a call for changes that is never answered; the follower must
// ask again after its own time.
func TestSilentCall(t *testing.T) {
	store := &silentStore{scriptedStore: scriptedStore{steps: []step{{page: page(1, "a")}}, done: make(chan struct{})}, again: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go New(hclog.NewNullLogger(), store, &record{}, "t", 1, 50).Run(ctx)
	select {
	case <-store.again:
	case <-time.After(10 * time.Second):
		t.Fatal("the follower waits for good")
	}
}

// TestFollow walks through the store's weather.
func TestFollow(t *testing.T) {
	cases := map[string]struct {
		steps  []step
		calls  []string
		events []string
		waits  []bool // whether the call waits for changes
	}{
		"calm": {
			[]step{{page: page(1, "a")}, {page: page(2, "b")}, {page: page(2)}},
			[]string{"list", "changes after 1", "changes after 2", "changes after 2"},
			[]string{"well", "replace a", "well", "change b", "well", "change"},
			[]bool{false, true, true, true},
		},
		"down at the start": {
			[]step{{err: rowstore.ErrUnavailable}, {page: page(1, "a")}},
			[]string{"list", "list", "changes after 1"},
			[]string{"lost", "well", "replace a"},
			[]bool{false, false, true},
		},
		"lost and regained": {
			[]step{{page: page(1, "a")}, {err: rowstore.ErrUnavailable}, {page: page(3, "c")}},
			[]string{"list", "changes after 1", "changes after 1", "changes after 3"},
			[]string{"well", "replace a", "lost", "well", "change c"},
			[]bool{false, true, false, true},
		},
		"history forgotten": {
			[]step{{page: page(1, "a")}, {err: rowstore.ErrCompacted}, {page: page(7, "b")}},
			[]string{"list", "changes after 1", "list", "changes after 7"},
			[]string{"well", "replace a", "well", "replace b"},
			[]bool{false, true, false, true},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := &scriptedStore{steps: c.steps, done: make(chan struct{})}
			sink := &record{}
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
