package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

// App is a stand-in for an app server that counts the calls it runs by their idempotency key.
type App struct {
	faults       *FaultInjector
	callDuration time.Duration
	mu           sync.Mutex
	runCounts    map[string]int // by Idempotency-Key
	active       int            // calls that run now
}

// NewApp returns an app server whose calls take callDuration.
func NewApp(faults *FaultInjector, callDuration time.Duration) *App {
	return &App{faults: faults, callDuration: callDuration, runCounts: make(map[string]int)}
}

// RunCounts returns how often the call with each idempotency key has run.
func (a *App) RunCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[string]int, len(a.runCounts))
	for k, n := range a.runCounts {
		counts[k] = n
	}
	return counts
}

// Handler serves the app, its load report and GET /v1/runs, which returns RunCounts.
func (a *App) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		a.mu.Lock()
		defer a.mu.Unlock()
		writeJSON(w, placement.LoadReport{Running: a.active, Leaving: a.faults.Get().Leaving, Incarnation: "app"})
	})
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.RunCounts()) })
	mux.HandleFunc("/", a.serve)
	return a.faults.Wrap(mux)
}

func (a *App) serve(w http.ResponseWriter, r *http.Request) {
	if a.faults.Get().Leaving {
		w.Header().Set(backend.HeaderLeaving, "true")
		w.Header().Set(backend.HeaderNotRun, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.begin(r)
	defer a.end()
	time.Sleep(a.callDuration)
	if a.faults.consume(func(f *Faults) *int { return &f.CutAfterRun }) {
		abortConnection()
	}
	id := r.Header.Get(backend.HeaderRequestID)
	if a.faults.consume(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "another-request"
	}
	w.Header().Set(backend.HeaderRequestID, id)
	writeJSON(w, map[string]any{"method": r.Method, "path": r.URL.Path, "query": r.URL.RawQuery, "body": string(body), "header": r.Header.Get("X-Demo")})
}

func (a *App) begin(r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		a.runCounts[key]++
	}
}

func (a *App) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
}
