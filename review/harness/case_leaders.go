package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseLeaders freezes two of four daemons of a zone and takes a key away at that moment. It checks
// when the two others stop to serve the key.
func caseLeaders(d *deployment) {
	const applyTime = 2 * time.Second
	d.store.put("op", "config", configuration(3, "smiths-key", "old-key"))
	zones := map[string][]string{
		"sapporo":   {"edge-sapporo-1", "edge-sapporo-2", "edge-sapporo-3", "edge-sapporo-4"},
		"asahikawa": {"edge-asahikawa-1", "edge-asahikawa-2"}, "obihiro": {"edge-obihiro-1", "edge-obihiro-2"},
	}
	daemons := make(map[string]*daemon)
	for _, zone := range []string{"sapporo", "asahikawa", "obihiro"} {
		for _, name := range zones[zone] {
			daemons[name] = d.startDaemon(name, zone)
		}
	}
	for _, zone := range []string{"sapporo", "asahikawa", "obihiro"} {
		d.startEngine("i-app-"+zone, "desk", zone, "work=10")
	}
	d.awaitReady()
	time.Sleep(8 * time.Second) // all daemons have been in touch for longer than stableWindowMs

	frozen := []*daemon{daemons["edge-sapporo-4"], daemons["edge-sapporo-2"]}
	calm := []*daemon{daemons["edge-sapporo-1"], daemons["edge-sapporo-3"], daemons["edge-asahikawa-1"], daemons["edge-obihiro-1"]}
	if d.trouble {
		for _, n := range frozen {
			_ = n.cmd.Process.Signal(syscall.SIGSTOP)
			d.record("daemon %s freezes", n.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	ackedAt := d.store.put("op", "config", configuration(7, "smiths-key"))
	d.record("version 7 without old-key acknowledged")
	var wait sync.WaitGroup
	var mu sync.Mutex
	late := make(map[string]int)
	for _, n := range calm {
		wait.Go(func() {
			for time.Since(ackedAt) < 4*time.Second {
				a := request(n.front, http.MethodGet, "/read/a", "", time.Second, bearer("old-key"))
				since := a.sentAt.Sub(ackedAt)
				if a.status == http.StatusOK && since > applyTime {
					mu.Lock()
					late[n.name]++
					mu.Unlock()
					d.record("%s, sent %d ms after the acknowledgement: %s", n.name, since.Milliseconds(), a)
				}
				if a.status != http.StatusOK && a.status != http.StatusUnauthorized {
					d.record("%s: %s", n.name, a)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	for _, n := range frozen {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
	}
	total := 0
	for name, n := range late {
		d.record("%s: CONFIG, %d requests with the revoked key ran that were sent later than %d ms after the acknowledgement", name, n, applyTime.Milliseconds())
		total += n
	}
	if total > 0 {
		d.finish(1, "CONFIG is broken: %d requests ran with a dropped key", total)
	}
	d.finish(0, "no request ran with the dropped key")
}
