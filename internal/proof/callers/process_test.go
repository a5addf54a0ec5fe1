package callers

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// eventuallyTimeout is long enough for a slow machine; not a limit of the product.
const eventuallyTimeout = 60 * time.Second

// process is a program under test.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{}
}

// startProcess starts a program with at most maxFiles file descriptors, 0 for no limit of its own.
// It runs until the test ends.
func startProcess(t *testing.T, name string, maxFiles int, environment []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, logPath: filepath.Join(t.TempDir(), name+".log"), exited: make(chan struct{})}
	log, err := os.Create(p.logPath)
	assert.NilError(t, err)
	script := `exec "$0" "$@"`
	if maxFiles > 0 {
		script = fmt.Sprintf("ulimit -n %d && %s", maxFiles, script)
	}
	p.cmd = exec.Command("bash", append([]string{"-c", script}, args...)...)
	p.cmd.Env = append(os.Environ(), environment...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		_ = log.Close()
		if output, err := os.ReadFile(p.logPath); err == nil && t.Failed() {
			t.Logf("%s:\n%s", name, output[max(0, len(output)-3000):])
		}
	})
	return p
}

// checkAlive fails the test if the process has ended.
func (p *process) checkAlive() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended: %v", p.cmd.ProcessState)
	default:
	}
}

// peakMemory returns the most resident memory that the process has had, in MB.
func (p *process) peakMemory() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(p.t, err)
			return kilobytes >> 10
		}
	}
	p.t.Fatal("no peak of resident memory")
	return 0
}

// openFiles returns the number of file descriptors of the process.
func (p *process) openFiles() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	return len(entries)
}

// eventually calls check until it returns nil. It fails the test with the last error after
// eventuallyTimeout.
func eventually(t *testing.T, condition string, check func() error) {
	t.Helper()
	var err error
	for start := time.Now(); time.Since(start) < eventuallyTimeout; time.Sleep(50 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", condition, err)
}
