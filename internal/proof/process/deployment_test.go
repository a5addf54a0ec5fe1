package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/experiment/load"
	"gypsumpitch.example/gypsumpitch/internal/proof/loopback"
)

const (
	operatorKey = "operator-key"
	peerKey     = "peers-of-the-process-tests"
	accountKey  = "smiths-key"
	daemons     = 3
	engines     = 3
	patience    = 60 * time.Second // for what must happen at some time; not a bound of the product
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gypsumpitch")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir+"/", "../../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// deployment is 3 daemons, 3 engines, 2 apps and the platform, one process each.
type deployment struct {
	t          *testing.T
	dir        string
	processes  map[string]*exec.Cmd
	addresses  map[string]string
	edits      int
	certFile   string
	tokenEvery string
	badPercent int // bad answers of small@v2
	client     *http.Client
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, addresses: map[string]string{}, client: &http.Client{Timeout: patience}, tokenEvery: "5ms"}
	t.Cleanup(d.stopAll)
	return d
}

// start runs everything and puts the first tables in force.
func (d *deployment) start() {
	for _, role := range []string{"table", "objects", "hosts", "ratings"} {
		d.standin(role, role)
	}
	for i := 1; i <= engines; i++ {
		d.standin(fmt.Sprintf("engine-%d", i), "engine", "--holds", "small@v1", "--holds", "small@v2", "--cold-for", "300ms", "--slots", "64", "--token-every", d.tokenEvery, "--bad", fmt.Sprintf("small@v2=%d", d.badPercent))
	}
	d.standin("app-1", "app")
	d.standin("app-2", "app")
	for i := 1; i <= daemons; i++ {
		for _, listener := range []string{"caller", "operator", "peer"} {
			d.addresses[daemonName(i)+" "+listener] = loopback.FreeAddress(d.t)
		}
	}
	for i := 1; i <= daemons; i++ {
		d.daemon(i)
	}
	d.eventually("first tables", func() error { return d.apply() })
	for i := 1; i <= daemons; i++ {
		d.awaitReady(i)
	}
	d.eventually("warm engines", func() error { return d.chatOK(1) })
}

func daemonName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (d *deployment) run(name string, args ...string) {
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(d.t, err)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(d.t, cmd.Start())
	d.processes[name] = cmd
}

func (d *deployment) standin(name, role string, flags ...string) {
	if d.addresses[name] == "" {
		d.addresses[name] = loopback.FreeAddress(d.t)
	}
	args := append([]string{filepath.Join(binaries, "gypsumpitch-standin"), "--listen", d.addresses[name]}, flags...)
	d.run(name, append(args, role)...)
}

func (d *deployment) daemon(i int) {
	name := daemonName(i)
	var seeds []string
	for j := 1; j <= daemons; j++ {
		seeds = append(seeds, d.addresses[daemonName(j)+" peer"])
	}
	s := map[string]any{
		"host":        name,
		"data_centre": dataCentre(i),
		"listen":      map[string]string{"caller": d.addresses[name+" caller"], "operator": d.addresses[name+" operator"], "peer": d.addresses[name+" peer"]},
		"peer":        map[string]any{"key": peerKey, "seeds": seeds},
		"platform": map[string]any{
			"table_service": "http://" + d.addresses["table"], "object_store": "http://" + d.addresses["objects"],
			"host_list": "http://" + d.addresses["hosts"], "rating": "http://" + d.addresses["ratings"],
		},
		"stop": map[string]any{"balancer_wait_ms": 600},
		"log":  map[string]any{"level": "debug"},
	}
	if d.certFile != "" {
		s["tls"] = map[string]string{"cert_file": d.certFile, "key_file": d.certFile, "ca_file": d.certFile}
	}
	text, err := json.Marshal(s)
	assert.NilError(d.t, err)
	file := filepath.Join(d.dir, name+".json")
	assert.NilError(d.t, os.WriteFile(file, text, 0o600))
	d.run(name, filepath.Join(binaries, "gypsumpitchd"), "run", file)
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%2+1) }

