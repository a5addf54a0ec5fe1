package requesttrace

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	firstLog = `{"@level":"info","@message":"serving","@module":"entry-1","@timestamp":"2026-05-01T10:00:00.000000Z"}
{"@level":"info","@message":"server refused","@module":"entry-1","@timestamp":"2026-05-01T10:00:05.120000Z","after_ms":20,"request":"r1","server":"e1","reason":"not run"}
{"@level":"info","@message":"served","@module":"entry-1","@timestamp":"2026-05-01T10:00:05.200000Z","after_ms":30,"request":"other"}
{"@level":"info","@message":"ended","@module":"entry-1","@timestamp":"2026-05-01T10:00:05.130000Z","after_ms":30,"request":"r1","error":"2004 overloaded"}
{"@level":"info","@mess`
	// The clock of this host is 4 s behind that of the first.
	secondLog = `  12.3 entry-2 {"@level":"info","@message":"served","@module":"entry-2","@timestamp":"2026-05-01T10:00:01.900000Z","after_ms":50,"request":"r1"}
  12.4 entry-2 {"@level":"info","@message":"escalated","@module":"entry-2","@timestamp":"2026-05-01T10:00:01.860000Z","after_ms":10,"request":"r1","confidence":12}
not a line of ours
`
)

// TestTrace checks the order of the lines of two logs whose hosts' clocks differ, and that a
// truncated line and a line without JSON are counted as invalid.
func TestTrace(t *testing.T) {
	trace := &Trace{ID: "r1"}
	assert.NilError(t, trace.ReadLog(strings.NewReader(firstLog)))
	assert.NilError(t, trace.ReadLog(strings.NewReader(secondLog)))
	assert.Equal(t, trace.InvalidLines, 2)
	var got []string
	for _, l := range trace.sorted() {
		got = append(got, l.Host+" "+l.Message)
	}
	assert.DeepEqual(t, got, []string{"entry-2 escalated", "entry-2 served", "entry-1 server refused", "entry-1 ended"})
}

func ExampleTrace_WriteText() {
	trace := &Trace{ID: "r1"}
	_ = trace.ReadLog(strings.NewReader(firstLog))
	trace.WriteText(os.Stdout)
	// Output:
	// request r1: 2 of 4 lines, 1 invalid lines skipped
	// entry-1, first line at 10:00:05.120 by its clock
	//   +    20 ms  server refused  reason=not run  server=e1
	//   +    30 ms  ended  error=2004 overloaded
}
