package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/urfave/negroni/v3"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/admission"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/traffic/app"
	"gypsumpitch.example/gypsumpitch/internal/traffic/bills"
	"gypsumpitch.example/gypsumpitch/internal/traffic/callerconn"
	"gypsumpitch.example/gypsumpitch/internal/traffic/claims"
	"gypsumpitch.example/gypsumpitch/internal/traffic/dispatch"
	"gypsumpitch.example/gypsumpitch/internal/traffic/engine"
	"gypsumpitch.example/gypsumpitch/internal/traffic/pins"
	"gypsumpitch.example/gypsumpitch/internal/traffic/quality"
)

// Dependencies are the collaborators of a Server.
type Dependencies struct {
	Common      *common.Common
	Incarnation uint64                        // differs at every start of the daemon
	Snapshot    func() *controlstate.Snapshot // returns the current snapshot
	Notify      func(controlstate.Event)      // sends an event to the control loop
	Dispatcher  *dispatch.Dispatcher
	Engines     *engine.Client
	Apps        *app.Client
	Bills       *bills.Recorder
	Pins        *pins.Resolver
	Claims      *claims.Coordinator
	Quality     *quality.Tracker
	Metrics     *Metrics
	// AnswerMemory counts what the answers of servers hold.
	AnswerMemory *admission.MemoryBudget
}

// Server serves the requests of callers. It is safe for concurrent use.
type Server struct {
	Dependencies
	limiter      *admission.Limiter
	retryBudget  *admission.RetryBudget
	requestCount atomic.Uint64
	inFlight     atomic.Int64
	stopping     atomic.Bool
}

// NewServer returns a server with the limits of the settings.
func NewServer(d Dependencies) *Server {
	return &Server{
		Dependencies: d,
		limiter:      admission.NewLimiter(int(d.Common.Settings.Limits.MaxInFlight)),
		retryBudget:  admission.NewRetryBudget(d.Common.Settings.Limits.RetryPercent),
	}
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// BeginShutdown makes the server report that it is not ready and close connections after
// their next response. Requests are served until the listener is closed.
func (s *Server) BeginShutdown() { s.stopping.Store(true) }

// Ready reports whether the load balancer should send requests to this daemon: it is not
// shutting down, its configuration is confirmed and its host is in service.
func (s *Server) Ready() bool {
	snapshot := s.Snapshot()
	return !s.stopping.Load() && snapshot.Confirmed(s.Common.Clock.Now()) && snapshot.Document.HostInService(snapshot.Self)
}

// Handler returns the HTTP handler for the caller listener, with its health checks.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("/", s.apiHandler())
	return mux
}

func (s *Server) apiHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("/", s.serveApp)
	n := negroni.New()
	n.UseFunc(s.observe)
	n.UseFunc(s.recoverPanic)
	n.UseFunc(s.authenticate)
	n.UseFunc(s.checkAcceptsWork)
	n.UseFunc(s.limitInFlight)
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

// maxIdleTime is how long a caller may keep a connection without a request.
const maxIdleTime = 120_000 * clock.Millis(1)

// NewConnServer returns a server of callers' connections with the limits of the settings. ctx is
// the base context of its requests; config is nil without TLS.
func (s *Server) NewConnServer(ctx context.Context, listener net.Listener, config *tls.Config) *callerconn.Server {
	limits := s.Common.Settings.Limits
	server := callerconn.NewServer(listener, s.Handler())
	server.SetBaseContext(ctx)
	server.SetTLS(config)
	server.SetLimits(catalog.Limits{
		HeaderTimeout: clock.Millis(limits.HeaderReadMs), IdleTimeout: maxIdleTime, HeaderBytes: int(limits.MaxHeaderBytes),
	})
	return server
}

// newRequestID returns an ID that is unique among all daemons and their restarts.
func (s *Server) newRequestID() string {
	return fmt.Sprintf("%s-%x-%d", s.Common.Settings.Host, s.Incarnation, s.requestCount.Add(1))
}
