package tables

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// example returns the text of the example tables of a user.
func example(t *testing.T, user string) string {
	text, err := os.ReadFile("../../../examples/" + user + "/tables.json")
	assert.NilError(t, err)
	return string(text)
}

// TestExamplesAreValid checks that the example tables of both users parse and validate,
// and have the expected sizes.
func TestExamplesAreValid(t *testing.T) {
	cases := map[string]struct {
		pool, app     string
		engines, apps int
	}{
		"ledgerwell": {"drafting", "ledger", 20, 3},
		"kitami":     {"text", "commission-desk", 10, 3},
	}
	for user, c := range cases {
		t.Run(user, func(t *testing.T) {
			doc, err := Parse([]byte(example(t, user)))
			assert.NilError(t, err)
			assert.Equal(t, len(doc.Pools[c.pool].Servers), c.engines)
			assert.Equal(t, len(doc.Pools[c.app].Servers), c.apps)
			assert.Equal(t, len(doc.DataCentres), 3)
			assert.Equal(t, len(doc.Hosts), 7)
			assert.Equal(t, len(doc.ClientAccounts), 10)
		})
	}
}

// TestParseErrorsNameFieldAndLine makes one field of a valid document invalid at a time:
// an error without its field or line is hard to trace in a long document.
func TestParseErrorsNameFieldAndLine(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown pool":         {`"pool": "text"`, `"pool": "txt"`, `pool "txt" is not in pools`},
		"unknown model":        {`"brief-large"`, `"brief-huge"`, `model "brief-huge" is not in models`},
		"bad state":            {`"state": "active"`, `"state": "on"`, `is "on", must be canary, active, paused or withdrawn`},
		"quality":              {`"quality_target": 0.9`, `"quality_target": 9`, `quality_target: is 9, must be 0 to 1`},
		"host name in address": {`127.0.0.1:18201`, `engine:18201`, `"engine:18201" is not an IP address with a port`},
		"unknown field":        {`"priority": 0`, `"prio": 0`, `unknown field "prio"`},
		"slots":                {`"slots": 8`, `"slots": 0`, `slots: is 0, must be 1 to 100000 requests`},
		"plain-text key":       {`"key_hashes": [`, `"key_hashes": ["secret",`, `is not a SHA-256 in hex`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(example(t, "kitami"), c.old, c.new, 1)
			_, err := Parse([]byte(text))
			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, "line ")
		})
	}
}

// TestActions checks that an action changes only the row it names, and that an action on
// an unknown name is rejected.
func TestActions(t *testing.T) {
	cases := map[string]struct {
		action Action
		want   string
		err    string
	}{
		"data centre out": {Action{Kind: ActionDataCentreOut, Name: "abashiri"}, "~ data_centres.abashiri", ""},
		"host out":        {Action{Kind: ActionHostOut, Name: "entry-1"}, "~ hosts.entry-1", ""},
		"server out":      {Action{Kind: ActionServerOut, Name: "text", Part: "engine-1"}, "~ pools.text", ""},
		"canary":          {Action{Kind: ActionVersionStart, Name: "brief-small", Part: "v3", Share: 5}, "~ models.brief-small", ""},
		"promote":         {Action{Kind: ActionVersionPromote, Name: "brief-small", Part: "v2"}, "~ models.brief-small", ""},
		"unknown":         {Action{Kind: ActionHostOut, Name: "entry-9"}, "", `host "entry-9" is not in hosts`},
		"unknown version": {Action{Kind: ActionVersionWithdraw, Name: "brief-small", Part: "v9"}, "", `version "v9"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			doc, err := Parse([]byte(example(t, "kitami")))
			assert.NilError(t, err)
			after, err := c.action.Apply(doc)
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			lines := Diff(doc, after)
			assert.Equal(t, len(lines), 1)
			assert.Assert(t, strings.HasPrefix(lines[0], c.want), lines[0])
		})
	}
}

// TestTransitionChangesOneHost guards against two successive documents whose majorities do
// not overlap, which is possible once an edit adds or removes more than one host.
func TestTransitionChangesOneHost(t *testing.T) {
	before := &Document{Version: 1, Hosts: map[string]Host{"a": {}, "b": {}, "c": {}}}
	assert.Equal(t, len(ValidateTransition(before, &Document{Hosts: map[string]Host{"a": {}, "b": {}}})), 0)
	assert.Equal(t, len(ValidateTransition(before, &Document{Hosts: map[string]Host{"a": {}}})), 1)
}

func ExampleSplitVersion() {
	fmt.Println(SplitVersion("draft-small@v2"))
	// Output: draft-small v2
}
