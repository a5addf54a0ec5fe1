package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/proof/loopback"
	"gypsumpitch.example/gypsumpitch/platform/standin"
)

const (
	accountKey  = "smiths-key"
	poolName    = "desk"
	engineCount = 4
	// Versions of the configuration increase in steps.
	configVersionStep = 3
	callerCount       = 12
	// recoveryTimeout is within the documented time to recover after the last fault.
	recoveryTimeout = 12 * time.Second
)

// cluster is a deployment of daemons, engines and a store to which faults are applied.
type cluster struct {
	t        *testing.T
	oracle   *oracle
	store    *standin.Store
	daemons  []*daemon
	withLoad bool // competing callers are drawn too

	crashCauses atomic.Pointer[[]*crashCause] // nil unless a test sets it

	returnMu sync.Mutex // held while the store is in an older state

	mu             sync.Mutex
	engines        []*engine // those that no action has taken; guarded by mu
	enginesCreated int
	configVersion  int
	rotatedKeys    []rotatedKey // of the newest configuration, oldest first
}

// rotatedKey is an API key that a configuration adds and a later one revokes.
type rotatedKey struct {
	key     string
	addedAt time.Time
}

// maxRotatedKeys is the number of rotated keys in a configuration.
const maxRotatedKeys = 4

// rotateKeys adds a key and revokes the oldest one beyond maxRotatedKeys. c.mu must be held.
func (c *cluster) rotateKeys() {
	c.rotatedKeys = append(c.rotatedKeys, rotatedKey{fmt.Sprintf("key-%d", c.configVersion), time.Now()})
	if len(c.rotatedKeys) > maxRotatedKeys {
		c.oracle.recordRevocation(c.rotatedKeys[0].key)
		c.rotatedKeys = c.rotatedKeys[1:]
	}
}

// chooseKey returns the permanent key, or the rotated one that is revoked next if all
// daemons have had the time to learn it.
func (c *cluster) chooseKey(permanent bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if permanent || len(c.rotatedKeys) == 0 || time.Since(c.rotatedKeys[0].addedAt) < settlingTime {
		return accountKey
	}
	return c.rotatedKeys[0].key
}

func newCluster(t *testing.T, binary string, daemons int) *cluster {
	t.Helper()
	return newClusterWith(t, binary, daemons, false)
}

// newClusterWith is newCluster, with competing callers and shared capacity if withLoad is set.
func newClusterWith(t *testing.T, binary string, daemons int, withLoad bool) *cluster {
	t.Helper()
	c := &cluster{t: t, oracle: newOracle(), store: standin.NewStore(t), withLoad: withLoad}
	sharedCapacity := "off"
	if withLoad {
		sharedCapacity = "on"
	}
	for range maxRotatedKeys {
		c.writeNextConfiguration()
	}
	for range engineCount {
		c.addEngineAnywhere()
	}
	dir := t.TempDir()
	for i := range daemons {
		c.daemons = append(c.daemons, newDaemon(t, binary, dir, i, c.store.Address(), sharedCapacity))
	}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, e := range c.engines {
			e.crash()
		}
	})
	return c
}

// guestKey returns the client account key that only one version of the configuration has.
func guestKey(configVersion int) string { return fmt.Sprintf("guest-%d", configVersion) }

