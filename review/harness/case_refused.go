package main

import (
	"net/http"
	"time"
)

// caseRefused429 has an engine of the app that runs requests and answers some of them with status
// 429, without the header that says that they haven't run.
func caseRefused429(d *deployment) {
	d.store.put("op", "config", configuration(3, "smiths-key"))
	d.startDaemon("edge-sapporo-1", "sapporo")
	behaviour := "work=20"
	if d.trouble {
		behaviour += ",status=429"
	}
	d.startEngine("i-app-1", "desk", "sapporo", behaviour)
	d.awaitReady()
	time.Sleep(time.Second)
	broken := 0
	for range 5 {
		a := request(d.daemons[0].front, http.MethodPost, "/post/a", `{"amount":1}`, 3*time.Second, bearer("smiths-key"))
		runs := d.runs(a.id)
		d.record("%s, run %d times", a, runs)
		if (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421) && runs > 0 {
			broken++
			again := request(d.daemons[0].front, http.MethodPost, "/post/a", `{"amount":1}`, 3*time.Second, bearer("smiths-key"))
			d.record("the client takes it that the order has not run and sends it again: %s, run %d times", again, d.runs(again.id))
		}
		if !d.trouble && a.status != http.StatusOK {
			d.finish(2, "requests aren't served without trouble")
		}
	}
	if broken > 0 {
		d.finish(1, "REFUSED is broken: %d unsafe requests were answered as not run, and have run", broken)
	}
	d.finish(0, "no request that has run was answered as not run")
}
