package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const start = 1_000_000 * clock.Millis(1)

var bad, shared = segment(9), segment(1)

// segment returns the part of a prompt segment with the number as its ID.
func segment(n uint64) Part { return SegmentPart(strconv.FormatUint(n, 10)) }

// segments returns the parts of a prompt.
func segments(numbers ...uint64) []Part {
	parts := make([]Part, 0, len(numbers))
	for _, n := range numbers {
		parts = append(parts, segment(n))
	}
	return parts
}

// nothing is called when an attempt is to end and need not be.
func nothing() {}

// crashUnder has the server begin to answer a request with the segments, and crash.
func crashUnder(t *Tracker, server string, now clock.Millis, parts ...Part) []Change {
	r := t.Start(ServerStart{ID: server, StartedAt: 1}, parts, false, nothing, now)
	r.Begin(now + 20)
	crash, ok := t.Suspect(r.server, now+100)
	r.End(false, now+100)
	if !ok {
		return nil
	}
	return t.Confirm(crash, now+100, now+101)
}

// answer has the server answer a request with the segments.
func answer(t *Tracker, now clock.Millis, parts ...Part) {
	r := t.Start(ServerStart{ID: "sound"}, parts, false, nothing, now)
	r.Begin(now)
	r.End(true, now+50)
}

func isBlocked(t *Tracker, parts ...Part) bool {
	_, _, blocked := t.Blocked(parts)
	return blocked
}

// exchange passes what each tracker knows to all others.
func exchange(now clock.Millis, trackers ...*Tracker) {
	for i, to := range trackers {
		var e Evidence
		for j, from := range trackers {
			if i == j {
				continue
			}
			crashes, sound := from.Own(now)
			e.Crashes = append(e.Crashes, crashes...)
			e.Sound = append(e.Sound, sound...)
		}
		to.Update(e, now)
	}
}

// quarantined returns a tracker that has just quarantined the segment bad.
func quarantined() *Tracker {
	t := NewTracker()
	for i := range 3 {
		crashUnder(t, fmt.Sprintf("s%d", i), start+clock.Millis(200*i)-600, shared, bad)
	}
	return t
}

// TestCrashesJoinAcrossDaemons has each of three daemons see one crash. None of them alone
// could tell the cause.
func TestCrashesJoinAcrossDaemons(t *testing.T) {
	trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
	now := start
	answer(trackers[2], now, shared)
	for i, tracker := range trackers {
		assert.Equal(t, len(crashUnder(tracker, fmt.Sprintf("s%d", i), now, shared, bad)), 0)
		now += 300
	}
	exchange(now, trackers...)
	exchange(now+400, trackers...)
	for _, tracker := range trackers {
		assert.Assert(t, isBlocked(tracker, shared, bad))
		assert.Assert(t, !isBlocked(tracker, shared, segment(5)))
	}
}

// TestPeerCrashesOutliveTheirReports checks that a daemon that has lost its peers still
// counts the crashes that they reported.
func TestPeerCrashesOutliveTheirReports(t *testing.T) {
	a, b := NewTracker(), NewTracker()
	crashUnder(a, "s1", start, shared, bad)
	crashUnder(a, "s2", start+300, shared, bad)
	exchange(start+500, a, b)
	b.Update(Evidence{}, start+20_000)
	crashUnder(b, "s3", start+20_000, segment(2), bad)
	assert.Assert(t, isBlocked(b, bad))
}

// TestRareCrashesCount has the cause crash one server every 40 s.
func TestRareCrashesCount(t *testing.T) {
	tracker := NewTracker()
	for i := range 3 {
		now := start + clock.Millis(40_000*i)
		tracker.Update(Evidence{}, now)
		crashUnder(tracker, fmt.Sprintf("s%d", i), now, shared, bad)
	}
	assert.Assert(t, isBlocked(tracker, bad))
}

