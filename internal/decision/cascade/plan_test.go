package cascade

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// profile returns 100 ratings in a low and 100 in a high confidence bucket, of which
// the given numbers are good.
func profile(lowGood, highGood float64) Profile {
	var p Profile
	p[4] = Ratings{Good: lowGood, Bad: 100 - lowGood}
	p[9] = Ratings{Good: highGood, Bad: 100 - highGood}
	return p
}

// TestCheapestPlan checks that a cheap model is used only once ratings show that it
// meets the quality target, and that answers of low confidence are escalated if only
// those are bad.
func TestCheapestPlan(t *testing.T) {
	cases := map[string]struct {
		small     Profile
		start     int
		acceptLow bool
	}{
		"no ratings":                   {Profile{}, 1, false},
		"good at any confidence":       {profile(99, 99), 0, true},
		"good at high confidence only": {profile(30, 99), 0, false},
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

// TestRatingTableMergesPeers checks that own and peer counts are summed, and that a
// newer message of a peer replaces the older one instead of being added.
func TestRatingTableMergesPeers(t *testing.T) {
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
