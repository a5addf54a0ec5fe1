package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	foreignID       = "x-1"
	appEngines      = 3 // as on kitami-commons
	appSlots        = 6
	appTime         = 15 * time.Millisecond
	payClients      = 12
	payPause        = 100 * time.Millisecond
	foreignTime     = 12 * time.Second // for which the entry is there
	foreignCalmTime = 4 * time.Second
)

// playForeignEntry has another writer leave an entry without some fields among those of the engines
// of an app. The server at its address is sound, but no engine of the deployment. Without trouble,
// there is no such entry.
func playForeignEntry(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	c := &foreignEntry{runs: &runs{record: r}, d: d}
	d.configure()
	for i := range appEngines {
		if err := d.addEngine(fmt.Sprintf("i-%d", i+1), "desk", zones[i], appSlots, c.serve); err != nil {
			return false, err
		}
	}
	foreign := &engine{id: foreignID, service: "desk", zone: zones[0], slots: appSlots, store: d.store, serve: c.serve, silent: true}
	d.engines = append(d.engines, foreign)
	if err := foreign.start(""); err != nil {
		return false, err
	}
	if err := d.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range payClients {
		clients.Go(func() { c.runClient(ctx, i) })
	}
	time.Sleep(foreignCalmTime)
	if trouble {
		entry := map[string]any{"service": "desk", "address": foreign.address, "zone": zones[0], "state": "ready"}
		r.note("another writer writes servers/%s: %v", foreignID, entry)
		d.store.put("servers", foreignID, entry)
	}
	time.Sleep(foreignTime)
	stop()
	clients.Wait()
	return c.check(), nil
}

// foreignEntry is a case in which an entry of another writer names a server.
type foreignEntry struct {
	*runs
	d *deployment
}

// serve is what an engine of the app does with a request.
func (c *foreignEntry) serve(e *engine, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	body, _ := io.ReadAll(q.Body)
	run := c.begin(e.id, id, fmt.Sprintf(": %s %s, %d bytes, Tenant %s", q.Method, q.URL.Path, len(body), q.Header.Get("Tenant")))
	time.Sleep(appTime)
	w.Header().Set("Engine-Stamp", e.stamp(id))
	_, _ = io.WriteString(w, "recorded "+id)
	c.end(run, "it is complete")
}

// runClient sends one payment after the other.
func (c *foreignEntry) runClient(ctx context.Context, client int) {
	n := c.d.daemons[client%len(c.d.daemons)]
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("9c41d07b%04x%04x", client, i)
		got := c.d.send(n, request{id: id, method: http.MethodPost, path: "/pay/deposit", body: "deposit " + id, deadline: 1500 * time.Millisecond})
		c.record.note("client got %d from %s for %s, signature %q: %s", got.status, n.name, id, got.header.Get("Engine-Stamp"), got.body)
		time.Sleep(payPause)
	}
}

// check reports whether requests ran on the server that is no engine of the deployment.
func (c *foreignEntry) check() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	foreign := 0
	for _, r := range c.all {
		if r.engine == foreignID {
			foreign++
		}
	}
	c.record.show("%d of %d runs of unsafe requests were on a server that no entry of an engine names", foreign, len(c.all))
	return foreign > 0
}
