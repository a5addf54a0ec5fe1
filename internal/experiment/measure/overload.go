package measure

import (
	"math/rand/v2"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	overloadSlots      = 40
	overloadServiceMs  = 500.0 // mean service time
	overloadSeconds    = 60
	overloadMaxWaitMs  = 1_000
	overloadDeadlineMs = 4_000.0 // for an answer to count as goodput
)

// overloadAt returns an experiment that runs a pool at a multiple of its capacity. With the
// policy "admission", requests that cannot start in time are refused at once, and each account
// is held to its share. Otherwise all requests wait in one queue.
func overloadAt(multiple float64) func(string, uint64) map[string]float64 {
	return func(policy string, seed uint64) map[string]float64 {
		r := rand.New(rand.NewPCG(seed, 4))
		p := &pool{random: r, policy: policy, queue: admission.NewQueue()}
		rate := multiple * overloadSlots / overloadServiceMs // requests per ms
		for now := 0.0; now < overloadSeconds*1000; now += r.ExpFloat64() / rate {
			p.advance(now)
			account := "small"
			if r.Float64() < 0.8 {
				account = "greedy"
			}
			p.arrive(now, account)
		}
		return p.results()
	}
}

// pool is a queueing model of a pool behind one queue.
type pool struct {
	random      *rand.Rand
	policy      string
	queue       *admission.Queue
	running     []float64 // end times in ms
	waiting     []*waitingRequest
	latenciesMs []float64 // from arrival to the complete answer
	late        int       // answers after the deadline
	refused     int
	inTime      map[string]int // answers within the deadline, by account
	arrived     map[string]int // requests, by account
}

type waitingRequest struct {
	account   string
	arrivedAt float64
	waiter    *admission.Waiter
}

// advance ends the requests that are due by now, in order, and starts waiting ones in the
// slots that become free.
func (p *pool) advance(now float64) {
	for {
		i, firstEnd := -1, now
		for j, end := range p.running {
			if end <= firstEnd {
				i, firstEnd = j, end
			}
		}
		if i < 0 {
			return
		}
		p.running = slices.Delete(p.running, i, i+1)
		p.queue.RecordServiceTime(clock.Millis(overloadServiceMs))
		p.startNext(firstEnd)
	}
}

// startNext starts the next waiting request. With admission, requests that have waited too
// long are refused first.
func (p *pool) startNext(now float64) {
	for len(p.waiting) > 0 {
		i := p.chooseNext()
		w := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		expired := p.policy == "admission" && now-w.arrivedAt > overloadMaxWaitMs
		p.queue.Remove(w.waiter, !expired)
		if expired {
			p.refused++
			continue
		}
		p.start(now, w.arrivedAt, w.account)
		return
	}
}

// chooseNext returns the index of the waiting request that the queue wakes next. Without
// admission, that is the oldest one.
func (p *pool) chooseNext() int {
	if p.policy != "admission" {
		return 0
	}
	p.queue.WakeNext()
	for i, w := range p.waiting {
		select {
		case <-w.waiter.Wake:
			return i
		default:
		}
	}
	return 0
}

func (p *pool) start(now, arrivedAt float64, account string) {
	serviceMs := overloadServiceMs * (0.5 + p.random.Float64())
	p.running = append(p.running, now+serviceMs)
	latencyMs := now + serviceMs - arrivedAt
	p.latenciesMs = append(p.latenciesMs, latencyMs)
	if latencyMs > overloadDeadlineMs {
		p.late++
		return
	}
	p.inTime[account]++
}

// arrive starts a new request if a slot is free. Otherwise the request is refused or queued.
func (p *pool) arrive(now float64, account string) {
	if p.inTime == nil {
		p.inTime, p.arrived = map[string]int{}, map[string]int{}
	}
	p.arrived[account]++
	if len(p.running) < overloadSlots {
		p.start(now, now, account)
		return
	}
	if p.policy == "admission" && p.queue.ExpectedWait(account, 1, 0, overloadSlots) > overloadMaxWaitMs {
		p.refused++
		return
	}
	w := &waitingRequest{account, now, p.queue.Enqueue(account, 1, 0)}
	p.waiting = append(p.waiting, w)
}

func (p *pool) results() map[string]float64 {
	slices.Sort(p.latenciesMs)
	inTime := p.inTime["greedy"] + p.inTime["small"]
	return map[string]float64{
		"goodput_rps":  float64(inTime) / overloadSeconds,
		"p99_ms":       percentile(p.latenciesMs, 0.99),
		"small_served": float64(p.inTime["small"]) / float64(max(p.arrived["small"], 1)),
		"refused":      float64(p.refused) / float64(max(p.arrived["small"]+p.arrived["greedy"], 1)),
	}
}
