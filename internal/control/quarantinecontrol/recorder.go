// Package quarantinecontrol records in the store which prompt segments are quarantined, so
// that a daemon that starts or that has lost its peers knows them.
package quarantinecontrol

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/registry"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	recordPeriod = 200 * clock.Millis(1)
	// rankDelay is the delay per rank before a daemon writes, so that a daemon of higher rank
	// only writes if those before it have not. maxRankDelay bounds it: a daemon that has lost
	// its peers may be the only one to know the segment.
	rankDelay     = 250 * clock.Millis(1)
	maxRankDelay  = 2_000 * clock.Millis(1)
	retryDelay    = 3_000 * clock.Millis(1) // before a write that has not become visible is repeated
	recordTimeout = 1 * time.Second
	// maxWrites bounds the records written in one period.
	maxWrites = 16
)

// Recorder writes the quarantines of a tracker to the store. Every daemon runs one. Not safe
// for concurrent use.
type Recorder struct {
	log     hclog.Logger
	clock   clock.Clock
	host    string
	view    func() *fleet.View
	tracker *quarantine.Tracker
	store   rowstore.Store
	current func() bool

	dueSince map[uint64]clock.Millis // when a record became due or was last attempted
}

// Config holds the dependencies of a Recorder.
type Config struct {
	Log     hclog.Logger
	Clock   clock.Clock
	Host    string // name of this daemon's host
	View    func() *fleet.View
	Tracker *quarantine.Tracker
	Store   rowstore.Store
	// IsCurrent reports whether the store answers and the view holds what it has.
	IsCurrent func() bool
}

// New returns a recorder that has written nothing.
func New(c Config) *Recorder {
	return &Recorder{
		log: c.Log, clock: c.Clock, host: c.Host, view: c.View, tracker: c.Tracker, store: c.Store, current: c.IsCurrent,
		dueSince: make(map[uint64]clock.Millis),
	}
}

// Run writes what the store lacks until ctx is done.
func (r *Recorder) Run(ctx context.Context) {
	clock.Every(ctx, recordPeriod, func() { r.record(ctx) })
}

// record makes the writes that are due for this daemon's rank.
func (r *Recorder) record(ctx context.Context) {
	view := r.view()
	if !view.LoadedTables[registry.Table] || !r.current() {
		return
	}
	due := r.outdated(view)
	now := r.clock.Now()
	for segment := range r.dueSince {
		if _, ok := due[segment]; !ok {
			delete(r.dueSince, segment)
		}
	}
	var writes []rowstore.Write
	for segment, write := range due {
		since, pending := r.dueSince[segment]
		if !pending {
			since = now
			r.dueSince[segment] = now
		}
		delay := min(clock.Millis(view.Rank(quarantine.SegmentName(segment), r.host))*rankDelay, maxRankDelay)
		if now-since >= delay && len(writes) < maxWrites {
			writes = append(writes, write)
			r.dueSince[segment] = now + retryDelay
		}
	}
	if len(writes) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if _, err := r.store.Commit(callCtx, writes...); err != nil {
		r.log.Warn("failed to record quarantined prompt segments", "rows", len(writes), "error", err.Error())
		return
	}
	r.log.Info("quarantined prompt segments recorded", "rows", len(writes))
}

// outdated returns the writes that bring the store up to date, by segment.
func (r *Recorder) outdated(view *fleet.View) map[uint64]rowstore.Write {
	writes := make(map[uint64]rowstore.Write)
	active, released := r.tracker.Records()
	for segment, q := range active {
		stored, ok := view.Quarantines[segment]
		if ok && !stored.Lost && stored.Hold >= q.Hold {
			continue
		}
		write, err := registry.QuarantineWrite(segment, fleet.Quarantine{Since: q.Since + view.StoreOffset, Hold: q.Hold})
		if err != nil {
			r.log.Error("failed to encode a quarantine", "segment", quarantine.SegmentName(segment), "error", err.Error())
			continue
		}
		writes[segment] = write
	}
	for _, segment := range released {
		if _, stored := view.Quarantines[segment]; stored {
			writes[segment] = registry.ReleaseWrite(segment)
		}
	}
	return writes
}
