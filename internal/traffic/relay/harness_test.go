package relay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// Headers of testDialect.
const (
	headerID          = "X-Id"
	headerServer      = "X-Server"
	headerModel       = "X-Model"
	headerLengthHint  = "X-Length"
	headerAccount     = "X-Account"
	headerRemaining   = "X-Left"
	headerLastEventID = "X-After"
	headerNotExecuted = "X-Not-Run"
	headerConfidence  = "X-Confidence"
	headerSigned      = "X-Signed"
	headerLeaving     = "X-Leaving"
	headerPause       = "X-Pause"  // ms
	headerLimit       = "X-Limit"  // requests a second
	headerPace        = "X-Pace"   // percent
	headerPrompt      = "X-Prompt" // segments
)

// testDialect implements Dialect for the test servers.
type testDialect struct{}

// lengthHint returns the length estimate in the header, or 0 if there is none.
func lengthHint(h http.Header) int {
	n, err := strconv.Atoi(h.Get(headerLengthHint))
	if err != nil {
		return 0
	}
	return n
}

func (testDialect) Encode(r *Request, a Attempt) http.Header {
	h := r.Header.Clone()
	h.Set(headerID, r.ID)
	h.Set(headerServer, a.Server.ID)
	h.Set(headerModel, a.Model)
	h.Set(headerAccount, a.Account)
	h.Set(headerRemaining, strconv.FormatInt(int64(a.Remaining), 10))
	h.Set(headerLastEventID, a.LastEventID)
	for _, s := range r.Prompt.Segments {
		h.Add(headerPrompt, s.ID)
	}
	return h
}

func (testDialect) Decode(server string, status int, h http.Header) ResponseInfo {
	info := ResponseInfo{Confidence: -1, NotExecuted: h.Get(headerNotExecuted) != "", Unverified: status < 300 && h.Get(headerSigned) == ""}
	info.WrongServer = status == http.StatusMisdirectedRequest && h.Get(headerServer) != server
	if c, err := strconv.Atoi(h.Get(headerConfidence)); err == nil {
		info.Confidence = c
	}
	info.Leaving = h.Get(headerLeaving) != ""
	if limit, err := strconv.ParseFloat(h.Get(headerLimit), 64); err == nil {
		info.Limit = loadbalance.Limit{Kind: loadbalance.ValidLimit, PerSecond: limit}
	} else if h.Get(headerSigned) != "" {
		info.Limit = loadbalance.Limit{Kind: loadbalance.NoLimit}
	}
	if pace := h.Get(headerPace); pace != "" {
		info.Pace, _ = strconv.Atoi(pace)
		info.PaceKind = loadbalance.MalformedPace
		if info.Pace > 0 {
			info.PaceKind = loadbalance.ValidPace
		}
	}
	if pause, err := strconv.Atoi(h.Get(headerPause)); err == nil {
		info.TurnedAway, info.Pause, info.PauseKind = true, clock.Millis(pause), ValidPause
	}
	return info
}

func (testDialect) ServerID(h http.Header) string { return h.Get(headerServer) }

func (testDialect) ResponseHeader(h http.Header) http.Header {
	header := h.Clone()
	header.Del("Content-Length")
	header.Del("Transfer-Encoding")
	return header
}

// EventFormat lets streams do without event IDs.
func (testDialect) EventFormat() EventFormat { return EventFormat{} }

// noLender lends no tokens.
type noLender struct{}

func (noLender) Borrow(context.Context, *fleet.Entry) bool { return false }

// serverSlots is the number of slots of a test server.
const serverSlots = 8

// testDrainTime is the time after which a leaving server gets no new requests.
const testDrainTime = 400 * clock.Millis(1)

