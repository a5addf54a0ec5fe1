package soak

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	crashDelay   = 60 * time.Millisecond // from the response header, or the moment when it is due, to the crash
	restartDelay = 800 * time.Millisecond
)

// crashCause makes an engine crash soon after it began to run a request that matches. Safe
// for concurrent use.
type crashCause struct {
	matches      func(r *http.Request) bool
	beforeHeader bool // the engine crashes before the response header

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of requests that match, at any engine
}

// crashCauseOf returns the cause that the request matches, and records its arrival. It
// returns nil if there is none.
func (c *cluster) crashCauseOf(r *http.Request) *crashCause {
	causes := c.crashCauses.Load()
	if causes == nil {
		return nil
	}
	for _, p := range *causes {
		if p.matches(r) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.arrivals = append(p.arrivals, time.Now())
			return p
		}
	}
	return nil
}

// answer begins a response and crashes the engine, which starts again later under another ID.
func (p *crashCause) answer(w http.ResponseWriter, e *engine) {
	if !p.beforeHeader {
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(crashDelay)
	if !e.crashOnce() {
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	e.cluster.replaceLater(e)
}

// replaceLater starts an engine at the address of a crashed one after restartDelay.
func (c *cluster) replaceLater(e *engine) {
	go func() {
		time.Sleep(restartDelay)
		c.store.Put("servers", e.id, "")
		c.addEngine(e.address)
	}()
}

// learnedAt returns the time from which on the daemons must know the cause, stableTime after
// the given number of crashes. Zero if there were none.
func (p *crashCause) learnedAt(crashes int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) == 0 {
		return time.Time{}
	}
	return p.crashes[min(len(p.crashes), crashes)-1].Add(stableTime)
}

// arrivalsBetween returns how many requests that match reached engines.
func (p *crashCause) arrivalsBetween(from, to time.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.arrivals {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// restart kills the daemons together and waits until all daemons serve again.
func (c *cluster) restart(daemons ...*daemon) {
	for _, d := range daemons {
		d.signalAndWait(syscall.SIGKILL)
	}
	for _, d := range daemons {
		d.start()
	}
	c.waitUntilServing()
}

// disturbLearning has one daemon learn without the store and one frozen while the others learn
// what crashes engines. It returns when the frozen one woke, once all daemons are in touch.
func (c *cluster) disturbLearning() (woken time.Time) {
	c.daemons[1].storeProxy.setMode(modeDrop)
	c.daemons[2].signal(syscall.SIGSTOP)
	time.Sleep(learnTime - stableTime)
	c.daemons[1].storeProxy.setMode(modeForward)
	woken = time.Now()
	c.daemons[2].signal(syscall.SIGCONT)
	time.Sleep(stableTime)
	return woken
}
