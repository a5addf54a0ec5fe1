package admission

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// certainShare is the share of the estimated times that must already be too long: estimates
// of the length of an answer are off by up to a factor of two.
const certainShare = 0.5

const (
	// answerTargets and answerPauses are the multiples of a stream's targets after which its
	// caller gives up a request without any part of a response, minAnswerTime the least time.
	answerTargets = 4
	answerPauses  = 8
	minAnswerTime = 2_000 * clock.Millis(1)
)

// AnswerTime returns how long the caller of an idempotent stream waits for the beginning of
// the response. target is that of the response, pause that of the time between two events.
func AnswerTime(target, pause clock.Millis) clock.Millis {
	return max(minAnswerTime, answerTargets*target, answerPauses*pause)
}

// Forecast is the expected course of a request that has not been sent to a server.
type Forecast struct {
	Now       clock.Millis
	Wait      clock.Millis // until it gets a place; 0 if unknown
	FirstByte clock.Millis // from there to the first byte; 0 if not measured
	Rest      clock.Millis // from there to the end of the response; 0 if not measured
	Deadline  clock.Millis // for the complete response
	AnswerBy  clock.Millis // for the first byte; 0 if there is no such limit
}

// IsTooLate reports whether the response can't be in time.
func (f Forecast) IsTooLate() bool {
	firstByte := f.Now + certain(f.Wait) + certain(f.FirstByte)
	return firstByte+certain(f.Rest) >= f.Deadline || (f.AnswerBy > 0 && firstByte >= f.AnswerBy)
}

// LatestStart returns the time from which on the request is too late without any wait.
func (f Forecast) LatestStart() clock.Millis {
	latest := f.Deadline - certain(f.FirstByte) - certain(f.Rest)
	if f.AnswerBy > 0 {
		latest = min(latest, f.AnswerBy-certain(f.FirstByte))
	}
	return latest
}

// StartBy returns the time until which a start is expected to give a response in time; 0 if
// that is unknown.
func (f Forecast) StartBy() clock.Millis {
	if f.FirstByte+f.Rest == 0 {
		return 0
	}
	return f.Deadline - f.FirstByte - f.Rest
}

// IsServedAfter reports whether the response is expected in time if the request gets a place
// after the given time.
func (f Forecast) IsServedAfter(wait clock.Millis) bool {
	return f.Now+wait+f.FirstByte+f.Rest < f.Deadline
}

func certain(estimate clock.Millis) clock.Millis {
	return clock.Millis(certainShare * float64(estimate))
}
