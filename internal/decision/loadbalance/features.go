package loadbalance

import (
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// SetFeatures replaces the optional features that apply.
func (b *Balancer) SetFeatures(f loadfeatures.Features) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.features = f
}

// Features returns the optional features that apply.
func (b *Balancer) Features() loadfeatures.Features {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.features
}

// paceMemory is how long after a server's last statement of its pace the servers of its
// pool count as uneven.
const paceMemory = 60_000 * clock.Millis(1)

// isUneven reports whether requests to the pool are placed by the speed of its servers.
// The caller must hold mu.
func (b *Balancer) isUneven(pool string, now clock.Millis) bool {
	switch b.features.UnevenServers {
	case loadfeatures.On:
		return true
	case loadfeatures.Off:
		return false
	case loadfeatures.Auto:
	}
	at, stated := b.paceStatedAt[pool]
	return stated && now-at < paceMemory
}

// AdaptsToLoad reports whether escalations, retries and re-placements in the pool depend on
// its load.
func (b *Balancer) AdaptsToLoad(pool string, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.adaptsToLoad(pool, now)
}

// adaptsToLoad is AdaptsToLoad. The caller must hold mu.
func (b *Balancer) adaptsToLoad(pool string, now clock.Millis) bool {
	return b.features.SharedCapacity || b.isUneven(pool, now)
}
