// Package quality submits a sample of the answers to the rating service, plans cascades
// by the ratings, and detects model versions that give too many bad answers.
package quality

import (
	"context"
	"sync"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/cascade"
	"gypsumpitch.example/gypsumpitch/internal/decision/rollout"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/common"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/platform/rating"
)

const (
	maxBatchSize = 50     // answers submitted per Sync; further ones are not rated
	maxEntries   = 10_000 // answers awaiting a rating; also bounds the cached plans
	planTTL      = 250 * clock.Millis(1)
	maxUnrated   = 100 // exploring stops once this many answers were queued since the last rating
)

// Service is the rating service. ListAfter returns the ratings that follow the sequence
// number.
type Service interface {
	Submit(ctx context.Context, answers []rating.Answer) error
	ListAfter(ctx context.Context, sequence int64) ([]rating.Rating, error)
}

// Tracker counts the good and bad answers of each model and version, on this daemon and
// its peers. Safe for concurrent use.
type Tracker struct {
	common   *common.Common
	service  Service
	cusum    rollout.CUSUMParameters
	table    *cascade.RatingTable
	awaiting *container.LRU[string, sample] // by request ID

	mu           sync.Mutex // guards all fields below
	pending      []rating.Answer
	sequence     int64                                           // of the newest rating
	scores       map[string]rollout.Score                        // by version
	ownCounts    map[string]controlstate.VersionCount            // by version
	answerCounts map[string]int                                  // answers of all daemons, by version
	peerCounts   map[string]map[string]controlstate.VersionCount // by member and version
	plans        map[string]cachedPlan                           // by route, class and tiers
	unrated      int                                             // answers queued since the last rating
	tripped      []string                                        // versions for TakeTripped
}

// sample is an answer that awaits its rating.
type sample struct {
	key     cascade.RatingKey
	version string
}

type cachedPlan struct {
	plan       cascade.Plan
	computedAt clock.Millis
}

// NewTracker returns a tracker without ratings.
func NewTracker(c *common.Common, service Service) *Tracker {
	return &Tracker{
		common:       c,
		service:      service,
		cusum:        rollout.DefaultCUSUMParameters(),
		table:        cascade.NewRatingTable(),
		awaiting:     container.NewLRU[string, sample](maxEntries),
		scores:       make(map[string]rollout.Score),
		ownCounts:    make(map[string]controlstate.VersionCount),
		answerCounts: make(map[string]int),
		peerCounts:   make(map[string]map[string]controlstate.VersionCount),
		plans:        make(map[string]cachedPlan),
	}
}

// ConfidenceUnknown is the confidence of a streamed answer, whose log probabilities
// are not read.
const ConfidenceUnknown = -1

// streamSuffix is appended to the class of streamed answers. Their confidence is
// unknown, so their ratings must not be counted with those by confidence.
const streamSuffix = "/stream"

// RecordAnswer queues an answer of the model for rating. It drops the answer if the
// next batch is full.
func (t *Tracker) RecordAnswer(a rating.Answer, model string, confidence float64) {
	key := cascade.RatingKey{Route: a.Route, Class: a.Class, Model: model, Bucket: cascade.Bucket(confidence)}
	if confidence == ConfidenceUnknown {
		key.Class += streamSuffix
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= maxBatchSize {
		return
	}
	t.pending = append(t.pending, a)
	t.awaiting.Put(a.RequestID, sample{key, a.Version})
	t.unrated++
}

// Sync submits the queued answers and applies new ratings. Answers are lost if
// submitting them fails.
func (t *Tracker) Sync(ctx context.Context) error {
	t.mu.Lock()
	batch := t.pending
	t.pending = nil
	sequence := t.sequence
	t.mu.Unlock()
	if len(batch) > 0 {
		if err := t.service.Submit(ctx, batch); err != nil {
			return err
		}
	}
	ratings, err := t.service.ListAfter(ctx, sequence)
	if err != nil {
		return err
	}
	for _, r := range ratings {
		t.applyRating(r)
	}
	return nil
}

func (t *Tracker) applyRating(r rating.Rating) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence = max(t.sequence, r.Sequence)
	s, ok := t.awaiting.Get(r.RequestID)
	if !ok {
		return
	}
	t.unrated = 0
	t.table.AddRating(s.key, r.Good)
	t.countAnswer(s.version, r.Good)
}
