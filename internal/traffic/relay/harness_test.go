package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/bearing"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// Headers of the test's dialect.
const (
	testID         = "X-Id"
	testServer     = "X-Server"
	testModel      = "X-Model"
	testLength     = "X-Length"
	testAccount    = "X-Account"
	testLeft       = "X-Left"
	testAfter      = "X-After"
	testNotRun     = "X-Not-Run"
	testConfidence = "X-Confidence"
	testSigned     = "X-Signed"
)

// testDialect is a dialect for the stand-in servers of these tests.
type testDialect struct{}

// lengthOf returns the caller's estimate, 0 where it has none.
func lengthOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(testLength))
	if err != nil {
		return 0
	}
	return n
}

func (testDialect) Encode(r *Request, a Attempt) http.Header {
	h := r.Header.Clone()
	h.Set(testID, r.ID)
	h.Set(testServer, a.Server.ID)
	h.Set(testModel, a.Model)
	h.Set(testAccount, a.Account)
	h.Set(testLeft, strconv.FormatInt(int64(a.Remaining), 10))
	h.Set(testAfter, a.LastEventID)
	return h
}

func (testDialect) Decode(server string, status int, h http.Header) ResponseInfo {
	reply := ResponseInfo{Confidence: -1, NotExecuted: h.Get(testNotRun) != "", Unverified: status < 300 && h.Get(testSigned) == ""}
	reply.WrongServer = status == http.StatusMisdirectedRequest && h.Get(testServer) != server
	if c, err := strconv.Atoi(h.Get(testConfidence)); err == nil {
		reply.Confidence = c
	}
	return reply
}

func (testDialect) ResponseHeader(h http.Header) http.Header {
	answer := h.Clone()
	answer.Del("Content-Length")
	answer.Del("Transfer-Encoding")
	return answer
}

// farm is a relay with stand-in servers.
type farm struct {
	t      *testing.T
	relay  *Relay
	front  *httptest.Server
	view   *fleet.View
	stale  bool
	mu     sync.Mutex
	runs   []seenCall // what reached the servers, in order
	routes []catalog.Route
}

// seenCall is what a server was asked.
type seenCall struct {
	server string
	header http.Header
	body   string
}

// behaviour answers the nth call of a server, from 1.
type behaviour func(n int, w http.ResponseWriter, r *http.Request)

// newFarm starts servers s1, s2, ... of pool "text" with the behaviours. They are
// all alike to the relay.
func newFarm(t *testing.T, routes []catalog.Route, servers ...behaviour) *farm {
	t.Helper()
	f := &farm{t: t, routes: routes, view: fleet.NewView()}
	system := clock.NewSystem()
	f.setCatalog(1, routes)
	for i, b := range servers {
		id := fmt.Sprintf("s%d", i+1)
		n := 0
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			f.mu.Lock()
			n++
			current := n
			f.runs = append(f.runs, seenCall{id, r.Header.Clone(), string(body)})
			f.mu.Unlock()
			w.Header().Set(testID, r.Header.Get(testID))
			w.Header().Set(testServer, id)
			b(current, w, r)
		}))
		t.Cleanup(s.Close)
		f.view = f.view.WithServer(fleet.Server{
			ID: id, Pool: "text", Address: s.Listener.Addr().String(), DataCentre: "dc-1", Slots: 8,
		}, system.Now())
	}
	f.relay = New(Dependencies{
		Log: hclog.NewNullLogger(), Clock: system, DataCentre: "dc-1",
		View:            func() *fleet.View { return f.view },
		ConfigIsCurrent: func() bool { return !f.stale },
		Dialect:         testDialect{},
		Client:          h1.NewClient(func(h http.Header) string { return h.Get(testID) }),
		Balancer:        bearing.NewBook(), RetryBudget: admission.NewSharedRetryBudget(10, 100, 10_000),
		Metrics: NewMetrics(metrics.NewSet()),
		Steer:   FreeSteer{}, ConfidenceThreshold: cascade.ConfidenceThreshold{Normal: 58, Overloaded: 44},
		OnServerReplaced: func(string, clock.Millis) {},
	})
	f.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		q := &Request{
			ID: r.Header.Get(testID), Method: r.Method, Host: "desk.example", Path: r.URL.Path, Target: r.RequestURI,
			Header: http.Header{}, Body: body, APIKey: r.Header.Get("X-Key"), ReceivedAt: system.Now(),
			LengthHint: lengthOf(r.Header),
			Model:      r.Header.Get(testModel), AnyModel: r.Header.Get(testModel) == "*", LastEventID: r.Header.Get(testAfter),
		}
		if left, err := strconv.Atoi(r.Header.Get(testLeft)); err == nil {
			q.Timeout = clock.Millis(left)
		}
		f.relay.Serve(w, r, q)
	}))
	t.Cleanup(f.front.Close)
	return f
}

func (f *farm) setCatalog(version int64, routes []catalog.Route) {
	pool := catalog.Pool{Name: "text"}
	for _, r := range routes {
		if r.Stream {
			pool.TokenMemory, pool.EventTokens = 100_000, 8
		}
	}
	f.view = f.view.WithCatalog(catalog.New(catalog.Tables{
		Version: version, Routes: routes, Pools: []catalog.Pool{pool},
		Accounts: map[string]catalog.Account{"key-1": {Name: "smiths"}}, Keyed: true,
	}))
}

// reply is what the caller got.
type reply struct {
	status int
	header http.Header
	body   string
	closes bool  // the caller is asked to connect anew
	err    error // of reading the body; the answer is cut
}

// ask makes a request as a caller with headers in pairs.
func (f *farm) ask(method, path string, headers ...string) reply {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), method, f.front.URL+path, bytes.NewBufferString("prompt"))
	assert.NilError(f.t, err)
	request.Header.Set(testID, "request-1")
	request.Header.Set("X-Key", "key-1")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), response.Close, err}
}

// calls returns how many calls reached the servers.
func (f *farm) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

// Behaviours of stand-in servers.

func good(body string) behaviour {
	return func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testSigned, "yes")
		_, _ = io.WriteString(w, body)
	}
}

func status(code int, headers ...string) behaviour {
	return func(_ int, w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(code)
	}
}

// reset breaks the connection off without an answer.
func reset(_ int, w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// hang gives no answer until the caller leaves.
func hang(_ int, _ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
}

// inTurn behaves as the nth of the list on its nth call, and as the last from then on.
func inTurn(list ...behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) { list[min(n, len(list))-1](n, w, r) }
}

// sendEvents streams the events from the one after the caller's last to the given
// one of a total, and breaks off in the middle of the next if there are more.
func sendEvents(upTo, total int) behaviour {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testSigned, "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get(testAfter))
		for i := after + 1; i <= upTo; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece-%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if upTo < total {
			_, _ = fmt.Fprintf(w, "id: %d\nda", upTo+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// confident is a behaviour with a confidence in its answer.
func confident(confidence string, b behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testConfidence, confidence)
		b(n, w, r)
	}
}

// byModel behaves by the model that the server is told to use.
func byModel(models map[string]behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) { models[r.Header.Get(testModel)](n, w, r) }
}

func pieces(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return b.String()
}
