package relay

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadStatesTheServersLength checks the length that the caller learns from a HEAD
// request, whose answer has no body.
func TestHeadStatesTheServersLength(t *testing.T) {
	cases := map[string]struct{ stated, want string }{
		"the server states one":  {"7", "7"},
		"the server states zero": {"0", "0"},
		"the server states none": {"", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, routes(), func(_ int, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerSigned, "yes")
				if c.stated != "" {
					w.Header().Set("Content-Length", c.stated)
				}
			})
			got := f.send(http.MethodHead, "/read/1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.header.Get("Content-Length"), c.want)
		})
	}
}
