package quarantine

import (
	"bytes"
	"fmt"
	"strconv"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// request returns the part of a call of the account.
func request(account string, number int) Part {
	return RequestPart(Content{Account: account, Target: strconv.Itoa(number)})
}

// crashWhileWaiting has the server crash while the calls wait there for the times.
func crashWhileWaiting(t *Tracker, server string, now clock.Millis, calls map[Part]clock.Millis) {
	start := ServerStart{ID: server, StartedAt: 1}
	var runs []*Run
	for part, wait := range calls {
		runs = append(runs, t.Start(start, []Part{part}, false, nothing, now-wait))
	}
	crash, _ := t.Suspect(start, now)
	for _, r := range runs {
		r.End(false, now)
	}
	crash.Pool, crash.Servers = "text", 6
	t.Confirm(crash, now, now+1)
}

// TestOwnAttemptsSuffice has a call crash three servers by its own attempts, which follow each
// other sooner than crashes with a common cause do.
func TestOwnAttemptsSuffice(t *testing.T) {
	tracker := NewTracker()
	call := request("smiths", 1)
	for i := range 3 {
		assert.Assert(t, !isBlocked(tracker, call))
		crashWhileWaiting(tracker, fmt.Sprintf("s%d", i), start+clock.Millis(12*i), map[Part]clock.Millis{call: 10})
	}
	assert.Assert(t, isBlocked(tracker, call))
	assert.Assert(t, !isBlocked(tracker, request("shrines", 1)), "of another client account")
}

// TestCallBesideOtherCrashes has a call run at three servers that crash, while others crash
// without it. The longer it ran there, the likelier it only happened to be there.
func TestCallBesideOtherCrashes(t *testing.T) {
	cases := map[string]struct {
		wait    clock.Millis
		others  int
		crashes int
		want    bool
	}{
		"short runs":                  {80, 10, 3, true},
		"long runs":                   {2_000, 10, 3, false},
		"long runs, no other crashes": {2_000, 0, 3, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			call := request("smiths", 1)
			for i := range c.others {
				now := start + clock.Millis(700*i)
				crashWhileWaiting(tracker, fmt.Sprintf("other%d", i), now, map[Part]clock.Millis{request("smiths", 100+i): 80})
			}
			for i := range c.crashes {
				now := start + 7_000 + clock.Millis(300*i)
				crashWhileWaiting(tracker, fmt.Sprintf("s%d", i), now, map[Part]clock.Millis{call: c.wait})
			}
			assert.Equal(t, isBlocked(tracker, call), c.want)
		})
	}
}

// TestCompanionIsNotHeld has another client account's call wait at the same three servers, and
// for longer than the cause.
func TestCompanionIsNotHeld(t *testing.T) {
	tracker := NewTracker()
	cause, companion := request("smiths", 1), request("shrines", 2)
	for i := range 3 {
		now := start + clock.Millis(200*i)
		crashWhileWaiting(tracker, fmt.Sprintf("s%d", i), now, map[Part]clock.Millis{cause: 60, companion: 60 + clock.Millis(50*(i%2))})
	}
	assert.Assert(t, isBlocked(tracker, cause) && !isBlocked(tracker, companion))
}

// TestSlowPopularCallIsNotHeld has three servers crash before the first of many copies of a slow
// call has been answered.
func TestSlowPopularCallIsNotHeld(t *testing.T) {
	tracker := NewTracker()
	call := request("smiths", 1)
	for i := range 6 {
		tracker.Start(ServerStart{ID: fmt.Sprintf("up%d", i)}, []Part{call}, false, nothing, start-2_000)
	}
	for i := range 3 {
		crashWhileWaiting(tracker, fmt.Sprintf("s%d", i), start+clock.Millis(700*i-1_400), map[Part]clock.Millis{call: 600})
	}
	assert.Assert(t, !isBlocked(tracker, call))
}

// TestAccountsShareSuspects floods a server with requests of one client account. Those of
// another must still be suspected.
func TestAccountsShareSuspects(t *testing.T) {
	tracker := NewTracker()
	server := ServerStart{ID: "s"}
	tracker.Start(server, []Part{request("shrines", 1)}, false, nothing, start-500)
	for i := range 10 * maxSuspects {
		tracker.Start(server, []Part{request("smiths", i)}, false, nothing, start-400)
	}
	crash, ok := tracker.Suspect(server, start)
	assert.Assert(t, ok && crash.has(request("shrines", 1)))
	assert.Equal(t, len(crash.Suspects), maxSuspects)
}

// TestSoundCallsAreSuspectedLast has a full server crash under a call that no server has
// answered, beside calls that servers have answered.
func TestSoundCallsAreSuspectedLast(t *testing.T) {
	tracker := NewTracker()
	server := ServerStart{ID: "s"}
	tracker.Start(server, []Part{request("smiths", 0)}, false, nothing, start-500)
	for i := range maxSuspects {
		answer(tracker, start-5_000, request("smiths", 1+i))
		tracker.Start(server, []Part{request("smiths", 1+i)}, false, nothing, start-400)
	}
	crash, ok := tracker.Suspect(server, start)
	assert.Assert(t, ok && crash.has(request("smiths", 0)))
}

