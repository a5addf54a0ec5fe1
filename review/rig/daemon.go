//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of the deploy file's role.
type daemon struct {
	name, ip, zone, front, ready, peer string
	settings, log                      string
	store                              string
	memoryMB                           int
	contracts                          string

	mu         sync.Mutex
	cmd        *exec.Cmd
	done       chan struct{}
	exits      []string
	expectExit bool
}

// loopbackIP returns an address of this run's own, so that ports of other connections don't collide.
func loopbackIP(last int) string { return fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, last) }

// engineIP is the address of all engines; they differ in their ports.
func engineIP() string { return loopbackIP(200) }

// freePorts returns free addresses, all different.
func freePorts(ip string, n int) (list []string) {
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		must(err)
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

func newDaemon(i int, zone, store string) *daemon {
	ip := loopbackIP(i + 1)
	d := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, i), ip: ip, zone: zone, store: store, memoryMB: 134,
		contracts: `["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"]`}
	ports := freePorts(ip, 3)
	d.front, d.ready, d.peer = ports[0], ports[1], ports[2]
	d.settings = filepath.Join(workDir, d.name+".hujson")
	d.log = filepath.Join(workDir, d.name+".log")
	d.writeSettings()
	return d
}

// writeSettings fills in the template of the deploy file.
func (d *daemon) writeSettings() {
	text, err := os.ReadFile("deploy/settings.hujson")
	must(err)
	s := string(text)
	for name, value := range map[string]string{
		"{{node|json}}": fmt.Sprintf("%q", d.name), "{{zone|json}}": fmt.Sprintf("%q", d.zone),
		"{{ip}}:{{internalPorts.0}}": d.peer, "{{listen.front|json}}": fmt.Sprintf("%q", d.front),
		"{{listen.ready|json}}": fmt.Sprintf("%q", d.ready), "{{ip}}": d.ip, "{{platform.address|json}}": fmt.Sprintf("%q", d.store),
		"{{limits.memoryMb}}": fmt.Sprint(d.memoryMB), "{{limits.maxFds}}": "4100",
		"{{#limits.linkMbps}}{{.}}{{/limits.linkMbps}}{{^limits.linkMbps}}0{{/limits.linkMbps}}": "1000",
		"{{bounds.retryBudgetRatio}}": "0.9", "{{bounds.retryBudgetSlack}}": "54", "{{bounds.budgetWindowS}}": "10", "{{bounds.graceS}}": "8",
		"{{bounds.sessionS}}": "5", "{{bounds.exposureShare}}": "0.15",
		"{{#bounds.exposureSlack}}{{.}}{{/bounds.exposureSlack}}{{^bounds.exposureSlack}}0{{/bounds.exposureSlack}}": "30",
		"{{bounds.stableWindowMs}}": "3000", "{{bounds.configApplyMs}}": "2000", "{{bounds.drainMs}}": "2000", "{{contracts|json}}": d.contracts,
	} {
		if name != "{{ip}}" {
			s = strings.ReplaceAll(s, name, value)
		}
	}
	s = strings.ReplaceAll(s, "{{ip}}", d.ip)
	if strings.Contains(s, "{{") {
		panic("placeholders are left in the settings: " + s)
	}
	must(os.WriteFile(d.settings, []byte(s), 0o600))
}

func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		return
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/gypsumpitchd", "run-entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMPITCH_BOOT=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	must(cmd.Start())
	pids, err := os.OpenFile(filepath.Join(workDir, "pids"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	fmt.Fprintln(pids, cmd.Process.Pid)
	pids.Close()
	done := make(chan struct{})
	d.cmd, d.done, d.expectExit = cmd, done, false
	go func() {
		err := cmd.Wait()
		out.Close()
		d.mu.Lock()
		if !d.expectExit {
			d.exits = append(d.exits, fmt.Sprintf("%s ended by itself: %v", d.name, err))
		}
		d.cmd = nil
		d.mu.Unlock()
		close(done)
	}()
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		if s == syscall.SIGTERM || s == syscall.SIGKILL {
			d.expectExit = true
		}
		_ = d.cmd.Process.Signal(s)
	}
}

func (d *daemon) kill() {
	d.mu.Lock()
	done, running := d.done, d.cmd != nil
	d.mu.Unlock()
	if running {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-done
	}
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + d.ready + "/gypsumpitch/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func awaitReady(ds []*daemon) bool {
	end := time.Now().Add(15 * time.Second)
	for _, d := range ds {
		for !d.isReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
