package admission

import (
	"cmp"

	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
)

// Rank is what decides which of several waiting requests is served first.
type Rank struct {
	Excess   bool         // its account uses more than its fair share while others compete
	Doubtful bool         // its response is no longer expected in time
	Urgency  int          // 0 is the most urgent
	Yields   bool         // its prompt is long and lets shorter ones pass
	Usage    float64      // what its account uses, relative to the account's share
	Deadline clock.Millis // 0 if it doesn't count
	Arrival  uint64       // in the order of arrival at the queue
}

// Order compares two ranks: negative if a is served before b. It is the one policy of all
// queues of requests. Accounts within their share come first, so that an account's urgent
// requests don't take the capacity of the others. Among these, requests that are no longer
// expected in time come last: they would take the places of some that are.
func Order(a, b Rank) int {
	if a.Excess != b.Excess {
		if b.Excess {
			return -1
		}
		return 1
	}
	if a.Doubtful != b.Doubtful {
		if b.Doubtful {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.Urgency, b.Urgency); c != 0 {
		return c
	}
	if a.Yields != b.Yields {
		if b.Yields {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Usage, b.Usage), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Arrival, b.Arrival))
}
