// Package standin provides stand-ins for the platform's services and for backend
// servers, for tests and the demo. POST /faults injects faults.
package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults that a stand-in injects. Each kind of stand-in ignores those
// that don't apply to it.
type Faults struct {
	Down            bool  `json:"down"`             // rejects every call
	SlowMs          int64 `json:"slow_ms"`          // delay of each response
	LoseAnswers     int   `json:"lose_answers"`     // number of next commits whose response is lost
	LagMs           int64 `json:"lag_ms"`           // age of load reports, host lists and ratings
	CrossAnswers    int   `json:"cross_answers"`    // number of next responses with another request's ID
	CutStreams      int   `json:"cut_streams"`      // number of next streams aborted half way
	Cold            bool  `json:"cold"`             // turns an engine cold once, without notice
	Leaving         bool  `json:"leaving"`          // rejects new requests with the leaving header
	BadPercent      int   `json:"bad_percent"`      // percentage points added to the bad answers of an engine
	CutAfterRun     int   `json:"cut_after_run"`    // number of next calls that run and then lose their connection
	FencingIgnored  bool  `json:"fencing_ignored"`  // accepts orders with outdated fencing numbers
	RatingsWithheld bool  `json:"ratings_withheld"` // returns no ratings
}

// FaultInjector holds the faults of one stand-in. The zero value injects none. Safe
// for concurrent use.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// Get returns the current faults.
func (fi *FaultInjector) Get() Faults {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.faults
}

// Set replaces the faults.
func (fi *FaultInjector) Set(f Faults) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faults = f
}

// consume decrements a counter of the faults, and reports whether it was above zero.
func (fi *FaultInjector) consume(counter func(*Faults) *int) bool {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	n := counter(&fi.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Wrap returns a handler that serves /faults itself, and applies Down and SlowMs to
// all other requests before it calls next.
func (fi *FaultInjector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			fi.serveFaults(w, r)
			return
		}
		f := fi.Get()
		if f.SlowMs > 0 {
			time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
		}
		if f.Down {
			http.Error(w, "down by an injected fault", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (fi *FaultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeJSON(w, fi.Get())
		return
	}
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fi.Set(f)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// abortConnection closes the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }
