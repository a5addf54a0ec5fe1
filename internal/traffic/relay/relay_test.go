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
	"gypsumpitch.example/gypsumpitch/internal/decision/bearing"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

func routes() []catalog.Route {
	text := []catalog.Share{{Pool: "text", Weight: 1}}
	return []catalog.Route{
		{Name: "read", Host: "desk.example", Prefix: "/read/", Repeat: catalog.Idempotent, Shares: text, MaxAttempts: 2, Timeout: 2_000, Aim: 100},
		{Name: "post", Host: "desk.example", Prefix: "/post/", Shares: text, MaxAttempts: 3, Timeout: 2_000, Aim: 100},
		{Name: "open", Host: "desk.example", Prefix: "/open/", Shares: text, MaxAttempts: 1, Timeout: 2_000, Public: true},
		{Name: "lost", Host: "desk.example", Prefix: "/lost/", Shares: []catalog.Share{{Pool: "none", Weight: 1}}, MaxAttempts: 1, Timeout: 2_000},
	}
}

func streamRoutes() []catalog.Route {
	text := []catalog.Share{{Pool: "text", Weight: 1}}
	return []catalog.Route{
		{Name: "draft", Host: "desk.example", Prefix: "/draft/", Repeat: catalog.Idempotent, Stream: true, Shares: text, MaxAttempts: 3, Timeout: 5_000, Aim: 1_000, PauseAim: 1_200, Models: []string{"small", "large"}},
		{Name: "once", Host: "desk.example", Prefix: "/once/", Stream: true, Shares: text, MaxAttempts: 1, Timeout: 5_000, Aim: 1_000, PauseAim: 1_200},
	}
}

// TestPlainCalls walks through what servers do to a plain call, and what the
// caller sees. Servers are tried in either order, so both behave alike unless the
// order doesn't matter.
func TestPlainCalls(t *testing.T) {
	notRun := status(http.StatusServiceUnavailable, testNotRun, "1")
	both := func(b behaviour) []behaviour { return []behaviour{b, b} }
	cases := map[string]struct {
		path    string
		servers []behaviour
		status  int
		body    string
		calls   int
	}{
		"served":                              {"/read/1", both(good("ledger")), 200, "ledger", 1},
		"idempotent, the first fails":         {"/read/1", both(inTurn(status(500), good("ledger"))), 500, "", 2},
		"idempotent, broken off":              {"/read/1", both(reset), 502, "", 2},
		"idempotent, not run anywhere":        {"/read/1", both(notRun), 503, "", 4},
		"idempotent, not run, then served":    {"/read/1", []behaviour{inTurn(notRun, good("a")), inTurn(notRun, good("a"))}, 200, "a", 3},
		"idempotent, not the server's answer": {"/read/1", both(status(200)), 502, "", 2},
		"once, the server fails":              {"/post/1", both(status(500)), 500, "", 1},
		"once, broken off":                    {"/post/1", both(reset), 502, "", 1},
		"once, not run anywhere":              {"/post/1", both(notRun), 503, "", 4},
		"once, a failure that says not run":   {"/post/1", both(status(429, testNotRun, "1")), 503, "", 4},
		"once, a promise that isn't one":      {"/post/1", both(status(503)), 502, "", 1},
		"an error of the caller's":            {"/post/1", both(status(404)), 404, "", 1},
		"no route":                            {"/nowhere/", both(good("")), 404, "", 0},
		"no pool":                             {"/lost/1", both(good("")), 503, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFarm(t, routes(), c.servers...)
			got := f.ask(http.MethodPost, c.path)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, got.body, c.body)
			}
			assert.Equal(t, f.calls(), c.calls)
			if c.status == http.StatusServiceUnavailable {
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
		})
	}
}

