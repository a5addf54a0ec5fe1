package loadbalance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const testDrainTime = 2_000 * clock.Millis(1)

func newDrainingBalancer() *Balancer {
	b := NewBalancer()
	b.SetDrainTime(testDrainTime)
	return b
}

// startedServer returns a server of the text pool that started at the given time.
func startedServer(id string, startedAt int64) fleet.Server {
	return fleet.Server{ID: id, Pool: "text", Address: "127.0.0.1:1", DataCentre: "dc-1", Version: "v1", Slots: 64, StartedAt: startedAt}
}

// place chooses a server for a short request.
func place(b *Balancer, v *fleet.View, salt uint64, now clock.Millis) (Choice, Result) {
	return b.Choose(v, Request{Pool: textPool(), DataCentre: "dc-1", Model: "m", Prompt: Prompt{Tokens: 100}, Salt: salt, Now: now})
}

// TestLeavingServer guards against new requests at a server whose drain time is over,
// whatever is heard of it later, and against losing a server that started anew.
func TestLeavingServer(t *testing.T) {
	const seen = 10_000
	own := func(b *Balancer, v *fleet.View) {
		e, _ := v.Server("e1")
		b.RecordAnnouncement(&e, Announcement{Leaving: true}, seen)
	}
	peer := func(b *Balancer, _ *fleet.View) { b.SetPeerDepartures([]Departure{{"e1", 5}}, seen) }
	cases := map[string]struct {
		announce func(b *Balancer, v *fleet.View)
		later    func(b *Balancer, v *fleet.View) *fleet.View // after the announcement
		after    clock.Millis
		want     Result
	}{
		"used before the end":        {own, nil, 1_000, Chosen},
		"not used after it":          {own, nil, 2_000, NoServer},
		"not used just before it":    {own, nil, 1_800, NoServer},
		"told by a peer":             {peer, nil, 2_000, NoServer},
		"told by a peer, before":     {peer, nil, 1_000, Chosen},
		"announced again":            {own, func(b *Balancer, v *fleet.View) *fleet.View { own(b, v); return v }, 2_000, NoServer},
		"peers no longer report it":  {own, func(b *Balancer, v *fleet.View) *fleet.View { b.SetPeerDepartures(nil, seen+500); return v }, 2_000, NoServer},
		"reports load again":         {own, reported, 2_000, NoServer},
		"newer entry says ready":     {own, func(_ *Balancer, v *fleet.View) *fleet.View { return v.WithServer(startedServer("e1", 5), seen+500) }, 2_000, NoServer},
		"other address":              {own, func(_ *Balancer, v *fleet.View) *fleet.View { return withAddress(v, "127.0.0.1:9") }, 2_000, NoServer},
		"entry removed and restored": {own, removeAndRestore, 2_000, NoServer},
		"entry of an earlier start":  {own, func(_ *Balancer, v *fleet.View) *fleet.View { return v.WithServer(startedServer("e1", 4), seen+500) }, 2_000, NoServer},
		"entry without a start":      {own, func(_ *Balancer, v *fleet.View) *fleet.View { return v.WithServer(startedServer("e1", 0), seen+500) }, 2_000, NoServer},
		"started again":              {own, func(_ *Balancer, v *fleet.View) *fleet.View { return v.WithServer(startedServer("e1", 6), seen+500) }, 2_000, Chosen},
		"earlier start announced":    {func(b *Balancer, _ *fleet.View) { b.SetPeerDepartures([]Departure{{"e1", 4}}, seen) }, nil, 2_000, Chosen},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, v := newDrainingBalancer(), fleet.NewView().WithServer(startedServer("e1", 5), 0)
			c.announce(b, v)
			if c.later != nil {
				v = c.later(b, v)
			}
			_, result := place(b, v, 1, seen+c.after)
			assert.Equal(t, result, c.want)
			e, _ := v.Server("e1")
			assert.Equal(t, b.WithoutDeparted(v, seen+c.after).InService(&e), c.want == Chosen)
		})
	}
}

func reported(b *Balancer, v *fleet.View) *fleet.View {
	e, _ := v.Server("e1")
	b.RecordReport(&e, ServerReport{HasLoad: true, Slots: 64}, 10_500)
	return v
}

func withAddress(v *fleet.View, address string) *fleet.View {
	s := startedServer("e1", 5)
	s.Address = address
	return v.WithServer(s, 10_500)
}

func removeAndRestore(b *Balancer, v *fleet.View) *fleet.View {
	without := v.WithoutServer("e1")
	b.Retain(func(id string) bool { _, known := without.Server(id); return known }, 10_500)
	return v
}

