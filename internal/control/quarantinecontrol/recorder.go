// Package quarantinecontrol records in the store what is quarantined, so
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
	// its peers may be the only one to know the part.
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

	dueSince map[quarantine.Part]clock.Millis // when a record became due or was last attempted
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
		dueSince: make(map[quarantine.Part]clock.Millis),
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
	for part := range r.dueSince {
		if _, ok := due[part]; !ok {
			delete(r.dueSince, part)
		}
	}
	var writes []rowstore.Write
	for part, write := range due {
		since, pending := r.dueSince[part]
		if !pending {
			since = now
			r.dueSince[part] = now
		}
		delay := min(clock.Millis(view.Rank(part.String(), r.host))*rankDelay, maxRankDelay)
		if now-since >= delay && len(writes) < maxWrites {
			writes = append(writes, write)
			r.dueSince[part] = now + retryDelay
		}
	}
	if len(writes) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if _, err := r.store.Commit(callCtx, writes...); err != nil {
		r.log.Warn("failed to record quarantines", "rows", len(writes), "error", err.Error())
		return
	}
	r.log.Info("quarantines recorded", "rows", len(writes))
}

// outdated returns the writes that bring the store up to date, by part.
func (r *Recorder) outdated(view *fleet.View) map[quarantine.Part]rowstore.Write {
	writes := make(map[quarantine.Part]rowstore.Write)
	active, released := r.tracker.Records()
	for part, q := range active {
		stored, ok := view.Quarantines[part]
		if ok && !stored.Lost && stored.Hold >= q.Hold {
			continue
		}
		write, err := registry.QuarantineWrite(part, fleet.Quarantine{Since: q.Since + view.StoreOffset, Hold: q.Hold})
		if err != nil {
			r.log.Error("failed to encode a quarantine", "part", part.String(), "error", err.Error())
			continue
		}
		writes[part] = write
	}
	for _, part := range released {
		if _, stored := view.Quarantines[part]; stored {
			writes[part] = registry.ReleaseWrite(part)
		}
	}
	return writes
}
