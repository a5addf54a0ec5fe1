package loadbalance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// roomFixture is a balancer with servers of 16 slots and the daemons h0, h1, ...
type roomFixture struct {
	balancer *Balancer
	view     *fleet.View
	request  Request
}

func newRoomFixture(servers, daemons int, shared, engines bool) *roomFixture {
	f := &roomFixture{balancer: NewBalancer(), view: fleet.NewView()}
	f.balancer.SetFeatures(loadfeatures.Features{SharedCapacity: shared})
	pool := catalog.Pool{Name: "text"}
	if engines {
		pool.TokenMemory, pool.Slots = 100_000, 16
	}
	for i := range servers {
		f.view = f.view.WithServer(fleet.Server{ID: fmt.Sprintf("s%d", i), Pool: "text", DataCentre: "dc", Slots: 16}, 1)
	}
	for i := range daemons {
		f.view = f.view.WithHost(fmt.Sprintf("h%d", i), fleet.Host{Address: "a"})
	}
	f.request = Request{Pool: pool, DataCentre: "dc", Self: "h0", Hosts: f.view.HostNames(), Model: "large", Now: 10_000}
	return f
}

// fill starts requests until none is accepted, and returns their number.
func (f *roomFixture) fill() (started int) {
	for ; started < 10_000; started++ {
		f.request.Salt = uint64(started) * 0x9e3779b97f4a7c15
		if _, result := f.balancer.Choose(f.view, f.request); result != Chosen {
			return started
		}
	}
	return started
}

// recordRuns records enough run times to count as measured.
func (f *roomFixture) recordRuns(elapsed clock.Millis) {
	for range runTimeRequests {
		f.balancer.RecordRunTime("text", "large", elapsed)
	}
}

// TestMaxCalls guards against a server that gets more than it can start soon while the daemons
// share capacity, and against a change where they don't.
func TestMaxCalls(t *testing.T) {
	cases := map[string]struct {
		shared, engines bool
		runTime         clock.Millis // 0 if not measured
		want            int
	}{
		"engine":                            {false, true, 0, 24},
		"plain server":                      {false, false, 0, 48},
		"engine, measured":                  {false, true, 4_000, 24},
		"shared engine, not measured":       {true, true, 0, 24},
		"shared engine, runs of 4 s":        {true, true, 4_000, 18},
		"shared engine, runs of 1.6 s":      {true, true, 1_600, 20},
		"shared engine, runs of 100 ms":     {true, true, 100, 24},
		"shared engine, very long runs":     {true, true, 60_000, 17},
		"shared plain server, runs of 60ms": {true, false, 60, 48},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newRoomFixture(1, 1, c.shared, c.engines)
			if c.runTime > 0 {
				f.recordRuns(c.runTime)
			}
			assert.Equal(t, f.fill(), c.want)
		})
	}
}

// TestRoom checks the free capacity of a pool. It guards against a server of unknown load that
// counts as full, and against an estimate that misses the requests of other daemons.
func TestRoom(t *testing.T) {
	f := newRoomFixture(2, 2, true, true)
	room := f.balancer.Room(f.view, f.request)
	assert.DeepEqual(t, room, Room{Slots: 32, Servers: 2, FreePrefill: 2 * prefillHorizon})
	f.recordRuns(1_600)
	f.balancer.SetPeersHeard(10_000)
	f.balancer.SetPeerLoads(map[string]Load{"s0": {Calls: 20, Prefill: 400}, "s1": {Calls: 10, Prefill: 300}}, 10_000)
	f.request.Now = 10_100
	room = f.balancer.Room(f.view, f.request)
	assert.Equal(t, room.Busy, 26)
	assert.Equal(t, room.Queued, 4)
	assert.Equal(t, room.StartsPerSecond, 20.0)
	assert.Equal(t, room.Wait, clock.Millis(0))
	assert.Equal(t, room.Known, 2)
	assert.Equal(t, room.Age, clock.Millis(100))
	assert.Equal(t, room.FreePrefill, prefillHorizon-300, "s0 has no free place")
	f.balancer.SetPeerLoads(map[string]Load{"s0": {Calls: 20}, "s1": {Calls: 19}}, 10_100)
	room = f.balancer.Room(f.view, f.request)
	assert.Equal(t, room.Wait, clock.Millis(400), "eight requests ahead at 20 a second")
	f.view = f.view.WithoutServer("s0")
	assert.Equal(t, f.balancer.Room(f.view, f.request).Slots, 16)
	e, _ := f.view.Server("s1")
	f.balancer.RecordNoAnswer(&e, f.request.Now)
	assert.Equal(t, f.balancer.Room(f.view, f.request).Servers, 0, "ejected")
}

