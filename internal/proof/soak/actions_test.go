package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"time"

	"gypsumpitch.example/gypsumpitch/platform/standin"
)

// maxActionInterval bounds the time between the starts of two actions. It is short enough
// for actions to overlap.
const maxActionInterval = 900 * time.Millisecond

// action is an operator's planned change or an injected fault.
type action struct {
	name string
	run  func(c *cluster, rng *rand.Rand)
	// planned actions excuse no interrupted response.
	planned bool
}

// plannedOnlyEvery is the interval of the seeds that start planned actions only: beside
// faults, an interrupted response is nearly always excused by one of them.
const plannedOnlyEvery = 3

// actionsFor returns the actions that a run with the seed may start.
func actionsFor(seed uint64) []action {
	if seed%plannedOnlyEvery != 0 {
		return actions
	}
	return slices.DeleteFunc(slices.Clone(actions), func(a action) bool { return !a.planned })
}

// randomDuration returns a duration of at least minMs and less than maxMs.
func randomDuration(rng *rand.Rand, minMs, maxMs int) time.Duration {
	return time.Duration(minMs+rng.IntN(maxMs-minMs)) * time.Millisecond
}

func (c *cluster) randomDaemon(rng *rand.Rand) *daemon { return c.daemons[rng.IntN(len(c.daemons))] }

// disruptFor records a disruption of the given duration and returns when it is over. A nil
// daemon stands for all daemons.
func (c *cluster) disruptFor(d *daemon, cause string, duration time.Duration) {
	end := c.oracle.beginDisruption(d, cause)
	time.Sleep(duration)
	end()
}

// drain marks the engine as draining.
func (c *cluster) drain(e *engine) {
	c.mu.Lock()
	c.register(e, "draining")
	c.mu.Unlock()
	e.update(func(e *engine) { e.drainingSince = time.Now() })
}

// replaceDrained stops the engine and starts another one at its address.
func (c *cluster) replaceDrained(e *engine) {
	c.store.Put("servers", e.id, "")
	end := c.oracle.beginDisruption(nil, "engine")
	e.crash()
	end()
	c.addEngine(e.address)
}

