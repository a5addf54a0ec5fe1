package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/standin"
	"gypsumpitch.example/gypsumpitch/internal/traffic/app"
	"gypsumpitch.example/gypsumpitch/internal/traffic/bills"
	"gypsumpitch.example/gypsumpitch/internal/traffic/claims"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
	"gypsumpitch.example/gypsumpitch/internal/traffic/engine"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// fixture is a caller server before one warm engine, without peers.
type fixture struct {
	server *Server
	table  *standin.TableMemory
	mu     sync.Mutex
	events []controlstate.Event
}

func newFixture(t *testing.T) *fixture {
	engineServer := httptest.NewServer(standin.NewEngine(standin.EngineSettings{Holds: []string{"small@v1"}, Slots: 8, Tokens: 40}, &standin.Switch{}).Handler())
	t.Cleanup(engineServer.Close)
	key := placement.ServerKey{Pool: "text", Server: "engine-1"}
	snapshot := &controlstate.Snapshot{
		Self:             "entry-1",
		ConfirmedUntil:   1 << 60,
		Servers:          map[placement.ServerKey]placement.ServerState{key: {Reported: true}},
		PreferredServers: map[string][]string{"text": {"engine-1"}},
		Document: &tables.Document{
			Routes:         map[string]tables.Route{"chat": {Kind: tables.KindModel, MatchModel: "desk", Pool: "text", Tiers: []string{"small"}, RequestLimitMs: 5_000}},
			Pools:          map[string]tables.Pool{"text": {Servers: map[string]tables.BackendServer{"engine-1": {Address: strings.TrimPrefix(engineServer.URL, "http://"), DataCentre: "dc-1", Holds: []string{"small@v1"}, Slots: 8}}}},
			Models:         map[string]tables.Model{"small": {Versions: map[string]tables.ModelVersion{"v1": {State: tables.Active, Share: 1}}}},
			ClientAccounts: map[string]tables.ClientAccount{"smiths": {KeyHashes: []string{tables.HashKey("key")}, Routes: []string{"chat"}, Allowed: []string{"small"}, Weight: 1}},
			DataCentres:    map[string]tables.DataCentre{"dc-1": {State: tables.InService}},
			Hosts:          map[string]tables.Host{"entry-1": {DataCentre: "dc-1", State: tables.InService}},
		},
	}
	c := &common.Common{Log: hclog.NewNullLogger(), Clock: clock.NewSystem(), Settings: settings.Default()}
	snapshots := func() *controlstate.Snapshot { return snapshot }
	table := standin.NewTableMemory()
	f := &fixture{table: table}
	f.server = NewServer(Dependencies{
		Common: c, Snapshots: snapshots, Notify: f.note,
		Dispatcher: dispatch.NewDispatcher(c.Clock, snapshots, placement.NewInFlightCounters(), placement.Scored{}, 100),
		Engines:    engine.NewClient(1 << 20), Apps: app.NewClient(1 << 20),
		Bills: bills.NewRecorder(c, table, nil, snapshots), Claims: claims.NewCoordinator(c, table, snapshots, claims.NewBacklog(table)),
		Quality: quality.NewTracker(c, nil), Metrics: NewMetrics(),
	})
	return f
}

func (f *fixture) note(e controlstate.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// goneWriter is a caller whose connection fails after some writes.
type goneWriter struct {
	*httptest.ResponseRecorder
	left int
}

func (g *goneWriter) Write(b []byte) (int, error) {
	if g.left--; g.left < 0 {
		return 0, errors.New("connection reset by caller")
	}
	return g.ResponseRecorder.Write(b)
}

func request(t *testing.T, body string) *http.Request {
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key")
	return r
}

// TestCallerThatLeavesSaysNothingOfTheServer cuts the caller's side of a stream:
// the engine must not be taken for failed or cold.
func TestCallerThatLeavesSaysNothingOfTheServer(t *testing.T) {
	f := newFixture(t)
	w := &goneWriter{httptest.NewRecorder(), 3}
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		f.server.Handler().ServeHTTP(w, request(t, `{"model":"desk","stream":true,"messages":[{"content":"x"}]}`))
	}()
	assert.Equal(t, len(f.events), 0)
}

// TestOneKeyForTwoPrompts bills both, and a repeat of one only once.
func TestOneKeyForTwoPrompts(t *testing.T) {
	f := newFixture(t)
	for _, prompt := range []string{"x", "y", "x"} {
		r := request(t, `{"model":"desk","messages":[{"content":"`+prompt+`"}]}`)
		r.Header.Set(HeaderIdempotencyKey, "k1")
		w := httptest.NewRecorder()
		f.server.Handler().ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	}
	rows, err := f.table.Scan(t.Context(), bills.Table, "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2)
}

// TestSlowBodyIsRefused sends half a body and no more.
func TestSlowBodyIsRefused(t *testing.T) {
	f := newFixture(t)
	f.server.Common.Settings.Limits.BodyReadMs = 50
	listener := httptest.NewServer(f.server.Handler())
	t.Cleanup(listener.Close)
	conn, err := net.Dial("tcp", listener.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: 100\r\n\r\n{")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.Header.Get("X-Result-Code"), "1008")
	assert.Equal(t, response.Header.Get("X-Run"), "no")
}

// TestCallerThatDoesNotReadIsLetGo asks for a long stream and reads nothing.
func TestCallerThatDoesNotReadIsLetGo(t *testing.T) {
	f := newFixture(t)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	f.server.Handler().ServeHTTP(w, request(t, `{"model":"desk","stream":true,"messages":[{"content":"x"}]}`))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, !w.bound.IsZero() && time.Until(w.bound) < 11*time.Second, "the route's limit and the grace must bound the writes")
}

// deadlineRecorder remembers the last bound of its writes.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	bound time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	d.bound = at
	return nil
}

// TestStoppingDaemonClosesConnections asks callers to come back elsewhere.
func TestStoppingDaemonClosesConnections(t *testing.T) {
	f := newFixture(t)
	f.server.BeginShutdown()
	w := httptest.NewRecorder()
	f.server.Handler().ServeHTTP(w, request(t, `{"model":"desk","messages":[{"content":"x"}]}`))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Header().Get("Connection"), "close")
	assert.Assert(t, !f.server.Ready())
}
