package cascade

// ConfidenceThreshold is the least confidence, in percent, at which a small
// model's answer is returned to the caller on deployments without ratings.
//
// It serves pools whose large model is busy. While that model answers in time,
// answers that are probably wrong are escalated to it. As its latency grows, lower
// confidence is accepted, since a late answer is worth less to the caller than one
// that is as likely right as not.
type ConfidenceThreshold struct {
	Normal     int // while the large model answers well within the latency target
	Overloaded int // while it can't meet the latency target
}

// Latencies between which the threshold is interpolated, as fractions of the
// latency target.
const (
	// normalLatency is the latency up to which the threshold is at Normal.
	normalLatency = 0.6
	// overloadLatency is the latency from which it is at Overloaded.
	overloadLatency = 1.2
)

// At returns the threshold for the large model's expected latency, given as a
// fraction of the route's latency target.
func (t ConfidenceThreshold) At(latency float64) int {
	overload := min(max((latency-normalLatency)/(overloadLatency-normalLatency), 0), 1)
	return t.Normal - int(overload*float64(t.Normal-t.Overloaded)+0.5)
}
