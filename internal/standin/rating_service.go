package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumpitch.example/gypsumpitch/internal/platform/rating"
)

// badAnswerMark is what a stand-in engine writes into a bad answer.
const badAnswerMark = "mistaken"

// RatingService rates an answer as bad where an engine marked it so.
type RatingService struct {
	faults  *FaultInjector
	mu      sync.Mutex
	ratings []timedRating
}

type timedRating struct {
	rating rating.Rating
	since  time.Time
}

// NewRatingService returns a service without ratings.
func NewRatingService(faults *FaultInjector) *RatingService { return &RatingService{faults: faults} }

// Handler serves POST /v1/answers and GET /v1/ratings.
func (s *RatingService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/answers", func(w http.ResponseWriter, r *http.Request) {
		var answers []rating.Answer
		if err := json.NewDecoder(r.Body).Decode(&answers); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.rate(answers)
	})
	mux.HandleFunc("GET /v1/ratings", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, s.after(after))
	})
	return s.faults.Wrap(mux)
}

func (s *RatingService) rate(answers []rating.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range answers {
		s.ratings = append(s.ratings, timedRating{
			rating: rating.Rating{
				Sequence:  int64(len(s.ratings) + 1),
				RequestID: a.RequestID,
				Good:      !strings.Contains(a.Text, badAnswerMark),
			},
			since: time.Now(),
		})
	}
}

func (s *RatingService) after(sequence int64) []rating.Rating {
	f := s.faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []rating.Rating{}
	for _, r := range s.ratings {
		late := time.Since(r.since) < time.Duration(f.LagMs)*time.Millisecond
		if r.rating.Sequence > sequence && !late && !f.RatingsWithheld {
			list = append(list, r.rating)
		}
	}
	return list
}
