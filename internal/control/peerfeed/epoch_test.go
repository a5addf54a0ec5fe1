package peerfeed

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// relistLeader makes the leader notice the new epoch and read the complete table.
func (p *pair) relistLeader() {
	p.t.Helper()
	_, err := p.leader.Changes(p.t.Context(), "t", p.leaderPosition, 100)
	assert.ErrorIs(p.t, err, rowstore.ErrEpochChanged)
	page, err := p.leader.List(p.t.Context(), "t")
	assert.NilError(p.t, err)
	p.leaderPosition = page.Position
}

// TestReusedVersions checks that after the store has returned from a copy, a follower
// gets every row that differs, by the leader's list alone, even if the row has a version
// that the follower already knows.
func TestReusedVersions(t *testing.T) {
	cases := map[string]struct {
		after func(s *memoryStore) // written after the return
		want  map[string]string
	}{
		"nothing written again":                {func(*memoryStore) {}, map[string]string{"b": "old", "c": ""}},
		"same rows at the same versions":       {func(s *memoryStore) { s.put("b", "new"); s.put("c", "3") }, map[string]string{}},
		"same rows at each other's versions":   {func(s *memoryStore) { s.put("c", "3"); s.put("b", "new") }, map[string]string{"b": "new", "c": "3"}},
		"another value at the same version":    {func(s *memoryStore) { s.put("b", "newer"); s.put("c", "3") }, map[string]string{"b": "newer"}},
		"another row at a version given again": {func(s *memoryStore) { s.put("d", "4") }, map[string]string{"b": "old", "c": "", "d": "4"}},
		"deleted":                              {func(s *memoryStore) { s.put("b", ""); s.put("c", "3") }, map[string]string{"b": ""}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.store.put("b", "old")
			p.store.put("b", "new")
			p.store.put("c", "3")
			p.pollLeader()
			p.pollFollower()
			calls := p.followerStore.count()
			p.store.restore(2)
			c.after(p.store)
			p.relistLeader()
			assert.DeepEqual(t, p.pollFollower(), c.want)
			assert.Equal(t, p.followerPosition.Epoch, int64(1))
			p.store.put("e", "5")
			p.pollLeader()
			assert.Equal(t, p.pollFollower()["e"], "5", "versions of the new epoch are followed")
			assert.Equal(t, p.followerStore.count(), calls)
		})
	}
}

// TestLeaderOfEarlierEpoch checks that a follower that knows of the new epoch does not use
// a leader that does not, although the leader's version is higher.
func TestLeaderOfEarlierEpoch(t *testing.T) {
	p := newPair(t)
	p.store.put("b", "1")
	p.store.put("b", "2")
	p.pollLeader()
	p.store.restore(1)
	page, err := p.follower.List(t.Context(), "t")
	assert.NilError(t, err)
	p.followerPosition = page.Position
	p.store.put("c", "3")
	assert.DeepEqual(t, p.pollFollower(), map[string]string{"c": "3"})
}

// TestFollowersWaitForLeader checks that a follower that notices the new epoch first
// leaves reading the complete table to its leader.
func TestFollowersWaitForLeader(t *testing.T) {
	p := newPair(t)
	p.store.put("b", "2")
	p.pollLeader()
	p.pollFollower()
	p.store.restore(1)
	p.follower.skipLeader(p.leader.SelfAddress, "t", errLeaderUnavailable)
	calls := p.followerStore.count()
	received := make(chan map[string]string, 1)
	go func() { received <- p.pollFollower() }()
	for p.followerStore.count() == calls {
		time.Sleep(time.Millisecond)
	}
	p.relistLeader()
	assert.DeepEqual(t, <-received, map[string]string{"b": ""})
	assert.Equal(t, p.followerStore.count(), calls+1, "one call for changes, no list")
}

// replica is a daemon's copy of a table, kept by the pages that it receives.
type replica struct {
	history  *history
	position rowstore.Position
	rows     map[string]rowstore.State
}

func newReplica() *replica {
	return &replica{history: newHistory(), rows: make(map[string]rowstore.State)}
}

func (r *replica) apply(page rowstore.Page, complete bool) {
	if complete {
		clear(r.rows)
		r.history.applyList(page, 1)
	} else {
		r.history.applyChanges(r.position, page, 1)
	}
	for _, row := range page.Rows {
		delete(r.rows, row.Key)
		if !row.Deleted {
			r.rows[row.Key] = row.State()
		}
	}
	r.position = laterOf(r.position, page.Position)
}

// follow updates the replica from the leader's history. It reports whether the leader
// could answer.
func (r *replica) follow(leader *replica) bool {
	response, _ := leader.history.since(r.position, 1, 1)
	if response.Unavailable || response.Epoch < r.position.Epoch {
		return false
	}
	page := rowstore.Page{Position: rowstore.Position{Epoch: response.Epoch, Version: response.Version}}
	for _, row := range response.Rows {
		page.Rows = append(page.Rows, row.decode("t"))
	}
	r.apply(page, false)
	return true
}

// update reads the table or its changes from the store.
func (r *replica) update(s *memoryStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.history.loaded && r.position.Epoch == s.epoch {
		r.apply(s.read(r.position.Version), false)
		return
	}
	page := s.read(0)
	live := page.Rows[:0]
	for _, row := range page.Rows {
		if !row.Deleted {
			live = append(live, row)
		}
	}
	page.Rows = live
	r.apply(page, true)
}

// TestReplicasConverge restores a store at random moments beside writers. Daemons read
// from it or from each other in any order; whoever has just read from the store, or from
// a daemon that has, must hold the store's contents.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newMemoryStore()
		replicas := []*replica{newReplica(), newReplica(), newReplica()}
		for _, r := range replicas {
			r.update(s)
		}
		contents := func() map[string]rowstore.State {
			rows := make(map[string]rowstore.State)
			for key, row := range s.rows {
				if !row.Deleted {
					rows[key] = row.State()
				}
			}
			return rows
		}
		check := func(t *rapid.T, r *replica) {
			if !maps.Equal(r.rows, contents()) {
				t.Fatalf("replica holds %v, the store %v", r.rows, contents())
			}
		}
		draw := func(t *rapid.T, name string) *replica {
			return replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, name)]
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				s.put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "value"))
			},
			"restore": func(t *rapid.T) { s.restore(max(s.version-int64(rapid.IntRange(0, 4).Draw(t, "lost")), 0)) },
			"read": func(t *rapid.T) {
				r := draw(t, "replica")
				r.update(s)
				check(t, r)
			},
			"follow": func(t *rapid.T) { draw(t, "replica").follow(draw(t, "leader")) },
			"follow a current leader": func(t *rapid.T) {
				leader, r := draw(t, "leader"), draw(t, "replica")
				leader.update(s)
				if leader != r && r.follow(leader) {
					check(t, r)
				}
			},
		})
	})
}
