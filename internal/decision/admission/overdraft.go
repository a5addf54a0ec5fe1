package admission

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

const (
	// maxOverdraft is the number of places that requests of one daemon may take beyond its
	// part of a pool.
	maxOverdraft = 2
	// urgentWait is the time left for the first byte in which a request can't wait for the
	// places of two further reports.
	urgentWait = 800 * clock.Millis(1)
	// unlimitedOverdraft allows any known free place.
	unlimitedOverdraft = 1 << 20
)

// Overdraft returns how many places beyond the daemon's part of the pool the request may take.
// targetLeft is the time until its latency target, firstByte the expected time to the first
// byte. Each daemon starts requests in place of its own that end, and one that happens to have
// more urgent ones than others would let them miss their target while others start less urgent
// ones. Requests that miss it anyway may not take more.
func Overdraft(targetLeft, firstByte clock.Millis) int {
	if targetLeft > firstByte && targetLeft <= firstByte+urgentWait {
		return maxOverdraft
	}
	return 0
}

// LastOverdraft returns the same for a request that would be rejected. While nothing else
// waits, it may take any place that is known to be free.
func LastOverdraft(waiting int) int {
	if waiting == 0 {
		return unlimitedOverdraft
	}
	return 0
}
