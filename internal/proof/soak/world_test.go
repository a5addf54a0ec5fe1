package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/proof/loopback"
	"gypsumpitch.example/gypsumpitch/platform/standin"
)

const (
	accountKey  = "smiths-key"
	pool        = "desk"
	engineCount = 4
	callerCount = 12
	// recoverTime is within what the users' pages allow after all has ended.
	recoverTime = 12 * time.Second
)

// world is a deployment under faults.
type world struct {
	t       *testing.T
	oracle  *oracle
	store   *standin.Store
	daemons []*daemon

	mu      sync.Mutex
	engines []*engine
	named   int // engines so far
	version int // of the configuration
}

func newWorld(t *testing.T, binary string, daemons int) *world {
	t.Helper()
	w := &world{t: t, oracle: newOracle(), store: standin.NewStore(t)}
	w.configure()
	for range engineCount {
		w.addEngine(loopback.FreeAddress(t))
	}
	dir := t.TempDir()
	for i := range daemons {
		w.daemons = append(w.daemons, newDaemon(t, binary, dir, i, w.store.Address()))
	}
	t.Cleanup(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, e := range w.engines {
			e.crash()
		}
	})
	return w
}

// configure writes the next configuration, which differs in a route that nobody uses.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	route := func(name, kind string, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"desk.example","prefix":"/%s/","kind":%q,"service":%q,"timeoutMs":6000,"targetLatencyMs":300,%s}`, name, name, kind, pool, more)
	}
	w.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s,%s],"services":[{"name":%q}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"smiths","apiKeys":[%q]}]}`, w.version,
		route("pay", "unsafe", `"maxAttempts":3`), route("read", "safe", `"maxAttempts":3`),
		route("draft", "streaming", `"maxAttempts":3,"resumable":true,"gapAimMs":400`),
		route("song", "streaming", `"maxAttempts":3,"gapAimMs":400`),
		route(fmt.Sprintf("unused-%d", w.version), "safe", `"maxAttempts":1`), pool, accountKey))
}

// addEngine starts an engine at the address; one that can't listen isn't there.
func (w *world) addEngine(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.named++
	e, err := startEngine(w, fmt.Sprintf("engine-%d", w.named), pool, address)
	if err != nil {
		return
	}
	w.engines = append(w.engines, e)
	w.register(e, "ready")
}

func (w *world) register(e *engine, state string) {
	w.store.Put("servers", e.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dc-%d","version":"v1","slots":%d,"state":%q,"born":%d}`,
		e.pool, e.address, w.named%dataCentres, engineSlots, state, time.Now().UnixMilli()))
}

// takeEngine removes an engine from the list, so that no other fault strikes it, or
// returns nil where too few would be left.
func (w *world) takeEngine(chance *rand.Rand) *engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.engines) <= engineCount/2 {
		return nil
	}
	i := chance.IntN(len(w.engines))
	e := w.engines[i]
	w.engines = append(w.engines[:i:i], w.engines[i+1:]...)
	return e
}

func (w *world) giveBack(e *engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines = append(w.engines, e)
}

// waitServing waits until all daemons serve.
func (w *world) waitServing(limit time.Duration) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, d := range w.daemons {
		for {
			id := fmt.Sprintf("%016x", rand.Uint64())
			before := w.oracle.count()
			w.request(client, d, read, id)
			if w.oracle.count() > before {
				break
			}
			if time.Now().After(until) {
				w.oracle.fault("%s doesn't serve %v after the last fault", d.name, limit)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (o *oracle) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served
}

// play lets callers call while faults strike, and returns what doesn't hold.
func (w *world) play(seed uint64, length time.Duration) []string {
	w.waitServing(recoverTime)
	ctx, stop := context.WithCancel(context.Background())
	var callers, faults sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { w.call(ctx, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	chance := rand.New(rand.NewPCG(seed, 1<<32))
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		f := acts[chance.IntN(len(acts))]
		own := rand.New(rand.NewPCG(chance.Uint64(), 0))
		w.t.Logf("%s %s", time.Now().Format("05.000"), f.name)
		faults.Go(func() { f.strike(w, own) })
		time.Sleep(time.Duration(chance.Int64N(int64(mostBetween))))
	}
	faults.Wait()
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
		d.start()
	}
	w.waitServing(recoverTime)
	stop()
	callers.Wait()
	return w.oracle.check()
}

// isRefusedConnection tells whether no connection was made.
func isRefusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
