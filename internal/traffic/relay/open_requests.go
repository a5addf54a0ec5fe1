package relay

import "sync"

// openRequests are the requests that are being served. Safe for concurrent use.
type openRequests struct {
	mu       sync.Mutex
	requests map[*Request]struct{}
}

func (o *openRequests) add(req *Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests == nil {
		o.requests = make(map[*Request]struct{})
	}
	o.requests[req] = struct{}{}
}

func (o *openRequests) remove(req *Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.requests, req)
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requests)
}

// LogOpen logs the requests that are being served. They are lost when the daemon exits.
func (r *Relay) LogOpen() {
	r.open.mu.Lock()
	defer r.open.mu.Unlock()
	for req := range r.open.requests {
		r.Log.Warn("request interrupted by the exit", "request", req.ID, "after_ms", int64(r.Clock.Now()-req.ReceivedAt))
	}
}
