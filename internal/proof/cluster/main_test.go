package cluster

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMain fixes the seed and the number of checks, so that every run in CI has the same
// result. scripts/fuzz.sh overrides both by environment variables.
func TestMain(m *testing.M) {
	flag.Parse()
	set := func(name, variable, defaultValue string) {
		value := os.Getenv(variable)
		if value == "" {
			value = defaultValue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.seed", "GYPSUMPITCH_SEED", "20261203")
	set("rapid.checks", "GYPSUMPITCH_CHECKS", "60")
	set("rapid.steps", "GYPSUMPITCH_STEPS", "60")
	set("rapid.nofailfile", "GYPSUMPITCH_NOFAILFILE", "true")
	os.Exit(m.Run())
}

func must(t assert.TestingT, err error) { assert.NilError(t, err) }
