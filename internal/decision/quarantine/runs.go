package quarantine

import (
	"cmp"
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
	segments []Part
	cancel   func() // ends the attempt
	isTrial  bool
	sentAt   clock.Millis
	begunAt  clock.Millis // 0 until the response header has arrived
	sound    bool         // its answer crashed no server
	canceled bool
}

// Start notes that a request with the segments is sent to the server. cancel is called if a
// segment is quarantined while the attempt runs, unless it is a trial.
func (t *Tracker) Start(server ServerStart, segments []Part, isTrial bool, cancel func(), now clock.Millis) *Run {
	r := &Run{tracker: t, server: server, segments: segments, cancel: cancel, isTrial: isTrial, sentAt: now}
	if len(segments) == 0 {
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
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
	if len(r.segments) == 0 {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.begunAt = now
}

// Progress notes that more of the answer has arrived.
func (r *Run) Progress(now clock.Millis) {
	if len(r.segments) == 0 || r.sound || now-r.begunAt < suspectTime {
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
	for _, segment := range r.segments {
		r.tracker.sound.add(segment, now)
	}
}

// End notes that the attempt is over. An answer that was abandoned soon after its beginning
// may still crash the server.
func (r *Run) End(complete bool, now clock.Millis) {
	if len(r.segments) == 0 {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if complete && r.begunAt != 0 {
		r.markSound(now)
	}
	if r.sound || r.begunAt == 0 || now-r.begunAt >= suspectTime {
		r.tracker.forget(r)
		return
	}
	r.tracker.ended = append(r.tracker.ended, r)
}

// Canceled reports whether the attempt was ended because a segment was quarantined.
func (r *Run) Canceled() bool {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	return r.canceled
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
		if now-r.begunAt < suspectTime {
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
	// The last answer that began and the last request that was sent are the likeliest causes.
	slices.SortFunc(begun, func(a, b *Run) int { return cmp.Or(cmp.Compare(b.begunAt, a.begunAt), cmp.Compare(b.number, a.number)) })
	slices.SortFunc(waiting, func(a, b *Run) int { return cmp.Compare(b.number, a.number) })
	for i := range max(len(begun), len(waiting)) {
		for _, runs := range [][]*Run{begun, waiting} {
			if i < len(runs) && len(crash.Suspects) < maxSuspects {
				crash.addSuspect(runs[i].segments)
			}
		}
	}
	if len(crash.Suspects) == 0 {
		return Crash{}, false
	}
	t.nextCheck[server] = now + checkPause
	return crash, true
}

// Confirm notes the crash, which Suspect returned at the given time. It returns what changed.
func (t *Tracker) Confirm(crash Crash, at, now clock.Millis) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[crash.Server] = notedCrash{crash, at}
	return t.evaluate(now)
}
