package peer

import (
	"context"

	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/decision/session"
)

// HoldBills asks the daemon to keep the records; it tells whether it does.
func (c *Client) HoldBills(ctx context.Context, address string, records []billing.Record) bool {
	answer, err := Call[HoldBillsRequest, HoldBillsResponse](ctx, c, address, KindHoldBills, HoldBillsRequest{Records: records})
	return err == nil && answer.Held
}

// ReleaseBills says that the records are written. A holder that misses it
// writes them again, which does no harm.
func (c *Client) ReleaseBills(ctx context.Context, address string, ids []string) {
	_, _ = Call[ReleaseBillsRequest, Empty](ctx, c, address, KindReleaseBills, ReleaseBillsRequest{IDs: ids})
}

// PutPins gives the daemon a copy of a session's pins. The row in the table
// service is what counts, so a miss does no harm.
func (c *Client) PutPins(ctx context.Context, address, name string, pins session.Pins) {
	_, _ = Call[PinsMessage, Empty](ctx, c, address, KindPutPins, PinsMessage{Session: name, Pins: pins})
}

// GetPins returns the daemon's copy of a session's pins, or nil.
func (c *Client) GetPins(ctx context.Context, address, name string) session.Pins {
	answer, err := Call[PinsMessage, PinsMessage](ctx, c, address, KindGetPins, PinsMessage{Session: name})
	if err != nil {
		return nil
	}
	return answer.Pins
}
