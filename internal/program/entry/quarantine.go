package entry

import (
	"github.com/hashicorp/go-hclog"

	"gypsumpitch.example/gypsumpitch/internal/control/peerstats"
	"gypsumpitch.example/gypsumpitch/internal/control/quarantinecontrol"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/settings"
	"gypsumpitch.example/gypsumpitch/platform"
)

func newQuarantineRecorder(
	log hclog.Logger, c clock.Clock, s settings.Settings, manager *viewstate.Manager, tracker *quarantine.Tracker, store *platform.Store,
) *quarantinecontrol.Recorder {
	return quarantinecontrol.New(quarantinecontrol.Config{
		Log: log, Clock: c, Host: s.Host, View: manager.View, Tracker: tracker, Store: store, IsCurrent: manager.IsCurrent,
	})
}

// refreshQuarantine passes this daemon's evidence of crashed servers to the aggregator, and
// what the peers and the store know to the tracker. It returns what changed.
func refreshQuarantine(host string, now clock.Millis, view *fleet.View, stats *peerstats.Aggregator, tracker *quarantine.Tracker) []quarantine.Change {
	stats.SetOwnEvidence(tracker.Own(now))
	stored := make(map[uint64]quarantine.Quarantine, len(view.Quarantines))
	for segment, q := range view.Quarantines {
		stored[segment] = quarantine.Quarantine{Since: q.Since - view.StoreOffset, Hold: q.Hold}
	}
	crashes, sound := stats.PeerEvidence()
	return tracker.Update(quarantine.Evidence{
		Crashes: crashes, Sound: sound, Stored: stored,
		Owns: func(segment uint64, turn int) bool {
			return view.Rank(quarantine.SegmentName(segment), host) == turn%max(len(view.Hosts), 1)
		},
	}, now)
}
