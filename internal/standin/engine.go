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

// EngineSettings configures an Engine.
type EngineSettings struct {
	LoadedModels    []string // as model@version
	Slots           int
	ColdSlots       int
	ColdDuration    time.Duration // cold for this long after a start
	TokenInterval   time.Duration
	PrefillDuration time.Duration
	ResponseTokens  int
	BadPercent      map[string]int // percentage of bad answers by model@version
}

// Engine is a stand-in for a model engine that runs up to Slots requests at a time. It is cold
// after a start, and crashes if it gets more than ColdSlots requests while cold.
type Engine struct {
	settings EngineSettings
	faults   *FaultInjector

	mu           sync.Mutex
	running      int
	waiting      int
	peak         int // most requests that ran at a time
	coldUntil    time.Time
	crashes      int
	incarnation  int // incremented by each restart
	slotFreed    chan struct{}
	lastFencing  int64 // of the newest order
	loadedModels []string
	orders       []string
	served       map[string]int
	lastReport   placement.LoadReport // outdated by up to LagMs
	lastReportAt time.Time
}

// NewEngine returns an engine that has just started, so it is cold for ColdDuration.
func NewEngine(settings EngineSettings, faults *FaultInjector) *Engine {
	return &Engine{
		settings:     settings,
		faults:       faults,
		coldUntil:    time.Now().Add(settings.ColdDuration),
		incarnation:  1,
		slotFreed:    make(chan struct{}, 1),
		loadedModels: slices.Clone(settings.LoadedModels),
		served:       make(map[string]int),
	}
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Served returns the number of requests that were started by model@version.
func (e *Engine) Served() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	served := make(map[string]int, len(e.served))
	for k, n := range e.served {
		served[k] = n
	}
	return served
}

// Handler serves the chat completions API, the load report, statistics and orders.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.report()) })
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		peak, crashes, orders := e.peak, e.crashes, slices.Clone(e.orders)
		e.mu.Unlock()
		writeJSON(w, map[string]any{"peak": peak, "fell_over": crashes, "served": e.Served(), "orders": orders})
	})
	mux.HandleFunc("POST /v1/orders/{verb}/{name}", e.serveOrder)
	return e.faults.Wrap(mux)
}

// isCold reports whether the engine is cold, and first applies the Cold fault, which
// acts once. The caller holds mu.
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
	current := placement.LoadReport{
		Running:      e.running,
		Waiting:      e.waiting,
		Cold:         e.isCold(),
		ColdCapacity: e.settings.ColdSlots,
		Leaving:      e.faults.Get().Leaving,
		Incarnation:  strconv.Itoa(e.incarnation),
		Holds:        slices.Clone(e.loadedModels),
	}
	lag := time.Duration(e.faults.Get().LagMs) * time.Millisecond
	if time.Since(e.lastReportAt) >= lag {
		e.lastReport, e.lastReportAt = current, time.Now()
	}
	return e.lastReport
}

// acquireSlot waits for a slot until done is closed. A cold engine that has no free
// cold slot crashes: its running requests are aborted and it starts cold again.
func (e *Engine) acquireSlot(done <-chan struct{}) (incarnation int, ok bool) {
	e.mu.Lock()
	e.waiting++
	defer func() {
		e.waiting--
		e.mu.Unlock()
	}()
	for {
		if e.isCold() && e.running+1 > e.settings.ColdSlots {
			e.crashes++
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
		case <-e.slotFreed:
		case <-done:
			e.mu.Lock()
			return 0, false
		}
		e.mu.Lock()
	}
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	select {
	case e.slotFreed <- struct{}{}:
	default:
	}
}

// isCurrent reports whether the engine has not restarted since that incarnation.
func (e *Engine) isCurrent(incarnation int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation == incarnation
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	fencing, err := strconv.ParseInt(r.Header.Get(backend.HeaderFencing), 10, 64)
	if err != nil {
		http.Error(w, "fencing number: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if fencing < e.lastFencing && !e.faults.Get().FencingIgnored {
		http.Error(w, fmt.Sprintf("fencing number %d is lower than %d", fencing, e.lastFencing), http.StatusConflict)
		return
	}
	e.lastFencing = max(e.lastFencing, fencing)
	verb, name := r.PathValue("verb"), r.PathValue("name")
	e.orders = append(e.orders, fmt.Sprintf("%d %s %s", fencing, verb, name))
	e.loadedModels = slices.DeleteFunc(e.loadedModels, func(loaded string) bool { return loaded == name })
	if verb == "load" {
		e.loadedModels = append(e.loadedModels, name)
	}
}
