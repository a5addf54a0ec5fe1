package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"gypsumpitch.example/gypsumpitch/platform/standin"
)

// mostBetween is the longest time between two acts: they overlap.
const mostBetween = 900 * time.Millisecond

// act is planned work or a fault.
type act struct {
	name   string
	strike func(w *world, chance *rand.Rand)
}

// some returns a time between the two, in ms.
func some(chance *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+chance.IntN(most-least)) * time.Millisecond
}

func (w *world) anyDaemon(chance *rand.Rand) *daemon { return w.daemons[chance.IntN(len(w.daemons))] }

// disturb lasts from the call until the time after it is over.
func (w *world) disturb(d *daemon, what string, lasts time.Duration) {
	end := w.oracle.disturb(d, what)
	time.Sleep(lasts)
	end()
}

var acts = []act{
	{"kill a daemon", func(w *world, chance *rand.Rand) {
		d := w.anyDaemon(chance)
		end := w.oracle.disturb(d, "kill")
		d.end(syscall.SIGKILL)
		time.Sleep(some(chance, 50, 1_000))
		d.start()
		end()
	}},
	{"kill all daemons", func(w *world, chance *rand.Rand) {
		if chance.IntN(4) > 0 {
			return
		}
		end := w.oracle.disturb(nil, "kill")
		for _, d := range w.daemons {
			d.signal(syscall.SIGKILL)
		}
		for _, d := range w.daemons {
			d.end(syscall.SIGKILL)
			d.start()
		}
		end()
	}},
	{"stop a daemon and start it again", func(w *world, chance *rand.Rand) {
		d := w.anyDaemon(chance)
		end := w.oracle.disturb(d, "stop")
		d.end(syscall.SIGTERM)
		d.start()
		end()
	}},
	{"pause a daemon", func(w *world, chance *rand.Rand) {
		d := w.anyDaemon(chance)
		d.signal(syscall.SIGSTOP)
		w.disturb(d, "pause", some(chance, 200, 3_000))
		d.signal(syscall.SIGCONT)
	}},
	{"reload a daemon", func(w *world, chance *rand.Rand) { w.anyDaemon(chance).signal(syscall.SIGHUP) }},
	{"cut a daemon's link to the store", func(w *world, chance *rand.Rand) {
		d := w.anyDaemon(chance)
		d.store.set([]mood{slow, silent, oneWay, refusal}[chance.IntN(4)])
		w.disturb(d, "cut", some(chance, 300, 3_000))
		d.store.set(open)
	}},
	{"reset a daemon's calls to the store", func(w *world, chance *rand.Rand) {
		d := w.anyDaemon(chance)
		defer w.oracle.disturb(d, "reset")()
		d.store.reset()
	}},
	{"the store's weather", func(w *world, chance *rand.Rand) {
		w.store.SetFaults([]standin.Faults{
			{Unavailable: true}, {Delay: 400 * time.Millisecond}, {DropResponses: true}, {DropResponses: true, CommitDelay: 500 * time.Millisecond},
		}[chance.IntN(4)])
		w.disturb(nil, "store", some(chance, 300, 2_000))
		w.store.SetFaults(standin.Faults{})
	}},
	{"the store forgets its history", func(w *world, _ *rand.Rand) {
		defer w.oracle.disturb(nil, "store")()
		w.store.Compact()
	}},
	{"a new configuration", func(w *world, _ *rand.Rand) { w.configure() }},
	{"an engine leaves", func(w *world, chance *rand.Rand) {
		e := w.takeEngine(chance)
		if e == nil {
			return
		}
		w.mu.Lock()
		w.register(e, "draining")
		w.mu.Unlock()
		e.set(func(e *engine) { e.left = time.Now() })
		time.Sleep(drainTime + some(chance, 300, 1_500))
		w.store.Put("servers", e.id, "")
		end := w.oracle.disturb(nil, "engine")
		e.crash()
		end()
		w.addEngine(e.address)
	}},
	{"an engine crashes", func(w *world, chance *rand.Rand) {
		e := w.takeEngine(chance)
		if e == nil {
			return
		}
		end := w.oracle.disturb(nil, "engine")
		e.crash()
		time.Sleep(some(chance, 100, 1_500))
		w.store.Put("servers", e.id, "")
		w.addEngine(e.address)
		end()
	}},
	{"an engine fails requests", func(w *world, chance *rand.Rand) {
		e := w.takeEngine(chance)
		if e == nil {
			return
		}
		mute := chance.IntN(2) == 0
		e.set(func(e *engine) { e.failing, e.mute = !mute, mute })
		w.disturb(nil, "engine", some(chance, 200, 1_500))
		e.set(func(e *engine) { e.failing, e.mute = false, false })
		w.giveBack(e)
	}},
}
