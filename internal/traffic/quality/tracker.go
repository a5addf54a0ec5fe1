// Package quality hands samples of answers to the rating service, learns from
// its ratings, plans cascades and closes versions that prove bad.
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
	maxSubmitted = 50     // answers handed in each period
	maxAwaited   = 10_000 // answers whose rating may still come
	planLife     = 250 * clock.Millis(1)
	maxUnrated   = 100 // answers since the last rating that stop exploring
)

// Service is what the keeper needs of the rating service.
type Service interface {
	Submit(ctx context.Context, answers []rating.Answer) error
	ListAfter(ctx context.Context, sequence int64) ([]rating.Rating, error)
}

// Tracker is safe for concurrent use.
type Tracker struct {
	common  *common.Common
	service Service
	test    rollout.CUSUMParameters
	table   *cascade.RatingTable
	awaited *container.LRU[string, sample]

	mu       sync.Mutex
	toSubmit []rating.Answer
	sequence int64
	scores   map[string]rollout.Score
	own      map[string]controlstate.VersionCount
	answers  map[string]int
	peers    map[string]map[string]controlstate.VersionCount
	plans    map[string]timedPlan
	unrated  int // answers handed in since the last rating
	tripped  []string
}

// sample is an answer whose rating may come.
type sample struct {
	cell    cascade.RatingKey
	version string
}

type timedPlan struct {
	plan cascade.Plan
	at   clock.Millis
}

// NewTracker returns a keeper that knows nothing.
func NewTracker(c *common.Common, service Service) *Tracker {
	return &Tracker{
		common:  c,
		service: service,
		test:    rollout.DefaultCUSUMParameters(),
		table:   cascade.NewRatingTable(),
		awaited: container.NewLRU[string, sample](maxAwaited),
		scores:  make(map[string]rollout.Score),
		own:     make(map[string]controlstate.VersionCount),
		answers: make(map[string]int),
		peers:   make(map[string]map[string]controlstate.VersionCount),
		plans:   make(map[string]timedPlan),
	}
}

// ConfidenceUnknown is the confidence of a streamed answer, whose log probabilities
// aren't read.
const ConfidenceUnknown = -1

// streamSuffix keeps ratings of streamed answers apart from the tallies by
// confidence, which they would blur.
const streamSuffix = "/stream"

// RecordAnswer takes in an answer to be rated.
func (k *Tracker) RecordAnswer(a rating.Answer, model string, confidence float64) {
	cell := cascade.RatingKey{Route: a.Route, Class: a.Class, Model: model, Bucket: cascade.Bucket(confidence)}
	if confidence == ConfidenceUnknown {
		cell.Class += streamSuffix
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.toSubmit) >= maxSubmitted {
		return
	}
	k.toSubmit = append(k.toSubmit, a)
	k.awaited.Put(a.RequestID, sample{cell, a.Version})
	k.unrated++
}

// Sync submits what has gathered and reads new ratings.
func (k *Tracker) Sync(ctx context.Context) error {
	k.mu.Lock()
	batch := k.toSubmit
	k.toSubmit = nil
	sequence := k.sequence
	k.mu.Unlock()
	if len(batch) > 0 {
		if err := k.service.Submit(ctx, batch); err != nil {
			return err
		}
	}
	ratings, err := k.service.ListAfter(ctx, sequence)
	if err != nil {
		return err
	}
	for _, r := range ratings {
		k.rate(r)
	}
	return nil
}

func (k *Tracker) rate(r rating.Rating) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence = max(k.sequence, r.Sequence)
	s, ok := k.awaited.Get(r.RequestID)
	if !ok {
		return
	}
	k.unrated = 0
	k.table.AddRating(s.cell, r.Good)
	k.count(s.version, r.Good)
}
