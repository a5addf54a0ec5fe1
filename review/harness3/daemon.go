package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// daemonBinary is where the build of the deploy file puts the daemon.
const daemonBinary = "target/gypsumpitchd"

// settings are those of a small deployment: the bounds of kitami-commons.
const settings = `{
  "host": %q, "data_centre": %q, "listen": {"peer": %q}, "log": {"level": "info", "json": true},
  "entry": {
    "caller": %q, "ready": %q, "store": %q, "memory_mb": 134, "max_files": 4100, "link_mbps": 1000.0,
    "repeat_ratio": 0.9, "repeat_slack": 54, "repeat_window_s": 10, "stop_s": 8, "session_s": 5,
    "exposed_share": 0.15, "exposed_slack": 30, "calm_ms": 3000, "apply_ms": 2000, "drain_ms": 2000,
    "capabilities": ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"]
  }
}`

// daemon is a daemon of the project in a process of its own.
type daemon struct {
	name, zone          string
	caller, ready, peer string
	store, dir          string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// started are the daemons whose processes were started.
var started struct {
	mu      sync.Mutex
	daemons []*daemon
}

// killStarted ends all processes that were started.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, d := range started.daemons {
		d.kill()
	}
}

// The ports of daemons and engines are below those that the kernel gives to outgoing connections. Each
// process of the harness has a range of its own among them, so that several can run at once.
const (
	firstPort  = 12_000
	portRanges = 50
	rangePorts = 400
)

// portsTaken is the number of ports of the range that freeAddress has tried.
var portsTaken atomic.Int64

func freeAddress() (string, error) {
	first := firstPort + os.Getpid()%portRanges*rangePorts
	for {
		n := portsTaken.Add(1) - 1
		if n >= rangePorts {
			return "", errors.New("no free port")
		}
		address := fmt.Sprintf("127.0.0.1:%d", first+int(n))
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
}

// newDaemon returns a daemon that is not started. Its files are in dir.
func newDaemon(name, zone, store, dir string) (*daemon, error) {
	d := &daemon{name: name, zone: zone, store: store, dir: dir}
	for _, address := range []*string{&d.caller, &d.ready, &d.peer} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	text := fmt.Sprintf(settings, name, zone, d.peer, d.caller, d.ready, store)
	return d, os.WriteFile(d.path(".hujson"), []byte(text), 0o600)
}

func (d *daemon) path(suffix string) string { return filepath.Join(d.dir, d.name+suffix) }

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	logFile, err := os.OpenFile(d.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(daemonBinary, "run-entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMPITCH_BOOT=" + d.path(".hujson")}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.process, d.exited = cmd, exited
	d.mu.Unlock()
	started.mu.Lock()
	started.daemons = append(started.daemons, d)
	started.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends the signal to the process that start created.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its exit.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// awaitReady waits until the daemon answers the readiness check with 200.
func (d *daemon) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready + "/gypsumpitch/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.name, timeout)
}
