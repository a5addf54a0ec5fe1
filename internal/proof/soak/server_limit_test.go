package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// limitWindow is the span in which a limited engine may get limitOverage times its rate,
	// and limitSlack requests more.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// minLimitUse is the least share of the rates allowed that must be used while all engines
	// are limited and callers send more.
	minLimitUse = 0.6
	// immediately bounds the time to a rejection.
	immediately = 400 * time.Millisecond
)

// rateLimit is the limit that an engine states in its responses. Safe for concurrent use.
type rateLimit struct {
	mu       sync.Mutex
	value    string // of the header; none if empty
	arrivals []time.Time
}

// state records the arrival of a request and adds the limit to the response.
func (l *rateLimit) state(h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
	if l.value != "" {
		h.Set("Server-Limit", l.value)
	}
}

func (l *rateLimit) set(value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = value
}

// between returns the arrivals from from on and before to.
func (l *rateLimit) between(from, to time.Time) (arrivals []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.arrivals {
		if !at.Before(from) && at.Before(to) {
			arrivals = append(arrivals, at)
		}
	}
	return arrivals
}

// mostInWindow returns the highest number of the arrivals in any limitWindow.
func mostInWindow(arrivals []time.Time) (most int) {
	first := 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// allowedInWindow returns how many requests may reach an engine in limitWindow.
func allowedInWindow(perSecond float64) float64 {
	return limitOverage*perSecond*limitWindow.Seconds() + limitSlack
}

// rejections collects how the requests of a period were rejected. Safe for concurrent use.
type rejections struct {
	mu         sync.Mutex
	sent       int
	served     int
	rejected   int
	late       int           // rejected later than immediately
	unstated   int           // rejected without a Retry-After
	retryAfter time.Duration // total
}

// sendCalls sends requests of all kinds to any daemon at the rate until ctx ends.
func (c *cluster) sendCalls(ctx context.Context, perSecond int, results func() *rejections) {
	var callers sync.WaitGroup
	defer callers.Wait()
	kinds := []requestKind{kindAtMostOnce, kindSafe, kindResumableStream, kindAtMostOnceStream}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		d, kind := c.daemons[draws.IntN(len(c.daemons))], kinds[draws.IntN(len(kinds))]
		callers.Go(func() { c.sendCall(ctx, client, d, kind, results()) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

func (c *cluster) sendCall(ctx context.Context, client *http.Client, d *daemon, kind requestKind, results *rejections) {
	id := fmt.Sprintf("%016x", draws.Uint64())
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddress+"/"+string(kind)+"/"+id, nil)
	if err != nil {
		return
	}
	r.Host = "desk.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+accountKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	sentAt := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	results.mu.Lock()
	defer results.mu.Unlock()
	results.sent++
	switch response.StatusCode {
	case http.StatusOK:
		results.served++
	case http.StatusServiceUnavailable:
		results.rejected++
		if time.Since(sentAt) > immediately {
			results.late++
		}
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil {
			results.unstated++
		}
		results.retryAfter += time.Duration(seconds * float64(time.Second))
	}
}

// TestServerLimitForAllDaemons has one engine, and then all of them, state a rate limit for
// all daemons together while daemons are killed, frozen and cut off from the store. No engine
// may get more than that allows, the rate must be used, and the load must come back in full
// when the limit ends.
func TestServerLimitForAllDaemons(t *testing.T) {
	for name, perSecond := range map[string]float64{"low rate": 0.5, "high rate": 15} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testServerLimit(t, perSecond)
		})
	}
}

const (
	// limitCallsPerSecond is the rate of the callers in tests of rate limits.
	limitCallsPerSecond = 80
	// limitDaemons is the least number of daemons in them; see the flag -daemons.
	limitDaemons = 6
)

// limitTest is a cluster whose callers send requests all the time.
type limitTest struct {
	*cluster
	perSecond float64 // of each limited engine

	mu      sync.Mutex
	current *rejections
}