// TestStoredQuarantineAppliesAtStart checks a daemon that starts without evidence.
func TestStoredQuarantineAppliesAtStart(t *testing.T) {
	tracker := NewTracker()
	tracker.Update(Evidence{Stored: map[Part]Quarantine{bad: {start - 10_000, minHold}}}, start)
	assert.Assert(t, isBlocked(tracker, bad))
	tracker.Update(Evidence{}, start+400)
	assert.Assert(t, !isBlocked(tracker, bad), "removed from the store")
}

// TestOneServerCountsOnce checks that several calls which one crash broke off are one crash.
func TestOneServerCountsOnce(t *testing.T) {
	tracker := NewTracker()
	for i := range clock.Millis(5) {
		crashUnder(tracker, "s1", start+2_000*i, shared, bad)
	}
	assert.Assert(t, !isBlocked(tracker, bad))
}

// TestAbandonedAnswerIsSuspect has the daemon abandon an answer shortly before the server
// crashes, as it does with an answer of low confidence.
func TestAbandonedAnswerIsSuspect(t *testing.T) {
	tracker := NewTracker()
	for i := range 3 {
		now := start + clock.Millis(300*i)
		server := ServerStart{ID: fmt.Sprintf("s%d", i)}
		abandoned := tracker.Start(server, []Part{bad}, false, nothing, now)
		abandoned.Begin(now)
		abandoned.End(false, now+5)
		tracker.Start(server, segments(7), false, nothing, now)
		crash, ok := tracker.Suspect(server, now+80)
		assert.Assert(t, ok)
		tracker.Confirm(crash, now+80, now+81)
	}
	assert.Assert(t, isBlocked(tracker, bad))
	assert.Assert(t, !isBlocked(tracker, segment(7)))
}

// TestQuarantineEndsWaitingAttempts checks that requests which still wait at servers are
// ended, and those that a server has answered for a while are not.
func TestQuarantineEndsWaitingAttempts(t *testing.T) {
	tracker := NewTracker()
	ended := map[string]bool{}
	begin := func(name string, parts ...Part) *Run {
		return tracker.Start(ServerStart{ID: "other"}, parts, false, func() { ended[name] = true }, start-5_000)
	}
	waits, other, answered := begin("waiting", bad), begin("other", segment(3)), begin("answered", shared)
	answered.Begin(start - 4_000)
	answered.Progress(start - 1_000)
	for i := range 3 {
		crashUnder(tracker, fmt.Sprintf("s%d", i), start+clock.Millis(200*i), shared, bad)
	}
	assert.DeepEqual(t, ended, map[string]bool{"waiting": true})
	assert.Assert(t, waits.Canceled() && !other.Canceled())
}

