package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment on loopback addresses: the store, engines, daemons.
type deployment struct {
	root, dir, self string
	store           *store
	storeAddress    string
	subnet, lastIP  int
	trouble         bool

	mu        sync.Mutex
	recordTo  *os.File
	startedAt time.Time
	processes []*exec.Cmd
	reports   []engineReport
	daemons   []*daemon
}

// newDeployment starts a store. The record goes into the folder of the case.
func newDeployment(caseDir string) *deployment {
	self, err := os.Executable()
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	check(err)
	d := &deployment{
		root: filepath.Join(caseDir, "..", ".."), dir: dir, self: self, store: newStore(), subnet: 1 + rand.IntN(250),
		trouble: os.Getenv("TROUBLE") != "0", recordTo: record, startedAt: time.Now(),
	}
	l, err := net.Listen("tcp", d.nextIP()+":0")
	check(err)
	d.storeAddress = l.Addr().String()
	go d.store.serve(l)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.finish(2, "ended by a signal")
	}()
	d.record("trouble: %v", d.trouble)
	return d
}

// check ends the script: the case couldn't run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	}
}

// finish ends all processes and the script.
func (d *deployment) finish(code int, format string, args ...any) {
	d.record("verdict %d: %s", code, fmt.Sprintf(format, args...))
	d.mu.Lock()
	for _, p := range d.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	d.mu.Unlock()
	for _, p := range d.processes {
		_ = p.Wait()
	}
	_ = os.RemoveAll(d.dir)
	fmt.Printf("%s (exit %d)\n", fmt.Sprintf(format, args...), code)
	os.Exit(code)
}

func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordAt(time.Now(), format, args...)
}

func (d *deployment) recordAt(at time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(d.recordTo, "%9.3f s  %s\n", at.Sub(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// nextIP returns an unused loopback address.
func (d *deployment) nextIP() string {
	d.lastIP++
	return fmt.Sprintf("127.88.%d.%d", d.subnet, d.lastIP)
}

func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func waitListening(address string) {
	for range 200 {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(fmt.Errorf("nothing listens on %s", address))
}

// start starts a process that is ended with the script. What an engine prints is recorded.
func (d *deployment) start(name string, env []string, program string, args ...string) *exec.Cmd {
	cmd := exec.Command(program, args...)
	cmd.Dir = d.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	out, err := cmd.StdoutPipe()
	check(err)
	log, err := os.Create(filepath.Join(d.dir, name+"."+strconv.FormatInt(time.Now().UnixNano(), 36)+".log"))
	check(err)
	cmd.Stderr = log
	check(cmd.Start())
	d.mu.Lock()
	d.processes = append(d.processes, cmd)
	d.mu.Unlock()
	go d.readOutput(out, log)
	return cmd
}

func (d *deployment) readOutput(out io.Reader, log io.Writer) {
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 1<<20), 1<<20)
	for lines.Scan() {
		var r engineReport
		if json.Unmarshal(lines.Bytes(), &r) == nil && r.Engine != "" && r.What != "" {
			d.mu.Lock()
			d.reports = append(d.reports, r)
			d.recordAt(time.UnixMilli(r.At), "engine %s: %s %s %s from=%d events=%d status=%d tenant=%s", r.Engine, r.What, r.ID, r.Path, r.From, r.Events, r.Status, r.Tenant)
			d.mu.Unlock()
			continue
		}
		_, _ = fmt.Fprintln(log, lines.Text())
	}
}

// runs returns how often the request was run.
func (d *deployment) runs(id string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.reports {
		if r.ID == id && r.What == "run" {
			n++
		}
	}
	return n
}

// daemon is a daemon of the system on a machine with an address of its own.
type daemon struct {
	name, zone, ip, front, ready, settings string
	cmd                                    *exec.Cmd
}

// bounds are the bounds of the deployment kitami-commons.
func bounds() map[string]any {
	return map[string]any{
		"retryBudgetRatio": 0.9, "retryBudgetSlack": 54, "budgetWindowS": 10, "graceS": 8, "sessionS": 5,
		"exposureShare": 0.15, "stableWindowMs": 3000, "configApplyMs": 2000, "drainMs": 2000,
	}
}

// startDaemon starts a daemon with the command of the deploy file and the settings that its
// template gives.
func (d *deployment) startDaemon(name, zone string) *daemon {
	ip := d.nextIP()
	n := &daemon{name: name, zone: zone, ip: ip, front: freeAddress(ip), ready: freeAddress(ip), settings: filepath.Join(d.dir, name+".hujson")}
	d.writeSettings(n, bounds())
	n.cmd = d.start(name, []string{"GYPSUMPITCH_BOOT=" + n.settings}, d.command()[0], d.command()[1:]...)
	d.daemons = append(d.daemons, n)
	d.record("daemon %s in %s started, for clients at %s", name, zone, n.front)
	return n
}

// command returns the words of the line 'run' of the deploy file.
func (d *deployment) command() []string {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", "system.toml"))
	check(err)
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		check(fmt.Errorf("no line 'run' in the deploy file"))
	}
	words := strings.Fields(string(match[1]))
	words[0] = filepath.Join(d.root, words[0])
	return words
}

// writeSettings writes the settings file of a daemon from the template.
func (d *deployment) writeSettings(n *daemon, bounds map[string]any) {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", "settings.hujson"))
	check(err)
	fields := map[string]any{
		"node": n.name, "zone": n.zone, "ip": n.ip, "internalPorts": []any{7340, 7355},
		"listen":    map[string]any{"front": n.front, "ready": n.ready},
		"platform":  map[string]any{"address": d.storeAddress},
		"limits":    map[string]any{"memoryMb": 134, "maxFds": 4100, "linkMbps": 1000.0},
		"bounds":    bounds,
		"contracts": []any{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"},
	}
	check(os.WriteFile(n.settings, []byte(render(string(text), fields)), 0o600))
}

var (
	sections     = regexp.MustCompile(`\{\{([#^])([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in the forms of placeholders that the template uses.
func render(text string, fields map[string]any) string {
	text = sections.ReplaceAllStringFunc(text, func(s string) string {
		m := sections.FindStringSubmatch(s)
		value, ok := lookup(fields, m[2])
		if (m[1] == "#") != ok {
			return ""
		}
		return strings.ReplaceAll(m[3], "{{.}}", fmt.Sprint(value))
	})
	return placeholders.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholders.FindStringSubmatch(s)
		value, ok := lookup(fields, m[1])
		if !ok {
			return ""
		}
		if m[2] != "" {
			encoded, err := json.Marshal(value)
			check(err)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

func lookup(fields map[string]any, path string) (any, bool) {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			next, ok := v[name]
			if !ok {
				return nil, false
			}
			value = next
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(v) {
				return nil, false
			}
			value = v[i]
		default:
			return nil, false
		}
	}
	return value, true
}

// awaitReady waits until all daemons say that they are ready and know each other.
func (d *deployment) awaitReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range d.daemons {
		for {
			resp, err := client.Get("http://" + n.ready + "/gypsumpitch/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				d.finish(2, "daemon %s isn't ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for d.store.count("gypsumpitch", "host/") < len(d.daemons) {
		if time.Now().After(deadline) {
			d.finish(2, "the daemons haven't announced themselves")
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.record("all daemons are ready")
}

func notify(s os.Signal, f func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, s)
	go func() {
		for range signals {
			f()
		}
	}()
}
