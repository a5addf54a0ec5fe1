package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/bearing"
	"gypsumpitch.example/gypsumpitch/internal/decision/catalog"
	"gypsumpitch.example/gypsumpitch/internal/decision/fleet"
	"gypsumpitch.example/gypsumpitch/internal/foundation/clock"
	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
	"gypsumpitch.example/gypsumpitch/internal/foundation/result"
	"gypsumpitch.example/gypsumpitch/internal/traffic/h1"
)

// run is one request on its way.
type run struct {
	relay   *Relay
	request *Request
	http    *http.Request
	out     http.ResponseWriter

	view     *fleet.View // by which the last attempt was made
	route    *catalog.Route
	account  catalog.Account
	pool     catalog.Pool
	model    string
	deadline clock.Millis

	level    int         // of the model among the route's
	failed   bool        // a server was unable to answer
	sent     int         // attempts
	arrived  bool        // some attempt reached a server, or may have
	ran      []string    // servers on which it ran or may have run
	refused  []string    // servers that stated that they didn't run it
	mayRun   bool        // it may have run somewhere
	began    bool        // the head of an answer has gone to the caller
	status   int         // of that head
	lastID   string      // of the last event that went to the caller
	trust    int         // the model's opinion of the last answer; -1 where it gave none
	lastSeen string      // why the last attempt failed
	server   fleet.Entry // that the last attempt went to
}

// errCallerLeft says that nobody waits for the answer any more.
var errCallerLeft = errors.New("the caller has left")

// errCut says that an answer broke off after its head went to the caller.
var errCut = errors.New("the answer broke off")

const (
	// answerMargin is what is left of the caller's patience for the way back.
	answerMargin = 20 * clock.Millis(1)
	// leastUseful is the time below which sending a request is in vain.
	leastUseful = 5 * clock.Millis(1)
)

func (u *run) serve() error {
	l, q := u.relay, u.request
	now := l.Clock.Now()
	route, account, err := l.match(l.View(), q)
	if err != nil {
		return err
	}
	u.deadline = q.ReceivedAt + route.Timeout
	if q.Timeout > 0 {
		u.deadline = min(u.deadline, q.ReceivedAt+q.Timeout-answerMargin)
	}
	u.lastID = q.LastEventID
	u.route, u.account = route, account
	u.level = u.firstLevel(now)
	if l.ended.Load() {
		return result.New(result.Stopping, "this daemon ends")
	}
	if by, stopping := l.isStopping(); stopping && !u.endsBefore(by, now) {
		return result.New(result.Stopping, "this daemon ends in %d ms", by-now)
	}
	l.RetryBudget.RecordRequest(route.Pool(u.point()), now)
	for {
		done, err := u.attempt()
		if done || err != nil {
			return err
		}
	}
}

// endsBefore tells whether the answer can be expected to end before the daemon.
func (u *run) endsBefore(end, now clock.Millis) bool {
	if !u.route.Stream {
		return now+min(u.route.Timeout, plainEnd) <= end
	}
	longest := clock.Millis(longestFactor * float64(u.usualTime()))
	return now < clock.Millis(u.relay.noStreams.Load()) && now+longest <= end
}

// longestFactor x its usual time is what a stream may well take: the estimates of
// its length are often far off, and a pool that is short of servers is slower.
const longestFactor = 2.0

// plainEnd is the time in which plain calls end, though their routes allow more.
const plainEnd = 1_500 * clock.Millis(1)

// usualTime returns how long the answer may be expected to take.
func (u *run) usualTime() clock.Millis {
	pool, _ := u.relay.View().Catalog.Pool(u.route.Pool(u.point()))
	models := u.route.Models
	model := u.request.Model
	if u.request.AnyModel && len(models) > 0 {
		model = models[len(models)-1]
	}
	pace := u.relay.Balancer.Pace(pool.Name, model)
	return pace.First(u.request.Prompt.Read) + u.writing(pool, pace)
}

// writing returns how long the events of the answer may be expected to take.
func (u *run) writing(pool catalog.Pool, pace bearing.Pace) clock.Millis {
	tokens := u.request.Prompt.Write
	if u.request.LengthHint > 0 {
		tokens = u.request.LengthHint
	}
	events := float64(tokens) / float64(max(pool.EventTokens, 1))
	return clock.Millis(events * pace.Gap())
}

// point is the request's place among the shares of its route; requests of one
// session have the same.
func (u *run) point() float64 {
	seed := u.request.ID
	if u.request.Session != "" {
		seed = u.request.Session
	}
	return container.Point(seed)
}