// TestDaemonWithoutPeers guards against a partitioned daemon that takes the capacity of all:
// without reports for 2 s it uses its part of the pool.
func TestDaemonWithoutPeers(t *testing.T) {
	const daemons = 4
	f := newRoomFixture(4, daemons, true, true)
	f.balancer.SetPeersHeard(9_000)
	f.request.Now = 10_900
	limit := f.fill()
	assert.Equal(t, limit, 4*24, "heard lately")
	f = newRoomFixture(4, daemons, true, true)
	f.balancer.SetPeersHeard(9_000)
	f.request.Now = 11_000
	assert.Equal(t, f.fill(), 24, "a quarter of 4 x 24")
	f = newRoomFixture(4, 1, true, true)
	assert.Equal(t, f.fill(), 96, "the only daemon")
	f = newRoomFixture(4, daemons, false, true)
	assert.Equal(t, f.fill(), 96, "without the feature")
}

// TestScarcePlacesAreDivided guards against daemons that each take the same few free places of
// the last report: all together may start as many as are free, and one that has ended a request
// may start another.
func TestScarcePlacesAreDivided(t *testing.T) {
	const daemons, servers = 10, 10
	var fixtures []*roomFixture
	for i := range daemons {
		f := newRoomFixture(servers, daemons, true, true)
		f.request.Self = fmt.Sprintf("h%d", i)
		f.recordRuns(1_600)
		f.balancer.SetPeersHeard(10_000)
		loads := make(map[string]Load)
		for s := range servers {
			loads[fmt.Sprintf("s%d", s)] = Load{Calls: 18} // limit 20
		}
		// The state of a server begins with the first request that it is considered for.
		f.balancer.Room(f.view, f.request)
		f.balancer.SetPeerLoads(loads, 10_000)
		fixtures = append(fixtures, f)
	}
	started := 0
	for _, f := range fixtures {
		started += f.fill()
	}
	assert.Assert(t, started > 0 && started <= 2*servers, "%d started in %d places", started, 2*servers)
}

// TestEndedRequestIsReplaced guards against a place that stays unused until the next report.
func TestEndedRequestIsReplaced(t *testing.T) {
	f := newRoomFixture(2, 2, true, true)
	f.recordRuns(1_600)
	f.balancer.SetPeersHeard(10_000)
	choice, result := f.balancer.Choose(f.view, f.request)
	assert.Equal(t, result, Chosen)
	f.balancer.SetPeerLoads(map[string]Load{"s0": {Calls: 24}, "s1": {Calls: 24}, choice.Server.ID: {Calls: 15}}, 10_400)
	f.request.Now = 10_400
	_, result = f.balancer.Choose(f.view, f.request)
	assert.Equal(t, result, AtCapacity, "the places of one server are taken by the queue at the other")
	f.balancer.Done(&choice)
	_, result = f.balancer.Choose(f.view, f.request)
	assert.Equal(t, result, Chosen)
	f.request.Overdraft = 1
	_, result = f.balancer.Choose(f.view, f.request)
	assert.Equal(t, result, Chosen, "one more may be overdrawn")
	_, result = f.balancer.Choose(f.view, f.request)
	assert.Equal(t, result, AtCapacity)
}