// fixture is a relay with test servers behind an HTTP front end.
type fixture struct {
	t      testing.TB
	relay  *Relay
	front  *httptest.Server
	stale  bool
	mu     sync.Mutex
	view   *fleet.View    // guarded by mu once requests are served
	calls  []receivedCall // in the order of arrival; guarded by mu
	routes []catalog.Route
	// servers by ID
	servers map[string]*httptest.Server
	// healthPath is that of the pool; "" until a test sets it and sets the catalog anew.
	healthPath string
	// healthServer is the server that health checks reach; "" for the one that is meant.
	healthServer string
	// exits makes servers accept connections and end them after lastConnTime, with the listener, as
	// the kernel does while a process exits.
	exits atomic.Bool
	// busy makes servers keep health checks waiting.
	busy atomic.Bool
	// rejects makes servers reset new connections, as with as many as they accept.
	rejects atomic.Bool
	// smallBuffers limits what the kernel holds of what is sent on new connections.
	smallBuffers atomic.Bool
}

// smallBufferBytes is the size of the send buffers with smallBuffers.
const smallBufferBytes = 8 << 10

// start starts a server whose connections have small send buffers if they are to.
func (f *fixture) start(handler http.HandlerFunc) *httptest.Server {
	s := httptest.NewUnstartedServer(handler)
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if tcp, ok := c.(*net.TCPConn); ok && f.smallBuffers.Load() {
			assert.Check(f.t, tcp.SetWriteBuffer(smallBufferBytes))
		}
		if tcp, ok := c.(*net.TCPConn); ok && f.rejects.Load() {
			assert.Check(f.t, tcp.SetLinger(0))
			_ = tcp.Close()
		}
		return ctx
	}
	s.Start()
	f.t.Cleanup(s.Close)
	return s
}

// receivedCall is a call that reached a server.
type receivedCall struct {
	server string
	header http.Header
	body   string
}

// behaviour responds to the nth call of a server, from 1.
type behaviour func(n int, w http.ResponseWriter, r *http.Request)

// newFixture starts servers s1, s2, ... of pool "text", one for each behaviour. The
// relay may choose any of them first.
func newFixture(t testing.TB, routes []catalog.Route, servers ...behaviour) *fixture {
	t.Helper()
	f := &fixture{t: t, routes: routes, view: fleet.NewView(), servers: make(map[string]*httptest.Server)}
	system := clock.NewSystem()
	f.setCatalog(1, routes)
	for i, b := range servers {
		id := fmt.Sprintf("s%d", i+1)
		n := 0
		s := f.start(func(w http.ResponseWriter, r *http.Request) {
			if f.healthPath != "" && r.URL.Path == f.healthPath {
				f.answerHealthCheck(w, r, id)
				return
			}
			body, _ := io.ReadAll(r.Body)
			f.mu.Lock()
			n++
			current := n
			f.calls = append(f.calls, receivedCall{id, r.Header.Clone(), string(body)})
			f.mu.Unlock()
			w.Header().Set(headerID, r.Header.Get(headerID))
			w.Header().Set(headerServer, id)
			b(current, w, r)
		})
		f.servers[id] = s
		f.view = f.view.WithServer(fleet.Server{
			ID: id, Pool: "text", Address: s.Listener.Addr().String(), DataCentre: "dc-1", Slots: serverSlots,
		}, system.Now())
	}
	f.relay = New(Dependencies{
		Log: hclog.NewNullLogger(), Clock: system, DataCentre: "dc-1",
		View:            f.currentView,
		Loaded:          func() bool { return f.currentView().Catalog != nil },
		ConfigIsCurrent: func() bool { return !f.stale },
		Dialect:         testDialect{},
		Client:          h1.NewClient(func(h http.Header) string { return h.Get(headerID) }),
		Balancer:        loadbalance.NewBalancer(), RetryBudget: admission.NewSharedRetryBudget(10, 100, 10_000),
		Quarantine:    quarantine.NewTracker(),
		TokenLender:   noLender{},
		Metrics:       NewMetrics(metrics.NewSet()),
		VersionRouter: AnyVersionRouter{}, ConfidenceThreshold: cascade.ConfidenceThreshold{Normal: 58, Overloaded: 44},
		OnServerReplaced: func(string, clock.Millis) {},
	})
	f.relay.Balancer.SetDrainTime(testDrainTime)
	f.front = f.start(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		req := &Request{
			ID: r.Header.Get(headerID), Method: r.Method, Host: "desk.example", Path: r.URL.Path, Target: r.RequestURI,
			Header: http.Header{}, Body: body, APIKey: r.Header.Get("X-Key"), ReceivedAt: system.Now(),
			LengthHint: lengthHint(r.Header),
			Model:      r.Header.Get(headerModel), AnyModel: r.Header.Get(headerModel) == "*", LastEventID: r.Header.Get(headerLastEventID),
		}
		if prompt := r.Header.Get(headerPrompt); prompt != "" {
			req.Prompt = promptOf(prompt)
		}
		if timeout, err := strconv.Atoi(r.Header.Get(headerRemaining)); err == nil {
			req.Timeout = clock.Millis(timeout)
		}
		f.relay.Serve(w, r, req)
	})
	return f
}

