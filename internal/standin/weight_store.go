package standin

import (
	"net/http"
	"sync"
	"time"
)

// WeightStore is a stand-in for the store of model weights that serves one load at a time.
type WeightStore struct {
	faults       *FaultInjector
	loadDuration time.Duration
	mu           sync.Mutex
	busyUntil    time.Time
}

// NewWeightStore returns a store in which a load takes loadDuration.
func NewWeightStore(faults *FaultInjector, loadDuration time.Duration) *WeightStore {
	return &WeightStore{faults: faults, loadDuration: loadDuration}
}

// Handler serves GET /v1/weights/{name}.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Until(s.reserve()))
		writeJSON(w, map[string]string{"weights": r.PathValue("name")})
	})
	return s.faults.Wrap(mux)
}

// reserve queues a load behind the earlier ones and returns when it completes.
func (s *WeightStore) reserve() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(s.loadDuration)
	return s.busyUntil
}
