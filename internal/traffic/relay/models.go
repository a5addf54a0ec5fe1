package relay

import "gypsumpitch.example/gypsumpitch/internal/foundation/clock"

// top is the index of the route's largest model.
func (u *run) top() int { return max(len(u.route.Models)-1, 0) }

// firstLevel is the model that a request starts with: the smallest, whose head
// costs little time and tells how far its answer can be trusted. The rest of an
// answer that the caller has in part is made by the largest, since it isn't
// known which model made the beginning.
//
// Load pattern: failures use up the budget for repeats, which escalations need
// too. An unsure answer of the smallest model would have to be accepted then, so
// the largest is asked at once as long as it answers in time.
func (u *run) firstLevel(now clock.Millis) int {
	l := u.relay
	if u.request.LastEventID != "" {
		return u.top()
	}
	pool := u.route.Pool(u.point())
	if len(u.route.Models) < 2 || l.RetryBudget.AllowsOptional(pool, now) {
		return 0
	}
	head := l.Balancer.Pace(pool, u.route.Models[u.top()]).First(u.request.Prompt.Read)
	if head < u.route.Aim/2 {
		return u.top()
	}
	return 0
}

// chooseModel returns the model that the server is told to use.
func (u *run) chooseModel() string {
	if !u.request.AnyModel {
		return u.request.Model
	}
	if len(u.route.Models) == 0 {
		return ""
	}
	return u.route.Models[min(u.level, u.top())]
}

// escalates tells whether the answer of a small model is dropped for that of the
// largest. Nothing of it has gone to the caller yet.
func (u *run) escalates(reply ResponseInfo, now clock.Millis) bool {
	if !u.request.AnyModel || u.began || u.level >= u.top() || reply.Confidence < 0 {
		return false
	}
	// One run is kept for a server that fails.
	if len(u.ran)+2 > u.route.MaxAttempts {
		return false
	}
	// An answer that ends too late is worth nothing, however soon it begins.
	pace := u.relay.Balancer.Pace(u.pool.Name, u.route.Models[u.top()])
	head := pace.First(u.request.Prompt.Read)
	whole := head + u.writing(u.pool, pace)
	if now+whole >= u.deadline {
		return false
	}
	elapsed := now - u.request.ReceivedAt
	bar := u.relay.ConfidenceThreshold.At(max(
		part(elapsed+head, u.route.Aim),
		part(elapsed+whole, u.deadline-u.request.ReceivedAt),
	))
	return reply.Confidence < bar && u.relay.RetryBudget.AllowsOptional(u.pool.Name, now)
}

// part returns what part of a time another one is.
func part(of, whole clock.Millis) float64 { return float64(of) / float64(max(whole, 1)) }
