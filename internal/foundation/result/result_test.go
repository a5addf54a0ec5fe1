package result

import (
	"fmt"
	"net/http/httptest"
	"os"
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
