package cluster

import (
	"testing"

	"gotest.tools/v3/assert"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// setBlocked blocks or unblocks calls between two members in both directions. Members are
// numbered from 1.
func (c *cluster) setBlocked(a, b int, blocked bool) {
	first, second := c.members[a-1], c.members[b-1]
	first.unreachablePeers[second.name], second.unreachablePeers[first.name] = blocked, blocked
}

func (c *cluster) setAllBlocked(side, otherSide []int, blocked bool) {
	for _, a := range side {
		for _, b := range otherSide {
			c.setBlocked(a, b, blocked)
		}
	}
}

// TestForgottenAdoptionDoesNotRevertEdit guards against a restart that reverts an accepted
// edit. A daemon adopts an edit, then restarts without it while the table service is
// unavailable, but its earlier report still counts towards the edit's majority. The
// daemons that never received the edit must then reject new work instead of forming
// another majority with the restarted one. The sweep varies how long the restarted
// daemon is connected to them before the network is partitioned.
func TestForgottenAdoptionDoesNotRevertEdit(t *testing.T) {
	accepted := 0
	for seed := range uint64(40) {
		for connectedMs := clock.Millis(tickStepMs); connectedMs <= 5*tickStepMs; connectedMs += tickStepMs {
			c := newCluster(t, seed)
			c.loseAdoptedEdit(connectedMs)
			accepted += len(c.oracle.accepted) - 1
		}
	}
	assert.Assert(t, accepted > 0, "in no case was the edit accepted with the earlier report of the restarted daemon")
}

// loseAdoptedEdit commits an edit at member 1, which member 2 adopts, and restarts member
// 2. For connectedMs member 2 reaches members 4 and 5, which have not received the edit.
// Then member 3 is connected to member 1 only. With the earlier report of member 2, member 1
// counts three of the five daemons, which is a majority.
func (c *cluster) loseAdoptedEdit(connectedMs clock.Millis) {
	c.fastDelivery = true
	c.setAllBlocked([]int{1, 2}, []int{3, 4, 5, 6}, true)
	for _, m := range c.members[1:] {
		m.storeUnreachable = true
	}
	before, err := c.currentDocument()
	must(c.t, err)
	c.edit(c.members[0], before, func(d *tables.Document) *tables.Document {
		return d.WithVersion("small", "v2", tables.ModelVersion{State: tables.Withdrawn})
	})
	c.advance(300)
	c.storeDown = true
	c.startDaemon(c.members[1])
	c.setBlocked(1, 2, true)
	c.setAllBlocked([]int{2}, []int{4, 5}, false)
	c.advance(connectedMs)
	c.setAllBlocked([]int{3}, []int{2, 4, 5, 6}, true)
	c.setBlocked(1, 3, false)
	c.advance(6 * confirmWindowMs)
}

// TestMajorityServesWithoutTableService guards against daemons that reject new work during
// a long outage of the table service. All must stay confirmed by their peers, and a
// restarted daemon must get the same document version from them.
func TestMajorityServesWithoutTableService(t *testing.T) {
	c := newCluster(t, 1)
	c.storeDown = true
	c.advance(20 * confirmWindowMs)
	c.startDaemon(c.members[0])
	c.advance(4 * confirmWindowMs)
	for _, m := range c.members {
		snapshot := m.daemon.machine.Snapshot(c.clock.Now())
		assert.Assert(t, snapshot.Confirmed(c.clock.Now()), "%s has no confirmed document", m.name)
		assert.Equal(t, snapshot.Document.Version, int64(1))
	}
}

// TestIsolatedMinorityStopsAndRecovers guards against a daemon that accepts new work with
// an outdated document. One daemon is isolated from the peers and the table service while
// an operator withdraws a version; it must reject new work until the isolation ends, and
// then recover.
func TestIsolatedMinorityStopsAndRecovers(t *testing.T) {
	c := newCluster(t, 1)
	isolated := c.members[4]
	c.isolate(isolated)
	c.advance(2 * confirmWindowMs)
	assert.Assert(t, !isolated.daemon.machine.Snapshot(c.clock.Now()).Confirmed(c.clock.Now()))
	before, err := c.currentDocument()
	must(t, err)
	c.edit(c.members[0], before, func(d *tables.Document) *tables.Document {
		return d.WithVersion("small", "v2", tables.ModelVersion{State: tables.Withdrawn})
	})
	c.advance(2 * confirmWindowMs)
	assert.Equal(t, len(c.oracle.accepted), 2, "the edit must be accepted without the isolated daemon")
	c.healAll()
	c.advance(2 * confirmWindowMs)
	c.checkRecovered()
}
