package claims

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gypsumpitch.example/gypsumpitch/internal/decision/claim"
	"gypsumpitch.example/gypsumpitch/internal/platform/tableservice"
	"gypsumpitch.example/gypsumpitch/internal/standin"
)

const testKey = "payment-1"

// putClaim writes the claim's row.
func putClaim(t assert.TestingT, table tableservice.Service, row claim.Row) {
	w, err := tableservice.NewWrite(Table, testKey, row, tableservice.Always, 0)
	assert.NilError(t, err)
	_, err = table.Commit(context.Background(), tableservice.Batch{Writes: []tableservice.Write{w}})
	assert.NilError(t, err)
}

// TestOutcomeIsWritten has the table service reject calls and lose or delay responses,
// while another daemon writes to the claim's row between the backlog's read and its
// write. Once that is over, a claimed call must have its outcome in the table, and a
// claim that another daemon took over must be unchanged.
func TestOutcomeIsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := standin.NewMemoryTableService()
		mine := claim.Row{ClaimID: "claim-1", Member: "entry-1", State: claim.Claimed}
		other := claim.Row{ClaimID: "claim-2", Member: "entry-2", State: claim.Claimed}
		stored := mine
		putClaim(t, memory, stored)
		faulty, interfere := true, true
		service := &standin.FaultyTableService{
			Memory: memory,
			NextOutcome: func() standin.CallOutcome {
				if !faulty {
					return standin.CallSucceeds
				}
				return standin.CallOutcome(rapid.IntRange(int(standin.CallSucceeds), int(standin.ResponseLostAppliedLate)).Draw(t, "outcome"))
			},
			Yield: func() {
				if !interfere {
					return
				}
				current, err := memory.Get(context.Background(), Table, testKey)
				assert.NilError(t, err)
				row, err := decode(current)
				assert.NilError(t, err)
				switch rapid.IntRange(0, 6).Draw(t, "interference") {
				case 0: // the same row again, which only raises its version
					putClaim(t, memory, row)
				case 1:
					if row.State == claim.Claimed {
						stored = other
						putClaim(t, memory, stored)
					}
				}
			},
		}
		backlog := NewBacklog(service)
		backlog.Add(testKey, mine.WithState(claim.Done, &claim.Answer{Status: 200}))
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			backlog.Flush(context.Background())
		}
		faulty, interfere = false, false
		for range 3 {
			backlog.Flush(context.Background())
		}
		assert.Equal(t, backlog.Len(), 0)
		current, err := memory.Get(context.Background(), Table, testKey)
		assert.NilError(t, err)
		row, err := decode(current)
		assert.NilError(t, err)
		if stored.ClaimID == mine.ClaimID {
			assert.Equal(t, row.State, claim.Done, "the outcome was dropped")
			return
		}
		assert.Equal(t, row.ClaimID, other.ClaimID)
		assert.Equal(t, row.State, claim.Claimed)
	})
}
