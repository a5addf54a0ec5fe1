package admission

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Example of the order in which waiting requests are served.
func ExampleWaitQueue() {
	q := NewWaitQueue[string](8)
	c := Conditions{
		FreePrefill: 1_000, ReliefPeriod: 1_000,
		Usage: func(account string) Usage { return Usage{Excess: account == "flood"} },
	}
	for _, w := range []struct {
		name, account string
		urgency       int
	}{{"flooding", "flood", 0}, {"patient", "smiths", 2}, {"urgent", "jones", 0}} {
		q.Add(w.name, Spec{Account: w.account, Urgency: w.urgency, Deadline: 5_000}, c)
	}
	for _, w := range q.Ordered(c) {
		fmt.Println(w.Value)
	}
	// Output:
	// urgent
	// patient
	// flooding
}

// TestOrder guards against a rule that takes precedence over one that should decide first.
func TestOrder(t *testing.T) {
	cases := map[string]struct{ first, second Rank }{
		"fair share before urgency": {Rank{Urgency: 5}, Rank{Excess: true}},
		"fair share before doubt":   {Rank{Doubtful: true}, Rank{Excess: true}},
		"doubt before urgency":      {Rank{Urgency: 5}, Rank{Doubtful: true}},
		"urgency before length":     {Rank{Urgency: 0, Yields: true}, Rank{Urgency: 1}},
		"length before usage":       {Rank{Usage: 2}, Rank{Yields: true, Usage: 1}},
		"usage before deadline":     {Rank{Usage: 0.5, Deadline: 9}, Rank{Usage: 0.6, Deadline: 1}},
		"deadline before arrival":   {Rank{Deadline: 1, Arrival: 2}, Rank{Deadline: 2, Arrival: 1}},
		"arrival":                   {Rank{Arrival: 1}, Rank{Arrival: 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, Order(c.first, c.second) < 0)
			assert.Assert(t, Order(c.second, c.first) > 0)
			assert.Equal(t, Order(c.first, c.first), 0)
		})
	}
}

// TestNobodyStarves draws requests of accounts within and beyond their shares, of any urgency,
// that wait for more than can be served. Each account with a waiting request must get a place
// within the relief period and the time that one place for each account takes. It guards
// against an account whose requests are always behind those of others.
func TestNobodyStarves(t *testing.T) {
	const servicePeriod = 40
	rapid.Check(t, func(t *rapid.T) {
		accounts := rapid.IntRange(2, 6).Draw(t, "accounts")
		excess := make(map[string]bool)
		urgency := make(map[string]int)
		for i := range accounts {
			name := fmt.Sprintf("a%d", i)
			excess[name] = rapid.Bool().Draw(t, "excess")
			urgency[name] = rapid.IntRange(0, 9).Draw(t, "urgency")
		}
		q := NewWaitQueue[int](1024)
		now := clock.Millis(10_000)
		conditions := func() Conditions {
			return Conditions{Now: now, FreePrefill: 1_000, ReliefPeriod: minReliefPeriod, Usage: func(a string) Usage { return Usage{Excess: excess[a], Ratio: 1} }}
		}
		servedAt := make(map[string]clock.Millis)
		for name := range excess {
			servedAt[name] = now
		}
		bound := minReliefPeriod + clock.Millis(accounts*servicePeriod)
		for range 200 {
			for i := range accounts {
				name := fmt.Sprintf("a%d", i)
				q.Add(i, Spec{Account: name, Urgency: urgency[name], Deadline: now + 20_000}, conditions())
			}
			now += servicePeriod
			next := q.Next(conditions(), nil)
			q.Admit(next, conditions())
			servedAt[next.Spec.Account] = now
			for name, at := range servedAt {
				assert.Assert(t, now-at <= bound, "account %s got nothing for %d ms", name, now-at)
			}
		}
	})
}

