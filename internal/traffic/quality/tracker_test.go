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

// fakeService rates every nth answer, or none if everyNth is 0.
type fakeService struct {
	everyNth  int
	good      bool
	submitted int
	sequence  int64
	ratings   []rating.Rating
}

func (s *fakeService) Submit(_ context.Context, answers []rating.Answer) error {
	for _, a := range answers {
		s.submitted++
		if s.everyNth > 0 && s.submitted%s.everyNth == 0 {
			s.sequence++
			s.ratings = append(s.ratings, rating.Rating{Sequence: s.sequence, RequestID: a.RequestID, Good: s.good})
		}
	}
	return nil
}

func (s *fakeService) ListAfter(_ context.Context, sequence int64) ([]rating.Rating, error) {
	return s.ratings[min(int(sequence), len(s.ratings)):], nil
}

func newTracker(service Service) *Tracker {
	return NewTracker(&common.Common{Log: hclog.NewNullLogger(), Clock: clock.NewManual(1)}, service)
}

// recordAnswers records n answers and syncs after every 20, so that no batch is full.
func recordAnswers(t *testing.T, tracker *Tracker, n int) {
	for i := range n {
		tracker.RecordAnswer(rating.Answer{RequestID: fmt.Sprintf("r-%d", i), Route: "chat", Version: "small@v1"}, "small", 0.9)
		if i%20 == 19 {
			assert.NilError(t, tracker.Sync(t.Context()))
		}
	}
}

// explores reports whether any of 2000 requests explores; that many suffice where 2% of
// the requests do.
func explores(tracker *Tracker) bool {
	for i := range 2000 {
		if tracker.ShouldExplore(fmt.Sprintf("x-%d", i), "chat", "", []Tier{{Model: "small", Version: "v1"}}) {
			return true
		}
	}
	return false
}

// TestExploringRequiresRatings guards against running lower tiers for nothing while the
// rating service returns no ratings, and against stopping while ratings are only sparse.
func TestExploringRequiresRatings(t *testing.T) {
	cases := map[string]struct {
		everyNth int
		want     bool
	}{
		"all rated": {1, true},
		"sparse":    {10, true},
		"absent":    {0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker(&fakeService{everyNth: c.everyNth, good: true})
			recordAnswers(t, tracker, 1000)
			assert.Equal(t, explores(tracker), c.want)
		})
	}
}

// TestPeerAnswersTripVersion guards against ignoring the bad answers of a peer, counting
// a repeated report twice, and dropping the counts of a peer that has restarted and so
// reports lower ones.
func TestPeerAnswersTripVersion(t *testing.T) {
	tracker := newTracker(&fakeService{})
	bad := func(n int) []controlstate.VersionCount {
		return []controlstate.VersionCount{{Name: "small@v2", Bad: n}}
	}
	tracker.SetPeerCounts("entry-2", nil, bad(6))
	tracker.SetPeerCounts("entry-2", nil, bad(6))
	assert.Equal(t, len(tracker.TakeTripped()), 0)
	tracker.SetPeerCounts("entry-2", nil, bad(2)) // lower count: the peer has restarted
	assert.DeepEqual(t, tracker.TakeTripped(), []string{"small@v2"})
	assert.Equal(t, tracker.CanaryStats("small@v2").Answers, 8)
}
