package quality

import (
	"context"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/platform/rating"
)

// sparse rates one answer of so many, as good or bad.
type sparse struct {
	oneOf    int
	good     bool
	seen     int
	sequence int64
	ratings  []rating.Rating
}

func (s *sparse) Submit(_ context.Context, answers []rating.Answer) error {
	for _, a := range answers {
		s.seen++
		if s.oneOf > 0 && s.seen%s.oneOf == 0 {
			s.sequence++
			s.ratings = append(s.ratings, rating.Rating{Sequence: s.sequence, RequestID: a.RequestID, Good: s.good})
		}
	}
	return nil
}

func (s *sparse) ListAfter(_ context.Context, sequence int64) ([]rating.Rating, error) {
	return s.ratings[min(int(sequence), len(s.ratings)):], nil
}

func newKeeper(service Service) *Tracker {
	return NewTracker(&common.Common{Log: hclog.NewNullLogger(), Clock: clock.NewManual(1)}, service)
}

// answer hands in answers, a few each period.
func answer(t *testing.T, k *Tracker, n int) {
	for i := range n {
		k.RecordAnswer(rating.Answer{RequestID: fmt.Sprintf("r-%d", i), Route: "chat", Version: "small@v1"}, "small", 0.9)
		if i%20 == 19 {
			assert.NilError(t, k.Sync(t.Context()))
		}
	}
}

func explores(k *Tracker) bool {
	for i := range 2000 { // enough for a share of 2%
		if k.ShouldExplore(fmt.Sprintf("x-%d", i), "chat", "", []Tier{{Model: "small", Version: "v1"}}) {
			return true
		}
	}
	return false
}

// TestExploringNeedsRatings goes on while ratings are sparse, and stops while
// there are none.
func TestExploringNeedsRatings(t *testing.T) {
	cases := map[string]struct {
		oneOf int
		want  bool
	}{
		"all rated": {1, true},
		"sparse":    {10, true},
		"absent":    {0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			k := newKeeper(&sparse{oneOf: c.oneOf, good: true})
			answer(t, k, 1000)
			assert.Equal(t, explores(k), c.want)
		})
	}
}

// TestPeersAnswersCount closes a version on the answers of a peer, counts each of
// them once, and starts anew when the peer does.
func TestPeersAnswersCount(t *testing.T) {
	k := newKeeper(&sparse{})
	bad := func(n int) []controlstate.VersionCount {
		return []controlstate.VersionCount{{Name: "small@v2", Bad: n}}
	}
	k.SetPeerCounts("entry-2", nil, bad(6))
	k.SetPeerCounts("entry-2", nil, bad(6))
	assert.Equal(t, len(k.TakeTripped()), 0)
	k.SetPeerCounts("entry-2", nil, bad(2)) // it has restarted
	assert.DeepEqual(t, k.TakeTripped(), []string{"small@v2"})
	assert.Equal(t, k.CanaryStats("small@v2").Answers, 8)
}
