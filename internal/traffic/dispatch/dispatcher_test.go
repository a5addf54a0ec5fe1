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

// TestWaitingWorkIsCheckedAgain has a request wait for a place while what lets it
// run goes away; the place comes free afterwards.
func TestWaitingWorkIsCheckedAgain(t *testing.T) {
	const always = 1 << 60
	cases := map[string]struct {
		after *controlstate.Snapshot
		want  result.Code
	}{
		"still allowed":         {snapshot(document(), always), result.OK},
		"version withdrawn":     {snapshot(document().WithVersion("small", "v1", tables.ModelVersion{State: tables.Withdrawn}), always), result.VersionWithdrawn},
		"data centre out":       {snapshot(document().WithDataCentreState("dc-1", tables.OutOfService), always), result.NoServer},
		"server out":            {snapshot(document().WithServerState("text", "engine-1", tables.OutOfService), always), result.NoServer},
		"account no more":       {snapshot(&tables.Document{Pools: document().Pools, Models: document().Models}, always), result.VersionWithdrawn},
		"version unconfirmed":   {snapshot(document(), 0), result.NotConfirmed},
		"server says it leaves": {leaving(), result.NoServer},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var current atomic.Pointer[controlstate.Snapshot]
			current.Store(snapshot(document(), always))
			system := clock.NewSystem()
			d := NewDispatcher(system, current.Load, placement.NewInFlightCounters(), placement.Scored{}, 300)
			r := Request{Account: "smiths", Weight: 1, Pool: "text", Model: "small", Version: "v1", Deadline: system.Now() + 10_000}
			held, err := d.Acquire(t.Context(), r)
			assert.NilError(t, err)
			answer := make(chan error)
			go func() {
				grant, err := d.Acquire(t.Context(), r)
				if grant != nil {
					grant.Release()
				}
				answer <- err
			}()
			for d.Waiting()["text"] == 0 {
				continue
			}
			current.Store(c.after)
			held.Release()
			err = <-answer
			if c.want == result.OK {
				assert.NilError(t, err)
				return
			}
			var refusal *result.Error
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Code, c.want)
		})
	}
}

func leaving() *controlstate.Snapshot {
	s := snapshot(document(), 1<<60)
	s.Servers[placement.ServerKey{Pool: "text", Server: "engine-1"}] = placement.ServerState{Reported: true, Leaving: true}
	return s
}
