package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedOutput blocks every write until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

// A blocked standard error, such as a full pipe, must not block the goroutines that
// log. The test writes more lines than the queue holds while the output blocks.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	w := NewWriter(out)
	for range 3 * queueLines {
		n, err := w.Write([]byte("line\n")) // would never return if it blocked
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	close(out.unblock)
	w.Close(10 * time.Second)
	text := out.written.String()
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Assert(t, strings.Count(text, "line\n") <= burstLines+linesPerSecond*10)
}

// Batching must not split or reorder lines, nor lose those written right before Close.
func TestLinesAreCompleteAndInOrder(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	close(out.unblock)
	w := NewWriter(out)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, _ = w.Write([]byte(line))
	}
	w.Close(10 * time.Second)
	assert.Equal(t, out.written.String(), "one\ntwo\nthree\n")
	_, err := w.Write([]byte("after Close\n"))
	assert.NilError(t, err)
}

// recordedOutput records each write by itself.
type recordedOutput struct{ writes []string }

func (o *recordedOutput) Write(p []byte) (int, error) {
	o.writes = append(o.writes, string(p))
	return len(p), nil
}

// Each write must end with a line and fit the buffer of a pipe, also in a burst such as
// hundreds of servers that register at once. A longer line is dropped and counted.
func TestWritesHoldWholeLines(t *testing.T) {
	out := &recordedOutput{}
	w := NewWriter(out)
	_, _ = w.Write([]byte(strings.Repeat("x", maxWriteBytes) + "\n"))
	const lines = 300
	line := strings.Repeat("y", 240) + "\n"
	for range lines {
		_, _ = w.Write([]byte(line))
	}
	w.Close(10 * time.Second)
	for _, written := range out.writes {
		assert.Assert(t, len(written) <= maxWriteBytes, "%d bytes", len(written))
		assert.Assert(t, strings.HasSuffix(written, "\n"))
	}
	text := strings.Join(out.writes, "")
	assert.Equal(t, strings.Count(text, line), lines)
	assert.Assert(t, strings.Contains(text, `"count":1}`), "the long line is not counted")
}
