package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

func routes() []catalog.Route {
	text := []catalog.WeightedPool{{Pool: "text", Weight: 1}}
	return []catalog.Route{
		{Name: "read", Host: "desk.example", Prefix: "/read/", RetryPolicy: catalog.Idempotent, Pools: text, MaxAttempts: 2, Timeout: 2_000, LatencyTarget: 100},
		{Name: "post", Host: "desk.example", Prefix: "/post/", Pools: text, MaxAttempts: 3, Timeout: 2_000, LatencyTarget: 100},
		{Name: "open", Host: "desk.example", Prefix: "/open/", Pools: text, MaxAttempts: 1, Timeout: 2_000, Public: true},
		{Name: "lost", Host: "desk.example", Prefix: "/lost/", Pools: []catalog.WeightedPool{{Pool: "none", Weight: 1}}, MaxAttempts: 1, Timeout: 2_000},
	}
}

func streamRoutes() []catalog.Route {
	text := []catalog.WeightedPool{{Pool: "text", Weight: 1}}
	return []catalog.Route{
		{Name: "draft", Host: "desk.example", Prefix: "/draft/", RetryPolicy: catalog.Idempotent, Stream: true, Pools: text, MaxAttempts: 3, Timeout: 5_000, LatencyTarget: 1_000, InterEventTarget: 1_200, Models: []string{"small", "large"}},
		{Name: "once", Host: "desk.example", Prefix: "/once/", Stream: true, Pools: text, MaxAttempts: 1, Timeout: 5_000, LatencyTarget: 1_000, InterEventTarget: 1_200},
	}
}

// TestPlainCalls checks the caller's response and the number of calls to servers for
// plain calls that are served, fail, are interrupted or are not run. A request that
// must run at most once must not be retried after it may have run. The relay may
// choose either server first, so both behave alike where the order matters.
func TestPlainCalls(t *testing.T) {
	notRun := respondStatus(http.StatusServiceUnavailable, headerNotExecuted, "1")
	both := func(b behaviour) []behaviour { return []behaviour{b, b} }
	cases := map[string]struct {
		path    string
		servers []behaviour
		status  int
		body    string
		calls   int
	}{
		"served":                                  {"/read/1", both(respond("ledger")), 200, "ledger", 1},
		"idempotent, server errors":               {"/read/1", both(sequence(respondStatus(500), respond("ledger"))), 500, "", 2},
		"idempotent, connection closed":           {"/read/1", both(closeConn), 502, "", 2},
		"idempotent, not run anywhere":            {"/read/1", both(notRun), 503, "", 4},
		"idempotent, not run, then served":        {"/read/1", []behaviour{sequence(notRun, respond("a")), sequence(notRun, respond("a"))}, 200, "a", 3},
		"idempotent, unverified response":         {"/read/1", both(respondStatus(200)), 502, "", 2},
		"at most once, server error":              {"/post/1", both(respondStatus(500)), 500, "", 1},
		"at most once, connection closed":         {"/post/1", both(closeConn), 502, "", 1},
		"at most once, not run anywhere":          {"/post/1", both(notRun), 503, "", 4},
		"at most once, 429 marked as not run":     {"/post/1", both(respondStatus(429, headerNotExecuted, "1")), 503, "", 4},
		"at most once, 503 not marked as not run": {"/post/1", both(respondStatus(503)), 502, "", 1},
		"client error":                            {"/post/1", both(respondStatus(404)), 404, "", 1},
		"no route":                                {"/nowhere/", both(respond("")), 404, "", 0},
		"unknown pool":                            {"/lost/1", both(respond("")), 503, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, routes(), c.servers...)
			got := f.send(http.MethodPost, c.path)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, got.body, c.body)
			}
			assert.Equal(t, f.callCount(), c.calls)
			if c.status == http.StatusServiceUnavailable {
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
		})
	}
}

// TestForwardedRequest checks that the server receives the body, its own ID, the client
// account and the remaining time, but not the caller's key.
func TestForwardedRequest(t *testing.T) {
	f := newFixture(t, routes(), respond("ok"))
	f.send(http.MethodPost, "/post/1?a=%2F", headerRemaining, "1500")
	received := f.calls[0]
	assert.Equal(t, received.body, "prompt")
	assert.Equal(t, received.header.Get(headerAccount), "smiths")
	assert.Equal(t, received.header.Get(headerServer), "s1")
	assert.Equal(t, received.header.Get("X-Key"), "")
	remaining, err := strconv.Atoi(received.header.Get(headerRemaining))
	assert.NilError(t, err)
	assert.Assert(t, remaining > 1000 && remaining < 1500, "remaining %d", remaining)
}

