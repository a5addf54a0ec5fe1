package catalog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func ExampleCatalog_Match() {
	c := New(Tables{Routes: []Route{
		{Name: "all", Host: "desk.example", Prefix: "/"},
		{Name: "briefs", Host: "desk.example", Prefix: "/briefs/"},
	}})
	fmt.Println(c.Match("desk.example", "/briefs/12").Name, c.Match("desk.example", "/briefs").Name, c.Match("other.example", "/") == nil)
	// Output: briefs all true
}

// TestPoolAt checks that points select the pools of a route in proportion to their
// weights.
func TestPoolAt(t *testing.T) {
	cases := map[string]struct {
		pools []WeightedPool
		point float64
		want  string
	}{
		"no pool":       {nil, 0.5, ""},
		"one pool":      {[]WeightedPool{{"a", 1}}, 0.99, "a"},
		"first of two":  {[]WeightedPool{{"a", 90}, {"b", 10}}, 0.89, "a"},
		"second of two": {[]WeightedPool{{"a", 90}, {"b", 10}}, 0.9, "b"},
		"zero weight":   {[]WeightedPool{{"a", 0}, {"b", 10}}, 0, "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route := Route{Pools: c.pools}
			assert.Equal(t, route.PoolAt(c.point), c.want)
		})
	}
}

// TestClientAccountByKey checks that an empty key matches no client account and that
// public routes need no key.
func TestClientAccountByKey(t *testing.T) {
	c := New(Tables{RequireKey: true, Accounts: map[string]ClientAccount{"k1": {Name: "smiths"}}})
	a, ok := c.ClientAccount("k1")
	assert.Assert(t, ok)
	assert.Equal(t, a.Name, "smiths")
	_, ok = c.ClientAccount("")
	assert.Assert(t, !ok)
	assert.Assert(t, c.NeedsKey(&Route{}))
	assert.Assert(t, !c.NeedsKey(&Route{Public: true}))
}
