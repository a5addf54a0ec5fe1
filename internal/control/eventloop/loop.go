// Package eventloop runs the core: one goroutine that owns the control state, and
// the input and output that its effects ask for.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
)

const queuedEvents = 4096

// Executor carries out an effect and returns the event that came of it, or nil.
type Executor interface {
	Execute(ctx context.Context, effect controlstate.Effect) controlstate.Event
}

// Loop owns the core. Snapshot, Notify and Ask may be called by any goroutine.
type Loop struct {
	common    *common.Common
	core      *controlstate.Machine
	performer Executor
	events    chan controlstate.Event
	asks      chan func(*controlstate.Machine)
	snapshot  atomic.Pointer[controlstate.Snapshot]
	dropped   atomic.Int64
}

// New returns a loop around the core; Run must be called for it to work.
func New(c *common.Common, k *controlstate.Machine, p Executor) *Loop {
	l := &Loop{
		common:    c,
		core:      k,
		performer: p,
		events:    make(chan controlstate.Event, queuedEvents),
		asks:      make(chan func(*controlstate.Machine)),
	}
	l.snapshot.Store(k.Snapshot(c.Clock.Now()))
	return l
}

// Snapshot returns the newest view for traffic goroutines.
func (l *Loop) Snapshot() *controlstate.Snapshot { return l.snapshot.Load() }

// TrySend hands an event to the control goroutine without waiting. An event
// that finds the queue full is dropped and counted; the periodic reports will
// bring the same news later.
func (l *Loop) TrySend(event controlstate.Event) {
	select {
	case l.events <- event:
	default:
		l.dropped.Add(1)
	}
}

// Send hands an event to the control goroutine and waits for room.
func (l *Loop) Send(ctx context.Context, event controlstate.Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// Do runs the function on the control goroutine and waits for it.
func (l *Loop) Do(ctx context.Context, question func(*controlstate.Machine)) error {
	done := make(chan struct{})
	wrapped := func(c *controlstate.Machine) {
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
			l.handle(ctx, controlstate.Tick{})
			l.publish()
		case event := <-l.events:
			l.handle(ctx, event)
			l.publishSoon(event)
		case question := <-l.asks:
			question(l.core)
		}
	}
}

func (l *Loop) handle(ctx context.Context, event controlstate.Event) {
	for _, effect := range l.core.Handle(l.common.Clock.Now(), event) {
		go func() {
			if result := l.performer.Execute(ctx, effect); result != nil {
				l.Send(ctx, result)
			}
		}()
	}
}

// publishSoon publishes at once what stops work. The rest waits for the tick,
// since a snapshot costs as much as all its servers.
func (l *Loop) publishSoon(event controlstate.Event) {
	urgent := false
	switch event.(type) {
	case controlstate.DocumentReceived, controlstate.StoreReadDone, controlstate.CallFinished, controlstate.ServerUpdateReceived, controlstate.VersionTripped, controlstate.ShutdownStarted:
		urgent = true
	}
	if urgent {
		l.publish()
	}
}

func (l *Loop) publish() {
	l.snapshot.Store(l.core.Snapshot(l.common.Clock.Now()))
}
