package traffic

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks, so that every run of CI
// gives the same verdict. make fuzz sets others.
func TestMain(m *testing.M) {
	flag.Parse()
	set := func(name, variable, standard string) {
		value := os.Getenv(variable)
		if value == "" {
			value = standard
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.seed", "GYPSUMPITCH_SEED", "20261203")
	set("rapid.checks", "GYPSUMPITCH_CHECKS", "1500")
	set("rapid.steps", "GYPSUMPITCH_STEPS", "1500")
	set("rapid.nofailfile", "GYPSUMPITCH_NOFAILFILE", "true")
	os.Exit(m.Run())
}