// TestAuthorisation checks that a request needs a known key unless its route is public.
// While the configuration may be out of date, an unknown key or route is rejected as
// not run rather than as the caller's error.
func TestAuthorisation(t *testing.T) {
	cases := map[string]struct {
		path, key string
		stale     bool
		status    int
	}{
		"known key":                        {"/read/1", "key-1", false, 200},
		"unknown key":                      {"/read/1", "key-2", false, 401},
		"no key":                           {"/read/1", "", false, 401},
		"no key on a public route":         {"/open/1", "", false, 200},
		"unknown key, configuration stale": {"/read/1", "key-2", true, 503},
		"no route, configuration stale":    {"/new/1", "key-1", true, 503},
		"known key, configuration stale":   {"/read/1", "key-1", true, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, routes(), respond("ok"))
			f.stale = c.stale
			assert.Equal(t, f.send(http.MethodGet, c.path, "X-Key", c.key).status, c.status)
		})
	}
}

// TestNoConfiguration checks that requests are rejected as not run until a configuration
// is loaded.
func TestNoConfiguration(t *testing.T) {
	f := newFixture(t, routes(), respond("ok"))
	f.view = fleet.NewView()
	got := f.send(http.MethodGet, "/read/1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, f.callCount(), 0)
}

// TestRequestsWaitForTables has requests arrive right after a start, before the tables
// have been read. They must be served once that is done.
func TestRequestsWaitForTables(t *testing.T) {
	f := newFixture(t, routes(), respond("ok"))
	loaded := f.view
	f.view = fleet.NewView()
	statuses := make(chan int)
	const requests = 8
	for i := range requests {
		go func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			statuses <- f.send(http.MethodGet, "/read/1", headerRemaining, "2000").status
		}()
	}
	time.AfterFunc(150*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.view = loaded
	})
	for range requests {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
}

// TestRetryUsesNewestConfiguration removes a route during the first attempt. The retry
// must not use the old configuration, and the request, which has run, must not be
// rejected as not run.
func TestRetryUsesNewestConfiguration(t *testing.T) {
	var f *fixture
	removeRoute := func(n int, w http.ResponseWriter, r *http.Request) {
		f.setCatalog(2, routes()[1:])
		respondStatus(500)(n, w, r)
	}
	f = newFixture(t, routes(), removeRoute, removeRoute)
	got := f.send(http.MethodGet, "/read/1")
	assert.Equal(t, f.callCount(), 1)
	assert.Equal(t, got.status, http.StatusBadGateway, "a request that has run was rejected as not run")
}

// TestDeadlines checks that a request fails at the earlier of the caller's and the
// route's timeouts, and is not sent if too little time is left.
func TestDeadlines(t *testing.T) {
	cases := map[string]struct {
		path, timeout string
		status        int
	}{
		"caller's timeout":       {"/post/1", "300", 504},
		"route's timeout":        {"/post/1", "", 504},
		"no time for an attempt": {"/post/1", "10", 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, routes(), hang)
			assert.Equal(t, f.send(http.MethodPost, c.path, headerRemaining, c.timeout).status, c.status)
		})
	}
}

// TestStreams checks what the caller receives of streams that are complete or
// interrupted. An interrupted stream is resumed on another server after the last
// complete event, unless the request must run at most once.
func TestStreams(t *testing.T) {
	highConfidence := func(b behaviour) behaviour { return withConfidence("90", b) }
	both := func(b behaviour) []behaviour { return []behaviour{b, b} }
	cases := map[string]struct {
		path        string
		headers     []string
		servers     []behaviour
		body        string
		interrupted bool
		calls       int
	}{
		"complete":                               {"/draft/1", nil, both(highConfidence(sendEvents(5, 5))), events(1, 5), false, 1},
		"interrupted, resumed on another server": {"/draft/1", nil, both(highConfidence(sequence(sendEvents(2, 5), sendEvents(5, 5)))), events(1, 2), true, 3},
		"interrupted within an event, resumed":   {"/draft/1", nil, []behaviour{highConfidence(sequence(sendEvents(2, 5), sendEvents(5, 5))), highConfidence(sequence(sendEvents(4, 5), sendEvents(5, 5)))}, "", false, 0},
		"resumed by the caller":                  {"/draft/1", []string{headerLastEventID, "3"}, both(highConfidence(sendEvents(5, 5))), events(4, 5), false, 1},
		"interrupted, at most once":              {"/once/1", nil, both(highConfidence(sendEvents(2, 5))), events(1, 2), true, 1},
		"connection closed, at most once":        {"/once/1", nil, both(closeConn), "", false, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, streamRoutes(), c.servers...)
			got := f.send(http.MethodPost, c.path, append([]string{headerModel, "large"}, c.headers...)...)
			switch name {
			case "interrupted, resumed on another server":
				// Each server interrupts its first stream after two events; the third
				// attempt completes it.
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, events(1, 5))
			case "interrupted within an event, resumed":
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, events(1, 5))
			case "connection closed, at most once":
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, f.callCount(), c.calls)
			default:
				assert.Equal(t, got.err != nil, c.interrupted, "%v", got.err)
				assert.Equal(t, got.body, c.body)
				assert.Equal(t, f.callCount(), c.calls)
			}
		})
	}
}

