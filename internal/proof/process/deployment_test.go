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
	operatorKey       = "operator-key"
	peerKey           = "peers-of-the-process-tests"
	accountKey        = "smiths-key"
	daemonCount       = 3
	engineCount       = 3
	eventuallyTimeout = 60 * time.Second // long enough for a slow machine; not a limit of the product
)

var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gypsumpitch")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir+"/", "../../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaryDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// deployment runs 3 daemons, 3 engines, 2 apps and stand-ins for the platform services, each
// in its own process.
type deployment struct {
	t             *testing.T
	dir           string
	processes     map[string]*exec.Cmd
	addresses     map[string]string // by process name, or by daemon name and listener
	editCount     int
	certFile      string // TLS on all listeners unless empty
	tokenInterval string
	badPercent    int // of the responses of small@v2
	client        *http.Client
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, addresses: map[string]string{}, client: &http.Client{Timeout: eventuallyTimeout}, tokenInterval: "5ms"}
	t.Cleanup(d.stopAll)
	return d
}

// start starts all processes, puts the initial tables and waits until requests are served.
func (d *deployment) start() {
	for _, role := range []string{"table", "objects", "hosts", "ratings"} {
		d.startStandin(role, role)
	}
	for i := 1; i <= engineCount; i++ {
		d.startStandin(fmt.Sprintf("engine-%d", i), "engine", "--holds", "small@v1", "--holds", "small@v2", "--cold-for", "300ms", "--slots", "64", "--token-every", d.tokenInterval, "--bad", fmt.Sprintf("small@v2=%d", d.badPercent))
	}
	d.startStandin("app-1", "app")
	d.startStandin("app-2", "app")
	for i := 1; i <= daemonCount; i++ {
		for _, listener := range []string{"caller", "operator", "peer"} {
			d.addresses[daemonName(i)+" "+listener] = loopback.FreeAddress(d.t)
		}
	}
	for i := 1; i <= daemonCount; i++ {
		d.startDaemon(i)
	}
	d.eventually("initial tables accepted", func() error { return d.putInitialTables() })
	for i := 1; i <= daemonCount; i++ {
		d.waitReady(i)
	}
	d.eventually("engines warm", func() error { return d.chatOK(1) })
}

func daemonName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (d *deployment) startProcess(name string, args ...string) {
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(d.t, err)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(d.t, cmd.Start())
	d.processes[name] = cmd
}

func (d *deployment) startStandin(name, role string, flags ...string) {
	if d.addresses[name] == "" {
		d.addresses[name] = loopback.FreeAddress(d.t)
	}
	args := append([]string{filepath.Join(binaryDir, "gypsumpitch-standin"), "--listen", d.addresses[name]}, flags...)
	d.startProcess(name, append(args, role)...)
}

func (d *deployment) startDaemon(i int) {
	name := daemonName(i)
	var seeds []string
	for j := 1; j <= daemonCount; j++ {
		seeds = append(seeds, d.addresses[daemonName(j)+" peer"])
	}
	settings := map[string]any{
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
		settings["tls"] = map[string]string{"cert_file": d.certFile, "key_file": d.certFile, "ca_file": d.certFile}
	}
	data, err := json.Marshal(settings)
	assert.NilError(d.t, err)
	file := filepath.Join(d.dir, name+".json")
	assert.NilError(d.t, os.WriteFile(file, data, 0o600))
	d.startProcess(name, filepath.Join(binaryDir, "gypsumpitchd"), "run", file)
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%2+1) }

func (d *deployment) initialDocument() *tables.Document {
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
	for i := 1; i <= engineCount; i++ {
		name := fmt.Sprintf("engine-%d", i)
		doc.Pools["text"].Servers[name] = tables.BackendServer{Address: d.addresses[name], DataCentre: dataCentre(i), Holds: []string{"small@v1", "small@v2"}, Slots: 64, ColdSlots: 2, ChecksFencing: true}
	}
	for i := 1; i <= 2; i++ {
		name := fmt.Sprintf("app-%d", i)
		doc.Pools["ledger"].Servers[name] = tables.BackendServer{Address: d.addresses[name], DataCentre: dataCentre(i), Slots: 64, ColdSlots: 64}
	}
	for i := 1; i <= daemonCount; i++ {
		doc.Hosts[daemonName(i)] = tables.Host{PeerAddress: d.addresses[daemonName(i)+" peer"], DataCentre: dataCentre(i), State: tables.InService}
	}
	return doc
}

