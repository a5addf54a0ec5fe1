//go:build review

package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at an engine.
type run struct {
	id, engine, tenant, path, method, bodyHash, model, lastEvent, prefix string
	at, ended                                                            time.Time
	complete                                                             bool
	stamp                                                                string
}

// engine is a stand-in of a server of one service. Its connections carry one request at a time.
type engine struct {
	id, service, zone, version, address string
	slots                               int
	born                                int64
	listener                            net.Listener
	work                                time.Duration
	events                              int
	eventEvery                          time.Duration

	mu          sync.Mutex
	conns       map[net.Conn]struct{}
	running     int
	silentUntil time.Time
	state       string
	crashed     bool
	seq         int
	arrivals    map[string]int
	// odd returns how the next answer goes wrong; empty for a sound one.
	odd func(r *http.Request) string
	// poison crashes the engine if the run is of a request that does so.
	poison func(x *run) bool
}

func hash(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:6])
}

func newEngine(id, service, zone, version, address string, slots int) *engine {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(err)
	e := &engine{id: id, service: service, zone: zone, version: version, slots: slots, listener: l, address: l.Addr().String(), state: "ready",
		born: time.Now().UnixMilli(), conns: make(map[net.Conn]struct{}), arrivals: make(map[string]int),
		work: 25 * time.Millisecond, events: 30, eventEvery: 25 * time.Millisecond}
	go e.accept()
	return e
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.crashed {
			e.mu.Unlock()
			c.Close()
			continue
		}
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				e.mu.Lock()
				delete(e.conns, c)
				e.mu.Unlock()
			}()
			r := bufio.NewReaderSize(c, 4096)
			for e.serveOne(c, r) {
			}
		}()
	}
}

