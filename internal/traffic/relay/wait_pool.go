package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	// maxWaiting bounds the requests that wait for one pool in a daemon. Each keeps its body
	// in memory.
	maxWaiting = 512
	// waitPeriod is how often the waiting requests are checked, and the first of them tries to
	// get a place. It also bounds the delay after new reports of peers.
	waitPeriod = 25 * clock.Millis(1)
	// forecastPeriod is how often the expected waits of all waiting requests are checked.
	forecastPeriod = 200 * clock.Millis(1)
	// maxFailures is the number of requests that find no place before the others in the queue
	// are not tried until the next event.
	maxFailures = 3
	// roomLifetime is how long a computed Room is used.
	roomLifetime = 10 * clock.Millis(1)
)

// signal tells a waiting request what to do.
type signal int

const (
	trySignal   signal = iota // to get a place; ends with waitPool.finishTurn
	checkSignal               // whether it may wait any longer
	lateSignal                // it is expected to be too late
)

// waiter is the value of a waiting request.
type waiter struct {
	signals     chan signal
	latestStart clock.Millis
	forecast    func(wait clock.Millis) admission.Forecast
	failedIn    uint64 // the last round in which it found no place
	constrained bool   // only some of the pool's servers may serve it
	evicted     atomic.Bool
}

type waiting = admission.Waiting[*waiter]

// notify sends the signal unless another one is pending: the next check repeats it.
func (w *waiter) notify(s signal) bool {
	select {
	case w.signals <- s:
		return true
	default:
		return false
	}
}

// waitPool holds the requests that wait for one pool. In a round, the requests get the turn
// to choose a server one after the other, in order, until maxFailures of them found none.
type waitPool struct {
	relay   *Relay
	name    string
	queue   *admission.WaitQueue[*waiter]
	returns admission.ReturnSchedule

	mu        sync.Mutex
	round     uint64
	turn      *waiting // whose turn it is; nil between rounds
	failures  int
	isDue     bool // another round follows this one
	isTicking bool
	catalog   *catalog.Catalog // at the last check
	checkedAt clock.Millis     // of the expected waits
	room      loadbalance.Room
	roomAt    clock.Millis
}

// waitPools are the waitPools by pool.
type waitPools struct {
	mu    sync.Mutex
	pools map[string]*waitPool
}

// pool returns the waitPool of the pool.
func (p *waitPools) pool(r *Relay, name string) *waitPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools == nil {
		p.pools = make(map[string]*waitPool)
	}
	w, ok := p.pools[name]
	if !ok {
		w = &waitPool{relay: r, name: name, queue: admission.NewWaitQueue[*waiter](maxWaiting)}
		p.pools[name] = w
	}
	return w
}

// roomFor returns the pool's Room, which may be roomLifetime old.
func (p *waitPool) roomFor(now clock.Millis) loadbalance.Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roomAt != 0 && now-p.roomAt < roomLifetime {
		return p.room
	}
	r := p.relay
	view := r.View()
	if view.Catalog == nil {
		return loadbalance.Room{}
	}
	pool, ok := view.Catalog.Pool(p.name)
	if !ok {
		return loadbalance.Room{}
	}
	p.room = r.Balancer.Room(view, loadbalance.Request{Pool: pool, Self: r.Host, Hosts: view.HostNames(), Now: now})
	p.roomAt = now
	return p.room
}

// conditions returns the conditions under which the requests are ordered now.
func (p *waitPool) conditions(now clock.Millis) admission.Conditions {
	room := p.roomFor(now)
	return admission.Conditions{
		Now: now, FreePrefill: room.FreePrefill,
		ReliefPeriod: admission.ReliefPeriod(len(p.relay.View().HostNames()), room.StartsPerSecond),
		Usage:        func(account string) admission.Usage { return p.relay.accountUsage(p.name, account, room, now) },
	}
}

// startsPerSecond returns how many requests of this daemon are expected to get a place per
// second: as lately, or its part of what the pool can start. 0 is unknown.
func (p *waitPool) startsPerSecond(now clock.Millis) float64 {
	room := p.roomFor(now)
	if room.StartsPerSecond <= 0 {
		return 0
	}
	hosts := max(len(p.relay.View().HostNames()), 1)
	return max(p.queue.StartsPerSecond(now), room.StartsPerSecond/float64(hosts))
}

// expectedWait returns the expected wait with that many requests ahead; 0 if unknown.
func (p *waitPool) expectedWait(ahead int, now clock.Millis) clock.Millis {
	perSecond := p.startsPerSecond(now)
	if perSecond <= 0 {
		return 0
	}
	return clock.Millis(1000 * float64(ahead+1) / perSecond)
}

// wake starts a round, since a place may be free.
func (p *waitPool) wake() {
	p.mu.Lock()
	isDue := p.turn != nil
	p.isDue = isDue
	p.mu.Unlock()
	if !isDue && p.queue.Len() > 0 {
		p.nextTurn(true)
	}
}

// nextTurn gives the turn to the first request that hasn't failed in this round.
func (p *waitPool) nextTurn(newRound bool) {
	conditions := p.conditions(p.relay.Clock.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.turn != nil {
		return
	}
	if newRound {
		p.round++
		p.failures = 0
	}
	if p.failures >= maxFailures {
		return
	}
	next := p.queue.Next(conditions, func(w *waiting) bool { return w.Value.failedIn == p.round })
	if next != nil && next.Value.notify(trySignal) {
		p.turn = next
	}
}

// finishTurn ends the turn of the request, if it has it, and passes it on. found reports
// whether it leaves the queue.
func (p *waitPool) finishTurn(w *waiting, found bool) {
	p.mu.Lock()
	if p.turn != w {
		p.mu.Unlock()
		return
	}
	p.turn = nil
	if !found {
		w.Value.failedIn = p.round
		if !w.Value.constrained {
			p.failures++
		}
	}
	newRound := p.isDue
	p.isDue = false
	p.mu.Unlock()
	p.nextTurn(newRound)
}

// startTicking checks the requests every waitPeriod until none waits.
func (p *waitPool) startTicking() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isTicking {
		return
	}
	p.isTicking = true
	go func() {
		ticker := time.NewTicker(waitPeriod.Duration())
		defer ticker.Stop()
		for range ticker.C {
			if p.stopTicking() {
				return
			}
			p.check(p.relay.Clock.Now())
			p.wake()
		}
	}()
}

// stopTicking reports whether no request waits, so that the checks can end.
func (p *waitPool) stopTicking() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isTicking = p.queue.Len() > 0
	return !p.isTicking
}

// check tells the requests that may have to leave the queue.
func (p *waitPool) check(now clock.Millis) {
	r := p.relay
	_, stopping := r.shutdownTime()
	p.mu.Lock()
	all := stopping || r.rejecting.Load() || p.catalog != r.View().Catalog
	p.catalog = r.View().Catalog
	forecast := now-p.checkedAt >= forecastPeriod
	if forecast {
		p.checkedAt = now
	}
	p.mu.Unlock()
	list := p.queue.All()
	if forecast {
		list = p.queue.Ordered(p.conditions(now))
	}
	for i, w := range list {
		switch {
		case all || now >= w.Value.latestStart:
			w.Value.notify(checkSignal)
		case forecast && w.Value.forecast(p.expectedWait(i, now)).IsTooLate():
			w.Value.notify(lateSignal)
		}
	}
}
