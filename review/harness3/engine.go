package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for an engine: an HTTP server that registers itself in the store.
type engine struct {
	id, service, zone string
	slots             int
	store             *store
	// serve handles a request that the engine begins to run.
	serve func(e *engine, w http.ResponseWriter, r *http.Request)
	// silent engines don't register themselves.
	silent bool

	address string

	mu      sync.Mutex
	born    int64
	seq     int
	running int
	server  *http.Server // nil while it is down
	stop    chan struct{}
}

// heartbeat is how often an engine writes its entry.
const heartbeat = 1200 * time.Millisecond

// start listens on the address, or on a free one if it is empty, and registers.
func (e *engine) start(address string) error {
	if address == "" {
		free, err := freeAddress()
		if err != nil {
			return err
		}
		address = free
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(e.handle)}
	stop := make(chan struct{})
	e.mu.Lock()
	e.address, e.born, e.seq, e.server, e.stop = address, time.Now().UnixMilli(), 0, server, stop
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				e.beat()
			}
		}
	}()
	return nil
}

// beat writes the engine's entry.
func (e *engine) beat() {
	if e.silent {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"coldRemainingMs": 0, "seq": e.seq, "born": e.born,
	})
}

// crash ends the engine's connections and its heartbeats, as the end of its process does.
func (e *engine) crash() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		close(stop)
		_ = server.Close()
	}
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"] = nil
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", e.id)
		h.Set("Engine-Load", e.load())
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	full := e.running >= e.slots
	if !full {
		e.running++
	}
	e.mu.Unlock()
	if full {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	h.Set("Engine-Load", e.load())
	e.serve(e, w, r)
}

// load is the value of Engine-Load.
func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", e.running, e.slots)
}

// stamp is the engine's signature of its answer to the request.
func (e *engine) stamp(id string) string { return e.id + "." + id }

// event is the event of a stream with that number.
func event(id string, n int) string {
	return "id: " + strconv.Itoa(n) + "\ndata: " + id + "-" + strconv.Itoa(n) + "\n\n"
}

// events are those of the stream from one number to another.
func events(id string, from, to int) (text string) {
	for n := from; n <= to; n++ {
		text += event(id, n)
	}
	return text
}
