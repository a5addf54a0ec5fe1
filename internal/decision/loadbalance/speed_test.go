package loadbalance

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const speedTestStart = 1_000_000 * clock.Millis(1)

// plainServers returns a view of plain servers, each with 6 slots.
func plainServers(ids ...string) *fleet.View {
	v := fleet.NewView()
	for _, id := range ids {
		v = v.WithServer(fleet.Server{ID: id, Pool: "plain", StartedAt: 5, Slots: 6}, 0)
	}
	return v
}

// plainRequest returns a request that runs at no server but the given one.
func plainRequest(only string, now clock.Millis) Request {
	return Request{Pool: catalog.Pool{Name: "plain"}, Now: now, Tried: func(id string) bool { return id != only }}
}

// answerPlain has the server answer a request of the balancer after the time.
func answerPlain(t *testing.T, b *Balancer, v *fleet.View, id string, elapsed, now clock.Millis) {
	t.Helper()
	c, result := b.Choose(v, plainRequest(id, now))
	assert.Equal(t, result, Chosen)
	assert.Equal(t, c.Server.ID, id)
	b.RecordReport(&c.Server, ServerReport{HasLoad: true, Slots: 6, Pace: 100}, now)
	b.RecordFirstByte(&c, "", elapsed, now)
	b.Done(&c)
}

// learnSpeeds has servers a and b answer in 86 ms and c in 35 ms, for some seconds.
func learnSpeeds(t *testing.T, b *Balancer, v *fleet.View) clock.Millis {
	t.Helper()
	now := speedTestStart
	for range 60 {
		for id, elapsed := range map[string]clock.Millis{"a": 86, "b": 86, "c": 35} {
			answerPlain(t, b, v, id, elapsed, now)
		}
		now += 100
	}
	return now
}

// speedAt returns the speed that the balancer knows of the server.
func speedAt(b *Balancer, v *fleet.View, id string, now clock.Millis) float64 {
	c, result := b.Choose(v, plainRequest(id, now))
	if result != Chosen || c.Speed == nil {
		return 0
	}
	b.Cancel(&c)
	return c.Speed.Speed
}

// TestSpeedIsLearned guards against slow servers being taken for fast ones, and against the
// capacity of a slow server counting as that of a fast one.
func TestSpeedIsLearned(t *testing.T) {
	v, b := plainServers("a", "b", "c"), NewBalancer()
	now := learnSpeeds(t, b, v)
	slow, fast := speedAt(b, v, "a", now), speedAt(b, v, "c", now)
	assert.Assert(t, math.Abs(fast/slow-86.0/35) < 0.25, "fast %.2f, slow %.2f", fast, slow)
	a, _ := v.Server("a")
	c, _ := v.Server("c")
	pool := catalog.Pool{Name: "plain"}
	assert.Assert(t, b.state(&a).maxCalls(&a, &pool) < b.state(&c).maxCalls(&c, &pool))
}

// TestRestartedServerBeginsAnew guards against a server being preferred, or avoided, for the
// speed of its former start, and against a new one starting as the fastest.
func TestRestartedServerBeginsAnew(t *testing.T) {
	v, b := plainServers("a", "b", "c"), NewBalancer()
	now := learnSpeeds(t, b, v)
	assert.Assert(t, speedAt(b, v, "c", now) > 1.3)
	v = v.WithServer(fleet.Server{ID: "c", Pool: "plain", StartedAt: 6, Slots: 6}, now)
	v = v.WithServer(fleet.Server{ID: "d", Pool: "plain", StartedAt: 6, Slots: 6}, now)
	now += 1_000
	assert.Equal(t, speedAt(b, v, "c", now), 1.0)
	assert.Equal(t, speedAt(b, v, "d", now), 1.0)
	assert.Assert(t, speedAt(b, v, "a", now) < 1)
}

// TestDaemonLearnsSpeedsFromPeers guards against a restarted daemon placing requests as if
// all servers had the same speed, and against one that is cut off from its peers forgetting
// what they reported.
func TestDaemonLearnsSpeedsFromPeers(t *testing.T) {
	v, old, restarted := plainServers("a", "b", "c"), NewBalancer(), NewBalancer()
	now := learnSpeeds(t, old, v)
	restarted.SetPeerSpeeds(old.OwnSpeeds(now), now)
	answerPlain(t, restarted, v, "a", 86, now)
	now += 1_000
	known := speedAt(restarted, v, "c", now)
	assert.Assert(t, math.Abs(known-speedAt(old, v, "c", now)) < 0.1, "%.2f", known)
	for range 25 { // cut off: the reports are empty
		now += 2_000
		restarted.SetPeerSpeeds(nil, now)
		e, _ := v.Server("a")
		restarted.RecordPace(&e, 100, now)
	}
	assert.Assert(t, speedAt(restarted, v, "c", now) > 1.3)
}

