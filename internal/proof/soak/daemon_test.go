package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/proof/loopback"
)

const (
	dataCentres = 2
	stopSeconds = 3
)

// daemon is a process of its own, which sees the store through a proxy.
type daemon struct {
	name, caller, ready string
	binary, settings    string
	store               *proxy
	log                 *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func newDaemon(t *testing.T, binary, dir string, i int, store string) *daemon {
	t.Helper()
	d := &daemon{
		name: fmt.Sprintf("entry-%d", i), caller: loopback.FreeAddress(t), ready: loopback.FreeAddress(t),
		binary: binary, store: newProxy(t, "127.0.0.1:0", store),
	}
	d.settings = filepath.Join(dir, d.name+".hujson")
	text := fmt.Sprintf(`{"host":%q,"data_centre":"dc-%d","listen":{"peer":%q},"log":{"level":"info","json":true},
		"entry":{"caller":%q,"ready":%q,"store":%q,"memory_mb":200,"repeat_ratio":0.9,"repeat_slack":54,"stop_s":%d,"drain_ms":%d,"calm_ms":%d}}`,
		d.name, i%dataCentres, loopback.FreeAddress(t), d.caller, d.ready, d.store.address(), stopSeconds,
		drainTime.Milliseconds(), calmTime.Milliseconds())
	assert.NilError(t, os.WriteFile(d.settings, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	d.log = log
	t.Cleanup(func() {
		d.signal(syscall.SIGCONT)
		d.end(syscall.SIGKILL)
		_ = log.Close()
	})
	d.start()
	return d
}

// start runs the process, unless it runs.
func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		return
	}
	cmd := exec.Command(d.binary, "run-entry")
	cmd.Env = append(os.Environ(), "GYPSUMPITCH_BOOT="+d.settings)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		_, _ = fmt.Fprintln(d.log, "not started:", err)
		return
	}
	ended := make(chan struct{})
	d.process, d.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		d.mu.Lock()
		d.process = nil
		d.mu.Unlock()
		close(ended)
	}()
}

// signal reaches the process that start made, by its id, and no other.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Process.Signal(s)
	}
}

// end signals the process and returns when it has ended. One that another act has
// started meanwhile isn't waited for.
func (d *daemon) end(s syscall.Signal) {
	d.mu.Lock()
	if d.process == nil {
		d.mu.Unlock()
		return
	}
	_ = d.process.Process.Signal(s)
	ended := d.ended
	d.mu.Unlock()
	<-ended
}
