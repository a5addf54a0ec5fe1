package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseCutUnframed has an engine whose answers have neither a length nor chunks. It reports that
// it drains, and is gone two seconds later, with a stream and a plain request under way.
func caseCutUnframed(d *deployment) {
	d.store.put("op", "config", configuration(3, "smiths-key"))
	d.startDaemon("edge-sapporo-1", "sapporo")
	d.startDaemon("edge-asahikawa-1", "asahikawa")
	writer := d.startEngine("i-writer-1", "writers", "sapporo", "events=40,gap=100,unframed")
	app := d.startEngine("i-app-1", "desk", "sapporo", "work=20,gap=900,unframed")
	d.awaitReady()
	time.Sleep(time.Second)

	var wait sync.WaitGroup
	results := make(map[string]answer)
	var mu sync.Mutex
	send := func(name, method, path string, after time.Duration, n *daemon) {
		wait.Go(func() {
			time.Sleep(after)
			body := ""
			if method == http.MethodPost {
				body = "{}"
			}
			a := request(n.front, method, path, body, 15*time.Second, bearer("smiths-key"))
			mu.Lock()
			defer mu.Unlock()
			results[name] = a
			d.record("%s: %s", name, a)
		})
	}
	// The stream takes 4 s. The plain request takes 0.9 s and is sent within the drain time.
	for i, n := range d.daemons {
		send(fmt.Sprintf("stream %d", i+1), http.MethodPost, "/draft/a", 0, n)
		send(fmt.Sprintf("read %d", i+1), http.MethodGet, "/read/a", 1600*time.Millisecond, n)
	}
	time.Sleep(300 * time.Millisecond)
	// Other engines take the service over. They started before the old ones drain.
	d.startEngine("i-writer-2", "writers", "asahikawa", "events=40,gap=100")
	d.startEngine("i-app-2", "desk", "asahikawa", "work=20")
	for _, e := range []*engine{writer, app} {
		_ = e.cmd.Process.Signal(syscall.SIGUSR1)
		d.register(e, "draining")
	}
	if d.trouble {
		time.Sleep(2 * time.Second)
		for _, e := range []*engine{writer, app} {
			_ = e.cmd.Process.Kill()
			d.store.remove("servers", e.id)
			d.record("engine %s is gone", e.id)
		}
	}
	wait.Wait()
	broken := 0
	for name, a := range results {
		whole := a.body == plainAnswer(a.id)
		if strings.HasPrefix(name, "stream") {
			whole = strings.Contains(a.body, "piece 40 of 40") && strings.Count(a.body, "data: ") == 40
		}
		d.record("%s: status %d, framing complete %v, all pieces %v", name, a.status, a.complete, whole)
		if a.status == http.StatusOK && a.complete && !whole {
			d.record("%s: MIXED, the client takes a part of the answer for the whole", name)
			broken++
		}
		if !d.trouble && (a.status != http.StatusOK || !whole) {
			d.finish(2, "%s isn't served without trouble", name)
		}
	}
	if broken > 0 {
		d.finish(1, "MIXED is broken: %d answers that ended early look complete", broken)
	}
	d.finish(0, "no answer that ended early looks complete")
}
