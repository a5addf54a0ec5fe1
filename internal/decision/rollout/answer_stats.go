package rollout

import (
	"math"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// AnswerStats counts a version's answers on one route. Slowness is the time to
// the first byte divided by the expected time. The stats of several daemons are
// combined with Plus. Immutable.
type AnswerStats struct {
	Good           int          `json:"g"`
	Bad            int          `json:"b"`
	BadServers     uint64       `json:"s"` // bit set of the hashed IDs of servers that gave bad answers
	Servers        uint64       `json:"a"` // the same for the servers that gave any answers
	Errors         int          `json:"e"` // bad answers that were errors rather than slow
	LatencySamples int          `json:"n"` // answers with a known slowness
	LogSlownessSum float64      `json:"t"`
	Paces          Paces        `json:"p,omitempty"` // of the streams
	Counts         AnswerCounts `json:"h,omitempty"` // by server and time to the first byte
	Sent           int          `json:"q,omitempty"` // requests that were sent to the version's servers, repeats included
	Verdict        Verdict      `json:"v,omitempty"` // of the daemons that have one
}

// WithVerdict returns the stats with what the daemon has decided about the version.
func (s AnswerStats) WithVerdict(v Verdict) AnswerStats {
	s.Verdict = max(s.Verdict, v)
	return s
}

// WithLatency returns the stats after one more answer with that time to the first byte.
func (s AnswerStats) WithLatency(server string, latency clock.Millis) AnswerStats {
	s.Counts = s.Counts.Plus(oneAnswer(server, latencyBucket(latency)))
	return s
}

// WithSent returns the stats after one more request that was sent to the version.
func (s AnswerStats) WithSent() AnswerStats {
	s.Sent++
	return s
}

// WithAnswer returns the stats after one more answer.
func (s AnswerStats) WithAnswer(server string, bad bool) AnswerStats {
	bucket := soundBucket
	if bad {
		bucket = lateBucket
	}
	s.Counts = s.Counts.Plus(oneAnswer(server, bucket))
	return s.withAnswer(server, bad)
}

func (s AnswerStats) withAnswer(server string, bad bool) AnswerStats {
	s.Servers |= serverBit(server)
	if !bad {
		s.Good++
		return s
	}
	s.Bad++
	s.BadServers |= serverBit(server)
	return s
}

// WithError returns the stats after one more bad answer that was an error.
func (s AnswerStats) WithError(server string) AnswerStats {
	s = s.withAnswer(server, true)
	s.Counts = s.Counts.Plus(oneAnswer(server, failedBucket))
	s.Errors++
	return s
}

// WithPace returns the stats after one more stream of the class with that typical pause
// between two events.
func (s AnswerStats) WithPace(server string, class PaceClass, pace clock.Millis) AnswerStats {
	s.Paces = s.Paces.Plus(onePace(server, class, pace))
	return s
}

// minSlowness limits the influence of a single fast answer.
const minSlowness = 0.05

// WithSlowness returns the stats after one more latency sample.
func (s AnswerStats) WithSlowness(slowness float64) AnswerStats {
	s.LatencySamples++
	s.LogSlownessSum += math.Log(math.Max(slowness, minSlowness))
	return s
}

// Plus returns the sum of two stats.
func (s AnswerStats) Plus(o AnswerStats) AnswerStats {
	return AnswerStats{
		Good: s.Good + o.Good, Bad: s.Bad + o.Bad, BadServers: s.BadServers | o.BadServers,
		Servers: s.Servers | o.Servers, Errors: s.Errors + o.Errors,
		LatencySamples: s.LatencySamples + o.LatencySamples, LogSlownessSum: s.LogSlownessSum + o.LogSlownessSum,
		Paces: s.Paces.Plus(o.Paces), Counts: s.Counts.Plus(o.Counts), Sent: s.Sent + o.Sent,
		Verdict: max(s.Verdict, o.Verdict),
	}
}

// Total returns the number of good and bad answers.
func (s AnswerStats) Total() int { return s.Good + s.Bad }

// badRate returns the rate of bad answers. Half a bad answer is added, so that
// a small sample without failures does not give a rate of zero.
func (s AnswerStats) badRate() float64 { return (float64(s.Bad) + 0.5) / float64(s.Total()+1) }

// MeanSlowness returns the geometric mean of the slowness; 1 without samples.
func (s AnswerStats) MeanSlowness() float64 { return math.Exp(s.meanLogSlowness()) }

func (s AnswerStats) meanLogSlowness() float64 {
	return s.LogSlownessSum / float64(max(s.LatencySamples, 1))
}

// Minus returns the answers counted since an earlier snapshot of the same
// stats. The server sets are kept whole, since a bit set cannot be subtracted.
func (s AnswerStats) Minus(o AnswerStats) AnswerStats {
	return AnswerStats{
		Good: max(s.Good-o.Good, 0), Bad: max(s.Bad-o.Bad, 0), BadServers: s.BadServers,
		Servers: s.Servers, Errors: max(s.Errors-o.Errors, 0),
		LatencySamples: max(s.LatencySamples-o.LatencySamples, 0), LogSlownessSum: s.LogSlownessSum - o.LogSlownessSum,
		Paces: s.Paces.Minus(o.Paces), Counts: s.Counts.Minus(o.Counts), Sent: max(s.Sent-o.Sent, 0),
		Verdict: s.Verdict,
	}
}