// TestMemoryIsBoundedByAccount floods a tracker with requests of one client account. What is
// known of another's must stay.
func TestMemoryIsBoundedByAccount(t *testing.T) {
	tracker := NewTracker()
	answer(tracker, start, request("shrines", 1))
	stored := map[Part]Quarantine{request("shrines", 2): {start - 1, minHold}}
	for i := range 20_000 {
		answer(tracker, start, request("smiths", i))
		if i < 2*maxQuarantined {
			stored[request("smiths", i)] = Quarantine{start, minHold}
		}
	}
	for i := range uint64(maxQuarantined) {
		stored[segment(i)] = Quarantine{start, minHold}
	}
	tracker.Update(Evidence{Stored: stored}, start)
	s, ok := tracker.sound.recent(request("shrines", 1), start)
	assert.Assert(t, ok && s.Count == 1)
	assert.Assert(t, isBlocked(tracker, request("shrines", 2)))
	active, _ := tracker.Records()
	ofAccount := 0
	for part := range active {
		if part.account() == request("smiths", 0).account() {
			ofAccount++
		}
	}
	assert.Assert(t, ofAccount <= maxOfAccount && len(active) <= maxQuarantined, "%d of the account, %d in all", ofAccount, len(active))
}

// TestReportsStaySmall has full servers crash under requests with long prompts, one after the
// other. Reports of this must not need the bandwidth of a daemon, 20 KB/s at 2.5 reports.
func TestReportsStaySmall(t *testing.T) {
	const maxBytes = 8_000
	tracker := NewTracker()
	for i := range 32 {
		server := ServerStart{ID: fmt.Sprintf("i-%010d", i), StartedAt: 1_700_000_000_000}
		for j := range 2 * maxSuspects {
			var prompt loadbalance.Prompt
			for _, n := range []int{j % 3, j % 20, 1_000*i + j} {
				prompt.Segments = append(prompt.Segments, loadbalance.Segment{ID: strconv.Itoa(n)})
			}
			tracker.Start(server, Parts(prompt, Content{Target: strconv.Itoa(j % 70)}), false, nothing, start-100)
		}
		crash, _ := tracker.Suspect(server, start)
		tracker.Confirm(crash, start, start)
	}
	crashes, sound := tracker.Own(start + 1)
	assert.Equal(t, len(crashes), 32)
	var report bytes.Buffer
	encoder := msgpack.NewEncoder(&report)
	encoder.SetCustomStructTag("json")
	assert.NilError(t, encoder.Encode(crashes))
	assert.NilError(t, encoder.Encode(sound))
	total := report.Len()
	t.Logf("%d bytes", total)
	assert.Assert(t, total <= maxBytes, "%d bytes", total)
}

// TestLastingRunEndsQuarantine has a segment quarantined that a server has been answering for
// longer than it took the crashes. That answer must go on and end the quarantine.
func TestLastingRunEndsQuarantine(t *testing.T) {
	tracker := NewTracker()
	lasting := tracker.Start(ServerStart{ID: "up"}, segments(1, 9), false, nothing, start-400)
	lasting.Begin(start - 390)
	for i := range 3 {
		crashUnder(tracker, fmt.Sprintf("s%d", i), start-600+clock.Millis(200*i), shared, bad)
	}
	assert.Assert(t, isBlocked(tracker, bad))
	assert.Assert(t, !lasting.Canceled())
	lasting.Progress(start + 200)
	tracker.Update(Evidence{}, start+300)
	assert.Assert(t, !isBlocked(tracker, bad))
}

// explainedByOther returns four crashes, the last ones of the age, of which another request is the
// likelier cause than the given one, which ran at three of the servers.
func explainedByOther(given, other Part, age clock.Millis) (crashes []Crash) {
	for i := range clock.Millis(minCrashes + 1) {
		c := Crash{
			Server: ServerStart{ID: fmt.Sprint("e", i)}, Pool: "text", Servers: 9, Age: age + 1_000 - 100*i, Begun: true,
			Suspects: []Suspect{{Parts: []Part{other}, Wait: 60}},
		}
		if i < minCrashes {
			c.Suspects = append(c.Suspects, Suspect{Parts: []Part{given}, Wait: 60})
		}
		crashes = append(crashes, c)
	}
	return crashes
}

// TestRestartedDaemonKeepsQuarantine has a daemon start again after it quarantined a request. Its
// peers tell it only of crashes that have another cause. It has lost its own notes of crashes for
// which the request was quarantined, and must not release it.
func TestRestartedDaemonKeepsQuarantine(t *testing.T) {
	crashing, other := request("a", 1), request("b", 2)
	tracker := NewTracker()
	tracker.Update(Evidence{
		Crashes: explainedByOther(crashing, other, 12_000), Stored: map[Part]Quarantine{crashing: {start - 12_000, minHold}},
	}, start)
	assert.Assert(t, isBlocked(tracker, crashing))
}

// TestUnknownCrashesKeepQuarantine has a daemon that was cut off from its peers learn from the
// store that a request is quarantined. It knows only later crashes, which have another cause.
func TestUnknownCrashesKeepQuarantine(t *testing.T) {
	crashing, other := request("a", 1), request("b", 2)
	tracker := NewTracker()
	tracker.Update(Evidence{}, start-20_000)
	tracker.Update(Evidence{
		Crashes: explainedByOther(crashing, other, 0), Stored: map[Part]Quarantine{crashing: {start - 12_000, minHold}},
	}, start)
	assert.Assert(t, isBlocked(tracker, other) && isBlocked(tracker, crashing))
}
