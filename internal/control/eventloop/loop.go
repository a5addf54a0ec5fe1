// Package eventloop runs the control state machine on one goroutine and executes the
// machine's effects against peers, backend servers and the platform.
package eventloop

import (
	"context"
	"sync/atomic"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
)

const eventQueueSize = 4096

// Executor executes an effect and returns the resulting event, or nil if there is none.
// Execute is called on a goroutine of its own.
type Executor interface {
	Execute(ctx context.Context, effect controlstate.Effect) controlstate.Event
}

// Loop owns the machine and applies events to it one at a time. All methods except Run are
// safe for concurrent use.
type Loop struct {
	common   *common.Common
	machine  *controlstate.Machine
	executor Executor
	events   chan controlstate.Event
	calls    chan func(*controlstate.Machine)
	snapshot atomic.Pointer[controlstate.Snapshot]
	dropped  atomic.Int64
}

// New returns a loop that handles no events until Run is called. Only the loop may use the
// machine from then on.
func New(c *common.Common, m *controlstate.Machine, e Executor) *Loop {
	l := &Loop{
		common:   c,
		machine:  m,
		executor: e,
		events:   make(chan controlstate.Event, eventQueueSize),
		calls:    make(chan func(*controlstate.Machine)),
	}
	l.snapshot.Store(m.Snapshot(c.Clock.Now()))
	return l
}

// Snapshot returns the latest published snapshot.
func (l *Loop) Snapshot() *controlstate.Snapshot { return l.snapshot.Load() }

// TrySend queues an event without blocking. If the queue is full, the event is dropped and
// counted; periodic load reports and pulls deliver the same information later.
func (l *Loop) TrySend(event controlstate.Event) {
	select {
	case l.events <- event:
	default:
		l.dropped.Add(1)
	}
}

// Send queues an event and blocks while the queue is full. The event is lost if the
// context ends first.
func (l *Loop) Send(ctx context.Context, event controlstate.Event) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

// Do calls f on the control goroutine and waits until it returns. It returns the error of
// the context if that ends before the call has started. f must not call Do or keep the
// machine.
func (l *Loop) Do(ctx context.Context, f func(*controlstate.Machine)) error {
	done := make(chan struct{})
	call := func(m *controlstate.Machine) {
		f(m)
		close(done)
	}
	select {
	case l.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// Run handles events, ticks and calls until the context ends. It must be called once.
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
			l.publishIfUrgent(event)
		case f := <-l.calls:
			f(l.machine)
		}
	}
}

// handle applies an event and executes each of its effects on a goroutine of its own.
func (l *Loop) handle(ctx context.Context, event controlstate.Event) {
	for _, effect := range l.machine.Handle(l.common.Clock.Now(), event) {
		go func() {
			if result := l.executor.Execute(ctx, effect); result != nil {
				l.Send(ctx, result)
			}
		}()
	}
}

// publishIfUrgent publishes a snapshot at once after an event that may make the
// daemon reject work. Other changes are published with the next tick, since the cost of a
// snapshot grows with the number of servers.
func (l *Loop) publishIfUrgent(event controlstate.Event) {
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
	l.snapshot.Store(l.machine.Snapshot(l.common.Clock.Now()))
}