// attempt sends the request to one server. done says that the caller has its
// whole answer; without an error, the request may be sent again.
func (u *run) attempt() (done bool, err error) {
	l, q := u.relay, u.request
	now := l.Clock.Now()
	if u.http.Context().Err() != nil {
		return false, errCallerLeft
	}
	if u.deadline-now < leastUseful {
		return false, u.tooLate()
	}
	// The newest configuration binds every sending, also a repeat.
	view := l.View()
	route, account, err := l.match(view, q)
	if err != nil {
		return false, u.giveUp(result.From(err))
	}
	u.route, u.account = route, account
	pool, ok := view.Catalog.Pool(route.Pool(u.point()))
	if !ok {
		return false, u.giveUp(result.New(result.NoServer, "route %s names no pool", route.Name))
	}
	u.pool = pool
	u.model = u.chooseModel()
	if u.arrived && !l.RetryBudget.TryAcquire(pool.Name, now) {
		return false, u.giveUp(result.New(result.BackendRefused, "the budget for repeats is spent; %s", u.lastSeen))
	}
	choice, verdict := l.Balancer.Choose(view, bearing.Ask{
		Pool:       pool,
		DataCentre: l.DataCentre,
		Self:       l.Host,
		Hosts:      view.HostNames(),
		Model:      u.model,
		Prompt:     q.Prompt,
		Salt:       container.Hash(q.ID),
		Version:    l.Steer.Versions(view, pool.Name, q, u.failed),
		Tried:      u.tried,
		Now:        now,
	})
	switch verdict {
	case bearing.None:
		return false, u.giveUp(result.New(result.NoServer, "no server of pool %s is in service; %s", pool.Name, u.lastSeen))
	case bearing.Full:
		refusal := result.New(result.Overloaded, "the servers of pool %s are full; %s", pool.Name, u.lastSeen)
		return false, u.giveUp(refusal.WithAfter(int64(l.Balancer.RoomIn(view, pool, u.model, now))))
	case bearing.Chosen:
	}
	defer l.Balancer.Done(&choice)
	u.view, u.server = view, choice.Server
	l.Steer.Placed(q, &choice.Server)
	return u.callServer(&choice, now)
}

func (u *run) tried(id string) bool {
	return (u.failed && slices.Contains(u.ran, id)) || slices.Contains(u.refused, id)
}

// callServer makes the call and relays its answer.
func (u *run) callServer(choice *bearing.Choice, began clock.Millis) (bool, error) {
	l, q := u.relay, u.request
	server := &choice.Server
	attempt := Attempt{
		Server:      *server,
		Account:     u.account.Name,
		Remaining:   u.deadline - began,
		Priority:    u.urgency(),
		LastEventID: u.lastID,
	}
	if q.AnyModel {
		attempt.Model = u.model
	}
	u.sent++
	until := time.Now().Add((u.deadline - l.Clock.Now()).Duration())
	headBy := until
	if patience := u.headPatience(choice.Head); patience > 0 && time.Now().Add(patience).Before(until) {
		headBy = time.Now().Add(patience)
	}
	answer, err := l.Client.Do(u.http.Context(), &h1.Call{
		Address:        server.Address,
		Method:         q.Method,
		Target:         q.Target,
		Host:           q.Host,
		Header:         l.Dialect.Encode(q, attempt),
		Body:           q.Body,
		ID:             q.ID,
		FreshConn:      u.route.Repeat == catalog.AtMostOnce,
		HeaderDeadline: headBy,
		Deadline:       until,
	})
	if err != nil {
		return false, u.callFailed(choice, began, err)
	}
	defer answer.Close()
	u.arrived = true
	l.Balancer.Read(choice)
	l.Metrics.head(u.account.Name, l.Clock.Now()-q.ReceivedAt)
	if answer.Status < http.StatusMultipleChoices {
		now := l.Clock.Now()
		l.Balancer.NoteFirst(choice, u.model, now-began, now)
	}
	return u.takeAnswer(choice, answer, began)
}

const (
	// headFactor x the time that a server usually takes to answer, and headSlack
	// more, is how long a request that may run again waits for it.
	headFactor = 3
	headSlack  = 700 * clock.Millis(1)
	// plainHeadSlack is the same for plain calls, whose servers answer within
	// tens of ms.
	plainHeadSlack = 100 * clock.Millis(1)
	// headAims x the route's aim is the longest wait where servers aren't busy: a
	// slower answer is late anyway, and what is usual grows with answers that were
	// lost. At a busy one, asking elsewhere loses the place in its queue.
	headAims = 1.5
)

// headPatience returns how long to wait for the head of an answer before the
// request is sent elsewhere; 0 is until the deadline. A server may have lost
// the answer, which nothing else shows.
func (u *run) headPatience(usual clock.Millis) time.Duration {
	if u.route.Repeat == catalog.AtMostOnce || len(u.ran)+1 >= u.route.MaxAttempts {
		return 0
	}
	slack := plainHeadSlack
	if u.pool.Generates() {
		slack = headSlack
	}
	longest := max(clock.Millis(headAims*float64(u.route.Aim)), 2*usual)
	return min(headFactor*usual+slack, longest).Duration()
}

