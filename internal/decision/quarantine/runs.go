package quarantine

import (
	"cmp"
	"iter"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// suspectTime is how long after the beginning of its answer a request may cause a crash.
	suspectTime = 500 * clock.Millis(1)
	// checkPause is the time between two checks whether a server has crashed.
	checkPause = 1_000 * clock.Millis(1)
)

// Run is one attempt of a request at a server.
type Run struct {
	tracker  *Tracker
	server   ServerStart
	number   uint64 // in the order of the starts
	parts    []Part // see Parts
	cancel   func() // ends the attempt
	isTrial  bool
	sentAt   clock.Millis
	begunAt  clock.Millis // 0 until the response header has arrived
	sound    bool         // its answer crashed no server
	outlives clock.Millis // until when the server may still run it; 0 unless it was given up
	ended    bool         // it is kept as a suspect only
	canceled bool
}

// Start notes that a request with the parts is sent to the server. cancel is called if a
// part is quarantined while the attempt runs, unless it is a trial.
func (t *Tracker) Start(server ServerStart, parts []Part, isTrial bool, cancel func(), now clock.Millis) *Run {
	r := &Run{tracker: t, server: server, parts: parts, cancel: cancel, isTrial: isTrial, sentAt: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteStart(now)
	t.started++
	r.number = t.started
	runs, ok := t.runs[server]
	if !ok {
		runs = make(map[*Run]bool)
		t.runs[server] = runs
	}
	runs[r] = true
	return r
}

// Begin notes that the server has begun to answer.
func (r *Run) Begin(now clock.Millis) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.begunAt = now
}

// Progress notes that more of the answer has arrived.
func (r *Run) Progress(now clock.Millis) {
	if r.sound || now-r.begunAt < suspectTime {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.markSound(now)
}

// markSound counts the run as sound. The tracker's mu must be held.
func (r *Run) markSound(now clock.Millis) {
	if r.sound {
		return
	}
	r.sound = true
	for _, part := range r.parts {
		r.tracker.sound.add(part, now)
	}
}

// GiveUp notes that the attempt, which has reached the server, is ended before the response
// header. The server may still run the request until then, and soon afterwards in any case.
func (r *Run) GiveUp(now, until clock.Millis) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.begunAt == 0 {
		r.outlives = max(now+suspectTime, until)
	}
}

// End notes that the attempt is over. An answer that was abandoned soon after its beginning,
// or an attempt that was given up, may still crash the server.
func (r *Run) End(complete bool, now clock.Millis) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if complete && r.begunAt != 0 {
		r.markSound(now)
	}
	r.ended = true
	if r.sound || !r.mayCrash(now) {
		r.tracker.forget(r)
		return
	}
	r.tracker.ended = append(r.tracker.ended, r)
}

// mayCrash reports whether a server that crashes at the time may do so under the run, which has
// ended: soon after its answer began or, without one, while the server may still run it.
func (r *Run) mayCrash(now clock.Millis) bool {
	return now < r.outlives || (r.begunAt != 0 && now-r.begunAt < suspectTime)
}

// Canceled reports whether the attempt was ended because a part was quarantined.
func (r *Run) Canceled() bool {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	return r.canceled
}

// liveRuns returns the attempts that go on at servers that have not crashed under this
// daemon's requests. t.mu must be held.
func (t *Tracker) liveRuns() iter.Seq[*Run] {
	return func(yield func(*Run) bool) {
		for server, runs := range t.runs {
			if _, crashed := t.own[server]; crashed {
				continue
			}
			for r := range runs {
				if !r.ended && !yield(r) {
					return
				}
			}
		}
	}
}

// forget removes the run. t.mu must be held.
func (t *Tracker) forget(r *Run) {
	runs := t.runs[r.server]
	delete(runs, r)
	if len(runs) == 0 {
		delete(t.runs, r.server)
	}
}

// forgetEnded removes the runs that ended and can no longer cause a crash. t.mu must be
// held.
func (t *Tracker) forgetEnded(now clock.Millis) {
	t.ended = slices.DeleteFunc(t.ended, func(r *Run) bool {
		if r.mayCrash(now) {
			return false
		}
		t.forget(r)
		return true
	})
}

// Suspect returns the crash to be noted if the server, which broke off an answer, proves to
// have crashed. It returns false if nothing suspicious ran there or it need not be checked.
// Otherwise the caller must check the server and call Confirm.
func (t *Tracker) Suspect(server ServerStart, now clock.Millis) (Crash, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetEnded(now)
	if _, noted := t.own[server]; noted || now < t.nextCheck[server] {
		return Crash{}, false
	}
	crash := Crash{Server: server}
	var begun, waiting []*Run
	for r := range t.runs[server] {
		switch {
		case r.begunAt == 0:
			waiting = append(waiting, r)
		case !r.sound && now-r.begunAt < suspectTime:
			begun = append(begun, r)
		}
	}
	crash.Begun = len(begun) > 0
	for _, r := range inLikelihood(begun, waiting) {
		crash.addSuspect(Suspect{Parts: r.parts, Wait: now - r.sentAt})
	}
	crash.Suspects = t.limitByAccount(crash.Suspects, now)
	if len(crash.Suspects) == 0 {
		return Crash{}, false
	}
	t.nextCheck[server] = now + checkPause
	return crash, true
}

// inLikelihood returns the runs, the likeliest causes of a crash first: the last answer that
// began and the last request that was sent.
func inLikelihood(begun, waiting []*Run) []*Run {
	slices.SortFunc(begun, func(a, b *Run) int { return cmp.Or(cmp.Compare(b.begunAt, a.begunAt), cmp.Compare(b.number, a.number)) })
	slices.SortFunc(waiting, func(a, b *Run) int { return cmp.Compare(b.number, a.number) })
	runs := make([]*Run, 0, len(begun)+len(waiting))
	for i := range max(len(begun), len(waiting)) {
		for _, list := range [][]*Run{begun, waiting} {
			if i < len(list) {
				runs = append(runs, list[i])
			}
		}
	}
	return runs
}

// limitByAccount returns at most maxSuspects of the suspects. Requests that servers have
// answered before yield first. No client account crowds out the requests of others. t.mu must
// be held.
func (t *Tracker) limitByAccount(suspects []Suspect, now clock.Millis) []Suspect {
	if len(suspects) <= maxSuspects {
		return suspects
	}
	type turn struct {
		Suspect
		number int
	}
	turns, ofAccount := make([]turn, 0, len(suspects)), make(map[accountTag]int)
	for _, s := range suspects {
		account := s.content().account()
		number := ofAccount[account]
		if _, answered := t.sound.recent(s.content(), now); answered {
			number += len(suspects)
		}
		turns = append(turns, turn{s, number})
		ofAccount[account]++
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return cmp.Compare(a.number, b.number) })
	limited := make([]Suspect, 0, maxSuspects)
	for _, s := range turns[:maxSuspects] {
		limited = append(limited, s.Suspect)
	}
	return limited
}

// Confirm notes the crash, which Suspect returned at the given time. It returns what changed.
func (t *Tracker) Confirm(crash Crash, at, now clock.Millis) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[crash.Server] = notedCrash{crash, at}
	return t.evaluate(now)
}
