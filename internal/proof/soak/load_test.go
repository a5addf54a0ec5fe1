package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	guestAccount    = "joneses" // floods; the callers of the other account must not starve
	guestAccountKey = "joneses-key"
	floodCallers    = 40
	crowdCallers    = 30
	// unreadLimit is the time after which an engine cuts off a response that isn't read.
	unreadLimit = 2 * time.Second
	// slowPace is the pace that an engine states while its machine is slow, in per cent.
	slowPace = 250
	// paddedEventBytes is the size of the events of some streams: one exceeds what a daemon
	// holds for a caller, so that reading from the engine pauses.
	paddedEventBytes = 60 << 10
	receiveBytes     = 8 << 10
	// starvationTime is how long no request of the account that doesn't flood may be served,
	// if there are starvationRequests or more, before they count as starved.
	starvationTime     = 3 * time.Second
	starvationRequests = 10
)

// engineSpeeds are the speeds of the engines, in the order of their creation.
var engineSpeeds = []float64{0.7, 0.7, 1.7}

// work waits for as long as the engine's work takes that takes the time at speed 1.
func (e *engine) work(d time.Duration) {
	e.mu.Lock()
	pace := e.pace
	e.mu.Unlock()
	time.Sleep(time.Duration(float64(d) / e.speed * float64(max(pace, 100)) / 100))
}

// stateLoad states the engine's load, with its pace as the fourth figure.
func (e *engine) stateLoad(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h.Set("Engine-Load", fmt.Sprintf("%d,0,%d,%d", e.running, engineSlots, max(e.pace, 100)))
}

// padding returns what makes the events of one in sixteen requests large.
func padding(id string) string {
	if id[len(id)-1] != 'f' {
		return ""
	}
	return string(slices.Repeat([]byte{'x'}, paddedEventBytes))
}

// loadActions are draws of callers and engines that compete. They excuse nothing.
var loadActions = []action{
	{"let a client account flood", func(c *cluster, rng *rand.Rand) {
		c.crowd(rng, floodCallers, guestAccountKey, randomDuration(rng, 1_000, 4_000), []*daemon{c.randomDaemon(rng), c.randomDaemon(rng)})
	}, true},
	{"let a crowd arrive", func(c *cluster, rng *rand.Rand) {
		c.crowd(rng, crowdCallers, accountKey, randomDuration(rng, 500, 2_000), c.daemons)
	}, true},
	{"let callers read slowly", func(c *cluster, rng *rand.Rand) {
		var group sync.WaitGroup
		for range 5 {
			id, d, pause := fmt.Sprintf("%015xf", rng.Uint64()>>4), c.randomDaemon(rng), randomDuration(rng, 500, 3_500)
			group.Go(func() { c.sendSlowly(d, id, pause) })
		}
		group.Wait()
	}, true},
	{"slow an engine's machine", func(c *cluster, rng *rand.Rand) {
		if e := c.takeEngine(rng); e != nil {
			e.update(func(e *engine) { e.pace = slowPace })
			time.Sleep(randomDuration(rng, 300, 2_000))
			e.update(func(e *engine) { e.pace = 0 })
			c.returnEngine(e)
		}
	}, true},
}

// crowd has callers with the key send requests to the daemons for the duration.
func (c *cluster) crowd(rng *rand.Rand, callers int, key string, duration time.Duration, daemons []*daemon) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	kind := []requestKind{kindSafe, kindResumableStream, kindAtMostOnce}[rng.IntN(3)]
	var group sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				c.sendRequest(client, daemons[random.IntN(len(daemons))], kind, fmt.Sprintf("%016x", random.Uint64()), key)
				time.Sleep(time.Duration(random.Int64N(int64(50 * time.Millisecond))))
			}
		})
	}
	group.Wait()
}

// sendSlowly requests a resumable stream of large events and reads nothing of it for the pause.
func (c *cluster) sendSlowly(d *daemon, id string, pause time.Duration) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// With larger buffers the caller is merely less slow.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
	}}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	client := &http.Client{Transport: slowBodies{transport, pause}}
	c.sendRequest(client, d, kindResumableStream, id, accountKey)
}

// slowBodies is a transport whose responses are read after a pause.
type slowBodies struct {
	http.RoundTripper
	pause time.Duration
}

// RoundTrip sends the request.
func (s slowBodies) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := s.RoundTripper.RoundTrip(r)
	if err == nil {
		response.Body = &slowBody{ReadCloser: response.Body, pause: s.pause}
	}
	return response, err
}

type slowBody struct {
	io.ReadCloser
	pause time.Duration
}

// Read reads from the body, the first time after the pause.
func (s *slowBody) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	s.pause = 0
	return s.ReadCloser.Read(p)
}

// accountOf returns the client account that holds the key.
func accountOf(key string) string {
	if key == guestAccountKey {
		return guestAccount
	}
	return "smiths"
}

// checkStarvation returns the periods without disruption in which requests of the account that
// doesn't flood ended, and none was served. o.mu must be held.
func (o *oracle) checkStarvation() (violations []string) {
	var ended []*request
	for _, r := range o.requests {
		if r.key != guestAccountKey && !r.endedAt.IsZero() {
			ended = append(ended, r)
		}
	}
	slices.SortFunc(ended, func(a, b *request) int { return a.endedAt.Compare(b.endedAt) })
	first := 0
	for i, r := range ended {
		if r.status == http.StatusOK {
			first = i + 1
			continue
		}
		from, n := ended[first].endedAt, i+1-first
		if n < starvationRequests || r.endedAt.Sub(from) < starvationTime {
			continue
		}
		if !slices.ContainsFunc(ended[first:i+1], func(r *request) bool { return !o.undisturbed(r.daemon, from, ended[i].endedAt) }) {
			violations = append(violations, fmt.Sprintf("%d requests starved from %s to %s", n, from.Format("05.000"), r.endedAt.Format("05.000")))
		}
		first = i + 1
	}
	return violations
}