// TestDepartureIsForgotten checks that departures don't accumulate.
func TestDepartureIsForgotten(t *testing.T) {
	b, v := newDrainingBalancer(), fleet.NewView().WithServer(startedServer("e1", 5), 0)
	e, _ := v.Server("e1")
	b.RecordAnnouncement(&e, Announcement{Leaving: true}, 1_000)
	b.Retain(func(string) bool { return true }, 1_000_000)
	assert.Equal(t, len(b.OwnDepartures(v)), 1, "the server is still there")
	b.Retain(func(string) bool { return false }, 1_000_000+departureMemory+1)
	assert.Equal(t, len(b.announcements.servers), 0)
}

// TestOthersArePreferred checks that a leaving server gets requests only if no other server
// has free capacity.
func TestOthersArePreferred(t *testing.T) {
	b, v := newDrainingBalancer(), engines(3)
	e, _ := v.Server("engine-01")
	assert.Assert(t, b.RecordAnnouncement(&e, Announcement{Leaving: true}, 1_000))
	assert.Assert(t, !b.RecordAnnouncement(&e, Announcement{Leaving: true}, 1_001), "no news")
	for i := range 2 * 96 {
		c, _ := place(b, v, uint64(i), 1_100)
		assert.Assert(t, c.Server.ID != "engine-01")
	}
	c, result := place(b, v, 7, 1_100)
	assert.Equal(t, result, Chosen)
	assert.Equal(t, c.Server.ID, "engine-01")
	assert.Assert(t, b.StillAccepts(&c, 1_100))
	assert.Assert(t, !b.StillAccepts(&c, 1_000+testDrainTime))
}

// TestPausedServer checks which server gets a request while servers ask for pauses, and
// when the first pause ends if none does.
func TestPausedServer(t *testing.T) {
	const seen = 10_000
	cases := map[string]struct {
		pauses      map[string][]clock.Millis
		after       clock.Millis
		ejected     string
		wantServer  string
		want        Result
		pausedUntil clock.Millis
	}{
		"one paused":                  {pauses: map[string][]clock.Millis{"e1": {3_000}}, after: 100, wantServer: "e2"},
		"last resort is ejected":      {pauses: map[string][]clock.Millis{"e1": {3_000}}, after: 100, ejected: "e2", wantServer: "e2"},
		"both paused":                 {pauses: map[string][]clock.Millis{"e1": {3_000}, "e2": {1_500}}, after: 100, want: Paused, pausedUntil: seen + 1_500},
		"the latest end counts":       {pauses: map[string][]clock.Millis{"e1": {3_000, 500}, "e2": {3_500}}, after: 1_000, want: Paused, pausedUntil: seen + 3_000},
		"a fraction":                  {pauses: map[string][]clock.Millis{"e1": {250}, "e2": {300}}, after: 249, want: Paused, pausedUntil: seen + 250},
		"over":                        {pauses: map[string][]clock.Millis{"e1": {250}, "e2": {9_000}}, after: 251, wantServer: "e1"},
		"an ejected server is paused": {pauses: map[string][]clock.Millis{"e1": {3_000}, "e2": {3_000}}, ejected: "e1", after: 2_900, want: Paused, pausedUntil: seen + 3_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newDrainingBalancer()
			v := fleet.NewView().WithServer(startedServer("e1", 5), 0).WithServer(startedServer("e2", 5), 0)
			if c.ejected != "" {
				e, _ := v.Server(c.ejected)
				b.RecordNoAnswer(&e, seen)
			}
			for id, pauses := range c.pauses {
				e, _ := v.Server(id)
				for _, pause := range pauses {
					b.RecordAnnouncement(&e, Announcement{Pause: pause}, seen)
				}
			}
			choice, result := place(b, v, 1, seen+c.after)
			assert.Equal(t, result, c.want)
			assert.Equal(t, choice.Server.ID, c.wantServer)
			if result == Paused {
				assert.Equal(t, choice.PausedUntil, c.pausedUntil)
			}
		})
	}
}

