package coldstart

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Handover withholds slots that may still be in use by the member that owned
// them before: one that runs on an older document, or an earlier incarnation
// of this daemon. It belongs to one goroutine.
type Handover struct {
	wait    clock.Millis
	started clock.Millis
	changes map[string]change
}

type change struct {
	slots   int // what may be used now
	target  int // what may be used from ripe on
	ripe    clock.Millis
	atStart bool
}

// NewHandover returns a transfer that withholds grown slots for wait, which is
// the longest that a request of the former owner can go on.
func NewHandover(wait, started clock.Millis) *Handover {
	return &Handover{wait: wait, started: started, changes: make(map[string]change)}
}

// Usable returns the slots of the server that may be used now, given the
// slots that the newest document gives to this daemon. idle says that the
// server has reported, since this daemon's start, that nothing runs there; then
// no request of an earlier incarnation is left.
func (t *Handover) Usable(server string, slots int, idle bool, now clock.Millis) int {
	c, ok := t.changes[server]
	if !ok {
		c = change{target: slots, ripe: t.started + t.wait, atStart: true}
	}
	if c.atStart && idle {
		c.ripe = min(c.ripe, now)
	}
	if slots != c.target {
		c = change{slots: min(t.current(c, now), slots), target: slots, ripe: now + t.wait}
	}
	t.changes[server] = c
	return t.current(c, now)
}

func (t *Handover) current(c change, now clock.Millis) int {
	if now >= c.ripe {
		return c.target
	}
	return c.slots
}

// SetWait changes the wait of transfers that begin from now on, and of those
// that began at the daemon's start.
func (t *Handover) SetWait(wait clock.Millis) {
	t.wait = wait
	for server, c := range t.changes {
		if c.atStart {
			c.ripe = max(c.ripe, t.started+wait)
			t.changes[server] = c
		}
	}
}
