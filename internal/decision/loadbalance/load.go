package loadbalance

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// Load is the in-flight load at one server.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec: loads are most of a report.

	Calls   int          `json:"c"`
	Prefill clock.Millis `json:"r"` // expected prefill time of the calls that haven't been answered yet
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Calls: l.Calls + o.Calls, Prefill: l.Prefill + o.Prefill}
}
