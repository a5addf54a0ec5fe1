package relay

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
)

const crashPath = "crash"

// crashOnRequest crashes the server under a request of account smiths whose path ends with
// crashPath, before or after its response header. Others are answered.
func crashOnRequest(f **fixture, afterHeader bool, answer behaviour) behaviour {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerAccount) != "smiths" || !strings.HasSuffix(r.URL.Path, crashPath) {
			answer(n, w, r)
			return
		}
		if afterHeader {
			w.Header().Set(headerSigned, "yes")
			_ = http.NewResponseController(w).Flush()
		}
		time.Sleep(60 * time.Millisecond)
		server := (*f).servers[w.Header().Get(headerServer)]
		_ = server.Listener.Close()
		go server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	}
}

// TestRequestThatCrashedServersIsHeld has the same request crash three servers, by its own
// attempts or by coming again. Then it must reach no other server. The same request of
// another client account and other requests of the same one must be served.
func TestRequestThatCrashedServersIsHeld(t *testing.T) {
	text := []catalog.WeightedPool{{Pool: "text", Weight: 1}}
	route := func(name string, stream bool, policy catalog.RetryPolicy, attempts int) catalog.Route {
		return catalog.Route{
			Name: name, Host: "desk.example", Prefix: "/" + name + "/", RetryPolicy: policy, Stream: stream, Pools: text,
			MaxAttempts: attempts, Timeout: 5_000, LatencyTarget: 1_000, InterEventTarget: 1_200,
		}
	}
	routes := []catalog.Route{
		route("read", false, catalog.Idempotent, 3), route("pay", false, catalog.AtMostOnce, 1),
		route("draft", true, catalog.Idempotent, 3), route("song", true, catalog.AtMostOnce, 1),
	}
	cases := map[string]struct {
		route    string
		repeats  int // until three servers have crashed
		prompt   string
		isStream bool
	}{
		"a safe call, by its own attempts":  {"read", 1, "", false},
		"a payment":                         {"pay", 3, "", false},
		"a stream, by its own attempts":     {"draft", 1, "a,b,own", true},
		"a stream with its private segment": {"draft", 1, "own", true},
		"a stream that runs at most once":   {"song", 3, "a,b,own", true},
		"a stream without a prompt":         {"song", 3, "", true},
	}
	for name, test := range cases {
		for _, afterHeader := range []bool{false, true} {
			t.Run(name+", after the header "+strconv.FormatBool(afterHeader), func(t *testing.T) {
				answer := respond("answer")
				if test.isStream {
					answer = sendEvents(3, 3)
				}
				var f *fixture
				behaviours := make([]behaviour, 5)
				for i := range behaviours {
					behaviours[i] = crashOnRequest(&f, afterHeader, answer)
				}
				f = newFixture(t, routes, behaviours...)
				f.setKeys(2, routes, map[string]catalog.ClientAccount{"key-1": {Name: "smiths"}, "key-2": {Name: "shrines"}})
				send := func(path, key, id string) callerResponse {
					headers := []string{headerID, id, "X-Key", key}
					if test.prompt != "" {
						headers = append(headers, headerPrompt, test.prompt)
					}
					return f.send(http.MethodPost, "/"+test.route+"/"+path, headers...)
				}
				for i := range test.repeats {
					response := send(crashPath, "key-1", "first-"+strconv.Itoa(i))
					assert.Assert(t, response.err != nil || response.status == http.StatusBadGateway, "it may have run: %d", response.status)
				}
				assert.Equal(t, f.callCount(), 3)
				time.Sleep(50 * time.Millisecond) // until the last crash is confirmed
				for i := range 5 {
					response := send(crashPath, "key-1", "again-"+strconv.Itoa(i))
					assert.Equal(t, response.status, http.StatusServiceUnavailable)
					assert.Assert(t, strings.Contains(response.body, "request_quarantined"), response.body)
					assert.Assert(t, response.header.Get("Retry-After") != "")
				}
				assert.Equal(t, f.callCount(), 3, "it is sent nowhere")
				assert.Equal(t, send(crashPath, "key-2", "shrines").status, http.StatusOK)
				assert.Equal(t, send("other", "key-1", "other").status, http.StatusOK)
			})
		}
	}
}

