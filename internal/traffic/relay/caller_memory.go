package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/logging"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

// callerMemory is the memory that this daemon holds for its callers' responses.
type callerMemory struct {
	budget   admission.MemoryBudget
	behind   atomic.Int64 // streams whose callers are behind
	pauses   atomic.Int64 // reads from servers that were paused
	rejected atomic.Int64 // requests rejected since the budget was used up

	behindLog, fullLog logging.Limit
}

// SetConnBudget makes the memory for responses count in the budget, too. It must be called before
// requests are served.
func (r *Relay) SetConnBudget(b *admission.ConnBudget) { r.memory.budget.SetParent(b) }

// SetMemoryLimit sets how many bytes the relay may hold for its callers' responses; 0 means no
// limit.
func (r *Relay) SetMemoryLimit(bytes int64) { r.memory.budget.SetLimit(bytes) }

// errCallerTooSlow means that the caller had not read the response by the deadline.
var errCallerTooSlow = errors.New("the caller had not read the response by its deadline")

// errNoMemory means that the memory for responses has no room for an unusually large one.
var errNoMemory = errors.New("the memory for responses is used up")

// heldMemory counts memory of one request beyond requestBytes. It implements readall.Memory. It
// isn't safe for concurrent use. A nil one and one without a budget count nothing.
type heldMemory struct {
	budget *admission.MemoryBudget
	bytes  int
}

// set counts the bytes in place of those before. It reports false and changes nothing if they
// exceed the budget.
func (h *heldMemory) set(bytes int) bool {
	if h == nil || h.budget == nil {
		return true
	}
	bytes = max(bytes, 0)
	if bytes > h.bytes && !h.budget.TryAcquireLarge(int64(bytes-h.bytes)) {
		return false
	}
	h.budget.Release(int64(max(h.bytes-bytes, 0)))
	h.bytes = bytes
	return true
}

// release gives back what is counted.
func (h *heldMemory) release() { h.set(0) }

// Grow counts more bytes. It reports false if they exceed the budget.
func (h *heldMemory) Grow(bytes int64) bool { return h.set(h.bytes + int(bytes)) }

// Shrink gives back bytes.
func (h *heldMemory) Shrink(bytes int64) { h.set(h.bytes - int(bytes)) }

// acquireMemory takes the memory that the request needs in any case. The error states that
// there is none; nothing was sent to a server then.
func (ex *exchange) acquireMemory() *result.Error {
	r := ex.relay
	if !r.features.Load().SharedCapacity {
		return nil
	}
	if !r.memory.budget.TryAcquire(requestBytes) {
		r.memory.rejected.Add(1)
		if ok, suppressed := r.memory.fullLog.Allow(r.Clock.Now()); ok {
			ex.log("memory for responses used up", nil, "bytes", r.memory.budget.Used(), "behind", r.memory.behind.Load(), "suppressed", suppressed)
		}
		return result.New(result.ResponseMemoryFull, "%d bytes are held for callers", r.memory.budget.Used())
	}
	ex.sharesCapacity = true
	return nil
}

// releaseMemory gives back what the request has acquired.
func (ex *exchange) releaseMemory() {
	ex.held.release()
	ex.keptMemory.release()
	if ex.sharesCapacity {
		ex.relay.memory.budget.Release(requestBytes)
		ex.sharesCapacity = false
	}
}

// deadlineTime returns the request's deadline as a time.
func (ex *exchange) deadlineTime() time.Time {
	return time.Now().Add((ex.deadline - ex.relay.Clock.Now()).Duration())
}

// writeBody passes a part of the response, whose header was written, to the caller. It reports
// whether it had to wait for the caller. Without shared capacity it waits in the write.
func (ex *exchange) writeBody(p []byte) (paused bool, err error) {
	if !ex.sharesCapacity {
		if _, err := ex.w.Write(p); err != nil {
			return false, errCallerDisconnected
		}
		if err := ex.controller.Flush(); err != nil {
			return false, errCallerDisconnected
		}
		return false, nil
	}
	if ex.out == nil {
		ex.out = ex.newStreamBuffer()
	}
	paused, err = ex.out.accept(ex.httpReq.Context(), p, ex.deadlineTime())
	return paused, acceptError(err)
}

// acceptError returns the error of a request for which the streamBuffer returned err.
func acceptError(err error) error {
	switch {
	case errors.Is(err, errCallerTooSlow):
		return fmt.Errorf("%w: %w", err, errResponseInterrupted)
	case err != nil:
		return errCallerDisconnected
	}
	return nil
}

// awaitRoom waits until the caller has read half of what is held for it, so that the next
// server isn't paused at once.
func (ex *exchange) awaitRoom() error {
	return acceptError(ex.out.awaitRoom(ex.httpReq.Context(), ex.deadlineTime()))
}

func (ex *exchange) newStreamBuffer() *streamBuffer {
	w := httpFlushWriter{ex.w, ex.controller}
	return newStreamBuffer(w, &ex.relay.memory.budget, ex.recordBehind, ex.recordReadPause)
}

// recordReadPause records that reading from the server is paused for the caller.
func (ex *exchange) recordReadPause() {
	ex.unread = true
	ex.relay.memory.pauses.Add(1)
}

// recordBehind records that the caller has fallen behind, or caught up. The latter comes from
// the goroutine that writes, which must not use the exchange.
func (ex *exchange) recordBehind(behind bool) {
	memory := &ex.relay.memory
	if !behind {
		memory.behind.Add(-1)
		return
	}
	memory.behind.Add(1)
	if ok, suppressed := memory.behindLog.Allow(ex.relay.Clock.Now()); ok {
		ex.log("caller reads slowly", nil, "last_event", ex.lastEventID, "held_bytes", memory.budget.Used(), "remaining_ms", int64(ex.deadline-ex.relay.Clock.Now()), "suppressed", suppressed)
	}
}

// finishBody waits until the caller has got what was accepted for it, also before a response
// is aborted. A caller that has gone ends the wait. It returns err, or else the error of
// writing.
func (ex *exchange) finishBody(err error) error {
	if ex.out == nil {
		return err
	}
	stop := context.AfterFunc(ex.httpReq.Context(), func() {
		// An error means that the connection is closed, which ends the write too.
		_ = ex.controller.SetWriteDeadline(time.Now())
	})
	defer stop()
	if writeErr := ex.out.finish(); err == nil && writeErr != nil {
		return errCallerDisconnected
	}
	return err
}
