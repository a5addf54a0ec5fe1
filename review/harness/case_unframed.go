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
// it drains, and is gone two seconds later, with streams under way.
func caseCutUnframed(d *deployment) {
	d.store.put("op", "config", configuration(3, "smiths-key"))
	d.startDaemon("edge-sapporo-1", "sapporo")
	d.startDaemon("edge-asahikawa-1", "asahikawa")
	writer := d.startEngine("i-writer-1", "writers", "sapporo", "events=40,gap=100,unframed")
	d.awaitReady()
	time.Sleep(time.Second)

	var wait sync.WaitGroup
	results := make(map[string]answer)
	var mu sync.Mutex
	send := func(name string, n *daemon) {
		wait.Go(func() {
			a := request(n.front, http.MethodPost, "/draft/a", "{}", 15*time.Second, bearer("smiths-key"))
			mu.Lock()
			defer mu.Unlock()
			results[name] = a
			d.record("%s: %s", name, a)
		})
	}
	// A stream takes 4 s.
	for i, n := range d.daemons {
		send(fmt.Sprintf("stream %d", i+1), n)
	}
	time.Sleep(300 * time.Millisecond)
	// Another engine takes the service over. It starts before the first one drains.
	d.startEngine("i-writer-2", "writers", "asahikawa", "events=40,gap=100")
	_ = writer.cmd.Process.Signal(syscall.SIGUSR1)
	d.register(writer, "draining")
	if d.trouble {
		time.Sleep(2 * time.Second)
		_ = writer.cmd.Process.Kill()
		d.store.remove("servers", writer.id)
		d.record("engine %s is gone", writer.id)
	}
	wait.Wait()
	broken := 0
	for name, a := range results {
		whole := strings.Contains(a.body, "piece 40 of 40") && strings.Count(a.body, "data: ") == 40
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
