package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shortEvents      = 12
	shortEventPause  = 20 * time.Millisecond
	spoilingEngines  = 5 // of engineCount
	spoiledPerMille  = 50
	spoilTime        = 5 * time.Second
	spoilPeriods     = 3
	spoilCalmTime    = 3 * time.Second
	spoilClientPause = 50 * time.Millisecond
)

// errorInFirstEvents is a case in which engines break off streams after their first event, and write
// the head of an error behind it.
type errorInFirstEvents struct {
	*runs
	d        *deployment
	spoiling atomic.Bool
	// empty makes spoiled answers end in order before their first event. All answers are chunked then.
	empty bool

	mu              sync.Mutex
	streams, broken int
}

// playErrorInFirstEvents plays the case. Without trouble, no answer is spoiled.
func playErrorInFirstEvents(r *record, trouble bool) (broken bool, err error) {
	return playSpoiled(r, trouble, false)
}

// playEmptyStream is playErrorInFirstEvents with engines that end streams before their first event.
func playEmptyStream(r *record, trouble bool) (broken bool, err error) {
	return playSpoiled(r, trouble, true)
}

func playSpoiled(r *record, trouble, empty bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	c := &errorInFirstEvents{runs: &runs{record: r}, d: d, empty: empty}
	d.configure()
	for i := range engineCount {
		if err := d.addEngine(fmt.Sprintf("i-%d", i+1), "pitch", zones[i%len(zones)], 64, c.serve); err != nil {
			return false, err
		}
	}
	if err := d.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range streamClients {
		clients.Go(func() { c.runClient(ctx, i) })
	}
	for range spoilPeriods {
		time.Sleep(spoilCalmTime)
		r.note("the engines i-1 to i-%d may spoil answers: %v", spoilingEngines, trouble)
		c.spoiling.Store(trouble)
		time.Sleep(spoilTime)
		c.spoiling.Store(false)
		r.note("no more answers are spoiled")
	}
	time.Sleep(spoilCalmTime)
	stop()
	clients.Wait()
	r.show("%d streams, %d of them passed on as complete without all of their events", c.streams, c.broken)
	return c.broken > 0, nil
}

// spoils reports whether the engine spoils its answer to the request.
func (c *errorInFirstEvents) spoils(e *engine, id string) bool {
	number, _ := strconv.Atoi(strings.TrimPrefix(e.id, "i-"))
	if number > spoilingEngines || !c.spoiling.Load() {
		return false
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, e.id+id)
	return h.Sum32()%1000 < spoiledPerMille
}

// serve is what an engine does with a stream. Its answers have neither a length nor chunks.
func (c *errorInFirstEvents) serve(e *engine, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	_, _ = io.Copy(io.Discard, q.Body)
	run := c.begin(e.id, id, fmt.Sprintf(" after event %d", last))
	if !sleep(q.Context(), shortEventPause) {
		c.end(run, "its connection closed")
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "Request-Id: " + id + "\r\nEngine-Stamp: " + e.stamp(id) + "\r\nContent-Type: text/event-stream\r\n\r\n"
	if c.empty {
		c.serveChunked(e, conn, head, id, last)
		c.end(run, "it is over")
		return
	}
	if c.spoils(e, id) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+event(id, last+1)+
			"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
		c.end(run, "it has failed after its first event, and has written the head of an error behind it")
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head)
	for n := last + 1; n <= shortEvents; n++ {
		if _, err := io.WriteString(conn, event(id, n)); err != nil {
			c.end(run, "its connection closed")
			return
		}
		time.Sleep(shortEventPause)
	}
	c.end(run, "it is complete")
}

// serveChunked writes a stream in chunks. One that is spoiled ends in order without an event.
func (c *errorInFirstEvents) serveChunked(e *engine, conn net.Conn, head, id string, last int) {
	if c.spoils(e, id) {
		last = shortEvents
		c.record.note("%s fails before its first event of %s, and ends the answer in order", e.id, id)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n"+head)
	for n := last + 1; n <= shortEvents; n++ {
		text := event(id, n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		time.Sleep(shortEventPause)
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// runClient sends one stream after the other.
func (c *errorInFirstEvents) runClient(ctx context.Context, client int) {
	n := c.d.daemons[client%len(c.d.daemons)]
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("9c41d07b%04x%04x", client, i)
		got := c.d.send(n, request{
			id: id, method: http.MethodPost, path: "/draft/1", body: "a gate", deadline: 25 * time.Second,
			prompt: fmt.Sprintf("5c1e07a2:512,%08x:388", client<<16+i),
		})
		c.check(n, id, got)
		time.Sleep(spoilClientPause)
	}
}

// check notes a stream that the client takes for complete though it isn't.
func (c *errorInFirstEvents) check(n *daemon, id string, got answer) {
	complete := got.err == nil && got.status == http.StatusOK
	whole := got.body == events(id, 1, shortEvents)
	c.record.note("client got %d from %s for %s, as complete: %v, whole: %v", got.status, n.name, id, complete, whole)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams++
	if complete && !whole {
		c.broken++
		c.record.show("ORDER: %s ended as complete with %q", id, got.body)
	}
}
