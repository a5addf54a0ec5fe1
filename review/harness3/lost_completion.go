package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	rolloutDuration = 16 * time.Second
	copyAge         = 5 * time.Second // of the copy from which the store comes back
	awayTime        = time.Second
	recoveryTime    = 12 * time.Second // recoveryS of the small deployments
	watchTime       = 40 * time.Second // after that
	silentEntries   = 3 * heartbeat    // after which the store removes an entry
	shortEvents     = 10
)

// lostCompletion is a case in which the store loses that a roll-out is completed.
type lostCompletion struct {
	*runs
	d *deployment

	mu       sync.Mutex
	requests []sentRequest
}

type sentRequest struct {
	at     time.Time
	served bool
}

// playLostCompletion brings a good version in. With trouble, all daemons are killed after it is
// completed while the store comes back from an older copy.
func playLostCompletion(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	c := &lostCompletion{runs: &runs{record: r}, d: d}
	d.configure()
	if err := c.addEngines("v1"); err != nil {
		return false, err
	}
	if err := d.startDaemons(7); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.copyStore(ctx)
	var clients sync.WaitGroup
	for i := range streamClients {
		clients.Go(func() { c.runClient(ctx, i) })
	}
	old := d.engines
	if err := c.addEngines("v2"); err != nil {
		return false, err
	}
	r.note("the operator orders a roll-out to v2 in %v", rolloutDuration)
	d.store.put("op", "rollout/pitch", map[string]any{"service": "pitch", "target": "v2", "durationS": int(rolloutDuration.Seconds())})
	if err := c.awaitCompletion(); err != nil {
		return false, err
	}
	for _, e := range old {
		e.crash()
	}
	r.note("the old engines have stopped")
	go c.expireEntries(old)
	time.Sleep(1500 * time.Millisecond)
	fault := time.Now()
	if trouble {
		if err := c.strike(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recoveryTime + watchTime)
	stop()
	clients.Wait()
	return c.check(fault, back.Add(recoveryTime)), nil
}

// addEngines starts the engines of the version.
func (c *lostCompletion) addEngines(version string) error {
	for i := range engineCount {
		if err := c.d.addEngineOf(version, fmt.Sprintf("i-%s-%d", version, i+1), "pitch", zones[i%len(zones)], 64, c.serve); err != nil {
			return err
		}
	}
	return nil
}

// copyStore keeps copies of the store.
func (c *lostCompletion) copyStore(ctx context.Context) {
	for sleep(ctx, 500*time.Millisecond) {
		c.d.store.copyRows()
	}
}

// awaitCompletion waits until the daemons have written that the roll-out is completed.
func (c *lostCompletion) awaitCompletion() error {
	for end := time.Now().Add(rolloutDuration + 2*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status := c.d.store.value("status", "rollout/pitch"); strings.Contains(status, "completed") {
			c.record.note("status/rollout/pitch is %s", status)
			return nil
		}
	}
	return errors.New("the roll-out wasn't completed")
}

// expireEntries removes the entries of engines that have stopped, also those that come back with a
// copy.
func (c *lostCompletion) expireEntries(old []*engine) {
	for range 3 {
		time.Sleep(silentEntries)
		for _, e := range old {
			c.d.store.put("servers", e.id, nil)
		}
	}
}

// strike kills all daemons while the store is away, and starts them again once it is back.
func (c *lostCompletion) strike() error {
	c.record.note("all daemons are killed, and the store is away")
	c.d.store.leave()
	for _, n := range c.d.daemons {
		n.kill()
	}
	time.Sleep(awayTime)
	c.d.store.comeBack(copyAge)
	c.record.note("the store is back from a copy that is %v old: status/rollout/pitch is %s", copyAge, c.d.store.value("status", "rollout/pitch"))
	for _, n := range c.d.daemons {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range c.d.daemons {
		if err := n.awaitReady(readyTime); err != nil {
			return err
		}
	}
	c.record.note("all daemons are ready again")
	return nil
}

// serve is what an engine does with a stream.
func (c *lostCompletion) serve(e *engine, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	_, _ = io.Copy(io.Discard, q.Body)
	run := c.begin(e.id, id, "")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Engine-Stamp", e.stamp(id))
	for n := last + 1; n <= shortEvents; n++ {
		if !sleep(q.Context(), 20*time.Millisecond) {
			c.end(run, "its connection closed")
			return
		}
		_, _ = io.WriteString(w, event(id, n))
		_ = http.NewResponseController(w).Flush()
	}
	c.end(run, "it is complete")
}

// runClient sends one stream after the other.
func (c *lostCompletion) runClient(ctx context.Context, client int) {
	n := c.d.daemons[client%len(c.d.daemons)]
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("9c41d07b%04x%04x", client, i)
		at := time.Now()
		got := c.d.send(n, request{
			id: id, method: http.MethodPost, path: "/draft/1", body: "a gate", deadline: 25 * time.Second,
			prompt: fmt.Sprintf("5c1e07a2:512,%08x:388", client<<16+i),
		})
		served := got.err == nil && got.status == http.StatusOK && got.body == events(id, 1, shortEvents)
		c.record.note("client got %d from %s for %s, served: %v %s", got.status, n.name, id, served, failureOf(got))
		c.mu.Lock()
		c.requests = append(c.requests, sentRequest{at, served})
		c.mu.Unlock()
		time.Sleep(700 * time.Millisecond)
	}
}

// failureOf returns why an answer is no success.
func failureOf(a answer) string {
	switch {
	case a.err != nil:
		return a.err.Error()
	case a.status != http.StatusOK:
		return a.body
	}
	return ""
}

// check reports whether less than a quarter is served after the recovery, though a quarter or more
// was before the fault.
func (c *lostCompletion) check(fault, recovered time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var before, after, servedBefore, servedAfter int
	for _, q := range c.requests {
		switch {
		case q.at.Before(fault):
			before++
			if q.served {
				servedBefore++
			}
		case q.at.After(recovered):
			after++
			if q.served {
				servedAfter++
			}
		}
	}
	c.record.show("served before the fault: %d of %d; later than %v after the daemons were back: %d of %d", servedBefore, before, recoveryTime, servedAfter, after)
	return 4*servedBefore >= before && 4*servedAfter < after
}
