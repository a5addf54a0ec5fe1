package admission

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// testConn is a connection of a test that notes why it was ended.
type testConn struct {
	*ConnHolding
	ended RefusalReason
}

// openConn opens a connection of the group, which must have room.
func openConn(t testing.TB, g *ConnGroup, bytes int64, now clock.Millis) *testConn {
	t.Helper()
	c := &testConn{}
	c.ConnHolding = g.NewHolding(func(r Refusal) {
		c.ended = r.Reason
		if r.Reason == RefusedConnections {
			c.Close()
		}
	})
	assert.Assert(t, c.Open(bytes, now))
	return c
}

// TestConnBudget checks that bytes over the limit are refused until enough are given back.
func TestConnBudget(t *testing.T) {
	b := NewConnBudget(100)
	g := b.NewGroup("callers", 0, false)
	first, second := openConn(t, g, 60, 0), openConn(t, g, 0, 0)
	first.SetPhase(ConnServing, 0)
	assert.Assert(t, !second.Grow(60, 0))
	assert.Equal(t, b.Used(), int64(60))
	first.Shrink(60)
	assert.Assert(t, openConn(t, g, 0, 0).Grow(100, 0))
	assert.Equal(t, b.Used(), int64(100))
}

// TestStalledConnGoesFirst guards against a newcomer that is refused while others hold more and
// move less, and against the end of connections that are served or that hold less.
func TestStalledConnGoesFirst(t *testing.T) {
	const now = 10_000
	cases := map[string]struct {
		phase   ConnPhase
		bytes   int64
		moved   int // at now
		wantEnd bool
	}{
		"stalled body":                {ConnReading, 80, 1, true},
		"body that trickles":          {ConnReading, 80, progressBytes - 1, true},
		"body that moves":             {ConnReading, 80, progressBytes, false},
		"idle":                        {ConnIdle, 80, 0, true},
		"served":                      {ConnServing, 80, 0, false},
		"stalled, holds little":       {ConnReading, 1, 0, false}, // ending it wouldn't suffice
		"stalled, holds little alone": {ConnReading, 50, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewConnBudget(100)
			g := b.NewGroup("callers", 0, false)
			old := openConn(t, g, c.bytes, 0)
			old.SetPhase(c.phase, 0)
			newcomer := openConn(t, g, 0, now)
			if c.bytes == 1 {
				openConn(t, g, 79, now).SetPhase(ConnServing, now)
			}
			old.Moved(c.moved, now)
			assert.Equal(t, newcomer.Grow(90, now), c.wantEnd)
			assert.Equal(t, old.ended == RefusedMemory, c.wantEnd)
		})
	}
}

// TestLargeRequestAlone checks that a single large request may exceed the budget, up to aloneFactor times
// and leaves a part to small ones, and that a second large one and a peer's call may not.
func TestLargeRequestAlone(t *testing.T) {
	const limit = 40 << 20
	b := NewConnBudget(limit)
	g, peers := b.NewGroup("callers", 0, true), b.NewGroup("peers", 0, false)
	assert.Assert(t, !openConn(t, peers, 0, 0).Grow(limit, 0), "a peer's call must fit")
	first := openConn(t, g, 1000, 0)
	first.SetPhase(ConnReading, 0)
	assert.Assert(t, first.Grow(limit, 0))
	assert.Assert(t, first.Grow((aloneFactor-1)*limit-1000, 0))
	first.SetPhase(ConnServing, 0)
	assert.Assert(t, !openConn(t, g, 0, 0).Grow(limit/8, 0), "a second large one")
	for range limit / reserveDivisor / minLargeBytes {
		openConn(t, g, minLargeBytes, 0).SetPhase(ConnServing, 0)
	}
	assert.Assert(t, !first.Grow(1, 0), "aloneFactor times the budget")
	assert.Equal(t, b.Used(), int64(limit/reserveDivisor))
}

// TestLargeRequestsLeaveRoom checks that large requests leave a part of the budget to small ones.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	const limit = 40 << 20
	b := NewConnBudget(limit)
	g := b.NewGroup("callers", 0, false)
	openConn(t, g, limit*5/8, 0).SetPhase(ConnServing, 0)
	assert.Assert(t, !openConn(t, g, 0, 0).Grow(limit/4, 0))
	assert.Assert(t, openConn(t, g, 0, 0).Grow(minLargeBytes, 0))
}

// TestConnLimitEndsStalest guards against newcomers that are turned away while idle or stalled
// connections take the file descriptors, and against the end of those of another listener.
func TestConnLimitEndsStalest(t *testing.T) {
	b := NewConnBudget(0)
	g, other := b.NewGroup("callers", 3, true), b.NewGroup("peers", 3, false)
	peer := openConn(t, other, 10, 0)
	served, stalled, idle := openConn(t, g, 10, 0), openConn(t, g, 10, 1000), openConn(t, g, 10, 2000)
	served.SetPhase(ConnServing, 0)
	stalled.SetPhase(ConnReading, 1000)
	first := openConn(t, g, 10, 5000)
	assert.Equal(t, stalled.ended, RefusedConnections)
	second := openConn(t, g, 10, 5000)
	assert.Equal(t, idle.ended, RefusedConnections)
	for _, c := range []*testConn{first, second} {
		c.SetPhase(ConnServing, 5000)
	}
	assert.Assert(t, !g.NewHolding(nil).Open(10, 5000), "all are served")
	assert.Equal(t, peer.ended, RefusalReason(""))
	assert.Equal(t, g.Count(), 3)
	served.Close()
	assert.Assert(t, g.NewHolding(nil).Open(10, 5000))
}

