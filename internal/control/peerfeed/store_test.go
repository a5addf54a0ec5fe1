package peerfeed

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/peer"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// apply is long enough for a busy test machine; no test waits it out unless it
// says so.
const apply = 2_000 * clock.Millis(1)

// memoryStore is a store with one table, which counts the calls of each daemon.
type memoryStore struct {
	mu      sync.Mutex
	version int64
	rows    map[string]rowstore.Row
	changed chan struct{}
	forgot  int64 // changes up to this version
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: make(map[string]rowstore.Row), changed: make(chan struct{})}
}

func (s *memoryStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = rowstore.Row{Table: "t", Key: key, Value: []byte(value), Version: s.version, Deleted: value == ""}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgot = s.version
}

// door is the store as one daemon sees it.
type door struct {
	*memoryStore
	mu    sync.Mutex
	calls int
	shut  bool
}

func (d *door) enter() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.shut {
		return rowstore.ErrUnavailable
	}
	return nil
}

func (d *door) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

func (d *door) List(_ context.Context, _ string) (rowstore.Page, error) {
	if err := d.enter(); err != nil {
		return rowstore.Page{}, err
	}
	d.memoryStore.mu.Lock()
	defer d.memoryStore.mu.Unlock()
	page := rowstore.Page{Version: d.version}
	for _, r := range d.rows {
		if !r.Deleted {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (d *door) Changes(ctx context.Context, _ string, after int64, wait clock.Millis) (rowstore.Page, error) {
	if err := d.enter(); err != nil {
		return rowstore.Page{}, err
	}
	limit, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		d.memoryStore.mu.Lock()
		page, changed, forgot := rowstore.Page{Version: d.version}, d.changed, d.forgot
		for _, r := range d.rows {
			if r.Version > after {
				page.Rows = append(page.Rows, r)
			}
		}
		d.memoryStore.mu.Unlock()
		if after < forgot {
			return rowstore.Page{}, rowstore.ErrCompacted
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

func (d *door) Commit(context.Context, ...rowstore.Write) (int64, error) { return 0, nil }

// pair is a daemon that leads and one that follows it.
type pair struct {
	t                        *testing.T
	store                    *memoryStore
	leadDoor, followDoor     *door
	leader, follower         *Store
	leadVersion, followAfter int64
	server                   *peer.Server
	listener                 net.Listener
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{t: t, store: newMemoryStore(), server: peer.NewServer(hclog.NewNullLogger(), "")}
	p.leadDoor, p.followDoor = &door{memoryStore: p.store}, &door{memoryStore: p.store}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.listener = listener
	address := listener.Addr().String()
	system := clock.NewSystem()
	p.leader = New(Config{Log: hclog.NewNullLogger(), Clock: system, RowStore: p.leadDoor, ApplyTimeout: apply, SelfAddress: address, Leaders: func() []string { return []string{address} }})
	p.follower = New(Config{
		Log: hclog.NewNullLogger(), Clock: system, RowStore: p.followDoor, ApplyTimeout: apply, Peers: peer.NewClient("", nil),
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
		p.leadVersion, p.followAfter = page.Version, page.Version
	}
	return p
}

func (p *pair) close() {
	_ = p.listener.Close()
	p.server.CloseAll()
}

// lead makes the leader's next call for changes.
func (p *pair) lead() {
	p.t.Helper()
	page, err := p.leader.Changes(p.t.Context(), "t", p.leadVersion, 100)
	assert.NilError(p.t, err)
	p.leadVersion = max(p.leadVersion, page.Version)
}

// follow makes the follower's next call and returns the keys that it brings.
func (p *pair) follow() map[string]string {
	p.t.Helper()
	page, err := p.follower.Changes(p.t.Context(), "t", p.followAfter, apply)
	assert.NilError(p.t, err)
	p.followAfter = max(p.followAfter, page.Version)
	keys := make(map[string]string)
	for _, r := range page.Rows {
		assert.Equal(p.t, r.Table, "t")
		keys[r.Key] = string(r.Value)
	}
	return keys
}

// callsUntilStale is how many calls for changes fit into the time for which a
// leader's word counts; the call after them goes to the store.
const callsUntilStale = 1

// followUntil makes the calls that a leader without news may take, and one more,
// and returns the value of the key.
func (p *pair) followUntil(key string) string {
	p.t.Helper()
	value := ""
	for range callsUntilStale + 1 {
		if v, ok := p.follow()[key]; ok {
			value = v
		}
	}
	return value
}

// TestFollowersSpareTheStore lets changes reach a follower without a call of its own.
func TestFollowersSpareTheStore(t *testing.T) {
	p := newPair(t)
	calls := p.followDoor.count()
	heard := make(chan map[string]string, 1)
	go func() { heard <- p.follow() }()
	p.store.put("b", "2")
	p.store.put("a", "")
	p.lead()
	assert.DeepEqual(t, <-heard, map[string]string{"a": "", "b": "2"})
	p.store.put("c", "3")
	p.lead()
	assert.DeepEqual(t, p.follow(), map[string]string{"c": "3"})
	assert.Equal(t, p.followDoor.count(), calls)
}

// TestFollowerAsksTheStore when the leader is of no use to it.
func TestFollowerAsksTheStore(t *testing.T) {
	cases := map[string]func(p *pair){
		"the leader has gone": func(p *pair) { p.close() },
		"the leader lost the store": func(p *pair) {
			// Nothing confirms the leader's version any more.
			p.leadDoor.shut = true
		},
		"the leader remembers too little": func(p *pair) {
			p.store.put("long", string(make([]byte, historyBytes+1)))
			p.lead()
		},
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			trouble(p)
			p.store.put("b", "2")
			assert.Equal(t, p.followUntil("b"), "2")
		})
	}
}

// TestCompactionIsReadOnce has the store forget its history; the leader reads the
// table again, and the follower gets the difference from it.
func TestCompactionIsReadOnce(t *testing.T) {
	p := newPair(t)
	p.store.put("b", "2")
	p.store.put("a", "")
	p.store.forget()
	_, err := p.leader.Changes(t.Context(), "t", p.leadVersion, 100)
	assert.ErrorIs(t, err, rowstore.ErrCompacted)
	calls := p.followDoor.count()
	_, err = p.leader.List(t.Context(), "t")
	assert.NilError(t, err)
	assert.DeepEqual(t, p.follow(), map[string]string{"a": "", "b": "2"})
	assert.Equal(t, p.followDoor.count(), calls)
}

// TestTwoDaemonsThatFollowEachOther disagree on who leads: each must find out
// that nobody asks the store.
func TestTwoDaemonsThatFollowEachOther(t *testing.T) {
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
	other := make(chan error, 1)
	go func() {
		var err error
		for range callsUntilStale + 1 {
			var page rowstore.Page
			page, err = p.leader.Changes(t.Context(), "t", p.leadVersion, apply)
			p.leadVersion = max(p.leadVersion, page.Version)
		}
		other <- err
	}()
	assert.Equal(t, p.followUntil("b"), "2")
	assert.NilError(t, <-other)
	assert.Equal(t, p.leadVersion, p.followAfter)
}