// TestTrial lets the time of a quarantine pass. Then one request is let through in each turn,
// by the daemon whose turn it is.
func TestTrial(t *testing.T) {
	ownsSecond := func(_ Part, turn int) bool { return turn == 1 }
	setUp := func() (*Tracker, clock.Millis) {
		tracker := quarantined()
		tracker.Update(Evidence{Owns: ownsSecond}, start)
		_, q, _ := tracker.Blocked([]Part{bad})
		return tracker, q.TrialAt()
	}
	t.Run("one request in the daemon's turn", func(t *testing.T) {
		tracker, due := setUp()
		assert.Assert(t, !tracker.TryTrial([]Part{bad}, due-1))
		assert.Assert(t, !tracker.TryTrial([]Part{bad}, due), "another daemon's turn")
		assert.Assert(t, tracker.TryTrial([]Part{bad}, due+trialTurn))
		assert.Assert(t, !tracker.TryTrial([]Part{bad}, due+trialTurn+10), "only one")
	})
	t.Run("a sound answer releases it", func(t *testing.T) {
		tracker, due := setUp()
		answer(tracker, due+trialTurn, bad)
		tracker.Update(Evidence{Owns: ownsSecond}, due+trialTurn+100)
		assert.Assert(t, !isBlocked(tracker, bad))
		_, released := tracker.Records()
		assert.DeepEqual(t, released, []Part{bad})
	})
	t.Run("a sound answer releases it after many crashes", func(t *testing.T) {
		tracker := quarantined()
		for i := range 3 {
			crashUnder(tracker, fmt.Sprintf("more%d", i), start+clock.Millis(200*i), shared, bad)
		}
		tracker.Update(Evidence{Owns: ownsSecond}, start+700)
		_, q, _ := tracker.Blocked([]Part{bad})
		answer(tracker, q.TrialAt()+100, bad)
		tracker.Update(Evidence{Owns: ownsSecond}, q.TrialAt()+200)
		assert.Assert(t, !isBlocked(tracker, bad))
		tracker.Update(Evidence{Owns: ownsSecond}, q.TrialAt()+600)
		assert.Assert(t, !isBlocked(tracker, bad), "it isn't quarantined again")
	})
	t.Run("a sound answer from before the trial doesn't release it", func(t *testing.T) {
		tracker := quarantined()
		crashUnder(tracker, "more", start, shared, bad)
		_, q, _ := tracker.Blocked([]Part{bad})
		answer(tracker, q.TrialAt()-1_000, bad)
		tracker.Update(Evidence{Owns: ownsSecond}, q.TrialAt()+200)
		assert.Assert(t, isBlocked(tracker, bad))
	})
	t.Run("the store's record doesn't bring it back", func(t *testing.T) {
		tracker, due := setUp()
		answer(tracker, due+trialTurn, bad)
		stored := Evidence{Stored: map[Part]Quarantine{bad: {start, minHold}}}
		tracker.Update(stored, due+trialTurn+100)
		tracker.Update(stored, due+trialTurn+500)
		assert.Assert(t, !isBlocked(tracker, bad))
	})
	t.Run("a crash doubles the time", func(t *testing.T) {
		tracker, due := setUp()
		at := due + trialTurn
		crashUnder(tracker, "s9", at, shared, bad)
		_, q, blocked := tracker.Blocked([]Part{bad})
		assert.Assert(t, blocked)
		assert.Equal(t, q.Hold, 2*minHold)
		assert.Assert(t, !tracker.TryTrial([]Part{bad}, at+trialTurn))
	})
}

// TestFalseSuspicionEnds lists how a quarantined segment that is sound is released.
func TestFalseSuspicionEnds(t *testing.T) {
	t.Run("a peer had answers with it", func(t *testing.T) {
		tracker := quarantined()
		assert.Assert(t, isBlocked(tracker, bad))
		tracker.Update(Evidence{Sound: []SoundRuns{{Part: bad, Count: 4, Age: 100}}}, start+300)
		assert.Assert(t, !isBlocked(tracker, bad))
	})
	t.Run("a peer's older answers with it are reported late", func(t *testing.T) {
		tracker := quarantined()
		tracker.Update(Evidence{Sound: []SoundRuns{{Part: bad, Count: 4, Age: 20_000}, {Part: shared, Count: 4, Age: 20_000}}}, start+2_000)
		assert.Assert(t, !isBlocked(tracker, bad))
	})
	t.Run("another segment explains the crashes", func(t *testing.T) {
		tracker := NewTracker()
		// The cause has the earlier position, so that the later segment is suspected first.
		for i := range 3 {
			crashUnder(tracker, fmt.Sprintf("s%d", i), start+clock.Millis(200*i), bad, segment(5))
		}
		assert.Assert(t, isBlocked(tracker, segment(5)) && !isBlocked(tracker, bad))
		crashUnder(tracker, "s3", start+900, bad, segment(6))
		assert.Assert(t, !isBlocked(tracker, segment(5)) && isBlocked(tracker, bad))
	})
}

// TestOldCrashesQuarantineNothing has the sound runs of a segment be forgotten before the
// crashes that they speak against.
func TestOldCrashesQuarantineNothing(t *testing.T) {
	tracker := NewTracker()
	for i := range 3 {
		answer(tracker, start+clock.Millis(200*i), bad)
	}
	for i := range 4 {
		crashUnder(tracker, fmt.Sprintf("s%d", i), start+clock.Millis(1_000+200*i), shared, bad)
	}
	for now := start + 2_000; now < start+3*crashMemory; now += 400 {
		tracker.Update(Evidence{}, now)
		assert.Assert(t, !isBlocked(tracker, bad), "after %d ms", now-start)
	}
}

