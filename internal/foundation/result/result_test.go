package result

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// docs/RESULT_CODES.md must be regenerated when a code changes.
func TestMarkdownIsCurrent(t *testing.T) {
	text, err := os.ReadFile("../../../docs/RESULT_CODES.md")
	assert.NilError(t, err)
	assert.Equal(t, string(text), Markdown(), "run make generate")
}

// Callers tell codes apart by their numbers, so a number must not be used twice.
func TestNumbersAreUnique(t *testing.T) {
	seen := map[int]string{}
	for _, c := range All() {
		assert.Equal(t, seen[c.Number], "", "%d", c.Number)
		seen[c.Number] = c.Name
	}
}

func ExampleWrite() {
	w := httptest.NewRecorder()
	Write(w, New(Overloaded, "all servers are full"), "entry-1-a-1")
	fmt.Println(w.Code, w.Header().Get("X-Run"), w.Header().Get("Retry-After"))
	// Output: 503 no 1
}

// TestWriteRetryAfter checks that the header and the body state the same retry time, the
// code's or the one that replaces it.
func TestWriteRetryAfter(t *testing.T) {
	cases := map[string]struct {
		err    *Error
		header string
		bodyMs int64
	}{
		"of the code":   {New(Overloaded, "full"), strconv.FormatInt((Overloaded.RetryAfterMs+999)/1000, 10), Overloaded.RetryAfterMs},
		"replaced":      {New(Overloaded, "full").WithRetryAfter(2_300), "3", 2_300},
		"no retry":      {New(NoRoute, "none"), "", 0},
		"only replaced": {New(NoRoute, "none").WithRetryAfter(400), "1", 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			Write(w, c.err, "request-1")
			assert.Equal(t, w.Header().Get("Retry-After"), c.header)
			assert.Equal(t, NewBody(c.err, "request-1").Error.RetryAfterMs, c.bodyMs)
		})
	}
}
