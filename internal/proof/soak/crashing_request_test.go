package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	crashTestDaemons = 5
	// requestCrashesToLearn is the number of crashes after which, and stableTime later, at most
	// maxLateArrivals of the same request may reach engines.
	requestCrashesToLearn = 3
	// popularPath is the path of a sound request that is sent again and again.
	popularPath = "/read/popular"
	// minPopularShare is the least share of it that must be served while engines end for
	// other causes.
	minPopularShare = 0.9
	soundPause      = 20 * time.Millisecond // between two sound requests
)

// sendWhole sends a request with the path to the daemon and reports whether the caller got
// the complete response.
func sendWhole(ctx context.Context, d *daemon, path string) bool {
	id := fmt.Sprintf("%016x", draws.Uint64())
	prompt, end := "", responseBody(id)
	if requestKind(strings.Split(path, "/")[1]).streaming() {
		prompt = fmt.Sprintf("a%d:400,b%d:400,own-%s:100", draws.IntN(3), draws.IntN(20), id)
		end = streamEvent(id, streamEventCount)
	}
	body, ok := post(ctx, d, id, path, "body", prompt)
	return ok && strings.HasSuffix(body, end)
}

// sendRepeatedly sends requests to random daemons until ctx ends, with the pause between
// them, and counts those that end before ctx.
func (c *cluster) sendRepeatedly(ctx context.Context, pause time.Duration, path func() string, count func() *soundCount) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for ctx.Err() == nil {
		counted := count()
		callers.Go(func() {
			ok := sendWhole(ctx, c.daemons[draws.IntN(len(c.daemons))], path())
			if ctx.Err() == nil {
				counted.add(ok)
			}
		})
		time.Sleep(pause)
	}
}

// soundPath returns the path of a request that no other has, or that of the popular one.
func soundPath() string {
	switch draws.IntN(4) {
	case 0:
		return popularPath
	case 1:
		return fmt.Sprintf("/draft/%x", draws.Uint64())
	case 2:
		return fmt.Sprintf("/pay/%x", draws.Uint64())
	}
	return fmt.Sprintf("/read/%x", draws.Uint64())
}

// TestRequestThatCrashesEngines sends the same request again and again, which crashes every
// engine that runs it. Daemons lose the store, are frozen, and are killed one at a time and
// all together. From a while after the third crash it must reach no engine, and other
// requests must be served.
func TestRequestThatCrashesEngines(t *testing.T) {
	cases := map[string]struct {
		paths        []string
		pause        time.Duration // between two requests with the same path
		beforeHeader bool
		engines      int
	}{
		"often, before the header": {[]string{"/read/crash"}, 80 * time.Millisecond, true, 6},
		"own attempts only":        {[]string{"/read/crash"}, 2500 * time.Millisecond, true, 6},
		"every kind, after it":     {[]string{"/read/crash", "/pay/crash", "/draft/crash", "/song/crash"}, 400 * time.Millisecond, false, 9},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var causes []*crashCause
			for _, path := range test.paths {
				causes = append(causes, &crashCause{
					matches: func(r *http.Request) bool { return r.URL.Path == path }, beforeHeader: test.beforeHeader,
				})
			}
			c := newCluster(t, daemonBinary, crashTestDaemons)
			for range test.engines - engineCount {
				c.addEngineAnywhere()
			}
			testCrashingRequests(t, c, causes, func(ctx context.Context) {
				var callers sync.WaitGroup
				for _, path := range test.paths {
					callers.Go(func() {
						c.sendRepeatedly(ctx, test.pause, func() string { return path }, func() *soundCount { return &soundCount{} })
					})
				}
				callers.Wait()
			})
		})
	}
}

func testCrashingRequests(t *testing.T, c *cluster, causes []*crashCause, send func(ctx context.Context)) {
	t.Helper()
	c.crashCauses.Store(&causes)
	c.waitUntilServing()
	ctx, stop := context.WithCancel(t.Context())
	var sound soundPeriods
	var callers sync.WaitGroup
	callers.Go(func() { send(ctx) })
	callers.Go(func() { c.sendRepeatedly(ctx, soundPause, soundPath, sound.current) })
	defer func() {
		stop()
		callers.Wait()
	}()
	woken := c.disturbLearning()
	inTouch := time.Now()
	sound.beginLate()
	time.Sleep(stableTime)
	c.restart(c.daemons[0])
	time.Sleep(stableTime)
	c.restart(c.daemons...)
	time.Sleep(stableTime)
	end := time.Now()
	stop()
	callers.Wait()

	t.Logf("sound requests served: %d of %d, later %d of %d", sound.early.served, sound.early.sent, sound.late.served, sound.late.sent)
	for i, cause := range causes {
		// A daemon that wakes passes on requests that arrived while it was frozen.
		n := cause.arrivalsBetween(cause.learnedAt(requestCrashesToLearn), woken) + cause.arrivalsBetween(inTouch, end)
		t.Logf("request %d: %d crashes, %d late arrivals at engines", i, len(cause.crashes), n)
		assert.Check(t, len(cause.crashes) > 0, "request %d crashed no engine", i)
		assert.Check(t, n <= maxLateArrivals, "request %d reached engines late", i)
	}
	assert.Check(t, sound.late.reaches(minLateShareBeforeHeader), "sound requests")
	if t.Failed() {
		c.keepLogs("crashing-requests")
	}
}

// TestPopularRequestBesideCrashes has engines end every 0.7 s for a cause that is no request,
// while the same sound request runs at each of them. It must be served.
func TestPopularRequestBesideCrashes(t *testing.T) {
	c := newCluster(t, daemonBinary, crashTestDaemons)
	for range 2 {
		c.addEngineAnywhere()
	}
	c.waitUntilServing()
	ctx, stop := context.WithTimeout(t.Context(), 12*time.Second)
	defer stop()
	var popular, other soundCount
	var callers sync.WaitGroup
	callers.Go(func() {
		c.sendRepeatedly(ctx, soundPause, func() string { return popularPath }, func() *soundCount { return &popular })
	})
	callers.Go(func() {
		c.sendRepeatedly(ctx, soundPause, soundPath, func() *soundCount { return &other })
	})
	for ctx.Err() == nil {
		time.Sleep(700 * time.Millisecond)
		c.mu.Lock()
		e := c.engines[0]
		c.engines = c.engines[1:]
		c.mu.Unlock()
		e.crashOnce()
		c.replaceLater(e)
	}
	callers.Wait()
	t.Logf("served: %d of %d, other requests %d of %d", popular.served, popular.sent, other.served, other.sent)
	assert.Assert(t, popular.reaches(minPopularShare))
}
