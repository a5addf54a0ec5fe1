package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// maxReturnWait bounds ScheduleReturn: by then the limits may have ended.
const maxReturnWait = 60_000 * clock.Millis(1)

// ScheduleReturn returns when a caller should return whose request the rate limits of the
// pool's servers reject. Callers return one after the other, at the rate that is this
// daemon's part of the limits. One that would return too late for its request, of which
// remaining is left, takes no turn.
func (b *Balancer) ScheduleReturn(v *fleet.View, pool, self string, remaining, now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	perSecond, pause := 0.0, clock.Millis(0) // of all limits; until the first pause ends
	entries := v.Pool(pool)
	for i := range entries {
		n := b.announcements.of(&entries[i])
		if !v.InService(&entries[i]) || b.announcements.hasDeparted(n, now) {
			continue
		}
		if n.isPaused(now) {
			if left := n.pausedUntil - now; pause == 0 || left < pause {
				pause = left
			}
		} else if l := b.limits.of(&entries[i]); l != nil {
			perSecond += l.perSecond
		}
	}
	if perSecond == 0 {
		return max(pause, minRetryAfter)
	}
	interval := clock.Millis(1000 * float64(max(len(b.limits.members.sharing), 1)) / perSecond)
	// The daemons' first callers return at different times.
	turn := max(b.returns[pool], now-clock.Millis(float64(interval)*container.UnitHash(pool, self))) + interval
	if turn-now < min(remaining, maxReturnWait) {
		b.returns[pool] = turn
	}
	wait := min(turn-now, maxReturnWait)
	if pause > 0 {
		wait = min(wait, pause)
	}
	return max(wait, minRetryAfter)
}
