package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseSettingsStop changes graceS in the settings file, with SIGHUP, and stops the daemon later as
// the platform does: SIGTERM, and SIGKILL after the new graceS.
func caseSettingsStop(d *deployment) {
	grace := 8 * time.Second
	d.store.put("op", "config", configuration(3, "smiths-key"))
	n := d.startDaemon("edge-sapporo-1", "sapporo")
	d.startEngine("i-app-1", "desk", "sapporo", "work=60")
	d.awaitReady()
	time.Sleep(4 * time.Second)
	if d.trouble {
		grace = 4 * time.Second
		changed := bounds()
		changed["graceS"] = 4
		d.writeSettings(n, changed)
		_ = n.cmd.Process.Signal(syscall.SIGHUP)
		d.record("graceS is 4 in the settings, SIGHUP")
	}
	time.Sleep(5 * time.Second)

	var wait sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	stopAt := time.Now()
	for range 12 {
		c, err := connect(n.front)
		check(err)
		wait.Go(func() {
			defer func() { _ = c.Close() }()
			for {
				a := c.send(http.MethodPost, "/post/a", "{}", 3*time.Second, bearer("smiths-key"))
				since := a.sentAt.Sub(stopAt)
				if a.status == 0 && d.runs(a.id) > 0 {
					mu.Lock()
					lost++
					mu.Unlock()
					d.record("LOST, sent %d ms after SIGTERM: %s; run %d times", since.Milliseconds(), a, d.runs(a.id))
				}
				if a.status == 0 || a.header.Get("Connection") == "close" {
					d.record("last request on a connection, sent %d ms after SIGTERM: %s", since.Milliseconds(), a)
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopAt = time.Now()
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	d.record("SIGTERM")
	time.AfterFunc(grace, func() { _ = n.cmd.Process.Kill() })
	wait.Wait()
	if lost > 0 {
		d.finish(1, "LOST is broken: %d requests", lost)
	}
	d.finish(0, "no request is lost")
}