// callFailed decides what follows a call without an answer.
func (u *run) callFailed(choice *bearing.Choice, began clock.Millis, err error) error {
	l := u.relay
	server := &choice.Server
	now := l.Clock.Now()
	if u.http.Context().Err() != nil {
		return errCallerLeft
	}
	var failure *h1.CallError
	if !errors.As(err, &failure) {
		failure = &h1.CallError{Sent: true, Err: err}
	}
	u.lastSeen = failure.Error()
	l.Metrics.attempt(u.pool.Name, "no_answer")
	u.log("attempt failed", server, "sent", failure.Sent, "reused", failure.Reused, "error", failure.Error())
	if failure.Sent && failure.TimedOut {
		// It would have taken at least as long.
		l.Balancer.NoteFirst(choice, u.model, now-began, now)
	}
	switch {
	case u.relay.Clock.Now() >= u.deadline:
		// It was the request's time that ran out.
	case failure.Sent && failure.TimedOut:
		l.Balancer.NoteFault(server, now)
	case !failure.Reused || failure.TimedOut:
		l.Balancer.NoteFailure(server, now)
	}
	if !failure.Sent {
		// Nothing reached the server, so nobody counts a repeat.
		u.refused = append(u.refused, server.ID)
		if len(u.refused) > maxUnreached {
			return u.giveUp(result.New(result.BackendRefused, "%d servers can't be reached; %s", len(u.refused), u.lastSeen))
		}
		return nil
	}
	u.arrived = true
	if failure.TimedOut {
		// The time that it has taken so far is the least that it would have taken.
		l.Steer.Outcome(u.view, server, u.route, newOutcome(choice, false, now-began))
	}
	return u.noteMayHaveRun(server)
}

func (u *run) noteRan(server *fleet.Entry) {
	u.mayRun = true
	if !slices.Contains(u.ran, server.ID) {
		u.ran = append(u.ran, server.ID)
	}
}

// noteMayHaveRun returns an error where the request must not be sent again.
func (u *run) noteMayHaveRun(server *fleet.Entry) error {
	u.failed = true
	u.noteRan(server)
	if u.relay.Clock.Now() >= u.deadline {
		return u.broken(result.New(result.BackendTimeout, "%s", u.lastSeen))
	}
	if u.route.Repeat == catalog.AtMostOnce {
		return u.broken(result.New(result.BackendFailed, "%s", u.lastSeen))
	}
	if len(u.ran) >= max(u.route.MaxAttempts, 1) {
		return u.broken(result.New(result.BackendFailed, "tried on %d servers; %s", len(u.ran), u.lastSeen))
	}
	return nil
}

// takeAnswer relays the answer, or decides that the request is sent again.
func (u *run) takeAnswer(choice *bearing.Choice, answer *h1.Response, began clock.Millis) (bool, error) {
	l := u.relay
	server := &choice.Server
	now := l.Clock.Now()
	reply := l.Dialect.Decode(server.ID, answer.Status, answer.Header)
	l.Balancer.Note(server, bearing.Seen{
		HasLoad: reply.HasLoad, Held: reply.Running + reply.Waiting, Slots: reply.Slots, ColdFor: reply.ColdRemaining,
	}, now)
	u.trust = reply.Confidence
	if reply.WrongServer || reply.NotExecuted || reply.Unverified {
		return false, u.passOver(server, answer, reply, now)
	}
	failed := answer.Status >= http.StatusInternalServerError
	u.noteOutcome(choice, failed, now-began)
	switch {
	case u.began && answer.Status != http.StatusOK:
		// Only events may follow those that the caller has.
		return false, u.noteFailed(server, http.StatusText(answer.Status)+" from the server")
	case failed && (isPromise(answer.Status) || (u.mayRepeat(server) && u.deadline-now > leastUseful)):
		return false, u.noteFailed(server, http.StatusText(answer.Status)+" from the server")
	case failed:
		return u.relayWhole(server, answer)
	case u.escalates(reply, now):
		u.log("escalated", server)
		l.Metrics.attempt(u.pool.Name, "escalated")
		u.level = u.top()
		u.lastSeen = "a small model was unsure of its answer"
		u.noteRan(server)
		return false, nil
	case u.route.Stream && answer.Status == http.StatusOK:
		return u.relayStream(server, answer)
	}
	return u.relayWhole(server, answer)
}

// noteOutcome takes in how the server's answer reflects on it and on its version.
func (u *run) noteOutcome(choice *bearing.Choice, failed bool, took clock.Millis) {
	l := u.relay
	if failed {
		l.Balancer.NoteFault(&choice.Server, l.Clock.Now())
	}
	l.Steer.Outcome(u.view, &choice.Server, u.route, newOutcome(choice, failed, took))
}