// TestNoHerdAfterPause guards against overloading a server when its pause ends: more daemons
// than it has slots choose it at once, with no report of each other, and their callers wait.
// Requests in flight must grow with time, to the server's capacity.
func TestNoHerdAfterPause(t *testing.T) {
	const daemons, slots = 40, 8
	server := startedServer("e1", 5)
	server.Slots = slots
	v := fleet.NewView().WithServer(server, 0)
	e, _ := v.Server("e1")
	names := make([]string, daemons)
	balancers := make([]*Balancer, daemons)
	for i := range names {
		names[i], balancers[i] = fmt.Sprintf("host-%02d", i), newDrainingBalancer()
		balancers[i].RecordAnnouncement(&e, Announcement{Pause: 1_000}, 0)
	}
	inFlight := func(now clock.Millis) int {
		n := 0
		for i, b := range balancers {
			r := Request{Pool: textPool(), DataCentre: "dc-1", Hosts: names, Self: names[i], Model: "m", Prompt: Prompt{Tokens: 100}, Now: now}
			for {
				if _, result := b.Choose(v, r); result != Chosen {
					break
				}
			}
			n += b.OwnLoads()["e1"].Calls
		}
		return n
	}
	assert.Equal(t, inFlight(999), 0)
	early := inFlight(1_050)
	assert.Assert(t, early <= slots, "%d of %d daemons return at once", early, daemons)
	half := inFlight(1_000 + returnTime/2)
	assert.Assert(t, half >= slots && half < daemons, "%d", half)
	assert.Assert(t, inFlight(1_000+returnTime) >= daemons)
}

// TestAnnouncedServersGetNoRequests lets servers announce exits and pauses at any moment
// beside entries of any kind. A model of what each server last wanted decides what the
// balancer may choose.
func TestAnnouncedServersGetNoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, v, now := newDrainingBalancer(), fleet.NewView(), clock.Millis(1_000)
		starts := map[string]int64{}
		leavingSince, pausedUntil := map[string]clock.Millis{}, map[string]clock.Millis{}
		ids := rapid.SampledFrom([]string{"e1", "e2", "e3"})
		var planned []Choice
		check := func(t *rapid.T, c Choice) {
			id := c.Server.ID
			if c.Server.StartedAt > starts[id] {
				return
			}
			since, leaving := leavingSince[id]
			assert.Assert(t, !leaving || now < since+testDrainTime, "%s left", id)
			assert.Assert(t, now >= pausedUntil[id], "%s is paused", id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				s := startedServer(ids.Draw(t, "id"), int64(rapid.IntRange(1, 3).Draw(t, "start")))
				s.Draining = rapid.Bool().Draw(t, "draining")
				v = v.WithServer(s, now)
			},
			"lose": func(t *rapid.T) {
				v = v.WithoutServer(ids.Draw(t, "id"))
				b.Retain(func(id string) bool { _, known := v.Server(id); return known }, now)
			},
			"respond": func(t *rapid.T) {
				e, known := v.Server(ids.Draw(t, "id"))
				if !known || e.StartedAt < starts[e.ID] {
					return
				}
				if e.StartedAt > starts[e.ID] {
					delete(leavingSince, e.ID)
					delete(pausedUntil, e.ID)
				}
				a := Announcement{Leaving: rapid.Bool().Draw(t, "leaving"), Pause: clock.Millis(rapid.IntRange(0, 3_000).Draw(t, "pause"))}
				if !a.Leaving && a.Pause == 0 {
					return
				}
				starts[e.ID] = e.StartedAt
				if _, leaving := leavingSince[e.ID]; a.Leaving && !leaving {
					leavingSince[e.ID] = now
				}
				pausedUntil[e.ID] = max(pausedUntil[e.ID], now+a.Pause)
				b.RecordReport(&e, ServerReport{HasLoad: true, Slots: 64}, now)
				b.RecordAnnouncement(&e, a, now)
			},
			"peers report": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				b.SetPeerDepartures([]Departure{{id, int64(rapid.IntRange(0, 1).Draw(t, "start"))}}, now)
			},
			"request": func(t *rapid.T) {
				c, result := place(b, v, rapid.Uint64().Draw(t, "salt"), now)
				if id := unannounced(v, b); id != "" {
					assert.Equal(t, result, Chosen, "%s is free", id)
					assert.Assert(t, !b.announcements.of(&c.Server).isLeaving(), "%s is free", id)
				}
				if result == Chosen {
					check(t, c)
					planned = append(planned, c)
				}
			},
			"send a planned request": func(t *rapid.T) {
				if len(planned) == 0 {
					return
				}
				c := planned[0]
				planned = planned[1:]
				if b.StillAccepts(&c, now) {
					check(t, c)
				}
				b.Done(&c)
			},
			"wait": func(t *rapid.T) { now += clock.Millis(rapid.IntRange(1, 1_500).Draw(t, "ms")) },
		})
	})
}

// unannounced returns a server in service that has announced nothing; empty if there is
// none.
func unannounced(v *fleet.View, b *Balancer) string {
	for _, e := range v.Pool("text") {
		if v.InService(&e) && b.announcements.of(&e) == nil {
			return e.ID
		}
	}
	return ""
}
