package loadbalance

import (
	"fmt"
	"math"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// arrive sends a request to the server that the policy chooses, and draws the next one.
func (r *replay) arrive() {
	rate := r.perSecond / 1_000 * (1 + r.wave*math.Sin(2*math.Pi*r.now/17_000))
	if next := r.random.ExpFloat64() / rate; r.now+next < replayEnd {
		r.after(next, r.arrive)
	}
	c := &replayCall{daemon: r.random.IntN(r.daemons), arrived: r.now, kind: replayKinds[0]}
	for point := r.random.Float64(); point > c.kind.share; {
		point -= c.kind.share
		c.kind = replayKinds[slices.Index(replayKinds, c.kind)+1]
	}
	c.key = fmt.Sprintf("%d-%d", c.kind.prompt, r.random.IntN(60))
	if c.kind == replayKinds[0] && r.random.Float64() < r.hotShare {
		c.key = "hot"
	}
	if r.plain {
		c.kind, c.key = replayKind{target: 300, deadline: 3_000}, ""
	}
	if !r.choose(c) {
		r.record(c, -1, math.Inf(1))
		return
	}
	s := r.servers[c.server]
	if s.running < s.slots {
		r.begin(s, c)
		return
	}
	s.queue = append(s.queue, c)
}

// choose chooses the server of the call; false if there is none.
func (r *replay) choose(c *replayCall) bool {
	b := r.balancer[c.daemon]
	request := Request{
		Pool: r.pool, DataCentre: fmt.Sprintf("dc-%d", c.daemon%3), Hosts: make([]string, r.daemons), Model: "m",
		Salt: r.random.Uint64(), Now: r.millis(),
	}
	if c.kind.prompt > 0 {
		request.Prompt = Prompt{
			Segments: []Segment{{c.key, c.kind.shared}, {"own", c.kind.prompt - c.kind.shared}}, Tokens: c.kind.prompt, MaxOutputTokens: c.kind.output,
		}
	}
	chosen := r.baseline(c)
	if chosen >= 0 {
		only := r.servers[chosen].entry.ID
		request.VersionAllowed = nil
		request.Tried = func(id string) bool { return id != only }
	}
	choice, result := b.Choose(r.view, request)
	if result != Chosen {
		return false
	}
	c.choice = choice
	c.server = slices.IndexFunc(r.servers, func(s *replayServer) bool { return s.entry.ID == choice.Server.ID })
	return true
}

// baseline returns the server that a baseline chooses; -1 for the policies of the balancer.
func (r *replay) baseline(c *replayCall) int {
	b := r.balancer[c.daemon]
	load := func(i int) int { return b.state(&r.servers[i].entry).load(r.millis()).Calls }
	least := func(i, j int) int {
		if load(j) < load(i) {
			return j
		}
		return i
	}
	n := len(r.servers)
	switch r.policy {
	case "round robin":
		r.turn[c.daemon]++
		return r.turn[c.daemon] % n
	case "two choices":
		return least(r.random.IntN(n), r.random.IntN(n))
	case "least load":
		best := r.random.IntN(n)
		for i := range n {
			best = least(best, (best+i)%n)
		}
		return best
	}
	return -1
}

// slowness returns the factor on the time of work at the server.
func (r *replay) slowness(server int) float64 {
	if r.slow == nil {
		return 1
	}
	return r.slow(server, r.now)
}

// begin gives the call a slot of its server.
func (r *replay) begin(s *replayServer, c *replayCall) {
	s.running++
	work := 60.0
	if !r.plain {
		tokens := c.kind.prompt
		if i := slices.Index(s.cache, c.key); i >= 0 {
			tokens -= c.kind.shared
			s.cache = slices.Delete(s.cache, i, i+1)
		}
		if s.cache = append(s.cache, c.key); len(s.cache) > replayCache {
			s.cache = s.cache[1:]
		}
		work = float64(tokens) / prefillTokens
	}
	work *= r.slowness(c.server) / s.speed
	end := r.now + work
	if !r.plain {
		end = max(s.prefill, r.now) + work
		s.prefill = end
	}
	r.after(end-r.now, func() { r.answer(s, c) })
}

// answer sends the response header and generates the stream.
func (r *replay) answer(s *replayServer, c *replayCall) {
	b, now := r.balancer[c.daemon], r.millis()
	b.PrefillDone(&c.choice)
	report := ServerReport{HasLoad: true, Requests: s.running + len(s.queue), Slots: s.slots, Pace: 100}
	if !r.unstated {
		report.Pace = int(100 * r.slowness(c.server))
	}
	b.RecordReport(&c.choice.Server, report, now)
	b.RecordFirstByte(&c.choice, "m", clock.Millis(r.now-c.arrived), now)
	events := float64(c.kind.output) / 9
	event := 9 * (stepBaseMs + stepCallMs*float64(s.running)) * r.slowness(c.server) / s.speed
	first := r.now - c.arrived
	r.after(events*event, func() {
		if events > 0 {
			b.RecordInterEvent(&c.choice.Server, "m", event, r.millis())
		}
		b.Done(&c.choice)
		r.record(c, first, r.now-c.arrived)
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			r.begin(s, next)
		}
	})
}

// record counts a request that arrived after the warm-up.
func (r *replay) record(c *replayCall, first, last float64) {
	if c.arrived < replayWarmUp {
		return
	}
	r.started = append(r.started, first)
	if first >= 0 && first <= c.kind.target && last <= c.kind.deadline {
		r.inTarget++
	}
}