// TestOwnAttemptsOfCrashingRequestEnd has a request crash servers on a route that allows it five
// attempts. It must reach no server after the third crash.
func TestOwnAttemptsOfCrashingRequestEnd(t *testing.T) {
	route := catalog.Route{
		Name: "read", Host: "desk.example", Prefix: "/read/", RetryPolicy: catalog.Idempotent,
		Pools: []catalog.WeightedPool{{Pool: "text", Weight: 1}}, MaxAttempts: 5, Timeout: 5_000, LatencyTarget: 1_000,
	}
	var f *fixture
	behaviours := make([]behaviour, 6)
	for i := range behaviours {
		behaviours[i] = crashOnRequest(&f, false, respond("answer"))
	}
	f = newFixture(t, []catalog.Route{route}, behaviours...)
	assert.Equal(t, f.send(http.MethodPost, "/read/"+crashPath).status, http.StatusBadGateway)
	assert.Equal(t, f.callCount(), 3)
}

// newStuckFixture returns a fixture whose only server answers nothing until the test ends, on a
// route with a short timeout and a single attempt.
func newStuckFixture(t *testing.T, policy catalog.RetryPolicy) *fixture {
	t.Helper()
	route := catalog.Route{
		Name: "read", Host: "desk.example", Prefix: "/read/", RetryPolicy: policy,
		Pools: []catalog.WeightedPool{{Pool: "text", Weight: 1}}, MaxAttempts: 1, Timeout: 150, LatencyTarget: 100,
	}
	release := make(chan struct{})
	f := newFixture(t, []catalog.Route{route}, func(int, http.ResponseWriter, *http.Request) { <-release })
	t.Cleanup(func() { close(release) })
	return f
}

// TestAttemptGivenUpIsSuspect has the only attempt of a call time out at a server that still runs
// it. If the server crashes soon, the call must be among the suspects.
func TestAttemptGivenUpIsSuspect(t *testing.T) {
	f := newStuckFixture(t, catalog.AtMostOnce)
	assert.Equal(t, f.send(http.MethodPost, "/read/"+crashPath).status, http.StatusGatewayTimeout)
	server, _ := f.currentView().Server("s1")
	crash, suspicious := f.relay.Quarantine.Suspect(serverStart(&server), f.relay.Clock.Now())
	assert.Assert(t, suspicious && len(crash.Suspects) == 1)
}

// TestCrashAfterAttemptGivenUp has a server crash after its only attempt was given up, with nothing
// else there. Guards against a request that crashes one server after the other so late that no
// attempt breaks off.
func TestCrashAfterAttemptGivenUp(t *testing.T) {
	f := newStuckFixture(t, catalog.Idempotent)
	lines := make(lineWriter, 100)
	f.relay.Log = hclog.New(&hclog.LoggerOptions{Output: lines})
	assert.Equal(t, f.send(http.MethodPost, "/read/"+crashPath).status, http.StatusGatewayTimeout)
	assert.NilError(t, f.servers["s1"].Listener.Close())
	for deadline := time.After(5 * time.Second); ; {
		select {
		case line := <-lines:
			if strings.Contains(line, "server crashed") {
				assert.Assert(t, strings.Contains(line, "suspects=1"), line)
				return
			}
		case <-deadline:
			t.Fatal("the crash isn't noticed")
		}
	}
}

// lineWriter receives log lines; it drops those for which it has no room.
type lineWriter chan string

func (w lineWriter) Write(p []byte) (int, error) {
	select {
	case w <- string(p):
	default:
	}
	return len(p), nil
}