// TestWhatServersGet compares what reached the server with what was sent.
func TestWhatServersGet(t *testing.T) {
	f := newFarm(t, routes(), good("ok"))
	f.ask(http.MethodPost, "/post/1?a=%2F", testLeft, "1500")
	seen := f.runs[0]
	assert.Equal(t, seen.body, "prompt")
	assert.Equal(t, seen.header.Get(testAccount), "smiths")
	assert.Equal(t, seen.header.Get(testServer), "s1")
	assert.Equal(t, seen.header.Get("X-Key"), "")
	left, err := strconv.Atoi(seen.header.Get(testLeft))
	assert.NilError(t, err)
	assert.Assert(t, left > 1000 && left < 1500, "left %d", left)
}

// TestKeys lets in what a key or a public route allows.
func TestKeys(t *testing.T) {
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
			f := newFarm(t, routes(), good("ok"))
			f.stale = c.stale
			assert.Equal(t, f.ask(http.MethodGet, c.path, "X-Key", c.key).status, c.status)
		})
	}
}

// TestNoConfiguration refuses as not run until a configuration is known.
func TestNoConfiguration(t *testing.T) {
	f := newFarm(t, routes(), good("ok"))
	f.view = fleet.NewView()
	got := f.ask(http.MethodGet, "/read/1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, f.calls(), 0)
}

// TestNewestConfigurationBindsRepeats takes a route away while the first server
// works; the request must not go to a second one.
func TestNewestConfigurationBindsRepeats(t *testing.T) {
	var f *farm
	takeAway := func(n int, w http.ResponseWriter, r *http.Request) {
		f.setCatalog(2, routes()[1:])
		status(500)(n, w, r)
	}
	f = newFarm(t, routes(), takeAway, takeAway)
	got := f.ask(http.MethodGet, "/read/1")
	assert.Equal(t, f.calls(), 1)
	assert.Equal(t, got.status, http.StatusBadGateway, "it has run, so it can't be refused as not run")
}

// TestDeadlines ends requests by the caller's patience or the route's time.
func TestDeadlines(t *testing.T) {
	cases := map[string]struct {
		path, patience string
		status         int
	}{
		"the caller's patience":  {"/post/1", "300", 504},
		"the route's time":       {"/post/1", "", 504},
		"no time from the start": {"/post/1", "10", 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFarm(t, routes(), hang)
			assert.Equal(t, f.ask(http.MethodPost, c.path, testLeft, c.patience).status, c.status)
		})
	}
}

// TestStreams walks through what servers do to a stream.
func TestStreams(t *testing.T) {
	sure := func(b behaviour) behaviour { return confident("90", b) }
	both := func(b behaviour) []behaviour { return []behaviour{b, b} }
	cases := map[string]struct {
		path    string
		headers []string
		servers []behaviour
		body    string
		cut     bool
		calls   int
	}{
		"whole":                               {"/draft/1", nil, both(sure(sendEvents(5, 5))), pieces(1, 5), false, 1},
		"breaks off, goes on elsewhere":       {"/draft/1", nil, both(sure(inTurn(sendEvents(2, 5), sendEvents(5, 5)))), pieces(1, 2), true, 3},
		"breaks off in an event, goes on":     {"/draft/1", nil, []behaviour{sure(inTurn(sendEvents(2, 5), sendEvents(5, 5))), sure(inTurn(sendEvents(4, 5), sendEvents(5, 5)))}, "", false, 0},
		"goes on from the caller's event":     {"/draft/1", []string{testAfter, "3"}, both(sure(sendEvents(5, 5))), pieces(4, 5), false, 1},
		"breaks off, must not run again":      {"/once/1", nil, both(sure(sendEvents(2, 5))), pieces(1, 2), true, 1},
		"no event at all, must not run again": {"/once/1", nil, both(reset), "", false, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFarm(t, streamRoutes(), c.servers...)
			got := f.ask(http.MethodPost, c.path, append([]string{testModel, "large"}, c.headers...)...)
			switch name {
			case "breaks off, goes on elsewhere":
				// Both servers break off after two events: the third attempt finds
				// one that goes on.
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, pieces(1, 5))
			case "breaks off in an event, goes on":
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, pieces(1, 5))
			case "no event at all, must not run again":
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, f.calls(), c.calls)
			default:
				assert.Equal(t, got.err != nil, c.cut, "%v", got.err)
				assert.Equal(t, got.body, c.body)
				assert.Equal(t, f.calls(), c.calls)
			}
		})
	}
}