// passOver decides what follows an answer that isn't one to the request.
func (u *run) passOver(server *fleet.Entry, answer *h1.Response, reply ResponseInfo, now clock.Millis) error {
	l := u.relay
	switch {
	case reply.WrongServer:
		l.OnServerReplaced(server.ID, now)
		return u.noteRefused(server, "another server has the address")
	case reply.NotExecuted:
		if isPromise(answer.Status) {
			l.Balancer.NoteFull(server, now)
		}
		return u.noteRefused(server, "not run: "+http.StatusText(answer.Status))
	}
	l.Balancer.NoteFault(server, now)
	return u.noteFailed(server, "the answer isn't the server's own")
}

const (
	// slowFactor x the usual time to the head, and slowSlack more, is a slow answer.
	// A bad version may be several times slower in a part of its answers only.
	slowFactor = 3
	slowSlack  = 60 * clock.Millis(1)
)

// isSlow tells whether the head of an answer took several times what is usual.
func isSlow(c *bearing.Choice, took clock.Millis) bool {
	return c.Known && took > slowFactor*c.Usual+slowSlack
}

// newOutcome returns the outcome of an attempt whose head took so long.
func newOutcome(c *bearing.Choice, failed bool, took clock.Millis) Outcome {
	o := Outcome{Conclusive: true, Failed: failed || isSlow(c, took)}
	if c.Known {
		o.LatencyRatio = float64(max(took, 1)) / float64(max(c.Usual, 1))
	}
	return o
}

// isPromise tells whether callers take the status as a promise that the request
// didn't run, which only this system or a server that says so may give.
func isPromise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// noteRefused takes in that the server didn't run the request.
func (u *run) noteRefused(server *fleet.Entry, why string) error {
	u.refused = append(u.refused, server.ID)
	u.lastSeen = why
	u.log("server refused", server, "reason", why)
	u.relay.Metrics.attempt(u.pool.Name, "not_run")
	if len(u.refused) > maxRefusals {
		return u.giveUp(result.New(result.BackendRefused, "%d servers refused it", len(u.refused)))
	}
	return nil
}

// noteFailed takes in that the server ran the request and gave no use of it.
func (u *run) noteFailed(server *fleet.Entry, why string) error {
	u.lastSeen = why
	u.log("server failed", server, "reason", why)
	u.relay.Metrics.attempt(u.pool.Name, "failed")
	return u.noteMayHaveRun(server)
}

// maxRefusals is how many servers may refuse a request before it is given up:
// each refusal is a repeat that all daemons' budget pays for.
const maxRefusals = 3

// maxUnreached is how many servers may be out of reach before a request is given up.
const maxUnreached = 6

func (u *run) mayRepeat(server *fleet.Entry) bool {
	if u.route.Repeat == catalog.AtMostOnce {
		return false
	}
	used := len(u.ran)
	if !slices.Contains(u.ran, server.ID) {
		used++
	}
	return used < u.route.MaxAttempts
}

// urgency is the rank that servers go by: the client account's, or the route's.
func (u *run) urgency() int {
	if u.account.HasPriority {
		return min(max(u.account.Priority, 0), 9)
	}
	return min(max(u.route.Priority, 0), 9)
}

// tooLate is the answer to a request whose time is over.
func (u *run) tooLate() error {
	if u.mayRun {
		return u.broken(result.New(result.BackendTimeout, "no answer in time; %s", u.lastSeen))
	}
	return u.giveUp(result.New(result.DeadlineTooShort, "no time is left; %s", u.lastSeen))
}

// giveUp turns a refusal into what is true of the request: one that may have run
// isn't refused as not run.
func (u *run) giveUp(refusal *result.Error) error {
	if u.mayRun && refusal.Code.Run == result.RunNo {
		return u.broken(result.New(result.BackendFailed, "%s", refusal.Detail))
	}
	if u.began {
		return u.broken(refusal)
	}
	return refusal
}

// broken is the end of a request that can't be refused any more.
func (u *run) broken(e *result.Error) error {
	if u.began {
		return errors.Wrap(errCut, e.Detail)
	}
	return e
}

// finish ends a request that has no whole answer.
func (u *run) finish(err error) {
	u.count(codeOf(err))
	u.log("ended", nil, "code", codeOf(err).Number, "error", err.Error())
	if errors.Is(err, errCallerLeft) || u.began || errors.Is(err, context.Canceled) {
		// Ends the connection in a way that can't look like a whole answer.
		panic(http.ErrAbortHandler)
	}
	e := result.From(err)
	if e.RetryAfterMs() > 0 {
		u.out.Header().Set("Retry-After", retryAfter(e, u.request.ID))
	}
	result.Write(u.out, e, u.request.ID)
}
