package rollout

// Steps of a roll-out: the canary's share doubles with each step that its
// answers support, up to the share of the active versions together.
const (
	answersToWiden = 200
	widenFactor    = 2
	calmScore      = 1.0
)

// Evidence is what all daemons together have seen of a canary since its row
// last changed.
type Evidence struct {
	Answers int
	Score   Score
}

// Widen returns the canary's next share; it is unchanged while the evidence
// doesn't support more.
func Widen(share, activeShare int, e Evidence) int {
	if e.Answers < answersToWiden || float64(e.Score) > calmScore {
		return share
	}
	return min(share*widenFactor, max(activeShare, share))
}