// TestCutStreamDoesNotLookWhole has every server break off; the caller's answer
// must end as an error and hold whole events only.
func TestCutStreamDoesNotLookWhole(t *testing.T) {
	f := newFarm(t, streamRoutes(), sendEvents(2, 9), sendEvents(2, 9), sendEvents(2, 9))
	got := f.ask(http.MethodPost, "/draft/1", testModel, "large")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, pieces(1, 2))
}

// TestOnlyEventsFollowEvents has the servers that should go on with a stream answer
// with errors of the caller's instead.
func TestOnlyEventsFollowEvents(t *testing.T) {
	first := func(n int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testAfter) == "" {
			sendEvents(2, 5)(n, w, r)
			return
		}
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, "id: 3\ndata: not an event\n\n")
	}
	f := newFarm(t, streamRoutes(), first, first)
	got := f.ask(http.MethodPost, "/draft/1", testModel, "large")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, pieces(1, 2))
}

// TestSilentStreamGoesOnElsewhere has a server fall silent after two events.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	silentAfterTwo := func(n int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testAfter) != "" {
			sendEvents(5, 5)(n, w, r)
			return
		}
		w.Header().Set(testSigned, "yes")
		_, _ = io.WriteString(w, pieces(1, 2))
		_ = http.NewResponseController(w).Flush()
		hang(n, w, r)
	}
	f := newFarm(t, streamRoutes(), silentAfterTwo, silentAfterTwo)
	got := f.ask(http.MethodPost, "/draft/1", testModel, "large")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, pieces(1, 5))
}

// TestCascade starts with the smallest model and drops an unsure answer before the
// caller has anything of it.
func TestCascade(t *testing.T) {
	cases := map[string]struct {
		confidence string
		headers    []string
		want       string
		models     string
	}{
		"sure":                      {"80", nil, "small", "small"},
		"unsure":                    {"20", nil, "large", "small large"},
		"no opinion":                {"", nil, "small", "small"},
		"unsure, no time for more":  {"20", []string{testLength, "320"}, "small", "small"},
		"unsure, short answer":      {"20", []string{testLength, "80"}, "large", "small large"},
		"the rest of an old answer": {"20", []string{testAfter, "0"}, "large", "large"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := byModel(map[string]behaviour{
				"small": confident(c.confidence, good("id: 1\ndata: small\n\n")),
				"large": confident("10", good("id: 1\ndata: large\n\n")),
			})
			f := newFarm(t, streamRoutes(), server, server)
			got := f.ask(http.MethodPost, "/draft/1", append([]string{testModel, "*"}, c.headers...)...)
			assert.Assert(t, strings.Contains(got.body, c.want), "%q", got.body)
			assert.Assert(t, strings.Count(got.body, "data:") == 1)
			var models []string
			for _, r := range f.runs {
				models = append(models, r.header.Get(testModel))
			}
			assert.Equal(t, strings.Join(models, " "), c.models)
		})
	}
}

// TestAttemptsAreBounded counts the servers on which a request runs, with an
// escalation and failures after it.
func TestAttemptsAreBounded(t *testing.T) {
	server := byModel(map[string]behaviour{
		"small": confident("5", sendEvents(5, 5)),
		"large": sendEvents(1, 5),
	})
	f := newFarm(t, streamRoutes(), server, server, server, server, server, server)
	f.ask(http.MethodPost, "/draft/1", testModel, "*")
	ran := make(map[string]bool)
	for _, r := range f.runs {
		ran[r.server] = true
	}
	assert.Assert(t, len(ran) <= 3, "ran on %v", ran)
}

