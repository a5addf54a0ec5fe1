package relay

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadbalance"
	"gypsumpitch.example/gypsumpitch/internal/decision/loadfeatures"
)

// unframed sends a response with neither a length nor chunks, and crashes the server if the
// request is the first one of a stream.
func unframed(f **fixture, body, resumed string, crash bool) behaviour {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		id := w.Header().Get(headerServer)
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n" + headerID + ": " + r.Header.Get(headerID) + "\r\n" + headerSigned + ": yes\r\n\r\n")
		switch {
		case (*f).callCount() > 1:
			_, _ = buffered.WriteString(resumed)
		default:
			_, _ = buffered.WriteString(body)
			if crash {
				_ = (*f).servers[id].Listener.Close()
			}
		}
		_ = buffered.Flush()
	}
}

// TestUnframedAnswerOfCrashedServer has a server end an answer that has neither a length nor
// chunks with its connection. It is complete only if the server hasn't crashed, and a stream
// only if it has events.
func TestUnframedAnswerOfCrashedServer(t *testing.T) {
	cases := map[string]struct {
		path, body, resumed, want string
		crash                     bool
		calls                     int
	}{
		"stream, server up":              {"/draft/1", events(1, 5), "", events(1, 5), false, 1},
		"stream, crash after an event":   {"/draft/1", events(1, 2), events(3, 5), events(1, 5), true, 2},
		"stream, crash before any event": {"/draft/1", "", events(1, 5), events(1, 5), true, 2},
		"stream without events":          {"/draft/1", "", events(1, 5), events(1, 5), false, 2},
		"stream without event IDs":       {"/draft/1", "data: x\n\n", "", "data: x\n\n", false, 1},
		"plain, server up":               {"/read/1", "ledger", "", "ledger", false, 1},
		"plain, crash":                   {"/read/1", "led", "ledger", "ledger", true, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			b := unframed(&f, c.body, c.resumed, c.crash)
			f = newFixture(t, append(routes(), streamRoutes()...), b, b)
			got := f.send(http.MethodPost, c.path, headerModel, "large")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, c.want)
			assert.Equal(t, f.callCount(), c.calls)
		})
	}
}

// TestUnframedAnswerOfLeavingServer has a server that leaves, has left or has been restarted end
// an answer that has neither a length nor chunks with its connection. Guards against a part
// of an answer being passed on as complete because its server was expected to exit.
func TestUnframedAnswerOfLeavingServer(t *testing.T) {
	changes := map[string]func(f *fixture, s fleet.Server){
		"drains": func(f *fixture, s fleet.Server) {
			s.Draining = true
			f.view = f.view.WithServer(s, 0)
		},
		"has left":      func(f *fixture, s fleet.Server) { f.view = f.view.WithoutServer(s.ID) },
		"was restarted": func(f *fixture, s fleet.Server) { s.StartedAt++; f.view = f.view.WithServer(s, 0) },
		"announced its exit": func(f *fixture, s fleet.Server) {
			f.relay.Balancer.RecordAnnouncement(&fleet.Entry{Server: s}, loadbalance.Announcement{Leaving: true}, f.relay.Clock.Now())
		},
	}
	cases := map[string]struct {
		path, body, resumed, want string
		exits                     bool
		status                    int
	}{
		"stream, exit after an event": {"/draft/1", events(1, 2), events(3, 5), events(1, 5), true, http.StatusOK},
		"safe, exit":                  {"/read/1", "led", "ledger", "ledger", true, http.StatusOK},
		"unsafe, exit":                {"/post/1", "led", "", "", true, http.StatusBadGateway},
		"stream, complete":            {"/draft/1", events(1, 5), "", events(1, 5), false, http.StatusOK},
		"unsafe, complete":            {"/post/1", "ledger", "", "ledger", false, http.StatusOK},
	}
	for change, apply := range changes {
		for name, c := range cases {
			if change == "was restarted" && !c.exits {
				continue
			}
			t.Run(change+", "+name, func(t *testing.T) {
				var f *fixture
				answer := unframed(&f, c.body, c.resumed, c.exits)
				b := func(n int, w http.ResponseWriter, r *http.Request) {
					if f.callCount() == 1 {
						server, _ := f.currentView().Server(w.Header().Get(headerServer))
						f.mu.Lock()
						apply(f, server.Server)
						f.mu.Unlock()
					}
					answer(n, w, r)
				}
				f = newFixture(t, append(routes(), streamRoutes()...), b, b)
				got := f.send(http.MethodPost, c.path, headerModel, "large")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, c.status)
				if c.status == http.StatusOK {
					assert.Equal(t, got.body, c.want)
				}
			})
		}
	}
}

