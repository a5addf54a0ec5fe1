package peerfeed

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/follower"
	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// contentsSink holds the contents of a table.
type contentsSink struct {
	mu   sync.Mutex
	rows map[string]string
}

func (s *contentsSink) SetAvailable(string, bool) {}

func (s *contentsSink) Replace(table string, page rowstore.Page) {
	s.mu.Lock()
	s.rows = make(map[string]string)
	s.mu.Unlock()
	s.Update(table, page)
}

func (s *contentsSink) Update(_ string, page rowstore.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range page.Rows {
		delete(s.rows, r.Key)
		if !r.Deleted {
			s.rows[r.Key] = string(r.Value)
		}
	}
}

func (s *contentsSink) holds(want map[string]string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Equal(s.rows, want)
}

// fleetStore is the access of all daemons to a memoryStore. It counts their calls.
type fleetStore struct {
	*daemonStore
	lists   atomic.Int64
	changes atomic.Int64
	away    atomic.Bool
}

func (s *fleetStore) List(ctx context.Context, table string) (rowstore.Page, error) {
	s.lists.Add(1)
	if s.away.Load() {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return s.daemonStore.List(ctx, table)
}

func (s *fleetStore) Changes(ctx context.Context, table string, after rowstore.Position, wait clock.Millis) (rowstore.Page, error) {
	s.changes.Add(1)
	if s.away.Load() {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	page, err := s.daemonStore.Changes(ctx, table, after, wait)
	if s.away.Load() {
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return page, err
}

const (
	fleetDataCentres = 3
	// fleetLeaderHosts is the number of hosts of a data centre from which on it has a
	// leader.
	fleetLeaderHosts = 4
)

// startFleet runs followers of the table on the number of daemons.
func startFleet(t *testing.T, store *fleetStore, daemons int) []*contentsSink {
	t.Helper()
	addresses, listeners := make([]string, daemons), make([]net.Listener, daemons)
	for i := range daemons {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		listeners[i], addresses[i] = listener, listener.Addr().String()
	}
	sinks := make([]*contentsSink, daemons)
	for i := range daemons {
		var leaders []string
		if daemons/fleetDataCentres >= fleetLeaderHosts {
			leaders = []string{addresses[i%fleetDataCentres], addresses[i%fleetDataCentres+fleetDataCentres]}
		}
		client := peer.NewClient("", nil)
		s := New(Config{
			Log: hclog.NewNullLogger(), Clock: clock.NewSystem(), RowStore: store, ApplyTimeout: applyTimeout, Peers: client,
			SelfAddress: addresses[i], Leaders: func() []string { return leaders },
		})
		server := peer.NewServer(hclog.NewNullLogger(), "")
		s.Register(server)
		go func() { _ = server.Serve(t.Context(), listeners[i]) }()
		t.Cleanup(server.CloseAll)
		sinks[i] = &contentsSink{}
		go follower.New(hclog.NewNullLogger(), s, sinks[i], "t", 400, 2_250).Run(t.Context())
	}
	return sinks
}

func waitForContents(t *testing.T, sinks []*contentsSink, want map[string]string) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for _, s := range sinks {
		for !s.holds(want) {
			assert.Assert(t, time.Now().Before(deadline), "a daemon does not hold the store's contents")
			time.Sleep(time.Millisecond)
		}
	}
}

// TestReturnAtSize checks that all daemons hold the store's contents soon after its return
// from a copy, and that the daemons of a data centre with a leader leave the complete
// read to it, also if the store was away before.
func TestReturnAtSize(t *testing.T) {
	for _, daemons := range []int{7, 65, 295} {
		for name, away := range map[string]time.Duration{"at once": 0, "after an outage": 2 * time.Second} {
			t.Run(fmt.Sprintf("%d daemons, %s", daemons, name), func(t *testing.T) {
				memory := newMemoryStore()
				memory.put("a", "1")
				memory.put("b", "1")
				store := &fleetStore{daemonStore: &daemonStore{memoryStore: memory}}
				sinks := startFleet(t, store, daemons)
				waitForContents(t, sinks, map[string]string{"a": "1", "b": "1"})
				memory.put("a", "2")
				memory.put("c", "2")
				waitForContents(t, sinks, map[string]string{"a": "2", "b": "1", "c": "2"})

				store.away.Store(away > 0)
				time.Sleep(away)
				lists, changes := store.lists.Load(), store.changes.Load()
				start := time.Now()
				memory.restore(2)
				memory.put("c", "3")
				store.away.Store(false)
				waitForContents(t, sinks, map[string]string{"a": "1", "b": "1", "c": "3"})
				lists, changes = store.lists.Load()-lists, store.changes.Load()-changes
				t.Logf("%d daemons hold the contents after %d ms, %d lists, %d calls for changes", daemons, time.Since(start).Milliseconds(), lists, changes)
				if daemons/fleetDataCentres >= fleetLeaderHosts {
					assert.Assert(t, lists <= 3*fleetDataCentres, "%d daemons made %d lists", daemons, lists)
				}
			})
		}
	}
}
