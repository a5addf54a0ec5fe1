package client

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCommandLine checks the exit code and output of commands that need no daemon. Scripts
// rely on the exit codes.
func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(bad, []byte("{\n  \"routes\": {\n    \"x\": {\"kind\": \"odd\"}}}"), 0o600))
	cases := map[string]struct {
		args []string
		exit int
		out  string
	}{
		"valid tables":   {[]string{"validate", "../../../examples/kitami/tables.json"}, exitOK, "valid: 3 routes"},
		"as JSON":        {[]string{"--output", "json", "validate", "../../../examples/kitami/tables.json"}, exitOK, `"routes": 3`},
		"invalid tables": {[]string{"validate", bad}, exitInvalid, "line 3: routes.x.kind"},
		"explain":        {[]string{"code", "4004"}, exitOK, "run unknown"},
		"no such code":   {[]string{"code", "1"}, exitInvalid, "no result code 1"},
		"hash":           {[]string{"hash-key", "finance-key"}, exitOK, ""},
		"wrong usage":    {[]string{"data-centre", "sideways"}, exitUsage, ""},
		"completion":     {[]string{"--completion-script-bash"}, exitOK, ""},
		"no daemon":      {[]string{"--daemon", "http://127.0.0.1:1", "status"}, exitFailure, "connection refused"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, Main(c.args, &out, &out), c.exit, out.String())
			assert.Assert(t, strings.Contains(out.String(), c.out), out.String())
		})
	}
}
