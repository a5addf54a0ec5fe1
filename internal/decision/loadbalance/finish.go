package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

const (
	// lastEventWeight is the weight of the time from the first event to the last in the cost
	// of an uneven server. Callers have a target for the first event, and for the last only
	// a deadline that is several times later.
	lastEventWeight = 0.1
	// engineNoise is the mean of the random cost at a model engine whose free capacity equals
	// its slots. It is larger, the less is free. One request more or less, which other
	// daemons may have placed since their reports, must not decide.
	engineNoise = costEngineCall
	// plainNoisePerMs is the same at a plain server for each ms of the age of its load, which
	// changes several times between two reports. Load that is 400 ms old, as with 390
	// daemons, needs twice the noise of load that is 200 ms old.
	plainNoisePerMs = 1.0
	// minPlainNoise keeps the choice random among servers that have just answered.
	minPlainNoise = 50.0
	// unknownLoadNoise is the noise at a plain server of whose load nothing is known.
	unknownLoadNoise = 200.0
	// minRoom is the least free capacity that is assumed, as a share of the slots.
	minRoom = 0.05
)

// finish is when a request is expected to be answered at an uneven server, in ms from now.
type finish struct {
	wait       float64 // for a slot
	firstEvent float64
	lastEvent  float64
}

// finish returns the expected times of the request at the server.
func (p *placement) finish(s *serverState, e *fleet.Entry, which int) finish {
	load := s.load(p.request.Now)
	slots := float64(s.slotsOf(e))
	var f finish
	lasting := s.lastingSlowness()
	if waiting := float64(load.Calls) - slots + 1; waiting > 0 {
		// One slot becomes free each time that one of the running requests ends.
		f.wait = lasting * (float64(p.firstByte[which]) + p.streamMs(slots)) * waiting / slots
	}
	slowness := s.currentSlowness(p.request.Now) * s.slowness(p.request.Now)
	f.firstEvent = f.wait + slowness*float64(s.pendingPrefill(p.request.Now)+p.firstByte[which])
	// The pace of this moment is over before most of the stream.
	f.lastEvent = f.firstEvent + lasting*p.streamMs(min(float64(load.Calls)+1, slots))
	return f
}

// streamMs returns the expected time from the first to the last event of the request at a
// typical server with that many requests; 0 if it doesn't generate a stream.
func (p *placement) streamMs(calls float64) float64 {
	if !p.request.Pool.HasEngines() {
		return 0
	}
	events := float64(p.request.Prompt.MaxOutputTokens) / float64(max(p.request.Pool.TokensPerEvent, 1))
	if p.events.weight < minWeight {
		return events * p.latency.InterEventMs()
	}
	return events * p.events.At(calls)
}

// finishCost returns the cost of an uneven server: the expected times of this request
// there, and what the requests beside it lose.
//
// Load pattern: servers of several speeds, some of them slow for a moment. All daemons have
// the same outdated reports, so the choice among servers with similar costs is random, in
// proportion to their free capacity.
func (p *placement) finishCost(s *serverState, e *fleet.Entry, which int) float64 {
	r := p.request
	load, lasting := s.load(r.Now), s.lastingSlowness()
	f := p.finish(s, e, which)
	call, noise := costPlainCall, s.plainNoise(r.Now)
	if r.Pool.HasEngines() {
		call, noise = costEngineCall, engineNoise
	}
	cost := f.firstEvent + lastEventWeight*(f.lastEvent-f.firstEvent)
	cost += lasting*call*float64(load.Calls) + costPrefill*float64(p.prefillTokens[which])/1000
	room := (p.balancer.maxCalls(s, e, &r.Pool) - float64(load.Calls)) / float64(s.slotsOf(e))
	// The least of exponential variates belongs to each with a probability in proportion to
	// its rate.
	const steps = 1 << 20
	unit := (float64(container.CombineHash(r.Salt, e.ID)%steps) + 1) / steps
	return cost - noise*math.Log(unit)/max(room, minRoom)
}

// plainNoise returns the mean of the random cost at a plain server.
//
// Load pattern: many daemons, each with few answers of a server, so that most of what they
// know of it is from reports. The older that is, the more it must be left to chance.
func (s *serverState) plainNoise(now clock.Millis) float64 {
	age, known := s.measuredAge(now)
	if !known {
		return unknownLoadNoise
	}
	return max(plainNoisePerMs*float64(age), minPlainNoise)
}

// measuredAge returns the time since the load that the placement uses was measured. A report of
// other daemons is on average half a reportPeriod old when it comes in.
func (s *serverState) measuredAge(now clock.Millis) (age clock.Millis, known bool) {
	age = reportLifetime
	if s.peerLoadAt != 0 {
		age = min(age, now-s.peerLoadAt+reportPeriod/2)
	}
	if s.reportedAt != 0 && (s.peerLoadAt == 0 || now-s.reportedAt < freshReport) {
		age = min(age, now-s.reportedAt)
	}
	return age, age < reportLifetime
}

// pendingPrefill returns the prefill that is pending at an uneven server, in ms at a typical one.
//
// The server has gone on with the other daemons' prefill since their report, at its present
// speed. A prefill takes 10 to 200 ms and reports come every 400 ms, so most of what a report
// states is done before the next one.
func (s *serverState) pendingPrefill(now clock.Millis) clock.Millis {
	pending := s.own.Prefill
	if s.peerLoadAt == 0 || now-s.peerLoadAt >= reportLifetime || s.peerLoad.Prefill <= 0 {
		return pending
	}
	done := float64(now-s.peerLoadAt) / (s.currentSlowness(now) * s.slowness(now))
	return pending + max(s.peerLoad.Prefill-clock.Millis(done), 0)
}
