package cascade

// ConfidenceThreshold is the confidence from which on a small model's answer is given to the
// caller, on deployments without ratings of answers.
//
// Load pattern: a pool whose large model is busy. While that model answers in
// time, an answer that is probably wrong is asked for again; the longer it takes,
// the more doubtful answers are accepted, since an answer that comes late is
// worth less to the caller than one that is as likely right as not.
type ConfidenceThreshold struct {
	Normal     int // while the large model answers well within the aim
	Overloaded int // while it can't answer within the aim
}

const (
	// calmPart of the aim is the latency up to which the bar is at its highest.
	calmPart = 0.6
	// busyPart is the latency from which on it is at its lowest.
	busyPart = 1.2
)

// At returns the least confidence to accept when the large model is expected to
// answer after the given part of the route's aim.
func (b ConfidenceThreshold) At(part float64) int {
	x := min(max((part-calmPart)/(busyPart-calmPart), 0), 1)
	return b.Normal - int(x*float64(b.Normal-b.Overloaded)+0.5)
}
