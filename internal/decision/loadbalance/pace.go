package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// PaceKind is how a server's statement of its pace was understood.
type PaceKind string

// The kinds of paces. Only a valid one is used; the others count as absent.
const (
	NoPace          PaceKind = ""
	ValidPace       PaceKind = "valid"
	ZeroPace        PaceKind = "zero"
	NegativePace    PaceKind = "negative"
	OutOfBoundsPace PaceKind = "out_of_bounds"
	MalformedPace   PaceKind = "malformed"
)

const (
	// MinPace is the least valid pace in percent: work takes a tenth of its usual time.
	MinPace = 10
	// MaxPace is the greatest: work takes twenty times its usual time.
	MaxPace = 2_000
	// usualPace is the pace of a server on which work takes its usual time.
	usualPace = 100.0
	// paceHalfLifeMs is the age at which a statement counts half. Servers change their pace
	// every 600 ms, so one of random age is outdated with a probability of age / 600 ms.
	paceHalfLifeMs = 300.0
	// paceLifetime is the age from which on a statement is ignored: four half-lives leave a
	// sixteenth of it.
	paceLifetime = 1_200 * clock.Millis(1)
	// paceChangePeriod is how often servers change their pace, and paceStatements the number
	// of such periods over which it is averaged. A slowness that lasts for seconds raises the
	// average within two; one of random changes does not.
	paceChangePeriod = 600 * clock.Millis(1)
	paceStatements   = 4
	// meanPaceHalfLifeMs is the half-life of the average without statements.
	meanPaceHalfLifeMs = 5_000.0
)

// RecordPace records how long work takes at the server at this moment, in percent of the
// usual time. Values outside the bounds are ignored.
func (b *Balancer) RecordPace(e *fleet.Entry, percent int, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordPace(e, percent, now)
}

// recordPace is RecordPace for callers that hold mu.
func (b *Balancer) recordPace(e *fleet.Entry, percent int, now clock.Millis) {
	if percent < MinPace || percent > MaxPace {
		return
	}
	b.paceStatedAt[e.Pool] = now
	if p := b.speeds.pools[e.Pool]; !p.isUneven {
		p.refreshedAt = 0
		b.speeds.pools[e.Pool] = p
	}
	speed := b.state(e).speed
	speed.pace = speed.pace.With(percent, true, now)
}

// pace is what is known of a server's pace. It is immutable.
type pace struct {
	percent int          // latest statement; 0 if there is none
	at      clock.Millis // when it was stated
	isOwn   bool         // stated to this daemon
	mean    float64      // excess of the average slowness over 1, at that time
}

// With returns the pace with a statement that was made at the time.
func (p pace) With(percent int, isOwn bool, at clock.Millis) pace {
	share := 1.0 / paceStatements
	if p.percent > 0 {
		// Statements between two changes say the same.
		share *= float64(min(max(at-p.at, 0), paceChangePeriod)) / float64(paceChangePeriod)
	}
	mean := p.meanExcess(at)
	mean += share * (float64(percent)/usualPace - 1 - mean)
	return pace{percent: percent, at: at, isOwn: isOwn, mean: mean}
}

// meanExcess returns the excess of the average slowness over 1.
func (p pace) meanExcess(now clock.Millis) float64 {
	if math.Abs(p.mean) < negligible {
		return 0
	}
	return p.mean * math.Exp2(-float64(max(now-p.at, 0))/meanPaceHalfLifeMs)
}

// slowness returns the expected factor by which work now takes longer than usual: the
// stated one with the probability that it still applies, and otherwise the average.
func (p pace) slowness(now clock.Millis) float64 {
	if p.percent == 0 {
		return 1
	}
	mean, age := p.meanExcess(now), max(now-p.at, 0)
	if age >= paceLifetime {
		return 1 + mean
	}
	stated := float64(p.percent)/usualPace - 1
	return 1 + mean + (stated-mean)*math.Exp2(-float64(age)/paceHalfLifeMs)
}
