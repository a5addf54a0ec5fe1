package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// logLines collects the log of a relay.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// collectLog makes the relay log to the lines that are returned.
func (f *fixture) collectLog() *logLines {
	lines := &logLines{}
	f.relay.Log = hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: lines})
	return lines
}

// ended returns the fields of the first line of a request that ended with an error; nil if there
// is none.
func (l *logLines) ended() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for lines := bufio.NewScanner(bytes.NewReader(l.text.Bytes())); lines.Scan(); {
		var fields map[string]any
		if json.Unmarshal(lines.Bytes(), &fields) == nil && fields["@message"] == "ended" {
			return fields
		}
	}
	return nil
}

// has reports whether there is a line with the message.
func (l *logLines) has(message string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(message))
}

// unanswered returns the number of requests without a complete answer by the cause.
func (f *fixture) unanswered(cause string) uint64 {
	return f.relay.Metrics.set.GetOrCreateCounter(fmt.Sprintf("gypsumpitch_relay_unanswered_total{cause=%q}", cause)).Get()
}

// TestUnansweredCause ends requests without a complete answer. Guards against a reset of the
// caller's connection whose log line doesn't tell who ended the request.
func TestUnansweredCause(t *testing.T) {
	cases := map[string]struct {
		path       string
		server     behaviour
		timeout    string // of the request, in ms
		leaves     bool   // the caller, once the request has reached a server
		cause      string
		headerSent bool
	}{
		"caller leaves":        {"/read/1", hang, "1500", true, unansweredCallerClosed, false},
		"server breaks off":    {"/once/1", sendEvents(2, 5), "1500", false, unansweredInterrupted, true},
		"caller reads nothing": {"/once/1", largeEvents(1600), "1500", false, unansweredWriteTimeout, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, append(streamRoutes(), routes()...), c.server)
			lines := f.collectLog()
			conn, _ := f.dial(c.path, "HTTP/1.1", headerRemaining+": "+c.timeout)
			if c.leaves {
				waitFor(t, 5*time.Second, func() bool { return f.callCount() > 0 })
				assert.NilError(t, conn.Close())
			}
			waitFor(t, 10*time.Second, func() bool { return lines.ended() != nil })
			fields := lines.ended()
			assert.Equal(t, fields["cause"], c.cause)
			assert.Equal(t, fields["header_sent"], c.headerSent)
			assert.Equal(t, fields["body_bytes"].(float64) > 0, c.headerSent)
			if c.leaves {
				assert.Assert(t, fields["caller_error"] != nil)
			}
			assert.Equal(t, fields["write_error"] != nil, c.cause == unansweredWriteTimeout)
			assert.Equal(t, f.unanswered(c.cause), uint64(1))
		})
	}
}

// TestAnsweredErrorHasNoCause has a request end with an error that the caller gets.
func TestAnsweredErrorHasNoCause(t *testing.T) {
	f := newFixture(t, routes(), closeConn)
	lines := f.collectLog()
	assert.Equal(t, f.send(http.MethodPost, "/post/1").status, http.StatusBadGateway)
	assert.Assert(t, lines.ended() != nil)
	assert.Assert(t, lines.ended()["cause"] == nil)
}