// TestEvenPoolsArePlacedAsBefore guards against the speed of servers changing anything for
// pools whose servers state no pace, or whose settings say so.
func TestEvenPoolsArePlacedAsBefore(t *testing.T) {
	v, b := plainServers("a", "b", "c"), NewBalancer()
	b.SetFeatures(loadfeatures.Features{UnevenServers: loadfeatures.Off})
	now := learnSpeeds(t, b, v)
	assert.Equal(t, speedAt(b, v, "c", now), 0.0)
	assert.Equal(t, len(b.OwnSpeeds(now)), 0)
	b.SetFeatures(loadfeatures.Features{})
	now += 1_000
	assert.Equal(t, speedAt(b, v, "c", now), 1.0, "uneven, without evidence")
	now += 61_000
	assert.Equal(t, speedAt(b, v, "c", now), 0.0, "no server stated its pace for a minute")
}

// TestPaceFades guards against a pace being used after it has changed: servers change theirs
// every 600 ms. A slowness that lasts for seconds must be kept between statements.
func TestPaceFades(t *testing.T) {
	once := pace{}.With(250, true, speedTestStart)
	assert.Equal(t, once.slowness(speedTestStart), 2.5)
	assert.Assert(t, once.slowness(speedTestStart+300) < 2)
	assert.Assert(t, once.slowness(speedTestStart+1_200) < 1.4)
	lasting, now := pace{}, speedTestStart
	for range 12 {
		now += 500
		lasting = lasting.With(400, true, now)
	}
	assert.Assert(t, lasting.slowness(now+1_200) > 2.5)
	assert.Assert(t, lasting.slowness(now+30_000) < 1.1)
}

// TestFewAnswersAreUsed guards against a daemon with few requests taking the default time to
// the first byte for that of its servers: all such daemons would choose the servers that
// state the usual pace, whatever their load.
func TestFewAnswersAreUsed(t *testing.T) {
	v, b := plainServers("a", "b"), unevenBalancer()
	answerPlain(t, b, v, "a", 60, speedTestStart)
	c, result := b.Choose(v, plainRequest("b", speedTestStart+100))
	assert.Equal(t, result, Chosen)
	assert.Equal(t, c.ExpectedFirstByte, clock.Millis(60))
	assert.Assert(t, !c.HasEstimate)
	engine := LatencyModel{}.WithFirstByte(1_000, 100)
	assert.Equal(t, engine.FirstByteFromFew(3_000), clock.Millis(160))
	assert.Equal(t, engine.FirstByteFromFew(0), clock.Millis(70))
}

// TestOldLoadIsLeftToChance guards against daemons that know a plain server's load only from
// old reports choosing the same one: the random cost must grow with the age of the load.
func TestOldLoadIsLeftToChance(t *testing.T) {
	now := speedTestStart
	s := &serverState{}
	assert.Equal(t, s.plainNoise(now), unknownLoadNoise)
	s.peerLoadAt = now
	assert.Equal(t, s.plainNoise(now), 200.0)
	assert.Equal(t, s.plainNoise(now+200), 400.0)
	s.reportedAt = now + 100
	assert.Equal(t, s.plainNoise(now+200), 100.0)
	assert.Equal(t, s.plainNoise(now+100), minPlainNoise)
	assert.Equal(t, s.plainNoise(now+reportLifetime), unknownLoadNoise)
}

// TestReportedPrefillIsDone guards against servers being avoided for prefill that they have done
// since other daemons reported it. A slow server takes longer, and own requests are known.
func TestReportedPrefillIsDone(t *testing.T) {
	now := speedTestStart
	s := &serverState{speed: &serverSpeed{}, peerLoad: Load{Prefill: 300}, peerLoadAt: now}
	assert.Equal(t, s.pendingPrefill(now), clock.Millis(300))
	assert.Equal(t, s.pendingPrefill(now+200), clock.Millis(100))
	assert.Equal(t, s.pendingPrefill(now+400), clock.Millis(0))
	s.own.Prefill = 50
	assert.Equal(t, s.pendingPrefill(now+400), clock.Millis(50))
	s.lasting = 2
	assert.Equal(t, s.pendingPrefill(now+400), clock.Millis(150))
	assert.Equal(t, s.pendingPrefill(now+reportLifetime), clock.Millis(50))
}

