package settings

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// docs/SETTINGS.md must be regenerated when a field changes.
func TestMarkdownIsCurrent(t *testing.T) {
	text, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(text), Markdown(), "run make generate")
}

// An error must name the path of the invalid field, and the range and unit of a number.
func TestParseErrors(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
	}{
		"good":          {`{"host": "h", "data_centre": "d"} // with a comment`, ""},
		"unknown field": {`{"hots": "h"}`, `unknown field "hots"`},
		"unread field":  {`{"host": "h", "data_centre": "d", "stop": {"accept_calm": 58}}`, `unknown field "accept_calm"`},
		"no host":       {`{"data_centre": "d"}`, "host: must not be empty"},
		"out of range":  {`{"host": "h", "data_centre": "d", "limits": {"queue_ms": 99999999}}`, "limits.queue_ms: is 99999999, must be 0 to 60000 ms"},
		"not an IP":     {`{"host": "h", "data_centre": "d", "listen": {"peer": "localhost:1"}}`, `listen.peer: "localhost:1" is not an IP address with a port`},
		"exposed":       {`{"host": "h", "data_centre": "d", "listen": {"caller": "0.0.0.0:80"}}`, "peer.key: must have at least 16 bytes, since listen.caller is not a loopback address"},
		"no TLS":        {`{"host": "h", "data_centre": "d", "peer": {"key": "0123456789abcdef"}, "listen": {"caller": "0.0.0.0:80"}}`, "tls.cert_file: must be given"},
		"bad level":     {`{"host": "h", "data_centre": "d", "log": {"level": "loud"}}`, `log.level: is "loud"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// The settings files in examples/ must stay valid when a field or check changes.
func TestExamplesAreValid(t *testing.T) {
	for _, user := range []string{"kitami", "ledgerwell"} {
		for i := 1; i <= 7; i++ {
			s, err := Load(fmt.Sprintf("../../../examples/%s/hosts/entry-%d.json", user, i))
			assert.NilError(t, err)
			assert.Equal(t, s.Host, fmt.Sprintf("entry-%d", i))
		}
	}
}

func ExampleParse() {
	s, err := Parse([]byte(`{"host": "entry-1", "data_centre": "ikeja"}`))
	fmt.Println(s.Host, s.Control.ConfirmWindowMs, err)
	// Output: entry-1 3000 <nil>
}
