// Package loop runs the core: one goroutine that owns the control state, and
// the input and output that its effects ask for.
package loop

import (
	"context"
	"sync/atomic"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/control/core"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
)

const queuedEvents = 4096

// Performer carries out an effect and returns the event that came of it, or nil.
type Performer interface {
	Perform(ctx context.Context, effect core.Effect) core.Event
}

// Loop owns the core. Snapshot, Notify and Ask may be called by any goroutine.
type Loop struct {
	common    *common.Common
	core      *core.Core
	performer Performer
	events    chan core.Event
	asks      chan func(*core.Core)
	snapshot  atomic.Pointer[core.Snapshot]
	dropped   atomic.Int64
}

// New returns a loop around the core; Run must be called for it to work.
func New(c *common.Common, k *core.Core, p Performer) *Loop {
	l := &Loop{
		common:    c,
		core:      k,
		performer: p,
		events:    make(chan core.Event, queuedEvents),
		asks:      make(chan func(*core.Core)),
	}
	l.snapshot.Store(k.Snapshot(c.Clock.Now()))
	return l
}

// Snapshot returns the newest view for traffic goroutines.
func (l *Loop) Snapshot() *core.Snapshot { return l.snapshot.Load() }

// Notify hands an event to the control goroutine without waiting. An event
// that finds the queue full is dropped and counted; the periodic reports will
// bring the same news later.
func (l *Loop) Notify(event core.Event) {
	select {
	case l.events <- event:
	default:
		l.dropped.Add(1)
	}
}

// Deliver hands an event to the control goroutine and waits for room.
func (l *Loop) Deliver(ctx context.Context, event core.Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// Ask runs the function on the control goroutine and waits for it.
func (l *Loop) Ask(ctx context.Context, question func(*core.Core)) error {
	done := make(chan struct{})
	wrapped := func(c *core.Core) {
		question(c)
		close(done)
	}
	select {
	case l.asks <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// Run works until the context ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(clock.Millis(l.common.Settings.Control.TickMs).Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.handle(ctx, core.Tick{})
			l.publish()
		case event := <-l.events:
			l.handle(ctx, event)
			l.publishSoon(event)
		case question := <-l.asks:
			question(l.core)
		}
	}
}

func (l *Loop) handle(ctx context.Context, event core.Event) {
	for _, effect := range l.core.Handle(l.common.Clock.Now(), event) {
		go func() {
			if result := l.performer.Perform(ctx, effect); result != nil {
				l.Deliver(ctx, result)
			}
		}()
	}
}

// publishSoon publishes at once what stops work. The rest waits for the tick,
// since a snapshot costs as much as all its servers.
func (l *Loop) publishSoon(event core.Event) {
	urgent := false
	switch event.(type) {
	case core.DocumentPushed, core.StoreRead, core.ServerSeen, core.NoticeHeard, core.VersionTripped, core.SelfStopping:
		urgent = true
	}
	if urgent {
		l.publish()
	}
}

func (l *Loop) publish() {
	l.snapshot.Store(l.core.Snapshot(l.common.Clock.Now()))
}
