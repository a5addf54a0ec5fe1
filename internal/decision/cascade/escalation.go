package cascade

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Escalation is the input of the decision whether a small model's answer is discarded in
// favour of the largest model's, in a pool whose load counts. It names no client account:
// the decision is the same for all.
type Escalation struct {
	Confidence int          // of the small model's answer, in percent
	Elapsed    clock.Millis // since the request arrived
	FirstByte  clock.Millis // expected from the start of the largest model's run to its first byte
	Complete   clock.Millis // expected from the start of that run to its last byte
	Wait       clock.Millis // expected until that run starts
	Target     clock.Millis // for the first byte, from the arrival
	Deadline   clock.Millis // for the last byte, from the arrival
	// Utilisation is the share of the pool's capacity in use, over 1 while requests queue; 0
	// if unknown.
	Utilisation float64
}

// leastThreshold is the threshold in a full pool. An answer of less confidence is most
// probably wrong, and worth an escalation that ends in time. From there the threshold falls
// to 0 at the utilisation queueingLoad, where escalations would wait.
const (
	leastThreshold = 10
	queueingLoad   = 1.25
)

// Utilisations between which the threshold falls to leastThreshold. Up to half of the slots
// stay free for a burst of twice the traffic, which arrives before reports tell of it. A request with little slack keeps
// its small answer sooner: the queueing time varies by seconds in a pool that is nearly
// full, whatever the length of the deadline.
const (
	noSlackCalm, noSlackFull       = 0.62, 0.86
	ampleSlackCalm, ampleSlackFull = 0.72, 0.92
	// ampleSlack is the time to spare from which a request has ample slack: the longest
	// waits in full servers' queues were 3.4 s.
	ampleSlack = 4_000 * clock.Millis(1)
)

// Slack returns the time to spare if the answer is discarded: until the deadline at the
// expected last byte, or until the target at the expected first byte, if that is less.
// It is negative if the largest model's answer would be late.
func (e Escalation) Slack() clock.Millis {
	start := e.Elapsed + e.Wait
	return min(e.Deadline-start-e.Complete, e.Target-start-e.FirstByte)
}

// Room returns how much of the threshold the pool's utilisation leaves, from 0 to 1.
//
// Load pattern: traffic rises over the capacity for seconds. Each escalation then takes
// ten times the work of the answer that it discards, and comes late.
func (e Escalation) Room() float64 {
	ease := min(max(float64(e.Slack())/float64(ampleSlack), 0), 1)
	calm := noSlackCalm + ease*(ampleSlackCalm-noSlackCalm)
	full := noSlackFull + ease*(ampleSlackFull-noSlackFull)
	return min(max((full-e.Utilisation)/(full-calm), 0), 1)
}

// Threshold returns the confidence below which the answer is discarded. It falls by
// degrees as the pool fills and returns as it empties.
func (t ConfidenceThreshold) Threshold(e Escalation) int {
	start := e.Elapsed + e.Wait
	latency := max(
		float64(start+e.FirstByte)/float64(max(e.Target, 1)),
		float64(start+e.Complete)/float64(max(e.Deadline, 1)),
	)
	highest := t.At(latency)
	queueing := min(max((queueingLoad-e.Utilisation)/(queueingLoad-1), 0), 1)
	least := queueing * float64(min(leastThreshold, highest))
	return int(least + e.Room()*(float64(highest)-least))
}

// Escalates reports whether the answer is discarded: the largest model's must be complete
// in time, its wait counted, and the answer's confidence below the threshold.
func (t ConfidenceThreshold) Escalates(e Escalation) bool {
	return e.Elapsed+e.Wait+e.Complete < e.Deadline && e.Confidence < t.Threshold(e)
}
