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

// badAnswerMarker is the last word of a bad answer of an Engine.
const badAnswerMarker = "mistaken"

// RatingService is a stand-in for the platform's rating service. It rates an answer as bad
// if it contains badAnswerMarker.
type RatingService struct {
	faults  *FaultInjector
	mu      sync.Mutex
	ratings []timedRating
}

type timedRating struct {
	rating    rating.Rating
	createdAt time.Time
}

// NewRatingService returns a service without ratings.
func NewRatingService(faults *FaultInjector) *RatingService { return &RatingService{faults: faults} }

// Handler serves POST /v1/answers and GET /v1/ratings. A rating is returned once it
// is older than LagMs.
func (s *RatingService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/answers", func(w http.ResponseWriter, r *http.Request) {
		var answers []rating.Answer
		if err := json.NewDecoder(r.Body).Decode(&answers); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.rateAnswers(answers)
	})
	mux.HandleFunc("GET /v1/ratings", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, s.ratingsAfter(after))
	})
	return s.faults.Wrap(mux)
}

func (s *RatingService) rateAnswers(answers []rating.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range answers {
		s.ratings = append(s.ratings, timedRating{
			rating: rating.Rating{
				Sequence:  int64(len(s.ratings) + 1),
				RequestID: a.RequestID,
				Good:      !strings.Contains(a.Text, badAnswerMarker),
			},
			createdAt: time.Now(),
		})
	}
}

func (s *RatingService) ratingsAfter(sequence int64) []rating.Rating {
	f := s.faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	ratings := []rating.Rating{}
	for _, r := range s.ratings {
		delayed := time.Since(r.createdAt) < time.Duration(f.LagMs)*time.Millisecond
		if r.rating.Sequence > sequence && !delayed && !f.RatingsWithheld {
			ratings = append(ratings, r.rating)
		}
	}
	return ratings
}
