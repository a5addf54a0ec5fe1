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
	// if unknown. Rise is by how much it has risen lately.
	Utilisation, Rise float64
	// Precedence is how urgent the route is among those to the pool: 1 for the most urgent,
	// -1 for the least, 0 if all are alike.
	Precedence float64
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
	// precedenceShift is by how much earlier the least urgent requests of a pool keep their
	// small answers, and the most urgent ones later. Long prompts of low urgency took the
	// room that short urgent requests needed: these have a tenth of their prefill.
	precedenceShift = 0.15
	// calmShift is the same for the utilisation from which the least urgent ones begin to keep
	// theirs. With more, they did so at the usual load of a pool that is half full.
	calmShift = 0.05
	// precedenceLead is by how much further the least urgent requests look ahead, and the
	// most urgent ones less, as a share of the rise.
	precedenceLead = 0.5
)

// Slack returns the time to spare if the answer is discarded: until the deadline at the
// expected last byte, or until the target at the expected first byte, if that is less.
// It is negative if the largest model's answer would be late.
func (e Escalation) Slack() clock.Millis {
	start := e.Elapsed + e.Wait
	return min(e.Deadline-start-e.Complete, e.Target-start-e.FirstByte)
}

// expectedUtilisation returns the utilisation once the requests that were started lately have
// run for a while.
func (e Escalation) expectedUtilisation() float64 {
	return e.Utilisation + (1-precedenceLead*e.Precedence)*e.Rise
}

// Room returns how much of the threshold the pool's utilisation leaves, from 0 to 1.
//
// Load pattern: traffic rises over the capacity for seconds. Each escalation then takes
// ten times the work of the answer that it discards, and comes late. What was started before
// the pool is full fills it for seconds more.
func (e Escalation) Room() float64 {
	ease := min(max(float64(e.Slack())/float64(ampleSlack), 0), 1)
	shift := precedenceShift * e.Precedence
	calm := noSlackCalm + ease*(ampleSlackCalm-noSlackCalm) + max(shift, calmShift*e.Precedence)
	full := min(noSlackFull+ease*(ampleSlackFull-noSlackFull)+shift, 1)
	return min(max((full-e.expectedUtilisation())/(full-calm), 0), 1)
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
	queueing := min(max((queueingLoad-e.expectedUtilisation())/(queueingLoad-1), 0), 1)
	least := queueing * float64(min(leastThreshold, highest))
	return int(least + e.Room()*(float64(highest)-least))
}

// Escalates reports whether the answer is discarded: the largest model's must be complete
// in time, its wait counted, and the answer's confidence below the threshold.
func (t ConfidenceThreshold) Escalates(e Escalation) bool {
	return e.Elapsed+e.Wait+e.Complete < e.Deadline && e.Confidence < t.Threshold(e)
}
