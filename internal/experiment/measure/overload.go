package measure

import (
	"math/rand/v2"
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

const (
	overloadSlots     = 40
	overloadServiceMs = 500.0
	overloadSeconds   = 60
	overloadQueueMs   = 1_000
	overloadDeadline  = 4_000.0
)

// overloadAt runs a pool at a multiple of what it serves. With admission,
// requests that can't start in time are refused at once and one greedy account
// is held to its share; without, all wait in one queue.
func overloadAt(multiple float64) func(string, uint64) map[string]float64 {
	return func(policy string, seed uint64) map[string]float64 {
		r := rand.New(rand.NewPCG(seed, 4))
		p := &pool{random: r, policy: policy, queue: admission.NewQueue()}
		rate := multiple * overloadSlots / overloadServiceMs // a ms
		for now := 0.0; now < overloadSeconds*1000; now += r.ExpFloat64() / rate {
			p.advance(now)
			account := "small"
			if r.Float64() < 0.8 {
				account = "greedy"
			}
			p.arrive(now, account)
		}
		return p.figures()
	}
}

// pool is the model of one pool behind one queue.
type pool struct {
	random  *rand.Rand
	policy  string
	queue   *admission.Queue
	running []float64
	waiting []*waitingRequest
	whole   []float64
	late    int
	refused int
	byName  map[string]int
	asked   map[string]int
}

type waitingRequest struct {
	account string
	at      float64
	waiter  *admission.Waiter
}

func (p *pool) advance(now float64) {
	for {
		i, first := -1, now
		for j, end := range p.running {
			if end <= first {
				i, first = j, end
			}
		}
		if i < 0 {
			return
		}
		p.running = slices.Delete(p.running, i, i+1)
		p.queue.RecordServiceTime(clock.Millis(overloadServiceMs))
		p.startNext(first)
	}
}

// startNext gives the free slot to the waiter whose turn it is.
func (p *pool) startNext(now float64) {
	for len(p.waiting) > 0 {
		i := p.chooseNext()
		w := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		expired := p.policy == "admission" && now-w.at > overloadQueueMs
		p.queue.Remove(w.waiter, !expired)
		if expired {
			p.refused++
			continue
		}
		p.start(now, w.at, w.account)
		return
	}
}

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

func (p *pool) start(now, arrived float64, account string) {
	took := overloadServiceMs * (0.5 + p.random.Float64())
	p.running = append(p.running, now+took)
	whole := now + took - arrived
	p.whole = append(p.whole, whole)
	if whole > overloadDeadline {
		p.late++
		return
	}
	p.byName[account]++
}

func (p *pool) arrive(now float64, account string) {
	if p.byName == nil {
		p.byName, p.asked = map[string]int{}, map[string]int{}
	}
	p.asked[account]++
	if len(p.running) < overloadSlots {
		p.start(now, now, account)
		return
	}
	if p.policy == "admission" && p.queue.ExpectedWait(account, 1, 0, overloadSlots) > overloadQueueMs {
		p.refused++
		return
	}
	w := &waitingRequest{account, now, p.queue.Enqueue(account, 1, 0)}
	p.waiting = append(p.waiting, w)
}

func (p *pool) figures() map[string]float64 {
	slices.Sort(p.whole)
	inTime := p.byName["greedy"] + p.byName["small"]
	return map[string]float64{
		"goodput_rps":  float64(inTime) / overloadSeconds,
		"p99_ms":       percentile(p.whole, 0.99),
		"small_served": float64(p.byName["small"]) / float64(max(p.asked["small"], 1)),
		"refused":      float64(p.refused) / float64(max(p.asked["small"]+p.asked["greedy"], 1)),
	}
}
