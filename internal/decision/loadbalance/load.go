package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Load is what a daemon has under way at a server.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: loads are most of a report.

	Calls   int          `json:"c"`
	Prefill clock.Millis `json:"r"` // time that prompts take which are not yet read
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Calls: l.Calls + o.Calls, Prefill: l.Prefill + o.Prefill}
}