// writeNextConfiguration writes a new version of the configuration. Versions differ only
// in a route without requests and in the keys.
func (c *cluster) writeNextConfiguration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configVersion += configVersionStep
	c.rotateKeys()
	keys := fmt.Sprintf("%q,%q", accountKey, guestKey(c.configVersion))
	for _, k := range c.rotatedKeys {
		keys += fmt.Sprintf(",%q", k.key)
	}
	route := func(name, kind string, options string) string {
		return fmt.Sprintf(`{"name":%q,"host":"desk.example","prefix":"/%s/","kind":%q,"service":%q,"timeoutMs":6000,"targetLatencyMs":300,%s}`, name, name, kind, poolName, options)
	}
	c.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s,%s],"services":[{"name":%q}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"smiths","apiKeys":[%s]},{"name":%q,"apiKeys":[%q]}]}`, c.configVersion,
		route("pay", "unsafe", `"maxAttempts":3`), route("read", "safe", `"maxAttempts":3`),
		route("draft", "streaming", `"maxAttempts":3,"resumable":true,"gapAimMs":400`),
		route("song", "streaming", `"maxAttempts":3,"gapAimMs":400`),
		route(fmt.Sprintf("unused-%d", c.configVersion), "safe", `"maxAttempts":1`), poolName, keys, guestAccount, guestAccountKey))
}

// addEngine starts and registers an engine, unless it can't listen on the address.
func (c *cluster) addEngine(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enginesCreated++
	e, err := startEngine(c, fmt.Sprintf("engine-%d", c.enginesCreated), poolName, address)
	if err != nil {
		return
	}
	c.engines = append(c.engines, e)
	c.register(e, "ready")
}

// addEngineAnywhere starts and registers an engine at a free address.
func (c *cluster) addEngineAnywhere() { c.addEngine(loopback.FreeAddress(c.t)) }

// register writes the engine's registration to the store. c.mu must be held.
func (c *cluster) register(e *engine, state string) {
	c.store.Put("servers", e.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dc-%d","version":"v1","slots":%d,"state":%q,"born":%d}`,
		e.pool, e.address, c.enginesCreated%dataCentreCount, engineSlots, state, e.startedAt.UnixMilli()))
}

// takeEngine removes an engine from the list, so that no other action affects it. It
// returns nil if too few engines would remain.
func (c *cluster) takeEngine(rng *rand.Rand) *engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.engines) <= engineCount/2 {
		return nil
	}
	i := rng.IntN(len(c.engines))
	e := c.engines[i]
	c.engines = append(c.engines[:i:i], c.engines[i+1:]...)
	return e
}

// returnEngine makes an engine from takeEngine available to other actions.
func (c *cluster) returnEngine(e *engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, e)
}

// waitUntilServing waits until each daemon has served a request. It reports a violation if
// one does not within recoveryTimeout.
func (c *cluster) waitUntilServing() {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: time.Second}
	deadline := time.Now().Add(recoveryTimeout)
	for _, d := range c.daemons {
		for {
			id := fmt.Sprintf("%016x", draws.Uint64())
			before := c.oracle.servedCount()
			c.sendRequest(client, d, kindSafe, id, accountKey)
			if c.oracle.servedCount() > before {
				break
			}
			if time.Now().After(deadline) {
				c.oracle.reportf("%s does not serve requests %v after the last fault", d.name, recoveryTimeout)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (o *oracle) servedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served
}

// run sends callers' requests while it starts random actions for the duration, waits for
// the recovery, and returns the violations.
func (c *cluster) run(seed uint64, duration time.Duration) []string {
	c.waitUntilServing()
	ctx, stop := context.WithCancel(context.Background())
	var callers, running sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { c.runCaller(ctx, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	actions := actionsFor(seed)
	if c.withLoad {
		actions = append(slices.Clone(actions), loadActions...)
	}
	deadline := time.Now().Add(duration)
	for time.Now().Before(deadline) {
		a := actions[rng.IntN(len(actions))]
		actionRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		c.t.Logf("%s %s", time.Now().Format("05.000"), a.name)
		running.Go(func() { a.run(c, actionRNG) })
		time.Sleep(time.Duration(rng.Int64N(int64(maxActionInterval))))
	}
	running.Wait()
	for _, d := range c.daemons {
		d.signal(syscall.SIGCONT)
		d.start()
	}
	c.waitUntilServing()
	stop()
	callers.Wait()
	return c.oracle.check()
}

// isConnectionRefused reports whether the daemon did not listen, so that nothing was sent.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
