package cascade

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// profile has 100 answers in a low and 100 in a high confidence bucket.
func profile(lowGood, highGood float64) Profile {
	var p Profile
	p[4] = Ratings{Good: lowGood, Bad: 100 - lowGood}
	p[9] = Ratings{Good: highGood, Bad: 100 - highGood}
	return p
}

// TestMake plans by what the ratings say.
func TestMake(t *testing.T) {
	cases := map[string]struct {
		small     Profile
		start     int
		acceptLow bool
	}{
		"no ratings":             {Profile{}, 1, false},
		"good at all confidence": {profile(99, 99), 0, true},
		"good only when sure":    {profile(30, 99), 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tiers := []Tier{{"small", 1, c.small}, {"large", 10, profile(96, 98)}}
			plan := CheapestPlan(tiers, 0.9)
			assert.Equal(t, plan.Start, c.start)
			if c.start == 0 {
				assert.Equal(t, plan.Accepts(0, 0.45), c.acceptLow)
				assert.Assert(t, plan.Accepts(0, 0.95))
			}
			assert.Assert(t, plan.Accepts(1, 0))
		})
	}
}

// TestCountsMerge adds the counts of daemons; a later message replaces the earlier.
func TestCountsMerge(t *testing.T) {
	table := NewRatingTable()
	table.AddRating(RatingKey{"r", "c", "small", 9}, true)
	counts := []RatingCount{{Route: "r", Class: "c", Model: "small", Bucket: 9, Good: 2, Bad: 1}}
	table.SetPeerCounts("entry-2", counts)
	table.SetPeerCounts("entry-2", counts)
	assert.Equal(t, table.Profile("r", "c", "small")[9], Ratings{Good: 3, Bad: 1})
}

func ExampleBucket() {
	fmt.Println(Bucket(0.47), Bucket(1))
	// Output: 4 9
}
