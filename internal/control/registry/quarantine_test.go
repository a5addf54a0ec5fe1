package registry

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/control/restore"
	"gypsumpitch.example/gypsumpitch/internal/control/viewstate"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/decision/quarantine"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/platform/rowstore"
)

// TestQuarantineRows checks what the view holds after pages of the daemons' own table. A
// record that the store lost with its return from a copy stays in force.
func TestQuarantineRows(t *testing.T) {
	bad := quarantine.SegmentPart("bad")
	row := func(epoch int64, value string) rowstore.Row {
		return rowstore.Row{Key: "quarantine/" + bad.String(), Value: []byte(value), Version: 5, Epoch: epoch}
	}
	page := func(epoch int64, rows ...rowstore.Row) rowstore.Page {
		return rowstore.Page{Position: rowstore.Position{Epoch: epoch, Version: 9}, Rows: rows}
	}
	const valid = `{"since_ms":1000,"hold_ms":60000}`
	q := fleet.Quarantine{Since: 1_000, Hold: 60_000}
	lost := q
	lost.Lost = true
	cases := map[string]struct {
		pages []rowstore.Page
		want  map[fleet.QuarantineKey]fleet.Quarantine
	}{
		"recorded":            {[]rowstore.Page{page(1, row(1, valid))}, map[fleet.QuarantineKey]fleet.Quarantine{bad: q}},
		"removed":             {[]rowstore.Page{page(1, row(1, valid)), page(1)}, map[fleet.QuarantineKey]fleet.Quarantine{}},
		"lost":                {[]rowstore.Page{page(1, row(1, valid)), page(2)}, map[fleet.QuarantineKey]fleet.Quarantine{bad: lost}},
		"lost, written again": {[]rowstore.Page{page(1, row(1, valid)), page(2), page(2, row(2, valid))}, map[fleet.QuarantineKey]fleet.Quarantine{bad: q}},
		"not JSON":            {[]rowstore.Page{page(1, row(1, `{`))}, map[fleet.QuarantineKey]fleet.Quarantine{}},
		"no hold":             {[]rowstore.Page{page(1, row(1, `{"since_ms":1000}`))}, map[fleet.QuarantineKey]fleet.Quarantine{}},
		"of an older version": {[]rowstore.Page{page(1, rowstore.Row{Key: "quarantine/4201601d551d0fc6", Value: []byte(valid), Version: 5, Epoch: 1})}, map[fleet.QuarantineKey]fleet.Quarantine{}},
		"not a part":          {[]rowstore.Page{page(1, rowstore.Row{Key: "quarantine/part", Value: []byte(valid), Version: 5, Epoch: 1})}, map[fleet.QuarantineKey]fleet.Quarantine{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			manager := viewstate.New(hclog.NewNullLogger(), clock.NewSystem(), 3_000)
			go manager.Run(t.Context())
			sink := restore.NewSink(hclog.NewNullLogger(), clock.NewSystem(), NewSink(t.Context(), hclog.NewNullLogger(), manager))
			for _, p := range c.pages {
				sink.Replace(Table, p)
			}
			applied := make(chan struct{})
			manager.Apply(t.Context(), func(*viewstate.State) { close(applied) })
			<-applied
			assert.DeepEqual(t, manager.View().Quarantines, c.want)
		})
	}
}
