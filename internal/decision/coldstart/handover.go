package coldstart

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Handover delays the use of slots until their previous owner can't use them any more:
// a daemon with an older document, or an earlier incarnation of this daemon. It isn't safe
// for concurrent use.
type Handover struct {
	delay     clock.Millis
	startedAt clock.Millis // start of this daemon
	servers   map[string]slotChange
}

// slotChange is the last change of a server's slots.
type slotChange struct {
	slots       int // usable before effectiveAt
	target      int // usable from effectiveAt on
	effectiveAt clock.Millis
	atStart     bool // made by the start of this daemon
}

// NewHandover returns a handover that delays additional slots by the longest time for
// which a request of their previous owner can run.
func NewHandover(delay, startedAt clock.Millis) *Handover {
	return &Handover{delay: delay, startedAt: startedAt, servers: make(map[string]slotChange)}
}

// Usable returns the number of slots of the server that may be used now. slots is the
// number that the newest document assigns to this daemon. idle means that the server has
// reported, since this daemon started, that it runs no requests: then no request of an
// earlier incarnation of this daemon is left.
func (h *Handover) Usable(server string, slots int, idle bool, now clock.Millis) int {
	c, ok := h.servers[server]
	if !ok {
		c = slotChange{target: slots, effectiveAt: h.startedAt + h.delay, atStart: true}
	}
	if c.atStart && idle {
		c.effectiveAt = min(c.effectiveAt, now)
	}
	if slots != c.target {
		c = slotChange{slots: min(h.current(c, now), slots), target: slots, effectiveAt: now + h.delay}
	}
	h.servers[server] = c
	return h.current(c, now)
}

func (h *Handover) current(c slotChange, now clock.Millis) int {
	if now >= c.effectiveAt {
		return c.target
	}
	return c.slots
}

// SetDelay changes the delay of later changes and of those made by the daemon's start.
func (h *Handover) SetDelay(delay clock.Millis) {
	h.delay = delay
	for server, c := range h.servers {
		if c.atStart {
			c.effectiveAt = max(c.effectiveAt, h.startedAt+delay)
			h.servers[server] = c
		}
	}
}