func (d *deployment) document() *tables.Document {
	doc := &tables.Document{
		Routes: map[string]tables.Route{
			"chat": {Kind: tables.KindModel, MatchModel: "desk", Pool: "text", Tiers: []string{"small"}, RequestLimitMs: 5_000, Class: "interactive"},
			"pay":  {Kind: tables.KindApp, MatchPath: "/ledger", Pool: "ledger", AtMostOnce: true, RequestLimitMs: 5_000, Class: "app"},
		},
		Pools: map[string]tables.Pool{
			"text":   {Kind: tables.KindModel, Servers: map[string]tables.BackendServer{}},
			"ledger": {Kind: tables.KindApp, Servers: map[string]tables.BackendServer{}},
		},
		Models: map[string]tables.Model{"small": {Versions: map[string]tables.ModelVersion{
			"v1": {State: tables.Active, Share: 1, CostMicrosPerToken: 10}, "v2": {State: tables.Active, Share: 1, CostMicrosPerToken: 10},
		}}},
		ClientAccounts: map[string]tables.ClientAccount{"smiths": {KeyHashes: []string{tables.HashKey(accountKey)}, Routes: []string{"chat", "pay"}, Allowed: []string{"small"}, Weight: 1}},
		Operators:      map[string]tables.Operator{"on-call": {KeyHashes: []string{tables.HashKey(operatorKey)}}},
		DataCentres:    map[string]tables.DataCentre{"dc-1": {State: tables.InService}, "dc-2": {State: tables.InService}},
		Hosts:          map[string]tables.Host{},
		SessionKeys:    []tables.SessionKey{{ID: "k1", Secret: "0123456789abcdef"}},
	}
	for i := 1; i <= engines; i++ {
		name := fmt.Sprintf("engine-%d", i)
		doc.Pools["text"].Servers[name] = tables.BackendServer{Address: d.addresses[name], DataCentre: dataCentre(i), Holds: []string{"small@v1", "small@v2"}, Slots: 64, ColdSlots: 2, ChecksFencing: true}
	}
	for i := 1; i <= 2; i++ {
		name := fmt.Sprintf("app-%d", i)
		doc.Pools["ledger"].Servers[name] = tables.BackendServer{Address: d.addresses[name], DataCentre: dataCentre(i), Slots: 64, ColdSlots: 64}
	}
	for i := 1; i <= daemons; i++ {
		doc.Hosts[daemonName(i)] = tables.Host{PeerAddress: d.addresses[daemonName(i)+" peer"], DataCentre: dataCentre(i), State: tables.InService}
	}
	return doc
}

func (d *deployment) apply() error {
	text, err := json.Marshal(d.document())
	assert.NilError(d.t, err)
	_, err = d.operator(1, http.MethodPut, "/operator/v1/tables?base_version=0&edit_id=first", peerKey, text)
	return err
}

// act takes an operator's act through a daemon and waits until it is accepted.
func (d *deployment) act(i int, act tables.Action) {
	d.edits++
	text, err := json.Marshal(act)
	assert.NilError(d.t, err)
	_, err = d.operator(i, http.MethodPost, fmt.Sprintf("/operator/v1/acts?edit_id=edit-%d", d.edits), operatorKey, text)
	assert.NilError(d.t, err)
}

func (d *deployment) operator(i int, method, path, key string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, d.url(i, "operator")+path, bytes.NewReader(body))
	assert.NilError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	status, text, _, err := d.do(request)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, text)
	}
	return text, err
}

func (d *deployment) url(i int, listener string) string {
	scheme := "http://"
	if d.certFile != "" {
		scheme = "https://"
	}
	return scheme + d.addresses[daemonName(i)+" "+listener]
}

func (d *deployment) do(request *http.Request) (int, []byte, http.Header, error) {
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, response.Header, err
}

