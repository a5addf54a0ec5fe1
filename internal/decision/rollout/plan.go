package rollout

// Verdict is what is decided about the target of a roll-out. A higher one prevails.
type Verdict int

// The verdicts.
const (
	Open    Verdict = iota // the target gets no more requests than a bad version may
	Cleared                // it may get all requests
	Bad                    // it gets none
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	switch v {
	case Cleared:
		return "cleared"
	case Bad:
		return "bad"
	case Open:
	}
	return "open"
}

// Plan says how many requests the target of a roll-out gets.
type Plan struct {
	Verdict Verdict
	// Judged means that the target was cleared in time for the schedule of ShareAt.
	Judged bool
	// Share is the share of the requests without a session, and SessionShare that of the
	// sessions in the second half, unless the target is cleared.
	Share        float64
	SessionShare float64
	// RouteFactors multiply Share by route; others have 1.
	RouteFactors map[string]float64
}

// HandsOver reports whether the target gets all requests from that progress on.
func (p Plan) HandsOver(progress float64) bool {
	switch {
	case p.Verdict != Cleared:
		return false
	case p.Judged:
		return progress >= FullShareProgress()
	}
	return progress >= HeldUntil()
}

// RouteFactors returns the factors by which the routes' shares differ from that of all
// requests, so that test requests go where they tell most. requests are those of each route.
func RouteFactors(weights map[string]float64, requests map[string]int) map[string]float64 {
	all, weighted := 0.0, 0.0
	for route, n := range requests {
		all += float64(n)
		weighted += float64(n) * weightOf(weights, route)
	}
	if weighted == 0 {
		return nil
	}
	factors := make(map[string]float64, len(requests))
	for route := range requests {
		factors[route] = weightOf(weights, route) * all / weighted
	}
	return factors
}

func weightOf(weights map[string]float64, route string) float64 {
	if w, ok := weights[route]; ok {
		return w
	}
	return 1
}

// ShareOf returns the share of a route's requests if all of them have the given share.
func (p Plan) ShareOf(route string, share float64) float64 {
	if factor, ok := p.RouteFactors[route]; ok {
		share *= factor
	}
	return min(share, 1)
}
