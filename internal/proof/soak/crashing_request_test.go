package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
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
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id := fmt.Sprintf("%016x", rand.Uint64())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddress+path, strings.NewReader("body"))
	if err != nil {
		return false
	}
	r.Host = "desk.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+accountKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	kind := requestKind(strings.Split(path, "/")[1])
	end := responseBody(id)
	if kind.streaming() {
		r.Header.Set("Token-Counts", "900,60")
		r.Header.Set("Prompt-Prefix", fmt.Sprintf("a%d:400,b%d:400,own-%s:100", rand.IntN(3), rand.IntN(20), id))
		end = streamEvent(id, streamEventCount)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(string(body), end)
}

// sendRepeatedly sends requests to random daemons until ctx ends, with the pause between
// them, and counts those that end before ctx.
func (c *cluster) sendRepeatedly(ctx context.Context, pause time.Duration, path func() string, count func() *soundCount) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for ctx.Err() == nil {
		counted := count()
		callers.Go(func() {
			ok := sendWhole(ctx, c.daemons[rand.IntN(len(c.daemons))], path())
			if ctx.Err() == nil {
				counted.add(ok)
			}
		})
		time.Sleep(pause)
	}
}

func (s *soundCount) add(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if ok {
		s.served++
	}
}

// soundPath returns the path of a request that no other has, or that of the popular one.
func soundPath() string {
	switch rand.IntN(4) {
	case 0:
		return popularPath
	case 1:
		return fmt.Sprintf("/draft/%x", rand.Uint64())
	case 2:
		return fmt.Sprintf("/pay/%x", rand.Uint64())
	}
	return fmt.Sprintf("/read/%x", rand.Uint64())
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
	var early, late soundCount
	current := &early
	var mu sync.Mutex
	var callers sync.WaitGroup
	callers.Go(func() { send(ctx) })
	callers.Go(func() {
		c.sendRepeatedly(ctx, soundPause, soundPath, func() *soundCount {
			mu.Lock()
			defer mu.Unlock()
			return current
		})
	})
	defer func() {
		stop()
		callers.Wait()
	}()
	// One daemon learns without the store, and one is frozen while the others learn.
	c.daemons[1].storeProxy.setMode(modeDrop)
	c.daemons[2].signal(syscall.SIGSTOP)
	time.Sleep(learnTime - stableTime)
	c.daemons[1].storeProxy.setMode(modeForward)
	woken := time.Now()
	c.daemons[2].signal(syscall.SIGCONT)
	time.Sleep(stableTime)
	inTouch := time.Now()
	mu.Lock()
	current = &late
	mu.Unlock()
	time.Sleep(stableTime)
	c.restart(c.daemons[0])
	time.Sleep(stableTime)
	c.restart(c.daemons...)
	time.Sleep(stableTime)
	end := time.Now()
	stop()
	callers.Wait()

	t.Logf("sound requests served: %d of %d, later %d of %d", early.served, early.sent, late.served, late.sent)
	for i, cause := range causes {
		// A daemon that wakes passes on requests that arrived while it was frozen.
		n := cause.arrivalsBetween(cause.learnedAt(requestCrashesToLearn), woken) + cause.arrivalsBetween(inTouch, end)
		t.Logf("request %d: %d crashes, %d late arrivals at engines", i, len(cause.crashes), n)
		assert.Check(t, len(cause.crashes) > 0, "request %d crashed no engine", i)
		assert.Check(t, n <= maxLateArrivals, "request %d reached engines late", i)
	}
	assert.Check(t, late.sent > 0 && float64(late.served) >= minLateShareBeforeHeader*float64(late.sent), "sound requests")
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
	assert.Assert(t, popular.sent > 0 && float64(popular.served) >= minPopularShare*float64(popular.sent))
}
