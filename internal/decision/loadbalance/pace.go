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
	// MinPace and MaxPace bound a valid pace in percent: work takes a tenth to twenty times
	// its usual time.
	MinPace = 10
	MaxPace = 2_000
	// usualPace is the pace of a server on which work takes its usual time.
	usualPace = 100.0
	// paceHalfLifeMs is the age at which a pace counts half. Servers change theirs every
	// 600 ms, so a value of random age is outdated with a probability of age / 600 ms.
	paceHalfLifeMs = 300.0
	// paceLifetime is the age from which on a pace is ignored: four half-lives leave a
	// sixteenth of it.
	paceLifetime = 1_200 * clock.Millis(1)
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
	b.state(e).speed.pace = pace{percent: percent, at: now, isOwn: true}
}

// pace is a server's latest statement of its pace.
type pace struct {
	percent int          // 0 if there is none
	at      clock.Millis // when it was stated
	isOwn   bool         // stated to this daemon
}

// slowness returns the expected factor by which work now takes longer than usual: the
// stated one with the probability that it still applies, and otherwise none.
func (p pace) slowness(now clock.Millis) float64 {
	age := now - p.at
	if p.percent == 0 || age >= paceLifetime {
		return 1
	}
	stated := float64(p.percent) / usualPace
	return 1 + (stated-1)*math.Exp2(-float64(max(age, 0))/paceHalfLifeMs)
}