// call sends a caller's request to a daemon.
func (d *deployment) call(i int, method, path, body string, headers map[string]string) (int, string, http.Header) {
	request, err := http.NewRequest(method, d.url(i, "caller")+path, strings.NewReader(body))
	assert.NilError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+accountKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	status, text, header, err := d.do(request)
	if err != nil {
		return 0, err.Error(), http.Header{}
	}
	return status, string(text), header
}

const chatBody = `{"model":"desk","messages":[{"role":"user","content":"a gate hinge"}]}`

func (d *deployment) chatOK(i int) error {
	status, text, _ := d.call(i, http.MethodPost, "/v1/chat/completions", chatBody, nil)
	if status != http.StatusOK {
		return fmt.Errorf("status %d: %s", status, text)
	}
	return nil
}

func (d *deployment) awaitReady(i int) {
	d.eventually(daemonName(i)+" ready", func() error {
		status, text, _ := d.call(i, http.MethodGet, "/readyz", "", nil)
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, text)
		}
		return nil
	})
}

// eventually waits for something that must come, however slow the machine is.
func (d *deployment) eventually(what string, try func() error) {
	d.t.Helper()
	var err error
	for began := time.Now(); time.Since(began) < patience; time.Sleep(50 * time.Millisecond) {
		if err = try(); err == nil {
			return
		}
	}
	d.t.Fatalf("%s: %v", what, err)
}

func (d *deployment) faults(name, switches string) {
	response, err := http.Post("http://"+d.addresses[name]+"/faults", "application/json", strings.NewReader(switches))
	assert.NilError(d.t, err)
	assert.NilError(d.t, response.Body.Close())
	assert.Equal(d.t, response.StatusCode, http.StatusOK)
}

// standinJSON reads what a stand-in tells of itself.
func (d *deployment) standinJSON(name, path string, out any) {
	response, err := http.Get("http://" + d.addresses[name] + path)
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(d.t, json.NewDecoder(response.Body).Decode(out))
}

func (d *deployment) signal(name string, s syscall.Signal) {
	assert.NilError(d.t, d.processes[name].Process.Signal(s))
}

// kill ends the process at once and waits until it is gone.
func (d *deployment) kill(name string) {
	d.signal(name, syscall.SIGKILL)
	_ = d.processes[name].Wait()
}

// stop ends the process gracefully and wants it to say so by exit code 0.
func (d *deployment) stop(name string) {
	d.signal(name, syscall.SIGTERM)
	assert.NilError(d.t, d.processes[name].Wait(), "%s", name)
}

func (d *deployment) stopAll() {
	for _, cmd := range d.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if d.t.Failed() {
		d.showLogs()
	}
}

func (d *deployment) showLogs() {
	for i := 1; i <= daemons; i++ {
		text, err := os.ReadFile(filepath.Join(d.dir, daemonName(i)+".log"))
		if err == nil {
			d.t.Logf("%s:\n%s", daemonName(i), text[max(0, len(text)-2000):])
		}
	}
}

func (d *deployment) plan(seconds int, rate float64) load.Plan {
	plan := load.Plan{
		Accounts: []load.ClientAccount{{Name: "smiths", Key: accountKey, Weight: 1}},
		Mix: []load.MixEntry{
			{Kind: load.KindComplete, Model: "desk", Weight: 2}, {Kind: load.KindStream, Model: "desk", Weight: 2},
			{Kind: load.KindSession, Model: "desk", Weight: 2}, {Kind: load.KindGet, Path: "/ledger/balance", Weight: 1},
			{Kind: load.KindPost, Path: "/ledger/entries", Weight: 2},
		},
		Duration: time.Duration(seconds) * time.Second,
		Rate:     rate,
		Seed:     20261203,
	}
	for i := 1; i <= daemons; i++ {
		plan.Targets = append(plan.Targets, d.url(i, "caller"))
	}
	return plan
}