// lastConnTime is how long the connections of a process that exits may outlast the first.
const lastConnTime = 150 * time.Millisecond

func (f *fixture) answerHealthCheck(w http.ResponseWriter, r *http.Request, id string) {
	switch {
	case f.busy.Load():
		<-r.Context().Done()
		return
	case f.exits.Load():
		time.Sleep(lastConnTime)
		_ = f.servers[id].Listener.Close()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerServer, cmp.Or(f.healthServer, id))
	w.WriteHeader(http.StatusServiceUnavailable) // as a server that drains
}

func (f *fixture) currentView() *fleet.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fixture) setCatalog(version int64, routes []catalog.Route) {
	f.setKeys(version, routes, map[string]catalog.ClientAccount{"key-1": {Name: "smiths"}})
}

// setKeys sets a configuration with the routes and the client accounts by key.
func (f *fixture) setKeys(version int64, routes []catalog.Route, accounts map[string]catalog.ClientAccount) {
	pool := catalog.Pool{Name: "text", HealthPath: f.healthPath}
	for _, r := range routes {
		if r.Stream {
			pool.TokenMemory, pool.TokensPerEvent = 100_000, 8
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = f.view.WithCatalog(catalog.New(catalog.Tables{
		Version: version, Routes: routes, Pools: []catalog.Pool{pool}, Accounts: accounts, RequireKey: true,
	}))
}

// callerResponse is the response that the caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	closes bool  // the response asks the caller to close the connection
	err    error // of reading the body: the response was interrupted
}

// send makes a request as a caller would. The headers are pairs of name and value.
func (f *fixture) send(method, path string, headers ...string) callerResponse {
	f.t.Helper()
	return f.sendBody(method, path, "prompt", headers...)
}

// sendBody makes a request with the body.
func (f *fixture) sendBody(method, path, body string, headers ...string) callerResponse {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), method, f.front.URL+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Header.Set(headerID, "request-1")
	request.Header.Set("X-Key", "key-1")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(answer), response.Close, err}
}

// callCount returns the number of calls that reached the servers.
func (f *fixture) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// Behaviours of test servers.

// respond returns a verified response with the body.
func respond(body string) behaviour {
	return func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "yes")
		_, _ = io.WriteString(w, body)
	}
}

// respondStatus returns a response with the status and the header pairs.
func respondStatus(code int, headers ...string) behaviour {
	return func(_ int, w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(code)
	}
}

// closeConn closes the connection without a response.
func closeConn(_ int, w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// hang sends no response until the client disconnects, for 10 s at most.
func hang(_ int, _ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
}

// sequence uses the nth behaviour for the nth call of a server, and the last one for
// all further calls.
func sequence(list ...behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) { list[min(n, len(list))-1](n, w, r) }
}

// sendEvents streams the events after the caller's last one up to the given one. If
// the total is larger, it aborts the stream within the next event.
func sendEvents(upTo, total int) behaviour {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerSigned, "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
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

// withConfidence adds the confidence header to a behaviour.
func withConfidence(confidence string, b behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerConfidence, confidence)
		b(n, w, r)
	}
}

// byModel selects the behaviour by the requested model.
func byModel(models map[string]behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) { models[r.Header.Get(headerModel)](n, w, r) }
}

// events returns the stream of the events from the first to the last number.
func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return b.String()
}