// TestReliefIsBounded guards against relief that takes the capacity of a small pool where an
// account waits at every daemon.
func TestReliefIsBounded(t *testing.T) {
	for _, daemons := range []int{7, 59, 390} {
		for _, startsPerSecond := range []float64{20, 40, 600} {
			period := ReliefPeriod(daemons, startsPerSecond)
			perSecond := 1000 * float64(daemons) / float64(period)
			assert.Assert(t, period >= minReliefPeriod)
			assert.Assert(t, perSecond <= max(reliefShare*startsPerSecond, 0)*1.01 || period == minReliefPeriod)
		}
	}
	assert.Equal(t, ReliefPeriod(1, 5), minReliefPeriod)
	assert.Equal(t, ReliefPeriod(59, 0), minReliefPeriod)
}

// TestLongPromptYields guards against a long prompt that blocks short ones of the same rank,
// and against one that is passed over for ever.
func TestLongPromptYields(t *testing.T) {
	q := NewWaitQueue[string](64)
	c := Conditions{Now: 1, FreePrefill: 300, ReliefPeriod: 60_000}
	q.Add("long", Spec{Account: "a", Prefill: 200, Deadline: 100}, c)
	var order []string
	for i := range 6 {
		q.Add(fmt.Sprintf("short %d", i), Spec{Account: "a", Prefill: 10, Deadline: 200 + clock.Millis(i)}, c)
	}
	q.Add("less urgent", Spec{Account: "a", Urgency: 1, Prefill: 10, Deadline: 50}, c)
	for q.Len() > 0 {
		next := q.Next(c, nil)
		order = append(order, next.Value)
		q.Admit(next, c)
	}
	assert.DeepEqual(t, order, []string{"short 0", "short 1", "short 2", "long", "short 3", "short 4", "short 5", "less urgent"})
}

// TestFullQueueEvictsLast guards against a flood that keeps more urgent requests out of a full
// queue, and against a queue without bound.
func TestFullQueueEvictsLast(t *testing.T) {
	q := NewWaitQueue[string](2)
	c := Conditions{Now: 1, FreePrefill: 1_000, ReliefPeriod: 1_000, Usage: func(a string) Usage { return Usage{Excess: a == "flood"} }}
	_, evicted := q.Add("flood 1", Spec{Account: "flood"}, c)
	assert.Assert(t, evicted == nil)
	_, evicted = q.Add("patient", Spec{Account: "a", Urgency: 3}, c)
	assert.Assert(t, evicted == nil)
	_, evicted = q.Add("flood 2", Spec{Account: "flood"}, c)
	assert.Equal(t, evicted.Value, "flood 2")
	_, evicted = q.Add("urgent", Spec{Account: "a"}, c)
	assert.Equal(t, evicted.Value, "flood 1")
	assert.Equal(t, q.Len(), 2)
}

// TestAheadMatchesOrder checks, for any queue, that Next, Ordered and Ahead agree.
func TestAheadMatchesOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewWaitQueue[int](64)
		c := Conditions{Now: 5_000, FreePrefill: 500, ReliefPeriod: 60_000, Usage: func(a string) Usage {
			return Usage{Excess: a == "x", Ratio: float64(len(a))}
		}}
		spec := func() Spec {
			return Spec{
				Account: rapid.SampledFrom([]string{"x", "y", "zz"}).Draw(t, "account"), Urgency: rapid.IntRange(0, 2).Draw(t, "urgency"),
				Prefill: clock.Millis(rapid.SampledFrom([]int{10, 400}).Draw(t, "prefill")), Deadline: clock.Millis(rapid.IntRange(6_000, 6_005).Draw(t, "deadline")),
			}
		}
		for i := range rapid.IntRange(0, 20).Draw(t, "waiting") {
			q.Add(i, spec(), c)
		}
		added := spec()
		ahead := q.Ahead(added, c)
		w, _ := q.Add(-1, added, c)
		ordered := q.Ordered(c)
		assert.Equal(t, ordered[ahead], w)
		assert.Equal(t, q.Next(c, nil), ordered[0])
	})
}

// TestStartsPerSecond guards against a rate that keeps starts of long ago.
func TestStartsPerSecond(t *testing.T) {
	q := NewWaitQueue[int](1)
	for i := range 40 {
		q.RecordStart(10_000 + clock.Millis(i*50))
	}
	assert.Assert(t, q.StartsPerSecond(11_999) > 18 && q.StartsPerSecond(11_999) < 22, q.StartsPerSecond(11_999))
	assert.Equal(t, q.StartsPerSecond(15_000), 0.0)
}
