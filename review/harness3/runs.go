package main

import (
	"sync"
	"time"
)

// run is the work of an engine on a request.
type run struct {
	request, engine string
	begun, ended    time.Time // ended is zero while the engine works
}

// runs are all runs of a case, in the order of their beginnings.
type runs struct {
	record *record
	mu     sync.Mutex
	all    []*run
}

// begin notes that the engine begins to work on the request.
func (l *runs) begin(engine, request, note string) *run {
	r := &run{request: request, engine: engine, begun: time.Now()}
	l.mu.Lock()
	l.all = append(l.all, r)
	l.mu.Unlock()
	l.record.note("%s begins to run %s%s", engine, request, note)
	return r
}

// end notes that the engine no longer works on the request.
func (l *runs) end(r *run, why string) {
	l.mu.Lock()
	r.ended = time.Now()
	l.mu.Unlock()
	l.record.note("%s no longer runs %s: %s", r.engine, r.request, why)
}

// of returns copies of the runs of the request.
func (l *runs) of(request string) (list []run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.all {
		if r.request == request {
			list = append(list, *r)
		}
	}
	return list
}