// TestInterruptedStreamEndsInError has every server interrupt the stream. The caller's
// response must hold only complete events and end in an error, or it would be taken
// for complete.
func TestInterruptedStreamEndsInError(t *testing.T) {
	f := newFixture(t, streamRoutes(), sendEvents(2, 9), sendEvents(2, 9), sendEvents(2, 9))
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(1, 2))
}

// TestErrorResponseIsNotAppendedToStream has the servers respond to the resumption of a
// stream with a client error. Its body must not be appended to the events that the
// caller has received.
func TestErrorResponseIsNotAppendedToStream(t *testing.T) {
	errorOnResume := func(n int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerLastEventID) == "" {
			sendEvents(2, 5)(n, w, r)
			return
		}
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, "id: 3\ndata: not an event\n\n")
	}
	f := newFixture(t, streamRoutes(), errorOnResume, errorOnResume)
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(1, 2))
}

// TestSilentStreamIsResumed has a server stop sending after two events without closing
// the connection. Another server must continue the stream after the idle timeout.
func TestSilentStreamIsResumed(t *testing.T) {
	silentAfterTwo := func(n int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerLastEventID) != "" {
			sendEvents(5, 5)(n, w, r)
			return
		}
		w.Header().Set(headerSigned, "yes")
		_, _ = io.WriteString(w, events(1, 2))
		_ = http.NewResponseController(w).Flush()
		hang(n, w, r)
	}
	f := newFixture(t, streamRoutes(), silentAfterTwo, silentAfterTwo)
	got := f.send(http.MethodPost, "/draft/1", headerModel, "large")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 5))
}

// TestCascade checks that requests start on the smallest model and that an answer of low
// confidence is discarded for the largest model's, if the time left allows it. The
// caller must receive only one of the two answers.
func TestCascade(t *testing.T) {
	cases := map[string]struct {
		confidence string
		headers    []string
		want       string
		models     string
	}{
		"high confidence":              {"80", nil, "small", "small"},
		"low confidence":               {"20", nil, "large", "small large"},
		"no confidence stated":         {"", nil, "small", "small"},
		"low confidence, no time":      {"20", []string{headerLengthHint, "320"}, "small", "small"},
		"low confidence, short answer": {"20", []string{headerLengthHint, "80"}, "large", "small large"},
		"resumed stream":               {"20", []string{headerLastEventID, "0"}, "large", "large"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := byModel(map[string]behaviour{
				"small": withConfidence(c.confidence, respond("id: 1\ndata: small\n\n")),
				"large": withConfidence("10", respond("id: 1\ndata: large\n\n")),
			})
			f := newFixture(t, streamRoutes(), server, server)
			got := f.send(http.MethodPost, "/draft/1", append([]string{headerModel, "*"}, c.headers...)...)
			assert.Assert(t, strings.Contains(got.body, c.want), "%q", got.body)
			assert.Assert(t, strings.Count(got.body, "data:") == 1)
			var models []string
			for _, r := range f.calls {
				models = append(models, r.header.Get(headerModel))
			}
			assert.Equal(t, strings.Join(models, " "), c.models)
		})
	}
}

// TestMaxAttempts checks that the servers on which a request runs, escalation included,
// do not exceed the route's maximum when all of them fail.
func TestMaxAttempts(t *testing.T) {
	server := byModel(map[string]behaviour{
		"small": withConfidence("5", sendEvents(5, 5)),
		"large": sendEvents(1, 5),
	})
	f := newFixture(t, streamRoutes(), server, server, server, server, server, server)
	f.send(http.MethodPost, "/draft/1", headerModel, "*")
	ran := make(map[string]bool)
	for _, r := range f.calls {
		ran[r.server] = true
	}
	assert.Assert(t, len(ran) <= 3, "ran on %v", ran)
}

