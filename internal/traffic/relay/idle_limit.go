package relay

import (
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// errNoEvents means that a server goes on sending, but no events.
var errNoEvents = errors.New("the server sends no events")

// idleLimit limits the time between two events of a stream. A byte now and then, or a
// comment, doesn't extend it.
type idleLimit struct {
	timeout time.Duration // 0: no limit
	resp    *h1.Response
	clock   clock.Clock

	exceededAt clock.Millis // when the time is over, or is to be checked again
}

// restart begins the time anew, after an event.
func (l *idleLimit) restart() {
	if l.timeout > 0 {
		l.resp.LimitSilence(l.timeout)
		l.exceededAt = l.clock.Now() + clock.Millis(l.timeout.Milliseconds())
	}
}

// exceeded reports whether the time is over, at most once in each successorPeriod.
func (l *idleLimit) exceeded() bool {
	now := l.clock.Now()
	if l.timeout <= 0 || now < l.exceededAt {
		return false
	}
	l.exceededAt = now + successorPeriod
	return true
}
