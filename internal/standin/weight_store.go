package standin

import (
	"net/http"
	"sync"
	"time"
)

// WeightStore gives out weights at a limited rate: each load takes its turn.
type WeightStore struct {
	faults *FaultInjector
	turn   time.Duration
	mu     sync.Mutex
	free   time.Time
}

// NewWeightStore returns a store in which one load takes that long.
func NewWeightStore(faults *FaultInjector, turn time.Duration) *WeightStore {
	return &WeightStore{faults: faults, turn: turn}
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

func (s *WeightStore) reserve() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(s.turn)
	return s.free
}
