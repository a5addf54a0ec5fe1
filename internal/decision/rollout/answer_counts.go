package rollout

import (
	"cmp"
	"math"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// AnswerCount counts the answers of a version on one route from one group of servers with
// about the same time to the first byte.
type AnswerCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: reports are frequent.
	Bucket   int      // of the time in ms, on a logarithmic scale; or one of those below
	Group    int      // of servers, by a hash of their IDs
	Answers  int
}

const (
	// failedBucket counts the answers that were errors, lateBucket those that took several
	// times as long as expected at the server's load, and soundBucket all others.
	failedBucket = -3
	lateBucket   = -2
	soundBucket  = -1
	// latencyBucketsPerDoubling is the resolution of the times.
	latencyBucketsPerDoubling = 3
	// serverGroups bounds the counts of a version with many servers.
	serverGroups = 16
)

// AnswerCounts are the counts of a version's answers on one route, in order of the bucket
// and the group. Immutable.
type AnswerCounts []AnswerCount

func serverGroup(server string) int { return int(container.Hash(server) % serverGroups) }

func latencyBucket(latency clock.Millis) int {
	return int(math.Round(latencyBucketsPerDoubling * math.Log2(float64(max(latency, 1)))))
}

func (c AnswerCount) compareKind(o AnswerCount) int {
	return cmp.Or(cmp.Compare(c.Bucket, o.Bucket), cmp.Compare(c.Group, o.Group))
}

func (c AnswerCount) plus(o AnswerCount) AnswerCount {
	c.Answers += o.Answers
	return c
}

func (c AnswerCount) minus(earlier AnswerCount) AnswerCount {
	c.Answers -= earlier.Answers
	return c
}

func (c AnswerCount) isEmpty() bool { return c.Answers <= 0 }

// oneAnswer returns the count of a single answer.
func oneAnswer(server string, bucket int) AnswerCounts {
	return AnswerCounts{{Bucket: bucket, Group: serverGroup(server), Answers: 1}}
}

// Plus returns the sum of two counts.
func (a AnswerCounts) Plus(o AnswerCounts) AnswerCounts { return addCounts(a, o) }

// Minus returns the answers counted since an earlier snapshot of the same counts.
func (a AnswerCounts) Minus(o AnswerCounts) AnswerCounts { return subtractCounts(a, o) }

// from returns the number of answers with that bucket or a higher one.
func (a AnswerCounts) from(first int) int {
	n := 0
	for _, c := range a {
		if c.Bucket >= first {
			n += c.Answers
		}
	}
	return n
}

const (
	// minLatencyAnswers is how many times of the baseline a limit needs.
	minLatencyAnswers = 20
	// latencyQuantile is the quantile of the baseline's times from which the margin counts.
	latencyQuantile = 0.9
	// latencyMargin is the lag in buckets: twice as slow.
	latencyMargin = 3
	// minSlowdown is the least lag: the paths to servers, and new connections, differ by some
	// ms, which is several times the time of a short answer.
	minSlowdown = 15 * clock.Millis(1)
)

// latencyOf returns the time of a bucket.
func latencyOf(bucket int) clock.Millis {
	return clock.Millis(math.Round(math.Exp2(float64(bucket) / latencyBucketsPerDoubling)))
}

// slowFrom returns the bucket from which an answer is slow by these answers of a baseline.
func (a AnswerCounts) slowFrom() (bucket int, ok bool) {
	total := a.from(0)
	if total < minLatencyAnswers {
		return 0, false
	}
	below := 0
	for _, c := range a {
		if c.Bucket < 0 {
			continue
		}
		if below += c.Answers; float64(below) >= latencyQuantile*float64(total) {
			return max(c.Bucket+latencyMargin, latencyBucket(latencyOf(c.Bucket)+minSlowdown)), true
		}
	}
	return 0, false
}

// Slow returns how many answers of both versions are slow by the baseline's times.
func (c Comparison) Slow() (canary, baseline int) {
	bucket, ok := c.Baseline.Counts.slowFrom()
	if !ok {
		return 0, 0
	}
	return c.Canary.Counts.from(bucket), c.Baseline.Counts.from(bucket)
}
