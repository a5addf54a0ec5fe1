package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const healthPeriod = 100 * time.Millisecond

// balancer sends to daemons whose health check passes, in turn, as the
// platform's balancer does.
type balancer struct {
	targets []string
	mu      sync.Mutex
	ready   []string
	next    int
}

func newBalancer(targets []string) *balancer { return &balancer{targets: targets, ready: targets} }

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.targets[0]
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

func (b *balancer) watch(ctx context.Context) {
	client := &http.Client{Timeout: healthPeriod * 3}
	for ctx.Err() == nil {
		answers := make([]bool, len(b.targets))
		var asking sync.WaitGroup
		for i, target := range b.targets {
			asking.Add(1)
			go func() {
				defer asking.Done()
				response, err := client.Get(target + "/readyz")
				if err == nil {
					_ = response.Body.Close()
					answers[i] = response.StatusCode == http.StatusOK
				}
			}()
		}
		asking.Wait()
		b.set(answers)
		time.Sleep(healthPeriod)
	}
}

func (b *balancer) set(answers []bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = nil
	for i, ok := range answers {
		if ok {
			b.ready = append(b.ready, b.targets[i])
		}
	}
}
