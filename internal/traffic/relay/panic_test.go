package relay

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// panickingDialect panics when it decodes a response.
type panickingDialect struct{ testDialect }

func (panickingDialect) Decode(string, int, http.Header) ResponseInfo { panic("a fault of the daemon") }

// TestPanicIsAnswered has the daemon panic while it serves a request. Guards against a caller whose
// connection is closed without an answer, as the HTTP server does then.
func TestPanicIsAnswered(t *testing.T) {
	for name, path := range map[string]string{"safe": "/read/1", "unsafe": "/post/1", "stream": "/draft/1"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, append(streamRoutes(), routes()...), respond("ledger"))
			f.relay.Dialect = panickingDialect{}
			got := f.send(http.MethodPost, path, headerModel, "large")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusInternalServerError)
			assert.Equal(t, f.relay.Balancer.OwnLoads()["s1"].Calls, 0)
		})
	}
}

// TestOddStatusIsAnswered has a server answer with a status that HTTP doesn't have. Guards against
// the panic of the HTTP server, which closes the caller's connection.
func TestOddStatusIsAnswered(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		t.Run(status, func(t *testing.T) {
			f := newFixture(t, routes(), func(_ int, w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\n"+headerID+": "+r.Header.Get(headerID)+"\r\n"+headerSigned+": yes\r\nContent-Length: 0\r\n\r\n")
			})
			got := f.send(http.MethodPost, "/post/1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
		})
	}
}
