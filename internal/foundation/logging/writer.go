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
	// maxWriteBytes bounds one write, which holds only whole lines. Up to this size, a
	// write to a pipe is not split. Longer lines are dropped and counted.
	maxWriteBytes = 4 << 10
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
	if w.tokens < 1 || len(line) > maxWriteBytes {
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
	batch := make([]byte, 0, maxWriteBytes)
	var next []byte // dequeued, but too long for the last batch
	reportedAt := time.Now()
	for {
		if next == nil {
			line, ok := <-w.lines
			if !ok {
				break
			}
			next = line
		}
		batch, next = w.appendQueued(append(batch[:0], next...))
		// Errors are ignored, since there is no other output to report them to.
		_, _ = out.Write(batch)
		if time.Since(reportedAt) > reportPeriod {
			reportedAt = time.Now()
			w.writeDropReport(out)
		}
	}
	w.writeDropReport(out)
}

// appendQueued appends the lines that are already queued to batch, as far as they fit.
// It returns the first line that does not, or nil.
func (w *Writer) appendQueued(batch []byte) (full, next []byte) {
	for {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch, nil
			}
			if len(batch)+len(line) > maxWriteBytes {
				return batch, line
			}
			batch = append(batch, line...)
		default:
			return batch, nil
		}
	}
}

// writeDropReport writes the number of dropped lines, if any, and resets it.
func (w *Writer) writeDropReport(out io.Writer) {
	w.mu.Lock()
	n := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if n > 0 {
		_, _ = fmt.Fprintf(out, "{\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
	}
}
