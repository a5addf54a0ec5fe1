package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/readall"
)

const (
	// connBytes is what an open connection takes.
	connBytes = 16 << 10
	// frameTimeout bounds the time for the rest of a frame that has begun.
	frameTimeout = 10 * time.Second
	// decodedFactor is how many times the size of its frame a call takes while it is handled.
	decodedFactor = 16
	maxKindBytes  = 64 // of a kind in an error
)

// connCalls serves the calls on one connection.
type connCalls struct {
	server  *Server
	conn    net.Conn
	holding *admission.ConnHolding // nil if nothing is counted
	slots   chan struct{}
	writeMu sync.Mutex

	mu      sync.Mutex // guards the fields below
	reading bool       // a call arrives
	running int        // calls being handled
}

// serveNext reads one call and has it handled by a goroutine of its own. It returns the error that
// ends the connection.
func (c *connCalls) serveNext(ctx context.Context) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	size, err := readFrameSize(c.conn, maxFrameBytes)
	if err != nil {
		return err
	}
	if !c.server.group.Fits(size * decodedFactor) {
		c.server.group.Refuse(admission.RefusedFrame, admission.ConnReading, c.server.clock.Now())
		return errors.Wrap(readall.ErrNoMemory, "read frame")
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	c.update(func() { c.reading = true })
	var call envelope
	held, err := readFrameBody(c.conn, size, &call, c)
	if err != nil {
		return err
	}
	if !c.Grow(held * (decodedFactor - 1)) {
		return errors.Wrap(readall.ErrNoMemory, "decode call")
	}
	c.slots <- struct{}{}
	c.update(func() { c.reading, c.running = false, c.running+1 })
	go func() {
		defer func() { <-c.slots }()
		defer c.update(func() { c.running-- })
		defer c.Shrink(held * decodedFactor)
		c.handle(ctx, call)
	}()
	return nil
}

// Grow counts memory of calls. It returns false if it is refused.
func (c *connCalls) Grow(bytes int64) bool { return c.holding.Grow(bytes, c.server.clock.Now()) }

// Shrink gives back memory of calls.
func (c *connCalls) Shrink(bytes int64) { c.holding.Shrink(bytes) }

// update changes the state of the connection and sets its phase.
func (c *connCalls) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	phase := admission.ConnIdle
	switch {
	case c.reading:
		phase = admission.ConnReading
	case c.running > 0:
		phase = admission.ConnServing
	}
	c.holding.SetPhase(phase, c.server.clock.Now())
}

// handle runs the handler of the call and writes the response. It closes the connection if the
// write fails.
func (c *connCalls) handle(ctx context.Context, call envelope) {
	reply := envelope{ID: call.ID}
	handle, ok := c.server.handlers[call.Kind]
	if !ok {
		reply.Error = "unknown call kind " + string(call.Kind[:min(len(call.Kind), maxKindBytes)])
	} else {
		body, err := c.server.callHandler(ctx, call.Kind, handle, call.Body)
		reply.Body = body
		if err != nil {
			reply.Error = err.Error()
		}
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(c.conn, reply); err != nil {
		_ = c.conn.Close()
	}
}
