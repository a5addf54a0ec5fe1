package follower

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

func inEpoch(epoch int64, p rowstore.Page) rowstore.Page {
	p.Epoch = epoch
	p.FromPeer = true
	return p
}

// TestEpochs checks the version from which the follower goes on after the store has
// returned from a copy, and that pages of an earlier epoch never reach the sink.
func TestEpochs(t *testing.T) {
	cases := map[string]struct {
		responses []response
		calls     []string
		events    []string
	}{
		"store noticed": {
			[]response{{page: inEpoch(1, page(7, "a"))}, {err: rowstore.ErrEpochChanged}, {page: inEpoch(2, page(4, "b"))}, {page: inEpoch(2, page(5, "c"))}},
			[]string{"list", "changes after 7", "list", "changes after 4", "changes after 5"},
			[]string{"available", "replace a", "available", "replace b", "available", "update c"},
		},
		"version no longer there": {
			[]response{{page: inEpoch(1, page(7, "a"))}, {err: rowstore.ErrCompacted}, {page: inEpoch(2, page(4, "b"))}},
			[]string{"list", "changes after 7", "list", "changes after 4"},
			[]string{"available", "replace a", "available", "replace b"},
		},
		"leader noticed": {
			[]response{{page: inEpoch(1, page(7, "a"))}, {page: inEpoch(2, page(4, "b"))}, {page: inEpoch(2, page(5, "c"))}},
			[]string{"list", "changes after 7", "changes after 4", "changes after 5"},
			[]string{"available", "replace a", "available", "update b", "available", "update c"},
		},
		"late page of an earlier epoch": {
			[]response{{page: inEpoch(2, page(4, "a"))}, {page: inEpoch(1, page(9, "b"))}, {page: inEpoch(2, page(5, "c"))}},
			[]string{"list", "changes after 4", "changes after 4", "changes after 5"},
			[]string{"available", "replace a", "unavailable", "available", "update c"},
		},
		"returned again while listing": {
			[]response{{page: inEpoch(1, page(7, "a"))}, {err: rowstore.ErrEpochChanged}, {err: rowstore.ErrEpochChanged}, {page: inEpoch(3, page(2, "b"))}},
			[]string{"list", "changes after 7", "list", "list", "changes after 2"},
			[]string{"available", "replace a", "unavailable", "available", "replace b"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := &scriptedStore{responses: c.responses, done: make(chan struct{})}
			sink := &recorder{}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				New(hclog.NewNullLogger(), store, sink, "t", 1, 5_000).Run(ctx)
			}()
			select {
			case <-store.done:
			case <-time.After(10 * time.Second):
				t.Fatal("the follower stopped calling")
			}
			cancel()
			<-ended
			assert.DeepEqual(t, store.calls, c.calls)
			assert.DeepEqual(t, sink.events, c.events)
		})
	}
}