// TestQuarantineOutlastsItsEvidence checks that the segment is not released when its crashes
// are forgotten one after the other.
func TestQuarantineOutlastsItsEvidence(t *testing.T) {
	tracker := quarantined()
	for now := start; now < start+2*crashMemory; now += 100 {
		tracker.Update(Evidence{}, now)
		assert.Assert(t, isBlocked(tracker, bad), "after %d ms", now-start)
	}
	tracker.Update(Evidence{}, start+minHold+expiry+1)
	assert.Assert(t, !isBlocked(tracker, bad), "no request has come for long")
}

// TestMemoryIsBounded floods a tracker with requests, crashes and quarantines.
func TestMemoryIsBounded(t *testing.T) {
	tracker := NewTracker()
	now := start
	for i := range uint64(2_000) {
		now += 20
		crashUnder(tracker, fmt.Sprintf("s%d", i), now, segments(i, i+1, i+2, i+3)...)
		answer(tracker, now, segment(100_000+2*i))
		var peers []Crash
		for j := range 100 {
			peers = append(peers, Crash{Server: ServerStart{ID: fmt.Sprintf("p%d-%d", i, j)}, Begun: true, Suspects: suspect(i * 100)})
		}
		tracker.Update(Evidence{Crashes: peers}, now)
	}
	tracker.Update(Evidence{}, now+2*suspectTime)
	assert.Assert(t, len(tracker.own) <= maxCrashes && len(tracker.peers) <= maxCrashes)
	assert.Assert(t, len(tracker.active) <= maxQuarantined)
	assert.Assert(t, len(tracker.nextCheck) <= maxCrashes)
	assert.Equal(t, len(tracker.runs), 0)
	assert.Equal(t, len(tracker.ended), 0)
	long := make([]loadbalance.Segment, 5_000)
	assert.Equal(t, len(Parts(loadbalance.Prompt{Segments: long}, Content{})), maxSegments+2)
}

// TestLastSegmentIsNeverSuspected checks that the private segment of a request is left out.
func TestLastSegmentIsNeverSuspected(t *testing.T) {
	cases := map[string]struct{ segments, want int }{"none": {0, 0}, "one": {1, 0}, "three": {3, 2}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			parts := Parts(loadbalance.Prompt{Segments: make([]loadbalance.Segment, c.segments)}, Content{})
			assert.Equal(t, len(slices.DeleteFunc(parts, Part.IsRequest)), c.want)
		})
	}
}

// TestGivenUpAttemptIsSuspect has attempts given up while they wait for their answers. Their
// servers crash soon afterwards: then they are suspects, but not later, nor if they weren't sent.
func TestGivenUpAttemptIsSuspect(t *testing.T) {
	cases := map[string]struct {
		gaveUp  bool
		runs    clock.Millis // how long the server may run the request after that
		wait    clock.Millis // from the end of the attempt to the crash
		suspect bool
	}{
		"soon afterwards":          {true, 0, 100, true},
		"much later":               {true, 0, suspectTime, false},
		"while it may still run":   {true, 700, 600, true},
		"after it must have ended": {true, 700, 700, false},
		"not sent":                 {false, 0, 100, false},
		"not sent, but may run on": {false, 700, 100, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for i := range clock.Millis(3) {
				now := start + 1_000*i
				server := ServerStart{ID: fmt.Sprintf("s%d", i)}
				r := tracker.Start(server, []Part{request("a", 1)}, false, nothing, now)
				if test.gaveUp {
					r.GiveUp(now+50, now+50+test.runs)
				}
				r.End(false, now+50)
				at := now + 50 + test.wait
				tracker.Start(server, []Part{request("b", int(i))}, false, nothing, at-10)
				crash, ok := tracker.Suspect(server, at)
				assert.Assert(t, ok)
				crash.Pool, crash.Servers = "text", 9
				tracker.Confirm(crash, at, at+1)
			}
			assert.Equal(t, isBlocked(tracker, request("a", 1)), test.suspect)
		})
	}
}
