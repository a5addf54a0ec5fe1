package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestEventReader reads streams in parts of any size. What it returns must be the events
// that the stream completes.
func TestEventReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"id: 1\n", "data: x\r\n", "\n", "\r\n", ": c\n", "data"})).Draw(t, "lines")
		var stream string
		for _, line := range lines {
			stream += line
		}
		source := io.Reader(&partReader{stream: stream, size: rapid.IntRange(1, 9).Draw(t, "part")})
		reader := eventReader{source: source}
		var got string
		for {
			complete, _, err := reader.Next()
			if err != nil {
				break
			}
			got += string(complete)
		}
		// Line ends after an event may be returned or not.
		want := stream[:endOfLastEvent([]byte(stream))]
		if !strings.HasPrefix(stream, got) || strings.TrimRight(got, "\r\n") != strings.TrimRight(want, "\r\n") {
			t.Fatalf("got %q of %q, want %q", got, stream, want)
		}
	})
}

// partReader returns a stream in parts of a size.
type partReader struct {
	stream string
	size   int
}

func (p *partReader) Read(b []byte) (int, error) {
	if p.stream == "" {
		return 0, io.EOF
	}
	n := copy(b, p.stream[:min(p.size, len(p.stream))])
	p.stream = p.stream[n:]
	return n, nil
}

// endlessReader returns bytes that make up no event.
type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

// TestEndlessEventCostsLittle checks that each byte of an event without end is searched once.
func TestEndlessEventCostsLittle(t *testing.T) {
	startedAt := time.Now()
	for range 10 {
		reader := eventReader{source: iotest.HalfReader(endlessReader{})}
		_, _, err := reader.Next()
		assert.Assert(t, errors.Is(err, errEventTooLong), "%v", err)
	}
	assert.Assert(t, time.Since(startedAt) < time.Second, "%v", time.Since(startedAt))
}
