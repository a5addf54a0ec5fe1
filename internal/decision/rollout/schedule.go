package rollout

import "math"

// shareSteps is the schedule of a roll-out: from which fraction of its duration
// the new version gets which share of the requests. Sessions keep their version
// during the first half, so the share is constant until then.
var shareSteps = []struct{ from, share float64 }{{0.5, 0.25}, {0.6, 0.5}, {0.7, 1}}

const (
	// canaryShare is the new version's share of requests in the first half.
	canaryShare = 0.1
	// exposureMargin is the fraction of the exposed share that is used in the
	// first half. The limit is counted over requests, which arrive unevenly.
	exposureMargin = 0.6
)

// ShareAt returns the new version's share of requests. progress is the fraction of
// the roll-out's duration that has passed. exposed is the largest share that a bad
// version may get; it limits the result in the first half only.
func ShareAt(progress, exposed float64) float64 {
	share := math.Min(canaryShare, exposed*exposureMargin)
	for _, s := range shareSteps {
		if progress >= s.from {
			share = s.share
		}
	}
	return share
}

// heldUntil is the progress from which a version that was cleared late gets all requests:
// there is just the time to complete it.
const heldUntil = 0.8

// HeldUntil returns the progress from which a version that was cleared late gets all
// requests.
func HeldUntil() float64 { return heldUntil }

// VerdictBy returns the progress until which a version must have enough answers in order
// not to be held. A later release would move most requests at once.
func VerdictBy() float64 { return shareSteps[1].from }

// FullShareProgress returns the progress from which the new version gets all
// requests.
func FullShareProgress() float64 { return shareSteps[len(shareSteps)-1].from }
