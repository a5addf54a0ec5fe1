package quarantinecontrol

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/registry"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

const (
	startedAt = 1_000_000 * clock.Millis(1)
	hold      = 60_000 * clock.Millis(1)
	offset    = 500 * clock.Millis(1) // of the store's clock
)

var bad = quarantine.SegmentPart("bad")

// commitStore notes the writes that it receives.
type commitStore struct {
	rowstore.Store
	writes []rowstore.Write
	err    error
}

func (s *commitStore) Commit(_ context.Context, writes ...rowstore.Write) (rowstore.Position, error) {
	s.writes = append(s.writes, writes...)
	return rowstore.Position{}, s.err
}

// setup is the state in which a recorder decides.
type setup struct {
	stored      map[fleet.QuarantineKey]fleet.Quarantine // in the store
	quarantined map[quarantine.Part]quarantine.Quarantine
	released    bool // bad was released by a sound answer
	hosts       []string
	after       clock.Millis
	notCurrent  bool
	err         error
}

// run returns the writes that the recorder of host "a" makes in the time.
func (s setup) run(t *testing.T) []rowstore.Write {
	t.Helper()
	view := fleet.NewView().WithLoadedTable(registry.Table).WithStoreOffset(offset)
	editor := view.Edit()
	for _, name := range s.hosts {
		editor.SetHost(name, fleet.Host{Address: name})
	}
	view = editor.View()
	for segment, q := range s.stored {
		view = view.WithQuarantine(segment, q)
	}
	tracker := quarantine.NewTracker()
	tracker.Update(quarantine.Evidence{Stored: s.quarantined}, startedAt)
	if s.released {
		tracker.Update(quarantine.Evidence{Stored: s.quarantined, Sound: []quarantine.SoundRuns{{Part: bad, Count: 1}}}, startedAt+1)
	}
	c := clock.NewManual(startedAt)
	store := &commitStore{err: s.err}
	recorder := New(Config{
		Log: hclog.NewNullLogger(), Clock: c, Host: "a", View: func() *fleet.View { return view }, Tracker: tracker, Store: store,
		IsCurrent: func() bool { return !s.notCurrent },
	})
	for elapsed := clock.Millis(0); elapsed <= s.after; elapsed += recordPeriod {
		recorder.record(t.Context())
		c.Advance(recordPeriod)
	}
	return store.writes
}

// TestRecords checks when a daemon writes the record of a quarantined segment, and when it
// removes it.
func TestRecords(t *testing.T) {
	active := map[quarantine.Part]quarantine.Quarantine{bad: {Since: startedAt, Hold: hold}}
	stored := func(q fleet.Quarantine) map[fleet.QuarantineKey]fleet.Quarantine {
		return map[fleet.QuarantineKey]fleet.Quarantine{bad: q}
	}
	many := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p"}
	cases := map[string]struct {
		setup
		writes  int
		removes bool
	}{
		"a new one":                       {setup{quarantined: active, hosts: []string{"a"}}, 1, false},
		"the store has it":                {setup{quarantined: active, stored: stored(fleet.Quarantine{Hold: hold}), hosts: []string{"a"}}, 0, false},
		"the store has a shorter one":     {setup{quarantined: active, stored: stored(fleet.Quarantine{Hold: hold / 2}), hosts: []string{"a"}}, 1, false},
		"the store lost it":               {setup{quarantined: active, stored: stored(fleet.Quarantine{Hold: hold, Lost: true}), hosts: []string{"a"}}, 1, false},
		"the store doesn't answer":        {setup{quarantined: active, hosts: []string{"a"}, notCurrent: true, after: 5_000}, 0, false},
		"the write failed, it is retried": {setup{quarantined: active, hosts: []string{"a"}, err: rowstore.ErrUnavailable, after: retryDelay + recordPeriod}, 2, false},
		"released":                        {setup{quarantined: active, stored: stored(fleet.Quarantine{Hold: hold}), released: true, hosts: []string{"a"}}, 1, true},
		"released, not in the store":      {setup{quarantined: active, released: true, hosts: []string{"a"}}, 0, false},
		"others come first":               {setup{quarantined: active, hosts: many}, 0, false},
		"others don't write":              {setup{quarantined: active, hosts: many, after: maxRankDelay}, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			writes := c.run(t)
			assert.Equal(t, len(writes), c.writes)
			for _, w := range writes {
				assert.Equal(t, w.Key, "quarantine/"+bad.String())
				assert.Equal(t, w.Remove, c.removes)
				if !c.removes {
					assert.Equal(t, string(w.Value), `{"since_ms":1000500,"hold_ms":60000}`)
				}
			}
		})
	}
}
