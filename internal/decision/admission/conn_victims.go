package admission

import (
	"cmp"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// reserveDivisor gives the part of the budget that large requests leave to small ones.
	reserveDivisor = 4
	// largeDivisor gives the size from which a connection counts as large, as a part of the
	// budget, and minLargeBytes its least value.
	largeDivisor  = 64
	minLargeBytes = 256 << 10
	// aloneFactor bounds what a single large request may hold, as a multiple of the budget.
	aloneFactor = 3
	// spareDivisor gives the part of the budget that is freed beyond what is needed, so that
	// the next connections find room without a search.
	spareDivisor = 32
)

// endedConn is a connection to be ended once the lock is released.
type endedConn struct {
	end      func(Refusal)
	refusal  Refusal
	reported bool // it was refused before
}

// endAll ends and reports the connections. b.mu must not be held.
func (b *ConnBudget) endAll(conns []endedConn) {
	for _, c := range conns {
		if c.end != nil {
			c.end(c.refusal)
		}
		if !c.reported {
			b.report(c.refusal)
		}
	}
}

// isLarge reports whether a connection with the bytes counts as large.
func (b *ConnBudget) isLarge(bytes int64) bool {
	return bytes > max(b.limit/largeDivisor, minLargeBytes)
}

// makeRoom chooses the connections to be ended so that h can grow by the bytes, and removes them.
// It returns false if h would have to go before them, or if they don't suffice. b.mu must be held.
func (b *ConnBudget) makeRoom(h *ConnHolding, bytes int64, now clock.Millis) ([]endedConn, bool) {
	limit, large := b.limit, b.isLarge(h.bytes+bytes)
	if large {
		limit = b.largeLimit()
	}
	missing := b.used + bytes - limit
	if b.limit <= 0 || missing <= 0 {
		return nil, true
	}
	if h.alone || (large && b.isAlone(h)) {
		h.alone = true
		return nil, h.bytes+bytes <= b.limit*aloneFactor
	}
	candidates, freeable := b.candidates(h, rank(h, h.bytes+bytes, now), now)
	if freeable < missing {
		return nil, false
	}
	var ended []endedConn
	for _, c := range candidates {
		if missing <= -b.limit/spareDivisor {
			break
		}
		missing -= c.countedBytes()
		ended = append(ended, b.remove(c, RefusedMemory, now))
	}
	return ended, true
}

// largeLimit returns the part of the budget that is for large requests, too.
func (b *ConnBudget) largeLimit() int64 { return b.limit - b.limit/reserveDivisor }

// Fits reports whether a connection of the group may ever hold the bytes.
func (g *ConnGroup) Fits(bytes int64) bool {
	if g == nil {
		return true
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return g.budget.limit <= 0 || bytes <= g.budget.largeLimit()
}

// isAlone reports whether h may exceed the budget: no other connection is large, and the small ones
// have room.
func (b *ConnBudget) isAlone(h *ConnHolding) bool {
	if !h.group.servesAlone || b.used-h.countedBytes() > b.limit/reserveDivisor {
		return false
	}
	for other := range b.holdings {
		if other != h && b.isLarge(other.bytes) {
			return false
		}
	}
	return true
}

// countedBytes returns what the budget counts for the connection. Of a single large request it
// leaves the part for small ones to them.
func (h *ConnHolding) countedBytes() int64 {
	if h.alone {
		return min(h.bytes, h.group.budget.largeLimit())
	}
	return h.bytes
}

// resize changes what the connection holds. b.mu must be held.
func (b *ConnBudget) resize(h *ConnHolding, bytes int64) {
	before := h.countedBytes()
	h.bytes = bytes
	h.alone = h.alone && b.isLarge(bytes)
	b.used += h.countedBytes() - before
}

// candidates returns the connections that can be ended and rank above the rank of h, highest
// first, and the sum of their bytes.
func (b *ConnBudget) candidates(h *ConnHolding, own float64, now clock.Millis) (list []*ConnHolding, bytes int64) {
	for other := range b.holdings {
		if other != h && !other.refused && other.phase != ConnServing && rank(other, other.bytes, now) > own {
			list = append(list, other)
			bytes += other.countedBytes()
		}
	}
	slices.SortFunc(list, func(x, y *ConnHolding) int {
		return cmp.Compare(rank(y, y.bytes, now), rank(x, x.bytes, now))
	})
	return list, bytes
}

// stalest returns the connection of the group that is to be ended for a new one: one that was
// refused and isn't closed yet, or that with the highest rank. It returns nil if all are being served.
func (b *ConnBudget) stalest(g *ConnGroup, now clock.Millis) (worst *ConnHolding) {
	for h := range b.holdings {
		switch {
		case h.group != g:
		case h.refused:
			return h
		case h.phase != ConnServing && (worst == nil || rank(h, h.bytes, now) > rank(worst, worst.bytes, now)):
			worst = h
		}
	}
	return worst
}

// rank orders connections by which of them goes first: those that hold most and move least.
func rank(h *ConnHolding, bytes int64, now clock.Millis) float64 {
	return float64(bytes) * float64(now-h.movedAt+1)
}

// remove gives back what the connection holds and marks it as refused. It stays in holdings until it
// is closed. b.mu must be held.
func (b *ConnBudget) remove(h *ConnHolding, reason RefusalReason, now clock.Millis) endedConn {
	ended := endedConn{end: h.end, reported: h.refused}
	ended.refusal = Refusal{Listener: h.group.listener, Reason: reason, Phase: h.phase, Bytes: h.bytes, Stalled: now - h.movedAt}
	if !h.refused {
		b.resize(h, 0)
		b.refusals.add(1, now)
		h.refused = true
	}
	return ended
}
