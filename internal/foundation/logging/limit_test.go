package logging

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLimit checks that one line a period is allowed, and that the next one tells of the others.
func TestLimit(t *testing.T) {
	var l Limit
	for i, want := range []bool{true, false, false} {
		ok, suppressed := l.Allow(1000)
		assert.Equal(t, ok, want, "%d", i)
		assert.Equal(t, suppressed, int64(0))
	}
	ok, suppressed := l.Allow(1000 + limitPeriod)
	assert.Assert(t, ok)
	assert.Equal(t, suppressed, int64(2))
}
