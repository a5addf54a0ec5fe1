package traffic

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/claim"
	"gypsumpitch.example/gypsumpitch/internal/decision/membership"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/claims"
)

// claimHost is a daemon that carries payments.
type claimHost struct {
	host
	keeper  *claims.Coordinator
	backlog *claims.Backlog
}

// claimWorld is several daemons before one app, with an oracle of its runs.
type claimWorld struct {
	*scheduler
	t        *rapid.T
	hosts    []*claimHost
	ran      map[string]int    // runs of each key
	answers  map[string]string // of the run of each key
	ranFor   map[string]bool   // requests whose own sending ran
	requests int
	verdicts map[claim.Outcome]int
	outcomes []string // of the next sendings: ran, cut or refused
}

func newClaimWorld(t *rapid.T) *claimWorld {
	w := &claimWorld{
		scheduler: newScheduler(),
		t:         t,
		ran:       make(map[string]int),
		answers:   make(map[string]string),
		ranFor:    make(map[string]bool),
		verdicts:  make(map[claim.Outcome]int),
	}
	for i := range 3 {
		h := &claimHost{host: host{name: fmt.Sprintf("entry-%d", i)}}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

func (w *claimWorld) start(h *claimHost) {
	h.backlog = claims.NewBacklog(w.table)
	h.keeper = claims.NewCoordinator(w.common(h.name), w.table, w.sightings, h.backlog)
}

// sightings shows each host's present run, as heartbeats would.
func (w *claimWorld) sightings() *controlstate.Snapshot {
	s := &controlstate.Snapshot{}
	for _, h := range w.hosts {
		s.Members = append(s.Members, membership.Observation{Member: h.name, Incarnation: uint64(h.run)})
	}
	return s
}

func (w *claimWorld) request(h *claimHost, key, body string) {
	w.requests++
	id := fmt.Sprintf("request-%d", w.requests)
	row := claim.Row{ClaimID: id, Member: h.name, Incarnation: uint64(h.run), Fingerprint: body, LimitMs: 1000}
	keeper := h.keeper
	w.spawn(&h.host, func() {
		verdict, answer := keeper.Execute(context.Background(), key, row, func(context.Context) (claim.Outcome, *claim.Answer) {
			return w.send(id, key)
		})
		w.judge(id, key, verdict, answer)
	})
}

// send is the app: it runs the call unless it refuses before the first byte.
func (w *claimWorld) send(id, key string) (claim.Outcome, *claim.Answer) {
	w.pause()
	outcome := "ran"
	if len(w.outcomes) > 0 {
		outcome, w.outcomes = w.outcomes[0], w.outcomes[1:]
	}
	if outcome == "refused" {
		return claim.NotRun, nil
	}
	w.ran[key]++
	w.ranFor[id] = true
	if w.ran[key] > 1 {
		w.t.Fatalf("the call with key %s ran %d times", key, w.ran[key])
	}
	w.answers[key] = id
	w.pause()
	if outcome == "cut" {
		return claim.MayHaveRun, nil
	}
	return claim.Ran, &claim.Answer{Status: 200, Body: []byte(id)}
}

func (w *claimWorld) judge(id, key string, verdict claim.Outcome, answer *claim.Answer) {
	w.verdicts[verdict]++
	switch verdict {
	case claim.NotRun, claim.ClaimUnavailable, claim.KeyReused:
		if w.ranFor[id] {
			w.t.Fatalf("%s was told that it was not run, but it ran", id)
		}
	case claim.Ran, claim.Replayed:
		if string(answer.Body) != w.answers[key] {
			w.t.Fatalf("%s got the answer %q, the call with key %s gave %q", id, answer.Body, key, w.answers[key])
		}
	}
}

// TestPaymentsRunAtMostOnce interleaves requests with the same keys at several
// daemons, with lost answers, outages, kills and pauses: P8 and P9.
func TestPaymentsRunAtMostOnce(t *testing.T) {
	total := make(map[claim.Outcome]int)
	rapid.Check(t, func(t *rapid.T) {
		w := newClaimWorld(t)
		draw := func() *claimHost { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				key := fmt.Sprintf("key-%d", rapid.IntRange(0, 2).Draw(t, "key"))
				body := rapid.SampledFrom([]string{"pay 5", "pay 5", "pay 5", "pay 6"}).Draw(t, "body")
				w.request(draw(), key, body)
			},
			"step":    func(t *rapid.T) { w.step(rapid.IntRange(0, 9).Draw(t, "task")) },
			"step_on": func(t *rapid.T) { w.steps(t) },
			"steps":   func(t *rapid.T) { w.steps(t) },
			"fate":    func(t *rapid.T) { w.drawFate(t) },
			"late":    func(t *rapid.T) { w.table.ApplyDelayed(t.Context()) },
			"down":    func(*rapid.T) { w.down = !w.down },
			"app": func(t *rapid.T) {
				w.outcomes = append(w.outcomes, rapid.SampledFrom([]string{"ran", "cut", "refused"}).Draw(t, "outcome"))
			},
			"freeze": func(*rapid.T) { h := draw(); h.frozen = !h.frozen },
			"kill":   func(*rapid.T) { h := draw(); w.kill(&h.host); w.start(h) },
			"calm":   func(*rapid.T) { w.calm() },
			"settle": func(*rapid.T) { w.settle(draw()) },
			"time":   func(t *rapid.T) { w.clock.Advance(clock.Millis(rapid.IntRange(100, 9000).Draw(t, "ms"))) },
		})
		w.checkSettled()
		for verdict, n := range w.verdicts {
			total[verdict] += n
		}
	})
	t.Logf("verdicts: %v", total)
	for _, verdict := range []claim.Outcome{claim.Ran, claim.Replayed, claim.InProgress, claim.MayHaveRun, claim.KeyReused, claim.ClaimUnavailable, claim.NotRun} {
		assert.Assert(t, total[verdict] > 0, "verdict %d never came up", verdict)
	}
}

func (w *claimWorld) steps(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		w.step(rapid.IntRange(0, 9).Draw(t, "task"))
	}
}

func (w *claimWorld) settle(h *claimHost) {
	backlog := h.backlog
	w.spawn(&h.host, func() { backlog.Flush(context.Background()) })
}

// checkSettled lets everything end and wants no outcome left unwritten.
func (w *claimWorld) checkSettled() {
	w.calm()
	for _, h := range w.hosts {
		if h.backlog.Len() > 0 {
			w.t.Fatalf("%s has %d outcomes left", h.name, h.backlog.Len())
		}
	}
}

// calm ends all faults and lets everything under way end.
func (w *claimWorld) calm() {
	var hosts []*host
	for _, h := range w.hosts {
		hosts = append(hosts, &h.host)
	}
	w.finish(hosts)
	w.table.ApplyDelayed(context.Background())
	for range 3 {
		for _, h := range w.hosts {
			w.settle(h)
		}
		w.finish(hosts)
	}
}
