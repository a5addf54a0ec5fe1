package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

const (
	// speedHalfLifeMs is the half-life of the evidence of a server's speed, which is that of
	// its host and rarely changes.
	speedHalfLifeMs = 60_000.0
	// speedMemory is how long a start of a server is remembered after the last news of it: four
	// half-lives.
	speedMemory = 240_000 * clock.Millis(1)
	// minSpeed and maxSpeed bound a server's speed relative to its pool's typical one.
	minSpeed = 0.25
	maxSpeed = 4.0
	// typicalSpeedWeight is the number of answers as which the assumption counts that a
	// server has the typical speed of its pool. It keeps one odd answer from deciding.
	typicalSpeedWeight = 2.0
	// firstByteWeight and eventTimeWeight are the weights of a time to the first byte and of
	// a mean time between some events. A stream gives several of the latter.
	firstByteWeight = 1.0
	eventTimeWeight = 0.5
	// speedRefreshPeriod is how often the speeds of a pool's servers are derived from the
	// evidence: they change with reports, which come as often.
	speedRefreshPeriod = 400 * clock.Millis(1)
)

// speedKey identifies a start of a server in reports. Two servers with the same key, of
// 2,000 servers with a probability of 0.05%, would share a speed.
func speedKey(e *fleet.Entry) uint32 {
	return uint32(container.CombineHash(uint64(e.StartedAt), e.ID))
}

// speedEvidence is a sum of evidence of a server's speed that decays over time.
type speedEvidence struct {
	weight   float64 // decayed number of measurements
	logRatio float64 // decayed sum of the logarithms of measured by expected time
	at       clock.Millis
}

// At returns the evidence decayed until now.
func (s speedEvidence) At(now clock.Millis) speedEvidence {
	if s.weight == 0 {
		return speedEvidence{at: now}
	}
	factor := math.Exp2(-float64(max(now-s.at, 0)) / speedHalfLifeMs)
	return speedEvidence{weight: s.weight * factor, logRatio: s.logRatio * factor, at: now}
}

// With returns the evidence with one more measurement. A ratio that isn't a number is
// ignored: all later sums would be none either.
func (s speedEvidence) With(ratio, weight float64, now clock.Millis) speedEvidence {
	if math.IsNaN(ratio) {
		return s
	}
	ratio = min(max(ratio, minSpeed), maxSpeed)
	s = s.At(now)
	s.weight += weight
	s.logRatio += weight * math.Log(ratio)
	return s
}

// serverSpeed is what is known of the speed of one start of a server.
type serverSpeed struct {
	own    speedEvidence
	peers  speedEvidence // of the other daemons
	pace   pace
	usedAt clock.Millis // when there was last news of it, or a state that refers to it
}

// logSlowness returns the estimated logarithm of the factor by which the server is slower
// than expected; typical is that of its pool.
func (s *serverSpeed) logSlowness(typical float64, now clock.Millis) float64 {
	own, peers := s.own.At(now), s.peers.At(now)
	weight := own.weight + peers.weight + typicalSpeedWeight
	return (own.logRatio + peers.logRatio + typicalSpeedWeight*typical) / weight
}

// learn records a measured time as a multiple of the time expected at a server of typical
// speed. It removes the part of the server's pace.
func (s *serverSpeed) learn(ratio, weight float64, now clock.Millis) {
	s.own = s.own.With(ratio/s.pace.slowness(now), weight, now)
	s.usedAt = now
}

// poolSpeeds is the state of the speeds of a pool's servers.
type poolSpeeds struct {
	isUneven    bool
	refreshedAt clock.Millis
}

// speeds are the speeds of servers by speedKey. They outlive the states of servers, since a
// report may come before the server is first chosen.
type speeds struct {
	servers map[uint32]*serverSpeed
	pools   map[string]poolSpeeds
}

func newSpeeds() speeds {
	return speeds{servers: make(map[uint32]*serverSpeed), pools: make(map[string]poolSpeeds)}
}

// of returns the record of the start of the server, an empty one if there is none.
func (s *speeds) of(e *fleet.Entry) *serverSpeed { return s.byKey(speedKey(e)) }

func (s *speeds) byKey(key uint32) *serverSpeed {
	r, known := s.servers[key]
	if !known {
		r = &serverSpeed{}
		s.servers[key] = r
	}
	return r
}

// prune forgets starts of servers that nothing was heard of for long.
func (s *speeds) prune(now clock.Millis) {
	for key, r := range s.servers {
		if now-r.usedAt >= speedMemory {
			delete(s.servers, key)
		}
	}
}

// refreshSpeeds derives the lasting slowness of a pool's servers from the evidence from
// time to time, and reports whether they are uneven. The caller must hold mu.
//
// The slowness is relative to the mean of the servers' logarithms. Each daemon measures
// against its own model of the latency, and a factor in all its measurements drops out.
func (b *Balancer) refreshSpeeds(pool string, entries []fleet.Entry, now clock.Millis) bool {
	p, known := b.speeds.pools[pool]
	if known && now-p.refreshedAt < speedRefreshPeriod {
		return p.isUneven
	}
	wasUneven := p.isUneven
	p.isUneven, p.refreshedAt = b.isUneven(pool, now), now
	b.speeds.pools[pool] = p
	if !p.isUneven && !wasUneven {
		return false
	}
	typical := b.typicalLogSlowness(entries, now)
	for i := range entries {
		s := b.state(&entries[i])
		s.lasting = 0
		if p.isUneven {
			lasting := math.Exp(s.speed.logSlowness(typical, now) - typical)
			s.lasting = min(max(lasting, 1/maxSpeed), 1/minSpeed)
		}
	}
	return p.isUneven
}

// typicalLogSlowness returns the mean of the servers with enough evidence; 0 if there are none.
func (b *Balancer) typicalLogSlowness(entries []fleet.Entry, now clock.Millis) float64 {
	sum, n := 0.0, 0
	for i := range entries {
		speed := b.state(&entries[i]).speed
		own, peers := speed.own.At(now), speed.peers.At(now)
		if weight := own.weight + peers.weight; weight >= typicalSpeedWeight {
			sum += (own.logRatio + peers.logRatio) / weight
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// lastingSlowness returns the factor by which work takes longer at the server than at a
// typical one of its pool; 1 if the servers aren't uneven.
func (s *serverState) lastingSlowness() float64 {
	if s.lasting == 0 {
		return 1
	}
	return s.lasting
}

// currentSlowness is lastingSlowness with the server's pace at this moment.
func (s *serverState) currentSlowness(now clock.Millis) float64 {
	return s.lastingSlowness() * s.speed.pace.slowness(now)
}
