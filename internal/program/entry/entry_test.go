package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/proof/loopback"
	"gypsumpitch.example/gypsumpitch/platform/standin"
)

// deployment is a store that the test's backend servers and daemons use.
type deployment struct {
	t     *testing.T
	store *standin.Store
}

// backendServer answers each request after release is closed. It rejects requests that
// are meant for another server.
type backendServer struct {
	id       string
	requests atomic.Int32
	release  chan struct{}
	http     *httptest.Server
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return &deployment{t: t, store: standin.NewStore(t)}
}

func (d *deployment) startBackendServer(id string) *backendServer {
	d.t.Helper()
	s := &backendServer{id: id, release: make(chan struct{})}
	close(s.release)
	s.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		<-s.release
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

func (d *deployment) register(s *backendServer, state string) {
	d.store.Put("servers", s.id, fmt.Sprintf(`{"service":"app","address":%q,"zone":"dc-1","version":"v1","slots":8,"state":%q}`,
		s.http.Listener.Addr().String(), state))
}

func (d *deployment) configure(version int, key string) {
	d.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"desk.example","prefix":"/app/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":100,"service":"app","maxAttempts":1}],
		"services":[{"name":"app"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"smiths","apiKeys":[%q]}]}`, version, key))
}

// runningDaemon is a daemon of an entry host.
type runningDaemon struct {
	t        *testing.T
	settings settings.Settings
	stop     context.CancelFunc
	exited   chan error
}

func (d *deployment) startDaemon(name string) *runningDaemon {
	d.t.Helper()
	return d.startDaemonWith(name, func(*listenerSet) {})
}

// startDaemonWith starts a daemon whose listeners are changed before they serve.
func (d *deployment) startDaemonWith(name string, change func(*listenerSet)) *runningDaemon {
	d.t.Helper()
	s := settings.Default()
	s.Host, s.DataCentre = name, "dc-1"
	s.Listen.Peer, s.Entry.Caller, s.Entry.Ready, s.Entry.Metrics = loopback.FreeAddress(d.t), loopback.FreeAddress(d.t), loopback.FreeAddress(d.t), loopback.FreeAddress(d.t)
	s.Entry.Store, s.Entry.StopS = d.store.Address(), 5
	daemon, err := Assemble(hclog.NewNullLogger(), s)
	assert.NilError(d.t, err)
	ctx, stop := context.WithCancel(d.t.Context())
	r := &runningDaemon{t: d.t, settings: s, stop: stop, exited: make(chan error, 1)}
	path := filepath.Join(d.t.TempDir(), "settings.hujson")
	assert.NilError(d.t, os.WriteFile(path, []byte("{}"), 0o600))
	file := &settingsFile{path: path, last: []byte("{}"), hangUp: make(chan os.Signal, 1)}
	listeners, err := daemon.listen()
	assert.NilError(d.t, err)
	change(listeners)
	go func() { r.exited <- daemon.serve(ctx, file, listeners) }()
	d.t.Cleanup(stop)
	return r
}

// request sends a request and returns the status and the body of the response. Without
// a response, it returns 0 and the error.
func (r *runningDaemon) request(key string) (int, string) {
	r.t.Helper()
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, "http://"+r.settings.Entry.Caller+"/app/1", strings.NewReader("body"))
	assert.NilError(r.t, err)
	req.Host = "desk.example"
	req.Header.Set("Request-Id", "9c41d07be2a35f68")
	req.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func (r *runningDaemon) get(address, path string) (int, string) {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// eventually waits until the condition holds. It fails the test after about 10 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatal("timed out waiting for: " + description)
}

// TestDaemonLifecycle takes one daemon through a start without a configuration, a change
// of a key, a draining server, a store outage after which the store has compacted its
// changes, and a shutdown with a request in flight.
func TestDaemonLifecycle(t *testing.T) {
	d := newDeployment(t)
	daemon := d.startDaemon("entry-1")
	eventually(t, "rejected without a configuration", func() bool { status, _ := daemon.request("k1"); return status == 503 })
	status, _ := daemon.get(daemon.settings.Entry.Ready, "/")
	assert.Equal(t, status, 503)

	first, second := d.startBackendServer("e1"), d.startBackendServer("e2")
	d.configure(1, "k1")
	eventually(t, "ready", func() bool { status, _ := daemon.get(daemon.settings.Entry.Ready, "/"); return status == 200 })
	eventually(t, "served", func() bool {
		status, body := daemon.request("k1")
		return status == 200 && strings.HasSuffix(body, "to smiths")
	})
	eventually(t, "announced to other daemons", func() bool {
		return strings.Contains(d.store.Get("gypsumpitch", "host/entry-1"), daemon.settings.Listen.Peer)
	})
	_, text := daemon.get(daemon.settings.Entry.Metrics, "/metrics")
	assert.Assert(t, strings.Contains(text, `gypsumpitch_relay_requests_total{pool="app",code="0",reason="ok"}`), "%s", text)

	d.configure(2, "k2")
	eventually(t, "new key in force", func() bool { status, _ := daemon.request("k2"); return status == 200 })
	status, _ = daemon.request("k1")
	assert.Equal(t, status, 401)

	d.register(first, "draining")
	eventually(t, "no requests to the draining server", func() bool {
		before := first.requests.Load()
		for range 5 {
			daemon.request("k2")
		}
		return first.requests.Load() == before
	})

	d.store.SetFaults(standin.Faults{Unavailable: true})
	eventually(t, "unknown keys rejected as unavailable, since they may be new, during the outage", func() bool { status, _ := daemon.request("k3"); return status == 503 })
	status, _ = daemon.request("k2")
	assert.Equal(t, status, 200, "known keys work during the outage")
	d.configure(3, "k3")
	d.store.Compact()
	d.store.SetFaults(standin.Faults{})
	eventually(t, "newest configuration in force after the outage", func() bool { status, _ := daemon.request("k3"); return status == 200 })

	second.release = make(chan struct{})
	answered := make(chan int, 1)
	go func() { status, _ := daemon.request("k3"); answered <- status }()
	requests := second.requests.Load()
	eventually(t, "request in flight", func() bool { return second.requests.Load() > requests || len(answered) > 0 })
	daemon.stop()
	eventually(t, "readiness check fails", func() bool { status, _ := daemon.get(daemon.settings.Entry.Ready, "/"); return status == 503 })
	close(second.release)
	assert.Equal(t, <-answered, 200)
	assert.NilError(t, <-daemon.exited)
}

// TestRolloutCompletesAfterDaemonStops stops one of three daemons during a roll-out of
// 6 s. The others must complete it and route requests to the target version.
func TestRolloutCompletesAfterDaemonStops(t *testing.T) {
	d := newDeployment(t)
	d.startBackendServer("e1")
	target := d.startBackendServer("e2")
	d.configure(1, "k1")
	var daemons []*runningDaemon
	for i := range 3 {
		daemons = append(daemons, d.startDaemon(fmt.Sprintf("entry-%d", i)))
	}
	for _, daemon := range daemons {
		eventually(t, "served", func() bool { status, _ := daemon.request("k1"); return status == 200 })
	}
	d.store.Put("servers", "e2", fmt.Sprintf(`{"service":"app","address":%q,"zone":"dc-1","version":"v2","slots":8,"state":"ready"}`, target.http.Listener.Addr().String()))
	d.store.Put("op", "rollout/app", `{"service":"app","target":"v2","durationS":6}`)
	eventually(t, "running", func() bool { return strings.Contains(d.store.Get("status", "rollout/app"), "running") })
	daemons[0].stop()
	eventually(t, "completed", func() bool { return strings.Contains(d.store.Get("status", "rollout/app"), "completed") })
	status, body := daemons[1].request("k1")
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.HasPrefix(body, "answer of e2"), body)
}

// breakableListener returns errBroken from Accept once it is broken.
type breakableListener struct {
	net.Listener
	broken chan struct{}
}

var errBroken = errors.New("broken")

func (l *breakableListener) Accept() (net.Conn, error) {
	<-l.broken
	return nil, errBroken
}

// TestListenerFailureDrains breaks the listener for peers while a request is in flight. Its
// caller must get the answer before the daemon returns the error, and the readiness check
// must fail meanwhile.
func TestListenerFailureDrains(t *testing.T) {
	d := newDeployment(t)
	server := d.startBackendServer("e1")
	d.configure(1, "k1")
	peers := &breakableListener{broken: make(chan struct{})}
	daemon := d.startDaemonWith("entry-1", func(set *listenerSet) { peers.Listener, set.peers = set.peers, peers })
	eventually(t, "served", func() bool { status, _ := daemon.request("k1"); return status == 200 })
	server.release = make(chan struct{})
	requests := server.requests.Load()
	answered := make(chan int, 1)
	go func() { status, _ := daemon.request("k1"); answered <- status }()
	eventually(t, "request in flight", func() bool { return server.requests.Load() > requests || len(answered) > 0 })
	close(peers.broken)
	eventually(t, "readiness check fails", func() bool { status, _ := daemon.get(daemon.settings.Entry.Ready, "/"); return status == 503 })
	assert.Equal(t, len(daemon.exited), 0, "the daemon must not return before the request in flight has ended")
	close(server.release)
	assert.Equal(t, <-answered, 200)
	assert.ErrorIs(t, <-daemon.exited, errBroken)
}

// interruptedListener returns one network error from Accept, in place of the first connection.
type interruptedListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *interruptedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.failed.CompareAndSwap(false, true) {
		_ = conn.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EHOSTUNREACH)}
	}
	return conn, err
}

// TestListenersOutlastNetworkErrors guards against a daemon that ends because accept returned the
// error of one connection, which Linux passes on there.
func TestListenersOutlastNetworkErrors(t *testing.T) {
	cases := map[string]func(*listenerSet) *net.Listener{
		"callers":   func(set *listenerSet) *net.Listener { return &set.callers },
		"readiness": func(set *listenerSet) *net.Listener { return &set.readiness },
		"peers":     func(set *listenerSet) *net.Listener { return &set.peers },
		"metrics":   func(set *listenerSet) *net.Listener { return &set.metrics },
	}
	for name, listenerOf := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.startBackendServer("e1")
			d.configure(1, "k1")
			interrupted := &interruptedListener{}
			daemon := d.startDaemonWith("entry-1", func(set *listenerSet) {
				listener := listenerOf(set)
				interrupted.Listener, *listener = *listener, interrupted
			})
			conn, err := net.Dial("tcp", interrupted.Addr().String())
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
			eventually(t, "interrupted", interrupted.failed.Load)
			eventually(t, "served", func() bool { status, _ := daemon.request("k1"); return status == 200 })
			eventually(t, "ready", func() bool { status, _ := daemon.get(daemon.settings.Entry.Ready, "/"); return status == 200 })
			assert.Equal(t, len(daemon.exited), 0)
		})
	}
}
