package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/decision/placement"

	"gypsumpitch.example/gypsumpitch/internal/traffic/backend"
)

// EngineSettings make one stand-in engine.
type EngineSettings struct {
	LoadedModels    []string // model@version
	Slots           int
	ColdSlots       int
	ColdDuration    time.Duration // cold at the start for that long
	TokenInterval   time.Duration
	PrefillDuration time.Duration
	ResponseTokens  int
	BadPercent      map[string]int // bad answers by model@version
}

// Engine is a small model engine that batches up to its slots, is cold at the
// start and falls over when a cold one gets more than it bears.
type Engine struct {
	settings EngineSettings
	faults   *FaultInjector

	mu          sync.Mutex
	running     int
	waiting     int
	peak        int
	coldUntil   time.Time
	fellOver    int
	incarnation int
	freed       chan struct{}
	fencing     int64
	holds       []string
	orders      []string
	served      map[string]int
	old         placement.LoadReport // what a lagging report shows
	oldAt       time.Time
}

// NewEngine returns an engine that is cold for as long as its settings say.
func NewEngine(settings EngineSettings, faults *FaultInjector) *Engine {
	return &Engine{
		settings:    settings,
		faults:      faults,
		coldUntil:   time.Now().Add(settings.ColdDuration),
		incarnation: 1,
		freed:       make(chan struct{}, 1),
		holds:       slices.Clone(settings.LoadedModels),
		served:      make(map[string]int),
	}
}

// Crashes returns how often the engine has fallen over.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fellOver
}

// Served returns how many requests each model@version has begun.
func (e *Engine) Served() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	served := make(map[string]int, len(e.served))
	for k, n := range e.served {
		served[k] = n
	}
	return served
}

// Handler serves the chat-completions shape, the load report and orders.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.report()) })
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		peak, fell, orders := e.peak, e.fellOver, slices.Clone(e.orders)
		e.mu.Unlock()
		writeJSON(w, map[string]any{"peak": peak, "fell_over": fell, "served": e.Served(), "orders": orders})
	})
	mux.HandleFunc("POST /v1/orders/{verb}/{name}", e.serveOrder)
	return e.faults.Wrap(mux)
}

// isCold also applies the fault that turns the engine cold once. The lock is held.
func (e *Engine) isCold() bool {
	if f := e.faults.Get(); f.Cold {
		f.Cold = false
		e.faults.Set(f)
		e.coldUntil = time.Now().Add(max(e.settings.ColdDuration, time.Second))
		e.incarnation++
	}
	return time.Now().Before(e.coldUntil)
}

func (e *Engine) report() placement.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := placement.LoadReport{
		Running:      e.running,
		Waiting:      e.waiting,
		Cold:         e.isCold(),
		ColdCapacity: e.settings.ColdSlots,
		Leaving:      e.faults.Get().Leaving,
		Incarnation:  strconv.Itoa(e.incarnation),
		Holds:        slices.Clone(e.holds),
	}
	lag := time.Duration(e.faults.Get().LagMs) * time.Millisecond
	if time.Since(e.oldAt) >= lag {
		e.old, e.oldAt = now, time.Now()
	}
	return e.old
}

// enter waits for a slot. An engine that is cold and gets more than it bears
// falls over: all that runs there is cut, and it starts cold again.
func (e *Engine) enter(done <-chan struct{}) (incarnation int, ok bool) {
	e.mu.Lock()
	e.waiting++
	defer func() {
		e.waiting--
		e.mu.Unlock()
	}()
	for {
		if e.isCold() && e.running+1 > e.settings.ColdSlots {
			e.fellOver++
			e.incarnation++
			e.coldUntil = time.Now().Add(e.settings.ColdDuration)
			return 0, false
		}
		if e.running < e.settings.Slots {
			e.running++
			e.peak = max(e.peak, e.running)
			return e.incarnation, true
		}
		e.mu.Unlock()
		select {
		case <-e.freed:
		case <-done:
			e.mu.Lock()
			return 0, false
		}
		e.mu.Lock()
	}
}

func (e *Engine) leave() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	select {
	case e.freed <- struct{}{}:
	default:
	}
}

func (e *Engine) alive(incarnation int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation == incarnation
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseInt(r.Header.Get(backend.HeaderFencing), 10, 64)
	if err != nil {
		http.Error(w, "fencing number: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if number < e.fencing && !e.faults.Get().FencingIgnored {
		http.Error(w, fmt.Sprintf("fencing number %d is older than %d", number, e.fencing), http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, number)
	verb, name := r.PathValue("verb"), r.PathValue("name")
	e.orders = append(e.orders, fmt.Sprintf("%d %s %s", number, verb, name))
	e.holds = slices.DeleteFunc(e.holds, func(held string) bool { return held == name })
	if verb == "load" {
		e.holds = append(e.holds, name)
	}
}
