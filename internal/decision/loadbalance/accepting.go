package loadbalance

import (
	"iter"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// acceptingServers returns the pool's servers that accept requests: those in service that are
// neither leaving, paused nor ejected. Others have no free capacity, whatever their load. The
// caller must hold mu.
func (b *Balancer) acceptingServers(v *fleet.View, pool string, now clock.Millis) iter.Seq2[*fleet.Entry, *serverState] {
	return func(yield func(*fleet.Entry, *serverState) bool) {
		entries := v.Pool(pool)
		for i := range entries {
			e := &entries[i]
			n := b.announcements.of(e)
			if !v.InService(e) || b.announcements.hasDeparted(n, now) || n.isPaused(now) {
				continue
			}
			if s := b.state(e); now >= s.ejectedUntil && !yield(e, s) {
				return
			}
		}
	}
}