// TestCallerLeaves cancels the work at the server.
func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	f := newFarm(t, streamRoutes(), func(_ int, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/draft/1", nil)
	assert.NilError(t, err)
	request.Header.Set("X-Key", "key-1")
	request.Header.Set(testID, "request-1")
	time.AfterFunc(100*time.Millisecond, cancel)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil)
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Fatal("the server still works")
	}
}

// TestReplacedServer passes over a server whose address has another one.
func TestReplacedServer(t *testing.T) {
	other := status(http.StatusMisdirectedRequest, testServer, "s9", testNotRun, "1")
	f := newFarm(t, routes(), other, good("ok"))
	for range 4 {
		assert.Equal(t, f.ask(http.MethodPost, "/post/1").status, http.StatusOK)
	}
}

// TestUnreachedServersCostNoRepeat has servers that nobody listens for; the budget
// for repeats is empty, and even a call that may run once goes to the one that is there.
func TestUnreachedServersCostNoRepeat(t *testing.T) {
	f := newFarm(t, routes(), good("ok"))
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
		assert.Equal(t, f.ask(http.MethodPost, "/post/1", testID, fmt.Sprintf("request-%d", i)).status, http.StatusOK)
	}
}

// TestServersFailureIsNotServed tells in the log an answer that is passed on from one
// that serves the caller.
func TestServersFailureIsNotServed(t *testing.T) {
	cases := map[string]struct {
		server behaviour
		want   string
	}{
		"good":             {good("ledger"), "served"},
		"fails every time": {status(http.StatusInternalServerError, testSigned, "yes"), "ended with the server's failure"},
		"says it is wrong": {status(http.StatusNotFound, testSigned, "yes"), "served"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			f := newFarm(t, routes(), c.server)
			f.relay.Log = hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
			f.ask(http.MethodPost, "/post/1")
			assert.Assert(t, strings.Contains(lines.String(), `"@message":"`+c.want+`"`), lines.String())
		})
	}
}

// TestStopping refuses what can't end before the daemon does.
func TestStopping(t *testing.T) {
	f := newFarm(t, append(streamRoutes(), routes()...), good("ok"))
	f.relay.BeginShutdown(3*time.Second, 10*time.Second)
	got := f.ask(http.MethodGet, "/read/1")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.closes)
	// A stream of 40 events that usually takes 5 s may take twice as long.
	for stop, refused := range map[time.Duration]bool{12 * time.Second: false, 8 * time.Second: true} {
		f.relay.BeginShutdown(stop, 10*time.Second)
		got := f.ask(http.MethodGet, "/draft/1", testModel, "large", testLength, "320")
		assert.Equal(t, got.status == http.StatusServiceUnavailable, refused, "%v", stop)
	}
	f.relay.BeginShutdown(time.Second, 0)
	for _, path := range []string{"/read/1", "/draft/1"} {
		got := f.ask(http.MethodGet, path, testModel, "large")
		assert.Equal(t, got.status, http.StatusServiceUnavailable, path)
		assert.Equal(t, got.header.Get(result.HeaderRun), "no")
	}
}

// TestSlowAnswers tells answers that are several times slower than usual, which
// count against a version on trial, from those of a busy pool.
func TestSlowAnswers(t *testing.T) {
	cases := map[string]struct {
		choice bearing.Choice
		took   clock.Millis
		want   bool
	}{
		"as usual":                  {bearing.Choice{Usual: 100, Known: true}, 150, false},
		"several times slower":      {bearing.Choice{Usual: 100, Known: true}, 400, true},
		"quick answers vary":        {bearing.Choice{Usual: 4, Known: true}, 40, false},
		"much is due to be read":    {bearing.Choice{Usual: 900, Known: true}, 1_500, false},
		"nothing known of the pace": {bearing.Choice{Usual: 4}, 400, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, isSlow(&c.choice, c.took), c.want) })
	}
}
