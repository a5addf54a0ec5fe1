package registry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/restore"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// commitStore passes on the commits that it receives.
type commitStore struct {
	rowstore.Store
	commits chan rowstore.Write
}

func (s *commitStore) Commit(_ context.Context, writes ...rowstore.Write) (rowstore.Position, error) {
	s.commits <- writes[0]
	return rowstore.Position{}, nil
}

// TestLostHostRowIsWrittenAgain checks that a daemon writes the row of its own host again
// after the store has lost it, and that until then no daemon drops the host.
func TestLostHostRowIsWrittenAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	manager := viewstate.New(hclog.NewNullLogger(), clock.NewSystem(), 3_000)
	go manager.Run(ctx)
	sink := restore.NewSink(hclog.NewNullLogger(), clock.NewSystem(), NewSink(ctx, hclog.NewNullLogger(), manager))
	host := fleet.Host{Address: "127.0.0.1:1", DataCentre: "dc-1"}
	page := func(epoch int64, rows ...rowstore.Row) rowstore.Page {
		return rowstore.Page{Position: rowstore.Position{Epoch: epoch, Version: 9}, Rows: rows}
	}
	row := func(epoch int64, name string) rowstore.Row {
		return rowstore.Row{Key: "host/" + name, Value: []byte(`{"address":"127.0.0.1:1","data_centre":"dc-1"}`), Version: 5, Epoch: epoch}
	}
	store := &commitStore{commits: make(chan rowstore.Write, 8)}
	go Announce(ctx, hclog.NewNullLogger(), manager, store, "own", host)

	sink.Replace(Table, page(1, row(1, "own"), row(1, "other")))
	select {
	case w := <-store.commits:
		t.Fatalf("%s was written although the store holds it", w.Key)
	case <-time.After(2 * minRetryDelay.Duration()):
	}
	sink.Replace(Table, page(2))
	select {
	case w := <-store.commits:
		assert.Equal(t, w.Key, "host/own")
	case <-time.After(10 * time.Second):
		t.Fatal("the host's row was not written again")
	}
	assert.Equal(t, len(manager.View().Hosts), 2)
	sink.Update(Table, page(2, row(2, "own")))
	for manager.View().Hosts["own"] != host {
		time.Sleep(time.Millisecond)
	}
}
