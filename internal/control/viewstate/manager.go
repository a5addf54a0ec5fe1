// Package viewstate maintains a daemon's view of the configuration, the backend
// servers, the roll-outs and the hosts. A single goroutine applies all changes and
// publishes an immutable view after each. It serves program/entry; the state of
// program/daemon is in package controlstate.
package viewstate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// tickPeriod is the interval of time-based state changes.
const tickPeriod = 200 * time.Millisecond

// Manager publishes views of the state. Safe for concurrent use; only the
// goroutine that calls Run changes the state.
type Manager struct {
	log     hclog.Logger
	clock   clock.Clock
	view    atomic.Pointer[fleet.View]
	changes chan func(*State)
	state   *State
	stale   atomic.Bool // changes in the store may have been missed
}

// New returns a manager with an empty view. Once recovery is over after a store outage,
// changes must again be applied in time.
func New(log hclog.Logger, c clock.Clock, recovery clock.Millis) *Manager {
	m := &Manager{log: log, clock: c, changes: make(chan func(*State), changeQueueSize)}
	m.state = newState(log, recovery)
	m.view.Store(m.state.view)
	return m
}

// changeQueueSize is the number of changes that may be queued. When the queue is
// full, Apply blocks and TryApply drops the change.
const changeQueueSize = 64

// View returns the latest view.
func (m *Manager) View() *fleet.View { return m.view.Load() }

// IsCurrent reports whether the view is up to date with the store, so that what
// is missing from it does not exist.
func (m *Manager) IsCurrent() bool { return !m.stale.Load() }

// Apply queues a change of the state. It blocks while the queue is full, until ctx
// is done.
func (m *Manager) Apply(ctx context.Context, change func(*State)) {
	select {
	case m.changes <- change:
	case <-ctx.Done():
	}
}

// TryApply queues a change of the state without blocking. If the queue is full, the
// change is dropped: a caller that observes the same condition again retries.
func (m *Manager) TryApply(change func(*State)) {
	select {
	case m.changes <- change:
	default:
		m.log.Warn("change queue is full; change dropped")
	}
}

// Run applies queued changes until ctx is done. It must be called only once.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-m.changes:
			m.state.now = m.clock.Now()
			change(m.state)
		case <-ticker.C:
			m.state.now = m.clock.Now()
			m.state.tick()
		}
		m.view.Store(m.state.View())
		m.stale.Store(m.state.isStale())
	}
}