// TestRefusedConnGoesFirst guards against newcomers that are turned away, or sound connections that are
// ended, while refused ones are waited for until they have read their answer.
func TestRefusedConnGoesFirst(t *testing.T) {
	b := NewConnBudget(100)
	reported := 0
	b.OnRefused = func(Refusal) { reported++ }
	g := b.NewGroup("callers", 2, false)
	idle, refused := openConn(t, g, 10, 0), openConn(t, g, 0, 5000)
	refused.SetPhase(ConnServing, 5000)
	assert.Assert(t, !refused.Grow(1000, 5000))
	assert.Equal(t, g.Count(), 2)
	openConn(t, g, 10, 5000)
	assert.Equal(t, refused.ended, RefusedConnections)
	assert.Equal(t, idle.ended, RefusalReason(""))
	assert.Equal(t, reported, 1)
}

// TestRetryDelayFollowsRefusals checks that callers are told to return soon, and later the more are
// refused, until the refusals have passed.
func TestRetryDelayFollowsRefusals(t *testing.T) {
	g := NewConnBudget(0).NewGroup("callers", 0, true)
	assert.Equal(t, g.RetryDelay(0), minRetryDelay)
	for range 10 {
		g.Refuse(RefusedHeader, ConnReading, 0)
	}
	assert.Equal(t, g.RetryDelay(0), minRetryDelay+10*retryDelayPerRefusal)
	for range 10_000 {
		g.Refuse(RefusedHeader, ConnReading, 0)
	}
	assert.Equal(t, g.RetryDelay(0), maxRetryDelay)
	assert.Equal(t, g.RetryDelay(20*halvingTime), minRetryDelay)
}

// TestConnBudgetProperties draws connections that open, grow, shrink, move and close. The sum must be
// what the open ones hold, within the limit unless it is a single large request that exceeds it, and
// no connection that is being served may be ended.
func TestConnBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(1, 64).Draw(t, "limit MB")) << 20
		b := NewConnBudget(limit)
		servesAlone := rapid.Bool().Draw(t, "serves alone")
		g := b.NewGroup("callers", rapid.IntRange(1, 20).Draw(t, "connections"), servesAlone)
		var open []*testConn
		now := clock.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 500).Draw(t, "ms"))
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "opens") == 0 {
				c := &testConn{}
				c.ConnHolding = g.NewHolding(func(r Refusal) {
					assert.Assert(t, r.Phase != ConnServing)
					c.ended = r.Reason
					c.Close()
				})
				if c.Open(int64(rapid.IntRange(0, 20<<10).Draw(t, "bytes")), now) {
					open = append(open, c)
				}
			}
			if len(open) == 0 {
				continue
			}
			c := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
			switch rapid.SampledFrom([]string{"grow", "shrink", "moved", "phase", "close"}).Draw(t, "step") {
			case "grow":
				if !c.Grow(int64(rapid.IntRange(0, 2<<20).Draw(t, "bytes")), now) {
					c.Close()
				}
			case "shrink":
				c.Shrink(c.bytes / 2)
			case "moved":
				c.Moved(rapid.IntRange(0, 2*progressBytes).Draw(t, "bytes"), now)
			case "phase":
				c.SetPhase(rapid.SampledFrom([]ConnPhase{ConnIdle, ConnReading, ConnServing}).Draw(t, "phase"), now)
			case "close":
				c.Close()
			}
			checkSum(t, b, g, open, limit, servesAlone)
		}
	})
}

// checkSum checks the sums of the budget and of its group.
func checkSum(t *rapid.T, b *ConnBudget, g *ConnGroup, conns []*testConn, limit int64, servesAlone bool) {
	var sum, largest int64
	count := 0
	for _, c := range conns {
		if !c.closed {
			sum, count, largest = sum+c.bytes, count+1, max(largest, c.bytes)
		}
	}
	var counted int64
	for h := range b.holdings {
		counted += h.countedBytes()
	}
	assert.Equal(t, b.Used(), counted)
	assert.Equal(t, g.Count(), count)
	assert.Assert(t, count <= g.max, "%d connections of %d", count, g.max)
	if servesAlone && b.isLarge(largest) {
		assert.Assert(t, largest <= limit*aloneFactor, "%d bytes alone of %d", largest, limit)
		sum -= max(largest-b.largeLimit(), 0)
	}
	assert.Assert(t, sum <= limit, "%d bytes of %d", sum, limit)
}

// TestDivideFiles checks that the listeners leave three eighths of the sockets to the daemon's own
// connections.
func TestDivideFiles(t *testing.T) {
	for _, files := range []int64{64, 300, 1024, 3075, 4100, 8192, 1 << 20} {
		t.Run(fmt.Sprint(files), func(t *testing.T) {
			l := DivideFiles(files)
			sockets := int(files - min(reservedFiles, files/reservedFilesDivisor))
			assert.Assert(t, l.Callers > 0 && l.Peers > 0 && l.Checks > 0)
			assert.Assert(t, l.Callers+l.Peers+2*l.Checks <= sockets*5/8, "%+v of %d", l, sockets)
		})
	}
	assert.Equal(t, DivideFiles(0), ConnLimits{})
}
