package peerfeed

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// applyTimeout is long enough for a busy test machine. Tests do not wait for it to
// elapse unless they say so.
const applyTimeout = 2_000 * clock.Millis(1)

// recovery is the time after an outage in which probes are at most 500 ms apart.
const recovery = 3_000 * clock.Millis(1)

// memoryStore is a row store with one table, in memory.
type memoryStore struct {
	mu        sync.Mutex
	version   int64
	rows      map[string]rowstore.Row
	changed   chan struct{}
	compacted int64 // version up to which changes are no longer available
	epoch     int64
	writes    []rowstore.Row // all that the current contents result from
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: make(map[string]rowstore.Row), changed: make(chan struct{})}
}

func (s *memoryStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := rowstore.Row{Table: "t", Key: key, Value: []byte(value), Version: s.version, Deleted: value == ""}
	s.rows[key] = row
	s.writes = append(s.writes, row)
	s.wake()
}

// wake must be called with mu held.
func (s *memoryStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore returns to the contents as of the version, in a new epoch.
func (s *memoryStore) restore(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = slices.DeleteFunc(s.writes, func(r rowstore.Row) bool { return r.Version > version })
	clear(s.rows)
	for _, r := range s.writes {
		s.rows[r.Key] = r
	}
	s.version = version
	s.epoch++
	s.wake()
}

// position must be called with mu held.
func (s *memoryStore) position() rowstore.Position {
	return rowstore.Position{Epoch: s.epoch, Version: s.version}
}

// read returns the rows written after the version. It must be called with mu held.
func (s *memoryStore) read(after int64) rowstore.Page {
	page := rowstore.Page{Position: s.position()}
	for _, r := range s.rows {
		if r.Version > after {
			r.Epoch = s.epoch
			page.Rows = append(page.Rows, r)
		}
	}
	return page
}

func (s *memoryStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version
}

// daemonStore is one daemon's access to a memoryStore. It counts the daemon's calls
// and can be made unavailable.
type daemonStore struct {
	*memoryStore
	mu          sync.Mutex
	calls       int
	unavailable bool
}

func (s *daemonStore) recordCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return rowstore.ErrUnavailable
	}
	return nil
}

func (s *daemonStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *daemonStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *daemonStore) List(_ context.Context, _ string) (rowstore.Page, error) {
	if err := s.recordCall(); err != nil {
		return rowstore.Page{}, err
	}
	s.memoryStore.mu.Lock()
	defer s.memoryStore.mu.Unlock()
	page := s.read(0)
	page.Rows = slices.DeleteFunc(page.Rows, func(r rowstore.Row) bool { return r.Deleted })
	return page, nil
}

func (s *daemonStore) Changes(ctx context.Context, _ string, after rowstore.Position, wait clock.Millis) (rowstore.Page, error) {
	if err := s.recordCall(); err != nil {
		return rowstore.Page{}, err
	}
	limit, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		s.memoryStore.mu.Lock()
		page, changed, compacted := s.read(after.Version), s.changed, s.compacted
		s.memoryStore.mu.Unlock()
		if after.Version < compacted {
			return rowstore.Page{}, rowstore.ErrCompacted
		}
		if after.Epoch != page.Epoch {
			return rowstore.Page{}, rowstore.ErrEpochChanged
		}
		if len(page.Rows) > 0 || limit.Err() != nil {
			return page, nil
		}
		select {
		case <-changed:
		case <-limit.Done():
		}
	}
}

func (s *daemonStore) Commit(context.Context, ...rowstore.Write) (rowstore.Position, error) {
	return rowstore.Position{}, nil
}

func laterOf(p, q rowstore.Position) rowstore.Position {
	if p.Compare(q) > 0 {
		return p
	}
	return q
}

// pair is a leader and a follower that polls it.
type pair struct {
	t                                *testing.T
	store                            *memoryStore
	leaderStore, followerStore       *daemonStore
	leader, follower                 *Store
	leaderPosition, followerPosition rowstore.Position
	server                           *peer.Server
	listener                         net.Listener
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{t: t, store: newMemoryStore(), server: peer.NewServer(hclog.NewNullLogger(), "")}
	p.leaderStore, p.followerStore = &daemonStore{memoryStore: p.store}, &daemonStore{memoryStore: p.store}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.listener = listener
	address := listener.Addr().String()
	system := clock.NewSystem()
	p.leader = New(Config{Log: hclog.NewNullLogger(), Clock: system, RowStore: p.leaderStore, ApplyTimeout: applyTimeout, Recovery: recovery, SelfAddress: address, Leaders: func() []string { return []string{address} }})
	p.follower = New(Config{
		Log: hclog.NewNullLogger(), Clock: system, RowStore: p.followerStore, ApplyTimeout: applyTimeout, Recovery: recovery, Peers: peer.NewClient("", nil),
		Leaders: func() []string { return []string{address} },
	})
	p.leader.Register(p.server)
	go func() { _ = p.server.Serve(t.Context(), listener) }()
	t.Cleanup(p.close)
	p.store.put("a", "1")
	for _, s := range []*Store{p.leader, p.follower} {
		page, err := s.List(t.Context(), "t")
		assert.NilError(t, err)
		assert.Equal(t, len(page.Rows), 1)
		p.leaderPosition, p.followerPosition = page.Position, page.Position
	}
	return p
}

func (p *pair) close() {
	_ = p.listener.Close()
	p.server.CloseAll()
}

// pollLeader makes the leader's next call for changes.
func (p *pair) pollLeader() {
	p.t.Helper()
	page, err := p.leader.Changes(p.t.Context(), "t", p.leaderPosition, 100)
	assert.NilError(p.t, err)
	p.leaderPosition = laterOf(p.leaderPosition, page.Position)
}

