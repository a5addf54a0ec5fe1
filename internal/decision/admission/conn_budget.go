package admission

import (
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// ConnPhase is what a connection does.
type ConnPhase string

// The phases of a connection. Only one that is idle or reading can be ended for others: what it
// sends has not been passed on.
const (
	ConnIdle    ConnPhase = "idle"    // waits for a request
	ConnReading ConnPhase = "reading" // a request arrives
	ConnServing ConnPhase = "serving" // a complete request is served
)

// RefusalReason is why a connection or its request was refused.
type RefusalReason string

// The reasons for refusals.
const (
	RefusedMemory      RefusalReason = "memory"           // the memory for connections is used up
	RefusedConnections RefusalReason = "connections"      // the listener has as many as the descriptors allow
	RefusedHeader      RefusalReason = "header_too_large" // over the limit of one request
	RefusedFrame       RefusalReason = "frame_too_large"  // a call between daemons that never fits
	RefusedBodyTime    RefusalReason = "body_too_slow"    // over the time for one body
)

// Refusal describes a connection that was refused, as it was before.
type Refusal struct {
	Listener string
	Reason   RefusalReason
	Phase    ConnPhase
	Bytes    int64        // that it held
	Stalled  clock.Millis // since it last made progress
}

// ConnBudget bounds the memory that the connections to a daemon hold, of all its listeners
// together. Once it is used up, the connections that hold most and move least are ended. It is
// safe for concurrent use.
type ConnBudget struct {
	// OnRefused is called for each refusal, without a lock held. It must be set before the
	// first connection, and may be nil.
	OnRefused func(Refusal)

	mu       sync.Mutex
	limit    int64 // bytes; 0 means none
	used     int64
	holdings map[*ConnHolding]struct{}
	refusals decayingCount
}

// NewConnBudget returns a budget of the bytes; 0 means no limit.
func NewConnBudget(bytes int64) *ConnBudget {
	return &ConnBudget{limit: bytes, holdings: make(map[*ConnHolding]struct{})}
}

// SetLimit replaces the limit in bytes; 0 means none. What is held already stays held.
func (b *ConnBudget) SetLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
}

