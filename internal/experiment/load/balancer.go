package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const healthCheckInterval = 100 * time.Millisecond

// balancer distributes requests round-robin over the daemons that pass their health check,
// like the platform's load balancer. Safe for concurrent use.
type balancer struct {
	targets []string
	mu      sync.Mutex
	ready   []string // guarded by mu
	next    int      // guarded by mu
}

func newBalancer(targets []string) *balancer { return &balancer{targets: targets, ready: targets} }

// pick returns the next ready target, or the first target if none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.targets[0]
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// runHealthChecks checks all targets periodically until ctx is done.
func (b *balancer) runHealthChecks(ctx context.Context) {
	client := &http.Client{Timeout: healthCheckInterval * 3}
	for ctx.Err() == nil {
		healthy := make([]bool, len(b.targets))
		var checks sync.WaitGroup
		for i, target := range b.targets {
			checks.Add(1)
			go func() {
				defer checks.Done()
				response, err := client.Get(target + "/readyz")
				if err == nil {
					_ = response.Body.Close()
					healthy[i] = response.StatusCode == http.StatusOK
				}
			}()
		}
		checks.Wait()
		b.setHealthy(healthy)
		time.Sleep(healthCheckInterval)
	}
}

func (b *balancer) setHealthy(healthy []bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = nil
	for i, ok := range healthy {
		if ok {
			b.ready = append(b.ready, b.targets[i])
		}
	}
}
