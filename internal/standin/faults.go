// Package standin holds small fakes of the platform's services and of the back
// ends, for tests and the demo. Faults are switched by POST /faults.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the switches of a stand-in. Those that a role doesn't have do nothing.
type Faults struct {
	Down            bool  `json:"down"`             // refuse every call
	SlowMs          int64 `json:"slow_ms"`          // answer that much later
	LoseAnswers     int   `json:"lose_answers"`     // next writes take effect, then the connection is cut
	LagMs           int64 `json:"lag_ms"`           // reports and lists are that old
	CrossAnswers    int   `json:"cross_answers"`    // next answers carry another request's id
	CutStreams      int   `json:"cut_streams"`      // next streams end in the middle
	Cold            bool  `json:"cold"`             // turn cold once, without warning
	Leaving         bool  `json:"leaving"`          // refuse new work and say so
	BadPercent      int   `json:"bad_percent"`      // extra bad answers of an engine
	CutAfterRun     int   `json:"cut_after_run"`    // next calls run, then the connection is cut
	FencingIgnored  bool  `json:"fencing_ignored"`  // take orders with old fencing numbers
	RatingsWithheld bool  `json:"ratings_withheld"` // no ratings come
}

// FaultInjector holds the faults of one stand-in.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// Get returns the faults in force.
func (s *FaultInjector) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults.
func (s *FaultInjector) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// use takes one off a counter of the faults; false means that it stood at zero.
func (s *FaultInjector) use(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Wrap serves POST /faults itself and lets Down and SlowMs act on all else.
func (s *FaultInjector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			s.serveFaults(w, r)
			return
		}
		f := s.Get()
		if f.SlowMs > 0 {
			time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
		}
		if f.Down {
			http.Error(w, "down by a fault switch", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *FaultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeJSON(w, s.Get())
		return
	}
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// cut ends the connection without an answer.
func cut() { panic(http.ErrAbortHandler) }
