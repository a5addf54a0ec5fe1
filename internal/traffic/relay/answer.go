package relay

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// maxWholeBytes is the largest answer that is held until it is complete; a
// longer one is passed on as it comes.
const maxWholeBytes = 256 << 10

// relayWhole reads the answer whole before it passes it on, so that one which
// breaks off can be asked for again.
func (u *run) relayWhole(server *fleet.Entry, answer *h1.Response) (bool, error) {
	held, err := io.ReadAll(io.LimitReader(answer, maxWholeBytes))
	if err != nil {
		return false, u.answerBroke(server, err)
	}
	long := len(held) == maxWholeBytes
	u.begin(answer)
	if !long {
		u.out.Header().Set("Content-Length", strconv.Itoa(len(held)))
	}
	u.out.WriteHeader(answer.Status)
	if _, err := u.out.Write(held); err != nil {
		return false, errCallerLeft
	}
	if long {
		if _, err := io.Copy(u.out, answer); err != nil {
			return false, errors.Wrap(errCut, err.Error())
		}
	}
	return true, nil
}

const (
	// pauseFactor x the longest pause of an answer that is on time is how long a
	// stream may be silent before another server goes on with it.
	pauseFactor = 1.25
	// leastPause covers the reading of other requests' long prompts.
	leastPause = 1_500 * clock.Millis(1)
)

// pausePatience returns how long a stream may be silent before it is continued
// elsewhere; 0 is until the deadline.
func (u *run) pausePatience(server *fleet.Entry) time.Duration {
	if !u.mayRepeat(server) || u.route.PauseAim <= 0 {
		return 0
	}
	return max(clock.Millis(pauseFactor*float64(u.route.PauseAim)), leastPause).Duration()
}

// answerBroke decides what follows an answer that broke off.
func (u *run) answerBroke(server *fleet.Entry, err error) error {
	if u.http.Context().Err() != nil {
		return errCallerLeft
	}
	u.lastSeen = "the answer broke off: " + err.Error()
	u.relay.Balancer.NoteFault(server, u.relay.Clock.Now())
	u.relay.Metrics.attempt(u.pool.Name, "broke_off")
	u.log("answer broke off", server, "error", err.Error(), "last_event", u.lastID)
	if u.relay.Clock.Now() >= u.deadline {
		return u.broken(result.New(result.BackendTimeout, "%s", u.lastSeen))
	}
	return u.noteMayHaveRun(server)
}

// begin sets the headers of the answer that the caller gets.
func (u *run) begin(answer *h1.Response) {
	maps.Copy(u.out.Header(), u.relay.Dialect.ResponseHeader(answer.Header))
	u.began, u.status = true, answer.Status
}

// gapEvents is after how many events of a stream the time between them is noted: a
// pool gets busy within less time than a long stream lasts.
const gapEvents = 8

// noteGaps takes in the mean time between events that came since an instant.
func (u *run) noteGaps(events int, since clock.Millis) {
	if events > 1 {
		mean := float64(u.relay.Clock.Now()-since) / float64(events-1)
		u.relay.Balancer.NoteGap(u.pool.Name, u.model, mean)
	}
}

// relayStream passes events on as they come. When the stream breaks, what the
// caller has is a whole number of events, and another server can go on from there.
func (u *run) relayStream(server *fleet.Entry, answer *h1.Response) (bool, error) {
	source := events{source: answer}
	control := http.NewResponseController(u.out)
	patience := u.pausePatience(server)
	reads, began := 0, u.relay.Clock.Now()
	defer func() { u.noteGaps(reads, began) }()
	for {
		if patience > 0 {
			answer.SetReadDeadline(time.Now().Add(patience))
		}
		whole, id, err := source.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return false, u.answerBroke(server, err)
		}
		if !u.began {
			u.begin(answer)
			u.out.WriteHeader(answer.Status)
		}
		if reads++; reads > gapEvents {
			u.noteGaps(reads, began)
			reads, began = 1, u.relay.Clock.Now()
		}
		if id != "" {
			u.lastID = id
		}
		if _, err := u.out.Write(whole); err != nil {
			return false, errCallerLeft
		}
		if err := control.Flush(); err != nil {
			return false, errCallerLeft
		}
	}
	if !u.began {
		u.begin(answer)
		u.out.WriteHeader(answer.Status)
	}
	return true, nil
}
