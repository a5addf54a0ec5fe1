package entry

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/control/quarantinecontrol"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/internal/traffic/relay"
	"gypsumpitch.example/gypsumpitch/platform"
)

func newQuarantineRecorder(
	log hclog.Logger, c clock.Clock, s settings.Settings, manager *viewstate.Manager, tracker *quarantine.Tracker, store *platform.Store,
) *quarantinecontrol.Recorder {
	return quarantinecontrol.New(quarantinecontrol.Config{
		Log: log, Clock: c, Host: s.Host, View: manager.View, Tracker: tracker, Store: store, IsCurrent: manager.IsCurrent,
	})
}

// quarantineFeed passes evidence of crashed servers between the tracker, the peers and the
// view.
type quarantineFeed struct {
	log     hclog.Logger
	clock   clock.Clock
	host    string
	manager *viewstate.Manager
	stats   *peerstats.Aggregator
	tracker *quarantine.Tracker

	atStart sync.Once
}

func newQuarantineFeed(
	log hclog.Logger, c clock.Clock, s settings.Settings, manager *viewstate.Manager, stats *peerstats.Aggregator, tracker *quarantine.Tracker,
) *quarantineFeed {
	return &quarantineFeed{log: log, clock: c, host: s.Host, manager: manager, stats: stats, tracker: tracker}
}

// isLoaded reports whether requests can be routed: the view is complete and the tracker has
// the quarantines that it holds.
func (f *quarantineFeed) isLoaded() bool {
	if !isReady(f.manager.View()) {
		return false
	}
	f.atStart.Do(f.refresh)
	return true
}

// refresh passes this daemon's evidence to the aggregator, and what the peers and the store
// know to the tracker.
func (f *quarantineFeed) refresh() {
	view, now := f.manager.View(), f.clock.Now()
	f.stats.SetOwnEvidence(f.tracker.Own(now))
	stored := make(map[quarantine.Part]quarantine.Quarantine, len(view.Quarantines))
	for part, q := range view.Quarantines {
		stored[part] = quarantine.Quarantine{Since: q.Since - view.StoreOffset, Hold: q.Hold}
	}
	crashes, sound := f.stats.PeerEvidence()
	relay.LogQuarantines(f.log, f.tracker.Update(quarantine.Evidence{
		Crashes: crashes, Sound: sound, Stored: stored,
		Owns: func(part quarantine.Part, turn int) bool {
			return view.Rank(part.String(), f.host) == turn%max(len(view.Hosts), 1)
		},
	}, now))
}
