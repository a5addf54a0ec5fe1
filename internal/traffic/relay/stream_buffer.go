package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
)

const (
	// blockBytes is the size in which a streamBuffer holds memory: a few dozen events.
	blockBytes = 4 << 10
	// maxBlocks bounds the buffer of one stream, 256 KB: longer than any usual answer.
	maxBlocks = 64
	// freeBlocks of a stream need nothing from the budget beyond what its request has
	// acquired, so that a caller that reads is served while others use up the budget: one
	// block is written while the next one is filled.
	freeBlocks = 2
	// directBytes of a response are written without the help of another goroutine: most
	// answers are shorter. They fit into the connection's send buffer even if the caller
	// reads nothing (Linux: 46 KB and more once connected), so that writing them doesn't block.
	directBytes = 8 << 10
)

// requestBytes is what each request acquires from the budget while it is served: the free
// blocks of its streamBuffer and the buffer of its eventReader.
const requestBytes = freeBlocks*blockBytes + usualEventBytes

// flushWriter is the part of http.ResponseWriter and its controller that a streamBuffer uses.
type flushWriter interface {
	Write(p []byte) (int, error)
	Flush() error
}

// streamBuffer takes the body of a response and writes it to the caller, by a goroutine of
// its own once more than directBytes were written. Only that goroutine uses the writer from
// then on, until finish or abort. All other methods are for one goroutine.
type streamBuffer struct {
	writer   flushWriter
	budget   *admission.MemoryBudget
	onBehind func(behind bool) // called when the caller falls behind and when it has caught up
	onPause  func()            // called when accept begins to wait
	sent     int               // bytes written before the goroutine was started
	started  bool
	done     chan struct{} // closed when the goroutine has ended
	drained  chan struct{} // signals that a block was written, or that a write has failed

	mu       sync.Mutex
	blocks   [][]byte // accepted and not yet taken by the goroutine
	held     int      // blocks, with the one that is being written
	acquired int      // of them from the budget
	behind   bool
	ended    bool // nothing more is accepted
	err      error
	changed  *sync.Cond // of blocks and ended
}

func newStreamBuffer(w flushWriter, budget *admission.MemoryBudget, onBehind func(bool), onPause func()) *streamBuffer {
	b := &streamBuffer{writer: w, budget: budget, onBehind: onBehind, onPause: onPause, done: make(chan struct{}), drained: make(chan struct{}, 1)}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// accept writes p to the caller or keeps a copy of it for the caller. It waits while the
// buffer is full, until the deadline or the end of the context, and reports whether it had
// to. An error means that not all of p was accepted: the caller is gone, or too slow.
func (b *streamBuffer) accept(ctx context.Context, p []byte, deadline time.Time) (paused bool, err error) {
	if !b.started && b.sent+len(p) <= directBytes {
		b.sent += len(p)
		if _, err := b.writer.Write(p); err != nil {
			return false, err
		}
		return false, b.writer.Flush()
	}
	if !b.started {
		b.started = true
		go b.run()
	}
	for {
		rest, err := b.put(p)
		if err != nil || len(rest) == 0 {
			return paused, err
		}
		if !paused {
			b.onPause()
		}
		p, paused = rest, true
		if err := b.awaitDrained(ctx, deadline); err != nil {
			return paused, err
		}
	}
}

// awaitDrained waits until a block was written.
func (b *streamBuffer) awaitDrained(ctx context.Context, deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-b.drained:
		return nil
	case <-ctx.Done():
		return errCallerDisconnected
	case <-timer.C:
		return errCallerTooSlow
	}
}

// awaitRoom waits until half of the buffer is free.
func (b *streamBuffer) awaitRoom(ctx context.Context, deadline time.Time) error {
	for b.heldBlocks() > maxBlocks/2 {
		if err := b.awaitDrained(ctx, deadline); err != nil {
			return err
		}
	}
	return nil
}

func (b *streamBuffer) heldBlocks() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// takeOver makes the blocks the first ones of a new buffer, which counts those beyond
// freeBlocks from now on: they are acquired already.
func (b *streamBuffer) takeOver(blocks [][]byte) {
	b.blocks, b.held, b.acquired = blocks, len(blocks), max(len(blocks)-freeBlocks, 0)
	b.started = true
	go b.run()
}

// put keeps a copy of the beginning of p, as much as there is room for, and returns the rest.
func (b *streamBuffer) put(p []byte) (rest []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(p) > 0 && b.err == nil {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == blockBytes {
			if !b.addBlock() {
				break
			}
			last = len(b.blocks) - 1
		}
		n := min(blockBytes-len(b.blocks[last]), len(p))
		b.blocks[last] = append(b.blocks[last], p[:n]...)
		p = p[n:]
	}
	b.changed.Signal()
	return p, b.err
}

// addBlock adds an empty block and reports whether there is memory for it.
func (b *streamBuffer) addBlock() bool {
	if b.held >= maxBlocks {
		return false
	}
	if b.held >= freeBlocks {
		if !b.budget.TryAcquireLarge(blockBytes) {
			return false
		}
		b.acquired++
	}
	b.blocks = append(b.blocks, make([]byte, 0, blockBytes))
	b.held++
	if b.held > freeBlocks {
		b.setBehind(true)
	}
	return true
}

func (b *streamBuffer) setBehind(behind bool) {
	if b.behind != behind {
		b.behind = behind
		b.onBehind(behind)
	}
}

// run writes the blocks to the caller.
func (b *streamBuffer) run() {
	defer close(b.done)
	for {
		block := b.take()
		if block == nil {
			return
		}
		_, err := b.writer.Write(block)
		if err == nil {
			err = b.writer.Flush()
		}
		b.written(err)
	}
}

// take returns the next block, or nil if there is none and there will be none.
func (b *streamBuffer) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.blocks) == 0 && !b.ended && b.err == nil {
		b.changed.Wait()
	}
	if b.err != nil || len(b.blocks) == 0 {
		return nil
	}
	block := b.blocks[0]
	b.blocks = b.blocks[1:]
	return block
}

// written releases the block that was written. After an error nothing more is written.
func (b *streamBuffer) written(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held--
	if err != nil {
		b.err, b.blocks, b.held = err, nil, 0
	}
	if excess := b.acquired - max(b.held-freeBlocks, 0); excess > 0 {
		b.budget.Release(int64(excess) * blockBytes)
		b.acquired -= excess
	}
	if b.held == 0 {
		b.setBehind(false)
	}
	select {
	case b.drained <- struct{}{}:
	default:
	}
}

// finish waits until the caller has got all that was accepted, and returns the error of
// writing it. The write deadline of the connection bounds the wait.
func (b *streamBuffer) finish() error {
	b.mu.Lock()
	b.ended = true
	b.changed.Signal()
	b.mu.Unlock()
	if b.started {
		<-b.done
	}
	return b.err
}

// httpFlushWriter writes to a caller and flushes each write.
type httpFlushWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Flush sends what was written to the caller.
func (w httpFlushWriter) Flush() error { return w.controller.Flush() }