var actions = []action{
	{"kill a daemon", func(c *cluster, rng *rand.Rand) {
		d := c.randomDaemon(rng)
		end := c.oracle.beginDisruption(d, "kill")
		d.signalAndWait(syscall.SIGKILL)
		time.Sleep(randomDuration(rng, 50, 1_000))
		d.start()
		end()
	}, false},
	{"kill all daemons", func(c *cluster, rng *rand.Rand) {
		if rng.IntN(4) > 0 {
			return
		}
		end := c.oracle.beginDisruption(nil, "kill")
		for _, d := range c.daemons {
			d.signal(syscall.SIGKILL)
		}
		for _, d := range c.daemons {
			d.signalAndWait(syscall.SIGKILL)
			d.start()
		}
		end()
	}, false},
	{"stop and restart a daemon", func(c *cluster, rng *rand.Rand) {
		d := c.randomDaemon(rng)
		end := c.oracle.beginDisruption(d, "stop")
		d.signalAndWait(syscall.SIGTERM)
		d.start()
		end()
	}, true},
	{"pause a daemon", func(c *cluster, rng *rand.Rand) {
		d := c.randomDaemon(rng)
		d.signal(syscall.SIGSTOP)
		c.disruptFor(d, "pause", randomDuration(rng, 200, 3_000))
		d.signal(syscall.SIGCONT)
	}, false},
	{"reload a daemon's settings", func(c *cluster, rng *rand.Rand) { c.randomDaemon(rng).signal(syscall.SIGHUP) }, true},
	{"disrupt a daemon's link to the store", func(c *cluster, rng *rand.Rand) {
		d := c.randomDaemon(rng)
		d.storeProxy.setMode([]proxyMode{modeDelay, modeDrop, modeDropResponses, modeReset}[rng.IntN(4)])
		c.disruptFor(d, "link", randomDuration(rng, 300, 3_000))
		d.storeProxy.setMode(modeForward)
	}, false},
	{"reset a daemon's connections to the store", func(c *cluster, rng *rand.Rand) {
		d := c.randomDaemon(rng)
		defer c.oracle.beginDisruption(d, "reset")()
		d.storeProxy.resetConnections()
	}, false},
	{"inject faults into the store", func(c *cluster, rng *rand.Rand) {
		c.store.SetFaults([]standin.Faults{
			{Unavailable: true}, {Delay: 400 * time.Millisecond}, {DropResponses: true}, {DropResponses: true, CommitDelay: 500 * time.Millisecond},
		}[rng.IntN(4)])
		c.disruptFor(nil, "store", randomDuration(rng, 300, 2_000))
		c.store.SetFaults(standin.Faults{})
	}, false},
	{"compact the store's history", func(c *cluster, _ *rand.Rand) {
		defer c.oracle.beginDisruption(nil, "store")()
		c.store.Compact()
	}, false},
	{"return the store to an older copy", func(c *cluster, rng *rand.Rand) {
		c.returnMu.Lock()
		defer c.returnMu.Unlock()
		if e := c.takeEngine(rng); e != nil {
			c.drain(e)
			time.Sleep(drainTimeout + randomDuration(rng, 50, 300))
			defer c.replaceDrained(e)
		}
		defer c.oracle.beginDisruption(nil, "return")()
		known := c.daemonsThatReject(c.revokedKey())
		lost, version := c.store.RestoreAt(time.Now().Add(-randomDuration(rng, 100, 6_000)))
		lost = slices.DeleteFunc(lost, func(r standin.Row) bool { return r.Table != "op" && r.Table != "servers" })
		time.Sleep(randomDuration(rng, 0, 1_500))
		c.checkStillRejected(known)
		c.store.WriteAgain(lost, version)
		c.checkStillRejected(known)
	}, false},
	{"write new configurations", func(c *cluster, rng *rand.Rand) {
		for range 1 + rng.IntN(3) {
			c.writeNextConfiguration()
			time.Sleep(randomDuration(rng, 200, 1_200))
		}
	}, true},
	{"drain and replace an engine", func(c *cluster, rng *rand.Rand) {
		e := c.takeEngine(rng)
		if e == nil {
			return
		}
		c.drain(e)
		time.Sleep(drainTimeout + randomDuration(rng, 300, 1_500))
		c.replaceDrained(e)
	}, false},
	{"let an engine announce its exit", func(c *cluster, rng *rand.Rand) {
		e := c.takeEngine(rng)
		if e == nil {
			return
		}
		e.update(func(e *engine) { e.announcesExit = true })
		time.Sleep(randomDuration(rng, 0, 2_000))
		c.mu.Lock()
		c.register(e, "ready")
		c.mu.Unlock()
		time.Sleep(drainTimeout + randomDuration(rng, 300, 1_500))
		end := c.oracle.beginDisruption(nil, "engine")
		c.store.Put("servers", e.id, "")
		e.crash()
		end()
		c.addEngine(e.address)
	}, false},
	{"let an engine ask for a pause", func(c *cluster, rng *rand.Rand) {
		e := c.takeEngine(rng)
		if e == nil {
			return
		}
		pause := randomDuration(rng, 600, 3_000)
		e.update(func(e *engine) { e.pausedUntil = time.Now().Add(pause) })
		time.Sleep(pause)
		c.returnEngine(e)
	}, true},
	{"let an engine state a rate limit", func(c *cluster, rng *rand.Rand) {
		e := c.takeEngine(rng)
		if e == nil {
			return
		}
		perSecond := []float64{0.5, 2, 15, 60}[rng.IntN(4)]
		e.limit.set(strconv.FormatFloat(perSecond, 'f', -1, 64))
		period := limitPeriod{engine: e, perSecond: perSecond, from: time.Now()}
		time.Sleep(randomDuration(rng, 5_000, 8_000))
		e.limit.set("")
		period.to = time.Now()
		c.oracle.recordLimit(period)
		c.returnEngine(e)
	}, true},
	{"crash and replace an engine", func(c *cluster, rng *rand.Rand) {
		e := c.takeEngine(rng)
		if e == nil {
			return
		}
		end := c.oracle.beginDisruption(nil, "engine")
		e.crash()
		time.Sleep(randomDuration(rng, 100, 1_500))
		c.store.Put("servers", e.id, "")
		c.addEngine(e.address)
		end()
	}, false},
	{"let an engine fall silent", func(c *cluster, rng *rand.Rand) {
		// No disruption: a sound server may be silent for a while and go on.
		if e := c.takeEngine(rng); e != nil {
			silence := randomDuration(rng, 1_000, 2_400)
			e.update(func(e *engine) { e.silentUntil = time.Now().Add(silence) })
			time.Sleep(silence)
			c.returnEngine(e)
		}
	}, true},
	{"let an engine fail requests", func(c *cluster, rng *rand.Rand) {
		e := c.takeEngine(rng)
		if e == nil {
			return
		}
		dropsResponses := rng.IntN(2) == 0
		e.update(func(e *engine) { e.returnsErrors, e.dropsResponses = !dropsResponses, dropsResponses })
		c.disruptFor(nil, "engine", randomDuration(rng, 200, 1_500))
		e.update(func(e *engine) { e.returnsErrors, e.dropsResponses = false, false })
		c.returnEngine(e)
	}, false},
}
