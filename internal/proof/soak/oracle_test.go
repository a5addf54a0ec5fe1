package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second // in which a server that leaves must get no more work
	calmTime  = 3 * time.Second // after a disturbance, until the bounds hold again
)

// run is a request that began to run at an engine.
type run struct {
	engine *engine
	at     time.Time
}

// sent is what a caller knows of a request.
type sent struct {
	id     string
	kind   kind
	daemon *daemon
	began  time.Time
	ended  time.Time
	status int // 0 without an answer
	broken bool
}

// span is a disturbance of one daemon, or of all where none is named.
type span struct {
	daemon *daemon
	what   string
	from   time.Time
	to     time.Time // zero while it lasts
}

// oracle checks the promises by what callers and engines see.
type oracle struct {
	mu       sync.Mutex
	runs     map[string][]run
	requests map[string]*sent
	spans    []*span
	faults   []string
	served   int
}

func newOracle() *oracle {
	return &oracle{runs: make(map[string][]run), requests: make(map[string]*sent)}
}

func (o *oracle) fault(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// disturb notes that a disturbance begins; the function that it returns ends it.
func (o *oracle) disturb(d *daemon, what string) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &span{daemon: d, what: what, from: time.Now()}
	o.spans = append(o.spans, s)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		s.to = time.Now()
	}
}

// calm tells whether nothing disturbed the daemon from calmTime before the instant.
// The lock must be held.
func (o *oracle) calm(d *daemon, from, to time.Time, but string) bool {
	for _, s := range o.spans {
		if (s.daemon == nil || s.daemon == d) && s.what != but && s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-calmTime))) {
			return false
		}
	}
	return true
}

// ran takes in that a request began to run.
func (o *oracle) ran(e *engine, r *http.Request) {
	id := r.Header.Get("Request-Id")
	o.mu.Lock()
	o.runs[id] = append(o.runs[id], run{e, time.Now()})
	o.mu.Unlock()
	if !strings.HasSuffix(r.URL.Path, id) {
		o.fault("%s ran with the path %s", id, r.URL.Path)
	}
	if r.Header.Get("Tenant") != "smiths" || r.Header.Get("Authorization") != "" {
		o.fault("%s ran for %q with key %q", id, r.Header.Get("Tenant"), r.Header.Get("Authorization"))
	}
}

// begin takes in that a caller sends a request.
func (o *oracle) begin(id string, k kind, d *daemon) *sent {
	s := &sent{id: id, kind: k, daemon: d, began: time.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id] = s
	return s
}

// whole checks a success: its stamp, its body, and for streams that every event is
// there once.
func (o *oracle) whole(s *sent, h http.Header, body string) {
	o.mu.Lock()
	o.served++
	runs := o.runs[s.id]
	o.mu.Unlock()
	want := bodyOf(s.id)
	if s.kind.streams() {
		var b strings.Builder
		for i := 1; i <= streamEvents; i++ {
			b.WriteString(eventOf(s.id, i))
		}
		want = b.String()
	}
	if body != want {
		o.fault("%s got another body: %q", s.id, body)
	}
	for _, r := range runs {
		if h.Get("Engine-Stamp") == stamp(s.id, r.engine.id) {
			return
		}
	}
	o.fault("%s got the stamp %q of none of its runs", s.id, h.Get("Engine-Stamp"))
}

// check returns the promises that don't hold over the whole run.
func (o *oracle) check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	faults := o.faults
	for id, s := range o.requests {
		runs := o.runs[id]
		if s.kind.once() {
			if len(runs) > 1 {
				faults = append(faults, fmt.Sprintf("%s, a %s, ran %d times", id, s.kind, len(runs)))
			}
			if (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests) && len(runs) > 0 {
				faults = append(faults, fmt.Sprintf("%s, a %s, was refused as not run by %s and ran at %s", id, s.kind, s.daemon.name, runs[0].engine.id))
			}
		}
		if s.status >= 400 && s.status < 500 && s.status != http.StatusTooManyRequests {
			faults = append(faults, fmt.Sprintf("%s was refused by %s with %d", id, s.daemon.name, s.status))
		}
		if s.broken && o.calm(s.daemon, s.began, s.ended, "stop") {
			faults = append(faults, fmt.Sprintf("%s was broken off by %s though nothing but a planned stop happened", id, s.daemon.name))
		}
		faults = append(faults, o.checkLeft(s, runs)...)
	}
	for id := range o.runs {
		if o.requests[id] == nil {
			faults = append(faults, id+" ran and nobody sent it")
		}
	}
	return faults
}

// checkLeft tells of runs at engines that had left long enough before the request
// was sent. The lock must be held.
func (o *oracle) checkLeft(s *sent, runs []run) (faults []string) {
	for _, r := range runs {
		r.engine.mu.Lock()
		left := r.engine.left
		r.engine.mu.Unlock()
		if left.IsZero() || s.began.Sub(left) < drainTime || !o.calm(s.daemon, left, r.at, "") {
			continue
		}
		faults = append(faults, fmt.Sprintf("%s, sent by %s, ran at %s %v after that had left", s.id, s.daemon.name, r.engine.id, r.at.Sub(left)))
	}
	return faults
}
