package loadbalance

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// TestUtilisation guards against counting unknown loads as full, or the slots of servers that
// take no requests as free.
func TestUtilisation(t *testing.T) {
	const now = clock.Millis(100_000)
	type setup func(b *Balancer)
	v := engines(4)
	peers := func(calls int, prefill clock.Millis) setup {
		return func(b *Balancer) {
			b.Utilisation(v, "text", nil, now-10_000) // registers the servers
			loads := make(map[string]Load)
			for _, id := range v.ServerIDs() {
				loads[id] = Load{Calls: calls, Prefill: prefill}
			}
			b.SetPeerLoads(loads, now-300)
		}
	}
	first, _ := v.Server("engine-00")
	cases := map[string]struct {
		setup []setup
		at    clock.Millis
		want  Utilisation
	}{
		"nothing known":    {nil, now, Utilisation{Slots: 256, Servers: 4}},
		"known from peers": {[]setup{peers(32, 100)}, now, Utilisation{Load: 0.5, Earlier: 0.5, Calls: 128, Slots: 256, Known: 4, Servers: 4, Age: 300}},
		"queueing":         {[]setup{peers(96, 0)}, now, Utilisation{Load: 1.5, Earlier: 1.5, Calls: 384, Slots: 256, Known: 4, Servers: 4, Age: 300}},
		"expired":          {[]setup{peers(96, 0)}, now + 2_000, Utilisation{Slots: 256, Servers: 4}},
		"own report": {[]setup{func(b *Balancer) {
			b.RecordReport(&first, ServerReport{HasLoad: true, Requests: 64, Slots: 64}, now-100)
		}}, now, Utilisation{Load: 0.25, Earlier: 0.25, Calls: 64, Slots: 256, Known: 1, Servers: 4, Age: 100}},
		"ejected": {[]setup{peers(48, 0), func(b *Balancer) { b.RecordNoAnswer(&first, now-100) }}, now,
			Utilisation{Load: 0.75, Earlier: 0.75, Calls: 144, Slots: 192, Known: 3, Servers: 3, Age: 300}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBalancer()
			for _, s := range c.setup {
				s(b)
			}
			delete(b.utilisations, "text") // so that the value isn't averaged
			assert.DeepEqual(t, b.Utilisation(v, "text", nil, c.at), c.want)
		})
	}
}

// TestUtilisationIsSmooth guards against a threshold that follows each report.
func TestUtilisationIsSmooth(t *testing.T) {
	b, v, now := NewBalancer(), engines(2), clock.Millis(100_000)
	loads := map[string]Load{"engine-00": {Calls: 64}, "engine-01": {Calls: 64}}
	b.Utilisation(v, "text", nil, now)
	b.SetPeerLoads(loads, now)
	at := func(after clock.Millis) float64 {
		b.SetPeerLoads(loads, now+after)
		return b.Utilisation(v, "text", nil, now+after).Load
	}
	assert.Equal(t, at(40), 0.0, "cached")
	soon := at(100)
	assert.Assert(t, soon > 0.05 && soon < 0.2, "%v", soon)
	late := at(3_000)
	assert.Assert(t, late > 0.9, "%v", late)
	clear(loads)
	back := at(6_000)
	assert.Assert(t, back < 0.1, "%v", back)
}

// TestAdaptsToLoad guards against new rules in deployments that don't call for them.
func TestAdaptsToLoad(t *testing.T) {
	const now = clock.Millis(100_000)
	cases := map[string]struct {
		features loadfeatures.Features
		pace     clock.Millis // when a server of the pool stated its pace; 0: never
		want     bool
	}{
		"as before":                {},
		"shared capacity":          {features: loadfeatures.Features{SharedCapacity: true}, want: true},
		"uneven servers":           {features: loadfeatures.Features{UnevenServers: loadfeatures.On}, want: true},
		"pace stated":              {pace: now - 1_000, want: true},
		"pace stated, but off":     {features: loadfeatures.Features{UnevenServers: loadfeatures.Off}, pace: now - 1_000},
		"pace stated a while back": {pace: now - paceMemory},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBalancer()
			b.SetFeatures(c.features)
			if c.pace != 0 {
				b.paceStatedAt["text"] = c.pace
			}
			assert.Equal(t, b.AdaptsToLoad("text", now), c.want)
		})
	}
}

// TestUtilisationRise guards against a rise of the load that shows only when the pool is full,
// and against one that a falling or steady load is taken for.
func TestUtilisationRise(t *testing.T) {
	b, v, now := NewBalancer(), engines(2), clock.Millis(100_000)
	setLoad := func(calls int) {
		b.SetPeerLoads(map[string]Load{"engine-00": {Calls: calls}, "engine-01": {Calls: calls}}, now)
	}
	play := func(from, perPeriod int) (u Utilisation) {
		for i := range 10 {
			setLoad(from + i*perPeriod)
			now += 200
			u = b.Utilisation(v, "text", nil, now)
		}
		return u
	}
	b.Utilisation(v, "text", nil, now) // registers the servers
	for range 5 {
		play(16, 0)
	}
	assert.Equal(t, play(16, 0).Rise(), 0.0, "steady")
	rising := play(16, 2)
	assert.Assert(t, rising.Load < 0.5 && rising.Rise() > 0.03, "%+v", rising)
	play(34, 0)
	assert.Equal(t, play(34, -3).Rise(), 0.0, "falling")
}
