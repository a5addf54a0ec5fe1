// Package keeper holds the control state of a daemon: the one goroutine that
// changes the view by which traffic decides.
package viewstate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// tickPeriod is how often the state is looked at without an event.
const tickPeriod = 200 * time.Millisecond

// Manager publishes views. Only its own goroutine changes the state.
type Manager struct {
	log    hclog.Logger
	clock  clock.Clock
	view   atomic.Pointer[fleet.View]
	events chan func(*State)
	state  *State
	lost   atomic.Bool // a followed table has been out of touch for a while
}

// New returns a keeper with an empty view.
func New(log hclog.Logger, c clock.Clock) *Manager {
	k := &Manager{log: log, clock: c, events: make(chan func(*State), eventBacklog)}
	k.state = newState(log)
	k.view.Store(k.state.view)
	return k
}

// eventBacklog is how many events may wait; the senders wait beyond that.
const eventBacklog = 64

// View returns the newest view.
func (k *Manager) View() *fleet.View { return k.view.Load() }

// IsCurrent tells whether the configuration is being followed, so that what it
// doesn't hold doesn't exist.
func (k *Manager) IsCurrent() bool { return !k.lost.Load() }

// Apply has the keeper's goroutine change the state.
func (k *Manager) Apply(ctx context.Context, change func(*State)) {
	select {
	case k.events <- change:
	case <-ctx.Done():
	}
}

// TryApply has the keeper's goroutine change the state. It never waits: the change
// is dropped while many others wait, since whoever saw its cause sees it again.
func (k *Manager) TryApply(change func(*State)) {
	select {
	case k.events <- change:
	default:
		k.log.Warn("event dropped; the control state is behind")
	}
}

// Run applies changes until the context ends.
func (k *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-k.events:
			k.state.now = k.clock.Now()
			change(k.state)
		case <-ticker.C:
			k.state.now = k.clock.Now()
			k.state.tick()
		}
		k.view.Store(k.state.view)
		k.lost.Store(k.state.isOutOfTouch())
	}
}
