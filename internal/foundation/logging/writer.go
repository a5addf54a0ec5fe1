// Package logging provides a log output that never blocks the goroutine that logs.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLines bounds the lines that are queued for a slow output.
	queueLines = 2048
	// linesPerSecond is the sustained rate limit; lines above it are dropped and counted.
	linesPerSecond = 400
	// burstLines is the capacity of the rate limiter's token bucket.
	burstLines = 800
	// reportPeriod is the shortest time between two reports of dropped lines.
	reportPeriod = 5 * time.Second
	// batchBytes is the batch size from which on no further lines are added to a write.
	batchBytes = 16 << 10
)

// Writer queues lines and writes them to an output in a goroutine of its own. Lines
// that exceed the queue or the rate limit are dropped and counted. Safe for
// concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex // guards the fields below
	tokens     float64
	refilledAt time.Time
	dropped    int64
	closed     bool
}

// NewWriter returns a Writer to out and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		lines:      make(chan []byte, queueLines),
		done:       make(chan struct{}),
		tokens:     burstLines,
		refilledAt: time.Now(),
	}
	go w.run(out)
	return w
}

// Write queues a copy of one line and never blocks. It always reports success, also
// for a line that is dropped or comes after Close.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilledAt).Seconds()*linesPerSecond, burstLines)
	w.refilledAt = now
	if w.tokens < 1 {
		w.dropped++
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
		w.tokens--
	default:
		w.dropped++
	}
	return len(line), nil
}

// Close writes the queued lines and returns when that is done or the timeout has passed.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	batch := make([]byte, 0, batchBytes)
	reportedAt := time.Now()
	for line := range w.lines {
		batch = append(batch[:0], line...)
		batch = w.appendQueued(batch)
		if time.Since(reportedAt) > reportPeriod {
			reportedAt = time.Now()
			batch = w.appendDropReport(batch)
		}
		// The error is ignored, since there is no other output to report it to.
		_, _ = out.Write(batch)
	}
	_, _ = out.Write(w.appendDropReport(batch[:0]))
}

// appendQueued appends the lines that are already queued to batch.
func (w *Writer) appendQueued(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// appendDropReport appends the number of dropped lines to batch, if any, and resets it.
func (w *Writer) appendDropReport(batch []byte) []byte {
	w.mu.Lock()
	n := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if n == 0 {
		return batch
	}
	return append(batch, fmt.Sprintf("{\"@message\":\"log lines dropped\",\"count\":%d}\n", n)...)
}
