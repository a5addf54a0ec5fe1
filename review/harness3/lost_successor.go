package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEvents = 40
	eventPause   = 50 * time.Millisecond
	// silence is how long a sound engine falls silent.
	silence = 2 * time.Second
	// Answers are lost by losingEngines of engineCount engines, lostPercent of the requests that
	// they run, for lossTime at a time.
	engineCount   = 9
	losingEngines = 5
	lostPercent   = 40
	lossTime      = 6 * time.Second
	lossPeriods   = 4
	calmTime      = 6 * time.Second // between two periods
	streamClients = 30
	// overlapAllowed is how long the engine before may still work once another goes on, by TWICE.
	overlapAllowed = 400 * time.Millisecond
)

// lostSuccessor is a case in which sound engines fall silent in the middle of their streams and go
// on, while other engines lose answers.
type lostSuccessor struct {
	*runs
	d *deployment

	losing atomic.Bool              // answers are lost now
	silent map[string]*atomic.Int64 // by engine: until when it is silent, in ms since the epoch
}

// playLostSuccessor plays the case. Without trouble, no answer is lost.
func playLostSuccessor(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	c := &lostSuccessor{runs: &runs{record: r}, d: d, silent: make(map[string]*atomic.Int64)}
	d.configure()
	for i := range engineCount {
		id := fmt.Sprintf("i-%d", i+1)
		c.silent[id] = &atomic.Int64{}
		if err := d.addEngine(id, "pitch", zones[i%len(zones)], 64, c.serve); err != nil {
			return false, err
		}
	}
	if err := d.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range streamClients {
		clients.Go(func() { c.runClient(ctx, i) })
	}
	for i := range lossPeriods {
		time.Sleep(calmTime)
		c.playPeriod(i, trouble)
	}
	time.Sleep(calmTime)
	stop()
	clients.Wait()
	return c.check(), nil
}

// playPeriod has two sound engines fall silent, one after the other. With trouble, others lose
// answers meanwhile.
func (c *lostSuccessor) playPeriod(n int, trouble bool) {
	if trouble {
		c.record.note("the engines i-1 to i-%d lose answers of %d%% of the requests that they run", losingEngines, lostPercent)
		c.losing.Store(true)
	}
	end := time.After(lossTime)
	for i := range 2 {
		id := fmt.Sprintf("i-%d", losingEngines+1+(2*n+i)%(engineCount-losingEngines))
		time.Sleep(300 * time.Millisecond)
		c.record.note("%s falls silent for %v and works on", id, silence)
		c.silent[id].Store(time.Now().Add(silence).UnixMilli())
		time.Sleep(silence)
	}
	<-end
	c.losing.Store(false)
	c.record.note("no more answers are lost")
}

// runClient sends one stream after the other.
func (c *lostSuccessor) runClient(ctx context.Context, client int) {
	n := c.d.daemons[client%len(c.d.daemons)]
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("9c41d07b%04x%04x", client, i)
		got := c.d.send(n, request{
			id: id, method: http.MethodPost, path: "/draft/1", body: "a gate", deadline: 25 * time.Second,
			prompt: fmt.Sprintf("5c1e07a2:512,%08x:388", client<<16+i),
		})
		whole := got.err == nil && got.status == http.StatusOK && got.body == events(id, 1, streamEvents)
		c.record.note("client got %d from %s for %s, whole and right: %v", got.status, n.name, id, whole)
	}
}

// loses reports whether the engine loses its answer to the request.
func (c *lostSuccessor) loses(e *engine, id string) bool {
	number, _ := strconv.Atoi(e.id[len("i-"):])
	if number > losingEngines || !c.losing.Load() {
		return false
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, e.id+id)
	return h.Sum32()%100 < lostPercent
}

// awaitVoice waits while the engine is silent. It reports false if the context ended before.
func (c *lostSuccessor) awaitVoice(ctx context.Context, e *engine) bool {
	pause := time.Until(time.UnixMilli(c.silent[e.id].Load()))
	return pause <= 0 || sleep(ctx, pause)
}

// serve is what an engine does with a stream. It drops the request when its connection closes.
func (c *lostSuccessor) serve(e *engine, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	_, _ = io.Copy(io.Discard, q.Body)
	run := c.begin(e.id, id, fmt.Sprintf(" after event %d", last))
	lost := c.loses(e, id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Engine-Stamp", e.stamp(id))
	for n := last + 1; n <= streamEvents; n++ {
		if !sleep(q.Context(), eventPause) || !c.awaitVoice(q.Context(), e) {
			c.end(run, "its connection closed")
			return
		}
		if !lost {
			_, _ = io.WriteString(w, event(id, n))
			_ = http.NewResponseController(w).Flush()
		}
	}
	if lost {
		c.end(run, "it is complete, and its answer is lost")
		panic(http.ErrAbortHandler)
	}
	c.end(run, "it is complete")
}

// check reports whether two engines worked on a request at the same time for longer than TWICE
// allows the one before.
func (c *lostSuccessor) check() (broken bool) {
	byRequest := make(map[string][]*run)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.all {
		for _, before := range byRequest[r.request] {
			overlap := min(before.ended.Sub(r.begun), r.ended.Sub(r.begun))
			if before.engine != r.engine && overlap > overlapAllowed {
				c.record.show("TWICE: %s went on at %s, and both that engine and %s worked on it for %d ms", r.request, r.engine, before.engine, overlap.Milliseconds())
				broken = true
			}
		}
		byRequest[r.request] = append(byRequest[r.request], r)
	}
	c.record.show("%d requests in %d runs", len(byRequest), len(c.all))
	return broken
}

// sleep reports false if the context ended before the time was over.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
