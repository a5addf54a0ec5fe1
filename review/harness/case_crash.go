package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// caseLateCrash has a request that crashes each engine of the app that runs it, some time after
// the daemon has given the attempt up. It comes again at any daemon, with the same path and caller.
// The engines are back after two seconds. The rest of the traffic is sound and light.
func caseLateCrash(d *deployment) {
	const (
		crashAfter   = 700 // ms after the engine has begun to run the request
		backAfter    = 2 * time.Second
		entryTimeout = 3600 * time.Millisecond // three heartbeat intervals
		calm         = 3 * time.Second         // stableWindowMs
		length       = 65 * time.Second
		allowed      = 3
	)
	d.store.put("op", "config", configuration(3, "smiths-key", "asker-key"))
	for _, zone := range []string{"sapporo", "sapporo", "sapporo", "asahikawa", "asahikawa", "obihiro", "obihiro"} {
		d.startDaemon(fmt.Sprintf("edge-%s-%d", zone, len(d.daemons)+1), zone)
	}
	var mu sync.Mutex
	var keep func(address, zone string, number int)
	keep = func(address, zone string, number int) {
		e := d.startEngineAt(address, fmt.Sprintf("i-app-%s-%d", zone, number), "desk", zone, fmt.Sprintf("work=15,crash=%d", crashAfter))
		go func() {
			_, _ = e.cmd.Process.Wait()
			d.record("engine %s has crashed", e.id)
			time.AfterFunc(entryTimeout, func() { d.store.remove("servers", e.id) })
			time.Sleep(backAfter)
			keep(address, zone, number+1)
		}()
	}
	for _, zone := range []string{"sapporo", "asahikawa", "obihiro"} {
		keep(freeAddress(d.nextIP()), zone, 1)
	}
	d.awaitReady()
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	sound, served := 0, 0
	// Sound traffic as on the sheet: some 15 requests a second.
	for range 3 {
		wait.Go(func() {
			for time.Now().Before(end) {
				n := d.daemons[rand.IntN(len(d.daemons))]
				a := request(n.front, http.MethodGet, fmt.Sprintf("/read/%d", rand.IntN(1000)), "", 800*time.Millisecond, bearer("smiths-key"))
				mu.Lock()
				sound++
				if a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(150*time.Millisecond + time.Duration(rand.IntN(100))*time.Millisecond)
			}
		})
	}
	time.Sleep(14 * time.Second) // longer than budgetWindowS
	sentAt := make(map[string]time.Time)
	if d.trouble {
		for time.Now().Add(2 * time.Second).Before(end) {
			n := d.daemons[rand.IntN(len(d.daemons))]
			a := request(n.front, http.MethodGet, "/read/poison", "", 800*time.Millisecond, bearer("asker-key"))
			sentAt[a.id] = a.sentAt
			d.record("poison at %s: %s", n.name, a)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	wait.Wait()
	time.Sleep(time.Second)
	d.record("%d of %d sound requests were served", served, sound)
	if !d.trouble && served*100 < sound*99 {
		d.finish(2, "sound requests aren't served without trouble")
	}
	d.mu.Lock()
	reports := append([]engineReport{}, d.reports...)
	d.mu.Unlock()
	crashes, late := 0, 0
	var third time.Time
	for _, r := range reports {
		if r.What == "crash" {
			if crashes++; crashes == 3 {
				third = time.UnixMilli(r.At)
			}
		}
	}
	for _, r := range reports {
		if sent, poison := sentAt[r.ID]; poison && r.What == "run" && crashes >= 3 && sent.After(third.Add(calm)) {
			late++
		}
	}
	if late > allowed {
		d.finish(1, "BUDGET is broken: the request reached engines %d times later than %v after its third crash, %d allowed; %d crashes; %d of %d sound requests served", late, calm, allowed, crashes, served, sound)
	}
	d.finish(0, "the request reached engines %d times later than %v after its third crash; %d crashes; %d of %d sound requests served", late, calm, crashes, served, sound)
}