// TestCallerDisconnect checks that the server's request is cancelled when the caller
// disconnects.
func TestCallerDisconnect(t *testing.T) {
	cancelled := make(chan struct{})
	f := newFixture(t, streamRoutes(), func(_ int, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/draft/1", nil)
	assert.NilError(t, err)
	request.Header.Set("X-Key", "key-1")
	request.Header.Set(headerID, "request-1")
	time.AfterFunc(100*time.Millisecond, cancel)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil)
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("the server's request was not cancelled")
	}
}

// TestReplacedServer checks that a request is retried if the address of the chosen
// server now belongs to another one.
func TestReplacedServer(t *testing.T) {
	other := respondStatus(http.StatusMisdirectedRequest, headerServer, "s9", headerNotExecuted, "1")
	f := newFixture(t, routes(), other, respond("ok"))
	for range 4 {
		assert.Equal(t, f.send(http.MethodPost, "/post/1").status, http.StatusOK)
	}
}

// TestUnreachableServersUseNoRetryBudget has four servers refuse connections and the
// retry budget empty. Calls that must run at most once must still reach the one server
// that listens, since nothing was sent to the others.
func TestUnreachableServersUseNoRetryBudget(t *testing.T) {
	f := newFixture(t, routes(), respond("ok"))
	f.relay.RetryBudget = admission.NewSharedRetryBudget(0, 0, 10_000)
	for i := range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
		f.view = f.view.WithServer(fleet.Server{
			ID: fmt.Sprintf("gone-%d", i), Pool: "text", Address: listener.Addr().String(), DataCentre: "dc-1", Slots: 8,
		}, 0)
	}
	for i := range 8 {
		assert.Equal(t, f.send(http.MethodPost, "/post/1", headerID, fmt.Sprintf("request-%d", i)).status, http.StatusOK)
	}
}

// TestLoggedOutcome checks that a forwarded server error is not logged as served, while
// a client error is.
func TestLoggedOutcome(t *testing.T) {
	cases := map[string]struct {
		server behaviour
		want   string
	}{
		"success":      {respond("ledger"), "served"},
		"server error": {respondStatus(http.StatusInternalServerError, headerSigned, "yes"), "finished with a server error"},
		"client error": {respondStatus(http.StatusNotFound, headerSigned, "yes"), "served"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			f := newFixture(t, routes(), c.server)
			f.relay.Log = hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
			f.send(http.MethodPost, "/post/1")
			assert.Assert(t, strings.Contains(lines.String(), `"@message":"`+c.want+`"`), lines.String())
		})
	}
}

// TestShutdown checks that requests which are not expected to finish before the daemon
// exits are rejected as not run, and that the others are served and ask the caller to
// close its connection.
func TestShutdown(t *testing.T) {
	f := newFixture(t, append(streamRoutes(), routes()...), respond("ok"))
	f.relay.BeginShutdown(3*time.Second, 10*time.Second)
	got := f.send(http.MethodGet, "/read/1")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.closes)
	// A stream of 40 events is expected to take 5 s and allowed twice as long.
	for grace, rejected := range map[time.Duration]bool{12 * time.Second: false, 8 * time.Second: true} {
		f.relay.BeginShutdown(grace, 10*time.Second)
		got := f.send(http.MethodGet, "/draft/1", headerModel, "large", headerLengthHint, "320")
		assert.Equal(t, got.status == http.StatusServiceUnavailable, rejected, "%v", grace)
	}
	f.relay.BeginShutdown(time.Second, 0)
	for _, path := range []string{"/read/1", "/draft/1"} {
		got := f.send(http.MethodGet, path, headerModel, "large")
		assert.Equal(t, got.status, http.StatusServiceUnavailable, path)
		assert.Equal(t, got.header.Get(result.HeaderRun), "no")
	}
}

// TestIsSlow checks that a response is slow, which counts against a canary version, only
// if it takes several times as long as expected at the server's current load.
func TestIsSlow(t *testing.T) {
	cases := map[string]struct {
		choice  loadbalance.Choice
		elapsed clock.Millis
		want    bool
	}{
		"as expected":                 {loadbalance.Choice{TypicalFirstByte: 100, HasEstimate: true}, 150, false},
		"several times slower":        {loadbalance.Choice{TypicalFirstByte: 100, HasEstimate: true}, 400, true},
		"short time within the slack": {loadbalance.Choice{TypicalFirstByte: 4, HasEstimate: true}, 40, false},
		"long prefill expected":       {loadbalance.Choice{TypicalFirstByte: 900, HasEstimate: true}, 1_500, false},
		"no measurements yet":         {loadbalance.Choice{TypicalFirstByte: 4}, 400, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, isSlow(&c.choice, c.elapsed), c.want) })
	}
}
