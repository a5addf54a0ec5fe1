package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuck is an output that takes nothing until it is freed.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestStuckOutputDelaysNobody writes more lines than fit while the output takes none.
func TestStuckOutputDelaysNobody(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	w := NewWriter(out)
	for range 3 * backlogLines {
		n, err := w.Write([]byte("line\n")) // would never return if it waited
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	close(out.free)
	w.Close(10 * time.Second)
	text := out.got.String()
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Assert(t, strings.Count(text, "line\n") <= burstLines+linesPerSecond*10)
}

// TestLinesComeWhole keeps lines in order and whole, also those of the last moment.
func TestLinesComeWhole(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	close(out.free)
	w := NewWriter(out)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, _ = w.Write([]byte(line))
	}
	w.Close(10 * time.Second)
	assert.Equal(t, out.got.String(), "one\ntwo\nthree\n")
	_, err := w.Write([]byte("after the end\n"))
	assert.NilError(t, err)
}
