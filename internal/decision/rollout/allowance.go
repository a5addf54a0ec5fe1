package rollout

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Allowance is how many requests of a pool a bad version may get in a roll-out: a share of
// all requests, and some besides.
type Allowance struct {
	Share float64
	Slack float64
}

const (
	// usedShare and usedSlack are the parts of an allowance that are used: the daemons know
	// of each other's requests some hundred ms later.
	usedShare = 0.95
	usedSlack = 0.85
	// correctionTime is the time in which a version gets what it may still get. It is a
	// multiple of the age of the daemons' reports.
	correctionTime = 2_000 * clock.Millis(1)
)

// Traffic is what all daemons have sent in a roll-out.
type Traffic struct {
	All       int
	Canary    int
	PerSecond float64 // of all requests, lately; 0 while unknown
}

// Limit returns how many requests a version without a verdict may have got. The slack is
// released over the time until the verdict: a version may turn bad some seconds after its
// start, which requests before tell nothing about.
func (a Allowance) Limit(all int, progress float64) float64 {
	released := math.Min(math.Max(progress, 0)/FullShareProgress(), 1)
	return usedShare*a.Share*float64(all) + usedSlack*a.Slack*released
}

// ShareNow returns the share of requests that a version without a verdict gets now.
func (a Allowance) ShareNow(t Traffic, progress float64) float64 {
	share := usedShare * a.Share
	rest := a.Limit(t.All, progress) - float64(t.Canary)
	if t.PerSecond > 0 {
		share += rest / (t.PerSecond * float64(correctionTime) / 1_000)
	} else if rest <= 0 {
		share = 0
	}
	return math.Min(math.Max(share, 0), 1)
}

// ShareUntil returns the constant share of requests with which a version gets what it may by
// the end of a roll-out that lasts that much longer.
func (a Allowance) ShareUntil(t Traffic, rest clock.Millis) float64 {
	coming := t.PerSecond * float64(rest) / 1_000
	if coming < 1 {
		return usedShare * a.Share
	}
	share := (a.Limit(t.All+int(coming), 1) - float64(t.Canary)) / coming
	return math.Min(math.Max(share, 0), 1)
}

// Covers reports whether all requests of a roll-out that lasts that much longer may run on a
// bad version.
func (a Allowance) Covers(t Traffic, rest clock.Millis) bool {
	all := t.All + int(t.PerSecond*float64(max(rest, 0))/1_000)
	return float64(all) <= a.Limit(all, 1)
}
