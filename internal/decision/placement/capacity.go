package placement

// Capacity is an estimate, from its load reports, of how many requests a server
// can serve at once. 0 means that no limit was observed. Immutable.
type Capacity int

// growthDivisor makes the capacity grow by a sixteenth per report without waiting
// requests.
const growthDivisor = 16

// With returns the capacity after one more report. If requests are waiting, the
// server runs as many as it can, so the capacity is at most that number. Otherwise
// it grows slowly, in case the limit was temporary.
func (c Capacity) With(running, waiting int) Capacity {
	if waiting > 0 && running > 0 {
		if c == 0 {
			return Capacity(running)
		}
		return min(c, Capacity(running))
	}
	if c == 0 {
		return 0
	}
	return c + max(1, c/growthDivisor)
}

// Bound returns the configured slots, limited to the capacity if one is known.
func (c Capacity) Bound(slots int) int {
	if c == 0 {
		return slots
	}
	return min(slots, int(c))
}