func newLimitTest(t *testing.T, perSecond float64, daemons int) *limitTest {
	t.Helper()
	l := &limitTest{cluster: newCluster(t, daemonBinary, daemons), perSecond: perSecond, current: &rejections{}}
	l.waitUntilServing()
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	callers.Go(func() {
		l.sendCalls(ctx, limitCallsPerSecond, func() *rejections {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.current
		})
	})
	t.Cleanup(func() {
		stop()
		callers.Wait()
	})
	return l
}

// nextPeriod returns the results since its last call.
func (l *limitTest) nextPeriod() *rejections {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.current
	l.current = &rejections{}
	return last
}

// limitEngines lets the engines state the limit, or none.
func (l *limitTest) limitEngines(engines []*engine, limited bool) (at time.Time) {
	value := ""
	if limited {
		value = strconv.FormatFloat(l.perSecond, 'f', -1, 64)
	}
	for _, e := range engines {
		e.limit.set(value)
	}
	return time.Now()
}

// checkEngines checks that no engine got more than its limit allows since it was limited.
func (l *limitTest) checkEngines(t *testing.T, engines []*engine, limitedAt time.Time) {
	t.Helper()
	for _, e := range engines {
		most := mostInWindow(e.limit.between(limitedAt.Add(stableTime), time.Now()))
		t.Logf("%s got %d requests in %v, %.1f allowed", e.id, most, limitWindow, allowedInWindow(l.perSecond))
		assert.Check(t, float64(most) <= allowedInWindow(l.perSecond))
	}
}

// disturb kills, freezes and cuts off daemons from the store at the same time.
func (l *limitTest) disturb() {
	l.daemons[1].signalAndWait(syscall.SIGKILL)
	l.daemons[2].signal(syscall.SIGSTOP)
	l.daemons[3].storeProxy.setMode(modeDrop)
	time.Sleep(2 * time.Second)
	l.daemons[1].start()
	l.daemons[2].signal(syscall.SIGCONT)
	l.daemons[3].storeProxy.setMode(modeForward)
	time.Sleep(limitWindow)
}

func testServerLimit(t *testing.T, perSecond float64) {
	l := newLimitTest(t, perSecond, max(limitDaemons, *daemonCount))
	first := l.engines[:1]

	time.Sleep(time.Second)
	limitedAt := l.limitEngines(first, true)
	time.Sleep(2 * stableTime)
	l.disturb()
	one := l.nextPeriod()
	t.Logf("one engine limited: %d of %d served", one.served, one.sent)
	l.checkEngines(t, first, limitedAt)
	assert.Check(t, float64(one.served) >= 0.9*float64(one.sent), "the others serve the rest")

	limitedAt = l.limitEngines(l.engines, true)
	time.Sleep(2 * stableTime)
	l.nextPeriod()
	calm := time.Now()
	time.Sleep(2 * limitWindow)
	all, used := l.nextPeriod(), 0
	l.checkEngines(t, l.engines, limitedAt)
	for _, e := range l.engines {
		used += len(e.limit.between(calm, time.Now()))
	}
	allowed := perSecond * float64(len(l.engines)) * time.Since(calm).Seconds()
	t.Logf("all engines limited: %d requests used of %.1f; %d of %d rejected, %d late, %d without Retry-After", used, allowed, all.rejected, all.sent, all.late, all.unstated)
	assert.Check(t, float64(used) >= minLimitUse*allowed)
	assert.Check(t, all.late == 0 && all.unstated == 0)

	l.limitEngines(l.engines, false)
	time.Sleep(2*stableTime + time.Duration(2/perSecond*float64(time.Second)))
	l.nextPeriod()
	calm = time.Now()
	time.Sleep(limitWindow)
	ended, back := l.nextPeriod(), len(first[0].limit.between(calm, time.Now()))
	share := limitCallsPerSecond * limitWindow.Seconds() / float64(len(l.engines))
	t.Logf("limits ended: %d requests of %.0f; %d of %d served", back, share, ended.served, ended.sent)
	assert.Check(t, float64(back) >= share/2)
	assert.Check(t, float64(ended.served) >= 0.95*float64(ended.sent))
}
