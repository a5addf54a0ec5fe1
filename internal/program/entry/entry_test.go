package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/proof/loopback"
	"gypsumpitch.example/gypsumpitch/platform/standin"
)

// deployment is a store, some servers and some daemons.
type deployment struct {
	t     *testing.T
	store *standin.Store
}

// server is a stand-in of a backend server; it answers after hold is closed.
type server struct {
	id    string
	calls atomic.Int32
	hold  chan struct{}
	http  *httptest.Server
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return &deployment{t: t, store: standin.NewStore(t)}
}

func (d *deployment) startServer(id string) *server {
	d.t.Helper()
	s := &server{id: id, hold: make(chan struct{})}
	close(s.hold)
	s.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		<-s.hold
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Engine-Stamp", "signed")
		w.Header().Set("Instance-Id", id)
		if r.Header.Get("Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.WriteString(w, "answer of "+id+" to "+r.Header.Get("Tenant"))
	}))
	d.t.Cleanup(s.http.Close)
	d.register(s, "ready")
	return s
}

func (d *deployment) register(s *server, state string) {
	d.store.Put("servers", s.id, fmt.Sprintf(`{"service":"app","address":%q,"zone":"dc-1","version":"v1","slots":8,"state":%q}`,
		s.http.Listener.Addr().String(), state))
}

func (d *deployment) configure(version int, key string) {
	d.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"desk.example","prefix":"/app/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":100,"service":"app","maxAttempts":1}],
		"services":[{"name":"app"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"smiths","apiKeys":[%q]}]}`, version, key))
}

// daemon is one entry daemon.
type daemon struct {
	t        *testing.T
	settings settings.Settings
	stop     context.CancelFunc
	ended    chan error
}

func (d *deployment) startDaemon(name string) *daemon {
	d.t.Helper()
	s := settings.Default()
	s.Host, s.DataCentre = name, "dc-1"
	s.Listen.Peer, s.Entry.Caller, s.Entry.Ready, s.Entry.Metrics = loopback.FreeAddress(d.t), loopback.FreeAddress(d.t), loopback.FreeAddress(d.t), loopback.FreeAddress(d.t)
	s.Entry.Store, s.Entry.StopS = d.store.Address(), 5
	e, err := Assemble(hclog.NewNullLogger(), s)
	assert.NilError(d.t, err)
	ctx, stop := context.WithCancel(d.t.Context())
	m := &daemon{t: d.t, settings: s, stop: stop, ended: make(chan error, 1)}
	path := filepath.Join(d.t.TempDir(), "settings.hujson")
	assert.NilError(d.t, os.WriteFile(path, []byte("{}"), 0o600))
	go func() { m.ended <- e.Run(ctx, path) }()
	d.t.Cleanup(stop)
	return m
}

// ask makes a request and returns the status and the body; 0 without an answer.
func (m *daemon) ask(key string) (int, string) {
	m.t.Helper()
	request, err := http.NewRequestWithContext(m.t.Context(), http.MethodPost, "http://"+m.settings.Entry.Caller+"/app/1", strings.NewReader("body"))
	assert.NilError(m.t, err)
	request.Host = "desk.example"
	request.Header.Set("Request-Id", "9c41d07be2a35f68")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func (m *daemon) get(address, path string) (int, string) {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// eventually waits for what must come.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 400 {
		if is() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatal("never: " + what)
}

// TestLifeOfAnEntryHost walks through what a host sees: no configuration yet,
// requests, a key that changes, a server that leaves, the store away and back with
// its history gone, and a planned stop with a request under way.
func TestLifeOfAnEntryHost(t *testing.T) {
	d := newDeployment(t)
	m := d.startDaemon("entry-1")
	eventually(t, "refused without a configuration", func() bool { status, _ := m.ask("k1"); return status == 503 })
	status, _ := m.get(m.settings.Entry.Ready, "/")
	assert.Equal(t, status, 503)

	first, second := d.startServer("e1"), d.startServer("e2")
	d.configure(1, "k1")
	eventually(t, "ready", func() bool { status, _ := m.get(m.settings.Entry.Ready, "/"); return status == 200 })
	eventually(t, "served", func() bool {
		status, body := m.ask("k1")
		return status == 200 && strings.HasSuffix(body, "to smiths")
	})
	eventually(t, "announced to other daemons", func() bool {
		return strings.Contains(d.store.Get("gypsumpitch", "host/entry-1"), m.settings.Listen.Peer)
	})
	_, text := m.get(m.settings.Entry.Metrics, "/metrics")
	assert.Assert(t, strings.Contains(text, `gypsumpitch_relay_requests_total{pool="app",code="0",reason="ok"}`), "%s", text)

	d.configure(2, "k2")
	eventually(t, "the new key is in force", func() bool { status, _ := m.ask("k2"); return status == 200 })
	status, _ = m.ask("k1")
	assert.Equal(t, status, 401)

	d.register(first, "draining")
	eventually(t, "only the other server is asked", func() bool {
		before := first.calls.Load()
		for range 5 {
			m.ask("k2")
		}
		return first.calls.Load() == before
	})

	d.store.SetFaults(standin.Faults{Unavailable: true})
	eventually(t, "unknown keys may be new while the store is away", func() bool { status, _ := m.ask("k3"); return status == 503 })
	status, _ = m.ask("k2")
	assert.Equal(t, status, 200, "what is known goes on")
	d.configure(3, "k3")
	d.store.Compact()
	d.store.SetFaults(standin.Faults{})
	eventually(t, "the newest configuration", func() bool { status, _ := m.ask("k3"); return status == 200 })

	second.hold = make(chan struct{})
	answered := make(chan int, 1)
	go func() { status, _ := m.ask("k3"); answered <- status }()
	calls := second.calls.Load()
	eventually(t, "the request is under way", func() bool { return second.calls.Load() > calls || len(answered) > 0 })
	m.stop()
	eventually(t, "out of the balancer", func() bool { status, _ := m.get(m.settings.Entry.Ready, "/"); return status == 503 })
	close(second.hold)
	assert.Equal(t, <-answered, 200)
	assert.NilError(t, <-m.ended)
}

// TestRolloutIsDrivenOnce lets three daemons drive a roll-out of 6 s to a version
// that has servers; one of them is ended midway.
func TestRolloutIsDrivenOnce(t *testing.T) {
	d := newDeployment(t)
	d.startServer("e1")
	target := d.startServer("e2")
	d.configure(1, "k1")
	var daemons []*daemon
	for i := range 3 {
		daemons = append(daemons, d.startDaemon(fmt.Sprintf("entry-%d", i)))
	}
	for _, m := range daemons {
		eventually(t, "served", func() bool { status, _ := m.ask("k1"); return status == 200 })
	}
	d.store.Put("servers", "e2", fmt.Sprintf(`{"service":"app","address":%q,"zone":"dc-1","version":"v2","slots":8,"state":"ready"}`, target.http.Listener.Addr().String()))
	d.store.Put("op", "rollout/app", `{"service":"app","target":"v2","durationS":6}`)
	eventually(t, "running", func() bool { return strings.Contains(d.store.Get("status", "rollout/app"), "running") })
	daemons[0].stop()
	eventually(t, "completed", func() bool { return strings.Contains(d.store.Get("status", "rollout/app"), "completed") })
	status, body := daemons[1].ask("k1")
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.HasPrefix(body, "answer of e2"), body)
}
