package rollout

import (
	"cmp"
	"math"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// LatencyCount counts the answers of a version on one route with about the same time to the
// first byte.
type LatencyCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: reports are frequent.
	Bucket   int      // of the time in ms, on a logarithmic scale
	Answers  int
	Servers  uint64 // bit set of the hashed server IDs
}

// Latencies are the counts of a version's answers on one route, in order of the bucket.
// Immutable.
type Latencies []LatencyCount

// latencyBucketsPerDoubling is the resolution of the latencies.
const latencyBucketsPerDoubling = 3

func latencyBucket(latency clock.Millis) int {
	return int(math.Round(latencyBucketsPerDoubling * math.Log2(float64(max(latency, 1)))))
}

// oneLatency returns the count of a single answer.
func oneLatency(server string, latency clock.Millis) Latencies {
	return Latencies{{Bucket: latencyBucket(latency), Answers: 1, Servers: serverBit(server)}}
}

func (l Latencies) find(bucket int) (int, bool) {
	return slices.BinarySearchFunc(l, bucket, func(c LatencyCount, b int) int { return cmp.Compare(c.Bucket, b) })
}

// Plus returns the sum of two counts.
func (l Latencies) Plus(o Latencies) Latencies {
	if len(o) == 0 {
		return l
	}
	sum := slices.Clone(l)
	for _, c := range o {
		i, found := sum.find(c.Bucket)
		if !found {
			sum = slices.Insert(sum, i, c)
			continue
		}
		sum[i].Answers += c.Answers
		sum[i].Servers |= c.Servers
	}
	return sum
}

// Minus returns the answers counted since an earlier snapshot of the same counts. The
// server sets of the buckets with new answers are kept whole.
func (l Latencies) Minus(o Latencies) Latencies {
	var rest Latencies
	for _, c := range l {
		if i, found := o.find(c.Bucket); found {
			c.Answers -= o[i].Answers
		}
		if c.Answers > 0 {
			rest = append(rest, c)
		}
	}
	return rest
}

// Total returns the number of answers.
func (l Latencies) Total() int { return l.from(math.MinInt).Answers }

// from returns the sum of the answers from the bucket on.
func (l Latencies) from(bucket int) LatencyCount {
	sum := LatencyCount{Bucket: bucket}
	for _, c := range l {
		if c.Bucket >= bucket {
			sum.Answers += c.Answers
			sum.Servers |= c.Servers
		}
	}
	return sum
}

const (
	// minLatencyAnswers is how many answers of the baseline a limit needs.
	minLatencyAnswers = 20
	// latencyQuantile is the quantile of the baseline's latencies from which the margin counts.
	latencyQuantile = 0.9
	// latencyMargin is the lag in buckets: about twice as slow.
	latencyMargin = 3
)

// limit returns the bucket from which an answer is slow by the baseline's answers.
func (l Latencies) limit() (bucket int, ok bool) {
	total := l.Total()
	if total < minLatencyAnswers {
		return 0, false
	}
	below := 0
	for _, c := range l {
		if below += c.Answers; float64(below) >= latencyQuantile*float64(total) {
			return c.Bucket + latencyMargin, true
		}
	}
	return 0, false
}

// Slow returns how many answers of both versions are slow by the baseline's latencies.
func (c Comparison) Slow() (canary, baseline int) {
	bucket, ok := c.Baseline.Latencies.limit()
	if !ok {
		return 0, 0
	}
	return c.Canary.Latencies.from(bucket).Answers, c.Baseline.Latencies.from(bucket).Answers
}