// TestUnframedAnswerOfExitingServer has a server that leaves end an answer that has neither a
// length nor chunks, as it exits while its address still takes connections, as another server
// has taken the address over, or while it is busy or has as many connections as it accepts. Guards
// against a part of an answer being passed on as complete because the connections of a process that
// exits end one after the other, and against a complete one being taken for a part.
func TestUnframedAnswerOfExitingServer(t *testing.T) {
	cases := map[string]struct {
		path, body, resumed, want string
		exits, busy, rejects      bool
		replacedBy                string
		timeout                   string // of the request, in ms
		status                    int
	}{
		"stream, exit after an event":  {path: "/draft/1", body: events(1, 2), resumed: events(3, 5), want: events(1, 5), exits: true, status: http.StatusOK},
		"safe, exit":                   {path: "/read/1", body: "led", resumed: "ledger", want: "ledger", exits: true, status: http.StatusOK},
		"unsafe, exit":                 {path: "/post/1", body: "led", exits: true, status: http.StatusBadGateway},
		"unsafe, address taken over":   {path: "/post/1", body: "led", replacedBy: "other", status: http.StatusBadGateway},
		"stream, complete":             {path: "/draft/1", body: events(1, 5), want: events(1, 5), status: http.StatusOK},
		"unsafe, complete":             {path: "/post/1", body: "ledger", want: "ledger", status: http.StatusOK},
		"unsafe, complete, busy":       {path: "/post/1", body: "ledger", want: "ledger", busy: true, status: http.StatusOK},
		"unsafe, complete, rejects":    {path: "/post/1", body: "ledger", want: "ledger", rejects: true, status: http.StatusOK},
		"safe, complete, near its end": {path: "/read/1", body: "ledger", want: "ledger", busy: true, timeout: "400", status: http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			answer := unframed(&f, c.body, c.resumed, false)
			b := func(n int, w http.ResponseWriter, r *http.Request) {
				if f.callCount() == 1 {
					server, _ := f.currentView().Server(w.Header().Get(headerServer))
					server.Draining = true
					f.mu.Lock()
					f.view = f.view.WithServer(server.Server, 0)
					f.mu.Unlock()
					f.rejects.Store(c.rejects)
				}
				answer(n, w, r)
			}
			f = newFixture(t, append(routes(), streamRoutes()...), b, b)
			f.exits.Store(c.exits)
			f.busy.Store(c.busy)
			f.healthPath, f.healthServer = "/health", c.replacedBy
			f.setCatalog(2, f.routes)
			got := f.send(http.MethodPost, c.path, headerModel, "large", headerRemaining, c.timeout)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, got.body, c.want)
			}
		})
	}
}

// TestLongUnframedAnswerOfCrashedServer has a server crash at the end of an answer without a length
// that is too long to be held back. Guards against a part of it being passed on as complete.
func TestLongUnframedAnswerOfCrashedServer(t *testing.T) {
	for name, features := range map[string]loadfeatures.Features{"": {}, "shared capacity": {SharedCapacity: true}} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f = newFixture(t, routes(), func(n int, w http.ResponseWriter, r *http.Request) {
				unframed(&f, strings.Repeat("x", 400<<10), "", true)(n, w, r)
			})
			f.relay.SetFeatures(features)
			got := f.send(http.MethodPost, "/post/1")
			assert.ErrorContains(t, got.err, "EOF")
		})
	}
}
