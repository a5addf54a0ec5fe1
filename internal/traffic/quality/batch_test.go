package quality

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
)

const (
	batchSeeds   = 1_000
	dailyAnswers = 1_000 // of a version
)

// answersToTrip returns after how many answers of a peer the version trips; 0: it does
// not trip. The peer reports its counts once per batch. The answers depend on the seed
// alone, so that they are the same for all batch sizes.
func answersToTrip(seed uint64, badRate float64, batch int) int {
	answers := rand.New(rand.NewPCG(seed, 1))
	tracker := newTracker(&fakeService{})
	count := controlstate.VersionCount{Name: "small@v2"}
	for i := range dailyAnswers {
		if answers.Float64() < badRate {
			count.Bad++
		} else {
			count.Good++
		}
		if (i+1)%batch != 0 {
			continue
		}
		tracker.SetPeerCounts("entry-2", nil, []controlstate.VersionCount{count})
		if len(tracker.TakeTripped()) > 0 {
			return i + 1
		}
	}
	return 0
}

// TestBatchSizeAndVerdict checks that the size of the batches in which a peer's counts
// arrive does not change the verdicts: no more good versions trip than with single answers,
// and bad ones trip by the report that follows. Guards against counting the bad answers of a
// batch after its good ones, whose credit is lost once the score is 0.
func TestBatchSizeAndVerdict(t *testing.T) {
	p := rollout.DefaultCUSUMParameters()
	goodOneByOne, badOneByOne := tripTimes(p.AcceptableBadRate, 1), tripTimes(p.UnacceptableBadRate, 1)
	allowed, _ := summarise(goodOneByOne)
	for _, batch := range []int{1, 20, 50, 500} {
		t.Run(fmt.Sprintf("batches of %d", batch), func(t *testing.T) {
			falseAlarms, _ := summarise(tripTimes(p.AcceptableBadRate, batch))
			found, mean := summarise(tripTimes(p.UnacceptableBadRate, batch))
			nextReports := make([]int, batchSeeds)
			for i, answers := range badOneByOne {
				nextReports[i] = (answers + batch - 1) / batch * batch
			}
			_, meanNextReport := summarise(nextReports)
			t.Logf("good versions tripped: %d of %d; bad ones: %d, after %.1f answers; at the next report one by one: %.1f",
				falseAlarms, batchSeeds, found, mean, meanNextReport)
			assert.Check(t, falseAlarms <= allowed, "%d good versions tripped, %d one by one", falseAlarms, allowed)
			assert.Equal(t, found, batchSeeds)
			assert.Check(t, mean <= 1.02*meanNextReport, "bad versions trip after %.1f answers", mean)
		})
	}
}

func tripTimes(badRate float64, batch int) []int {
	times := make([]int, batchSeeds)
	for seed := range times {
		times[seed] = answersToTrip(uint64(seed), badRate, batch)
	}
	return times
}

// summarise returns how many of the times are not 0, and their mean.
func summarise(times []int) (tripped int, mean float64) {
	for _, answers := range times {
		if answers > 0 {
			tripped++
			mean += float64(answers)
		}
	}
	return tripped, mean / float64(max(tripped, 1))
}
