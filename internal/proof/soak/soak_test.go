package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("first", 1, "first seed")
	seedCount = flag.Uint64("seeds", 1, "how many seeds are played, one after the other")
	daemons   = flag.Int("daemons", 4, "daemons of a deployment")
	seconds   = flag.Int("seconds", 6, "for how long faults strike")
)

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "gypsumpitchd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/gypsumpitchd").CombinedOutput(); err != nil {
		fmt.Println(string(out), err)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// regressions are the seeds that failed once, with what was the cause.
var regressions = map[string]uint64{
	// The harness: an act waited for the end of a process that another act had started.
	"overlapping kill and start": 102,
}

// play plays one seed. The daemons' logs of a seed that fails are kept.
func play(t *testing.T, seed uint64) {
	t.Helper()
	w := newWorld(t, binary, *daemons)
	faults := w.play(seed, time.Duration(*seconds)*time.Second)
	t.Logf("seed %d: %d requests, %d served", seed, len(w.oracle.requests), w.oracle.count())
	for _, f := range faults {
		t.Errorf("seed %d: %s", seed, f)
	}
	if len(faults) > 0 {
		kept, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", seed))
		if err == nil {
			err = os.CopyFS(kept, os.DirFS(filepath.Dir(w.daemons[0].settings)))
		}
		t.Logf("logs of seed %d: %s %v", seed, kept, err)
	}
}

// TestSoak plays fresh seeds.
func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

// TestRegressions plays the seeds that failed once.
func TestRegressions(t *testing.T) {
	for name, seed := range regressions {
		t.Run(name, func(t *testing.T) { play(t, seed) })
	}
}
