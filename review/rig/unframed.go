//go:build review

package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	// Answers without length end with their connections. One of four engines crashes while a daemon
	// stands still, and is back at its address before the daemon wakes.
	scenarios["unframed"] = func(trouble bool) ([]string, []string) {
		w := newWorld(2, 4, 2)
		defer w.end()
		for _, e := range w.engines {
			e.odd = func(*http.Request) string { return "unframed" }
			e.events, e.eventEvery = 60, 50*time.Millisecond
		}
		if !w.startDaemons() {
			panic("not ready")
		}
		time.Sleep(time.Second)
		d := w.daemons[0]
		var group sync.WaitGroup
		for round := range 3 {
			for range 16 {
				group.Go(func() {
					c := &client{key: "key-a", tenant: "smiths"}
					defer c.close()
					c.do(func() *daemon { return d }, spec{kind: "stream", method: "POST", path: "/s/", host: w.host, model: "*", deadline: 20 * time.Second})
				})
			}
			time.Sleep(900 * time.Millisecond)
			if trouble {
				w.mu.Lock()
				e := w.engines[round]
				w.engines = append(w.engines[:round:round], w.engines[round+1:]...)
				w.mu.Unlock()
				rec.note("%s stands still", d.name)
				d.signal(syscall.SIGSTOP)
				time.Sleep(200 * time.Millisecond)
				rec.note("%s crashes", e.id)
				e.crash(false)
				time.Sleep(1500 * time.Millisecond)
				f := newEngine(e.id, e.service, e.zone, e.version, e.address, e.slots)
				f.odd, f.events, f.eventEvery = e.odd, e.events, e.eventEvery
				rec.note("%s is back at its address", f.id)
				time.Sleep(300 * time.Millisecond)
				d.signal(syscall.SIGCONT)
				rec.note("%s goes on", d.name)
				time.Sleep(700 * time.Millisecond)
				w.mu.Lock()
				w.engines = append(w.engines[:round:round], append([]*engine{f}, w.engines[round:]...)...)
				w.mu.Unlock()
				w.store.Put("servers", f.id, f.row())
				rec.note("%s has registered", f.id)
			}
			group.Wait()
			time.Sleep(4 * time.Second)
		}
		return rec.check(60), counts()
	}
}
