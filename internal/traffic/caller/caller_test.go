package caller

import (
	"bufio"
	"context"
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

// fixture is a server with one warm engine and no peers.
type fixture struct {
	server *Server
	table  *standin.MemoryTableService
	mu     sync.Mutex
	events []controlstate.Event
}

func newFixture(t *testing.T) *fixture {
	engineServer := httptest.NewServer(standin.NewEngine(standin.EngineSettings{LoadedModels: []string{"small@v1"}, Slots: 8, ResponseTokens: 40}, &standin.FaultInjector{}).Handler())
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
	table := standin.NewMemoryTableService()
	f := &fixture{table: table}
	f.server = NewServer(Dependencies{
		Common: c, Snapshot: snapshots, Notify: f.recordEvent,
		Dispatcher: dispatch.NewDispatcher(c.Clock, snapshots, placement.NewInFlightCounters(), placement.Scored{}, 100),
		Engines:    engine.NewClient(1 << 20), Apps: app.NewClient(1 << 20),
		Bills: bills.NewRecorder(c, table, nil, snapshots), Claims: claims.NewCoordinator(c, table, snapshots, claims.NewBacklog(table)),
		Quality: quality.NewTracker(c, nil), Metrics: NewMetrics(),
	})
	return f
}

func (f *fixture) recordEvent(e controlstate.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// disconnectingWriter is a caller whose connection fails after some writes.
type disconnectingWriter struct {
	*httptest.ResponseRecorder
	writesLeft int
}

func (w *disconnectingWriter) Write(b []byte) (int, error) {
	if w.writesLeft--; w.writesLeft < 0 {
		return 0, errors.New("connection reset by caller")
	}
	return w.ResponseRecorder.Write(b)
}

func request(t *testing.T, body string) *http.Request {
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key")
	return r
}

// TestCallerDisconnectIsNotServerFailure guards against reporting a failure of the engine
// when a write to the caller fails in the middle of a stream: callers that disconnect
// would eject healthy servers.
func TestCallerDisconnectIsNotServerFailure(t *testing.T) {
	f := newFixture(t)
	w := &disconnectingWriter{httptest.NewRecorder(), 3}
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		f.server.Handler().ServeHTTP(w, request(t, `{"model":"desk","stream":true,"messages":[{"content":"x"}]}`))
	}()
	assert.Equal(t, len(f.events), 0)
}

// TestIdempotencyKeyBillsEachPromptOnce guards against billing a repeated prompt twice, and
// against not billing another prompt that is sent with the same idempotency key.
func TestIdempotencyKeyBillsEachPromptOnce(t *testing.T) {
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

// TestIncompleteBodyTimesOut guards against waiting without limit for the rest of a request
// body that the caller never sends.
func TestIncompleteBodyTimesOut(t *testing.T) {
	f := newFixture(t)
	f.server.Common.Settings.Limits.BodyReadMs = 50
	server := httptest.NewServer(f.server.Handler())
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
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

// TestWritesHaveDeadline guards against a caller that does not read its answer and so keeps
// its request open without limit.
func TestWritesHaveDeadline(t *testing.T) {
	f := newFixture(t)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	f.server.Handler().ServeHTTP(w, request(t, `{"model":"desk","stream":true,"messages":[{"content":"x"}]}`))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, !w.deadline.IsZero() && time.Until(w.deadline) < 11*time.Second, "writes must end within the route's limit and the grace time")
}

// deadlineRecorder records the last write deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	d.deadline = deadline
	return nil
}

// TestShutdownClosesConnections guards against callers that keep their connections to a
// daemon which is shutting down, and so never reach another one.
func TestShutdownClosesConnections(t *testing.T) {
	f := newFixture(t)
	f.server.BeginShutdown()
	w := httptest.NewRecorder()
	f.server.Handler().ServeHTTP(w, request(t, `{"model":"desk","messages":[{"content":"x"}]}`))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Equal(t, w.Header().Get("Connection"), "close")
	assert.Assert(t, !f.server.Ready())
}

// TestShutdownAnswersRequest has the rest of a request arrive while the server shuts down. Guards
// against its connection ending without an answer.
func TestShutdownAnswersRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := newFixture(t).server.NewConnServer(t.Context(), listener, nil)
	go func() { _ = server.Serve() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // until it is read
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(conn, "Host: a\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, <-ended)
}