// TestFewEventTimesAreUsed guards against the speeds of servers staying unknown where there are
// many daemons, each of which gets less than eight streams in a while.
func TestFewEventTimesAreUsed(t *testing.T) {
	b, v, now := unevenBalancer(), plainServers("a", "b"), speedTestStart
	assert.Equal(t, speedAt(b, v, "a", now), 1.0)
	slow, _ := v.Server("b")
	usual, _ := v.Server("a")
	for range 4 {
		b.RecordInterEvent(&usual, "", 30, now)
	}
	b.RecordInterEvent(&slow, "", 120, now)
	reports := b.OwnSpeeds(now)
	assert.Equal(t, len(reports), 2)
	for _, r := range reports {
		logRatio := float64(r.LogRatio) / logRatioUnit
		if r.Server == speedKey(&slow) {
			assert.Assert(t, logRatio > eventTimeWeight*math.Log(3), "%+v", r)
		} else {
			assert.Equal(t, logRatio, 0.0)
		}
	}
}

// TestLateAnswerCountsAfterGap guards against a slowness that isn't stated staying unknown to a
// daemon that has few answers of the server.
func TestLateAnswerCountsAfterGap(t *testing.T) {
	slownessAfter := func(lasting float64, gap clock.Millis) float64 {
		s := &serverState{lasting: lasting, slownessAt: speedTestStart}
		now := speedTestStart + gap
		s.recordSlowness(400, 100, now)
		return s.slowness(now)
	}
	assert.Assert(t, slownessAfter(1, 11_000) > 3.5)
	assert.Assert(t, slownessAfter(1, 1_500) > 1.9)
	assert.Assert(t, slownessAfter(1, 100) < 1.3)
	assert.Assert(t, slownessAfter(0, 11_000) < 1.3, "the servers aren't uneven")
}

// TestSpeedStaysInBounds lets servers answer after any time and state any pace, and peers
// report anything. Speeds must stay within their bounds, and the costs finite.
func TestSpeedStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, b, now := plainServers("a", "b", "c"), NewBalancer(), speedTestStart
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 1_000).Draw(t, "pause"))
			c, result := b.Choose(v, Request{Pool: catalog.Pool{Name: "plain"}, Salt: rapid.Uint64().Draw(t, "salt"), Now: now})
			if result != Chosen {
				t.Fatalf("result %d", result)
			}
			if c.Speed != nil && (c.Speed.Speed < minSpeed || c.Speed.Speed > maxSpeed) {
				t.Fatalf("speed %v", c.Speed.Speed)
			}
			b.RecordReport(&c.Server, ServerReport{Pace: rapid.IntRange(0, 3_000).Draw(t, "pace")}, now)
			b.RecordFirstByte(&c, "", clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "elapsed")), now)
			b.Done(&c)
			b.SetPeerSpeeds([]SpeedReport{{
				Server: speedKey(&c.Server), Weight: rapid.IntRange(-10, 10_000).Draw(t, "weight"),
				LogRatio: rapid.IntRange(-1_000_000, 1_000_000).Draw(t, "sum"), Pace: rapid.IntRange(-1, 3_000).Draw(t, "peer_pace"),
			}}, now)
		}
	})
}

// TestSpeedReportsAreBounded guards against reports that grow with the number of servers.
func TestSpeedReportsAreBounded(t *testing.T) {
	var reports []SpeedReport
	for i := range 1_000 {
		reports = append(reports, SpeedReport{Server: uint32(i), Weight: i})
	}
	bounded := MostCertainSpeeds(reports)
	assert.Equal(t, len(bounded), maxSpeedReports)
	assert.Equal(t, bounded[maxSpeedReports-1].Weight, 1_000-maxSpeedReports, "the most certain")
}

// TestEventsAtOnce has servers send all events of their streams at once. The times of 0 ms
// must not leave the servers without a cost: requests would be rejected as if the pool were
// empty.
func TestEventsAtOnce(t *testing.T) {
	b := NewBalancer()
	b.SetFeatures(loadfeatures.Features{UnevenServers: loadfeatures.On})
	v := fleet.NewView()
	pool := catalog.Pool{Name: "text", Slots: 16, TokensPerEvent: 8, Models: []catalog.Model{{Name: "small"}}}
	for _, id := range []string{"a", "b"} {
		v = v.WithServer(fleet.Server{ID: id, Pool: pool.Name, StartedAt: 5, Slots: 16}, 0)
	}
	now := speedTestStart
	for range 2 * minWeight {
		for _, id := range []string{"a", "b"} {
			server, _ := v.Server(id)
			b.RecordInterEvent(&server, "small", 0, now)
		}
		now += 100
	}
	r := Request{Pool: pool, Model: "small", Prompt: Prompt{Tokens: 100, MaxOutputTokens: 400}, Now: now}
	_, result := b.Choose(v, r)
	assert.Equal(t, result, Chosen)
	for _, reported := range b.OwnSpeeds(now) {
		assert.Assert(t, math.Abs(float64(reported.LogRatio)) <= math.Log(maxSpeed)*logRatioUnit*float64(reported.Weight), "%+v", reported)
	}
}
