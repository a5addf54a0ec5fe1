package placement

// Capacity is how many requests a server can serve at once, as its reports
// show; 0 while they have shown no bound. It is immutable.
type Capacity int

// growthDivisor sets how fast a bound is lifted again: by a sixteenth a report.
const growthDivisor = 16

// With returns the capacity after one more report: where requests wait, it is no
// more than those that run; where none wait, it grows a little.
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

// Bound returns the slots that the tables give, or fewer where the server has
// shown that it serves fewer.
func (c Capacity) Bound(slots int) int {
	if c == 0 {
		return slots
	}
	return min(slots, int(c))
}
