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

// claimHost is a host whose daemon forwards payments.
type claimHost struct {
	host
	coordinator *claims.Coordinator
	backlog     *claims.Backlog
}

// claimCluster is a set of daemons in front of one app, with an oracle of the calls that the
// app ran.
type claimCluster struct {
	*scheduler
	t             *rapid.T
	hosts         []*claimHost
	runs          map[string]int    // by key
	responses     map[string]string // of the call that ran, by key
	executed      map[string]bool   // requests whose own call ran
	requests      int
	outcomes      map[claim.Outcome]int
	appBehaviours []string // for the next calls: ran, truncated or rejected
}

func newClaimCluster(t *rapid.T) *claimCluster {
	c := &claimCluster{
		scheduler: newScheduler(),
		t:         t,
		runs:      make(map[string]int),
		responses: make(map[string]string),
		executed:  make(map[string]bool),
		outcomes:  make(map[claim.Outcome]int),
	}
	for i := range 3 {
		h := &claimHost{host: host{name: fmt.Sprintf("entry-%d", i)}}
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	return c
}

// start starts a daemon with an empty backlog on the host.
func (c *claimCluster) start(h *claimHost) {
	h.backlog = claims.NewBacklog(c.table)
	h.coordinator = claims.NewCoordinator(c.newCommon(h.name), c.table, c.snapshot, h.backlog)
}

// snapshot contains the current incarnation of each daemon, as learnt from heartbeats.
func (c *claimCluster) snapshot() *controlstate.Snapshot {
	s := &controlstate.Snapshot{}
	for _, h := range c.hosts {
		s.Members = append(s.Members, membership.Observation{Member: h.name, Incarnation: uint64(h.incarnation)})
	}
	return s
}

func (c *claimCluster) request(h *claimHost, key, body string) {
	c.requests++
	id := fmt.Sprintf("request-%d", c.requests)
	row := claim.Row{ClaimID: id, Member: h.name, Incarnation: uint64(h.incarnation), Fingerprint: body, LimitMs: 1000}
	coordinator := h.coordinator
	c.spawn(&h.host, func() {
		outcome, response := coordinator.Execute(context.Background(), key, row, func(context.Context) (claim.Outcome, *claim.Answer) {
			return c.callApp(id, key)
		})
		c.checkOutcome(id, key, outcome, response)
	})
}

// callApp runs the call in the app, unless the app rejects it without running it.
func (c *claimCluster) callApp(id, key string) (claim.Outcome, *claim.Answer) {
	c.suspend()
	behaviour := "ran"
	if len(c.appBehaviours) > 0 {
		behaviour, c.appBehaviours = c.appBehaviours[0], c.appBehaviours[1:]
	}
	if behaviour == "rejected" {
		return claim.NotRun, nil
	}
	c.runs[key]++
	c.executed[id] = true
	if c.runs[key] > 1 {
		c.t.Fatalf("the call with key %s ran %d times", key, c.runs[key])
	}
	c.responses[key] = id
	c.suspend()
	if behaviour == "truncated" {
		return claim.MayHaveRun, nil
	}
	return claim.Ran, &claim.Answer{Status: 200, Body: []byte(id)}
}

func (c *claimCluster) checkOutcome(id, key string, outcome claim.Outcome, response *claim.Answer) {
	c.outcomes[outcome]++
	switch outcome {
	case claim.NotRun, claim.ClaimUnavailable, claim.KeyReused:
		if c.executed[id] {
			c.t.Fatalf("%s was reported as not run, but it ran", id)
		}
	case claim.Ran, claim.Replayed:
		if string(response.Body) != c.responses[key] {
			c.t.Fatalf("%s got the response %q, but the call with key %s returned %q", id, response.Body, key, c.responses[key])
		}
	}
}

// TestPaymentsRunAtMostOnce guards against a payment that runs twice or that is reported as
// not run although it ran (properties P8 and P9). Requests with the same keys are
// interleaved on several daemons while responses are lost, the table service is unavailable
// and daemons are frozen or killed.
func TestPaymentsRunAtMostOnce(t *testing.T) {
	total := make(map[claim.Outcome]int)
	rapid.Check(t, func(t *rapid.T) {
		c := newClaimCluster(t)
		draw := func() *claimHost { return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")] }
		// An action that is listed twice is drawn twice as often.
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				key := fmt.Sprintf("key-%d", rapid.IntRange(0, 2).Draw(t, "key"))
				body := rapid.SampledFrom([]string{"pay 5", "pay 5", "pay 5", "pay 6"}).Draw(t, "body")
				c.request(draw(), key, body)
			},
			"step":       func(t *rapid.T) { c.step(rapid.IntRange(0, 9).Draw(t, "task")) },
			"steps":      func(t *rapid.T) { c.steps(t) },
			"steps_2":    func(t *rapid.T) { c.steps(t) },
			"fail_call":  func(t *rapid.T) { c.drawCallOutcome(t) },
			"late_write": func(t *rapid.T) { c.table.ApplyDelayed(t.Context()) },
			"down":       func(*rapid.T) { c.tableDown = !c.tableDown },
			"app": func(t *rapid.T) {
				c.appBehaviours = append(c.appBehaviours, rapid.SampledFrom([]string{"ran", "truncated", "rejected"}).Draw(t, "app behaviour"))
			},
			"freeze":       func(*rapid.T) { h := draw(); h.frozen = !h.frozen },
			"kill":         func(*rapid.T) { h := draw(); c.kill(&h.host); c.start(h) },
			"clear_faults": func(*rapid.T) { c.clearFaults() },
			"retry":        func(*rapid.T) { c.flushBacklog(draw()) },
			"time":         func(t *rapid.T) { c.clock.Advance(clock.Millis(rapid.IntRange(100, 9000).Draw(t, "ms"))) },
		})
		c.checkBacklogs()
		for outcome, n := range c.outcomes {
			total[outcome] += n
		}
	})
	t.Logf("outcomes: %v", total)
	for _, outcome := range []claim.Outcome{claim.Ran, claim.Replayed, claim.InProgress, claim.MayHaveRun, claim.KeyReused, claim.ClaimUnavailable, claim.NotRun} {
		assert.Assert(t, total[outcome] > 0, "outcome %d never occurred", outcome)
	}
}

func (c *claimCluster) steps(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		c.step(rapid.IntRange(0, 9).Draw(t, "task"))
	}
}

func (c *claimCluster) flushBacklog(h *claimHost) {
	backlog := h.backlog
	c.spawn(&h.host, func() { backlog.Flush(context.Background()) })
}

// checkBacklogs clears all faults and checks that each outcome is then in the table service.
func (c *claimCluster) checkBacklogs() {
	c.clearFaults()
	for _, h := range c.hosts {
		if h.backlog.Len() > 0 {
			c.t.Fatalf("%s has %d unwritten outcomes", h.name, h.backlog.Len())
		}
	}
}

// clearFaults removes all faults, completes all requests and flushes the backlogs.
func (c *claimCluster) clearFaults() {
	var hosts []*host
	for _, h := range c.hosts {
		hosts = append(hosts, &h.host)
	}
	c.runToCompletion(hosts)
	c.table.ApplyDelayed(context.Background())
	for range 3 {
		for _, h := range c.hosts {
			c.flushBacklog(h)
		}
		c.runToCompletion(hosts)
	}
}