// putInitialTables uses the peer key, since there are no operators before the first tables.
func (d *deployment) putInitialTables() error {
	body, err := json.Marshal(d.initialDocument())
	assert.NilError(d.t, err)
	_, err = d.callOperator(1, http.MethodPut, "/operator/v1/tables?base_version=0&edit_id=first", peerKey, body)
	return err
}

// applyAction sends an operator's action to a daemon and waits until it is accepted.
func (d *deployment) applyAction(i int, action tables.Action) {
	d.editCount++
	body, err := json.Marshal(action)
	assert.NilError(d.t, err)
	_, err = d.callOperator(i, http.MethodPost, fmt.Sprintf("/operator/v1/acts?edit_id=edit-%d", d.editCount), operatorKey, body)
	assert.NilError(d.t, err)
}

// callOperator returns an error for any status but 200.
func (d *deployment) callOperator(i int, method, path, key string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, d.url(i, "operator")+path, bytes.NewReader(body))
	assert.NilError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	status, responseBody, _, err := d.do(request)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, responseBody)
	}
	return responseBody, err
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
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, response.Header, err
}

// call sends a caller's request to a daemon. If there is no response, it returns status 0
// and the error text as the body.
func (d *deployment) call(i int, method, path, body string, headers map[string]string) (int, string, http.Header) {
	request, err := http.NewRequest(method, d.url(i, "caller")+path, strings.NewReader(body))
	assert.NilError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+accountKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	status, responseBody, header, err := d.do(request)
	if err != nil {
		return 0, err.Error(), http.Header{}
	}
	return status, string(responseBody), header
}

const chatBody = `{"model":"desk","messages":[{"role":"user","content":"a gate hinge"}]}`

// chatOK sends a chat request and returns an error for any status but 200.
func (d *deployment) chatOK(i int) error {
	status, body, _ := d.call(i, http.MethodPost, "/v1/chat/completions", chatBody, nil)
	if status != http.StatusOK {
		return fmt.Errorf("status %d: %s", status, body)
	}
	return nil
}

func (d *deployment) waitReady(i int) {
	d.eventually(daemonName(i)+" ready", func() error {
		status, body, _ := d.call(i, http.MethodGet, "/readyz", "", nil)
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, body)
		}
		return nil
	})
}

// eventually calls check until it returns nil. It fails the test with the last error after
// eventuallyTimeout.
func (d *deployment) eventually(condition string, check func() error) {
	d.t.Helper()
	var err error
	for start := time.Now(); time.Since(start) < eventuallyTimeout; time.Sleep(50 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	d.t.Fatalf("%s: %v", condition, err)
}

// setFaults replaces the faults of a stand-in by those of a JSON object.
func (d *deployment) setFaults(name, faults string) {
	response, err := http.Post("http://"+d.addresses[name]+"/faults", "application/json", strings.NewReader(faults))
	assert.NilError(d.t, err)
	assert.NilError(d.t, response.Body.Close())
	assert.Equal(d.t, response.StatusCode, http.StatusOK)
}

// getStandinJSON decodes the stand-in's response to a GET request.
func (d *deployment) getStandinJSON(name, path string, out any) {
	response, err := http.Get("http://" + d.addresses[name] + path)
	assert.NilError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(d.t, json.NewDecoder(response.Body).Decode(out))
}

func (d *deployment) signal(name string, s syscall.Signal) {
	assert.NilError(d.t, d.processes[name].Process.Signal(s))
}

// kill sends SIGKILL and waits until the process has exited.
func (d *deployment) kill(name string) {
	d.signal(name, syscall.SIGKILL)
	_ = d.processes[name].Wait()
}

// stop sends SIGTERM and fails the test unless the process exits with code 0.
func (d *deployment) stop(name string) {
	d.signal(name, syscall.SIGTERM)
	assert.NilError(d.t, d.processes[name].Wait(), "%s", name)
}

// stopAll also resumes frozen processes, since they could not be waited for otherwise.
func (d *deployment) stopAll() {
	for _, cmd := range d.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if d.t.Failed() {
		d.logOutput()
	}
}

// logOutput logs the last 2000 bytes of each daemon's output.
func (d *deployment) logOutput() {
	for i := 1; i <= daemonCount; i++ {
		output, err := os.ReadFile(filepath.Join(d.dir, daemonName(i)+".log"))
		if err == nil {
			d.t.Logf("%s:\n%s", daemonName(i), output[max(0, len(output)-2000):])
		}
	}
}

// loadPlan returns a plan of that rate in requests per second, over all kinds of requests
// and all daemons.
func (d *deployment) loadPlan(seconds int, rate float64) load.Plan {
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
	for i := 1; i <= daemonCount; i++ {
		plan.Targets = append(plan.Targets, d.url(i, "caller"))
	}
	return plan
}
