package rollout

// The canary's share of requests is doubled after enough answers with a low
// score, up to the total share of the active versions.
const (
	minAnswersPerStep = 200
	shareGrowthFactor = 2
	maxScoreToGrow    = 1.0
)

// CanaryStats summarises the answers of a canary on all daemons since its row
// last changed.
type CanaryStats struct {
	Answers int
	Score   Score
}

// NextShare returns the canary's next share of requests, or the current one if
// its answers do not yet justify more.
func NextShare(share, activeShare int, s CanaryStats) int {
	if s.Answers < minAnswersPerStep || float64(s.Score) > maxScoreToGrow {
		return share
	}
	return min(share*shareGrowthFactor, max(activeShare, share))
}
