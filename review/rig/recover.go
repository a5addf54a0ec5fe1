//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"gypsumpitch.example/gypsumpitch/platform/standin"
)

// drill takes the store away and brings it back from a copy of that age. What the operator and the
// servers wrote is written again after a while.
func (w *world) drill(away, age, again time.Duration) {
	w.mu.Lock() // no beats meanwhile
	defer w.mu.Unlock()
	w.store.set(func() { w.store.down = true })
	rec.note("the store is away")
	time.Sleep(away)
	v := w.store.VersionAt(time.Now().Add(-age))
	lost := w.store.Restore(v)
	w.store.dropConns()
	w.store.set(func() { w.store.down = false })
	rec.note("the store is back from a copy, %d writes are lost", len(lost))
	time.Sleep(again)
	var kept []standin.Row
	for _, r := range lost {
		if r.Table == "op" || r.Table == "servers" {
			kept = append(kept, r)
		}
	}
	w.store.WriteAgain(kept, v)
	rec.note("the operator and the servers have written again")
}

// dropConns closes the store's open connections.
func (s *storeServer) dropConns() {
	handler := s.http.Handler
	s.http.Close()
	l, err := listenAgain(s.address())
	must(err)
	s.listener = l
	s.http = &http.Server{Handler: handler}
	go func() { _ = s.http.Serve(l) }()
}

// watch calls on for each change of the state of the pool's roll-out in the store.
func (w *world) watch(pool string, stop chan struct{}, on func(state, target string)) {
	last := ""
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		v := w.store.Get("status", "rollout/"+pool)
		if v == last {
			continue
		}
		last = v
		var s struct{ State, Target string }
		_ = json.Unmarshal([]byte(v), &s)
		rec.note("status of the roll-out of %s: %s %s", pool, s.State, s.Target)
		on(s.State, s.Target)
	}
}

// obey does with the engines what the platform does at the states of a roll-out to the target.
func (w *world) obey(pool, target, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keep []*engine
	for _, e := range w.engines {
		switch {
		case e.service == pool && state == "completed" && e.version != target:
			rec.note("%s, of version %s, stops", e.id, e.version)
			e.crash(false)
			w.store.Put("servers", e.id, "")
			continue
		case e.service == pool && state == "rolled_back" && e.version == target:
			go func() {
				time.Sleep(2 * time.Second)
				rec.note("%s, of version %s, drains", e.id, e.version)
				e.mu.Lock()
				e.state = "draining"
				e.mu.Unlock()
				w.store.Put("servers", e.id, e.row())
				time.Sleep(3 * time.Second)
				e.crash(false)
				w.store.Put("servers", e.id, "")
			}()
		}
		keep = append(keep, e)
	}
	w.engines = keep
}

func init() {
	// A good version is rolled out. Right after its completion was acknowledged, all daemons are
	// killed, and the store comes back from a copy that is some seconds old.
	scenarios["recover"] = func(trouble bool) ([]string, []string) {
		const pool, recovery = "commission-desk", 12 * time.Second
		w := newWorld(5, 0, 4)
		defer w.end()
		for i, d := range w.daemons {
			d.zone = []string{"sapporo", "asahikawa"}[i%2]
			d.writeSettings()
		}
		if !w.startDaemons() {
			panic("not ready")
		}
		end, stop := make(chan struct{}), make(chan struct{})
		group := w.clients(24, end, func() spec {
			for {
				if p := w.usual(); p.kind == "safe" || p.kind == "unsafe" {
					return p
				}
			}
		}, 40*time.Millisecond)
		time.Sleep(2 * time.Second)
		completed := make(chan time.Time, 1)
		var once sync.Map
		go w.watch(pool, stop, func(state, target string) {
			if target != "v2" || (state != "completed" && state != "rolled_back") {
				return
			}
			if _, acted := once.LoadOrStore(state, true); acted {
				return
			}
			w.obey(pool, target, state)
			if state == "completed" {
				completed <- time.Now()
			}
		})
		w.store.Put("op", "rollout/"+pool, fmt.Sprintf(`{"service":%q,"target":"v2","durationS":14}`, pool))
		rec.note("the operator orders version v2")
		for i := range 4 {
			w.add(newEngine(fmt.Sprintf("i-new%d", i), pool, []string{"sapporo", "asahikawa"}[i%2], "v2", engineIP()+":0", 6))
		}
		var fault time.Time
		select {
		case fault = <-completed:
		case <-time.After(30 * time.Second):
			panic("the roll-out isn't completed")
		}
		time.Sleep(100 * time.Millisecond)
		if trouble {
			rec.note("all daemons are killed")
			for _, d := range w.daemons {
				d.signal(syscall.SIGKILL)
			}
			w.drill(300*time.Millisecond, 3500*time.Millisecond, 500*time.Millisecond)
			for _, d := range w.daemons {
				d.kill()
				d.start()
			}
		}
		if !awaitReady(w.daemons) {
			rec.note("some daemons aren't ready")
		}
		back := time.Now()
		rec.note("all daemons are back")
		time.Sleep(recovery + 10*time.Second)
		close(end)
		group.Wait()
		close(stop)
		broken := rec.check(30)
		var before, servedBefore, after, servedAfter int
		rec.update(func() {
			for _, s := range rec.sent {
				served := 0
				if s.status == 200 && s.complete {
					served = 1
				}
				switch {
				case s.at.Before(fault):
					before, servedBefore = before+1, servedBefore+served
				case s.at.After(back.Add(recovery)):
					after, servedAfter = after+1, servedAfter+served
				}
			}
		})
		if servedBefore*4 >= before && servedAfter*4 < after {
			broken = append(broken, fmt.Sprintf("RECOVER: %d of %d requests that were sent later than 12 s after the daemons were back are served", servedAfter, after))
		}
		notes := append([]string{fmt.Sprintf("served: %d of %d before the fault, %d of %d later than 12 s after it", servedBefore, before, servedAfter, after)}, counts()...)
		return broken, notes
	}
}
