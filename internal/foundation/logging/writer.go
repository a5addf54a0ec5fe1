// Package logging writes log lines without ever delaying who writes them.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// backlogLines is how many lines wait for a slow output.
	backlogLines = 2048
	// linesPerSecond bounds the volume; lines over it are counted and dropped.
	linesPerSecond = 400
	// burstLines may come at once.
	burstLines = 800
	// reportPeriod is how often dropped lines are reported.
	reportPeriod = 5 * time.Second
	// batchBytes is how much is written at once.
	batchBytes = 16 << 10
)

// Writer passes lines to an output by a goroutine of its own. Lines that come
// faster than the output or the rate allows are dropped and counted.
type Writer struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	dropped int64
	closed  bool
}

// NewWriter returns a writer to the output.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		lines:  make(chan []byte, backlogLines),
		done:   make(chan struct{}),
		tokens: burstLines,
		filled: time.Now(),
	}
	go w.run(out)
	return w
}

// Write takes one line. It never waits.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.filled).Seconds()*linesPerSecond, burstLines)
	w.filled = now
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

// Close writes what waits, for at most the time given.
func (w *Writer) Close(limit time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	batch := make([]byte, 0, batchBytes)
	reported := time.Now()
	for line := range w.lines {
		batch = append(batch[:0], line...)
		batch = w.gather(batch)
		if time.Since(reported) > reportPeriod {
			reported = time.Now()
			batch = w.reportDropped(batch)
		}
		// There is no other place to report that the output fails.
		_, _ = out.Write(batch)
	}
	_, _ = out.Write(w.reportDropped(batch[:0]))
}

// gather adds the lines that wait already.
func (w *Writer) gather(batch []byte) []byte {
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

func (w *Writer) reportDropped(batch []byte) []byte {
	w.mu.Lock()
	n := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if n == 0 {
		return batch
	}
	return append(batch, fmt.Sprintf("{\"@message\":\"log lines dropped\",\"count\":%d}\n", n)...)
}
