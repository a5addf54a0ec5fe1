package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/urfave/negroni/v3"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/traffic/app"
	"gypsumpitch.example/gypsumpitch/internal/traffic/bills"
	"gypsumpitch.example/gypsumpitch/internal/traffic/claims"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
	"gypsumpitch.example/gypsumpitch/internal/traffic/engine"
	"gypsumpitch.example/gypsumpitch/internal/traffic/pins"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// Dependencies is what a Server works with.
type Dependencies struct {
	Common      *common.Common
	Incarnation uint64
	Snapshots   func() *controlstate.Snapshot
	Notify      func(controlstate.Event)
	Dispatcher  *dispatch.Dispatcher
	Engines     *engine.Client
	Apps        *app.Client
	Bills       *bills.Recorder
	Pins        *pins.Resolver
	Claims      *claims.Coordinator
	Quality     *quality.Tracker
	Metrics     *Metrics
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	Dependencies
	gate     *admission.Limiter
	budget   *admission.RetryBudget
	sequence atomic.Uint64
	open     atomic.Int64
	stopping atomic.Bool
}

// NewServer returns a server without requests.
func NewServer(d Dependencies) *Server {
	return &Server{
		Dependencies: d,
		gate:         admission.NewLimiter(int(d.Common.Settings.Limits.MaxInFlight)),
		budget:       admission.NewRetryBudget(d.Common.Settings.Limits.RetryPercent),
	}
}

// InFlight returns the number of requests under way.
func (s *Server) InFlight() int64 { return s.open.Load() }

// BeginShutdown makes the server report that it isn't ready; requests that still
// come are served until the listener is closed.
func (s *Server) BeginShutdown() { s.stopping.Store(true) }

// Ready tells whether the balancer should send requests here.
func (s *Server) Ready() bool {
	snapshot := s.Snapshots()
	return !s.stopping.Load() && snapshot.Confirmed(s.Common.Clock.Now()) && snapshot.Document.HostInService(snapshot.Self)
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("/", s.guarded())
	return mux
}

func (s *Server) guarded() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("/", s.serveApp)
	n := negroni.New()
	n.UseFunc(s.observe)
	n.UseFunc(s.recover)
	n.UseFunc(s.authenticate)
	n.UseFunc(s.checkService)
	n.UseFunc(s.admit)
	n.UseHandler(mux)
	return n
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// NewHTTPServer returns a server with the limits of the settings.
func (s *Server) NewHTTPServer(ctx context.Context) *http.Server {
	limits := s.Common.Settings.Limits
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: clock.Millis(limits.HeaderReadMs).Duration(),
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    int(limits.MaxHeaderBytes),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

// newID returns an id that no other request of any daemon has.
func (s *Server) newID() string {
	return fmt.Sprintf("%s-%x-%d", s.Common.Settings.Host, s.Incarnation, s.sequence.Add(1))
}
