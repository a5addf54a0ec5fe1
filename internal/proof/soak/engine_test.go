package soak

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots  = 8
	streamEvents = 15
	eventGap     = 20 * time.Millisecond
	callWork     = 15 * time.Millisecond
)

// engine is a stand-in of a backend server of one pool.
type engine struct {
	id, pool, address string
	world             *world
	http              *http.Server

	mu      sync.Mutex
	running int
	failing bool // answers some requests with an error of its own
	mute    bool // runs requests and gives no answer
	left    time.Time
}

// startEngine makes an engine that listens at the address.
func startEngine(w *world, id, pool, address string) (*engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, pool: pool, address: address, world: w}
	e.http = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.http.Serve(listener) }()
	return e, nil
}

// crash ends the engine as if its process were killed.
func (e *engine) crash() { _ = e.http.Close() }

func (e *engine) set(change func(e *engine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// enter takes a place, or tells that there is none.
func (e *engine) enter() (failing, mute, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= engineSlots {
		return false, false, false
	}
	e.running++
	return e.failing, e.mute, true
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", e.id)
	if expected := r.Header.Get("Expect-Instance"); expected != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	failing, mute, ok := e.enter()
	if !ok {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.set(func(e *engine) { e.running-- })
	e.world.oracle.ran(e, r)
	time.Sleep(callWork)
	w.Header().Set("Engine-Stamp", stamp(id, e.id))
	switch {
	case mute:
		panic(http.ErrAbortHandler)
	case failing && len(id)%2 == 0 && id[len(id)-1] < '8':
		w.WriteHeader(http.StatusInternalServerError)
	case strings.HasPrefix(r.URL.Path, "/draft/"), strings.HasPrefix(r.URL.Path, "/song/"):
		e.stream(w, r, id)
	default:
		_, _ = fmt.Fprint(w, bodyOf(id))
	}
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= streamEvents; i++ {
		if r.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprint(w, eventOf(id, i))
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(eventGap)
	}
}

func stamp(id, engine string) string { return "stamp-" + id + "-" + engine }

func bodyOf(id string) string { return strings.Repeat("done "+id+"\n", 20) }

func eventOf(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, id, i) }
