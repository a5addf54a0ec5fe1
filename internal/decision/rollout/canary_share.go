package rollout

// Steps of a roll-out: the canary's share doubles with each step that its
// answers support, up to the share of the active versions together.
const (
	answersToWiden = 200
	widenFactor    = 2
	calmScore      = 1.0
)

// CanaryStats is what all daemons together have seen of a canary since its row
// last changed.
type CanaryStats struct {
	Answers int
	Score   Score
}

// NextShare returns the canary's next share; it is unchanged while the evidence
// doesn't support more.
func NextShare(share, activeShare int, e CanaryStats) int {
	if e.Answers < answersToWiden || float64(e.Score) > calmScore {
		return share
	}
	return min(share*widenFactor, max(activeShare, share))
}
