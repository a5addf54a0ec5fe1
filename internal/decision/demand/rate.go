package demand

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// window is the time constant of the rate of started work. At 12 requests/s of an
	// account, it averages about 48 of them, which keeps the error near 14%.
	window = 2_000 * clock.Millis(1)
	// arrivalWindow is the time constant of the rate of arrived work. Accounts with few
	// long streams vary more than those with many short requests.
	arrivalWindow = 4_000 * clock.Millis(1)
	// recentWindow is the time constant of the rate that shows a flood in the next report.
	recentWindow = 500 * clock.Millis(1)
)

// rate is a rate of work that decays exponentially.
type rate struct {
	window clock.Millis
	work   float64 // decayed, in ms of server time
	at     clock.Millis
}

// decay returns the share of work that still counts after the time.
func (r *rate) decay(elapsed clock.Millis) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(r.window))
}

// add records work that starts now.
func (r *rate) add(work float64, now clock.Millis) {
	r.work = r.work*r.decay(now-r.at) + work
	r.at = now
}

// subtract takes back a part of work that was added at the earlier time.
func (r *rate) subtract(work float64, addedAt, now clock.Millis) {
	r.add(-work*r.decay(now-addedAt), now)
	r.work = max(r.work, 0)
}

// minAge is the least time over which a rate is averaged.
const minAge = 200 * clock.Millis(1)

// perMs returns the rate in ms of server time per ms. Records began at the earlier time: a
// rate that is younger than its window would be too low, and daemons that restart together
// would take a flood for little.
func (r *rate) perMs(since, now clock.Millis) float64 {
	observed := 1 - r.decay(max(now-since, minAge))
	return r.work * r.decay(now-r.at) / (float64(r.window) * observed)
}
