package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// LatencyModel is how fast the servers of a pool run a model: the time to the head of an
// answer as a line over the tokens to be read, and the time between events. It
// follows what the answers show, the newest counting most.
type LatencyModel struct {
	weight float64 // of all answers so far
	read   float64 // mean tokens read
	first  float64 // mean time to the head, ms
	readSq float64 // mean square of the tokens read
	cross  float64 // mean product of tokens and time
	gap    float64 // mean time between events, ms; 0 while unknown
}

const (
	// paceMemory is after how many answers an earlier one counts by a third.
	paceMemory = 60
	// gapMemory is the same for the time between events.
	gapMemory = 20
	// leastWeight is how many answers the line needs.
	leastWeight = 8
	// unknownFirst is the time to the head that is assumed before.
	unknownFirst = 1_000.0
	// unknownGap is the time between events that is assumed before, in ms.
	unknownGap = 100.0
	// longestGap is what counts of a pause: longer ones are faults, not the pace.
	longestGap = 1_000.0
)

// WithFirstByte returns the pace after one more answer.
func (p LatencyModel) WithFirstByte(tokens int, first clock.Millis) LatencyModel {
	const keep = 1 - 1.0/paceMemory
	x, y := float64(tokens), float64(first)
	total := p.weight*keep + 1
	old, share := p.weight*keep/total, 1/total
	p.read = p.read*old + x*share
	p.first = p.first*old + y*share
	p.readSq = p.readSq*old + x*x*share
	p.cross = p.cross*old + x*y*share
	p.weight = total
	return p
}

// WithInterEvent returns the pace after one more pause between two events.
func (p LatencyModel) WithInterEvent(ms float64) LatencyModel {
	ms = min(ms, longestGap)
	if p.gap == 0 {
		p.gap = ms
		return p
	}
	p.gap += (ms - p.gap) / gapMemory
	return p
}

const (
	// unknownReading is the time to read a token that is assumed before, in ms, and
	// leastReading and mostReading bound what the line shows.
	unknownReading = 0.03
	leastReading   = 0.002
	mostReading    = 0.2
	// longestBase bounds the part of the time that doesn't depend on the prompt.
	longestBase = 5_000.0
)

// slope returns the time to read a token, in ms.
func (p LatencyModel) slope() float64 {
	spread := p.readSq - p.read*p.read
	if p.weight < leastWeight || spread < 1 {
		return unknownReading
	}
	return min(max((p.cross-p.read*p.first)/spread, leastReading), mostReading)
}

// PrefillTime returns the time to read so many tokens.
func (p LatencyModel) PrefillTime(tokens int) clock.Millis {
	return clock.Millis(p.slope() * float64(tokens))
}

// BaseLatency returns the part of the time to the head that doesn't depend on the prompt.
func (p LatencyModel) BaseLatency() clock.Millis {
	if p.weight < leastWeight {
		return 0
	}
	return clock.Millis(min(max(p.first-p.slope()*p.read, 0), longestBase))
}

// FirstByte returns the time to the head of an answer that is to be expected.
func (p LatencyModel) FirstByte(tokens int) clock.Millis {
	if p.weight < leastWeight {
		return clock.Millis(unknownFirst)
	}
	return max(p.BaseLatency()+p.PrefillTime(tokens), 1)
}

// InterEventMs returns the time between two events that is to be expected, in ms.
func (p LatencyModel) InterEventMs() float64 {
	if p.gap == 0 {
		return unknownGap
	}
	return p.gap
}
