package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
		d, kind := c.daemons[rand.IntN(len(c.daemons))], kinds[rand.IntN(len(kinds))]
		callers.Go(func() { c.sendCall(ctx, client, d, kind, results()) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

func (c *cluster) sendCall(ctx context.Context, client *http.Client, d *daemon, kind requestKind, results *rejections) {
	id := fmt.Sprintf("%016x", rand.Uint64())
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

func testServerLimit(t *testing.T, perSecond float64) {
	const callsPerSecond = 80
	c := newCluster(t, daemonBinary, 6)
	c.waitUntilServing()
	ctx, stop := context.WithCancel(t.Context())
	var mu sync.Mutex
	current := &rejections{}
	var callers sync.WaitGroup
	callers.Go(func() {
		c.sendCalls(ctx, callsPerSecond, func() *rejections {
			mu.Lock()
			defer mu.Unlock()
			return current
		})
	})
	defer func() {
		stop()
		callers.Wait()
	}()
	nextPeriod := func() *rejections {
		mu.Lock()
		defer mu.Unlock()
		last := current
		current = &rejections{}
		return last
	}
	value := strconv.FormatFloat(perSecond, 'f', -1, 64)
	limited := &c.engines[0].limit

	// One engine is limited, and all daemons suffer in turn.
	time.Sleep(time.Second)
	limited.set(value)
	limitedAt := time.Now()
	time.Sleep(2 * stableTime)
	c.daemons[1].signalAndWait(syscall.SIGKILL)
	c.daemons[2].signal(syscall.SIGSTOP)
	c.daemons[3].storeProxy.setMode(modeDrop)
	time.Sleep(2 * time.Second)
	c.daemons[1].start()
	c.daemons[2].signal(syscall.SIGCONT)
	c.daemons[3].storeProxy.setMode(modeForward)
	time.Sleep(limitWindow)
	one := nextPeriod()
	most := mostInWindow(limited.between(limitedAt.Add(stableTime), time.Now()))
	t.Logf("one engine limited: %d requests in %v, %.1f allowed; %d of %d served", most, limitWindow, allowedInWindow(perSecond), one.served, one.sent)
	assert.Check(t, float64(most) <= allowedInWindow(perSecond))
	assert.Check(t, float64(one.served) >= 0.9*float64(one.sent), "the others serve the rest")

	// All are limited.
	allAt := time.Now()
	for _, e := range c.engines {
		e.limit.set(value)
	}
	time.Sleep(2 * stableTime)
	nextPeriod()
	calm := time.Now()
	time.Sleep(2 * limitWindow)
	all := nextPeriod()
	used := 0
	for _, e := range c.engines {
		most := mostInWindow(e.limit.between(allAt.Add(stableTime), time.Now()))
		assert.Check(t, float64(most) <= allowedInWindow(perSecond), "%s got %d requests in %v", e.id, most, limitWindow)
		used += len(e.limit.between(calm, time.Now()))
	}
	allowed := perSecond * float64(len(c.engines)) * time.Since(calm).Seconds()
	t.Logf("all engines limited: %d requests used of %.1f; %d of %d rejected, %d late, %d without Retry-After", used, allowed, all.rejected, all.sent, all.late, all.unstated)
	assert.Check(t, float64(used) >= minLimitUse*allowed)
	assert.Check(t, all.late == 0 && all.unstated == 0)

	// The limits end.
	for _, e := range c.engines {
		e.limit.set("")
	}
	time.Sleep(2*stableTime + time.Duration(2/perSecond*float64(time.Second)))
	nextPeriod()
	calm = time.Now()
	time.Sleep(limitWindow)
	ended := nextPeriod()
	back := len(limited.between(calm, time.Now()))
	share := callsPerSecond * limitWindow.Seconds() / float64(len(c.engines))
	t.Logf("limits ended: %d requests of %.0f; %d of %d served", back, share, ended.served, ended.sent)
	assert.Check(t, float64(back) >= share/2)
	assert.Check(t, float64(ended.served) >= 0.95*float64(ended.sent))
}
