package relay

import (
	"os"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// patientBody reads the body of a stream whose server may pause.
type patientBody struct {
	body    *h1.Response
	timeout time.Duration // of a pause; 0 waits until the deadline of the call
	// giveUp is called in a pause that exceeds the timeout. The pause goes on if it
	// returns false.
	giveUp func() bool
}

// Read reads the body. It returns os.ErrDeadlineExceeded once giveUp has returned true.
func (p *patientBody) Read(b []byte) (int, error) {
	if p.timeout == 0 {
		return p.body.Read(b)
	}
	for wait := p.timeout; !p.body.AwaitData(wait); wait = successorPeriod {
		if p.giveUp() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return p.body.Read(b)
}
