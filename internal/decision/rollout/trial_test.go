package rollout

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func tally(good, bad, servers int) Tally {
	var t Tally
	for range good {
		t = t.WithAnswer("engine-0", false)
	}
	for i := range bad {
		t = t.WithAnswer(fmt.Sprintf("engine-%d", i%max(servers, 1)), true)
	}
	return t
}

func timed(n int, ms float64) Tally {
	var t Tally
	for range n {
		t = t.WithTime(ms)
	}
	return t
}

// TestIsBad sets what a few seconds of a trial show against the other version.
func TestIsBad(t *testing.T) {
	cases := map[string]struct {
		routes []Comparison
		want   bool
	}{
		"nothing seen":                    {nil, false},
		"one failure":                     {[]Comparison{{tally(4, 1, 1), tally(50, 0, 1)}}, false},
		"half fails on several servers":   {[]Comparison{{tally(3, 3, 3), tally(50, 0, 1)}}, true},
		"half fails on one server":        {[]Comparison{{tally(3, 3, 1), tally(50, 0, 1)}}, false},
		"one route fails":                 {[]Comparison{{tally(20, 0, 1), tally(50, 0, 1)}, {tally(0, 3, 3), tally(50, 0, 1)}}, true},
		"as many fail elsewhere":          {[]Comparison{{tally(17, 3, 3), tally(86, 14, 3)}}, false},
		"eight times slower":              {[]Comparison{{timed(5, 4000), timed(50, 500)}}, true},
		"a little slower":                 {[]Comparison{{timed(20, 700), timed(50, 500)}}, false},
		"all fail, the rest fails too":    {[]Comparison{{tally(0, 6, 3), tally(0, 20, 3)}}, false},
		"turns bad after many good ones":  {[]Comparison{{tally(40, 12, 6), tally(200, 2, 2)}}, true},
		"three in a hundred, many answer": {[]Comparison{{tally(97, 3, 3), tally(400, 8, 3)}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, IsBad(c.routes), c.want) })
	}
}

func ExampleShareAt() {
	for _, part := range []float64{0, 0.49, 0.5, 0.6, 0.7} {
		fmt.Print(ShareAt(part, 0.15), " ")
	}
	// Output: 0.09 0.09 0.3 0.6 1
}
