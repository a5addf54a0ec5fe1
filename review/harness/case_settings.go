package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseSettingsStop lowers graceS in the settings file, with SIGHUP, and later stops the daemon as
// the platform does: SIGTERM, and SIGKILL after the new graceS. Clients send unsafe requests on
// connections that they have kept since before SIGTERM.
func caseSettingsStop(d *deployment) {
	grace := 8 * time.Second
	d.store.put("op", "config", configuration(3, "smiths-key"))
	n := d.startDaemon("edge-sapporo-1", "sapporo")
	d.startEngine("i-writer-1", "writers", "sapporo", "events=110,gap=100")
	d.startEngine("i-app-1", "desk", "sapporo", "work=60")
	d.awaitReady()
	time.Sleep(4 * time.Second)
	if d.trouble {
		grace = 4 * time.Second
		changed := bounds()
		changed["graceS"] = 4
		d.writeSettings(n, changed)
		_ = n.cmd.Process.Signal(syscall.SIGHUP)
		d.record("graceS is 4 in the settings file; SIGHUP")
	}
	time.Sleep(5 * time.Second)

	const clients = 40
	var wait sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	stopAt := time.Now().Add(2 * time.Second)
	// A stream that takes longer than graceS keeps the daemon up until it is stopped.
	wait.Go(func() {
		a := request(n.front, http.MethodPost, "/draft/a", "{}", 15*time.Second, bearer("smiths-key"))
		d.record("stream, sent %d ms after SIGTERM: %s", a.sentAt.Sub(stopAt).Milliseconds(), a)
	})
	for i := range clients {
		c, err := connect(n.front)
		check(err)
		wait.Go(func() {
			defer func() { _ = c.Close() }()
			if a := c.send(http.MethodPost, "/post/a", "{}", 3*time.Second, bearer("smiths-key")); a.status != http.StatusOK {
				d.record("before SIGTERM: %s", a)
			}
			// The first request is sent 500 ms before the end of graceS.
			time.Sleep(time.Until(stopAt.Add(grace - 500*time.Millisecond + time.Duration(i)*15*time.Millisecond)))
			a := c.send(http.MethodPost, "/post/a", "{}", 3*time.Second, bearer("smiths-key"))
			time.Sleep(100 * time.Millisecond) // for the engine's report
			runs := d.runs(a.id)
			d.record("sent %d ms after SIGTERM: %s; run %d times", a.sentAt.Sub(stopAt).Milliseconds(), a, runs)
			if a.status == 0 && runs > 0 {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	d.record("SIGTERM")
	time.Sleep(time.Until(stopAt.Add(grace)))
	_ = n.cmd.Process.Kill()
	d.record("SIGKILL, graceS after SIGTERM")
	wait.Wait()
	if lost > 0 {
		d.finish(1, "LOST is broken: %d unsafe requests ran and their connections ended without an answer", lost)
	}
	d.finish(0, "no request is lost")
}
