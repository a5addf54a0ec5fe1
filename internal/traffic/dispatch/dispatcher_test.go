package dispatch

import (
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/controlstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/placement"
	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
)

func document() *tables.Document {
	return &tables.Document{
		Pools: map[string]tables.Pool{"text": {Servers: map[string]tables.BackendServer{
			"engine-1": {Address: "127.0.0.1:1", DataCentre: "dc-1", Holds: []string{"small@v1"}, Slots: 1},
		}}},
		Models:         map[string]tables.Model{"small": {Versions: map[string]tables.ModelVersion{"v1": {State: tables.Active}}}},
		ClientAccounts: map[string]tables.ClientAccount{"smiths": {Allowed: []string{"small"}, Weight: 1}},
		DataCentres:    map[string]tables.DataCentre{"dc-1": {State: tables.InService}},
	}
}

func snapshot(d *tables.Document, confirmedUntil clock.Millis) *controlstate.Snapshot {
	key := placement.ServerKey{Pool: "text", Server: "engine-1"}
	return &controlstate.Snapshot{
		Document:         d,
		ConfirmedUntil:   confirmedUntil,
		Servers:          map[placement.ServerKey]placement.ServerState{key: {Reported: true}},
		PreferredServers: map[string][]string{"text": {"engine-1"}},
	}
}

// TestQueuedRequestIsRecheckedOnWake changes the snapshot while a request is queued
// for a full server, then frees the slot. The request must be checked against the new
// snapshot: with the one from before the wait it would run on a version, server or
// account that is no longer allowed.
func TestQueuedRequestIsRecheckedOnWake(t *testing.T) {
	const farFuture = 1 << 60
	cases := map[string]struct {
		changed *controlstate.Snapshot
		want    result.Code
	}{
		"still allowed":                     {snapshot(document(), farFuture), result.OK},
		"version withdrawn":                 {snapshot(document().WithVersion("small", "v1", tables.ModelVersion{State: tables.Withdrawn}), farFuture), result.VersionWithdrawn},
		"data centre out of service":        {snapshot(document().WithDataCentreState("dc-1", tables.OutOfService), farFuture), result.NoServer},
		"server out of service":             {snapshot(document().WithServerState("text", "engine-1", tables.OutOfService), farFuture), result.NoServer},
		"account removed":                   {snapshot(&tables.Document{Pools: document().Pools, Models: document().Models}, farFuture), result.VersionWithdrawn},
		"configuration not confirmed":       {snapshot(document(), 0), result.NotConfirmed},
		"server reports that it is leaving": {snapshotWithLeavingServer(), result.NoServer},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var current atomic.Pointer[controlstate.Snapshot]
			current.Store(snapshot(document(), farFuture))
			system := clock.NewSystem()
			d := NewDispatcher(system, current.Load, placement.NewInFlightCounters(), placement.Scored{}, 300)
			r := Request{Account: "smiths", Weight: 1, Pool: "text", Model: "small", Version: "v1", Deadline: system.Now() + 10_000}
			first, err := d.Acquire(t.Context(), r)
			assert.NilError(t, err)
			queuedErr := make(chan error)
			go func() {
				grant, err := d.Acquire(t.Context(), r)
				if grant != nil {
					grant.Release()
				}
				queuedErr <- err
			}()
			for d.Waiting()["text"] == 0 {
				continue
			}
			current.Store(c.changed)
			first.Release()
			err = <-queuedErr
			if c.want == result.OK {
				assert.NilError(t, err)
				return
			}
			var rejection *result.Error
			assert.Assert(t, errors.As(err, &rejection))
			assert.Equal(t, rejection.Code, c.want)
		})
	}
}

func snapshotWithLeavingServer() *controlstate.Snapshot {
	s := snapshot(document(), 1<<60)
	s.Servers[placement.ServerKey{Pool: "text", Server: "engine-1"}] = placement.ServerState{Reported: true, Leaving: true}
	return s
}
