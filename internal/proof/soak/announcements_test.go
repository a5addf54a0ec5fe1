package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// pauseGrace is the time after an engine asked for a pause in which it must tolerate
	// requests, and pauseTolerance the number of them that it must tolerate later.
	pauseGrace     = 500 * time.Millisecond
	pauseTolerance = 2
)

// arrival is a request that reached an engine, whether it ran there or not.
type arrival struct {
	engine    *engine
	requestID string
	at        time.Time
	pause     time.Duration // for which the engine turned the daemon away; 0 if it did not
}

// exitKey identifies an engine whose exit a daemon has passed on to a caller.
type exitKey struct {
	daemon   *daemon
	engineID string
}

// recordArrival records that a request reached the engine.
func (o *oracle) recordArrival(e *engine, requestID string, pause time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = append(o.arrivals, arrival{e, requestID, time.Now(), max(pause, 0)})
}

// recordResponse records the announcement of an exit in a response that the daemon passed on.
func (o *oracle) recordResponse(d *daemon, h http.Header) {
	if h.Get("Server-Leaving") != "1" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	key := exitKey{d, h.Get("Instance-Id")}
	if _, known := o.exits[key]; !known {
		o.exits[key] = time.Now()
	}
}

// lostMemory reports whether the daemon was restarted or paused between from and to. o.mu
// must be held.
func (o *oracle) lostMemory(d *daemon, from, to time.Time) bool {
	return slices.ContainsFunc(o.disruptions, func(p *disruption) bool {
		return (p.daemon == nil || p.daemon == d) && (p.cause == "kill" || p.cause == "stop" || p.cause == "pause") &&
			p.startedAt.Before(to) && (p.endedAt.IsZero() || p.endedAt.After(from))
	})
}

// checkArrivals returns the violations of what engines announced. o.mu must be held.
func (o *oracle) checkArrivals() (violations []string) {
	for i, a := range o.arrivals {
		r := o.requests[a.requestID]
		if r == nil {
			continue
		}
		exit, announced := o.exits[exitKey{r.daemon, a.engine.id}]
		if announced && r.startedAt.Sub(exit) > drainTimeout && !o.lostMemory(r.daemon, exit, a.at) {
			violations = append(violations, fmt.Sprintf("%s, sent by %s, reached %s, whose exit was passed on %v before it was sent", r.id, r.daemon.name, a.engine.id, r.startedAt.Sub(exit)))
		}
		if n := o.arrivalsIn(a, o.arrivals[i+1:]); n > pauseTolerance {
			violations = append(violations, fmt.Sprintf("%d requests of %s reached %s in the pause of %v that it asked for at %s", n, r.daemon.name, a.engine.id, a.pause, a.at.Format("05.000")))
		}
	}
	return violations
}

// arrivalsIn returns how many of the later arrivals are in the pause that the engine asked
// for when it turned away a. o.mu must be held.
func (o *oracle) arrivalsIn(a arrival, later []arrival) int {
	n, d := 0, o.requests[a.requestID].daemon
	for _, b := range later {
		if !b.at.Before(a.at.Add(a.pause)) {
			break
		}
		r := o.requests[b.requestID]
		if b.engine == a.engine && r != nil && r.daemon == d && b.at.Sub(a.at) > pauseGrace && !o.lostMemory(d, a.at, b.at) {
			n++
		}
	}
	return n
}

// limitPeriod is a period in which an engine stated a rate limit.
type limitPeriod struct {
	engine    *engine
	perSecond float64
	from, to  time.Time
}

func (o *oracle) recordLimit(p limitPeriod) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits = append(o.limits, p)
}

// checkLimits returns the engines that got more requests than their limits allow, from
// daemons that were not restarted or paused since the limit was stated. o.mu must be held.
func (o *oracle) checkLimits() (violations []string) {
	for _, p := range o.limits {
		var counted []time.Time
		for _, a := range o.arrivals {
			r := o.requests[a.requestID]
			if a.engine == p.engine && r != nil && a.at.After(p.from.Add(stableTime)) && a.at.Before(p.to) && !o.lostMemory(r.daemon, p.from, a.at) {
				counted = append(counted, a.at)
			}
		}
		if most := mostInWindow(counted); float64(most) > allowedInWindow(p.perSecond) {
			violations = append(violations, fmt.Sprintf("%s got %d requests in %v, limited to %v a second from %s on", p.engine.id, most, limitWindow, p.perSecond, p.from.Format("05.000")))
		}
	}
	return violations
}
