package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Each of the machines of the deployment has been replaced by another one twelve times.
	removedMachines = 12 * machines
	removedAtATime  = 6 * machines

	// badPart is the part of prompts that crashes engines.
	badPart       = "badc0de1"
	badShare      = 8 // one request in so many has it
	maxLateBad    = 3 // by BUDGET
	loadTime      = 40 * time.Second
	calmLoadTime  = 8 * time.Second // at its beginning, without the part
	stableWindow  = 3 * time.Second
	crashDownTime = 3 * time.Second
)

// playRemovedMachines sends prompts with a part that crashes engines to a deployment. With trouble,
// machines were removed from it for good before.
func playRemovedMachines(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure()
	if trouble {
		if err := d.removeMachines(); err != nil {
			return false, err
		}
	}
	c := &crashCase{runs: &runs{record: r}, record: r}
	for i := range engineCount {
		if err := d.addEngine(fmt.Sprintf("i-%d", i+1), "pitch", zones[i%len(zones)], 64, c.serve); err != nil {
			return false, err
		}
	}
	if err := d.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	c.load(d)
	return c.check(), nil
}

// removeMachines starts machines and removes them for good, some at a time.
func (d *deployment) removeMachines() error {
	for from := 0; from < removedMachines; from += removedAtATime {
		var group []*daemon
		for i := from; i < from+removedAtATime; i++ {
			n, err := newDaemon(fmt.Sprintf("edge-%s-old-%d", zones[i%len(zones)], i), zones[i%len(zones)], d.store.address, d.dir)
			if err != nil {
				return err
			}
			if err := n.start(); err != nil {
				return err
			}
			group = append(group, n)
		}
		for _, n := range group {
			if err := n.awaitReady(readyTime); err != nil {
				return err
			}
		}
		time.Sleep(1500 * time.Millisecond)
		for _, n := range group {
			n.kill()
			// The address of a removed machine doesn't respond.
			listener, err := net.Listen("tcp", n.peer)
			if err != nil {
				return err
			}
			d.silent = append(d.silent, listener)
		}
		d.record.note("%d machines were removed for good", len(group))
	}
	return nil
}

// crashCase is a case in which prompts with one part crash engines.
type crashCase struct {
	*runs
	record  *record
	mu      sync.Mutex
	crashes []time.Time
	bad     []time.Time // arrivals of requests with the bad part at engines
	sound   []soundRequest
}

// soundRequest is a request without the bad part.
type soundRequest struct {
	sentAt time.Time
	begun  bool
	status int
}

// serve is what an engine does with a stream. It crashes once it has written the first event of an
// answer on the bad part, and is back after crashDownTime.
func (c *crashCase) serve(e *engine, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	isBad := strings.Contains(q.Header.Get("Prompt-Prefix"), badPart)
	run := c.begin(e.id, id, "")
	if isBad {
		c.mu.Lock()
		c.bad = append(c.bad, time.Now())
		c.mu.Unlock()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Engine-Stamp", e.stamp(id))
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if !sleep(q.Context(), 60*time.Millisecond) {
		c.end(run, "its connection closed")
		return
	}
	for n := last + 1; n <= streamEvents; n++ {
		_, _ = io.WriteString(w, event(id, n))
		_ = http.NewResponseController(w).Flush()
		if isBad {
			c.end(run, "it crashes the engine")
			go c.crash(e)
			<-q.Context().Done()
			return
		}
		if !sleep(q.Context(), eventPause) {
			c.end(run, "its connection closed")
			return
		}
	}
	c.end(run, "it is complete")
}

// crash has the engine crash and come back.
func (c *crashCase) crash(e *engine) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	c.record.note("%s crashes", e.id)
	e.crash()
	time.Sleep(crashDownTime)
	if err := e.start(e.address); err != nil {
		c.record.note("%s can't start again: %v", e.id, err)
	}
}

// load sends requests to the daemons, some of them with the bad part.
func (c *crashCase) load(d *deployment) {
	rng := rand.New(rand.NewPCG(1, 2))
	var clients sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < loadTime; i++ {
		q := request{id: fmt.Sprintf("%016x", rng.Uint64()), method: http.MethodPost, path: "/draft/1", body: fmt.Sprint(i), deadline: 12 * time.Second}
		bad := i%badShare == badShare-1 && time.Since(began) > calmLoadTime
		q.prompt = fmt.Sprintf("5c1e07a2:512,%08x:100,%08x:288", 0x77000000+rng.IntN(20), rng.Uint32())
		if bad {
			q.prompt = fmt.Sprintf("5c1e07a2:512,%s:100,%08x:288", badPart, rng.Uint32())
		}
		n := d.daemons[rng.IntN(len(d.daemons))]
		clients.Go(func() {
			sentAt := time.Now()
			got := d.send(n, q)
			if bad {
				c.record.note("client gets %d for bad %s at %s", got.status, q.id, n.name)
				return
			}
			runs := c.of(q.id)
			c.mu.Lock()
			c.sound = append(c.sound, soundRequest{sentAt, len(runs) > 0, got.status})
			c.mu.Unlock()
		})
		time.Sleep(time.Duration(30+rng.IntN(40)) * time.Millisecond)
	}
	clients.Wait()
}

// check reports whether more requests with the bad part reached engines than BUDGET allows.
func (c *crashCase) check() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.show("%d crashes, %d arrivals of bad requests", len(c.crashes), len(c.bad))
	if len(c.crashes) < 5 {
		return false
	}
	from, late := c.crashes[4].Add(stableWindow), 0
	for _, at := range c.bad {
		if at.After(from) {
			late++
		}
	}
	c.record.show("%d of them later than %v after the fifth crash", late, stableWindow)
	count := func(from, to time.Time) (n, begun int) {
		for _, s := range c.sound {
			if s.sentAt.After(from) && s.sentAt.Before(to) {
				n++
				if s.begun {
					begun++
				}
			}
		}
		return n, begun
	}
	n0, b0 := count(time.Time{}, c.crashes[0])
	n1, b1 := count(c.crashes[4].Add(2*stableWindow), time.Now())
	c.record.show("sound requests that began: %d of %d before, %d of %d later", b0, n0, b1, n1)
	return late > maxLateBad
}
