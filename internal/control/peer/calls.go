package peer

import (
	"context"

	"gypsumpitch.example/gypsumpitch/internal/decision/billing"
	"gypsumpitch.example/gypsumpitch/internal/decision/session"
)

// HoldBills asks the daemon to hold replicas of bill records and reports whether it
// accepted them.
func (c *Client) HoldBills(ctx context.Context, address string, records []billing.Record) bool {
	resp, err := Call[HoldBillsRequest, HoldBillsResponse](ctx, c, address, KindHoldBills, HoldBillsRequest{Records: records})
	return err == nil && resp.Held
}

// ReleaseBills notifies the daemon that the records are in the table service. Errors are
// ignored, since a holder that misses the message writes the records again without effect.
func (c *Client) ReleaseBills(ctx context.Context, address string, ids []string) {
	_, _ = Call[ReleaseBillsRequest, Empty](ctx, c, address, KindReleaseBills, ReleaseBillsRequest{IDs: ids})
}

// PutPins sends the daemon a replica of a session's pins. Errors are ignored, since the row
// in the table service is authoritative.
func (c *Client) PutPins(ctx context.Context, address, name string, pins session.Pins) {
	_, _ = Call[PinsMessage, Empty](ctx, c, address, KindPutPins, PinsMessage{Session: name, Pins: pins})
}

// GetPins returns the daemon's replica of a session's pins. It returns nil if there is none
// or the call fails.
func (c *Client) GetPins(ctx context.Context, address, name string) session.Pins {
	resp, err := Call[PinsMessage, PinsMessage](ctx, c, address, KindGetPins, PinsMessage{Session: name})
	if err != nil {
		return nil
	}
	return resp.Pins
}