// crash closes the listener and all connections, as the end of the process does.
func (e *engine) crash(reset bool) {
	e.mu.Lock()
	e.crashed = true
	conns := e.conns
	e.conns = make(map[net.Conn]struct{})
	e.mu.Unlock()
	e.listener.Close()
	for c := range conns {
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
}

func (e *engine) awaitSilence() {
	for {
		e.mu.Lock()
		d := time.Until(e.silentUntil)
		e.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

func (e *engine) serveOne(c net.Conn, r *bufio.Reader) (again bool) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	e.awaitSilence()
	id := req.Header.Get("Request-Id")
	head := func(status string, extra string) string {
		e.mu.Lock()
		load := fmt.Sprintf("%d,0,%d", e.running, e.slots)
		e.mu.Unlock()
		return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nEngine-Load: " + load + "\r\n" + extra
	}
	if req.URL.Path == "/healthz" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nInstance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != e.id {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, head("421 Misdirected Request", "Instance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n"))
		return true
	}
	odd := ""
	if e.odd != nil {
		odd = e.odd(req)
	}
	if odd == "early" {
		_, _ = io.WriteString(c, head("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		_, err := io.Copy(io.Discard, req.Body)
		if err == nil && strings.Count(e.id, "x") == 0 {
			rec.update(func() { rec.earlyKept++ })
		}
		return err == nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	e.mu.Lock()
	full := e.running >= e.slots
	if !full {
		e.running++
	}
	e.arrivals[id]++
	e.mu.Unlock()
	if full {
		_, _ = io.WriteString(c, head("503 Service Unavailable", "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
		return true
	}
	// gone is closed when the connection ends while this request is served.
	gone, peeked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(peeked)
		if _, err := r.Peek(1); err != nil {
			close(gone)
		}
	}()
	defer func() {
		if !again {
			c.Close()
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		<-peeked
	}()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	x := &run{id: id, engine: e.id, tenant: req.Header.Get("Tenant"), path: req.RequestURI, method: req.Method, bodyHash: hash(body),
		model: req.Header.Get("Model"), prefix: req.Header.Get("Prompt-Prefix"), lastEvent: req.Header.Get("Last-Event-Id"), at: time.Now(), stamp: fmt.Sprintf("%s.%s.%x", id, e.id, rand.Uint32())}
	rec.addRun(x)
	defer func() { rec.update(func() { x.ended = time.Now() }) }()
	if strings.HasPrefix(req.URL.Path, "/s") {
		return e.stream(c, x, head, odd, gone)
	}
	time.Sleep(e.work)
	e.awaitSilence()
	text := answerBody(id, e.id)
	stamp := "Engine-Stamp: " + x.stamp + "\r\n"
	whole := head("200 OK", stamp+"Content-Length: "+strconv.Itoa(len(text))+"\r\n\r\n") + text
	rec.update(func() { x.complete = true })
	switch odd {
	case "lost":
		return false
	case "lostreset":
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case "mute":
		<-gone
		return false
	case "cut":
		_, _ = io.WriteString(c, whole[:len(whole)-len(text)/2])
		return false
	case "cuthead":
		_, _ = io.WriteString(c, whole[:60+rand.IntN(60)])
		return false
	case "garbage":
		_, _ = io.WriteString(c, strings.Repeat("\x16\x03garbage\r\n", 1+rand.IntN(10)))
		return rand.IntN(2) == 0
	case "extra":
		_, _ = io.WriteString(c, whole+whole)
		return true
	case "extralate":
		_, _ = io.WriteString(c, whole)
		go func() { time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond); _, _ = io.WriteString(c, whole) }()
		return true
	case "extrabytes":
		_, _ = io.WriteString(c, whole+"\r\n\r\nxyz")
		return true
	case "unframed":
		_, _ = io.WriteString(c, head("200 OK", stamp+"Connection: close\r\n\r\n")+text)
		return false
	case "unframedslow":
		if _, err := io.WriteString(c, head("200 OK", stamp+"Connection: close\r\n\r\n")+text[:len(text)/2]); err != nil {
			return false
		}
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(c, text[len(text)/2:])
		return false
	case "unframedcut":
		_, _ = io.WriteString(c, head("200 OK", stamp+"Connection: close\r\n\r\n")+text[:len(text)/2])
		time.Sleep(5 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case "500":
		_, _ = io.WriteString(c, head("500 Internal Server Error", stamp+"Content-Length: 3\r\n\r\n")+"err")
		return true
	}
	_, err = io.WriteString(c, whole)
	return err == nil
}

func answerBody(id, engine string) string { return strings.Repeat(id+" by "+engine+"\n", 25) }

func event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, id, i) }

func (e *engine) stream(c net.Conn, x *run, head func(string, string) string, odd string, gone chan struct{}) bool {
	time.Sleep(4 * e.work)
	e.awaitSilence()
	if e.poison != nil && e.poison(x) {
		return false
	}
	from, _ := strconv.Atoi(x.lastEvent)
	confidence := "Confidence: " + strconv.Itoa(20+rand.IntN(80)) + "\r\n"
	chunked := !strings.HasPrefix(odd, "unframed")
	framing := "Transfer-Encoding: chunked\r\n\r\n"
	if !chunked {
		framing = "Connection: close\r\n\r\n"
	}
	if _, err := io.WriteString(c, head("200 OK", "Engine-Stamp: "+x.stamp+"\r\nContent-Type: text/event-stream\r\n"+confidence+framing)); err != nil {
		return false
	}
	send := func(s string) bool {
		if chunked {
			s = fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
		}
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		_, err := io.WriteString(c, s)
		return err == nil
	}
	cutAt := 0
	if odd == "cut" || odd == "lost" || odd == "lostreset" || odd == "unframedcut" {
		cutAt = from + 1 + rand.IntN(max(e.events-from, 1))
	}
	for i := from + 1; i <= e.events; i++ {
		select {
		case <-gone:
			return false
		default:
		}
		e.awaitSilence()
		ev := event(x.id, i)
		if i == cutAt {
			send(ev[:len(ev)/2])
			if odd != "cut" {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		}
		if odd == "endless" && i == from+3 {
			for send(strings.Repeat("z", 16<<10)) {
			}
			return false
		}
		if !send(ev) {
			return false
		}
		time.Sleep(e.eventEvery)
	}
	rec.update(func() { x.complete = true })
	if chunked {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	return false
}

// row returns the row in which the engine registers itself.
func (e *engine) row() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	b, _ := json.Marshal(map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": e.state, "coldRemainingMs": 0, "seq": e.seq, "born": e.born, "stage": "both", "models": []any{}})
	return string(b)
}
