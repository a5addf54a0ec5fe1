package catalog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPrecedence guards against kinds of requests that are treated unequally although the
// configuration states one priority, and against routes of other pools or without a choice of
// models that count.
func TestPrecedence(t *testing.T) {
	models := []string{"small", "large"}
	to := func(pool string) []WeightedPool { return []WeightedPool{{Pool: pool, Weight: 1}} }
	c := New(Tables{Routes: []Route{
		{Name: "question", Pools: to("text"), Models: models, Priority: 0},
		{Name: "tag", Pools: to("text"), Models: models, Priority: 1},
		{Name: "digest", Pools: to("text"), Models: models, Priority: 2},
		{Name: "call", Pools: to("text"), Priority: 9},
		{Name: "alone", Pools: to("other"), Models: models, Priority: 4},
	}})
	cases := map[string]struct {
		pool     string
		priority int
		want     float64
	}{
		"most urgent":       {"text", 0, 1},
		"between":           {"text", 1, 0},
		"least urgent":      {"text", 2, -1},
		"beyond the routes": {"text", 9, -1},
		"one priority":      {"other", 4, 0},
		"unknown pool":      {"none", 3, 0},
	}
	for name, c2 := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.Precedence(c2.pool, c2.priority), c2.want) })
	}
}
