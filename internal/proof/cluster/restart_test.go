package cluster

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// cut separates two members both ways, or joins them.
func (w *world) cut(a, b int, separated bool) {
	first, second := w.members[a-1], w.members[b-1]
	first.cutTo[second.name], second.cutTo[first.name] = separated, separated
}

func (w *world) cutAll(side, otherSide []int, separated bool) {
	for _, a := range side {
		for _, b := range otherSide {
			w.cut(a, b, separated)
		}
	}
}

// TestForgottenAdoptionDoesNotRevertAnEdit has a daemon adopt an edit, forget it
// in a restart while the table service is away, and yet be counted among the
// edit's adopters. The daemons that never heard of the edit must stop. The
// sweep covers the moments at which the parts can be separated.
func TestForgottenAdoptionDoesNotRevertAnEdit(t *testing.T) {
	accepted := 0
	for seed := range uint64(40) {
		for heard := clock.Millis(tickStep); heard <= 5*tickStep; heard += tickStep {
			w := newWorld(t, seed)
			w.forgetAdoption(heard)
			accepted += len(w.oracle.accepted) - 1
		}
	}
	assert.Assert(t, accepted > 0, "in some cases the edit must be accepted on the word of the one that forgot")
}

// forgetAdoption lets the one that forgot hear the members that never knew of
// the edit for that long, then gives the editor one of those.
func (w *world) forgetAdoption(heard clock.Millis) {
	w.quick = true
	w.cutAll([]int{1, 2}, []int{3, 4, 5, 6}, true)
	for _, m := range w.members[1:] {
		m.storeCut = true
	}
	before, err := w.current()
	must(w.t, err)
	w.edit(w.members[0], before, func(d *tables.Document) *tables.Document {
		return d.WithVersion("small", "v2", tables.ModelVersion{State: tables.Withdrawn})
	})
	w.pass(300)
	w.storeDown = true
	w.start(w.members[1])
	w.cut(1, 2, true)
	w.cutAll([]int{2}, []int{4, 5}, false)
	w.pass(heard)
	w.cutAll([]int{3}, []int{2, 4, 5, 6}, true)
	w.cut(1, 3, false)
	w.pass(6 * window)
}

// TestMajorityServesOnWithoutTheStore has the table service away for long: all
// daemons go on, and one that restarts comes back at the same version.
func TestMajorityServesOnWithoutTheStore(t *testing.T) {
	w := newWorld(t, 1)
	w.storeDown = true
	w.pass(20 * window)
	w.start(w.members[0])
	w.pass(4 * window)
	for _, m := range w.members {
		s := m.node.core.Snapshot(w.clock.Now())
		assert.Assert(t, s.Confirmed(w.clock.Now()), "%s stopped", m.name)
		assert.Equal(t, s.Document.Version, int64(1))
	}
}

// TestCutOffMinorityStopsAndComesBack has one daemon cut off from everything
// while an operator withdraws a version.
func TestCutOffMinorityStopsAndComesBack(t *testing.T) {
	w := newWorld(t, 1)
	lonely := w.members[4]
	w.isolate(lonely)
	w.pass(2 * window)
	assert.Assert(t, !lonely.node.core.Snapshot(w.clock.Now()).Confirmed(w.clock.Now()))
	before, err := w.current()
	must(t, err)
	w.edit(w.members[0], before, func(d *tables.Document) *tables.Document {
		return d.WithVersion("small", "v2", tables.ModelVersion{State: tables.Withdrawn})
	})
	w.pass(2 * window)
	assert.Equal(t, len(w.oracle.accepted), 2, "the edit must be accepted without the lonely daemon")
	w.healAll()
	w.pass(2 * window)
	w.checkRecovered()
}
