package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// paceDay describes the streams of a simulated roll-out of 15 s.
type paceDay struct {
	slowdown   float64                                 // of the new version
	serverPace func(server int) float64                // of the hardware, relative
	canaryFlaw func(round, server int) float64         // of single servers of the new version, relative
	load       func(round int, canary bool) (int, int) // range of the requests on a server
}

const (
	paceRounds  = 65 // until the new version is completed
	paceServers = 9  // of each version
)

// usualLoad gives the new version few requests until the hand-over.
func usualLoad(round int, canary bool) (int, int) {
	if canary && round < 45 {
		return 0, 3
	}
	return 3, 14
}

// pace returns the pace of a stream on an idle server that needs 22 ms for an event.
func (d paceDay) pace(random *rand.Rand, round int, canary bool) (server int, requests int, pace clock.Millis) {
	server = random.IntN(paceServers)
	lowest, highest := d.load(round, canary)
	requests = lowest + random.IntN(highest-lowest+1)
	ms := 22 * (1 + 0.025*float64(requests)) * math.Exp(0.06*random.NormFloat64())
	if random.Float64() < 0.02 {
		ms *= 3 // the server prefills throughout
	}
	if d.serverPace != nil {
		ms *= d.serverPace(server)
	}
	if canary {
		ms *= d.slowdown
		if d.canaryFlaw != nil {
			ms *= d.canaryFlaw(round, server)
		}
	}
	return server, requests, clock.Millis(ms)
}

// simulate returns the round in which the version is found slow, or -1, and the
// number of its streams until then. Like the controller, it evaluates all streams and
// those since each of the last rounds.
func (d paceDay) simulate(random *rand.Rand) (foundIn, streams int) {
	const windows = 15
	var now Comparison
	var past []Comparison
	stream := func(s AnswerStats, round int, canary bool, n int) AnswerStats {
		for range n {
			server, requests, pace := d.pace(random, round, canary)
			name := fmt.Sprintf("%v-%d", canary, server)
			s = s.WithAnswer(name, false).WithPace(name, NewPaceClass("m", requests), pace)
		}
		return s
	}
	for round := range paceRounds {
		canary, baseline := round%2, 4
		if round >= 45 {
			canary, baseline = 5, 0
		}
		streams += canary
		now.Canary, now.Baseline = stream(now.Canary, round, true, canary), stream(now.Baseline, round, false, baseline)
		if EvaluatePool([]Comparison{now}) != Healthy {
			return round, streams
		}
		for _, earlier := range past {
			if now.Since(earlier).EvaluateRecent() != Healthy {
				return round, streams
			}
		}
		past = append(past, now)
		past = past[max(len(past)-windows, 0):]
	}
	return -1, streams
}

// TestGoodPaces simulates 1,000 good versions, of which less than one in a hundred may be
// found slow.
//
// Load pattern: the new version's servers are nearly idle until they get all requests
// within seconds; meanwhile a burst, slow hosts, or one server that gets most requests.
func TestGoodPaces(t *testing.T) {
	const rollouts = 200
	slowHosts := func(round, server int) float64 {
		if server < 3 && round > 5 && round < 38 {
			return 5
		}
		return 1
	}
	cases := map[string]paceDay{
		"calm": {load: usualLoad},
		"two kinds of hardware": {load: usualLoad, serverPace: func(server int) float64 {
			return 0.6 + 0.7*float64(server%2)
		}},
		"burst at the hand-over": {load: func(round int, canary bool) (int, int) {
			if round >= 42 {
				return 14, 40
			}
			return usualLoad(round, canary)
		}},
		"slow hosts": {load: usualLoad, canaryFlaw: slowHosts},
		"one hot server": {load: func(round int, canary bool) (int, int) {
			if canary && round > 10 && round < 30 {
				return 0, 60
			}
			return usualLoad(round, canary)
		}},
	}
	wrong := 0
	for name, d := range cases {
		d.slowdown = 1
		random := rand.New(rand.NewPCG(11, uint64(len(name))))
		for range rollouts {
			if foundIn, _ := d.simulate(random); foundIn >= 0 {
				t.Logf("%s: found slow in round %d", name, foundIn)
				wrong++
			}
		}
	}
	assert.Assert(t, wrong < rollouts*len(cases)/100, "%d of %d good versions", wrong, rollouts*len(cases))
}

// TestVersionSlowOnIdleServers checks that a slower version is found before its streams
// exceed what a bad version may get, 0.15 of the requests and 30 more, although its idle servers answer no later
// than the busy ones of the other version.
func TestVersionSlowOnIdleServers(t *testing.T) {
	const rollouts, allowed = 200, 0.15*paceRounds*5 + 30
	hosts := func(server int) float64 { return 0.75 + 0.5*float64(server%2) }
	cases := map[string]paceDay{
		"twice as slow":         {slowdown: 2.05, load: usualLoad},
		"four times as slow":    {slowdown: 4.5, load: usualLoad},
		"eight times as slow":   {slowdown: 8, load: usualLoad},
		"on two kinds of hosts": {slowdown: 2.05, load: usualLoad, serverPace: hosts},
	}
	for name, d := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(13, 0))
			late := 0
			for range rollouts {
				if foundIn, streams := d.simulate(random); foundIn < 0 || float64(streams) > allowed {
					late++
				}
			}
			assert.Assert(t, late <= rollouts/100, "%d of %d not found in time", late, rollouts)
		})
	}
}

// TestPacesInAnyOrder checks that the counts do not depend on the order and the batches in
// which streams are added.
func TestPacesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var batches [3]Paces
		var all, sum Paces
		for range rapid.IntRange(0, 40).Draw(t, "streams") {
			class := NewPaceClass(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"), rapid.IntRange(0, 70).Draw(t, "requests"))
			one := onePace(rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "server"), class, clock.Millis(rapid.IntRange(0, 900).Draw(t, "pace")))
			batch := rapid.IntRange(0, len(batches)-1).Draw(t, "batch")
			batches[batch] = batches[batch].Plus(one)
			all = all.Plus(one)
		}
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
			sum = sum.Plus(batches[i])
		}
		assert.DeepEqual(t, sum, all)
		assert.Equal(t, len(all.Minus(all)), 0)
		rest := all.Minus(batches[0])
		total := 0
		for _, c := range rest.Plus(batches[0]) {
			total += c.Streams
		}
		for _, c := range all {
			total -= c.Streams
		}
		assert.Equal(t, total, 0)
	})
}

// TestPacesAreSmall checks that the paces of a whole roll-out fit in a report that is
// sent several times a second.
func TestPacesAreSmall(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 0))
	var s AnswerStats
	for i := range 2_000 {
		class := NewPaceClass(fmt.Sprintf("model-%d", i%2), random.IntN(30))
		s = s.WithPace(fmt.Sprintf("server-%d", i%300), class, clock.Millis(22*math.Exp(0.3*random.NormFloat64())))
	}
	body, err := json.Marshal(s)
	assert.NilError(t, err)
	assert.Assert(t, len(body) < 8_000, "%d bytes", len(body))
}
