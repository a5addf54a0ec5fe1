package loadbalance

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// utilisationLifetime is how long a pool's utilisation is used before it is computed
	// again: the reports behind it arrive every 400 ms.
	utilisationLifetime = 50 * clock.Millis(1)
	// utilisationPeriodMs is the time over which it is averaged, so that decisions don't
	// alternate from one report to the next.
	utilisationPeriodMs = 1_000.0
	// earlierPeriodMs is the time over which the utilisation is averaged that it is compared
	// with. The difference is the rise of about two seconds: half of the time that a stream
	// of a large model runs.
	earlierPeriodMs = 3_000.0
)

// Utilisation is how much of a pool's capacity the requests of all daemons use.
type Utilisation struct {
	Load    float64      // running and queued requests / slots, averaged; over 1 while requests queue
	Earlier float64      // the same, averaged over a longer time
	Calls   int          // running and queued requests now
	Slots   int          // of the servers that accept requests
	Known   int          // servers with a load that hasn't expired; for the others see minKnown
	Servers int          // that accept requests
	Age     clock.Millis // of the oldest load that is used
}

// Wait returns the expected time until one more request starts, where requests take the
// given time. Pending prefill is no part of it: the measured times to the first byte hold it.
func (u Utilisation) Wait(request clock.Millis) clock.Millis {
	return clock.Millis(max(u.Load-1, 0) * float64(request))
}

// Rise returns by how much the load has risen in the last seconds; 0 if it falls.
//
// Load pattern: the traffic doubles within a second. Streams run for seconds, so the load goes
// on rising until as many end as start, and reports tell of it late.
func (u Utilisation) Rise() float64 { return max(u.Load-u.Earlier-usualRise, 0) }

// usualRise is the rise that the usual variation of the traffic brings about.
const usualRise = 0.05

// Plus returns the utilisation of the servers of both.
func (u Utilisation) Plus(o Utilisation) Utilisation {
	sum := Utilisation{
		Calls: u.Calls + o.Calls, Slots: u.Slots + o.Slots, Known: u.Known + o.Known, Servers: u.Servers + o.Servers, Age: max(u.Age, o.Age),
	}
	sum.Load = (u.Load*float64(u.Slots) + o.Load*float64(o.Slots)) / float64(max(sum.Slots, 1))
	sum.Earlier = (u.Earlier*float64(u.Slots) + o.Earlier*float64(o.Slots)) / float64(max(sum.Slots, 1))
	return sum
}

// minKnown is the number of servers with a known load from which on the others count as
// loaded alike; with fewer, they count as free. A daemon that is cut off from the others knows only the servers that it has
// just called, and would take the rest of a full pool for idle.
const minKnown = 8

// extrapolated returns the utilisation with the mean known load at all servers if enough of
// them are known.
func (u Utilisation) extrapolated() Utilisation {
	if u.Known >= minKnown && u.Known < u.Servers {
		u.Load *= float64(u.Servers) / float64(u.Known)
		u.Earlier *= float64(u.Servers) / float64(u.Known)
	}
	return u
}

// poolUtilisation is the last utilisation of a pool by the version of its servers, and when
// it was computed.
type poolUtilisation struct {
	versions map[string]Utilisation
	at       clock.Millis
}

// Utilisation returns the utilisation of the pool's servers whose versions are allowed; nil
// allows all. During a roll-out, the servers of the new version get few requests, so their
// free slots are no capacity for the others.
func (b *Balancer) Utilisation(v *fleet.View, pool string, allowed func(version string) bool, now clock.Millis) (u Utilisation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last, known := b.utilisations[pool]
	if !known || now-last.at >= utilisationLifetime {
		last = b.updateUtilisation(v, pool, last, now)
	}
	for version, other := range last.versions {
		if allowed == nil || allowed(version) {
			u = u.Plus(other)
		}
	}
	return u
}

// updateUtilisation returns the utilisation of the pool now, averaged with the last one. The
// caller must hold mu.
func (b *Balancer) updateUtilisation(v *fleet.View, pool string, last poolUtilisation, now clock.Millis) poolUtilisation {
	next := poolUtilisation{b.measureUtilisation(v, pool, now), now}
	elapsed := float64(now - last.at)
	keep, keepEarlier := math.Exp(-elapsed/utilisationPeriodMs), math.Exp(-elapsed/earlierPeriodMs)
	for version, u := range next.versions {
		if before, known := last.versions[version]; known {
			u.Earlier += (before.Earlier - u.Earlier) * keepEarlier
			u.Load += (before.Load - u.Load) * keep
			next.versions[version] = u
		}
	}
	b.utilisations[pool] = next
	return next
}

// measureUtilisation returns the utilisation now by the version of the servers. The caller
// must hold mu.
func (b *Balancer) measureUtilisation(v *fleet.View, pool string, now clock.Millis) map[string]Utilisation {
	versions := make(map[string]Utilisation)
	for e, s := range b.acceptingServers(v, pool, now) {
		load, slots := s.load(now), s.slotsOf(e)
		calls := max(load.Calls, 0)
		loaded := float64(calls) / float64(slots)
		u := Utilisation{Load: loaded, Earlier: loaded, Calls: calls, Slots: slots, Servers: 1}
		if age, known := s.loadAge(now); known {
			u.Known, u.Age = 1, age
		}
		versions[e.Version] = versions[e.Version].Plus(u)
	}
	for version, u := range versions {
		versions[version] = u.extrapolated()
	}
	return versions
}

// Backlog is what a request finds at a server.
type Backlog struct {
	Calls   int          // running and queued there, from all daemons
	Slots   int          // requests that run at once
	Prefill clock.Millis // pending
	Age     clock.Millis // of the load of the other daemons
	Known   bool         // whether that load is known
}

// Backlog returns what is known of the server's load.
func (b *Balancer) Backlog(e *fleet.Entry, now clock.Millis) Backlog {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(e)
	load := s.load(now)
	age, known := s.loadAge(now)
	return Backlog{Calls: load.Calls, Slots: s.slotsOf(e), Prefill: max(load.Prefill, 0), Age: age, Known: known}
}

// Queue returns the expected time until a slot is free for a request that is counted in
// Calls, where requests take the given time.
func (l Backlog) Queue(request clock.Millis) clock.Millis {
	return clock.Millis(float64(max(l.Calls-l.Slots, 0)) * float64(request) / float64(max(l.Slots, 1)))
}
