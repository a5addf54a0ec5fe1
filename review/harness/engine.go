package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// engineReport is a line that an engine process writes for each step of a request.
type engineReport struct {
	At     int64  `json:"at"` // Unix ms
	Engine string `json:"engine"`
	What   string `json:"what"` // run, end, left, reject
	ID     string `json:"id"`
	Path   string `json:"path"`
	From   int    `json:"from,omitempty"` // first event of a stream
	Events int    `json:"events,omitempty"`
	Status int    `json:"status,omitempty"`
	Tenant string `json:"tenant,omitempty"`
}

// runEngine is an engine process. Its arguments are its id, its address and its behaviour, words
// separated by commas:
//
//	work=MS       time of a plain request
//	events=N      of a stream; gap=MS is the time between two of them
//	unframed      answers have neither a length nor chunks and end with their connection
//	status=N      plain requests are run, and answered with this status
//	crash=MS      a request whose path ends with "poison" ends the process after that time
//
// SIGUSR1 makes it say in its answers that it leaves. Requests whose connection closes are
// dropped.
func runEngine(args []string) {
	e := &engineProcess{id: args[0], work: 20 * time.Millisecond, gap: 100 * time.Millisecond, events: 30, status: http.StatusOK}
	for _, word := range strings.Split(args[2], ",") {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "work":
			e.work = time.Duration(n) * time.Millisecond
		case "events":
			e.events = n
		case "gap":
			e.gap = time.Duration(n) * time.Millisecond
		case "unframed":
			e.unframed = true
		case "crash":
			e.crash = time.Duration(n) * time.Millisecond
		case "status":
			e.status = n
		}
	}
	l, err := net.Listen("tcp", args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	notify(syscall.SIGUSR1, func() { e.leaving.Store(true) })
	server := &http.Server{Handler: e, IdleTimeout: 5 * time.Second}
	_ = server.Serve(l)
}

type engineProcess struct {
	id       string
	work     time.Duration
	gap      time.Duration
	events   int
	status   int
	unframed bool
	crash    time.Duration
	leaving  atomic.Bool
	running  atomic.Int64
	mu       sync.Mutex
}

func (e *engineProcess) report(r engineReport) {
	r.At, r.Engine = time.Now().UnixMilli(), e.id
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(r)
}

func (e *engineProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Engine-Load", fmt.Sprintf("%d,0,64", e.running.Load()))
	h.Set("Keep-Alive", "timeout=5")
	if id != "" {
		h.Set("Request-Id", id)
	}
	if e.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", e.id)
		if e.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		h.Set("Instance-Id", e.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	e.report(engineReport{What: "run", ID: id, Path: r.URL.Path, From: first, Tenant: r.Header.Get("Tenant")})
	e.running.Add(1)
	defer e.running.Add(-1)
	h.Set("Engine-Stamp", e.id+"."+id)
	if strings.HasPrefix(r.URL.Path, "/draft/") {
		e.stream(w, r, id, first)
		return
	}
	if e.crash > 0 && strings.HasSuffix(r.URL.Path, "poison") {
		// It works on when the connection closes, and stops at the deadline that it was given.
		if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil && left < int(e.crash.Milliseconds()) {
			time.Sleep(time.Duration(left) * time.Millisecond)
			e.report(engineReport{What: "end", ID: id, Status: http.StatusGatewayTimeout})
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		time.Sleep(e.crash)
		e.report(engineReport{What: "crash", ID: id})
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.report(engineReport{What: "left", ID: id})
		return
	}
	e.plain(w, id, body)
}

// plain answers a plain request after its work.
func (e *engineProcess) plain(w http.ResponseWriter, id string, body []byte) {
	text := plainAnswer(id)
	e.report(engineReport{What: "end", ID: id, Status: e.status})
	w.Header().Set("Content-Type", "application/json")
	if !e.unframed {
		w.WriteHeader(e.status)
		_, _ = io.WriteString(w, text)
		return
	}
	conn, buffered := e.hijack(w, "200 OK")
	defer func() { _ = conn.Close() }()
	half := len(text) / 2
	_, _ = buffered.WriteString(text[:half])
	_ = buffered.Flush()
	time.Sleep(e.gap)
	_, _ = buffered.WriteString(text[half:])
	_ = buffered.Flush()
}

// plainAnswer is the complete body of the answer to a plain request.
func plainAnswer(id string) string {
	return `{"id":"` + id + `","text":"` + strings.Repeat("x", 760) + `"}`
}

// hijack takes the connection over and writes a header without a length.
func (e *engineProcess) hijack(w http.ResponseWriter, status string) (net.Conn, *bufio.ReadWriter) {
	header := w.Header().Clone()
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	header.Del("Keep-Alive")
	header.Set("Connection", "close")
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 " + status + "\r\n")
	_ = header.Write(&text)
	text.WriteString("\r\n")
	_, _ = buffered.Write(text.Bytes())
	_ = buffered.Flush()
	return conn, buffered
}

// stream sends the events of a stream from the first on.
func (e *engineProcess) stream(w http.ResponseWriter, r *http.Request, id string, first int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Confidence", "95")
	send := func(text string) error {
		_, err := io.WriteString(w, text)
		w.(http.Flusher).Flush()
		return err
	}
	ctx := r.Context()
	if e.unframed {
		conn, buffered := e.hijack(w, "200 OK")
		defer func() { _ = conn.Close() }()
		send = func(text string) error {
			_, _ = buffered.WriteString(text)
			return buffered.Flush()
		}
	}
	for n := first; n <= e.events; n++ {
		if n > first {
			time.Sleep(e.gap)
		}
		if err := send(fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", n, id, n, e.events)); err != nil || (!e.unframed && ctx.Err() != nil) {
			e.report(engineReport{What: "left", ID: id, Events: n - 1})
			return
		}
	}
	e.report(engineReport{What: "end", ID: id, Events: e.events, Status: http.StatusOK})
}

// engine is an engine process that the script has started.
type engine struct {
	id, address, zone, service, version string
	bornAt                              int64
	cmd                                 *exec.Cmd
}

// startEngine starts an engine process at a free address and registers it.
func (d *deployment) startEngine(id, service, zone, behaviour string) *engine {
	return d.startEngineAt(freeAddress(d.nextIP()), id, service, zone, behaviour)
}

func (d *deployment) startEngineAt(address, id, service, zone, behaviour string) *engine {
	e := &engine{id: id, address: address, zone: zone, service: service, version: "v1", bornAt: time.Now().UnixMilli()}
	e.cmd = d.start(e.id, nil, d.self, "engine", id, e.address, behaviour)
	waitListening(e.address)
	d.register(e, "ready")
	return e
}

// register writes the engine's entry with the state. It returns when that is acknowledged.
func (d *deployment) register(e *engine, state string) time.Time {
	at := d.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64,
		"state": state, "coldRemainingMs": 0, "seq": 1, "born": e.bornAt,
	})
	d.record("engine %s: %s, acknowledged by the store", e.id, state)
	return at
}