// pollFollower makes the follower's next call for changes and returns the changed
// values by key.
func (p *pair) pollFollower() map[string]string {
	p.t.Helper()
	page, err := p.follower.Changes(p.t.Context(), "t", p.followerPosition, applyTimeout)
	assert.NilError(p.t, err)
	p.followerPosition = laterOf(p.followerPosition, page.Position)
	values := make(map[string]string)
	for _, r := range page.Rows {
		assert.Equal(p.t, r.Table, "t")
		values[r.Key] = string(r.Value)
	}
	return values
}

// callsUntilStale is the number of calls for changes that a leader can still answer
// after its last confirmation by the store; the call after them goes to the store.
const callsUntilStale = 1

// pollFollowerUntilStale makes callsUntilStale calls and one more, and returns the
// last value received for the key.
func (p *pair) pollFollowerUntilStale(key string) string {
	p.t.Helper()
	value := ""
	for range callsUntilStale + 1 {
		if v, ok := p.pollFollower()[key]; ok {
			value = v
		}
	}
	return value
}

// TestFollowerGetsChangesFromLeader checks that changes reach a follower without any
// store call of its own.
func TestFollowerGetsChangesFromLeader(t *testing.T) {
	p := newPair(t)
	calls := p.followerStore.count()
	received := make(chan map[string]string, 1)
	go func() { received <- p.pollFollower() }()
	p.store.put("b", "2")
	p.store.put("a", "")
	p.pollLeader()
	assert.DeepEqual(t, <-received, map[string]string{"a": "", "b": "2"})
	p.store.put("c", "3")
	p.pollLeader()
	assert.DeepEqual(t, p.pollFollower(), map[string]string{"c": "3"})
	assert.Equal(t, p.followerStore.count(), calls)
}

// TestFollowerFallsBackToStore checks that a follower still gets changes if its leader
// is gone, is disconnected from the store, or no longer has the changes.
func TestFollowerFallsBackToStore(t *testing.T) {
	cases := map[string]func(p *pair){
		"the leader is gone": func(p *pair) { p.close() },
		"the leader is disconnected from the store": func(p *pair) {
			// The store no longer confirms the leader's version.
			p.leaderStore.unavailable = true
		},
		"the leader's history is too short": func(p *pair) {
			p.store.put("long", string(make([]byte, maxHistoryBytes+1)))
			p.pollLeader()
		},
	}
	for name, breakLeader := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			breakLeader(p)
			p.store.put("b", "2")
			assert.Equal(t, p.pollFollowerUntilStale("b"), "2")
		})
	}
}

// TestPageStatesLastFailure checks that the first page after an outage states when the last
// failed call to the store began, whether it comes from the store or from the leader.
// Guards against waiting too long for servers that left during the outage.
func TestPageStatesLastFailure(t *testing.T) {
	cases := map[string]func(p *pair){
		"from the store":  func(p *pair) { p.followerStore.unavailable = false },
		"from the leader": func(p *pair) { clear(p.follower.skippedUntil) },
	}
	for name, recoverPath := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.follower.skipLeader(p.leader.SelfAddress, "t", errLeaderUnavailable)
			p.followerStore.unavailable = true
			before := p.follower.Clock.Now()
			_, err := p.follower.Changes(t.Context(), "t", p.followerPosition, 0)
			assert.ErrorIs(t, err, rowstore.ErrUnavailable)
			after := p.follower.Clock.Now()
			recoverPath(p)
			p.store.put("b", "2")
			p.pollLeader()
			page, err := p.follower.Changes(t.Context(), "t", p.followerPosition, 0)
			assert.NilError(t, err)
			assert.Equal(t, page.FromPeer, name == "from the leader")
			assert.Assert(t, page.StoreFailedAt >= before && page.StoreFailedAt <= after)
		})
	}
}

// TestOnlyLeaderListsAfterCompaction checks that after the store has compacted its
// history, the leader reads the complete table and the follower gets the differences
// from the leader, without a store call of its own.
func TestOnlyLeaderListsAfterCompaction(t *testing.T) {
	p := newPair(t)
	p.store.put("b", "2")
	p.store.put("a", "")
	p.store.compact()
	_, err := p.leader.Changes(t.Context(), "t", p.leaderPosition, 100)
	assert.ErrorIs(t, err, rowstore.ErrCompacted)
	calls := p.followerStore.count()
	_, err = p.leader.List(t.Context(), "t")
	assert.NilError(t, err)
	assert.DeepEqual(t, p.pollFollower(), map[string]string{"a": "", "b": "2"})
	assert.Equal(t, p.followerStore.count(), calls)
}

// TestDaemonsPollingEachOther has two daemons that each take the other for the leader.
// Neither calls the store at first; both must detect that and get the change.
func TestDaemonsPollingEachOther(t *testing.T) {
	p := newPair(t)
	second := peer.NewServer(hclog.NewNullLogger(), "")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.follower.Register(second)
	go func() { _ = second.Serve(t.Context(), listener) }()
	defer func() { _ = listener.Close() }()
	p.leader.Peers = peer.NewClient("", nil)
	p.leader.Leaders = func() []string { return []string{listener.Addr().String()} }
	p.store.put("b", "2")
	leaderDone := make(chan error, 1)
	go func() {
		var err error
		for range callsUntilStale + 1 {
			var page rowstore.Page
			page, err = p.leader.Changes(t.Context(), "t", p.leaderPosition, applyTimeout)
			p.leaderPosition = laterOf(p.leaderPosition, page.Position)
		}
		leaderDone <- err
	}()
	assert.Equal(t, p.pollFollowerUntilStale("b"), "2")
	assert.NilError(t, <-leaderDone)
	assert.Equal(t, p.leaderPosition, p.followerPosition)
}