// Used returns the bytes in use.
func (b *ConnBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Add counts bytes that are held for connections elsewhere, or gives them back if negative. It
// doesn't fail: the next connection that grows makes room.
func (b *ConnBudget) Add(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += bytes
}

func (b *ConnBudget) report(r Refusal) {
	if b.OnRefused != nil {
		b.OnRefused(r)
	}
}

const (
	// minRetryDelay is short, since the other daemons are likely to have room.
	minRetryDelay = 200 * clock.Millis(1)
	maxRetryDelay = 3_000 * clock.Millis(1)
	// retryDelayPerRefusal spreads the returns of many callers that were refused together.
	retryDelayPerRefusal = 10 * clock.Millis(1)
)

// ConnGroup is the connections of one listener.
type ConnGroup struct {
	budget      *ConnBudget
	listener    string
	servesAlone bool // a single large request may exceed the budget
	max         int  // connections; 0 means no limit
	count       int
}

// NewGroup returns a group of at most maxConns connections; 0 means no limit. With servesAlone a
// large request that no other one competes with may exceed the budget.
func (b *ConnBudget) NewGroup(listener string, maxConns int, servesAlone bool) *ConnGroup {
	return &ConnGroup{budget: b, listener: listener, max: maxConns, servesAlone: servesAlone}
}

// SetMax replaces the most connections; 0 means no limit. Those that are open stay open.
func (g *ConnGroup) SetMax(maxConns int) {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	g.max = maxConns
}

// Listener returns the name of the listener.
func (g *ConnGroup) Listener() string { return g.listener }

// Count returns the number of open connections.
func (g *ConnGroup) Count() int {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return g.count
}

// Refuse records a refusal for a limit of one request, which the budget doesn't know.
func (g *ConnGroup) Refuse(reason RefusalReason, phase ConnPhase, now clock.Millis) {
	if g == nil {
		return
	}
	g.budget.mu.Lock()
	g.budget.refusals.add(1, now)
	g.budget.mu.Unlock()
	g.budget.report(Refusal{Listener: g.listener, Reason: reason, Phase: phase})
}

// RetryDelay returns when a caller that is refused now should return.
func (g *ConnGroup) RetryDelay(now clock.Millis) clock.Millis {
	if g == nil {
		return minRetryDelay
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return min(minRetryDelay+clock.Millis(g.budget.refusals.at(now))*retryDelayPerRefusal, maxRetryDelay)
}

// NewHolding returns the holding of a new connection. end is called, without a lock held, when the
// connection is ended for others; with RefusedConnections it must have been closed on return. The
// holding of a nil group is nil.
func (g *ConnGroup) NewHolding(end func(Refusal)) *ConnHolding {
	if g == nil {
		return nil
	}
	return &ConnHolding{group: g, end: end, phase: ConnIdle, closed: true}
}

// ConnHolding is what one connection holds. The methods of nil do nothing.
type ConnHolding struct {
	group *ConnGroup
	end   func(Refusal)

	// The fields below are guarded by the budget's lock.
	bytes   int64
	phase   ConnPhase
	movedAt clock.Millis // when the phase began or progressBytes had arrived since
	moved   int          // bytes since movedAt
	alone   bool         // exceeds the budget, as the single large one; see countedBytes
	refused bool
	closed  bool // also before Open
}

// Open begins the holding with bytes that the connection takes while it is open. It returns false
// if there is no room even by ending others.
func (h *ConnHolding) Open(bytes int64, now clock.Millis) bool {
	if h == nil {
		return true
	}
	g, b := h.group, h.group.budget
	b.mu.Lock()
	var victims []endedConn
	if g.max > 0 && g.count >= g.max {
		victim := b.stalest(g, now)
		if victim == nil {
			b.mu.Unlock()
			g.Refuse(RefusedConnections, ConnIdle, now)
			return false
		}
		victims = append(victims, b.remove(victim, RefusedConnections, now))
	}
	h.movedAt, h.closed = now, false
	b.holdings[h] = struct{}{}
	g.count++
	b.mu.Unlock()
	b.endAll(victims)
	if !h.Grow(bytes, now) {
		h.Close()
		return false
	}
	return true
}

// progressBytes is how much must arrive for a connection to count as moving: single bytes now and
// then must not keep it alive.
const progressBytes = 4 << 10

// Moved notes that bytes have arrived.
func (h *ConnHolding) Moved(bytes int, now clock.Millis) {
	if h == nil {
		return
	}
	h.group.budget.mu.Lock()
	defer h.group.budget.mu.Unlock()
	h.moved += bytes
	if h.moved >= progressBytes {
		h.moved, h.movedAt = 0, now
	}
}

// SetPhase begins the phase. It returns false if the connection was refused.
func (h *ConnHolding) SetPhase(phase ConnPhase, now clock.Millis) bool {
	if h == nil {
		return true
	}
	h.group.budget.mu.Lock()
	defer h.group.budget.mu.Unlock()
	if h.phase != phase {
		h.phase, h.moved, h.movedAt = phase, 0, now
	}
	return !h.refused
}

// Grow adds bytes to what the connection holds, and ends others if there is no room. It returns
// false if the connection itself is refused, which then holds nothing.
func (h *ConnHolding) Grow(bytes int64, now clock.Millis) bool {
	if h == nil {
		return true
	}
	b := h.group.budget
	b.mu.Lock()
	if h.refused || h.closed {
		b.mu.Unlock()
		return false
	}
	victims, ok := b.makeRoom(h, bytes, now)
	if ok {
		b.resize(h, h.bytes+bytes)
	} else {
		victims = []endedConn{b.remove(h, RefusedMemory, now)}
		victims[0].end = nil // the caller of Grow ends it
	}
	b.mu.Unlock()
	b.endAll(victims)
	return ok
}

// Shrink gives back bytes.
func (h *ConnHolding) Shrink(bytes int64) {
	if h == nil {
		return
	}
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.refused && !h.closed {
		b.resize(h, h.bytes-bytes)
	}
}

// Close ends the holding. It may be called more than once.
func (h *ConnHolding) Close() {
	if h == nil {
		return
	}
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	h.group.count--
	b.resize(h, 0)
	delete(b.holdings, h)
}

// decayingCount is a count that halves every second.
type decayingCount struct {
	value float64
	since clock.Millis
}

func (c *decayingCount) at(now clock.Millis) float64 {
	for ; c.value >= 1 && now-c.since >= halvingTime; c.since += halvingTime {
		c.value /= 2
	}
	if c.value < 1 {
		c.since = now
	}
	return c.value
}

func (c *decayingCount) add(n float64, now clock.Millis) { c.value = c.at(now) + n }

const halvingTime = 1_000 * clock.Millis(1)
